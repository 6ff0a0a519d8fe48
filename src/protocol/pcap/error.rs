//! Errors of reading a file.

use thiserror::Error;

/// What is wrong with a file, and where.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("bad pcap file at byte {offset}: {kind}")]
pub struct PcapError {
    /// Byte at which it is wrong.
    pub offset: usize,
    /// What is wrong.
    pub kind: PcapErrorKind,
}

/// What can be wrong with a file.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PcapErrorKind {
    /// The file's header is incomplete.
    #[error("the file ends within its head")]
    TruncatedFileHeader,
    /// A record's header is incomplete.
    #[error("the file ends within a record's head")]
    TruncatedRecordHeader,
    /// A packet is incomplete.
    #[error("the file ends within a packet")]
    TruncatedPacket,
    /// The file does not begin with a known magic number.
    #[error("no pcap file (pcapng is not read)")]
    NotPcap,
    /// The packets are of another link than those that are read.
    #[error("link type {0} is neither Ethernet nor raw IP")]
    UnsupportedLinkType(u32),
    /// A record's header cannot be read.
    #[error("no record")]
    MalformedRecordHeader,
    /// A record is longer than any that is accepted; this many bytes.
    #[error("a record of {0} bytes")]
    RecordTooLong(u32),
}
