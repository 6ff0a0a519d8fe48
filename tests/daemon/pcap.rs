//! Captures: reading, reassembly of flows, recording, and the replay of a recording.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

use connection_balancer::protocol::flows::{self, FlowEnd};
use connection_balancer::protocol::pcap::{self, Close, ConnectionRecorder, Direction, Segment, TcpFlags};
use connection_balancer::Time;
use etherparse::PacketBuilder;
use proptest::prelude::*;

use crate::fake_servers::{irc_config, wait_until, Behaviour, Client, Daemon, Server};

/// A file with one packet, in this byte order, with this magic number, link type and fraction of a second.
fn encode_file(little: bool, magic: u32, link: u32, fraction: u32, packet: &[u8]) -> Vec<u8> {
    let word = |n: u32| if little { n.to_le_bytes() } else { n.to_be_bytes() };
    let half = |n: u16| if little { n.to_le_bytes() } else { n.to_be_bytes() };
    let mut bytes = word(magic).to_vec();
    bytes.extend([half(2), half(4)].concat());
    let length = packet.len() as u32;
    bytes.extend([0, 0, 65_535, link, 1_700_000_000, fraction, length, length].iter().flat_map(|&n| word(n)));
    bytes.extend(packet);
    bytes
}

fn encode_packet(ethernet: bool, ipv6: bool) -> Vec<u8> {
    let mut out = Vec::new();
    let (a, b) = ([7; 6], [9; 6]);
    let written = match (ethernet, ipv6) {
        (true, false) => PacketBuilder::ethernet2(a, b)
            .ipv4([127, 0, 0, 1], [127, 0, 0, 2], 9)
            .tcp(5, 6667, 77, 9)
            .write(&mut out, b"NICK a"),
        (true, true) => PacketBuilder::ethernet2(a, b)
            .ipv6([1; 16], [2; 16], 9)
            .tcp(5, 6667, 77, 9)
            .write(&mut out, b"NICK a"),
        (false, false) => PacketBuilder::ipv4([127, 0, 0, 1], [127, 0, 0, 2], 9)
            .tcp(5, 6667, 77, 9)
            .write(&mut out, b"NICK a"),
        (false, true) => {
            PacketBuilder::ipv6([1; 16], [2; 16], 9).tcp(5, 6667, 77, 9).write(&mut out, b"NICK a")
        }
    };
    written.expect("a packet");
    out
}

#[test]
fn reads_all_byte_orders_time_units_and_link_types() {
    for little in [true, false] {
        for (magic, fraction) in [(0xa1b2_c3d4, 250_000), (0xa1b2_3c4d, 250_000_000)] {
            for (link, ethernet, ipv6) in
                [(1, true, false), (1, true, true), (101, false, false), (101, false, true)]
            {
                let bytes = encode_file(little, magic, link, fraction, &encode_packet(ethernet, ipv6));
                let segments = pcap::read_segments(&bytes).expect("valid");
                let [segment] = &segments[..] else { panic!("{segments:?}") };
                assert_eq!(segment.at, Time(1_700_000_000_250_000));
                assert_eq!(
                    (segment.seq, segment.to.port(), &segment.payload[..]),
                    (77, 6667, &b"NICK a"[..])
                );
            }
        }
    }
}

#[test]
fn errors_name_the_offset_that_is_wrong() {
    let valid = encode_file(true, 0xa1b2_c3d4, 101, 0, &encode_packet(false, false));
    let error_of = |bytes: &[u8]| pcap::read_segments(bytes).expect_err("an error").to_string();
    assert!(error_of(&valid[..10]).contains("at byte 10: the file ends within its head"));
    assert!(error_of(&[0; 30]).contains("at byte 0: no pcap file"));
    assert!(error_of(&valid[..30]).contains("at byte 30: the file ends within a record's head"));
    assert!(error_of(&valid[..50]).contains("at byte 50: the file ends within a packet"));
    let link = encode_file(true, 0xa1b2_c3d4, 105, 0, &[]);
    assert!(error_of(&link).contains("at byte 20: link type 105"));
    let mut long = valid.clone();
    long[32..36].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(error_of(&long).contains("at byte 32: a record of 4294967295 bytes"));
}

fn client_and_front() -> (SocketAddr, SocketAddr) {
    (([127, 0, 0, 1], 5).into(), ([127, 0, 0, 1], 6667).into())
}

fn segment(seq: u32, payload: &[u8]) -> Segment {
    let (from, to) = client_and_front();
    let flags = TcpFlags { ack: true, ..TcpFlags::default() };
    Segment { at: Time(0), from, to, seq, flags, payload: payload.to_vec() }
}

fn with_syn(segment: Segment) -> Segment {
    Segment { flags: TcpFlags { syn: true, ..segment.flags }, ..segment }
}

fn with_fin(segment: Segment) -> Segment {
    Segment { flags: TcpFlags { fin: true, ..segment.flags }, ..segment }
}

#[test]
fn flow_ends_at_its_first_gap() {
    let syn = with_syn(segment(100, b""));
    let flows = flows::reassemble_flows(&[syn, segment(101, b"NICK"), segment(108, b"USER")], 6667);
    assert_eq!((flows[0].chunks.len(), flows[0].gap), (1, Some(4)));
    assert_eq!(flows::reassemble_flows(&[], 6667), []);
}

/// A replay relies on these counts: an end that overtook the answer it was recorded after made a served client look like
/// one that left.
#[test]
fn answers_are_counted_once_by_their_time_of_capture() {
    let (from, to) = client_and_front();
    let answer = |at, seq, payload: &[u8]| Segment { at, from: to, to: from, ..segment(seq, payload) };
    let syn = with_syn(segment(100, b""));
    let all = [
        syn,
        answer(Time(5), 900, b"a\nb"),
        answer(Time(6), 900, b"a\nb"),
        answer(Time(7), 902, b"b\nc\n"),
        segment(101, b"x"),
    ];
    let flows = flows::reassemble_flows(&all, 6667);
    let counts: Vec<usize> = [4, 5, 6, 7, 9].iter().map(|&at| flows[0].answers_before(Time(at))).collect();
    assert_eq!(counts, [0, 1, 1, 3, 3]);
}

#[test]
fn new_syn_on_the_same_ports_begins_another_flow_but_its_retransmission_does_not() {
    let syn = |seq| with_syn(segment(seq, b""));
    let flows =
        flows::reassemble_flows(&[syn(1), syn(1), segment(2, b"a"), syn(500), segment(501, b"b")], 6667);
    let all: Vec<_> = flows.iter().map(|flow| flow.chunks[0].bytes.clone()).collect();
    assert_eq!(all, [b"a", b"b"]);
}

proptest! {
    /// Whatever segments are split, repeated, overlapping and out of order, the bytes that were sent are reassembled.
    #[test]
    fn reassembles_what_was_sent(
        text in prop::collection::vec(any::<u8>(), 1..400),
        isn in prop_oneof![any::<u32>(), Just(u32::MAX - 100)],
        cuts in prop::collection::vec((0usize..400, 1usize..120), 0..20),
        order in any::<prop::sample::Index>(),
    ) {
        let first = isn.wrapping_add(1);
        let piece = |from: usize, to: usize| segment(first.wrapping_add(from as u32), &text[from..to]);
        let mut segments: Vec<Segment> = text.chunks(37).enumerate()
            .map(|(n, chunk)| piece(n * 37, n * 37 + chunk.len())).collect();
        for (from, length) in cuts {
            let from = from % text.len();
            let at = order.index(segments.len());
            segments.insert(at, piece(from, (from + length).min(text.len())));
        }
        segments.push(with_fin(segment(first.wrapping_add(text.len() as u32), b"")));
        let turn = order.index(segments.len());
        segments.rotate_left(turn);
        segments.insert(0, with_syn(segment(isn, b"")));
        let flows = flows::reassemble_flows(&segments, 6667);
        prop_assert_eq!(flows.len(), 1);
        let got: Vec<u8> = flows[0].chunks.iter().flat_map(|chunk| chunk.bytes.clone()).collect();
        prop_assert_eq!(got, text);
        prop_assert_eq!(flows[0].end.map(|end| end.close), Some(Close::Orderly));
        prop_assert_eq!(flows[0].gap, None);
    }

    /// Whatever a file holds, reading it returns, and the offset of an error lies within it.
    #[test]
    fn no_input_breaks_the_reader(flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6)) {
        let mut bytes = encode_file(true, 0xa1b2_c3d4, 1, 0, &encode_packet(true, false));
        for (at, with) in flips {
            let at = at.index(bytes.len());
            bytes[at] = with;
        }
        match pcap::read_segments(&bytes) {
            Err(error) => prop_assert!(error.offset <= bytes.len()),
            Ok(segments) => drop(flows::reassemble_flows(&segments, 6667)),
        }
    }
}

/// Other tools can read what is recorded: sequence numbers are continuous, and checksums are right.
#[test]
fn recorded_packets_have_valid_checksums_and_read_back() {
    let (client, front) = client_and_front();
    for (client, front) in [(client, front), ("[::1]:5".parse().unwrap(), "[::1]:6667".parse().unwrap())] {
        let (mut recorder, records) = ConnectionRecorder::start(Time(1_000_000), client, front);
        let mut bytes = [pcap::encode_file_header(), records].concat();
        bytes.extend(recorder.record_data(Time(2_000_000), Direction::FromClient, &[b'x'; 3000]));
        bytes.extend(recorder.record_data(Time(2_000_000), Direction::ToClient, b"back"));
        bytes.extend(recorder.record_close(Time(3_000_000), Direction::FromClient, Close::Orderly));
        assert_eq!(
            recorder.record_close(Time(3_000_000), Direction::FromClient, Close::Reset),
            Vec::<u8>::new(),
            "ended twice"
        );
        let flows = flows::reassemble_flows(&pcap::read_segments(&bytes).expect("valid"), 6667);
        let sent: usize = flows[0].chunks.iter().map(|chunk| chunk.bytes.len()).sum();
        assert_eq!(
            (sent, flows[0].end),
            (3000, Some(FlowEnd { at: Time(3_000_000), close: Close::Orderly }))
        );
        let mut at = 24;
        while at < bytes.len() {
            let length = u32::from_le_bytes(bytes[at + 8..at + 12].try_into().unwrap()) as usize;
            let packet =
                etherparse::SlicedPacket::from_ip(&bytes[at + 16..at + 16 + length]).expect("a packet");
            let Some(etherparse::TransportSlice::Tcp(tcp)) = &packet.transport else { panic!("no TCP") };
            let sum = match packet.net.as_ref().expect("IP") {
                etherparse::NetSlice::Ipv4(ip) => {
                    let header = ip.header().to_header();
                    assert_eq!(header.header_checksum, header.calc_header_checksum());
                    tcp.calc_checksum_ipv4(ip.header().source(), ip.header().destination()).unwrap()
                }
                etherparse::NetSlice::Ipv6(ip) => {
                    tcp.calc_checksum_ipv6(ip.header().source(), ip.header().destination()).unwrap()
                }
                _ => panic!("no IP"),
            };
            assert_eq!(tcp.checksum(), sum);
            at += 16 + length;
        }
    }
}

fn run_replay(capture: &Path, config: &Path, port: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
    command.arg("replay").arg(capture).arg("--config").arg(config);
    command.args(["--front", "irc", "--port", port]).output().expect("runs")
}

#[test]
fn replay_reads_what_serve_records() {
    let server = Server::start(Behaviour::Welcome);
    let folder = std::env::temp_dir().join(format!("connection-balancer-replay-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (capture, config) = (folder.join("front.pcap"), folder.join("irc.json"));
    let daemon =
        Daemon::start_with(&irc_config(&[&server], ""), None, &["--record", capture.to_str().unwrap()]);
    let port = daemon.irc.rsplit(':').next().unwrap().to_owned();
    for nick in ["pia", "quinn"] {
        let mut client = Client::register(&daemon.irc, nick);
        client.expect_line("001");
        client.send_line("PRIVMSG #a :recorded");
        client.expect_line("PRIVMSG #a :recorded");
        client.send_line("QUIT");
        client.read_to_end();
    }
    drop(Client::connect(&daemon.irc));
    let flows = |bytes: &[u8]| {
        flows::reassemble_flows(&pcap::read_segments(bytes).expect("valid"), port.parse().unwrap())
    };
    wait_until("three flows are recorded and ended", || {
        let flows = flows(&std::fs::read(&capture).unwrap());
        flows.len() == 3 && flows.iter().all(|flow| flow.end.is_some())
    });
    drop(daemon);
    std::fs::write(&config, irc_config(&[&server], "")).expect("written");
    let replay = || run_replay(&capture, &config, &port);
    let seen = server.count();
    let output = replay();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    assert_eq!(text.matches(": served after ").count(), 2, "{text}");
    assert!(text.contains(": left; 0 bytes back") && text.ends_with("3 flows, 2 served\n"), "{text}");
    let lines = server.lines.lock().unwrap()[seen..].to_vec();
    assert_eq!(lines.iter().filter(|line| *line == "PRIVMSG #a :recorded").count(), 2, "{lines:?}");
    // A replay must never reach a server in service.
    std::fs::write(
        &config,
        irc_config(&[&server], "").replace("127.0.0.1:", "192.0.2.1:").replacen(
            "192.0.2.1:0",
            "127.0.0.1:0",
            2,
        ),
    )
    .expect("written");
    let output = replay();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && text.contains("a replay uses loopback hosts only"), "{text}");
    let _ = std::fs::remove_dir_all(&folder);
}
