//! Classic pcap files (the libpcap format, not pcapng): reading their TCP segments, and recording the connections of
//! fronts into them. Times are in microseconds.

mod error;
mod read;
mod recorder;

use std::net::SocketAddr;

pub use error::{PcapError, PcapErrorKind};
pub use read::read_segments;
pub use recorder::{encode_file_header, Close, ConnectionRecorder, Direction};

use crate::Time;

/// Magic number of files with times in microseconds.
const MAGIC_MICROS: u32 = 0xa1b2_c3d4;
/// Link type of packets that begin with their IP header.
const LINK_RAW_IP: u32 = 101;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The flags of a TCP segment that are used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpFlags {
    /// SYN: the sender opens the connection.
    pub syn: bool,
    /// ACK: the segment acknowledges bytes.
    pub ack: bool,
    /// FIN: the sender has no more bytes.
    pub fin: bool,
    /// RST: the connection is broken.
    pub rst: bool,
}

/// One TCP segment.
#[derive(Clone, Debug, PartialEq)]
pub struct Segment {
    /// When it was captured.
    pub at: Time,
    /// Its sender.
    pub from: SocketAddr,
    /// Its receiver.
    pub to: SocketAddr,
    /// Its sequence number.
    pub seq: u32,
    /// Its flags.
    pub flags: TcpFlags,
    /// Its payload.
    pub payload: Vec<u8>,
}
