//! Recording of a front's connections as packets.

use std::net::{IpAddr, SocketAddr};

use etherparse::PacketBuilder;

use super::{TcpFlags, LINK_RAW_IP, MAGIC_MICROS, MICROS_PER_SECOND};
use crate::Time;

/// Major and minor version of the pcap format.
const FORMAT_VERSION: [u16; 2] = [2, 4];
/// Maximum length of a packet according to the header of a written file, in bytes.
const SNAPSHOT_LENGTH: u32 = 1 << 18;
/// Maximum length of the payload of a written packet, in bytes.
const MAX_WRITTEN_PAYLOAD: usize = 1400;
/// Time to live of a written packet, in hops.
const TIME_TO_LIVE: u8 = 64;
/// Receive window of a written segment, in bytes.
const WINDOW_SIZE: u16 = 65_535;

/// Encodes the header of a file for the records of a [`ConnectionRecorder`]. Its times are in microseconds,
/// and its packets begin with an IP header.
pub fn encode_file_header() -> Vec<u8> {
    let (time_zone, accuracy) = (0, 0);
    let words: [u32; 4] = [time_zone, accuracy, SNAPSHOT_LENGTH, LINK_RAW_IP];
    let mut bytes = MAGIC_MICROS.to_le_bytes().to_vec();
    bytes.extend(FORMAT_VERSION.iter().flat_map(|number| number.to_le_bytes()));
    bytes.extend(words.iter().flat_map(|word| word.to_le_bytes()));
    bytes
}

/// Direction of bytes on a front's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Direction {
    /// From the client to the front.
    FromClient,
    /// From the front to the client.
    ToClient,
}

/// Way in which one side of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseKind {
    /// The side sent a FIN.
    Orderly,
    /// The side sent a RST.
    Reset,
}

/// Records the bytes that a connection's socket read and wrote as packets, with the sequence numbers that TCP
/// would have assigned from an initial one of 0.
#[derive(Debug)]
pub struct ConnectionRecorder {
    client: SocketAddr,
    front: SocketAddr,
    /// Next sequence number of each [`Direction`].
    next_seq: [u32; 2],
    /// Whether the end of each [`Direction`] was recorded.
    is_closed: [bool; 2],
}

impl ConnectionRecorder {
    /// Creates the recorder of a connection that was just accepted, and returns the records of the TCP
    /// handshake.
    pub fn start(at: Time, client: SocketAddr, front: SocketAddr) -> (ConnectionRecorder, Vec<u8>) {
        let mut recorder = ConnectionRecorder { client, front, next_seq: [1, 1], is_closed: [false; 2] };
        let syn = TcpFlags { syn: true, ..TcpFlags::default() };
        let syn_ack = TcpFlags { ack: true, ..syn };
        let mut records = recorder.encode_packet(at, Direction::FromClient, 0, syn, &[]);
        records.extend(recorder.encode_packet(at, Direction::ToClient, 0, syn_ack, &[]));
        records.extend(recorder.record_data(at, Direction::FromClient, &[]));
        (recorder, records)
    }

    /// Encodes the records of bytes sent in a direction, or the record of an acknowledgement if `bytes` is
    /// empty.
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

    /// Encodes the record of the end of a direction. Returns no bytes if that end was recorded before.
    pub fn record_close(&mut self, at: Time, direction: Direction, close: CloseKind) -> Vec<u8> {
        let index = direction as usize;
        if std::mem::replace(&mut self.is_closed[index], true) {
            return Vec::new();
        }
        let flags = TcpFlags {
            syn: false,
            ack: true,
            fin: close == CloseKind::Orderly,
            rst: close == CloseKind::Reset,
        };
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
        // Writing fails only if the payload exceeds the length of an IP packet, and MAX_WRITTEN_PAYLOAD is
        // far less.
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
