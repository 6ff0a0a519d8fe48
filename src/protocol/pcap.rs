//! Classic pcap files: reading their TCP segments, and recording the connections of fronts into them.

use std::net::{IpAddr, SocketAddr};

use etherparse::{LaxNetSlice, LaxSlicedPacket, PacketBuilder, TransportSlice};
use thiserror::Error;
use winnow::binary::{u16, u32, Endianness};
use winnow::combinator::{dispatch, empty, fail};
use winnow::error::{ContextError, ErrMode};
use winnow::{ModalResult, Parser};

use crate::Time;

/// Magic numbers of files with times in microseconds and in nanoseconds, as read in big-endian order.
const MAGIC_MICROS: u32 = 0xa1b2_c3d4;
const MAGIC_MICROS_SWAPPED: u32 = 0xd4c3_b2a1;
const MAGIC_NANOS: u32 = 0xa1b2_3c4d;
const MAGIC_NANOS_SWAPPED: u32 = 0x4d3c_b2a1;
const FORMAT_VERSION: [u16; 2] = [2, 4];

const FILE_HEADER_LENGTH: usize = 24;
const RECORD_HEADER_LENGTH: usize = 16;
/// Offset of the link type in the file's header, and of the packet's length in a record's.
const LINK_TYPE_OFFSET: usize = 20;
const PACKET_LENGTH_OFFSET: usize = 8;
/// The longest record that is accepted, in bytes (`tcpdump` writes at most 256 KiB).
const MAX_RECORD_LENGTH: u32 = 1 << 20;
/// The longest packet that a written file declares, in bytes.
const SNAPSHOT_LENGTH: u32 = 1 << 18;
/// The longest payload of a written packet, in bytes.
const MAX_WRITTEN_PAYLOAD: usize = 1400;
const TIME_TO_LIVE: u8 = 64;
const WINDOW_SIZE: u16 = 65_535;

/// Link types: Ethernet, and raw IP under its several numbers.
const LINK_ETHERNET: u32 = 1;
const LINK_RAW_IP: u32 = 101;
const LINK_RAW_IP_NUMBERS: [u32; 5] = [12, 14, LINK_RAW_IP, 228, 229];
/// The upper bits of the link type describe frame check sequences.
const LINK_TYPE_MASK: u32 = 0x0fff_ffff;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u32 = 1000;

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

#[derive(Clone, Copy, Debug)]
struct FileHeader {
    byte_order: Endianness,
    has_nanoseconds: bool,
    link_type: u32,
}

struct RecordHeader {
    captured_at: Time,
    packet_length: u32,
}

fn parse_file_header(input: &mut &[u8]) -> ModalResult<FileHeader> {
    let (byte_order, has_nanoseconds) = dispatch! {u32(Endianness::Big);
        MAGIC_MICROS => empty.value((Endianness::Big, false)),
        MAGIC_MICROS_SWAPPED => empty.value((Endianness::Little, false)),
        MAGIC_NANOS => empty.value((Endianness::Big, true)),
        MAGIC_NANOS_SWAPPED => empty.value((Endianness::Little, true)),
        _ => fail,
    }
    .parse_next(input)?;
    let half = || u16::<_, ErrMode<ContextError>>(byte_order);
    let word = || u32::<_, ErrMode<ContextError>>(byte_order);
    let (_major, _minor, _zone, _accuracy, _snapshot_length, link_type) =
        (half(), half(), word(), word(), word(), word()).parse_next(input)?;
    Ok(FileHeader { byte_order, has_nanoseconds, link_type: link_type & LINK_TYPE_MASK })
}

fn parse_record_header(file: FileHeader, input: &mut &[u8]) -> ModalResult<RecordHeader> {
    let word = || u32::<_, ErrMode<ContextError>>(file.byte_order);
    let (seconds, fraction, packet_length, _) = (word(), word(), word(), word()).parse_next(input)?;
    let micros = if file.has_nanoseconds { fraction / NANOS_PER_MICRO } else { fraction };
    let captured_at = Time(u64::from(seconds) * MICROS_PER_SECOND + u64::from(micros));
    Ok(RecordHeader { captured_at, packet_length })
}

/// Reads the TCP segments of a file, in its order. Packets of other protocols are skipped.
///
/// # Errors
/// [`PcapError`] with the offset of the first byte that is wrong.
pub fn read_segments(bytes: &[u8]) -> Result<Vec<Segment>, PcapError> {
    let error = |offset, kind| PcapError { offset, kind };
    let truncated = |kind| error(bytes.len(), kind);
    let header =
        bytes.get(..FILE_HEADER_LENGTH).ok_or_else(|| truncated(PcapErrorKind::TruncatedFileHeader))?;
    let header = parse_file_header(&mut &header[..]).map_err(|_| error(0, PcapErrorKind::NotPcap))?;
    if header.link_type != LINK_ETHERNET && !LINK_RAW_IP_NUMBERS.contains(&header.link_type) {
        return Err(error(LINK_TYPE_OFFSET, PcapErrorKind::UnsupportedLinkType(header.link_type)));
    }
    let (mut segments, mut offset) = (Vec::new(), FILE_HEADER_LENGTH);
    while offset < bytes.len() {
        let mut record = bytes
            .get(offset..offset + RECORD_HEADER_LENGTH)
            .ok_or_else(|| truncated(PcapErrorKind::TruncatedRecordHeader))?;
        let record = parse_record_header(header, &mut record)
            .map_err(|_| error(offset, PcapErrorKind::MalformedRecordHeader))?;
        if record.packet_length > MAX_RECORD_LENGTH {
            let kind = PcapErrorKind::RecordTooLong(record.packet_length);
            return Err(error(offset + PACKET_LENGTH_OFFSET, kind));
        }
        offset += RECORD_HEADER_LENGTH;
        let packet = bytes
            .get(offset..offset + record.packet_length as usize)
            .ok_or_else(|| truncated(PcapErrorKind::TruncatedPacket))?;
        offset += packet.len();
        segments.extend(parse_segment(header.link_type, record.captured_at, packet));
    }
    Ok(segments)
}

/// Parses a packet; none if it is not TCP over IP.
fn parse_segment(link_type: u32, at: Time, packet: &[u8]) -> Option<Segment> {
    let sliced = match link_type {
        LINK_ETHERNET => LaxSlicedPacket::from_ethernet(packet).ok()?,
        _ => LaxSlicedPacket::from_ip(packet).ok()?,
    };
    let (from, to): (IpAddr, IpAddr) = match sliced.net? {
        LaxNetSlice::Ipv4(ip) => (ip.header().source_addr().into(), ip.header().destination_addr().into()),
        LaxNetSlice::Ipv6(ip) => (ip.header().source_addr().into(), ip.header().destination_addr().into()),
        LaxNetSlice::Arp(_) => return None,
    };
    let Some(TransportSlice::Tcp(tcp)) = sliced.transport else { return None };
    Some(Segment {
        at,
        from: (from, tcp.source_port()).into(),
        to: (to, tcp.destination_port()).into(),
        seq: tcp.sequence_number(),
        flags: TcpFlags { syn: tcp.syn(), ack: tcp.ack(), fin: tcp.fin(), rst: tcp.rst() },
        payload: tcp.payload().to_vec(),
    })
}

/// Encodes the header of a file for the records of a [`ConnectionRecorder`]: times in microseconds, packets of raw IP.
pub fn encode_file_header() -> Vec<u8> {
    let (time_zone, accuracy) = (0, 0);
    let words: [u32; 4] = [time_zone, accuracy, SNAPSHOT_LENGTH, LINK_RAW_IP];
    let mut bytes = MAGIC_MICROS.to_le_bytes().to_vec();
    bytes.extend(FORMAT_VERSION.iter().flat_map(|half| half.to_le_bytes()));
    bytes.extend(words.iter().flat_map(|word| word.to_le_bytes()));
    bytes
}

/// In which direction bytes went on a front's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Direction {
    /// From the client to the front.
    FromClient,
    /// From the front to the client.
    ToClient,
}

/// How a side of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Close {
    /// By a FIN.
    Orderly,
    /// By a RST.
    Reset,
}

/// Records a connection as packets: what its sockets read and wrote, with the sequence numbers that TCP would have
/// given.
#[derive(Debug)]
pub struct ConnectionRecorder {
    client: SocketAddr,
    front: SocketAddr,
    /// The next sequence number of each direction.
    next_seq: [u32; 2],
    is_closed: [bool; 2],
}

impl ConnectionRecorder {
    /// Begins with a connection that was just accepted. Returns the records of its handshake as well.
    pub fn start(at: Time, client: SocketAddr, front: SocketAddr) -> (ConnectionRecorder, Vec<u8>) {
        let mut recorder = ConnectionRecorder { client, front, next_seq: [1, 1], is_closed: [false; 2] };
        let syn = TcpFlags { syn: true, ..TcpFlags::default() };
        let syn_ack = TcpFlags { ack: true, ..syn };
        let mut records = recorder.encode_packet(at, Direction::FromClient, 0, syn, &[]);
        records.extend(recorder.encode_packet(at, Direction::ToClient, 0, syn_ack, &[]));
        records.extend(recorder.record_data(at, Direction::FromClient, &[]));
        (recorder, records)
    }

    /// Encodes the records of bytes that went in this direction; of an acknowledgement if there are none.
    pub fn record_data(&mut self, at: Time, direction: Direction, bytes: &[u8]) -> Vec<u8> {
        let ack = TcpFlags { ack: true, ..TcpFlags::default() };
        let index = direction as usize;
        if bytes.is_empty() {
            return self.encode_packet(at, direction, self.next_seq[index], ack, &[]);
        }
        let mut records = Vec::new();
        for payload in bytes.chunks(MAX_WRITTEN_PAYLOAD) {
            records.extend(self.encode_packet(at, direction, self.next_seq[index], ack, payload));
            self.next_seq[index] = self.next_seq[index].wrapping_add(payload.len() as u32);
        }
        records
    }

    /// Encodes the record of the end of a side; empty where that side had ended before.
    pub fn record_close(&mut self, at: Time, direction: Direction, close: Close) -> Vec<u8> {
        let index = direction as usize;
        if std::mem::replace(&mut self.is_closed[index], true) {
            return Vec::new();
        }
        let flags =
            TcpFlags { syn: false, ack: true, fin: close == Close::Orderly, rst: close == Close::Reset };
        let record = self.encode_packet(at, direction, self.next_seq[index], flags, &[]);
        self.next_seq[index] = self.next_seq[index].wrapping_add(1);
        record
    }

    fn encode_packet(
        &self,
        at: Time,
        direction: Direction,
        seq: u32,
        flags: TcpFlags,
        payload: &[u8],
    ) -> Vec<u8> {
        let (from, to) = match direction {
            Direction::FromClient => (self.client, self.front),
            Direction::ToClient => (self.front, self.client),
        };
        let builder = match (from.ip(), to.ip()) {
            (IpAddr::V4(from), IpAddr::V4(to)) => {
                PacketBuilder::ipv4(from.octets(), to.octets(), TIME_TO_LIVE)
            }
            (from, to) => PacketBuilder::ipv6(ipv6_octets(from), ipv6_octets(to), TIME_TO_LIVE),
        };
        let mut builder = builder.tcp(from.port(), to.port(), seq, WINDOW_SIZE);
        if flags.ack {
            builder = builder.ack(self.next_seq[1 - direction as usize]);
        }
        if flags.syn {
            builder = builder.syn();
        }
        if flags.fin {
            builder = builder.fin();
        }
        if flags.rst {
            builder = builder.rst();
        }
        let mut packet = Vec::with_capacity(builder.size(payload.len()));
        // Writing fails only for a payload longer than an IP packet, and MAX_WRITTEN_PAYLOAD is far shorter.
        if builder.write(&mut packet, payload).is_err() {
            return Vec::new();
        }
        encode_record(at, &packet)
    }
}

fn encode_record(at: Time, packet: &[u8]) -> Vec<u8> {
    let length = packet.len() as u32;
    let (seconds, micros) = (at.0 / MICROS_PER_SECOND, at.0 % MICROS_PER_SECOND);
    let header = [seconds as u32, micros as u32, length, length];
    let mut record: Vec<u8> = header.iter().flat_map(|word| word.to_le_bytes()).collect();
    record.extend(packet);
    record
}

fn ipv6_octets(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    }
}
