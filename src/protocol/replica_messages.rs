//! Encoding of the messages between replicas of the replicated map, one in each datagram, and of the records
//! in a replica's files.

use winnow::binary::{be_u64, length_take, u8};
use winnow::combinator::{dispatch, fail, preceded, repeat};
use winnow::{ModalResult, Parser};

use crate::routing::store::{Entry, KeyedEntry, ReplicaMessage, ReplicatedMap, DIGEST_BUCKETS};

/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_LENGTH: usize = 256;
/// First bytes of each datagram, which name the protocol and its version.
const MAGIC: &[u8] = b"SGM1";

// The byte after the magic is the kind of the message.
const DIGEST: u8 = b'D';
const ENTRY: u8 = b'E';
const WRITE: u8 = b'W';

// Values of a flag, and of the byte before an optional value that tells whether the value follows.
const NO: u8 = 0;
const YES: u8 = 1;

/// Maximum length of a text in bytes, since its length is sent as one byte.
const MAX_TEXT_LENGTH: usize = u8::MAX as usize;

fn parse_text(input: &mut &[u8]) -> ModalResult<String> {
    length_take(u8).verify_map(|bytes: &[u8]| String::from_utf8(bytes.to_vec()).ok()).parse_next(input)
}

fn parse_value(input: &mut &[u8]) -> ModalResult<Option<String>> {
    dispatch! {u8; NO => ().value(None), YES => parse_text.map(Some), _ => fail}.parse_next(input)
}

fn parse_entry(input: &mut &[u8]) -> ModalResult<KeyedEntry> {
    let (key, counter, node, value) = (parse_text, be_u64, parse_text, parse_value).parse_next(input)?;
    Ok(KeyedEntry { key, entry: Entry { counter, node, value } })
}

fn parse_valid_entry(input: &mut &[u8]) -> ModalResult<KeyedEntry> {
    parse_entry.verify(|KeyedEntry { key, entry }| ReplicatedMap::is_valid(key, entry)).parse_next(input)
}

fn parse_digest(input: &mut &[u8]) -> ModalResult<ReplicaMessage> {
    let digest_requested = u8.verify(|flag| *flag <= YES).parse_next(input)? == YES;
    let hashes: Vec<u64> = repeat(DIGEST_BUCKETS, be_u64).parse_next(input)?;
    let mut digest = [0; DIGEST_BUCKETS];
    digest.copy_from_slice(&hashes);
    Ok(ReplicaMessage::Digest { digest_requested, digest })
}

fn parse_message(input: &mut &[u8]) -> ModalResult<ReplicaMessage> {
    let body = dispatch! {u8;
        DIGEST => parse_digest,
        ENTRY => parse_valid_entry.map(|KeyedEntry { key, entry }| ReplicaMessage::Entry { key, entry }),
        WRITE => (parse_text, parse_value).map(|(key, value)| ReplicaMessage::Write { key, value }),
        _ => fail,
    };
    preceded(MAGIC, body).parse_next(input)
}

/// Decodes a datagram. Returns `None` if it is malformed.
pub fn decode(bytes: &[u8]) -> Option<ReplicaMessage> {
    parse_message.parse(bytes).ok()
}

/// Decodes the record of an entry. Returns `None` if it is malformed.
pub fn decode_entry(bytes: &[u8]) -> Option<KeyedEntry> {
    parse_valid_entry.parse(bytes).ok()
}

fn encode_text(out: &mut Vec<u8>, text: &str) {
    // Valid keys, values and names are far shorter. A longer text is cut off, and the receiver drops the
    // message.
    let length = text.len().min(MAX_TEXT_LENGTH);
    out.push(length as u8);
    out.extend_from_slice(&text.as_bytes()[..length]);
}

fn encode_value(out: &mut Vec<u8>, value: &Option<String>) {
    out.push(u8::from(value.is_some()));
    if let Some(value) = value {
        encode_text(out, value);
    }
}

/// Encodes the record of an entry.
pub fn encode_entry(key: &str, entry: &Entry) -> Vec<u8> {
    let mut out = Vec::new();
    encode_text(&mut out, key);
    out.extend_from_slice(&entry.counter.to_be_bytes());
    encode_text(&mut out, &entry.node);
    encode_value(&mut out, &entry.value);
    out
}

/// Encodes a datagram. Returns `None` if it would be longer than [`MAX_DATAGRAM_LENGTH`].
pub fn encode(message: &ReplicaMessage) -> Option<Vec<u8>> {
    let mut out = MAGIC.to_vec();
    match message {
        ReplicaMessage::Digest { digest_requested, digest } => {
            out.extend([DIGEST, u8::from(*digest_requested)]);
            out.extend(digest.iter().flat_map(|bucket| bucket.to_be_bytes()));
        }
        ReplicaMessage::Entry { key, entry } => {
            out.push(ENTRY);
            out.extend(encode_entry(key, entry));
        }
        ReplicaMessage::Write { key, value } => {
            out.push(WRITE);
            encode_text(&mut out, key);
            encode_value(&mut out, value);
        }
    }
    (out.len() <= MAX_DATAGRAM_LENGTH).then_some(out)
}
