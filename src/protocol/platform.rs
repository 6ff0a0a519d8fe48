//! The platform's front: `OPEN` from the client, `UP`, `BUSY`, `ERR`, `BYE` and `MOVE` from
//! servers, and lines both ways between.

use winnow::ascii::{dec_uint, float, hex_uint};
use winnow::combinator::{alt, opt, preceded, separated, separated_pair};
use winnow::error::ContextError;
use winnow::token::{rest, take_while};
use winnow::{ModalResult, Parser};

use super::lines::{Cut, Lines, Measure, Relay};
use super::{hashed, Front, Step, LONGEST_LINE};
use crate::routing::{Answer, AttemptOutcome, ConnectionRequest, ProbeEnd};
use crate::{LoadReport, Micros};

/// The first line of a client.
#[derive(Debug, PartialEq)]
pub enum Greeting {
    /// The front asks whether this balancer is there.
    Ping,
    /// A connection is wanted. `d` in the line is the piece between its parts.
    Open { ask: Box<ConnectionRequest>, before: Vec<u8>, after: Option<Vec<u8>> },
}

/// A line of a server.
#[derive(Debug, PartialEq)]
pub enum ServerReply {
    Up,
    Bye,
    Move,
    Error,
    Busy,
    Load(f64),
    Other,
}

/// The longest wait that is believed, in milliseconds: a day.
const LONGEST_WAIT: f64 = 86_400_000.0;
/// The longest id or key.
const LONGEST_NAME: usize = 64;
/// The front may ask so often on one connection whether this balancer is there.
const MOST_PINGS: u32 = 8;

/// An id or a key. Danger: where one is left out, the list after it must not pass for it.
fn name<'a>(input: &mut &'a [u8]) -> ModalResult<&'a [u8]> {
    let sound = |b: u8| b.is_ascii_graphic() && b != b'=' && b != b',';
    take_while(1..=LONGEST_NAME, sound).parse_next(input)
}

fn pair<'a>(input: &mut &'a [u8]) -> ModalResult<(&'a [u8], &'a [u8])> {
    let value = take_while(0.., |b: u8| b.is_ascii_graphic() && b != b',');
    separated_pair(name, b'=', value).parse_next(input)
}

/// The id of `OPEN`, its flow's key, how much of the line is left from its list on, and the list.
type Open<'a> = (&'a [u8], &'a [u8], usize, Vec<(&'a [u8], &'a [u8])>);

fn open<'a>(input: &mut &'a [u8]) -> ModalResult<Open<'a>> {
    let (_, id, _, key, _) = (b"OPEN ", name, b' ', name, b' ').parse_next(input)?;
    let list = input.len();
    Ok((id, key, list, separated(1.., pair, b',').parse_next(input)?))
}

/// Reads a first line, without its end. Danger: what is not sound in all of its parts must reach no server.
pub fn greeting(line: &[u8]) -> Option<Greeting> {
    let (id, key, list, pairs) = match alt((b"PING".value(None), open.map(Some))).parse(line).ok()? {
        None => return Some(Greeting::Ping),
        Some(open) => open,
    };
    let mut at = line.len() - list;
    let text = |value| String::from_utf8_lossy(value).into_owned();
    let number =
        |value| float::<_, f64, ContextError>.parse(value).ok().filter(|n| n.is_finite() && *n >= 0.0);
    let mut ask =
        ConnectionRequest { id: Some(text(id)), key: Some(hashed(key)), ..ConnectionRequest::default() };
    // Danger: only the figure of `d` may change on its way; the rest has to stay as it came.
    let (mut before, mut after) = (line.to_vec(), None);
    for (n, &(name, value)) in pairs.iter().enumerate() {
        if pairs[..n].iter().any(|(earlier, _)| *earlier == name) {
            return None;
        }
        match name {
            b"c" => ask.class = text(value),
            b"t" => ask.tenant = Some(text(value)).filter(|name| name != "0"),
            b"g" => ask.group = Some(hex_uint::<_, u64, ContextError>.parse(value).ok()?),
            b"h" => ask.load = Some(number(value)?),
            b"again" => ask.again = value == b"1",
            b"at" => ask.established_at = Some(text(value)).filter(|name| !name.is_empty()),
            b"d" => {
                let from = at + name.len() + 1;
                before = line[..from].to_vec();
                after = Some(line[from + value.len()..].to_vec());
                let ms = number(value).filter(|ms| *ms <= LONGEST_WAIT)?;
                ask.wait = Some((ms * 1000.0) as Micros);
            }
            _ => {}
        }
        at += name.len() + value.len() + 2;
    }
    // Only one that stood already needs not say how long it waits.
    let waits = ask.wait.is_some() || ask.established_at.is_some();
    (waits && !ask.class.is_empty()).then_some(Greeting::Open { ask: Box::new(ask), before, after })
}

/// Reads a line of a server.
pub fn server_reply(line: &[u8]) -> ServerReply {
    let tail = || opt(preceded(b' ', rest));
    let parsed = alt((
        (b"UP", tail()).value(()).map(|()| ServerReply::Up),
        (b"BYE", tail()).map(|_| ServerReply::Bye),
        (b"MOVE", tail()).map(|_| ServerReply::Move),
        (b"ERR", tail()).map(|_| ServerReply::Error),
        (b"BUSY", opt(preceded(b' ', dec_uint::<_, u64, _>))).map(|_| ServerReply::Busy),
        preceded(b"LOAD ", float::<_, f64, ContextError>).map(ServerReply::Load),
    ))
    .parse(line);
    parsed.unwrap_or(ServerReply::Other)
}

/// What asks a server for its load.
pub const PROBE: &[u8] = b"STATS\r\n";
/// A server asked for so many times what it can do is believed; anything beyond is no figure.
const MOST_LOAD: f64 = 1000.0;

/// What a report tells of the load, under the first of these names that it holds. Danger: a figure that makes no
/// sense, or one told twice, must make no server look better than it is, nor worse.
fn report(pairs: &[(&[u8], &[u8])], names: &[&str]) -> Option<LoadReport> {
    let figure = |name: &str, most: f64| {
        let mut told = pairs.iter().filter(|(key, _)| *key == name.as_bytes());
        let (_, value) = told.next().filter(|_| told.next().is_none())?;
        let figure = float::<_, f64, ContextError>.parse(*value).ok()?;
        (0.0..=most).contains(&figure).then_some(figure)
    };
    let told = |name: &str| pairs.iter().any(|(key, _)| *key == name.as_bytes());
    let name = names.iter().find(|name| told(name))?;
    let utilisation = figure(name, MOST_LOAD)?;
    Some(LoadReport { utilisation, connections: figure("inflight", f64::MAX) })
}

/// Reads the answer to a probe, without the line's end.
pub fn probe_answer(line: &[u8], names: &[&str]) -> ProbeEnd {
    let pairs = opt(preceded(b' ', separated(0.., pair, b',')));
    let mut answer = (alt((b"PONG".value(Some(true)), b"ERR".value(Some(false)), b"NO".value(None))), pairs);
    let Ok((word, pairs)) = answer.parse(line) else { return ProbeEnd::Nothing };
    let pairs: Vec<_> = pairs.unwrap_or_default();
    match word {
        Some(true) => ProbeEnd::Answered(report(&pairs, names)),
        Some(false) => ProbeEnd::Error(report(&pairs, names)),
        None => ProbeEnd::Unwanted,
    }
}

#[derive(Debug, Default, PartialEq)]
enum Phase {
    #[default]
    Greeting,
    Placing,
    Established,
    /// Nothing that comes is read any more.
    Over,
}

/// One connection.
#[derive(Debug, Default)]
pub struct Connection {
    phase: Phase,
    pings: u32,
    client: Lines,
    server: Lines,
    /// The first line before and after the figure of `d`.
    request: (Vec<u8>, Option<Vec<u8>>),
    /// What the server's last word said of the attempt's end.
    ended: Option<AttemptOutcome>,
    relay: Relay,
    /// The line that the client is at.
    line: Measure,
}

impl Connection {
    fn greet(&mut self, steps: &mut Vec<Step>) {
        while self.phase == Phase::Greeting {
            let line = match self.client.next(LONGEST_LINE) {
                Cut::Line(line) => line,
                Cut::None => return,
                Cut::TooLong => return self.wrong(steps),
            };
            match greeting(&line) {
                Some(Greeting::Ping) if self.pings < MOST_PINGS => {
                    self.pings += 1;
                    steps.push(Step::Ping(b"PONG\r\n".to_vec()));
                }
                // The client waits for its answer: what comes with its question is none of it.
                Some(Greeting::Open { ask, before, after }) if self.client.is_empty() => {
                    self.phase = Phase::Placing;
                    self.request = (before, after);
                    steps.push(Step::ConnectionRequested(*ask));
                }
                _ => return self.wrong(steps),
            }
        }
        if !self.client.is_empty() {
            self.wrong(steps);
        }
    }

    /// The client broke its protocol: it is told, and nothing more of it is read.
    fn wrong(&mut self, steps: &mut Vec<Step>) {
        self.phase = Phase::Over;
        self.client.take();
        steps.extend([Step::ToClient(b"ERR\r\n".to_vec()), Step::Close]);
    }

    /// The first line of an attempt decides it.
    fn verdict(&mut self, steps: &mut Vec<Step>) {
        let line = match self.server.next(LONGEST_LINE) {
            Cut::Line(line) => line,
            Cut::None => return,
            Cut::TooLong => return steps.push(Step::AttemptEnded(AttemptOutcome::Error)),
        };
        match server_reply(&line) {
            ServerReply::Up => {
                self.phase = Phase::Established;
                steps.push(Step::ToClient([&line[..], b"\r\n"].concat()));
                steps.push(Step::Up);
            }
            ServerReply::Busy => steps.push(Step::AttemptEnded(AttemptOutcome::Rejected)),
            _ => steps.push(Step::AttemptEnded(AttemptOutcome::Error)),
        }
    }

    fn relay(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        let (rest, lines) = self.relay.pass(bytes, LONGEST_LINE);
        for line in lines.split_inclusive(|&b| b == b'\n') {
            match server_reply(line.trim_ascii_end()) {
                ServerReply::Load(load) => steps.push(Step::Load(load)),
                ServerReply::Bye => self.ended = Some(AttemptOutcome::Served),
                ServerReply::Move => self.ended = Some(AttemptOutcome::RedirectedByServer),
                _ => {}
            }
        }
        let pass = [rest, lines].concat();
        if !pass.is_empty() {
            steps.push(Step::ToClient(pass));
        }
    }
}

impl Front for Connection {
    fn client_sent(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        match self.phase {
            Phase::Over => return,
            Phase::Established if self.line.fits(bytes, LONGEST_LINE) => {
                return steps.push(Step::ToServer(bytes.to_vec()));
            }
            // Danger: a line without end would keep this balancer and a server busy for ever.
            Phase::Established => return self.wrong(steps),
            _ => self.client.push(bytes),
        }
        self.greet(steps);
    }

    fn open_attempt(&mut self, wait: Micros) -> Vec<u8> {
        self.server = Lines::default();
        let (before, after) = &self.request;
        let mut line = before.clone();
        if let Some(after) = after {
            line.extend_from_slice((wait / 1000).max(1).to_string().as_bytes());
            line.extend_from_slice(after);
        }
        line.extend_from_slice(b"\r\n");
        line
    }

    fn server_sent(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        if self.phase == Phase::Established {
            return self.relay(bytes, steps);
        }
        self.server.push(bytes);
        self.verdict(steps);
        if self.phase == Phase::Established {
            let more = self.server.take();
            self.relay(&more, steps);
        }
    }

    fn server_ended(&mut self, _broken: bool) -> AttemptOutcome {
        self.ended.unwrap_or(AttemptOutcome::Reset)
    }

    fn answer(&mut self, answer: Answer) -> Vec<u8> {
        match answer {
            Answer::Rejected(0) => b"BUSY\r\n".to_vec(),
            Answer::Rejected(wait) => format!("BUSY {}\r\n", wait.div_ceil(1000)).into_bytes(),
            Answer::Failed => b"ERR\r\n".to_vec(),
            Answer::HandshakeTimedOut => Vec::new(),
            // Danger: put inside a line it would be read as part of it.
            Answer::Migrated if self.relay.mid_line() => Vec::new(),
            Answer::Migrated => b"MOVE\r\n".to_vec(),
        }
    }

    fn held_back(&mut self) -> Vec<u8> {
        self.relay.take()
    }

    fn at_rest(&self) -> Option<Vec<u8>> {
        let rest = self.line.at_start() && self.relay.at_start() && self.ended.is_none();
        (self.phase == Phase::Established && rest).then(Vec::new)
    }

    fn resume(&mut self, _state: &[u8]) {
        self.phase = Phase::Established;
    }

    fn waiting(&self) -> usize {
        self.client.len()
    }
}
