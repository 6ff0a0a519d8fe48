//! Classic pcap files: reading what they hold of TCP, and writing front traffic into them.

use std::net::{IpAddr, SocketAddr};

use etherparse::{LaxNetSlice, LaxSlicedPacket, PacketBuilder, TransportSlice};
use winnow::binary::{u16, u32, Endianness};
use winnow::combinator::{dispatch, empty, fail};
use winnow::error::ContextError;
use winnow::{ModalResult, Parser};

use crate::Micros;

/// Bytes of a file's head and of a record's.
const FILE_HEAD: usize = 24;
const RECORD_HEAD: usize = 16;
/// A record longer than this is none (`tcpdump` takes at most 256 KiB).
const LONGEST_RECORD: u32 = 1 << 20;
/// Payload of one written packet.
const PIECE: usize = 1400;
/// Links: Ethernet, and raw IP under its several numbers.
const ETHERNET: u32 = 1;
const RAW: u32 = 101;
const RAW_TOO: [u32; 5] = [12, 14, RAW, 228, 229];

/// What is wrong with a file, and where.
#[derive(Debug, PartialEq)]
pub struct BadFile {
    /// Byte at which it is wrong.
    pub offset: usize,
    /// What is wrong.
    pub what: String,
}

impl std::fmt::Display for BadFile {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "bad pcap file at byte {}: {}", self.offset, self.what)
    }
}

/// One TCP segment.
#[derive(Clone, Debug, PartialEq)]
pub struct Segment {
    /// When it was captured.
    pub at: Micros,
    pub from: SocketAddr,
    pub to: SocketAddr,
    pub seq: u32,
    pub syn: bool,
    pub ack: bool,
    pub fin: bool,
    pub rst: bool,
    pub payload: Vec<u8>,
}

#[derive(Clone, Copy, Debug)]
struct Head {
    order: Endianness,
    nanos: bool,
    link: u32,
}

type Result4<T> = Result<T, winnow::error::ErrMode<ContextError>>;

fn head(input: &mut &[u8]) -> ModalResult<Head> {
    let (order, nanos) = dispatch! {u32(Endianness::Big);
        0xa1b2_c3d4 => empty.value((Endianness::Big, false)),
        0xd4c3_b2a1 => empty.value((Endianness::Little, false)),
        0xa1b2_3c4d => empty.value((Endianness::Big, true)),
        0x4d3c_b2a1 => empty.value((Endianness::Little, true)),
        _ => fail,
    }
    .parse_next(input)?;
    let half = || u16::<_, winnow::error::ErrMode<ContextError>>(order);
    let word = || u32::<_, winnow::error::ErrMode<ContextError>>(order);
    let (_, _, _, _, _, link) = (half(), half(), word(), word(), word(), word()).parse_next(input)?;
    // The upper bits tell of frame checks.
    Ok(Head { order, nanos, link: link & 0x0fff_ffff })
}

/// A record's time, and how many bytes of its packet follow.
fn record(head: Head, input: &mut &[u8]) -> Result4<(Micros, u32)> {
    let word = || u32::<_, winnow::error::ErrMode<ContextError>>(head.order);
    let (seconds, part, kept, _) = (word(), word(), word(), word()).parse_next(input)?;
    let part = if head.nanos { part / 1000 } else { part };
    Ok((Micros::from(seconds) * 1_000_000 + Micros::from(part), kept))
}

/// Reads the TCP segments of a file, in its order. What is no TCP is passed over.
pub fn read(bytes: &[u8]) -> Result<Vec<Segment>, BadFile> {
    let bad = |offset: usize, what: &str| BadFile { offset, what: what.to_owned() };
    let cut = |what: &str| bad(bytes.len(), &format!("the file ends within {what}"));
    if bytes.len() < FILE_HEAD {
        return Err(cut("its head"));
    }
    let head = head(&mut &bytes[..FILE_HEAD]).map_err(|_| bad(0, "no pcap file (pcapng is not read)"))?;
    if head.link != ETHERNET && !RAW_TOO.contains(&head.link) {
        return Err(bad(20, &format!("link type {} is neither Ethernet nor raw IP", head.link)));
    }
    let (mut segments, mut at) = (Vec::new(), FILE_HEAD);
    while at < bytes.len() {
        let Some(mut start) = bytes.get(at..at + RECORD_HEAD) else { return Err(cut("a record's head")) };
        let (time, kept) = record(head, &mut start).map_err(|_| bad(at, "no record"))?;
        if kept > LONGEST_RECORD {
            return Err(bad(at + 8, &format!("a record of {kept} bytes")));
        }
        at += RECORD_HEAD;
        let Some(packet) = bytes.get(at..at + kept as usize) else { return Err(cut("a packet")) };
        at += kept as usize;
        segments.extend(segment(head.link, time, packet));
    }
    Ok(segments)
}

fn segment(link: u32, at: Micros, packet: &[u8]) -> Option<Segment> {
    let sliced = match link {
        ETHERNET => LaxSlicedPacket::from_ethernet(packet).ok()?,
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
        syn: tcp.syn(),
        ack: tcp.ack(),
        fin: tcp.fin(),
        rst: tcp.rst(),
        payload: tcp.payload().to_vec(),
    })
}

/// The head of a file that [`Tape`] writes: microseconds, raw IP.
pub fn file_head() -> Vec<u8> {
    let words: [u32; 4] = [0, 0, 1 << 18, RAW];
    let mut bytes = 0xa1b2_c3d4u32.to_le_bytes().to_vec();
    bytes.extend([2u16, 4].iter().flat_map(|half| half.to_le_bytes()));
    bytes.extend(words.iter().flat_map(|word| word.to_le_bytes()));
    bytes
}

/// Which way bytes went on a front's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    FromClient,
    ToClient,
}

/// How a side of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Close {
    InOrder,
    Broken,
}

/// A connection as packets: what its sockets read and wrote, with the numbers that TCP would have given.
#[derive(Debug)]
pub struct Tape {
    client: SocketAddr,
    front: SocketAddr,
    /// What each side sends next: the client, the front.
    next: [u32; 2],
    closed: [bool; 2],
}

#[derive(Clone, Copy, Default)]
struct Flags {
    syn: bool,
    ack: bool,
    fin: bool,
    rst: bool,
}

impl Tape {
    /// A connection that was just taken in, and its handshake's records.
    pub fn start(at: Micros, client: SocketAddr, front: SocketAddr) -> (Tape, Vec<u8>) {
        let mut tape = Tape { client, front, next: [1, 1], closed: [false; 2] };
        let mut out = tape.packet(at, Way::FromClient, 0, Flags { syn: true, ..Flags::default() }, &[]);
        out.extend(tape.packet(
            at,
            Way::ToClient,
            0,
            Flags { syn: true, ack: true, ..Flags::default() },
            &[],
        ));
        out.extend(tape.data(at, Way::FromClient, &[]));
        (tape, out)
    }

    /// Records of bytes that went this way.
    pub fn data(&mut self, at: Micros, way: Way, bytes: &[u8]) -> Vec<u8> {
        let flags = Flags { ack: true, ..Flags::default() };
        if bytes.is_empty() {
            return self.packet(at, way, self.next[way as usize], flags, &[]);
        }
        let mut out = Vec::new();
        for piece in bytes.chunks(PIECE) {
            out.extend(self.packet(at, way, self.next[way as usize], flags, piece));
            self.next[way as usize] = self.next[way as usize].wrapping_add(piece.len() as u32);
        }
        out
    }

    /// The record of a side's end; nothing where it had ended before.
    pub fn close(&mut self, at: Micros, way: Way, close: Close) -> Vec<u8> {
        if std::mem::replace(&mut self.closed[way as usize], true) {
            return Vec::new();
        }
        let (fin, rst) = (close == Close::InOrder, close == Close::Broken);
        let out =
            self.packet(at, way, self.next[way as usize], Flags { ack: true, fin, rst, syn: false }, &[]);
        self.next[way as usize] = self.next[way as usize].wrapping_add(1);
        out
    }

    fn packet(&self, at: Micros, way: Way, seq: u32, flags: Flags, payload: &[u8]) -> Vec<u8> {
        let (from, to) = match way {
            Way::FromClient => (self.client, self.front),
            Way::ToClient => (self.front, self.client),
        };
        let builder = match (from.ip(), to.ip()) {
            (IpAddr::V4(from), IpAddr::V4(to)) => PacketBuilder::ipv4(from.octets(), to.octets(), 64),
            (from, to) => PacketBuilder::ipv6(six(from), six(to), 64),
        };
        let mut builder = builder.tcp(from.port(), to.port(), seq, 65_535);
        if flags.ack {
            builder = builder.ack(self.next[1 - way as usize]);
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
        // Only a payload longer than an IP packet can fail, and pieces are far shorter.
        if builder.write(&mut packet, payload).is_err() {
            return Vec::new();
        }
        let length = packet.len() as u32;
        let words = [(at / 1_000_000) as u32, (at % 1_000_000) as u32, length, length];
        let mut out: Vec<u8> = words.iter().flat_map(|word| word.to_le_bytes()).collect();
        out.extend(packet);
        out
    }
}

fn six(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    }
}
