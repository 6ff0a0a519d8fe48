//! Datagrams between the balancers of a tier: one word each, of at most sixteen bytes.

use winnow::binary::{be_u16, be_u32, length_repeat, u8};
use winnow::combinator::{alt, preceded};
use winnow::{ModalResult, Parser};

use crate::peers::{GossipMessage, Observation, Sample, SAMPLE};
use crate::{GroupHash, Micros, ServerId};

/// The longest datagram that the platform carries.
pub const LONGEST: usize = 256;
/// What each begins with: what it tells, and the version of that. A slow server without groups, as the version before
/// told it...
const SLOW_HOST_1: &[u8] = b"1";
/// ...with their number and them, slow set-ups, and a server that dropped a connection.
const SLOW_HOST_2: &[u8] = b"2";
const SLOW_SET_UPS_1: &[u8] = b"3";
const DROPPED_1: &[u8] = b"4";

const MILLISECOND: Micros = 1000;

/// Writes a word; a time that is too long for it is told as the longest, of about a minute.
pub fn write(message: GossipMessage) -> Vec<u8> {
    let mut bytes = match message.observation {
        Observation::SlowServer(server, took) => {
            let took = u16::try_from(took / MILLISECOND).unwrap_or(u16::MAX);
            [SLOW_HOST_2, &server.0.to_be_bytes(), &took.to_be_bytes()].concat()
        }
        Observation::Dropped(server) => [DROPPED_1, &server.0.to_be_bytes()].concat(),
        Observation::SlowSetUps => SLOW_SET_UPS_1.to_vec(),
    };
    bytes.push(message.groups.iter().flatten().count() as u8);
    bytes.extend(message.groups.iter().flatten().flat_map(|group| group.0.to_be_bytes()));
    bytes
}

fn slow_server(input: &mut &[u8]) -> ModalResult<Observation> {
    let took = be_u16.map(|took| Micros::from(took) * MILLISECOND);
    (be_u32.map(ServerId), took).map(|(server, took)| Observation::SlowServer(server, took)).parse_next(input)
}

fn groups(input: &mut &[u8]) -> ModalResult<Sample> {
    let many = u8.verify(|many| usize::from(*many) <= SAMPLE);
    let groups: Vec<GroupHash> = length_repeat(many, be_u16.map(GroupHash)).parse_next(input)?;
    Ok(std::array::from_fn(|n| groups.get(n).copied()))
}

fn message(input: &mut &[u8]) -> ModalResult<GossipMessage> {
    let (observation, groups) = alt((
        (preceded(SLOW_HOST_2, slow_server), groups),
        (SLOW_SET_UPS_1.value(Observation::SlowSetUps), groups),
        (preceded(DROPPED_1, be_u32.map(|server| Observation::Dropped(ServerId(server)))), groups),
        (preceded(SLOW_HOST_1, slow_server), |_: &mut &[u8]| Ok(Sample::default())),
    ))
    .parse_next(input)?;
    Ok(GossipMessage { observation, groups })
}

/// Reads a datagram. Whatever is not one is nothing.
pub fn read(bytes: &[u8]) -> Option<GossipMessage> {
    message.parse(bytes).ok()
}
