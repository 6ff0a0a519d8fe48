//! Lines of a client. Lines that the protocol does not allow are dropped, and reported so that they can be
//! answered.

use super::message::is_too_long;
use super::MAX_TAGGED_LINE_LENGTH;
use crate::protocol::lines::{LineBuffer, NextLine};

/// Result of [`ClientLines::next_line`].
#[derive(Debug, PartialEq)]
pub(super) enum ClientLine {
    /// A line, without its ending.
    Valid(Vec<u8>),
    /// A line that is longer than allowed. Its bytes are skipped.
    TooLong,
    /// A line with a NUL byte.
    ContainsNul,
    /// The buffer holds no complete line yet.
    Incomplete,
}

/// Bytes that a client has sent and that have not been processed.
#[derive(Debug, Default)]
pub(super) struct ClientLines {
    buffer: LineBuffer,
    /// The current line is too long, and its remaining bytes are skipped.
    is_skipping_line: bool,
}

impl ClientLines {
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.push(bytes);
    }

    /// Returns the number of buffered bytes.
    pub(super) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Drops all buffered bytes.
    pub(super) fn clear(&mut self) {
        self.buffer.take_all();
    }

    /// Returns whether nothing is buffered and no line is being skipped.
    pub(super) fn is_between_lines(&self) -> bool {
        self.buffer.is_empty() && !self.is_skipping_line
    }

    /// Removes and returns the next line. A line that is too long is reported once, even if it arrives in
    /// pieces.
    pub(super) fn next_line(&mut self) -> ClientLine {
        loop {
            let next = self.buffer.next_line(MAX_TAGGED_LINE_LENGTH);
            let was_skipping = std::mem::take(&mut self.is_skipping_line);
            match next {
                NextLine::Incomplete => {
                    self.is_skipping_line = was_skipping;
                    return ClientLine::Incomplete;
                }
                // An unterminated line must not exhaust the memory.
                NextLine::TooLong => {
                    self.is_skipping_line = !self.buffer.skip_line();
                    if !was_skipping {
                        return ClientLine::TooLong;
                    }
                }
                NextLine::Line(_) if was_skipping => {}
                NextLine::Line(line) if is_too_long(&line) => return ClientLine::TooLong,
                NextLine::Line(line) if line.contains(&0) => return ClientLine::ContainsNul,
                NextLine::Line(line) => return ClientLine::Valid(line),
            }
        }
    }
}
