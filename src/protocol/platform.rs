//! The platform's front: `OPEN` from the acquirer side, `UP`, `BUSY`, `ERR`, `BYE` and `MOVE` from
//! issuer hosts, and lines both ways between.

use winnow::ascii::{dec_uint, float, hex_uint};
use winnow::combinator::{alt, opt, preceded, separated, separated_pair};
use winnow::error::ContextError;
use winnow::token::{rest, take_till, take_while};
use winnow::{ModalResult, Parser};

use super::lines::{Cut, Lines, Relay};
use super::{Front, Step, LONGEST_LINE};
use crate::routing::{Answer, Authorisation, LegEnd};
use crate::Micros;

/// The first line of an acquirer side.
#[derive(Debug, PartialEq)]
pub enum Greeting {
    /// The front asks whether this balancer is there.
    Ping,
    /// A connection is wanted. `d` in the line is the piece between its parts.
    Open { ask: Authorisation, before: Vec<u8>, after: Option<Vec<u8>> },
}

/// A line of an issuer host.
#[derive(Debug, PartialEq)]
pub enum Word {
    Up,
    Bye,
    Move,
    Error,
    Busy,
    Load(f64),
    Other,
}

fn word<'a>(input: &mut &'a [u8]) -> ModalResult<&'a [u8]> {
    take_while(1.., |b: u8| b.is_ascii_graphic()).parse_next(input)
}

fn pair<'a>(input: &mut &'a [u8]) -> ModalResult<(&'a [u8], &'a [u8])> {
    let name = take_while(1.., |b: u8| b.is_ascii_graphic() && b != b'=' && b != b',');
    separated_pair(name, b'=', take_till(0.., b',')).parse_next(input)
}

/// Reads a first line, without its end.
pub fn greeting(line: &[u8]) -> Option<Greeting> {
    let open = |input: &mut &[u8]| -> ModalResult<Greeting> {
        (b"OPEN ", word, b' ', word, b' ').void().parse_next(input)?;
        let list = *input;
        let pairs: Vec<(&[u8], &[u8])> = separated(1.., pair, b',').parse_next(input)?;
        let mut ask = Authorisation::default();
        // Danger: only the figure of `d` may change on its way; the rest has to stay as it came.
        let (mut before, mut after) = (line.to_vec(), None);
        let mut at = line.len() - list.len();
        for (name, value) in pairs {
            let text = || String::from_utf8_lossy(value).into_owned();
            let number = || float::<_, f64, ContextError>.parse(value).ok().filter(|n| n.is_finite());
            match name {
                b"c" => ask.class = text(),
                b"t" => ask.tenant = Some(text()).filter(|name| name != "0"),
                b"g" => ask.group = hex_uint::<_, u64, ContextError>.parse(value).ok(),
                b"h" => ask.load = number(),
                b"at" => ask.standing_at = Some(text()),
                b"d" => {
                    let from = at + name.len() + 1;
                    before = line[..from].to_vec();
                    after = Some(line[from + value.len()..].to_vec());
                    let most = 86_400_000.0;
                    ask.wait = number().map(|ms| (ms.clamp(0.0, most) * 1000.0) as Micros);
                }
                _ => {}
            }
            at += name.len() + value.len() + 2;
        }
        Ok(Greeting::Open { ask, before, after })
    };
    alt((b"PING".map(|_| Greeting::Ping), open)).parse(line).ok()
}

/// Reads a line of an issuer host.
pub fn issuer_word(line: &[u8]) -> Word {
    let tail = || opt(preceded(b' ', rest));
    let parsed = alt((
        (b"UP", tail()).value(()).map(|()| Word::Up),
        (b"BYE", tail()).map(|_| Word::Bye),
        (b"MOVE", tail()).map(|_| Word::Move),
        (b"ERR", tail()).map(|_| Word::Error),
        (b"BUSY", opt(preceded(b' ', dec_uint::<_, u64, _>))).map(|_| Word::Busy),
        preceded(b"LOAD ", float::<_, f64, ContextError>).map(Word::Load),
    ))
    .parse(line);
    parsed.unwrap_or(Word::Other)
}

#[derive(Debug, Default, PartialEq)]
enum Phase {
    #[default]
    Greeting,
    Placing,
    Standing,
}

/// One connection.
#[derive(Debug, Default)]
pub struct Connection {
    phase: Phase,
    acquirer: Lines,
    issuer: Lines,
    /// The first line before and after the figure of `d`.
    request: (Vec<u8>, Option<Vec<u8>>),
    /// What the issuer host's last word said of the leg's end.
    ended: Option<LegEnd>,
    relay: Relay,
}

impl Connection {
    fn greet(&mut self, steps: &mut Vec<Step>) {
        while self.phase == Phase::Greeting {
            let line = match self.acquirer.next(LONGEST_LINE) {
                Cut::Line(line) => line,
                Cut::None => return,
                Cut::TooLong => Vec::new(),
            };
            match greeting(&line) {
                Some(Greeting::Ping) => steps.push(Step::ToAcquirer(b"PONG\r\n".to_vec())),
                Some(Greeting::Open { ask, before, after }) => {
                    self.phase = Phase::Placing;
                    self.request = (before, after);
                    steps.push(Step::Authorise(ask));
                }
                None => {
                    steps.push(Step::ToAcquirer(b"ERR\r\n".to_vec()));
                    return steps.push(Step::Close);
                }
            }
        }
    }

    /// The first line of a leg decides it.
    fn verdict(&mut self, steps: &mut Vec<Step>) {
        let line = match self.issuer.next(LONGEST_LINE) {
            Cut::Line(line) => line,
            Cut::None => return,
            Cut::TooLong => return steps.push(Step::LegEnded(LegEnd::Error)),
        };
        match issuer_word(&line) {
            Word::Up => {
                self.phase = Phase::Standing;
                steps.push(Step::ToAcquirer([&line[..], b"\r\n"].concat()));
                steps.push(Step::Up);
                let early = self.acquirer.take();
                if !early.is_empty() {
                    steps.push(Step::ToIssuer(early));
                }
            }
            Word::Busy => steps.push(Step::LegEnded(LegEnd::TurnedAway)),
            _ => steps.push(Step::LegEnded(LegEnd::Error)),
        }
    }

    fn relay(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        let (rest, lines) = self.relay.pass(bytes, LONGEST_LINE);
        for line in lines.split_inclusive(|&b| b == b'\n') {
            match issuer_word(line.trim_ascii_end()) {
                Word::Load(load) => steps.push(Step::Load(load)),
                Word::Bye => self.ended = Some(LegEnd::Served),
                Word::Move => self.ended = Some(LegEnd::SentAway),
                _ => {}
            }
        }
        let pass = [rest, lines].concat();
        if !pass.is_empty() {
            steps.push(Step::ToAcquirer(pass));
        }
    }
}

impl Front for Connection {
    fn acquirer_sent(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        if self.phase == Phase::Standing {
            return steps.push(Step::ToIssuer(bytes.to_vec()));
        }
        self.acquirer.push(bytes);
        self.greet(steps);
    }

    fn open_leg(&mut self, wait: Micros) -> Vec<u8> {
        self.issuer = Lines::default();
        let (before, after) = &self.request;
        let mut line = before.clone();
        if let Some(after) = after {
            line.extend_from_slice((wait / 1000).max(1).to_string().as_bytes());
            line.extend_from_slice(after);
        }
        line.extend_from_slice(b"\r\n");
        line
    }

    fn issuer_sent(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        if self.phase == Phase::Standing {
            return self.relay(bytes, steps);
        }
        self.issuer.push(bytes);
        self.verdict(steps);
        if self.phase == Phase::Standing {
            let more = self.issuer.take();
            self.relay(&more, steps);
        }
    }

    fn issuer_ended(&mut self, _broken: bool) -> LegEnd {
        self.ended.unwrap_or(LegEnd::Broken)
    }

    fn answer(&mut self, answer: Answer) -> Vec<u8> {
        match answer {
            Answer::Refused(0) => b"BUSY\r\n".to_vec(),
            Answer::Refused(wait) => format!("BUSY {}\r\n", wait.div_ceil(1000)).into_bytes(),
            Answer::Failed => b"ERR\r\n".to_vec(),
            Answer::Late => Vec::new(),
            // Danger: put inside a line it would be read as part of it.
            Answer::Moved if self.relay.mid_line() => Vec::new(),
            Answer::Moved => b"MOVE\r\n".to_vec(),
        }
    }

    fn held_back(&mut self) -> Vec<u8> {
        self.relay.take()
    }

    fn waiting(&self) -> usize {
        if self.phase == Phase::Standing {
            0
        } else {
            self.acquirer.len()
        }
    }
}
