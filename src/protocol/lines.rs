//! Splitting a stream of bytes into lines, whatever pieces it arrives in. Lengths of lines are in bytes and include the
//! line's end.

use winnow::combinator::terminated;
use winnow::stream::Partial;
use winnow::token::take_till;
use winnow::{ModalResult, Parser};

/// A buffer for received bytes, of which the last line may be incomplete.
#[derive(Default, Debug)]
pub struct LineBuffer {
    bytes: Vec<u8>,
}

/// The result of [`LineBuffer::next_line`].
#[derive(Debug, PartialEq)]
pub enum NextLine {
    /// A line, without its end.
    Line(Vec<u8>),
    /// The line is longer than allowed. Its bytes stay in the buffer for [`LineBuffer::skip_line`].
    TooLong,
    /// The buffer holds no complete line yet.
    Incomplete,
}

fn parse_line<'a>(input: &mut Partial<&'a [u8]>) -> ModalResult<&'a [u8]> {
    terminated(take_till(0.., b'\n'), b'\n').parse_next(input)
}

/// Length of the first line in `bytes`, or of all of them if its end is missing.
fn first_line_length(bytes: &[u8]) -> usize {
    bytes.iter().position(|&b| b == b'\n').map_or(bytes.len(), |end| end + 1)
}

impl LineBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes all buffered bytes, the incomplete line included.
    pub fn take_all(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    fn take_complete_lines(&mut self) -> Vec<u8> {
        let end = self.bytes.iter().rposition(|&b| b == b'\n').map_or(0, |end| end + 1);
        self.bytes.drain(..end).collect()
    }

    /// Drops the buffered bytes of the current line; returns whether its end was among them.
    pub fn skip_line(&mut self) -> bool {
        let length = first_line_length(&self.bytes);
        let is_complete = self.bytes[..length].ends_with(b"\n");
        self.bytes.drain(..length);
        is_complete
    }

    /// Takes the next line, if it has at most `max_length` bytes.
    pub fn next_line(&mut self, max_length: usize) -> NextLine {
        let mut input = Partial::new(&self.bytes[..]);
        match parse_line(&mut input) {
            Ok(line) => {
                let length = line.len() + 1;
                if length > max_length {
                    return NextLine::TooLong;
                }
                let text = line.strip_suffix(b"\r").unwrap_or(line).to_vec();
                self.bytes.drain(..length);
                NextLine::Line(text)
            }
            Err(_) if self.bytes.len() >= max_length => NextLine::TooLong,
            Err(_) => NextLine::Incomplete,
        }
    }
}

/// Checks the length of the lines of a stream whose bytes are passed on as they arrive.
#[derive(Default, Debug)]
pub struct LineLengthValidator {
    /// Length of the current line so far.
    length: usize,
}

impl LineLengthValidator {
    /// Whether the stream is between two lines.
    pub fn is_between_lines(&self) -> bool {
        self.length == 0
    }

    /// Takes the next bytes of the stream; returns whether no line among them is longer than `max_length`.
    pub fn accept(&mut self, bytes: &[u8], max_length: usize) -> bool {
        let mut all_fit = true;
        for piece in bytes.split_inclusive(|&b| b == b'\n') {
            self.length += piece.len();
            all_fit &= self.length <= max_length;
            if piece.ends_with(b"\n") {
                self.length = 0;
            }
        }
        all_fit
    }
}

/// Relays whole lines, so that a line of the balancer's own can be put between two of them. Only lines that are too
/// long to be buffered are relayed in pieces.
#[derive(Default, Debug)]
pub struct LineRelay {
    lines: LineBuffer,
    /// The current line has been relayed in part.
    is_mid_line: bool,
}

/// The bytes that a [`LineRelay`] passes on.
#[derive(Debug, Default, PartialEq)]
pub struct RelayedBytes {
    /// More of a line that was relayed in part before.
    pub continuation: Vec<u8>,
    /// Lines from their start. The last may be incomplete if it is too long to be buffered.
    pub lines: Vec<u8>,
}

impl RelayedBytes {
    /// All bytes in their order.
    pub fn into_bytes(self) -> Vec<u8> {
        [self.continuation, self.lines].concat()
    }
}

impl LineRelay {
    /// Whether the stream is between two lines, with nothing buffered.
    pub fn is_between_lines(&self) -> bool {
        !self.is_mid_line && self.lines.is_empty()
    }

    /// Whether an unfinished line has been relayed in part, so that no other line may follow yet.
    pub fn is_mid_line(&self) -> bool {
        self.is_mid_line
    }

    /// Takes the next bytes of the stream, and returns what can be passed on.
    pub fn relay(&mut self, bytes: &[u8], max_length: usize) -> RelayedBytes {
        self.lines.push(bytes);
        let mut continuation = Vec::new();
        if self.is_mid_line {
            continuation = self.lines.take_all();
            let remainder = continuation.split_off(first_line_length(&continuation));
            self.is_mid_line = !continuation.ends_with(b"\n");
            self.lines.push(&remainder);
        }
        let mut lines = self.lines.take_complete_lines();
        if self.lines.len() > max_length {
            // A line without an end must not be buffered forever, or it would fill the memory.
            self.is_mid_line = true;
            lines.extend(self.lines.take_all());
        }
        RelayedBytes { continuation, lines }
    }

    /// Takes the buffered bytes of an unfinished line.
    pub fn take_partial_line(&mut self) -> Vec<u8> {
        self.lines.take_all()
    }
}
