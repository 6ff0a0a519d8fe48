//! Parsers and encoders, without sockets. Each front is a small state machine over bytes.

pub mod admin;
pub mod flows;
pub mod gossip;
pub mod hot_restart;
pub mod http;
pub mod irc;
pub mod json;
pub mod lines;
pub mod pcap;
pub mod peers;
pub mod platform;

use crate::routing::{Answer, AttemptOutcome, ConnectionRequest};
use crate::Micros;

/// The longest line of the platform's wire, CRLF included.
pub const LONGEST_LINE: usize = 4096;

/// By what a client is known when it comes again: a key as its wire has it, shortened. Two that are hashed
/// alike are taken for one, which spoils a count.
pub fn hashed(key: &[u8]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    std::hash::Hasher::write(&mut hasher, key);
    std::hash::Hasher::finish(&hasher)
}

/// What a front makes of the bytes that came, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// For the client.
    ToClient(Vec<u8>),
    /// For the server.
    ToServer(Vec<u8>),
    /// The client asks whether this balancer can serve; this is for it if so.
    Ping(Vec<u8>),
    /// The client asks.
    ConnectionRequested(ConnectionRequest),
    /// The server accepted.
    Up,
    /// It told the connection's load.
    Load(f64),
    /// It ended the attempt by its word; for [`AttemptOutcome::Verdict`] the answer has been given with it.
    AttemptEnded(AttemptOutcome),
    /// The client broke its protocol before it asked, and has been told: end it.
    Close,
}

/// One connection of the client with the attempt that is out for it.
pub trait Front {
    /// Bytes came from the client.
    fn client_sent(&mut self, bytes: &[u8], steps: &mut Vec<Step>);
    /// An attempt is opened, and the server has so long: what is to be written first.
    fn open_attempt(&mut self, wait: Micros) -> Vec<u8>;
    /// Bytes came from the server.
    fn server_sent(&mut self, bytes: &[u8], steps: &mut Vec<Step>);
    /// The server ended its side, or its connection broke: what that says of the attempt.
    fn server_ended(&mut self, broken: bool) -> AttemptOutcome;
    /// The answer in this front's words. None where there is none to give.
    fn answer(&mut self, answer: Answer) -> Vec<u8>;
    /// Bytes of an unfinished line from the server, which nobody waits for any more.
    fn held_back(&mut self) -> Vec<u8>;
    /// What another process has to know to go on with a connection that stands, while it is between two lines
    /// in both directions; none while it is not.
    fn at_rest(&self) -> Option<Vec<u8>>;
    /// Goes on with a connection that stood at another process.
    fn resume(&mut self, state: &[u8]);
    /// Bytes that wait in this front, read but not yet passed on.
    fn waiting(&self) -> usize;
}
