//! Protocol of one client connection, from the client's first line until the connection ends.

use super::keywords::{BUSY, ERR, MOVE, PONG};
use super::reply::{parse_server_reply, ServerReply};
use super::request::{parse_client_command, ClientCommand, RequestTemplate};
use crate::protocol::lines::{LineBuffer, LineLengthValidator, LineRelay, NextLine};
use crate::protocol::{Front, FrontEvent, CRLF, MAX_LINE_LENGTH};
use crate::routing::{Answer, AttemptOutcome};
use crate::Micros;

/// Maximum number of pings on one connection.
const MAX_PINGS: u32 = 8;

#[derive(Debug, Default, PartialEq)]
enum Phase {
    /// The client may send pings and its request.
    #[default]
    AwaitingRequest,
    /// The client has sent its request, and no server has accepted it.
    Placing,
    /// A server has accepted, and lines are relayed.
    Established,
    /// The client violated the protocol. Its further bytes are ignored.
    Closed,
}

/// Protocol of one client connection.
#[derive(Debug, Default)]
pub struct Connection {
    phase: Phase,
    /// Number of answered pings.
    pings: u32,
    client_lines: LineBuffer,
    /// Lines of the server before it accepts.
    server_lines: LineBuffer,
    request_template: RequestTemplate,
    /// Outcome that the server announced by its latest `BYE` or `MOVE`.
    announced_outcome: Option<AttemptOutcome>,
    /// Lines of the server after it has accepted.
    relay: LineRelay,
    /// Checks the length of the client's lines after a server has accepted.
    client_validator: LineLengthValidator,
}

impl Connection {
    /// Reads the client's lines until its request. Bytes after the request violate the protocol.
    fn read_client_commands(&mut self, events: &mut Vec<FrontEvent>) {
        while self.phase == Phase::AwaitingRequest {
            let line = match self.client_lines.next_line(MAX_LINE_LENGTH) {
                NextLine::Line(line) => line,
                NextLine::Incomplete => return,
                NextLine::TooLong => return self.close_on_protocol_error(events),
            };
            match parse_client_command(&line) {
                Some(ClientCommand::Ping) if self.pings < MAX_PINGS => {
                    self.pings += 1;
                    events.push(FrontEvent::Ping([PONG, CRLF].concat()));
                }
                // A client has to wait for its answer: no bytes may follow its request.
                Some(ClientCommand::Open { request, template }) if self.client_lines.is_empty() => {
                    self.phase = Phase::Placing;
                    self.request_template = template;
                    events.push(FrontEvent::ConnectionRequested(*request));
                }
                _ => return self.close_on_protocol_error(events),
            }
        }
        if !self.client_lines.is_empty() {
            self.close_on_protocol_error(events);
        }
    }

    /// Sends an error to a client that violated the protocol, and closes its connection. Its further bytes
    /// are ignored.
    fn close_on_protocol_error(&mut self, events: &mut Vec<FrontEvent>) {
        self.phase = Phase::Closed;
        self.client_lines.take_all();
        events.extend([FrontEvent::ToClient([ERR, CRLF].concat()), FrontEvent::Close]);
    }

    /// Reads the server's first line, which accepts the connection or ends the attempt.
    fn read_verdict(&mut self, events: &mut Vec<FrontEvent>) {
        let line = match self.server_lines.next_line(MAX_LINE_LENGTH) {
            NextLine::Line(line) => line,
            NextLine::Incomplete => return,
            NextLine::TooLong => return events.push(FrontEvent::AttemptEnded(AttemptOutcome::Error)),
        };
        match parse_server_reply(&line) {
            ServerReply::Up => {
                self.phase = Phase::Established;
                events.push(FrontEvent::ToClient([&line[..], CRLF].concat()));
                events.push(FrontEvent::Accepted);
            }
            ServerReply::Busy => events.push(FrontEvent::AttemptEnded(AttemptOutcome::Rejected)),
            _ => events.push(FrontEvent::AttemptEnded(AttemptOutcome::Error)),
        }
    }

    fn relay_to_client(&mut self, bytes: &[u8], events: &mut Vec<FrontEvent>) {
        let relayed = self.relay.relay(bytes, MAX_LINE_LENGTH);
        for line in relayed.lines.split_inclusive(|&b| b == b'\n') {
            match parse_server_reply(line.trim_ascii_end()) {
                ServerReply::Load(load) => events.push(FrontEvent::Load(load)),
                ServerReply::Bye => self.announced_outcome = Some(AttemptOutcome::Served),
                ServerReply::Move => self.announced_outcome = Some(AttemptOutcome::RedirectedByServer),
                _ => {}
            }
        }
        let bytes = relayed.into_bytes();
        if !bytes.is_empty() {
            events.push(FrontEvent::ToClient(bytes));
        }
    }
}

impl Front for Connection {
    fn client_sent(&mut self, bytes: &[u8], events: &mut Vec<FrontEvent>) {
        match self.phase {
            Phase::Closed => {}
            Phase::Established if self.client_validator.accept(bytes, MAX_LINE_LENGTH) => {
                events.push(FrontEvent::ToServer(bytes.to_vec()));
            }
            // An unterminated line would occupy this balancer and a server without limit.
            Phase::Established => self.close_on_protocol_error(events),
            Phase::AwaitingRequest | Phase::Placing => {
                self.client_lines.push(bytes);
                self.read_client_commands(events);
            }
        }
    }

    fn has_unprocessed_lines(&self) -> bool {
        false
    }

    fn open_attempt(&mut self, acceptance_timeout: Micros) -> Vec<u8> {
        self.server_lines = LineBuffer::default();
        self.request_template.with_timeout(acceptance_timeout)
    }

    fn server_sent(&mut self, bytes: &[u8], events: &mut Vec<FrontEvent>) {
        if self.phase == Phase::Established {
            return self.relay_to_client(bytes, events);
        }
        self.server_lines.push(bytes);
        self.read_verdict(events);
        if self.phase == Phase::Established {
            let remaining = self.server_lines.take_all();
            self.relay_to_client(&remaining, events);
        }
    }

    fn server_ended(&mut self, _broken: bool) -> AttemptOutcome {
        self.announced_outcome.unwrap_or(AttemptOutcome::Reset)
    }

    fn encode_answer(&mut self, answer: Answer) -> Vec<u8> {
        match answer {
            Answer::Rejected(Micros::ZERO) => [BUSY, CRLF].concat(),
            Answer::Rejected(retry_after) => {
                let retry_after_ms = retry_after.as_millis_ceil().to_string();
                [BUSY, b" ", retry_after_ms.as_bytes(), CRLF].concat()
            }
            Answer::Failed => [ERR, CRLF].concat(),
            Answer::RequestTimedOut => Vec::new(),
            // After part of a line, the client would read the message as the rest of that line.
            Answer::Migrated if self.relay.is_mid_line() => Vec::new(),
            Answer::Migrated => [MOVE, CRLF].concat(),
        }
    }

    fn take_partial_line(&mut self) -> Vec<u8> {
        self.relay.take_partial_line()
    }

    fn export_state(&self) -> Option<Vec<u8>> {
        let is_between_lines = self.client_validator.is_between_lines() && self.relay.is_between_lines();
        let can_continue = is_between_lines && self.announced_outcome.is_none();
        (self.phase == Phase::Established && can_continue).then(Vec::new)
    }

    fn import_state(&mut self, _state: &[u8]) {
        self.phase = Phase::Established;
    }

    fn buffered_bytes(&self) -> usize {
        self.client_lines.len()
    }
}
