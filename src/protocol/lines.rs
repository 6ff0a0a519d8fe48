//! Cutting a stream of bytes into lines, whatever pieces it comes in.

use winnow::combinator::terminated;
use winnow::stream::Partial;
use winnow::token::take_till;
use winnow::{ModalResult, Parser};

/// Bytes of which the last line may not be complete.
#[derive(Default, Debug)]
pub struct Lines {
    held: Vec<u8>,
}

/// What [`Lines::next`] found.
#[derive(Debug, PartialEq)]
pub enum Cut {
    /// A line, without its end.
    Line(Vec<u8>),
    /// More bytes than a line may have, and no end of it.
    TooLong,
    /// No complete line yet.
    None,
}

fn line<'a>(input: &mut Partial<&'a [u8]>) -> ModalResult<&'a [u8]> {
    terminated(take_till(0.., b'\n'), b'\n').parse_next(input)
}

impl Lines {
    /// More bytes came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Bytes that wait.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none do.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Takes all that waits, complete or not.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.held)
    }

    /// Takes all complete lines as they are, with their ends.
    pub fn take_complete(&mut self) -> Vec<u8> {
        let end = self.held.iter().rposition(|&b| b == b'\n').map_or(0, |at| at + 1);
        self.held.drain(..end).collect()
    }

    /// The next line of at most so many bytes, its end included.
    pub fn next(&mut self, most: usize) -> Cut {
        let mut input = Partial::new(&self.held[..]);
        match line(&mut input) {
            Ok(found) => {
                let (length, too_long) = (found.len() + 1, found.len() + 1 > most);
                let text = found.strip_suffix(b"\r").unwrap_or(found).to_vec();
                self.held.drain(..length);
                if too_long {
                    Cut::TooLong
                } else {
                    Cut::Line(text)
                }
            }
            Err(_) if self.held.len() >= most => Cut::TooLong,
            Err(_) => Cut::None,
        }
    }
}
