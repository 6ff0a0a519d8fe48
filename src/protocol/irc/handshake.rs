//! Handshake with a server: its lines up to the welcome that accepts the client, or to the line that ends the
//! attempt.

use super::message::{
    CAP, CAP_NAK, ERROR, ERR_ERRONEUSNICKNAME, ERR_NICKCOLLISION, ERR_NICKNAMEINUSE, ERR_NONICKNAMEGIVEN,
    ERR_PASSWDMISMATCH, ERR_UNAVAILRESOURCE, ERR_YOUREBANNEDCREEP, PING, RPL_BOUNCE, RPL_TRYAGAIN,
    RPL_WELCOME,
};
use super::{parse_message, Message, MAX_TAGGED_LINE_LENGTH};
use crate::protocol::lines::{LineBuffer, NextLine};
use crate::protocol::CRLF;
use crate::routing::AttemptOutcome;

/// Maximum number of bytes of a server's notices before its welcome that are kept for the client.
const MAX_NOTICE_BYTES: usize = 4096;

/// Result of a line of the server.
#[derive(Debug, PartialEq)]
pub(super) enum HandshakeStep {
    /// Send this reply to the server. The handshake continues.
    Reply(Vec<u8>),
    /// The server accepts the client. These lines of the server are sent to the client.
    Accepted(Vec<u8>),
    /// The server refuses the registration by this line, as any other server would.
    RegistrationRefused(Vec<u8>),
    /// The attempt has failed.
    Failed(AttemptOutcome),
}

/// A server's lines that have not been processed, and its notices.
#[derive(Debug, Default)]
pub(super) struct ServerHandshake {
    lines: LineBuffer,
    /// Lines that the server sent before its welcome. The client receives them with the welcome.
    notices: Vec<u8>,
}

impl ServerHandshake {
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.lines.push(bytes);
    }

    /// Removes and returns the bytes after the last processed line.
    pub(super) fn take_remaining(&mut self) -> Vec<u8> {
        self.lines.take_all()
    }

    /// Processes lines up to the next step. Returns `None` if no further line is complete.
    pub(super) fn next_step(&mut self) -> Option<HandshakeStep> {
        loop {
            match self.lines.next_line(MAX_TAGGED_LINE_LENGTH) {
                NextLine::Incomplete => return None,
                NextLine::TooLong => return Some(HandshakeStep::Failed(AttemptOutcome::Error)),
                NextLine::Line(line) => {
                    let step = self.read_line(&line);
                    if step.is_some() {
                        return step;
                    }
                }
            }
        }
    }

    fn read_line(&mut self, line: &[u8]) -> Option<HandshakeStep> {
        let message = parse_message(line)?;
        match &message.command.to_ascii_uppercase()[..] {
            PING => {
                let token = message.params.first().copied().unwrap_or_default();
                Some(HandshakeStep::Reply([b"PONG :", token, CRLF].concat()))
            }
            CAP if !is_capability_refusal(&message) => None,
            CAP | ERROR => Some(HandshakeStep::Failed(AttemptOutcome::Error)),
            _ => self.read_numeric(message.numeric(), [line, CRLF].concat()),
        }
    }

    fn read_numeric(&mut self, numeric: Option<u16>, line: Vec<u8>) -> Option<HandshakeStep> {
        match numeric {
            Some(RPL_WELCOME) => {
                let mut bytes = std::mem::take(&mut self.notices);
                bytes.extend(line);
                Some(HandshakeStep::Accepted(bytes))
            }
            // The server is full, or redirects its clients to another server.
            Some(RPL_TRYAGAIN | RPL_BOUNCE) => Some(HandshakeStep::Failed(AttemptOutcome::Rejected)),
            // Any other server would refuse the nickname or the password as well.
            Some(
                ERR_NONICKNAMEGIVEN | ERR_ERRONEUSNICKNAME | ERR_NICKNAMEINUSE | ERR_NICKCOLLISION
                | ERR_UNAVAILRESOURCE | ERR_PASSWDMISMATCH | ERR_YOUREBANNEDCREEP,
            ) => Some(HandshakeStep::RegistrationRefused(line)),
            _ => {
                self.keep_notice(line);
                None
            }
        }
    }

    fn keep_notice(&mut self, line: Vec<u8>) {
        if self.notices.len() + line.len() <= MAX_NOTICE_BYTES {
            self.notices.extend(line);
        }
    }
}

/// Returns whether a `CAP` message refuses capabilities.
fn is_capability_refusal(message: &Message<'_>) -> bool {
    message.params.get(1).is_some_and(|verb| verb.eq_ignore_ascii_case(CAP_NAK))
}
