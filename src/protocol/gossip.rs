//! Datagrams between stores, at most 256 bytes each, and the records of a store's files.

use winnow::binary::{be_u64, length_take, u8};
use winnow::combinator::{dispatch, fail, preceded, repeat};
use winnow::{ModalResult, Parser};

use crate::routing::store::{Entry, Gossip, Store, BUCKETS};

/// The longest datagram.
pub const LONGEST: usize = 256;
/// What each begins with: the name of this protocol, and its version.
const MAGIC: &[u8] = b"SGM1";

fn text(input: &mut &[u8]) -> ModalResult<String> {
    length_take(u8).verify_map(|bytes: &[u8]| String::from_utf8(bytes.to_vec()).ok()).parse_next(input)
}

fn value(input: &mut &[u8]) -> ModalResult<Option<String>> {
    dispatch! {u8; 0 => ().value(None), 1 => text.map(Some), _ => fail}.parse_next(input)
}

fn entry(input: &mut &[u8]) -> ModalResult<(String, Entry)> {
    let (key, counter, node, value) = (text, be_u64, text, value).parse_next(input)?;
    Ok((key, Entry { counter, node, value }))
}

fn digest(input: &mut &[u8]) -> ModalResult<Gossip> {
    let wanted = u8.verify(|flag| *flag <= 1).parse_next(input)? == 1;
    let all: Vec<u64> = repeat(BUCKETS, be_u64).parse_next(input)?;
    let mut buckets = [0; BUCKETS];
    buckets.copy_from_slice(&all);
    Ok(Gossip::Digest { wanted, buckets })
}

fn gossip(input: &mut &[u8]) -> ModalResult<Gossip> {
    let body = dispatch! {u8;
        b'D' => digest,
        b'E' => entry.verify(|(key, entry)| Store::sound(key, entry)).map(|(key, entry)| Gossip::Entry { key, entry }),
        b'W' => (text, value).map(|(key, value)| Gossip::Write { key, value }),
        _ => fail,
    };
    preceded(MAGIC, body).parse_next(input)
}

/// Reads a datagram. Whatever is not one is nothing.
pub fn read(bytes: &[u8]) -> Option<Gossip> {
    gossip.parse(bytes).ok()
}

/// Reads the record of an entry.
pub fn read_entry(bytes: &[u8]) -> Option<(String, Entry)> {
    let (key, read) = entry.parse(bytes).ok()?;
    Store::sound(&key, &read).then_some((key, read))
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    // Keys, values and names are checked to be far shorter; what is not is cut off by its reader.
    out.push(text.len().min(255) as u8);
    out.extend_from_slice(&text.as_bytes()[..text.len().min(255)]);
}

fn put_value(out: &mut Vec<u8>, value: &Option<String>) {
    out.push(u8::from(value.is_some()));
    if let Some(value) = value {
        put_text(out, value);
    }
}

/// Writes the record of an entry.
pub fn write_entry(key: &str, entry: &Entry) -> Vec<u8> {
    let mut out = Vec::new();
    put_text(&mut out, key);
    out.extend_from_slice(&entry.counter.to_be_bytes());
    put_text(&mut out, &entry.node);
    put_value(&mut out, &entry.value);
    out
}

/// Writes a datagram; none if it would be too long.
pub fn write(gossip: &Gossip) -> Option<Vec<u8>> {
    let mut out = MAGIC.to_vec();
    match gossip {
        Gossip::Digest { wanted, buckets } => {
            out.extend([b'D', u8::from(*wanted)]);
            out.extend(buckets.iter().flat_map(|bucket| bucket.to_be_bytes()));
        }
        Gossip::Entry { key, entry } => {
            out.push(b'E');
            out.extend(write_entry(key, entry));
        }
        Gossip::Write { key, value } => {
            out.push(b'W');
            put_text(&mut out, key);
            put_value(&mut out, value);
        }
    }
    (out.len() <= LONGEST).then_some(out)
}
