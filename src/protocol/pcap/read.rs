//! Reading TCP segments from a file.

use std::net::IpAddr;

use etherparse::{LaxNetSlice, LaxSlicedPacket, TransportSlice};
use winnow::binary::{u16, u32, Endianness};
use winnow::combinator::{dispatch, empty, fail};
use winnow::error::{ContextError, ErrMode};
use winnow::{ModalResult, Parser};

use super::{PcapError, PcapErrorKind, Segment, TcpFlags, LINK_RAW_IP, MAGIC_MICROS, MICROS_PER_SECOND};
use crate::Time;

// Magic numbers as read in big-endian order. Little-endian files have the swapped ones.
const MAGIC_MICROS_SWAPPED: u32 = MAGIC_MICROS.swap_bytes();
const MAGIC_NANOS: u32 = 0xa1b2_3c4d;
const MAGIC_NANOS_SWAPPED: u32 = MAGIC_NANOS.swap_bytes();

/// Length of the file's header, in bytes.
const FILE_HEADER_LENGTH: usize = 24;
/// Length of the header of a record, in bytes.
const RECORD_HEADER_LENGTH: usize = 16;
/// Offset of the link type in the file's header, in bytes.
const LINK_TYPE_OFFSET: usize = 20;
/// Offset of the packet's length in the header of a record, in bytes.
const PACKET_LENGTH_OFFSET: usize = 8;
/// Maximum length of the packet in a record, in bytes (`tcpdump` writes at most 256 KiB).
const MAX_RECORD_LENGTH: u32 = 1 << 20;

const LINK_ETHERNET: u32 = 1;
/// All link types of packets that begin with an IP header.
const LINK_RAW_IP_NUMBERS: [u32; 5] = [12, 14, LINK_RAW_IP, 228, 229];
/// Bits of the link type field that hold the link type. The upper bits describe frame check sequences.
const LINK_TYPE_MASK: u32 = 0x0fff_ffff;

const NANOS_PER_MICRO: u32 = 1000;

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
    let parse_u16 = || u16::<_, ErrMode<ContextError>>(byte_order);
    let parse_u32 = || u32::<_, ErrMode<ContextError>>(byte_order);
    let (_major, _minor, _zone, _accuracy, _snapshot_length, link_type) =
        (parse_u16(), parse_u16(), parse_u32(), parse_u32(), parse_u32(), parse_u32()).parse_next(input)?;
    Ok(FileHeader { byte_order, has_nanoseconds, link_type: link_type & LINK_TYPE_MASK })
}

fn parse_record_header(file: FileHeader, input: &mut &[u8]) -> ModalResult<RecordHeader> {
    let parse_u32 = || u32::<_, ErrMode<ContextError>>(file.byte_order);
    let (seconds, fraction, packet_length, _original_length) =
        (parse_u32(), parse_u32(), parse_u32(), parse_u32()).parse_next(input)?;
    let micros = if file.has_nanoseconds { fraction / NANOS_PER_MICRO } else { fraction };
    let captured_at = Time(u64::from(seconds) * MICROS_PER_SECOND + u64::from(micros));
    Ok(RecordHeader { captured_at, packet_length })
}

/// Reads the TCP segments of a file, in the order of its records. Packets of other protocols are skipped.
///
/// # Errors
/// [`PcapError`] with the offset of the first faulty byte.
pub fn read_segments(bytes: &[u8]) -> Result<Vec<Segment>, PcapError> {
    let error = |offset, kind| PcapError { offset, kind };
    let truncated = |kind| error(bytes.len(), kind);
    let header = bytes
        .get(..FILE_HEADER_LENGTH)
        .ok_or_else(|| truncated(PcapErrorKind::TruncatedFileHeader { expected: FILE_HEADER_LENGTH }))?;
    let magic = header.first_chunk().map_or(0, |bytes| u32::from_be_bytes(*bytes));
    let header =
        parse_file_header(&mut &header[..]).map_err(|_| error(0, PcapErrorKind::UnknownMagic(magic)))?;
    if header.link_type != LINK_ETHERNET && !LINK_RAW_IP_NUMBERS.contains(&header.link_type) {
        return Err(error(LINK_TYPE_OFFSET, PcapErrorKind::UnsupportedLinkType(header.link_type)));
    }
    let (mut segments, mut offset) = (Vec::new(), FILE_HEADER_LENGTH);
    while offset < bytes.len() {
        let mut record = bytes.get(offset..offset + RECORD_HEADER_LENGTH).ok_or_else(|| {
            truncated(PcapErrorKind::TruncatedRecordHeader { expected: RECORD_HEADER_LENGTH })
        })?;
        let record = parse_record_header(header, &mut record)
            .map_err(|_| error(offset, PcapErrorKind::MalformedRecordHeader))?;
        if record.packet_length > MAX_RECORD_LENGTH {
            let (length, limit) = (record.packet_length, MAX_RECORD_LENGTH);
            let kind = PcapErrorKind::RecordTooLong { length, limit };
            return Err(error(offset + PACKET_LENGTH_OFFSET, kind));
        }
        offset += RECORD_HEADER_LENGTH;
        let packet = bytes.get(offset..offset + record.packet_length as usize).ok_or_else(|| {
            let available = bytes.len() - offset;
            truncated(PcapErrorKind::TruncatedPacket { available, expected: record.packet_length })
        })?;
        offset += packet.len();
        segments.extend(parse_segment(header.link_type, record.captured_at, packet));
    }
    Ok(segments)
}

/// Parses a packet. Returns `None` if it is not TCP over IP.
fn parse_segment(link_type: u32, captured_at: Time, packet: &[u8]) -> Option<Segment> {
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
        captured_at,
        from: (from, tcp.source_port()).into(),
        to: (to, tcp.destination_port()).into(),
        seq: tcp.sequence_number(),
        flags: TcpFlags { syn: tcp.syn(), ack: tcp.ack(), fin: tcp.fin(), rst: tcp.rst() },
        payload: tcp.payload().to_vec(),
    })
}
