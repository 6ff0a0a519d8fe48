//! Errors of the link between two processes.

use std::io;
use std::time::Duration;

use thiserror::Error;

use crate::protocol::hot_restart::{MAX_MESSAGE_LENGTH, MAX_PARTS};

/// Why the link to the peer process cannot be used.
#[derive(Debug, Error)]
pub(super) enum LinkError {
    /// An operation on the socket failed.
    #[error("socket error: {0}")]
    Socket(#[from] io::Error),
    /// The other end belongs to another user, who may have bound the path first in a shared folder.
    #[error("the peer process runs as user {peer}; user {own} is required")]
    OtherUser {
        /// Numeric id of the user that runs the peer process.
        peer: u32,
        /// Numeric id of the user that runs this process.
        own: u32,
    },
    /// A message is longer than the link can carry.
    #[error("a message to the peer process exceeds the limit of {MAX_MESSAGE_LENGTH} bytes")]
    MessageTooLong,
    /// The peer process did not read a message before the timeout.
    #[error("the peer process did not read a message within {} ms", .send_timeout.as_millis())]
    SendTimedOut {
        /// Timeout of sending a message.
        send_timeout: Duration,
    },
    /// A message cannot be decoded.
    #[error("a message of {length} bytes from the peer process cannot be decoded")]
    InvalidMessage {
        /// Length of the message, in bytes.
        length: usize,
    },
    /// A transferred connection did not arrive with exactly the two sockets of its client and its attempt.
    #[error("a connection was transferred with {sockets} sockets; 2 are required")]
    WrongSocketCount {
        /// Number of sockets that arrived.
        sockets: usize,
    },
    /// A message does not belong to the current step of the hot restart.
    #[error("the peer process sent a message that does not belong to this step of the hot restart")]
    UnexpectedMessage,
    /// The peer process closed the link.
    #[error("the peer process closed the link")]
    Closed,
    /// The exported state has more parts than any state can have.
    #[error("the predecessor's state did not end within {MAX_PARTS} messages")]
    TooManyParts,
}
