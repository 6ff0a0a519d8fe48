//! Parsers and encoders of all wire formats, without sockets. Each front is a small state machine over bytes.

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

/// The longest line of the platform's wire in bytes, CRLF included.
pub const MAX_LINE_LENGTH: usize = 4096;

/// The end of a line that is written.
const CRLF: &[u8] = b"\r\n";

/// Hashes the key by which a client is recognised when it connects again. Two clients whose keys collide are taken for
/// one, which only makes a count inexact.
fn hash_client_key(key: &[u8]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    std::hash::Hasher::write(&mut hasher, key);
    std::hash::Hasher::finish(&hasher)
}

/// What a front makes of received bytes, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum FrontEvent {
    /// Send bytes to the client.
    ToClient(Vec<u8>),
    /// Send bytes to the server.
    ToServer(Vec<u8>),
    /// The client asks whether this balancer can serve; these bytes are the answer if it can.
    Ping(Vec<u8>),
    /// The client requests a connection.
    ConnectionRequested(ConnectionRequest),
    /// The server accepted the connection.
    Accepted,
    /// The server reported the connection's load.
    Load(f64),
    /// The server ended the attempt by a message. For [`AttemptOutcome::VerdictForwarded`] the client's answer is among
    /// the events before.
    AttemptEnded(AttemptOutcome),
    /// The client quit, or broke its protocol, and has been answered: close its connection.
    Close,
}

/// The protocol of one client connection, with the attempt that is made for it.
pub trait Front {
    /// Takes bytes from the client.
    fn client_sent(&mut self, bytes: &[u8], events: &mut Vec<FrontEvent>);
    /// Begins an attempt that may take `wait`; returns the bytes that open it at the server.
    fn open_attempt(&mut self, wait: Micros) -> Vec<u8>;
    /// Takes bytes from the server.
    fn server_sent(&mut self, bytes: &[u8], events: &mut Vec<FrontEvent>);
    /// The server ended its side, or its connection broke: returns the attempt's outcome.
    fn server_ended(&mut self, broken: bool) -> AttemptOutcome;
    /// Encodes an answer to the client; empty where this protocol has none.
    fn encode_answer(&mut self, answer: Answer) -> Vec<u8>;
    /// Takes the bytes of an unfinished line of the server, of which no more will be received.
    fn take_partial_line(&mut self) -> Vec<u8>;
    /// The state that another process needs to continue an established connection; none unless it is between two lines
    /// in both directions.
    fn export_state(&self) -> Option<Vec<u8>>;
    /// Continues a connection that was established at another process, from its exported state.
    fn import_state(&mut self, state: &[u8]);
    /// Number of the client's bytes that are buffered until a server has accepted.
    fn buffered_bytes(&self) -> usize;
}
