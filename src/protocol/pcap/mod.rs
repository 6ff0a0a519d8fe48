//! Classic pcap files (the libpcap format, not pcapng): reading TCP segments from files, and recording
//! connections of fronts into files. Times are in microseconds.

mod error;
mod read;
mod recorder;

use std::net::SocketAddr;

pub use error::{PcapError, PcapErrorKind};
pub use read::read_segments;
pub use recorder::{encode_file_header, CloseKind, ConnectionRecorder, Direction};

use crate::Time;

/// Magic number of files with times in microseconds.
const MAGIC_MICROS: u32 = 0xa1b2_c3d4;
/// Link type of packets that begin with an IP header.
const LINK_RAW_IP: u32 = 101;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Flags of a TCP segment, without those that are not used here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpFlags {
    /// SYN: the sender opens the connection.
    pub syn: bool,
    /// ACK: the segment acknowledges bytes.
    pub ack: bool,
    /// FIN: the sender will send no more bytes.
    pub fin: bool,
    /// RST: the sender resets the connection.
    pub rst: bool,
}

/// TCP segment.
#[derive(Clone, Debug, PartialEq)]
pub struct Segment {
    /// Time at which the segment was captured.
    pub captured_at: Time,
    /// Address of the sender.
    pub from: SocketAddr,
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Sequence number of the first byte, or of the SYN.
    pub seq: u32,
    /// Flags of the segment's header.
    pub flags: TcpFlags,
    /// Payload, empty for a segment that only opens, closes or acknowledges.
    pub payload: Vec<u8>,
}
