//! What two processes say to each other while one takes the place of the other: one message each, bounded,
//! beginning with the name and version of this protocol. Sockets go beside a message, not in it.

use winnow::binary::{be_f64, be_u16, be_u32, be_u64, length_take, u8};
use winnow::combinator::{dispatch, fail, preceded};
use winnow::{ModalResult, Parser};

use crate::routing::store::{Entry, Store};
use crate::routing::{ConnectionRequest, Endpoint, EstablishedConnection, HandoverState, Lifecycle};
use crate::{LearnedState, Time};

/// The longest message.
pub const LONGEST: usize = 16 << 10;
/// The most sockets beside one: those of a standing connection.
pub const MOST_SOCKETS: usize = 2;
/// The most messages of a legacy. Danger: who goes on for ever would fill the memory.
pub const MOST_PARTS: usize = 200_000;
/// Another version's messages begin otherwise.
const MAGIC: &[u8] = b"SGH1";

/// One message.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverMessage {
    /// The process that starts asks for all there is.
    Take,
    /// Beside this comes the socket of that name: a front's listener, or the store's.
    Socket(String),
    /// A part of the legacy.
    Part(Part),
    /// That was all of it.
    Done,
    /// The process that starts serves now.
    Serving,
    /// Beside this come the client's socket and its attempt's, of a connection that stands at that front;
    /// and what the front itself has to know of it.
    EstablishedConnection { front: String, established: EstablishedConnection, state: Vec<u8> },
    /// A server is out by hand, or is not any more; the answer has the same number.
    Share { number: u64, server: String, out: bool },
    /// That was taken in.
    Shared { number: u64 },
}

/// A part of a legacy.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    Excluded(String),
    EverListed(String),
    Entry(String, Entry),
    Endpoint { pool: String, endpoint: Endpoint, learned: Option<LearnedState> },
    Readmitted { pool: String, server: String, since: Time },
    Id { pool: String, id: String },
    Left(u64),
}

/// A legacy in parts.
pub fn parts(handover_state: HandoverState) -> Vec<Part> {
    let mut parts: Vec<Part> = handover_state.excluded_by_operator.into_iter().map(Part::Excluded).collect();
    parts.extend(handover_state.ever_listed.into_iter().map(Part::EverListed));
    parts.extend(handover_state.entries.into_iter().map(|(key, entry)| Part::Entry(key, entry)));
    for (pool, left) in handover_state.pools {
        let name = || pool.clone();
        parts.extend(left.endpoints.into_iter().map(|(endpoint, learned)| Part::Endpoint {
            pool: name(),
            endpoint,
            learned,
        }));
        let readmitted = left.readmitted.into_iter();
        parts.extend(readmitted.map(|(server, since)| Part::Readmitted { pool: name(), server, since }));
        parts.extend(left.ids.into_iter().map(|id| Part::Id { pool: name(), id }));
    }
    parts.push(Part::Left(handover_state.left as u64));
    parts
}

/// Adds a part to what has come of a legacy.
pub fn add(handover_state: &mut HandoverState, part: Part) {
    match part {
        Part::Excluded(server) => handover_state.excluded_by_operator.push(server),
        Part::EverListed(server) => handover_state.ever_listed.push(server),
        Part::Entry(key, entry) => handover_state.entries.push((key, entry)),
        Part::Endpoint { pool, endpoint, learned } => {
            handover_state.pools.entry(pool).or_default().endpoints.push((endpoint, learned))
        }
        Part::Readmitted { pool, server, since } => {
            handover_state.pools.entry(pool).or_default().readmitted.push((server, since))
        }
        Part::Id { pool, id } => handover_state.pools.entry(pool).or_default().ids.push(id),
        Part::Left(left) => handover_state.left = left as usize,
    }
}

fn bytes(input: &mut &[u8]) -> ModalResult<Vec<u8>> {
    length_take(be_u16).map(|bytes: &[u8]| bytes.to_vec()).parse_next(input)
}

fn text(input: &mut &[u8]) -> ModalResult<String> {
    bytes.verify_map(|bytes| String::from_utf8(bytes).ok()).parse_next(input)
}

fn flag(input: &mut &[u8]) -> ModalResult<bool> {
    dispatch! {u8; 0 => ().value(false), 1 => ().value(true), _ => fail}.parse_next(input)
}

/// Something that may be left out.
fn maybe<'a, T>(
    mut inner: impl FnMut(&mut &'a [u8]) -> ModalResult<T>,
) -> impl FnMut(&mut &'a [u8]) -> ModalResult<Option<T>> {
    move |input| if flag(input)? { inner(input).map(Some) } else { Ok(None) }
}

fn time(input: &mut &[u8]) -> ModalResult<Time> {
    be_u64.map(Time).parse_next(input)
}

/// A sound number: no other is ever written.
fn number(input: &mut &[u8]) -> ModalResult<f64> {
    be_f64.verify(|number: &f64| number.is_finite()).parse_next(input)
}

fn learned_state(input: &mut &[u8]) -> ModalResult<LearnedState> {
    Ok(LearnedState {
        ceiling: number.verify(|ceiling| *ceiling >= 0.0).parse_next(input)?,
        last_fault: maybe(time).parse_next(input)?,
        consecutive_failures: be_u32.verify(|failures| *failures <= 16).parse_next(input)?,
        last_failure: maybe(time).parse_next(input)?,
        ejected_until: time(input)?,
        next_slow_start_send: time(input)?,
        last_migration: maybe(time).parse_next(input)?,
    })
}

fn endpoint(input: &mut &[u8]) -> ModalResult<Endpoint> {
    Ok(Endpoint {
        name: text(input)?,
        address: text(input)?,
        zone: text(input)?,
        cell: be_u32(input)?,
        lifecycle: dispatch! {u8;
        0 => ().value(Lifecycle::Ready), 1 => ().value(Lifecycle::Draining), _ => fail}
        .parse_next(input)?,
        weight: number(input)?,
        started: maybe(time).parse_next(input)?,
    })
}

fn connection_request(input: &mut &[u8]) -> ModalResult<ConnectionRequest> {
    Ok(ConnectionRequest {
        id: maybe(text).parse_next(input)?,
        class: text(input)?,
        tenant: maybe(text).parse_next(input)?,
        group: maybe(be_u64).parse_next(input)?,
        load: maybe(number).parse_next(input)?,
        wait: None,
        established_at: None,
        // Not passed on, since the version before knows nothing of them: such a client is moved without being
        // known again.
        key: None,
        again: false,
    })
}

fn established(input: &mut &[u8]) -> ModalResult<EstablishedConnection> {
    let (ask, server, load, awaiting_server_since) =
        (connection_request, text, maybe(number), maybe(time)).parse_next(input)?;
    Ok(EstablishedConnection { request: ask, server, load, awaiting_server_since })
}

fn part(input: &mut &[u8]) -> ModalResult<Part> {
    let entry = |input: &mut &[u8]| {
        let (key, counter, node, value) = (text, be_u64, text, maybe(text)).parse_next(input)?;
        Ok((key, Entry { counter, node, value }))
    };
    dispatch! {u8;
        b'B' => text.map(Part::Excluded),
        b'N' => text.map(Part::EverListed),
        b'E' => entry.verify(|(key, entry)| Store::sound(key, entry)).map(|(key, entry)| Part::Entry(key, entry)),
        b'H' => (text, endpoint, maybe(learned_state)).map(|(pool, endpoint, learned)| Part::Endpoint { pool, endpoint, learned }),
        b'R' => (text, text, time).map(|(pool, server, since)| Part::Readmitted { pool, server, since }),
        b'I' => (text, text).map(|(pool, id)| Part::Id { pool, id }),
        b'L' => be_u64.map(Part::Left),
        _ => fail,
    }
    .parse_next(input)
}

fn word(input: &mut &[u8]) -> ModalResult<HandoverMessage> {
    let body = dispatch! {u8;
        b'T' => ().value(HandoverMessage::Take),
        b'S' => text.map(HandoverMessage::Socket),
        b'P' => part.map(HandoverMessage::Part),
        b'D' => ().value(HandoverMessage::Done),
        b'V' => ().value(HandoverMessage::Serving),
        b'C' => (text, established, bytes).map(|(front, established, state)| HandoverMessage::EstablishedConnection { front, established, state }),
        b'B' => (be_u64, text, flag).map(|(number, server, out)| HandoverMessage::Share { number, server, out }),
        b'A' => be_u64.map(|number| HandoverMessage::Shared { number }),
        _ => fail,
    };
    preceded(MAGIC, body).parse_next(input)
}

/// Reads a message. Whatever is not one is nothing.
pub fn read(bytes: &[u8]) -> Option<HandoverMessage> {
    word.parse(bytes).ok()
}

/// A message in the making.
#[derive(Default)]
struct Out(Vec<u8>);

impl Out {
    fn bytes(&mut self, bytes: &[u8]) -> &mut Out {
        // What is longer does not fit a message at all, and is not sent.
        self.0.extend((bytes.len().min(usize::from(u16::MAX)) as u16).to_be_bytes());
        self.0.extend(bytes);
        self
    }
    fn text(&mut self, text: &str) -> &mut Out {
        self.bytes(text.as_bytes())
    }
    fn number(&mut self, number: f64) -> &mut Out {
        self.0.extend(number.to_be_bytes());
        self
    }
    fn figure(&mut self, figure: u64) -> &mut Out {
        self.0.extend(figure.to_be_bytes());
        self
    }
    fn tag(&mut self, tag: u8) -> &mut Out {
        self.0.push(tag);
        self
    }
    fn maybe<T>(
        &mut self,
        value: &Option<T>,
        write: impl for<'a> FnOnce(&'a mut Out, &T) -> &'a mut Out,
    ) -> &mut Out {
        self.tag(u8::from(value.is_some()));
        if let Some(value) = value {
            write(self, value);
        }
        self
    }
    fn time(&mut self, time: &Option<Time>) -> &mut Out {
        self.maybe(time, |out, time| out.figure(time.0))
    }
    fn small(&mut self, figure: u32) -> &mut Out {
        self.0.extend(figure.to_be_bytes());
        self
    }
    fn learned_state(&mut self, known: &LearnedState) -> &mut Out {
        self.number(known.ceiling)
            .time(&known.last_fault)
            .small(known.consecutive_failures)
            .time(&known.last_failure);
        self.figure(known.ejected_until.0).figure(known.next_slow_start_send.0).time(&known.last_migration)
    }
    fn endpoint(&mut self, endpoint: &Endpoint) -> &mut Out {
        self.text(&endpoint.name).text(&endpoint.address).text(&endpoint.zone).small(endpoint.cell);
        self.tag(u8::from(endpoint.lifecycle != Lifecycle::Ready))
            .number(endpoint.weight)
            .time(&endpoint.started)
    }
    fn established(&mut self, established: &EstablishedConnection) -> &mut Out {
        let ask = &established.request;
        self.maybe(&ask.id, |out, id| out.text(id)).text(&ask.class);
        self.maybe(&ask.tenant, |out, tenant| out.text(tenant));
        self.maybe(&ask.group, |out, group| out.figure(*group));
        self.maybe(&ask.load, |out, load| out.number(*load)).text(&established.server);
        self.maybe(&established.load, |out, load| out.number(*load)).time(&established.awaiting_server_since)
    }
    fn part(&mut self, part: &Part) -> &mut Out {
        match part {
            Part::Excluded(server) => self.tag(b'B').text(server),
            Part::EverListed(server) => self.tag(b'N').text(server),
            Part::Entry(key, entry) => {
                self.tag(b'E').text(key).figure(entry.counter).text(&entry.node);
                self.maybe(&entry.value, |out, value| out.text(value))
            }
            Part::Endpoint { pool, endpoint, learned } => self
                .tag(b'H')
                .text(pool)
                .endpoint(endpoint)
                .maybe(learned, |out, known| out.learned_state(known)),
            Part::Readmitted { pool, server, since } => {
                self.tag(b'R').text(pool).text(server).figure(since.0)
            }
            Part::Id { pool, id } => self.tag(b'I').text(pool).text(id),
            Part::Left(left) => self.tag(b'L').figure(*left),
        }
    }
}

/// Writes a message; none if it would be too long.
pub fn write(word: &HandoverMessage) -> Option<Vec<u8>> {
    let mut out = Out(MAGIC.to_vec());
    match word {
        HandoverMessage::Take => out.tag(b'T'),
        HandoverMessage::Socket(name) => out.tag(b'S').text(name),
        HandoverMessage::Part(part) => out.tag(b'P').part(part),
        HandoverMessage::Done => out.tag(b'D'),
        HandoverMessage::Serving => out.tag(b'V'),
        HandoverMessage::EstablishedConnection { front, established, state } => {
            out.tag(b'C').text(front).established(established).bytes(state)
        }
        HandoverMessage::Share { number, server, out: is_out } => {
            out.tag(b'B').figure(*number).text(server).tag(u8::from(*is_out))
        }
        HandoverMessage::Shared { number } => out.tag(b'A').figure(*number),
    };
    Some(out.0).filter(|bytes| bytes.len() <= LONGEST)
}
