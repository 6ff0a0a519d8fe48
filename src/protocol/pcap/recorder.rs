//! Recording the connections of fronts as packets.

use std::net::{IpAddr, SocketAddr};

use etherparse::PacketBuilder;

use super::{TcpFlags, LINK_RAW_IP, MAGIC_MICROS, MICROS_PER_SECOND};
use crate::Time;

const FORMAT_VERSION: [u16; 2] = [2, 4];
/// The longest packet that a written file declares, in bytes.
const SNAPSHOT_LENGTH: u32 = 1 << 18;
/// The longest payload of a written packet, in bytes.
const MAX_WRITTEN_PAYLOAD: usize = 1400;
/// Hops of a written packet.
const TIME_TO_LIVE: u8 = 64;
/// Receive window of a written segment, in bytes.
const WINDOW_SIZE: u16 = 65_535;

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
