//! Discovery's HTTP/1.1: calls for the endpoint list, and its entries in JSON.

use winnow::ascii::{dec_uint, space0};
use winnow::combinator::{delimited, repeat, terminated};
use winnow::stream::Partial;
use winnow::token::{take_till, take_while};
use winnow::{ModalResult, Parser};

use super::json::{self, Fault, Place};
use crate::routing::{Endpoint, Lifecycle};
use crate::Time;

/// The longest answer taken: many times what the largest fleet's list needs.
pub const LONGEST_ANSWER: usize = 4 << 20;

/// A call for changes since a generation that may wait so long; with no generation for the whole list.
pub fn call(host: &str, from: Option<(u64, u64)>) -> Vec<u8> {
    let query = from.map_or(String::new(), |(from, hold_ms)| format!("?from={from}&hold_ms={hold_ms}"));
    format!("GET /v1/servers{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

/// An answer's head and, where it is told, the length of its body.
#[derive(Debug, PartialEq)]
struct Head {
    status: u16,
    length: Option<usize>,
    chunked: bool,
    close: bool,
}

/// A whole answer.
#[derive(Debug, PartialEq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection cannot be used again.
    pub close: bool,
    /// Bytes that it took.
    pub taken: usize,
}

type Input<'a> = Partial<&'a [u8]>;

fn header<'a>(input: &mut Input<'a>) -> ModalResult<(&'a [u8], &'a [u8])> {
    let name = take_while(1.., |b: u8| b.is_ascii_graphic() && b != b':');
    (terminated(name, (b':', space0)), terminated(take_till(0.., b"\r\n"), b"\r\n")).parse_next(input)
}

fn head(input: &mut Input<'_>) -> ModalResult<Head> {
    let version = (b"HTTP/1.", dec_uint::<_, u8, _>, b' ');
    let status =
        delimited(version, dec_uint::<_, u16, _>, (take_till(0.., b'\n'), b'\n')).parse_next(input)?;
    let headers: Vec<(&[u8], &[u8])> = terminated(repeat(0.., header), b"\r\n").parse_next(input)?;
    let mut head = Head { status, length: None, chunked: false, close: false };
    for (name, value) in headers {
        let value = value.trim_ascii().to_ascii_lowercase();
        if name.eq_ignore_ascii_case(b"content-length") {
            head.length = std::str::from_utf8(&value).ok().and_then(|text| text.parse().ok());
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            head.chunked = value.ends_with(b"chunked");
        } else if name.eq_ignore_ascii_case(b"connection") {
            head.close = value == b"close";
        }
    }
    Ok(head)
}

/// A chunk's bytes; the last one is empty.
fn chunk<'a>(input: &mut Input<'a>) -> ModalResult<&'a [u8]> {
    let digits = take_while(1..=8, |b: u8| b.is_ascii_hexdigit());
    let size = digits.verify_map(|hex: &[u8]| {
        usize::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok().filter(|&n| n <= LONGEST_ANSWER)
    });
    let size = terminated(size, (take_till(0.., b'\n'), b'\n')).parse_next(input)?;
    terminated(winnow::token::take(size), b"\r\n").parse_next(input)
}

/// Reads an answer from the start of `bytes`: None while there is not enough of it.
pub fn answer(bytes: &[u8], ended: bool) -> Result<Option<Answer>, Fault> {
    let bad = |what: &str| Fault { key: "discovery".to_owned(), what: what.to_owned() };
    if bytes.len() > LONGEST_ANSWER {
        return Err(bad("answer too long"));
    }
    let more = |error: winnow::error::ErrMode<_>| match error {
        winnow::error::ErrMode::Incomplete(_) if !ended => Ok(None),
        _ => Err::<_, winnow::error::ErrMode<winnow::error::ContextError>>(error),
    };
    let mut input = Partial::new(bytes);
    let head = match head(&mut input) {
        Ok(head) => head,
        Err(error) => return more(error).map_err(|_| bad("answer is no HTTP/1.1")),
    };
    let mut body = Vec::new();
    if head.chunked {
        loop {
            match chunk(&mut input) {
                Ok([]) => break,
                Ok(piece) => body.extend_from_slice(piece),
                Err(error) => return more(error).map_err(|_| bad("broken chunk")),
            }
        }
    } else {
        let rest: &[u8] = &input;
        let length = match head.length {
            Some(length) => length,
            None if ended => rest.len(),
            None => return Ok(None),
        };
        match rest.get(..length) {
            Some(whole) => body.extend_from_slice(whole),
            None if ended => return Err(bad("answer cut short")),
            None => return Ok(None),
        }
        input = Partial::new(&rest[length..]);
    }
    let left: &[u8] = &input;
    let close = head.close || (head.length.is_none() && !head.chunked);
    Ok(Some(Answer { status: head.status, body, close, taken: bytes.len() - left.len() }))
}

/// A endpoint list, or changes of it.
#[derive(Debug, PartialEq)]
pub struct EndpointListUpdate {
    /// Its version.
    pub generation: u64,
    /// All of it, not changes only.
    pub whole: bool,
    /// Its entries.
    pub endpoints: Vec<Endpoint>,
}

/// Reads a list.
pub fn endpoint_list_update(place: &Place<'_>) -> Result<EndpointListUpdate, Fault> {
    let host = |item: &Place<'_>| -> Result<Endpoint, Fault> {
        let state = item.at("lifecycle");
        Ok(Endpoint {
            name: item.at("instanceId").must_text()?,
            address: item.at("hostPort").must_text()?,
            zone: item.at("zone").text()?.unwrap_or_default(),
            cell: item.at("cell").number(0.0)? as u32,
            lifecycle: match state.must_text()?.as_str() {
                "ready" => Lifecycle::Ready,
                "draining" => Lifecycle::Draining,
                "gone" => Lifecycle::Gone,
                _ => return Err(state.fault("ready, draining or gone is wanted")),
            },
            weight: item.at("weight").number(1.0)?,
            started: Some(item.at("startedAtMs").millis(0)?).filter(|&at| at > 0).map(Time),
        })
    };
    Ok(EndpointListUpdate {
        generation: place.at("generation").number(0.0)? as u64,
        whole: place.at("reset").flag(false)?,
        endpoints: place.at("instances").items()?.iter().map(host).collect::<Result<_, _>>()?,
    })
}

/// Reads the body of an answer.
pub fn parse_endpoint_list(body: &[u8]) -> Result<EndpointListUpdate, Fault> {
    let document = json::document(body)?;
    let root = Place::root(&document);
    // Danger: taken for a list, an answer of something else would be an empty one.
    for key in ["generation", "instances"] {
        if !root.at(key).exists() {
            return Err(root.at(key).fault("is missing"));
        }
    }
    endpoint_list_update(&root)
}
