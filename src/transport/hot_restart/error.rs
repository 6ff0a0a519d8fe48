//! Errors of the link between two processes.

use std::io;

use thiserror::Error;

/// Why the link to the peer process cannot be used.
#[derive(Debug, Error)]
pub(super) enum LinkError {
    /// The socket cannot be used.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// The other end belongs to another user, who may have bound the path first in a shared folder.
    #[error("the socket belongs to another user")]
    OtherUser,
    /// A message does not fit the link.
    #[error("the message is too long")]
    MessageTooLong,
    /// The other process does not read.
    #[error("a message was not read in time")]
    SendTimedOut,
    /// A message cannot be decoded, or came without its sockets.
    #[error("a message is invalid")]
    InvalidMessage,
    /// A message does not belong to this step of the hot restart.
    #[error("a message is out of order")]
    UnexpectedMessage,
    /// The other process closed the link.
    #[error("the link was closed")]
    Closed,
    /// The exported state has more parts than any state can have.
    #[error("the state has too many parts")]
    TooManyParts,
}
