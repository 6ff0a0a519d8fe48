//! Datagrams between the balancers of a tier: one word each, of seven bytes.

use winnow::binary::{be_u16, be_u32};
use winnow::combinator::preceded;
use winnow::{ModalResult, Parser};

use crate::peers::SlowHost;
use crate::{Micros, ServerId};

/// The longest datagram that the platform carries.
pub const LONGEST: usize = 256;
/// What each begins with: what it tells, and the version of that.
const SLOW_HOST_1: &[u8] = b"1";

const MILLISECOND: Micros = 1000;

/// Writes a word; a time that is too long for it is told as the longest, of about a minute.
pub fn write(word: SlowHost) -> Vec<u8> {
    let took = u16::try_from(word.took / MILLISECOND).unwrap_or(u16::MAX);
    [SLOW_HOST_1, &word.host.0.to_be_bytes(), &took.to_be_bytes()].concat()
}

fn slow_host(input: &mut &[u8]) -> ModalResult<SlowHost> {
    let (host, took) = preceded(SLOW_HOST_1, (be_u32, be_u16)).parse_next(input)?;
    Ok(SlowHost { host: ServerId(host), took: Micros::from(took) * MILLISECOND })
}

/// Reads a datagram. Whatever is not one is nothing.
pub fn read(bytes: &[u8]) -> Option<SlowHost> {
    slow_host.parse(bytes).ok()
}
