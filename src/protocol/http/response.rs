//! Responses of the discovery service: a head, and a body that is chunked, of a given length, or up to the end of the
//! connection.

use thiserror::Error;
use winnow::ascii::{dec_uint, space0};
use winnow::combinator::{delimited, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::Partial;
use winnow::token::{take, take_till, take_while};
use winnow::{ModalResult, Parser};

/// The longest response that is accepted, in bytes: many times what the list of the largest fleet needs.
pub const MAX_RESPONSE_LENGTH: usize = 4 << 20;
/// The most hexadecimal digits of a chunk's size.
const MAX_CHUNK_SIZE_DIGITS: usize = 8;

// Headers, whose names are compared without regard to case.
const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
const CONNECTION: &[u8] = b"connection";
// Their values.
const CHUNKED: &[u8] = b"chunked";
const CLOSE: &[u8] = b"close";

/// Why a response of the discovery service cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// It is longer than [`MAX_RESPONSE_LENGTH`].
    #[error("discovery: answer too long")]
    TooLong,
    /// Its head is not that of an HTTP/1.1 response.
    #[error("discovery: answer is no HTTP/1.1")]
    MalformedHead,
    /// A chunk of its body is malformed.
    #[error("discovery: broken chunk")]
    MalformedChunk,
    /// The connection ended before the body was complete.
    #[error("discovery: answer cut short")]
    Truncated,
}

/// What is used of a response's head.
#[derive(Debug, PartialEq)]
struct Head {
    status: u16,
    content_length: Option<usize>,
    chunked: bool,
    close: bool,
}

/// A complete response.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// Its status code.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection cannot be used again.
    pub close: bool,
    /// Bytes of the input that it took.
    pub taken: usize,
}

type Input<'a> = Partial<&'a [u8]>;

struct Header<'a> {
    name: &'a [u8],
    value: &'a [u8],
}

fn parse_header<'a>(input: &mut Input<'a>) -> ModalResult<Header<'a>> {
    let name = take_while(1.., |b: u8| b.is_ascii_graphic() && b != b':');
    let value = terminated(take_till(0.., b"\r\n"), b"\r\n");
    (terminated(name, (b':', space0)), value).map(|(name, value)| Header { name, value }).parse_next(input)
}

fn parse_head(input: &mut Input<'_>) -> ModalResult<Head> {
    let version = (b"HTTP/1.", dec_uint::<_, u8, _>, b' ');
    let status =
        delimited(version, dec_uint::<_, u16, _>, (take_till(0.., b'\n'), b'\n')).parse_next(input)?;
    let headers: Vec<Header<'_>> = terminated(repeat(0.., parse_header), b"\r\n").parse_next(input)?;
    let mut head = Head { status, content_length: None, chunked: false, close: false };
    for Header { name, value } in headers {
        let value = value.trim_ascii().to_ascii_lowercase();
        if name.eq_ignore_ascii_case(CONTENT_LENGTH) {
            head.content_length = std::str::from_utf8(&value).ok().and_then(|text| text.parse().ok());
        } else if name.eq_ignore_ascii_case(TRANSFER_ENCODING) {
            head.chunked = value.ends_with(CHUNKED);
        } else if name.eq_ignore_ascii_case(CONNECTION) {
            head.close = value == CLOSE;
        }
    }
    Ok(head)
}

/// The bytes of a chunk; the last one of a body is empty.
fn parse_chunk<'a>(input: &mut Input<'a>) -> ModalResult<&'a [u8]> {
    let digits = take_while(1..=MAX_CHUNK_SIZE_DIGITS, |b: u8| b.is_ascii_hexdigit());
    let size = digits.verify_map(|digits: &[u8]| {
        let size = usize::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
        (size <= MAX_RESPONSE_LENGTH).then_some(size)
    });
    let size = terminated(size, (take_till(0.., b'\n'), b'\n')).parse_next(input)?;
    terminated(take(size), b"\r\n").parse_next(input)
}

/// Whether a parser failed only because the input is not complete yet, and more can come.
fn needs_more_input(error: &ErrMode<ContextError>, ended: bool) -> bool {
    matches!(error, ErrMode::Incomplete(_)) && !ended
}

/// Reads a chunked body; none while it is incomplete.
fn read_chunked_body(input: &mut Input<'_>, ended: bool) -> Result<Option<Vec<u8>>, HttpError> {
    let mut body = Vec::new();
    loop {
        match parse_chunk(input) {
            Ok([]) => return Ok(Some(body)),
            Ok(chunk) => body.extend_from_slice(chunk),
            Err(error) if needs_more_input(&error, ended) => return Ok(None),
            Err(_) => return Err(HttpError::MalformedChunk),
        }
    }
}

/// Reads a body of this length, or up to the end of the connection; none while it is incomplete.
fn read_plain_body(
    input: &mut Input<'_>,
    content_length: Option<usize>,
    ended: bool,
) -> Result<Option<Vec<u8>>, HttpError> {
    let remaining: &[u8] = input;
    let length = match content_length {
        Some(length) => length,
        None if ended => remaining.len(),
        None => return Ok(None),
    };
    match remaining.split_at_checked(length) {
        Some((body, after)) => {
            *input = Partial::new(after);
            Ok(Some(body.to_vec()))
        }
        None if ended => Err(HttpError::Truncated),
        None => Ok(None),
    }
}

/// Reads a response from the start of `bytes`: none while it is incomplete. `ended` says that no more bytes will come.
///
/// # Errors
/// [`HttpError`] if the bytes are not a response, or too long.
pub fn parse_response(bytes: &[u8], ended: bool) -> Result<Option<Response>, HttpError> {
    if bytes.len() > MAX_RESPONSE_LENGTH {
        return Err(HttpError::TooLong);
    }
    let mut input = Partial::new(bytes);
    let head = match parse_head(&mut input) {
        Ok(head) => head,
        Err(error) if needs_more_input(&error, ended) => return Ok(None),
        Err(_) => return Err(HttpError::MalformedHead),
    };
    let body = if head.chunked {
        read_chunked_body(&mut input, ended)?
    } else {
        read_plain_body(&mut input, head.content_length, ended)?
    };
    let Some(body) = body else { return Ok(None) };
    let remaining: &[u8] = &input;
    let close = head.close || (head.content_length.is_none() && !head.chunked);
    Ok(Some(Response { status: head.status, body, close, taken: bytes.len() - remaining.len() }))
}
