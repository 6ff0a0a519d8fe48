//! Splitting a byte stream into lines. The result does not depend on how the bytes arrive in pieces. Lengths
//! of lines are in bytes and include the line ending.

use winnow::combinator::terminated;
use winnow::stream::Partial;
use winnow::token::take_till;
use winnow::{ModalResult, Parser};

/// Buffer for received bytes, whose last line may be incomplete.
#[derive(Default, Debug)]
pub struct LineBuffer {
    bytes: Vec<u8>,
}

/// Result of [`LineBuffer::next_line`].
#[derive(Debug, PartialEq)]
pub enum NextLine {
    /// A line, without its ending.
    Line(Vec<u8>),
    /// The line is longer than allowed. Its bytes stay in the buffer until [`LineBuffer::skip_line`] drops
    /// them.
    TooLong,
    /// The buffer holds no complete line yet.
    Incomplete,
}

fn parse_line<'a>(input: &mut Partial<&'a [u8]>) -> ModalResult<&'a [u8]> {
    terminated(take_till(0.., b'\n'), b'\n').parse_next(input)
}

/// Returns the length of the first line in `bytes`, or the length of `bytes` if the line is incomplete.
fn first_line_length(bytes: &[u8]) -> usize {
    bytes.iter().position(|&b| b == b'\n').map_or(bytes.len(), |end| end + 1)
}

impl LineBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Removes and returns all buffered bytes, including an incomplete line.
    pub fn take_all(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    /// Removes and returns all complete lines.
    fn take_complete_lines(&mut self) -> Vec<u8> {
        let end = self.bytes.iter().rposition(|&b| b == b'\n').map_or(0, |end| end + 1);
        // The incomplete line is kept in memory of its size.
        let incomplete_line = self.bytes.split_off(end);
        std::mem::replace(&mut self.bytes, incomplete_line)
    }

    /// Drops the buffered bytes of the first line. Returns whether that line was complete.
    pub fn skip_line(&mut self) -> bool {
        let length = first_line_length(&self.bytes);
        let is_complete = self.bytes[..length].ends_with(b"\n");
        self.bytes.drain(..length);
        is_complete
    }

    /// Removes and returns the first line, if it is complete and has at most `max_length` bytes.
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

/// Checks the line lengths of a stream whose bytes are forwarded as they arrive.
#[derive(Default, Debug)]
pub struct LineLengthValidator {
    /// Number of bytes of the current line that have been received.
    length: usize,
}

impl LineLengthValidator {
    /// Returns whether the stream is between two lines.
    pub fn is_between_lines(&self) -> bool {
        self.length == 0
    }

    /// Processes the next bytes of the stream. Returns whether all of their lines have at most `max_length`
    /// bytes.
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

/// Relays whole lines, so that the balancer can insert a line of its own between two of them. Only lines that
/// are too long to be buffered are relayed in pieces.
#[derive(Default, Debug)]
pub struct LineRelay {
    lines: LineBuffer,
    /// Part of the current line has been relayed.
    is_mid_line: bool,
}

/// Bytes that a [`LineRelay`] forwards.
#[derive(Debug, Default, PartialEq)]
pub struct RelayedBytes {
    /// Further bytes of a line whose start was relayed earlier.
    pub continuation: Vec<u8>,
    /// Lines from their start. The last one may be incomplete if it is too long to be buffered.
    pub lines: Vec<u8>,
}

impl RelayedBytes {
    /// Returns all bytes in the order of the stream.
    pub fn into_bytes(self) -> Vec<u8> {
        [self.continuation, self.lines].concat()
    }
}

impl LineRelay {
    /// Returns whether the stream is between two lines and nothing is buffered.
    pub fn is_between_lines(&self) -> bool {
        !self.is_mid_line && self.lines.is_empty()
    }

    /// Returns whether only part of the current line has been relayed, so that no other line may be inserted
    /// now.
    pub fn is_mid_line(&self) -> bool {
        self.is_mid_line
    }

    /// Adds the next bytes of the stream, and returns the bytes to forward. An incomplete line is buffered up
    /// to `max_length` bytes.
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
            // An unterminated line must not be buffered without limit, since it would exhaust the memory.
            self.is_mid_line = true;
            lines.extend(self.lines.take_all());
        }
        RelayedBytes { continuation, lines }
    }

    /// Removes and returns the buffered bytes of an unfinished line.
    pub fn take_partial_line(&mut self) -> Vec<u8> {
        self.lines.take_all()
    }
}
