//! Errors of reading a pcap file.

use thiserror::Error;

/// Error of reading a pcap file, with its position in the file.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("invalid pcap file at byte {offset}: {kind}")]
pub struct PcapError {
    /// Offset of the first faulty byte, or the length of a truncated file.
    pub offset: usize,
    /// Fault found at the offset.
    pub kind: PcapErrorKind,
}

/// Fault of a pcap file.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PcapErrorKind {
    /// The header of the file is incomplete.
    #[error("the file ends within its header of {expected} bytes")]
    TruncatedFileHeader {
        /// Length of a complete header.
        expected: usize,
    },
    /// The header of a record is incomplete.
    #[error("the file ends within a record header of {expected} bytes")]
    TruncatedRecordHeader {
        /// Length of a complete header.
        expected: usize,
    },
    /// A packet is incomplete.
    #[error("the file ends within a packet, after {available} of {expected} bytes")]
    TruncatedPacket {
        /// Number of bytes from the packet's start to the end of the file.
        available: usize,
        /// Length of the packet according to the header of its record.
        expected: u32,
    },
    /// The file does not begin with the magic number of classic pcap.
    #[error("magic number {0:#010x} is not that of a classic pcap file (pcapng is not supported)")]
    UnknownMagic(u32),
    /// The link type of the packets, which is not supported.
    #[error("link type {0} is neither Ethernet nor raw IP")]
    UnsupportedLinkType(u32),
    /// The header of a record cannot be parsed.
    #[error("the record header is malformed")]
    MalformedRecordHeader,
    /// The packet of a record is too long.
    #[error("packet record of {length} bytes exceeds the limit of {limit}")]
    RecordTooLong {
        /// Length of the packet according to the header of its record.
        length: u32,
        /// Longest accepted packet.
        limit: u32,
    },
}
