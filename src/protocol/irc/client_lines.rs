//! The lines of a client, without those that the protocol does not allow.

use super::message::is_too_long;
use super::MAX_TAGGED_LINE_LENGTH;
use crate::protocol::lines::{LineBuffer, NextLine};

/// The result of [`ClientLines::next_line`].
#[derive(Debug, PartialEq)]
pub(super) enum ClientLine {
    /// A line, without its end.
    Valid(Vec<u8>),
    /// A line that is longer than allowed; its bytes are skipped up to its end.
    TooLong,
    /// A line with a NUL byte.
    ContainsNul,
    /// No line is complete yet.
    Incomplete,
}

/// The bytes that a client has sent and that have not been read yet.
#[derive(Debug, Default)]
pub(super) struct ClientLines {
    buffer: LineBuffer,
    /// The rest of a line that was too long is skipped up to its end.
    is_skipping_line: bool,
}

impl ClientLines {
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.push(bytes);
    }

    /// Number of buffered bytes.
    pub(super) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Drops all buffered bytes.
    pub(super) fn clear(&mut self) {
        self.buffer.take_all();
    }

    /// Whether nothing is buffered, and no line is being skipped.
    pub(super) fn is_between_lines(&self) -> bool {
        self.buffer.is_empty() && !self.is_skipping_line
    }

    /// Takes the next line. A line that is too long is returned once, whatever pieces it arrives in.
    pub(super) fn next_line(&mut self) -> ClientLine {
        loop {
            let next = self.buffer.next_line(MAX_TAGGED_LINE_LENGTH);
            let was_skipping = std::mem::take(&mut self.is_skipping_line);
            match next {
                NextLine::Incomplete => {
                    self.is_skipping_line = was_skipping;
                    return ClientLine::Incomplete;
                }
                // A line without an end must not fill the memory.
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
