//! The platform's front: `OPEN` from the client, `UP`, `BUSY`, `ERR`, `BYE` and `MOVE` from servers, and lines in both
//! directions between.

use winnow::ascii::{dec_uint, float, hex_uint};
use winnow::combinator::{alt, opt, preceded, separated, separated_pair};
use winnow::error::ContextError;
use winnow::token::{rest, take_while};
use winnow::{ModalResult, Parser};

use super::lines::{LineBuffer, LineLengthValidator, LineRelay, NextLine};
use super::{hash_client_key, Front, Step, CRLF, MAX_LINE_LENGTH};
use crate::routing::{Answer, AttemptOutcome, ConnectionRequest, ProbeEnd};
use crate::{LoadReport, Micros};

// Commands of clients.
const PING: &[u8] = b"PING";
const OPEN: &[u8] = b"OPEN ";
// Replies of servers, of which some are answers to clients as well.
const UP: &[u8] = b"UP";
const BYE: &[u8] = b"BYE";
const MOVE: &[u8] = b"MOVE";
const ERR: &[u8] = b"ERR";
const BUSY: &[u8] = b"BUSY";
const LOAD: &[u8] = b"LOAD ";
const PONG: &[u8] = b"PONG";
const NO: &[u8] = b"NO";

/// The request line of a health check.
pub const PROBE_REQUEST: &[u8] = b"STATS\r\n";
/// Field of a load report: the number of connections at the server.
const REPORTED_CONNECTIONS: &str = "inflight";
/// The highest utilisation that a load report is believed; anything beyond is invalid.
const MAX_REPORTED_UTILISATION: f64 = 1000.0;

/// The longest wait that is accepted in a request, in milliseconds: a day.
const MAX_WAIT_MS: f64 = 86_400_000.0;
const MICROS_PER_MS: Micros = 1000;
/// The shortest wait that is sent to a server, in milliseconds.
const MIN_FORWARDED_WAIT_MS: Micros = 1;
/// The longest name or key, in bytes.
const MAX_NAME_LENGTH: usize = 64;
/// The most pings on one connection.
const MAX_PINGS: u32 = 8;

/// The first line of a client.
#[derive(Debug, PartialEq)]
pub enum Greeting {
    /// The client asks whether this balancer can serve.
    Ping,
    /// The client requests a connection.
    Open {
        /// What it asks for.
        request: Box<ConnectionRequest>,
        /// How its line is sent to a server.
        template: RequestTemplate,
    },
}

/// A client's request line around the value of its field `d`, the time that it waits.
#[derive(Debug, Default, PartialEq)]
pub struct RequestTemplate {
    /// The line up to the value of `d`; all of it where there is no such field.
    before_wait: Vec<u8>,
    /// The line after the value of `d`, if it has that field.
    after_wait: Option<Vec<u8>>,
}

impl RequestTemplate {
    /// The line for a server that is given this time.
    fn with_wait(&self, wait: Micros) -> Vec<u8> {
        let mut line = self.before_wait.clone();
        if let Some(after_wait) = &self.after_wait {
            let wait_ms = (wait / MICROS_PER_MS).max(MIN_FORWARDED_WAIT_MS);
            line.extend_from_slice(wait_ms.to_string().as_bytes());
            line.extend_from_slice(after_wait);
        }
        line.extend_from_slice(CRLF);
        line
    }
}

/// A line of a server.
#[derive(Debug, PartialEq)]
pub enum ServerReply {
    /// `UP`: it accepts the connection.
    Up,
    /// `BYE`: it ends the connection, which is complete.
    Bye,
    /// `MOVE`: the client is to connect elsewhere.
    Move,
    /// `ERR`: it cannot serve the connection.
    Error,
    /// `BUSY`: it rejects the connection.
    Busy,
    /// `LOAD`: the load of the connection.
    Load(f64),
    /// Any other line, which is for the client.
    Other,
}

/// A field `name=value` of a list.
#[derive(Clone, Copy)]
struct Field<'a> {
    name: &'a [u8],
    value: &'a [u8],
}

/// Parses a name or key. Neither `=` nor `,` may be in it: where one is left out, the list after it must not be taken
/// for it.
fn parse_name<'a>(input: &mut &'a [u8]) -> ModalResult<&'a [u8]> {
    let is_name_byte = |b: u8| b.is_ascii_graphic() && b != b'=' && b != b',';
    take_while(1..=MAX_NAME_LENGTH, is_name_byte).parse_next(input)
}

fn parse_field<'a>(input: &mut &'a [u8]) -> ModalResult<Field<'a>> {
    let value = take_while(0.., |b: u8| b.is_ascii_graphic() && b != b',');
    separated_pair(parse_name, b'=', value).map(|(name, value)| Field { name, value }).parse_next(input)
}

/// The parts of an `OPEN` line.
struct OpenLine<'a> {
    id: &'a [u8],
    key: &'a [u8],
    /// Length of the line's end that holds the fields.
    fields_length: usize,
    fields: Vec<Field<'a>>,
}

fn parse_open_line<'a>(input: &mut &'a [u8]) -> ModalResult<OpenLine<'a>> {
    let (_, id, _, key, _) = (OPEN, parse_name, b' ', parse_name, b' ').parse_next(input)?;
    let fields_length = input.len();
    let fields = separated(1.., parse_field, b',').parse_next(input)?;
    Ok(OpenLine { id, key, fields_length, fields })
}

fn parse_non_negative_number(text: &[u8]) -> Option<f64> {
    let number = float::<_, f64, ContextError>.parse(text).ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

fn to_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Reads a client's first line, without its end. A line that is not valid in all of its parts must reach no server.
pub fn parse_greeting(line: &[u8]) -> Option<Greeting> {
    if line == PING {
        return Some(Greeting::Ping);
    }
    let open = parse_open_line.parse(line).ok()?;
    decode_open_line(line, &open)
}

fn decode_open_line(line: &[u8], open: &OpenLine<'_>) -> Option<Greeting> {
    let mut request = ConnectionRequest {
        id: Some(to_text(open.id)),
        key: Some(hash_client_key(open.key)),
        ..ConnectionRequest::default()
    };
    // Only the value of `d` may change on its way; the rest has to stay as it was received.
    let mut template = RequestTemplate { before_wait: line.to_vec(), after_wait: None };
    let mut field_start = line.len() - open.fields_length;
    for (index, field) in open.fields.iter().enumerate() {
        if open.fields[..index].iter().any(|earlier| earlier.name == field.name) {
            return None;
        }
        if field.name == b"d" {
            let value_start = field_start + field.name.len() + 1;
            template.before_wait = line[..value_start].to_vec();
            template.after_wait = Some(line[value_start + field.value.len()..].to_vec());
        }
        apply_request_field(&mut request, *field)?;
        field_start += field.name.len() + field.value.len() + 2;
    }
    // A request without a wait is valid only for a connection that was established before.
    let has_wait = request.wait.is_some() || request.established_at.is_some();
    (has_wait && !request.class.is_empty()).then_some(Greeting::Open { request: Box::new(request), template })
}

/// Sets what a field of a request says; none if its value is invalid. Unknown fields are passed on unread.
fn apply_request_field(request: &mut ConnectionRequest, field: Field<'_>) -> Option<()> {
    let value = field.value;
    match field.name {
        b"c" => request.class = to_text(value),
        b"t" => request.tenant = Some(to_text(value)).filter(|name| name != "0"),
        b"g" => request.group = Some(hex_uint::<_, u64, ContextError>.parse(value).ok()?),
        b"h" => request.load = Some(parse_non_negative_number(value)?),
        b"again" => request.again = value == b"1",
        b"at" => request.established_at = Some(to_text(value)).filter(|name| !name.is_empty()),
        b"d" => {
            let wait_ms = parse_non_negative_number(value).filter(|ms| *ms <= MAX_WAIT_MS)?;
            request.wait = Some((wait_ms * MICROS_PER_MS as f64) as Micros);
        }
        _ => {}
    }
    Some(())
}

/// Reads a line of a server, without its end.
pub fn parse_server_reply(line: &[u8]) -> ServerReply {
    let arguments = || opt(preceded(b' ', rest));
    let parsed = alt((
        (UP, arguments()).map(|_| ServerReply::Up),
        (BYE, arguments()).map(|_| ServerReply::Bye),
        (MOVE, arguments()).map(|_| ServerReply::Move),
        (ERR, arguments()).map(|_| ServerReply::Error),
        (BUSY, opt(preceded(b' ', dec_uint::<_, u64, _>))).map(|_| ServerReply::Busy),
        preceded(LOAD, float::<_, f64, ContextError>).map(ServerReply::Load),
    ))
    .parse(line);
    parsed.unwrap_or(ServerReply::Other)
}

/// The value of a field of a load report, if it is there once and from 0 to `max`.
fn reported_number(fields: &[Field<'_>], name: &str, max: f64) -> Option<f64> {
    let mut matching = fields.iter().filter(|field| field.name == name.as_bytes());
    let field = matching.next().filter(|_| matching.next().is_none())?;
    let number = float::<_, f64, ContextError>.parse(field.value).ok()?;
    (0.0..=max).contains(&number).then_some(number)
}

/// Decodes a load report, with the utilisation under the first of these names that it holds. A value that is invalid or
/// ambiguous must make no server look better than it is, nor worse.
fn decode_load_report(fields: &[Field<'_>], utilisation_names: &[&str]) -> Option<LoadReport> {
    let has_field = |name: &str| fields.iter().any(|field| field.name == name.as_bytes());
    let name = utilisation_names.iter().find(|name| has_field(name))?;
    let utilisation = reported_number(fields, name, MAX_REPORTED_UTILISATION)?;
    Some(LoadReport { utilisation, connections: reported_number(fields, REPORTED_CONNECTIONS, f64::MAX) })
}

/// Reads the answer to a health check, without the line's end. Its load report has the utilisation under one of
/// `utilisation_names`.
pub fn parse_probe_answer(line: &[u8], utilisation_names: &[&str]) -> ProbeEnd {
    #[derive(Clone, Copy)]
    enum Status {
        Healthy,
        Error,
        Unwanted,
    }
    let status = alt((PONG.value(Status::Healthy), ERR.value(Status::Error), NO.value(Status::Unwanted)));
    let fields = opt(preceded(b' ', separated(0.., parse_field, b',')));
    let Ok((status, fields)) = (status, fields).parse(line) else { return ProbeEnd::Nothing };
    let fields: Vec<Field<'_>> = fields.unwrap_or_default();
    match status {
        Status::Healthy => ProbeEnd::Answered(decode_load_report(&fields, utilisation_names)),
        Status::Error => ProbeEnd::Error(decode_load_report(&fields, utilisation_names)),
        Status::Unwanted => ProbeEnd::Unwanted,
    }
}

#[derive(Debug, Default, PartialEq)]
enum Phase {
    /// The client's first line is awaited.
    #[default]
    Greeting,
    /// A server is being sought.
    Placing,
    /// A server has accepted, and lines are relayed.
    Established,
    /// The client broke its protocol, and nothing more of it is read.
    Closed,
}

/// The protocol of one client connection.
#[derive(Debug, Default)]
pub struct Connection {
    phase: Phase,
    /// Pings that have been answered.
    pings: u32,
    client_lines: LineBuffer,
    /// Lines of the server before it accepts.
    server_lines: LineBuffer,
    request_template: RequestTemplate,
    /// The outcome that the server's last message announced.
    announced_outcome: Option<AttemptOutcome>,
    /// Lines of the server once it has accepted.
    relay: LineRelay,
    /// Checks the client's lines once a server has accepted.
    client_validator: LineLengthValidator,
}

impl Connection {
    fn read_greetings(&mut self, steps: &mut Vec<Step>) {
        while self.phase == Phase::Greeting {
            let line = match self.client_lines.next_line(MAX_LINE_LENGTH) {
                NextLine::Line(line) => line,
                NextLine::Incomplete => return,
                NextLine::TooLong => return self.fail_protocol(steps),
            };
            match parse_greeting(&line) {
                Some(Greeting::Ping) if self.pings < MAX_PINGS => {
                    self.pings += 1;
                    steps.push(Step::Ping([PONG, CRLF].concat()));
                }
                // A client has to wait for its answer: no bytes may follow its request.
                Some(Greeting::Open { request, template }) if self.client_lines.is_empty() => {
                    self.phase = Phase::Placing;
                    self.request_template = template;
                    steps.push(Step::ConnectionRequested(*request));
                }
                _ => return self.fail_protocol(steps),
            }
        }
        if !self.client_lines.is_empty() {
            self.fail_protocol(steps);
        }
    }

    /// Answers a client that broke the protocol with an error, and reads nothing more of it.
    fn fail_protocol(&mut self, steps: &mut Vec<Step>) {
        self.phase = Phase::Closed;
        self.client_lines.take_all();
        steps.extend([Step::ToClient([ERR, CRLF].concat()), Step::Close]);
    }

    /// Reads the first line of the server, which decides the attempt.
    fn read_verdict(&mut self, steps: &mut Vec<Step>) {
        let line = match self.server_lines.next_line(MAX_LINE_LENGTH) {
            NextLine::Line(line) => line,
            NextLine::Incomplete => return,
            NextLine::TooLong => return steps.push(Step::AttemptEnded(AttemptOutcome::Error)),
        };
        match parse_server_reply(&line) {
            ServerReply::Up => {
                self.phase = Phase::Established;
                steps.push(Step::ToClient([&line[..], CRLF].concat()));
                steps.push(Step::Up);
            }
            ServerReply::Busy => steps.push(Step::AttemptEnded(AttemptOutcome::Rejected)),
            _ => steps.push(Step::AttemptEnded(AttemptOutcome::Error)),
        }
    }

    fn relay_to_client(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        let relayed = self.relay.relay(bytes, MAX_LINE_LENGTH);
        for line in relayed.lines.split_inclusive(|&b| b == b'\n') {
            match parse_server_reply(line.trim_ascii_end()) {
                ServerReply::Load(load) => steps.push(Step::Load(load)),
                ServerReply::Bye => self.announced_outcome = Some(AttemptOutcome::Served),
                ServerReply::Move => self.announced_outcome = Some(AttemptOutcome::RedirectedByServer),
                _ => {}
            }
        }
        let bytes = relayed.into_bytes();
        if !bytes.is_empty() {
            steps.push(Step::ToClient(bytes));
        }
    }
}

impl Front for Connection {
    fn client_sent(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        match self.phase {
            Phase::Closed => {}
            Phase::Established if self.client_validator.accept(bytes, MAX_LINE_LENGTH) => {
                steps.push(Step::ToServer(bytes.to_vec()));
            }
            // A line without an end would keep this balancer and a server busy forever.
            Phase::Established => self.fail_protocol(steps),
            Phase::Greeting | Phase::Placing => {
                self.client_lines.push(bytes);
                self.read_greetings(steps);
            }
        }
    }

    fn open_attempt(&mut self, wait: Micros) -> Vec<u8> {
        self.server_lines = LineBuffer::default();
        self.request_template.with_wait(wait)
    }

    fn server_sent(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        if self.phase == Phase::Established {
            return self.relay_to_client(bytes, steps);
        }
        self.server_lines.push(bytes);
        self.read_verdict(steps);
        if self.phase == Phase::Established {
            let remaining = self.server_lines.take_all();
            self.relay_to_client(&remaining, steps);
        }
    }

    fn server_ended(&mut self, _broken: bool) -> AttemptOutcome {
        self.announced_outcome.unwrap_or(AttemptOutcome::Reset)
    }

    fn encode_answer(&mut self, answer: Answer) -> Vec<u8> {
        match answer {
            Answer::Rejected(0) => [BUSY, CRLF].concat(),
            Answer::Rejected(wait) => {
                let wait_ms = wait.div_ceil(MICROS_PER_MS).to_string();
                [BUSY, b" ", wait_ms.as_bytes(), CRLF].concat()
            }
            Answer::Failed => [ERR, CRLF].concat(),
            Answer::HandshakeTimedOut => Vec::new(),
            // Within an unfinished line it would be read as part of that line.
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
