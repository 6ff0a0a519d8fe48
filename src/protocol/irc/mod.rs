//! The IRC front: RFC 1459 and 2812 with `IRCv3`'s `CAP`. A client's complete registration is its connection request; an
//! attempt repeats it to a server, which accepts with `001`.

mod message;
mod registration;

use std::rc::Rc;

pub use message::{parse_message, Message, MAX_LINE_LENGTH, MAX_TAGS_LENGTH};

use self::message::{
    is_too_long, CAP, CAP_NAK, ERROR, ERR_ERRONEUSNICKNAME, ERR_INPUTTOOLONG, ERR_NICKCOLLISION,
    ERR_NICKNAMEINUSE, ERR_NONICKNAMEGIVEN, ERR_PASSWDMISMATCH, ERR_UNAVAILRESOURCE, ERR_UNKNOWNCOMMAND,
    ERR_UNKNOWNERROR, ERR_YOUREBANNEDCREEP, PING, QUIT, RPL_BOUNCE, RPL_TRYAGAIN, RPL_WELCOME,
};
use self::registration::Registration;
use super::lines::{LineBuffer, LineRelay, NextLine};
use super::{hash_client_key, Front, FrontEvent, CRLF};
use crate::routing::{Answer, AttemptOutcome, ConnectionRequest};
use crate::Micros;

/// The longest line with its tags, in bytes.
const MAX_TAGGED_LINE_LENGTH: usize = MAX_TAGS_LENGTH + MAX_LINE_LENGTH;
/// The most lines that a client may send before its registration is complete.
const MAX_REGISTRATION_LINES: u32 = 64;
/// The most bytes that it may send before that, those that are skipped included.
const MAX_REGISTRATION_BYTES: usize = 64 << 10;
/// The most bytes of a server's notices before its welcome that are kept for the client.
const MAX_NOTICE_BYTES: usize = 4096;
/// The most bytes that a client may send ahead while a server is sought.
const MAX_BYTES_AHEAD: usize = 8 << 10;
/// The shortest time after which a rejected client is asked to try again.
const MIN_RETRY_AFTER_SECONDS: u64 = 1;

/// What the front is configured with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IrcConfig {
    /// Its name, which is the prefix of its own messages.
    pub name: String,
    /// Where a client is asked to connect again.
    pub address: AdvertisedAddress,
    /// The class of all requests at this front.
    pub class: String,
    /// The tenant of all requests at this front.
    pub tenant: Option<String>,
    /// Capabilities that clients may request; each server has to have them.
    pub capabilities: Vec<String>,
}

/// An address that clients can connect to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdvertisedAddress {
    /// Host name or IP address.
    pub host: String,
    /// TCP port.
    pub port: u16,
}

#[derive(Debug, Default, PartialEq)]
enum Phase {
    /// The client's registration is not complete yet.
    #[default]
    Registering,
    /// A server is being sought.
    Placing,
    /// A server has accepted, and lines are relayed.
    Established,
    /// The client's connection is being closed, and nothing more of it is read.
    Closed,
}

/// The protocol of one client connection.
#[derive(Debug, Default)]
pub struct Connection {
    phase: Phase,
    registration: Registration,
    /// Lines and bytes of the client before its registration was complete.
    registration_lines: u32,
    registration_bytes: usize,
    client_lines: LineBuffer,
    /// The rest of a line that was too long is skipped up to its end.
    is_skipping_line: bool,
    /// Lines of the server before it accepts.
    server_lines: LineBuffer,
    /// What the server sent before its welcome.
    notices: Vec<u8>,
    /// Lines of the server once it has accepted.
    relay: LineRelay,
    /// The client has sent `QUIT`.
    has_quit: bool,
}

impl Connection {
    /// A new connection of a front.
    pub fn new(config: Rc<IrcConfig>) -> Connection {
        Connection { registration: Registration::new(config), ..Connection::default() }
    }

    /// Takes the client's next line that can be read; answers those that cannot.
    fn next_client_line(&mut self, events: &mut Vec<FrontEvent>) -> Option<Vec<u8>> {
        loop {
            let next = self.client_lines.next_line(MAX_TAGGED_LINE_LENGTH);
            let was_skipping = std::mem::take(&mut self.is_skipping_line);
            match next {
                NextLine::Incomplete => {
                    self.is_skipping_line = was_skipping;
                    return None;
                }
                // A line without an end must not fill the memory.
                NextLine::TooLong => {
                    self.is_skipping_line = !self.client_lines.skip_line();
                    if !was_skipping {
                        events.push(FrontEvent::ToClient(self.input_too_long()));
                    }
                }
                NextLine::Line(_) if was_skipping => {}
                NextLine::Line(line) if is_too_long(&line) => {
                    events.push(FrontEvent::ToClient(self.input_too_long()));
                }
                NextLine::Line(line) if line.contains(&0) => {
                    let reply = self.registration.numeric_reply(ERR_UNKNOWNERROR, ":Line with a NUL byte");
                    events.push(FrontEvent::ToClient(reply));
                }
                NextLine::Line(line) => return Some(line),
            }
        }
    }

    fn input_too_long(&self) -> Vec<u8> {
        self.registration.numeric_reply(ERR_INPUTTOOLONG, ":Input line was too long")
    }

    fn read_registration(&mut self, events: &mut Vec<FrontEvent>) {
        while self.phase == Phase::Registering {
            let events_before = events.len();
            let line = self.next_client_line(events);
            // Each line that cannot be read has been answered by one event.
            self.registration_lines += (events.len() - events_before) as u32;
            let Some(line) = line else { return self.close_on_flood(events) };
            self.registration_lines += 1;
            if self.registration_lines > MAX_REGISTRATION_LINES {
                return self.close_on_flood(events);
            }
            self.apply_registration_line(&line, events);
            if self.phase == Phase::Registering && self.registration.is_complete() {
                self.phase = Phase::Placing;
                events.push(FrontEvent::ConnectionRequested(self.connection_request()));
            }
        }
    }

    fn apply_registration_line(&mut self, line: &[u8], events: &mut Vec<FrontEvent>) {
        if line.is_empty() {
            return;
        }
        let Some(message) = parse_message(line) else {
            let reply = self.registration.numeric_reply(ERR_UNKNOWNCOMMAND, "* :Unknown command");
            return events.push(FrontEvent::ToClient(reply));
        };
        let command = message.command.to_ascii_uppercase();
        if command == QUIT {
            return self.close_client("Quit", events);
        }
        let reply = self.registration.apply_command(&command, &message.params);
        if !reply.is_empty() {
            events.push(FrontEvent::ToClient(reply));
        }
    }

    fn connection_request(&self) -> ConnectionRequest {
        let config = self.registration.config();
        ConnectionRequest {
            class: config.class.clone(),
            tenant: config.tenant.clone(),
            // A client that reconnects takes its nickname again.
            key: self.registration.nick().map(hash_client_key),
            ..ConnectionRequest::default()
        }
    }

    /// Closes the connection of a client that sends more than it may before a server has accepted: one that never
    /// completes its registration could keep the front busy.
    fn close_on_flood(&mut self, events: &mut Vec<FrontEvent>) {
        let is_too_far_ahead = self.phase == Phase::Placing && self.client_lines.len() > MAX_BYTES_AHEAD;
        if self.registration_lines > MAX_REGISTRATION_LINES
            || self.registration_bytes > MAX_REGISTRATION_BYTES
            || is_too_far_ahead
        {
            self.client_lines.take_all();
            self.close_client("Excess Flood", events);
        }
    }

    fn close_client(&mut self, reason: &str, events: &mut Vec<FrontEvent>) {
        self.phase = Phase::Closed;
        events.push(FrontEvent::ToClient(self.registration.closing_link(reason)));
        events.push(FrontEvent::Close);
    }

    /// Relays the client's lines to the server that has accepted it.
    fn relay_to_server(&mut self, events: &mut Vec<FrontEvent>) {
        let mut lines = Vec::new();
        while let Some(line) = self.next_client_line(events) {
            self.has_quit |=
                parse_message(&line).is_some_and(|message| message.command.eq_ignore_ascii_case(QUIT));
            lines.extend_from_slice(&line);
            lines.extend_from_slice(CRLF);
        }
        if !lines.is_empty() {
            events.push(FrontEvent::ToServer(lines));
        }
    }

    fn relay_to_client(&mut self, bytes: &[u8], events: &mut Vec<FrontEvent>) {
        let bytes = self.relay.relay(bytes, MAX_TAGGED_LINE_LENGTH).into_bytes();
        if !bytes.is_empty() {
            events.push(FrontEvent::ToClient(bytes));
        }
    }

    /// Reads the server's lines up to the one that decides the attempt; returns whether there was one.
    fn read_verdict(&mut self, events: &mut Vec<FrontEvent>) -> bool {
        loop {
            match self.server_lines.next_line(MAX_TAGGED_LINE_LENGTH) {
                NextLine::Incomplete => return false,
                NextLine::TooLong => {
                    events.push(FrontEvent::AttemptEnded(AttemptOutcome::Error));
                    return true;
                }
                NextLine::Line(line) => {
                    if self.apply_handshake_line(&line, events) {
                        return true;
                    }
                }
            }
        }
    }

    /// Reads a line of the server before its welcome; returns whether it decided the attempt.
    fn apply_handshake_line(&mut self, line: &[u8], events: &mut Vec<FrontEvent>) -> bool {
        let Some(message) = parse_message(line) else { return false };
        let terminated_line = [line, CRLF].concat();
        match &message.command.to_ascii_uppercase()[..] {
            PING => {
                let token = message.params.first().copied().unwrap_or_default();
                events.push(FrontEvent::ToServer([b"PONG :", token, CRLF].concat()));
                return false;
            }
            CAP if !message.params.get(1).is_some_and(|verb| verb.eq_ignore_ascii_case(CAP_NAK)) => {
                return false;
            }
            CAP | ERROR => events.push(FrontEvent::AttemptEnded(AttemptOutcome::Error)),
            _ => return self.apply_handshake_numeric(message.numeric(), terminated_line, events),
        }
        true
    }

    fn apply_handshake_numeric(
        &mut self,
        numeric: Option<u16>,
        line: Vec<u8>,
        events: &mut Vec<FrontEvent>,
    ) -> bool {
        match numeric {
            Some(RPL_WELCOME) => {
                self.phase = Phase::Established;
                let mut bytes = std::mem::take(&mut self.notices);
                bytes.extend(line);
                events.push(FrontEvent::ToClient(bytes));
                events.push(FrontEvent::Accepted);
            }
            // The server is full, or wants its clients to connect elsewhere.
            Some(RPL_TRYAGAIN | RPL_BOUNCE) => {
                events.push(FrontEvent::AttemptEnded(AttemptOutcome::Rejected));
            }
            // Another server would decide the same about the nickname or the password.
            Some(
                ERR_NONICKNAMEGIVEN | ERR_ERRONEUSNICKNAME | ERR_NICKNAMEINUSE | ERR_NICKCOLLISION
                | ERR_UNAVAILRESOURCE | ERR_PASSWDMISMATCH | ERR_YOUREBANNEDCREEP,
            ) => {
                let error = self.registration.closing_link("Registration refused");
                events.push(FrontEvent::ToClient([line, error].concat()));
                events.push(FrontEvent::AttemptEnded(AttemptOutcome::VerdictForwarded));
            }
            _ => {
                if self.notices.len() + line.len() <= MAX_NOTICE_BYTES {
                    self.notices.extend(line);
                }
                return false;
            }
        }
        true
    }

    fn rejection(&self, wait: Micros) -> Vec<u8> {
        let seconds = wait.as_secs_ceil().max(MIN_RETRY_AFTER_SECONDS);
        let text = format!("USER :Server load is too heavy. Please wait {seconds} s and try again.");
        let error = self.registration.closing_link(&format!("Try again in {seconds} s"));
        [self.registration.numeric_reply(RPL_TRYAGAIN, &text), error].concat()
    }

    fn migration_notice(&self) -> Vec<u8> {
        let (name, nick) = (&self.registration.config().name, self.registration.display_nick());
        let AdvertisedAddress { host, port } = &self.registration.config().address;
        let notice = format!(":{name} NOTICE {nick} :Your server is leaving; please reconnect\r\n");
        let text = format!("{host} {port} :Please use this Server/Port instead");
        [notice.into_bytes(), self.registration.numeric_reply(RPL_BOUNCE, &text)].concat()
    }
}

impl Front for Connection {
    fn client_sent(&mut self, bytes: &[u8], events: &mut Vec<FrontEvent>) {
        if self.phase == Phase::Closed {
            return;
        }
        if self.phase == Phase::Registering {
            self.registration_bytes += bytes.len();
        }
        self.client_lines.push(bytes);
        self.read_registration(events);
        // If the client were not read any further, its end would go unnoticed too, and a server would be sought for
        // nobody.
        if self.phase == Phase::Placing {
            self.close_on_flood(events);
        }
        if self.phase == Phase::Established {
            self.relay_to_server(events);
        }
    }

    fn open_attempt(&mut self, _wait: Micros) -> Vec<u8> {
        self.server_lines = LineBuffer::default();
        self.notices.clear();
        self.registration.encode_for_server()
    }

    fn server_sent(&mut self, bytes: &[u8], events: &mut Vec<FrontEvent>) {
        if self.phase == Phase::Established {
            return self.relay_to_client(bytes, events);
        }
        self.server_lines.push(bytes);
        if self.read_verdict(events) && self.phase == Phase::Established {
            let remaining = self.server_lines.take_all();
            self.relay_to_server(events);
            self.relay_to_client(&remaining, events);
        }
    }

    fn server_ended(&mut self, _broken: bool) -> AttemptOutcome {
        if self.has_quit {
            AttemptOutcome::Served
        } else {
            AttemptOutcome::Reset
        }
    }

    fn encode_answer(&mut self, answer: Answer) -> Vec<u8> {
        match answer {
            Answer::Rejected(wait) => self.rejection(wait),
            Answer::Failed => self.registration.closing_link("No server could be reached"),
            Answer::HandshakeTimedOut => self.registration.closing_link("Registration timed out"),
            // Within an unfinished line it would be read as part of that line.
            Answer::Migrated if self.relay.is_mid_line() => Vec::new(),
            Answer::Migrated => self.migration_notice(),
        }
    }

    fn take_partial_line(&mut self) -> Vec<u8> {
        self.relay.take_partial_line()
    }

    fn export_state(&self) -> Option<Vec<u8>> {
        let is_between_lines =
            self.client_lines.is_empty() && !self.is_skipping_line && self.relay.is_between_lines();
        let can_continue = self.phase == Phase::Established && is_between_lines && !self.has_quit;
        can_continue.then(|| self.registration.nick().unwrap_or_default().to_vec())
    }

    fn import_state(&mut self, nick: &[u8]) {
        self.phase = Phase::Established;
        self.registration.set_nick(nick);
    }

    fn buffered_bytes(&self) -> usize {
        if self.phase == Phase::Placing {
            self.client_lines.len()
        } else {
            0
        }
    }
}
