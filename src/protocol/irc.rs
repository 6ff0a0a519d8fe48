//! The IRC front: RFC 1459 and 2812 with IRCv3's `CAP`. A registration that is complete is what the
//! client asks; the attempt repeats it to a server, and `001` there is its acceptance.

use std::rc::Rc;

use winnow::combinator::{opt, preceded, repeat, terminated};
use winnow::token::{rest, take_till, take_while};
use winnow::{ModalResult, Parser};

use super::lines::{Cut, Lines, Relay};
use super::{Front, Step};
use crate::routing::{Answer, AttemptOutcome, ConnectionRequest};
use crate::Micros;

/// The longest line, its end included, without its tags (RFC 1459, 2.3).
pub const LONGEST_LINE: usize = 512;
/// The longest tags of a line, `@` and the space after them included (IRCv3 message tags).
pub const LONGEST_TAGS: usize = 8191;
/// Lines that may come before registration is complete.
const MOST_LINES: u32 = 64;
/// Bytes that may come before that, the passed over ones included.
const MOST_BYTES: usize = 64 << 10;
/// Bytes of a server's notices before its welcome that are kept for the client.
const MOST_NOTICES: usize = 4096;
/// Bytes that a client may send ahead while it waits for its server.
const MOST_AHEAD: usize = 8 << 10;

/// What the front is set up with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IrcConfig {
    /// Its name, as it stands before its own lines.
    pub name: String,
    /// Where the client is told to come again.
    pub address: (String, u16),
    /// The class and tenant of what is asked here.
    pub class: String,
    pub tenant: Option<String>,
    /// Capabilities that may be asked for; each server has to have them.
    pub capabilities: Vec<String>,
}

/// A message, without its end.
#[derive(Debug, PartialEq)]
pub struct Message<'a> {
    /// What it says is to be done, or three digits.
    pub command: &'a [u8],
    /// Its parameters.
    pub params: Vec<&'a [u8]>,
}

fn word<'a>(input: &mut &'a [u8]) -> ModalResult<&'a [u8]> {
    take_till(1.., b' ').parse_next(input)
}

fn spaces(input: &mut &[u8]) -> ModalResult<()> {
    take_while(1.., b' ').void().parse_next(input)
}

fn message_parts<'a>(input: &mut &'a [u8]) -> ModalResult<Message<'a>> {
    opt(terminated(preceded(b'@', word), spaces)).void().parse_next(input)?;
    opt(terminated(preceded(b':', word), spaces)).void().parse_next(input)?;
    let command = take_while(1.., |b: u8| b.is_ascii_alphanumeric()).parse_next(input)?;
    let middle = preceded(spaces, word.verify(|word: &[u8]| word[0] != b':'));
    let mut params: Vec<&[u8]> = repeat(0..=15, middle).parse_next(input)?;
    params.extend(opt(preceded((spaces, b':'), rest)).parse_next(input)?);
    take_while(0.., b' ').void().parse_next(input)?;
    Ok(Message { command, params })
}

/// Reads a line, without its end.
pub fn message(line: &[u8]) -> Option<Message<'_>> {
    message_parts.parse(line).ok()
}

/// Whether a line, without its end, is longer than a line may be.
fn too_long(line: &[u8]) -> bool {
    let tags = if line.first() == Some(&b'@') {
        line.iter().position(|&b| b == b' ').map_or(line.len(), |at| at + 1)
    } else {
        0
    };
    tags > LONGEST_TAGS || line.len() - tags + 2 > LONGEST_LINE
}

#[derive(Debug, Default, PartialEq)]
enum Phase {
    #[default]
    Registering,
    Placing,
    Established,
    /// Nothing that comes is read any more.
    Over,
}

/// What the client has said of itself.
#[derive(Debug, Default)]
struct Registration {
    pass: Option<Vec<u8>>,
    nick: Option<Vec<u8>>,
    user: Option<Vec<u8>>,
    granted: Vec<String>,
    /// Capabilities are being negotiated: registration waits for `CAP END`.
    negotiating: bool,
}

/// One connection.
#[derive(Debug, Default)]
pub struct Connection {
    setup: Rc<IrcConfig>,
    phase: Phase,
    registration: Registration,
    lines: u32,
    bytes: usize,
    client: Lines,
    /// The rest of a line that was too long is passed over up to its end.
    skipping: bool,
    server: Lines,
    /// What the server said before its welcome.
    notices: Vec<u8>,
    relay: Relay,
    /// The client has said that it goes.
    quit: bool,
}

impl Connection {
    /// A connection of a front.
    pub fn new(setup: Rc<IrcConfig>) -> Connection {
        Connection { setup, ..Connection::default() }
    }

    fn nick(&self) -> String {
        self.registration.nick.as_ref().map_or("*".into(), |nick| String::from_utf8_lossy(nick).into_owned())
    }

    fn numeric(&self, figure: u16, text: &str) -> Vec<u8> {
        format!(":{} {figure:03} {} {text}\r\n", self.setup.name, self.nick()).into_bytes()
    }

    fn error(&self, why: &str) -> Vec<u8> {
        format!("ERROR :Closing Link: {} ({why})\r\n", self.nick()).into_bytes()
    }

    /// The next line of the client that is fit to be read; what is not is answered here.
    fn next_line(&mut self, steps: &mut Vec<Step>) -> Option<Vec<u8>> {
        loop {
            let cut = self.client.next(LONGEST_TAGS + LONGEST_LINE);
            let skipped = std::mem::take(&mut self.skipping);
            let line = match cut {
                Cut::None => {
                    self.skipping = skipped;
                    return None;
                }
                // Danger: a line without end must not fill the memory.
                Cut::TooLong => {
                    self.skipping = !self.client.drop_line();
                    if !skipped {
                        steps.push(Step::ToClient(self.numeric(417, ":Input line was too long")));
                    }
                    continue;
                }
                Cut::Line(_) if skipped => continue,
                Cut::Line(line) => line,
            };
            if too_long(&line) {
                steps.push(Step::ToClient(self.numeric(417, ":Input line was too long")));
            } else if line.contains(&0) {
                steps.push(Step::ToClient(self.numeric(400, ":Line with a NUL byte")));
            } else {
                return Some(line);
            }
        }
    }

    fn register(&mut self, steps: &mut Vec<Step>) {
        while self.phase == Phase::Registering {
            let before = steps.len();
            let Some(line) = self.next_line(steps) else {
                self.lines += (steps.len() - before) as u32;
                return self.flood(steps);
            };
            self.lines += 1 + (steps.len() - before) as u32;
            if self.lines > MOST_LINES {
                return self.flood(steps);
            }
            match message(&line) {
                None if line.is_empty() => {}
                None => steps.push(Step::ToClient(self.numeric(421, "* :Unknown command"))),
                Some(message) => {
                    let command = message.command.to_ascii_uppercase();
                    if command == b"QUIT" {
                        self.phase = Phase::Over;
                        steps.push(Step::ToClient(self.error("Quit")));
                        return steps.push(Step::Close);
                    }
                    let reply = self.command(&command, &message.params);
                    if !reply.is_empty() {
                        steps.push(Step::ToClient(reply));
                    }
                }
            }
            let said = &self.registration;
            if said.nick.is_some() && said.user.is_some() && !said.negotiating {
                self.phase = Phase::Placing;
                let (class, tenant) = (self.setup.class.clone(), self.setup.tenant.clone());
                // A tool that reconnects takes its nickname again.
                let key = said.nick.as_deref().map(super::hashed);
                steps.push(Step::ConnectionRequested(ConnectionRequest {
                    class,
                    tenant,
                    key,
                    ..ConnectionRequest::default()
                }));
            }
        }
    }

    /// What a command before registration is answered with.
    fn command(&mut self, command: &[u8], params: &[&[u8]]) -> Vec<u8> {
        let name = String::from_utf8_lossy(command).into_owned();
        let few = |this: &Self| this.numeric(461, &format!("{name} :Not enough parameters"));
        match (command, params) {
            (b"CAP", []) | (b"PASS", []) => few(self),
            (b"CAP", [verb, rest @ ..]) => self.capability(&verb.to_ascii_uppercase(), rest),
            (b"PASS", [pass, ..]) => {
                self.registration.pass = Some(pass.to_vec());
                Vec::new()
            }
            (b"NICK", []) => self.numeric(431, ":No nickname given"),
            (b"NICK", [nick, ..]) if !sound_nick(nick) => {
                let nick = String::from_utf8_lossy(nick);
                self.numeric(432, &format!("{nick} :Erroneous nickname"))
            }
            (b"NICK", [nick, ..]) => {
                self.registration.nick = Some(nick.to_vec());
                Vec::new()
            }
            (b"USER", [user, mode, unused, real, ..]) if !user.is_empty() => {
                let line = [b"USER ", *user, b" ", mode, b" ", unused, b" :", real].concat();
                self.registration.user = Some(line);
                Vec::new()
            }
            (b"USER", _) => few(self),
            (b"PING", [token, ..]) => {
                let name = &self.setup.name;
                [format!(":{name} PONG {name} :").as_bytes(), token, b"\r\n"].concat()
            }
            (b"PING", []) => self.numeric(409, ":No origin specified"),
            (b"PONG", _) => Vec::new(),
            _ => self.numeric(451, ":You have not registered"),
        }
    }

    fn capability(&mut self, verb: &[u8], params: &[&[u8]]) -> Vec<u8> {
        let (name, nick) = (self.setup.name.clone(), self.nick());
        let reply = |what: &str, list: &str| format!(":{name} CAP {nick} {what} :{list}\r\n").into_bytes();
        match verb {
            b"LS" => {
                self.registration.negotiating = true;
                reply("LS", &self.setup.capabilities.join(" "))
            }
            b"LIST" => reply("LIST", &self.registration.granted.join(" ")),
            b"REQ" => {
                self.registration.negotiating = true;
                let list = String::from_utf8_lossy(params.first().copied().unwrap_or_default()).into_owned();
                let wanted: Vec<&str> = list.split_ascii_whitespace().collect();
                let plain = |cap: &&str| cap.trim_start_matches('-').to_owned();
                if !wanted.iter().all(|cap| self.setup.capabilities.contains(&plain(cap))) {
                    return reply("NAK", &list);
                }
                for cap in &wanted {
                    self.registration.granted.retain(|granted| *granted != plain(cap));
                    if !cap.starts_with('-') {
                        self.registration.granted.push(plain(cap));
                    }
                }
                reply("ACK", &list)
            }
            b"END" => {
                self.registration.negotiating = false;
                Vec::new()
            }
            _ => {
                let verb = String::from_utf8_lossy(verb).into_owned();
                self.numeric(410, &format!("{verb} :Invalid CAP command"))
            }
        }
    }

    /// Danger: one that never completes its registration could keep the front busy for nothing.
    fn flood(&mut self, steps: &mut Vec<Step>) {
        let ahead = self.phase == Phase::Placing && self.client.len() > MOST_AHEAD;
        if self.lines > MOST_LINES || self.bytes > MOST_BYTES || ahead {
            self.phase = Phase::Over;
            self.client.take();
            steps.push(Step::ToClient(self.error("Excess Flood")));
            steps.push(Step::Close);
        }
    }

    /// Lines of the client for the server it has been placed at.
    fn relay_lines(&mut self, steps: &mut Vec<Step>) {
        let mut pass = Vec::new();
        while let Some(line) = self.next_line(steps) {
            self.quit |= message(&line).is_some_and(|m| m.command.eq_ignore_ascii_case(b"QUIT"));
            pass.extend_from_slice(&line);
            pass.extend_from_slice(b"\r\n");
        }
        if !pass.is_empty() {
            steps.push(Step::ToServer(pass));
        }
    }

    /// A line of the server before its welcome; whether it decided the attempt.
    fn verdict(&mut self, line: &[u8], steps: &mut Vec<Step>) -> bool {
        let whole = [line, b"\r\n"].concat();
        let Some(message) = message(line) else { return false };
        match &message.command.to_ascii_uppercase()[..] {
            b"PING" => {
                let token = message.params.first().copied().unwrap_or_default();
                steps.push(Step::ToServer([b"PONG :", token, b"\r\n"].concat()));
                return false;
            }
            b"001" => {
                self.phase = Phase::Established;
                let mut first = std::mem::take(&mut self.notices);
                first.extend_from_slice(&whole);
                steps.push(Step::ToClient(first));
                steps.push(Step::Up);
            }
            b"CAP" if message.params.get(1).is_some_and(|verb| verb.eq_ignore_ascii_case(b"NAK")) => {
                steps.push(Step::AttemptEnded(AttemptOutcome::Error))
            }
            b"CAP" => return false,
            b"ERROR" => steps.push(Step::AttemptEnded(AttemptOutcome::Error)),
            // The server is full, or wants its clients elsewhere.
            b"263" | b"010" => steps.push(Step::AttemptEnded(AttemptOutcome::Rejected)),
            // What it thinks of the nickname or the password no other server decides.
            b"431" | b"432" | b"433" | b"436" | b"437" | b"464" | b"465" => {
                let error = self.error("Registration refused");
                steps.push(Step::ToClient([whole, error].concat()));
                steps.push(Step::AttemptEnded(AttemptOutcome::VerdictForwarded));
            }
            _ => {
                if self.notices.len() + whole.len() <= MOST_NOTICES {
                    self.notices.extend_from_slice(&whole);
                }
                return false;
            }
        }
        true
    }
}

/// Nicknames as servers of today take them: no longer than a line allows, and nothing that would change the
/// meaning of a line.
fn sound_nick(nick: &[u8]) -> bool {
    let first = nick.first().is_some_and(|b| !b.is_ascii_digit() && !b"-:#&+!@$".contains(b));
    first && nick.len() <= 64 && nick.iter().all(|b| !b" ,*?!@\0".contains(b))
}

impl Front for Connection {
    fn client_sent(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        if self.phase == Phase::Over {
            return;
        }
        if self.phase == Phase::Registering {
            self.bytes += bytes.len();
        }
        self.client.push(bytes);
        self.register(steps);
        // Danger: not read any further, its end would not be seen either, and it would be sent on for nobody.
        if self.phase == Phase::Placing {
            self.flood(steps);
        }
        if self.phase == Phase::Established {
            self.relay_lines(steps);
        }
    }

    fn open_attempt(&mut self, _wait: Micros) -> Vec<u8> {
        self.server = Lines::default();
        self.notices.clear();
        let said = &self.registration;
        let mut lines = Vec::new();
        let mut line = |parts: &[&[u8]]| lines.extend_from_slice(&[&parts.concat(), &b"\r\n"[..]].concat());
        let granted = said.granted.join(" ");
        if !granted.is_empty() {
            line(&[b"CAP REQ :", granted.as_bytes()]);
        }
        if let Some(pass) = &said.pass {
            line(&[b"PASS :", pass]);
        }
        line(&[b"NICK ", said.nick.as_deref().unwrap_or_default()]);
        line(&[said.user.as_deref().unwrap_or_default()]);
        if !granted.is_empty() {
            line(&[b"CAP END"]);
        }
        lines
    }

    fn server_sent(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        let most = LONGEST_TAGS + LONGEST_LINE;
        let mut bytes = bytes.to_vec();
        if self.phase != Phase::Established {
            self.server.push(&bytes);
            loop {
                match self.server.next(most) {
                    Cut::None => return,
                    Cut::TooLong => return steps.push(Step::AttemptEnded(AttemptOutcome::Error)),
                    Cut::Line(line) if self.verdict(&line, steps) => break,
                    Cut::Line(_) => {}
                }
            }
            if self.phase != Phase::Established {
                return;
            }
            bytes = self.server.take();
            self.relay_lines(steps);
        }
        let (rest, lines) = self.relay.pass(&bytes, most);
        let pass = [rest, lines].concat();
        if !pass.is_empty() {
            steps.push(Step::ToClient(pass));
        }
    }

    fn server_ended(&mut self, _broken: bool) -> AttemptOutcome {
        if self.quit {
            AttemptOutcome::Served
        } else {
            AttemptOutcome::Reset
        }
    }

    fn answer(&mut self, answer: Answer) -> Vec<u8> {
        match answer {
            Answer::Rejected(wait) => {
                let wait = wait.div_ceil(1_000_000).max(1);
                let text = format!("USER :Server load is too heavy. Please wait {wait} s and try again.");
                let error = self.error(&format!("Try again in {wait} s"));
                [self.numeric(263, &text), error].concat()
            }
            Answer::Failed => self.error("No server could be reached"),
            Answer::HandshakeTimedOut => self.error("Registration timed out"),
            Answer::Migrated if self.relay.mid_line() => Vec::new(),
            Answer::Migrated => {
                let (name, nick) = (&self.setup.name, self.nick());
                let (server, port) = &self.setup.address;
                let notice = format!(":{name} NOTICE {nick} :Your server is leaving; please reconnect\r\n");
                let bounce =
                    self.numeric(10, &format!("{server} {port} :Please use this Server/Port instead"));
                [notice.into_bytes(), bounce].concat()
            }
        }
    }

    fn held_back(&mut self) -> Vec<u8> {
        self.relay.take()
    }

    fn at_rest(&self) -> Option<Vec<u8>> {
        let rest = self.client.is_empty() && !self.skipping && self.relay.at_start() && !self.quit;
        let nick = self.registration.nick.clone().unwrap_or_default();
        (self.phase == Phase::Established && rest).then_some(nick)
    }

    fn resume(&mut self, nick: &[u8]) {
        self.phase = Phase::Established;
        self.registration.nick = Some(nick.to_vec());
    }

    fn waiting(&self) -> usize {
        if self.phase == Phase::Placing {
            self.client.len()
        } else {
            0
        }
    }
}
