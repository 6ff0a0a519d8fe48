//! Registration of a client. A server is chosen once the registration is complete, and the registration is
//! then repeated to that server.

use std::rc::Rc;

use super::message::{
    CAP, CAP_END, CAP_LIST, CAP_LS, CAP_REQ, ERR_ERRONEUSNICKNAME, ERR_INVALIDCAPCMD, ERR_NEEDMOREPARAMS,
    ERR_NONICKNAMEGIVEN, ERR_NOORIGIN, ERR_NOTREGISTERED, NICK, PASS, PING, PONG, USER,
};
use super::IrcConfig;
use crate::protocol::CRLF;

/// Maximum length of a nickname in bytes.
const MAX_NICK_LENGTH: usize = 64;

/// State of a client's registration.
#[derive(Debug, Default)]
pub(super) struct Registration {
    config: Rc<IrcConfig>,
    pass: Option<Vec<u8>>,
    nick: Option<Vec<u8>>,
    /// `USER` line as it is sent to a server, without its ending.
    user_line: Option<Vec<u8>>,
    /// Capabilities granted to the client.
    granted: Vec<String>,
    /// Capabilities are being negotiated, so that the registration is complete only after `CAP END`.
    is_negotiating: bool,
}

impl Registration {
    pub(super) fn new(config: Rc<IrcConfig>) -> Registration {
        Registration { config, ..Registration::default() }
    }

    pub(super) fn config(&self) -> &IrcConfig {
        &self.config
    }

    /// Returns whether the registration is complete, so that a server can be chosen.
    pub(super) fn is_complete(&self) -> bool {
        self.nick.is_some() && self.user_line.is_some() && !self.is_negotiating
    }

    pub(super) fn nick(&self) -> Option<&[u8]> {
        self.nick.as_deref()
    }

    pub(super) fn set_nick(&mut self, nick: &[u8]) {
        self.nick = Some(nick.to_vec());
    }

    /// Returns the client's nickname as used in replies, or `*` before the client has sent one.
    pub(super) fn display_nick(&self) -> String {
        self.nick.as_ref().map_or("*".into(), |nick| String::from_utf8_lossy(nick).into_owned())
    }

    /// Applies a command of the client, given in upper case. Returns the reply, or no bytes if the command
    /// has none.
    pub(super) fn apply_command(&mut self, command: &[u8], params: &[&[u8]]) -> Vec<u8> {
        match (command, params) {
            (CAP | PASS, []) => self.needs_more_params(command),
            (CAP, [subcommand, rest @ ..]) => self.apply_cap_command(&subcommand.to_ascii_uppercase(), rest),
            (PASS, [pass, ..]) => {
                self.pass = Some(pass.to_vec());
                Vec::new()
            }
            (NICK, []) => self.numeric_reply(ERR_NONICKNAMEGIVEN, ":No nickname given"),
            (NICK, [nick, ..]) if !is_valid_nick(nick) => {
                let nick = String::from_utf8_lossy(nick);
                self.numeric_reply(ERR_ERRONEUSNICKNAME, &format!("{nick} :Erroneous nickname"))
            }
            (NICK, [nick, ..]) => {
                self.set_nick(nick);
                Vec::new()
            }
            (USER, [user, mode, unused, real_name, ..]) if !user.is_empty() => {
                self.user_line = Some([b"USER ", *user, b" ", mode, b" ", unused, b" :", real_name].concat());
                Vec::new()
            }
            (USER, _) => self.needs_more_params(command),
            (PING, [token, ..]) => {
                let name = &self.config.name;
                [format!(":{name} PONG {name} :").as_bytes(), token, CRLF].concat()
            }
            (PING, []) => self.numeric_reply(ERR_NOORIGIN, ":No origin specified"),
            (PONG, _) => Vec::new(),
            _ => self.numeric_reply(ERR_NOTREGISTERED, ":You have not registered"),
        }
    }

    fn needs_more_params(&self, command: &[u8]) -> Vec<u8> {
        let command = String::from_utf8_lossy(command);
        self.numeric_reply(ERR_NEEDMOREPARAMS, &format!("{command} :Not enough parameters"))
    }

    fn apply_cap_command(&mut self, subcommand: &[u8], params: &[&[u8]]) -> Vec<u8> {
        match subcommand {
            CAP_LS => {
                self.is_negotiating = true;
                self.cap_reply("LS", &self.config.capabilities.join(" "))
            }
            CAP_LIST => self.cap_reply("LIST", &self.granted.join(" ")),
            CAP_REQ => {
                self.is_negotiating = true;
                self.request_capabilities(params.first().copied().unwrap_or_default())
            }
            CAP_END => {
                self.is_negotiating = false;
                Vec::new()
            }
            _ => {
                let subcommand = String::from_utf8_lossy(subcommand);
                self.numeric_reply(ERR_INVALIDCAPCMD, &format!("{subcommand} :Invalid CAP command"))
            }
        }
    }

    fn cap_reply(&self, subcommand: &str, capabilities: &str) -> Vec<u8> {
        let (name, nick) = (&self.config.name, self.display_nick());
        format!(":{name} CAP {nick} {subcommand} :{capabilities}\r\n").into_bytes()
    }

    /// Grants the capabilities of a `CAP REQ`, or none of them if one is not offered. A capability with the
    /// prefix `-` is withdrawn.
    fn request_capabilities(&mut self, list: &[u8]) -> Vec<u8> {
        let list = String::from_utf8_lossy(list).into_owned();
        let requested: Vec<&str> = list.split_ascii_whitespace().collect();
        let name_of = |capability: &str| capability.trim_start_matches('-').to_owned();
        if !requested.iter().all(|capability| self.config.capabilities.contains(&name_of(capability))) {
            return self.cap_reply("NAK", &list);
        }
        for capability in requested {
            let name = name_of(capability);
            self.granted.retain(|granted| *granted != name);
            if !capability.starts_with('-') {
                self.granted.push(name);
            }
        }
        self.cap_reply("ACK", &list)
    }

    /// Encodes the registration as the lines that are sent to a server.
    pub(super) fn encode_for_server(&self) -> Vec<u8> {
        let mut lines = Vec::new();
        let mut push_line = |parts: &[&[u8]]| {
            lines.extend(parts.concat());
            lines.extend_from_slice(CRLF);
        };
        let granted = self.granted.join(" ");
        if !granted.is_empty() {
            push_line(&[b"CAP REQ :", granted.as_bytes()]);
        }
        if let Some(pass) = &self.pass {
            push_line(&[b"PASS :", pass]);
        }
        push_line(&[b"NICK ", self.nick.as_deref().unwrap_or_default()]);
        push_line(&[self.user_line.as_deref().unwrap_or_default()]);
        if !granted.is_empty() {
            push_line(&[b"CAP END"]);
        }
        lines
    }
}

/// Returns whether current servers accept a nickname. It must not be longer than [`MAX_NICK_LENGTH`], and
/// must not contain bytes that would change the meaning of a line.
fn is_valid_nick(nick: &[u8]) -> bool {
    let has_valid_start = nick.first().is_some_and(|b| !b.is_ascii_digit() && !b"-:#&+!@$".contains(b));
    has_valid_start && nick.len() <= MAX_NICK_LENGTH && nick.iter().all(|b| !b" ,*?!@\0".contains(b))
}
