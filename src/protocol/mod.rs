//! Parsers and encoders of all wire formats, without sockets. The protocol of each front is a small state
//! machine over bytes: see [`Front`].

#![deny(missing_docs)]

pub mod admin;
pub mod flows;
pub mod gossip;
pub mod hot_restart;
pub mod http;
pub mod irc;
pub mod json;
pub mod lines;
pub mod pcap;
pub mod platform;
pub mod platform_settings;
pub mod replica_messages;

use crate::routing::{Answer, AttemptOutcome, ConnectionRequest};
use crate::Micros;

/// Maximum length of a line of the platform's protocol in bytes, including its CRLF.
pub const MAX_LINE_LENGTH: usize = 4096;

/// Line ending of all lines that are written.
const CRLF: &[u8] = b"\r\n";

/// Hashes the key that identifies a returning client. Two clients with the same hash are treated as one
/// client, which only makes a count inexact.
fn hash_client_key(key: &[u8]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    std::hash::Hasher::write(&mut hasher, key);
    std::hash::Hasher::finish(&hasher)
}

/// Result of bytes that a front received. Events apply in the order in which the front appends them.
#[derive(Clone, Debug, PartialEq)]
pub enum FrontEvent {
    /// Send bytes to the client.
    ToClient(Vec<u8>),
    /// Send bytes to the server.
    ToServer(Vec<u8>),
    /// The client asks whether this balancer can serve. These bytes are the answer that is sent if it can.
    Ping(Vec<u8>),
    /// The client requests a connection.
    ConnectionRequested(ConnectionRequest),
    /// The server accepted the connection.
    Accepted,
    /// The server reported this load of the connection.
    Load(f64),
    /// A message of the server ended the attempt. For [`AttemptOutcome::VerdictForwarded`], an earlier event
    /// sends the server's answer to the client.
    AttemptEnded(AttemptOutcome),
    /// Close the client's connection, since the client quit or violated the protocol. An earlier event sends
    /// it the answer.
    Close,
}

/// Protocol of one client connection and of the current attempt for it.
pub trait Front {
    /// Processes bytes that the client sent, and appends the resulting events.
    ///
    /// If the answers to the client's lines would take too much memory, the remaining lines are kept. They are
    /// processed by further calls, which may pass no bytes.
    fn client_sent(&mut self, bytes: &[u8], events: &mut Vec<FrontEvent>);
    /// Returns whether lines of the client were kept by the last call of [`Front::client_sent`].
    fn has_unprocessed_lines(&self) -> bool;
    /// Starts an attempt, and returns the request to send to the server. The server has to accept within
    /// `acceptance_timeout`.
    fn open_attempt(&mut self, acceptance_timeout: Micros) -> Vec<u8>;
    /// Processes bytes that the server sent, and appends the resulting events.
    fn server_sent(&mut self, bytes: &[u8], events: &mut Vec<FrontEvent>);
    /// Returns the outcome of the attempt after the server closed its side or, if `broken`, after its
    /// connection broke.
    fn server_ended(&mut self, broken: bool) -> AttemptOutcome;
    /// Encodes an answer to the client. The result is empty if this protocol has no message for the answer,
    /// or if a line of the server has been relayed only in part.
    fn encode_answer(&mut self, answer: Answer) -> Vec<u8>;
    /// Removes and returns the buffered bytes of an unfinished line of the server, of which no more will be
    /// received.
    fn take_partial_line(&mut self) -> Vec<u8>;
    /// Returns the state that another process needs to continue this connection. Returns `None` unless the
    /// connection is established, is between two lines in both directions, and no line has announced its end.
    fn export_state(&self) -> Option<Vec<u8>>;
    /// Continues a connection that was established by another process, from the state that it exported.
    fn import_state(&mut self, state: &[u8]);
    /// Returns the number of the client's bytes that are buffered until a server has accepted.
    fn buffered_bytes(&self) -> usize;
}
