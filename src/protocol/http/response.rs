//! Responses of the discovery service: a head, and a body that is chunked, has a given length, or extends to
//! the end of the connection.

use thiserror::Error;
use winnow::ascii::{dec_uint, space0};
use winnow::combinator::{delimited, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::stream::Partial;
use winnow::token::{take, take_till, take_while};
use winnow::{ModalResult, Parser};

/// Maximum length of a response in bytes, many times the length of the endpoint list of the largest fleet.
pub const MAX_RESPONSE_LENGTH: usize = 4 << 20;
/// Maximum length of the head of a response in bytes. A parsed header takes several times the memory of a short
/// header's text.
pub const MAX_HEAD_LENGTH: usize = 16 << 10;
/// Maximum number of hexadecimal digits in the size of a chunk.
const MAX_CHUNK_SIZE_DIGITS: usize = 8;

// Names of headers, which are compared case-insensitively.
const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
const CONNECTION: &[u8] = b"connection";
// Values of headers.
const CHUNKED: &[u8] = b"chunked";
const CLOSE: &[u8] = b"close";

/// Error of reading a response of the discovery service.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// The received bytes are longer than [`MAX_RESPONSE_LENGTH`].
    #[error("discovery: response of at least {received} bytes exceeds the limit of {MAX_RESPONSE_LENGTH}")]
    TooLong {
        /// Number of bytes received.
        received: usize,
    },
    /// The head is longer than [`MAX_HEAD_LENGTH`].
    #[error("discovery: head of a response exceeds the limit of {MAX_HEAD_LENGTH} bytes")]
    HeadTooLong,
    /// The head is not that of an HTTP/1.1 response, or the connection ended within it.
    #[error("discovery: response has no valid HTTP/1.1 head in its first {received} bytes")]
    MalformedHead {
        /// Number of bytes received.
        received: usize,
    },
    /// A chunk of the body is malformed or too long, or the connection ended within it.
    #[error(
        "discovery: chunk after {body_length} bytes of the body is malformed, truncated or longer than the \
         limit of {MAX_RESPONSE_LENGTH}"
    )]
    MalformedChunk {
        /// Number of bytes of the body in earlier chunks.
        body_length: usize,
    },
    /// The connection ended before the body was complete.
    #[error("discovery: response truncated: got {received} of {expected} bytes of the body")]
    Truncated {
        /// Number of bytes of the body that were received.
        received: usize,
        /// Length of the body according to its head.
        expected: usize,
    },
}

/// Fields of a response's head that the balancer uses.
#[derive(Debug, PartialEq)]
struct Head {
    status: u16,
    content_length: Option<usize>,
    chunked: bool,
    close: bool,
}

/// Complete response.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body, decoded if it was chunked.
    pub body: Vec<u8>,
    /// The connection cannot be used for another request.
    pub closes_connection: bool,
    /// Number of input bytes that the response occupies.
    pub consumed: usize,
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

/// Parses a chunk, and returns its bytes. The last chunk of a body is empty.
fn parse_chunk<'a>(input: &mut Input<'a>) -> ModalResult<&'a [u8]> {
    let digits = take_while(1..=MAX_CHUNK_SIZE_DIGITS, |b: u8| b.is_ascii_hexdigit());
    let size = digits.verify_map(|digits: &[u8]| {
        let size = usize::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
        (size <= MAX_RESPONSE_LENGTH).then_some(size)
    });
    let size = terminated(size, (take_till(0.., b'\n'), b'\n')).parse_next(input)?;
    terminated(take(size), b"\r\n").parse_next(input)
}

/// Returns whether a parser failed only because the input is incomplete, and more input may arrive.
fn needs_more_input(error: &ErrMode<ContextError>, ended: bool) -> bool {
    matches!(error, ErrMode::Incomplete(_)) && !ended
}

/// Reads a chunked body. Returns `None` while it is incomplete.
fn read_chunked_body(input: &mut Input<'_>, ended: bool) -> Result<Option<Vec<u8>>, HttpError> {
    let mut body = Vec::new();
    loop {
        match parse_chunk(input) {
            Ok([]) => return Ok(Some(body)),
            Ok(chunk) => body.extend_from_slice(chunk),
            Err(error) if needs_more_input(&error, ended) => return Ok(None),
            Err(_) => return Err(HttpError::MalformedChunk { body_length: body.len() }),
        }
    }
}

/// Reads a body of the given length, or up to the end of the connection. Returns `None` while it is
/// incomplete.
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
        None if ended => Err(HttpError::Truncated { received: remaining.len(), expected: length }),
        None => Ok(None),
    }
}

/// Reads a response from the start of `bytes`. Returns `None` while it is incomplete. `ended` tells that the
/// connection has ended, so that no more bytes will arrive.
///
/// # Errors
/// [`HttpError`] if the bytes are not a valid response, or exceed [`MAX_RESPONSE_LENGTH`] or
/// [`MAX_HEAD_LENGTH`].
pub fn parse_response(bytes: &[u8], ended: bool) -> Result<Option<Response>, HttpError> {
    if bytes.len() > MAX_RESPONSE_LENGTH {
        return Err(HttpError::TooLong { received: bytes.len() });
    }
    let (head_bytes, after) = bytes.split_at(bytes.len().min(MAX_HEAD_LENGTH));
    let mut input = Partial::new(head_bytes);
    let head = match parse_head(&mut input) {
        Ok(head) => head,
        Err(ErrMode::Incomplete(_)) if !after.is_empty() => return Err(HttpError::HeadTooLong),
        Err(error) if needs_more_input(&error, ended) => return Ok(None),
        Err(_) => return Err(HttpError::MalformedHead { received: bytes.len() }),
    };
    let body_start = head_bytes.len() - input.len();
    let mut input = Partial::new(&bytes[body_start..]);
    let body = if head.chunked {
        read_chunked_body(&mut input, ended)?
    } else {
        read_plain_body(&mut input, head.content_length, ended)?
    };
    let Some(body) = body else { return Ok(None) };
    let remaining: &[u8] = &input;
    let closes_connection = head.close || (head.content_length.is_none() && !head.chunked);
    Ok(Some(Response {
        status: head.status,
        body,
        closes_connection,
        consumed: bytes.len() - remaining.len(),
    }))
}
