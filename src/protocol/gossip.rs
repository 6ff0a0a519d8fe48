//! Encoding of gossip between the balancers of a tier. Each datagram holds one observation, in at most
//! sixteen bytes.

use winnow::binary::{be_u16, be_u32, length_repeat, u8};
use winnow::combinator::{alt, preceded};
use winnow::{ModalResult, Parser};

use crate::peers::{GossipMessage, GroupSample, Observation, MAX_SAMPLED_GROUPS};
use crate::{GroupHash, Micros, ServerId};

/// Maximum length of a datagram that the platform delivers, in bytes.
pub const MAX_DATAGRAM_LENGTH: usize = 256;

// The first byte of a datagram is the kind of the observation with the version of its format.
/// Slow server in the format of the previous version, which has no groups.
const SLOW_SERVER_V1: &[u8] = b"1";
/// Slow server, followed by the number of groups and the groups.
const SLOW_SERVER_V2: &[u8] = b"2";
/// Slow connection setups at all servers.
const SLOW_SETUPS_V1: &[u8] = b"3";
/// Server that dropped a connection.
const DROPPED_V1: &[u8] = b"4";

/// Encodes a message. A duration that exceeds its field of 16 bits is sent as the longest one, 65.535 s.
pub fn encode(message: GossipMessage) -> Vec<u8> {
    let mut bytes = match message.observation {
        Observation::SlowServer(server, duration) => {
            let duration_ms = u16::try_from(duration.as_millis()).unwrap_or(u16::MAX);
            [SLOW_SERVER_V2, &server.0.to_be_bytes(), &duration_ms.to_be_bytes()].concat()
        }
        Observation::Dropped(server) => [DROPPED_V1, &server.0.to_be_bytes()].concat(),
        Observation::SlowSetups => SLOW_SETUPS_V1.to_vec(),
    };
    bytes.push(message.groups.iter().flatten().count() as u8);
    bytes.extend(message.groups.iter().flatten().flat_map(|group| group.0.to_be_bytes()));
    bytes
}

fn parse_slow_server(input: &mut &[u8]) -> ModalResult<Observation> {
    let duration = be_u16.map(|duration_ms| Micros::from_millis(duration_ms.into()));
    let fields = (be_u32.map(ServerId), duration);
    fields.map(|(server, duration)| Observation::SlowServer(server, duration)).parse_next(input)
}

fn parse_groups(input: &mut &[u8]) -> ModalResult<GroupSample> {
    let count = u8.verify(|count| usize::from(*count) <= MAX_SAMPLED_GROUPS);
    let groups: Vec<GroupHash> = length_repeat(count, be_u16.map(GroupHash)).parse_next(input)?;
    Ok(std::array::from_fn(|index| groups.get(index).copied()))
}

fn no_groups(_: &mut &[u8]) -> ModalResult<GroupSample> {
    Ok(GroupSample::default())
}

fn parse_message(input: &mut &[u8]) -> ModalResult<GossipMessage> {
    let dropped = be_u32.map(|server| Observation::Dropped(ServerId(server)));
    let (observation, groups) = alt((
        (preceded(SLOW_SERVER_V2, parse_slow_server), parse_groups),
        (SLOW_SETUPS_V1.value(Observation::SlowSetups), parse_groups),
        (preceded(DROPPED_V1, dropped), parse_groups),
        (preceded(SLOW_SERVER_V1, parse_slow_server), no_groups),
    ))
    .parse_next(input)?;
    Ok(GossipMessage { observation, groups })
}

/// Decodes a datagram. Returns `None` if it is malformed.
pub fn decode(bytes: &[u8]) -> Option<GossipMessage> {
    parse_message.parse(bytes).ok()
}
