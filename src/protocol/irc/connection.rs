//! Protocol of one client connection.

use std::rc::Rc;

use super::client_lines::{ClientLine, ClientLines};
use super::handshake::{HandshakeStep, ServerHandshake};
use super::message::{ERR_UNKNOWNCOMMAND, QUIT};
use super::registration::Registration;
use super::{parse_message, IrcConfig, MAX_TAGGED_LINE_LENGTH};
use crate::protocol::lines::LineRelay;
use crate::protocol::{hash_client_key, Front, FrontEvent, CRLF};
use crate::routing::{Answer, AttemptOutcome, ConnectionRequest};
use crate::Micros;

/// Maximum number of lines that a client may send before its registration is complete.
const MAX_REGISTRATION_LINES: u32 = 64;
/// Maximum number of bytes that a client may send before its registration is complete, including skipped
/// bytes.
const MAX_REGISTRATION_BYTES: usize = 64 << 10;
/// Number of bytes of answers to invalid lines after which the client's further lines are kept unprocessed.
const MAX_ANSWER_BYTES: usize = 4 << 10;
/// Maximum number of bytes that a client may send between its registration and the acceptance by a server.
const MAX_EARLY_BYTES: usize = 8 << 10;

#[derive(Debug, Default, PartialEq)]
enum Phase {
    /// The client's registration is not complete yet.
    #[default]
    Registering,
    /// The registration is complete, and no server has accepted the client.
    Placing,
    /// A server has accepted, and lines are relayed.
    Established,
    /// The client's connection is being closed. Its further bytes are ignored.
    Closed,
}

/// Protocol of one client connection.
#[derive(Debug, Default)]
pub struct Connection {
    phase: Phase,
    registration: Registration,
    /// Number of lines that the client sent before its registration was complete.
    registration_lines: u32,
    /// Number of bytes that the client sent before its registration was complete.
    registration_bytes: usize,
    client_lines: ClientLines,
    /// Whether the client's lines were not all processed, because their answers take too much memory.
    has_unprocessed_lines: bool,
    /// Lines of the server before it accepts.
    handshake: ServerHandshake,
    /// Lines of the server after it has accepted.
    relay: LineRelay,
    /// The client has sent `QUIT` after a server accepted it.
    has_quit: bool,
}

impl Connection {
    /// Creates the protocol of a new connection of the front.
    pub fn new(config: Rc<IrcConfig>) -> Connection {
        Connection { registration: Registration::new(config), ..Connection::default() }
    }

    /// Removes and returns the client's next valid line. Each invalid line before it is answered by one
    /// event. Returns `None` if no further line is complete, or if the answers of this call and of earlier
    /// ones in `events` have at least `max_answer_bytes`.
    fn next_client_line(&mut self, max_answer_bytes: usize, events: &mut Vec<FrontEvent>) -> Option<Vec<u8>> {
        loop {
            self.has_unprocessed_lines = answer_bytes(events) >= max_answer_bytes;
            if self.has_unprocessed_lines {
                return None;
            }
            let reply = match self.client_lines.next_line() {
                ClientLine::Valid(line) => return Some(line),
                ClientLine::Incomplete => return None,
                ClientLine::TooLong => self.registration.input_too_long(),
                ClientLine::ContainsNul => self.registration.input_contains_nul(),
            };
            events.push(FrontEvent::ToClient(reply));
        }
    }

    fn read_registration(&mut self, events: &mut Vec<FrontEvent>) {
        while self.phase == Phase::Registering {
            let events_before = events.len();
            // The number of lines is limited during the registration, and so are the answers.
            let line = self.next_client_line(usize::MAX, events);
            // Each invalid line was answered by one event.
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
            // A client that reconnects uses the same nickname.
            key: self.registration.nick().map(hash_client_key),
            ..ConnectionRequest::default()
        }
    }

    /// Closes the connection of a client that has sent more than it may before a server accepts. Without this
    /// limit, a client that never completes its registration could occupy the front.
    fn close_on_flood(&mut self, events: &mut Vec<FrontEvent>) {
        let exceeds_early_bytes = self.phase == Phase::Placing && self.client_lines.len() > MAX_EARLY_BYTES;
        if self.registration_lines > MAX_REGISTRATION_LINES
            || self.registration_bytes > MAX_REGISTRATION_BYTES
            || exceeds_early_bytes
        {
            self.client_lines.clear();
            self.close_client("Excess Flood", events);
        }
    }

    fn close_client(&mut self, reason: &str, events: &mut Vec<FrontEvent>) {
        self.phase = Phase::Closed;
        events.push(FrontEvent::ToClient(self.registration.closing_link(reason)));
        events.push(FrontEvent::Close);
    }

    /// Relays the client's valid lines to the server, and records a `QUIT`. Lines that follow
    /// [`MAX_ANSWER_BYTES`] of answers are kept for the next call.
    fn relay_to_server(&mut self, events: &mut Vec<FrontEvent>) {
        let mut lines = Vec::new();
        while let Some(line) = self.next_client_line(MAX_ANSWER_BYTES, events) {
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

    /// Processes the server's lines up to the one that accepts the client or ends the attempt.
    fn read_handshake(&mut self, events: &mut Vec<FrontEvent>) {
        while let Some(step) = self.handshake.next_step() {
            match step {
                HandshakeStep::Reply(reply) => {
                    events.push(FrontEvent::ToServer(reply));
                    continue;
                }
                HandshakeStep::Accepted(lines) => {
                    self.phase = Phase::Established;
                    events.extend([FrontEvent::ToClient(lines), FrontEvent::Accepted]);
                }
                HandshakeStep::RegistrationRefused(line) => {
                    let error = self.registration.closing_link("Registration refused");
                    events.push(FrontEvent::ToClient([line, error].concat()));
                    events.push(FrontEvent::AttemptEnded(AttemptOutcome::VerdictForwarded));
                }
                HandshakeStep::Failed(outcome) => events.push(FrontEvent::AttemptEnded(outcome)),
            }
            return;
        }
    }
}

/// Returns the number of bytes that these events send to the client.
fn answer_bytes(events: &[FrontEvent]) -> usize {
    let sent = events.iter().filter_map(|event| match event {
        FrontEvent::ToClient(bytes) => Some(bytes.len()),
        _ => None,
    });
    sent.sum()
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
        // The client is still read while a server is chosen. Otherwise its disconnection would not be
        // noticed, and a server would be chosen for a client that has left.
        if self.phase == Phase::Placing {
            self.close_on_flood(events);
        }
        if self.phase == Phase::Established {
            self.relay_to_server(events);
        }
    }

    fn has_unprocessed_lines(&self) -> bool {
        self.has_unprocessed_lines
    }

    fn open_attempt(&mut self, _acceptance_timeout: Micros) -> Vec<u8> {
        self.handshake = ServerHandshake::default();
        self.registration.encode_for_server()
    }

    fn server_sent(&mut self, bytes: &[u8], events: &mut Vec<FrontEvent>) {
        if self.phase == Phase::Established {
            return self.relay_to_client(bytes, events);
        }
        self.handshake.push(bytes);
        self.read_handshake(events);
        if self.phase == Phase::Established {
            let remaining = self.handshake.take_remaining();
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
            Answer::Rejected(retry_after) => self.registration.rejection(retry_after),
            Answer::Failed => self.registration.closing_link("No server could be reached"),
            Answer::RequestTimedOut => self.registration.closing_link("Registration timed out"),
            // After part of a line, the client would read the message as the rest of that line.
            Answer::Migrated if self.relay.is_mid_line() => Vec::new(),
            Answer::Migrated => self.registration.migration_notice(),
        }
    }

    fn take_partial_line(&mut self) -> Vec<u8> {
        self.relay.take_partial_line()
    }

    fn export_state(&self) -> Option<Vec<u8>> {
        let is_between_lines = self.client_lines.is_between_lines() && self.relay.is_between_lines();
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
