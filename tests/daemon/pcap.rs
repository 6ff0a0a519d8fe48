//! Tests of captures: reading, reassembly of flows, recording, and the replay of a recording.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

use connection_balancer::protocol::flows::{self, FlowEnd};
use connection_balancer::protocol::pcap::{
    self, CloseKind, ConnectionRecorder, Direction, Segment, TcpFlags,
};
use connection_balancer::Time;
use etherparse::PacketBuilder;
use proptest::prelude::*;

use crate::fake_servers::{irc_config, wait_until, Client, Daemon, FakeIrcServer, RegistrationReply};

/// Encodes a file with one packet, with the given byte order, magic number, link type and fraction of a
/// second.
fn encode_file(little_endian: bool, magic: u32, link: u32, fraction: u32, packet: &[u8]) -> Vec<u8> {
    let encode_u32 = |n: u32| if little_endian { n.to_le_bytes() } else { n.to_be_bytes() };
    let encode_u16 = |n: u16| if little_endian { n.to_le_bytes() } else { n.to_be_bytes() };
    let mut bytes = encode_u32(magic).to_vec();
    bytes.extend([encode_u16(2), encode_u16(4)].concat());
    let length = packet.len() as u32;
    let words = [0, 0, 65_535, link, 1_700_000_000, fraction, length, length];
    bytes.extend(words.iter().flat_map(|&n| encode_u32(n)));
    bytes.extend(packet);
    bytes
}

fn encode_packet(ethernet: bool, ipv6: bool) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (source_mac, destination_mac) = ([7; 6], [9; 6]);
    let written = match (ethernet, ipv6) {
        (true, false) => PacketBuilder::ethernet2(source_mac, destination_mac)
            .ipv4([127, 0, 0, 1], [127, 0, 0, 2], 9)
            .tcp(5, 6667, 77, 9)
            .write(&mut bytes, b"NICK a"),
        (true, true) => PacketBuilder::ethernet2(source_mac, destination_mac)
            .ipv6([1; 16], [2; 16], 9)
            .tcp(5, 6667, 77, 9)
            .write(&mut bytes, b"NICK a"),
        (false, false) => PacketBuilder::ipv4([127, 0, 0, 1], [127, 0, 0, 2], 9)
            .tcp(5, 6667, 77, 9)
            .write(&mut bytes, b"NICK a"),
        (false, true) => {
            PacketBuilder::ipv6([1; 16], [2; 16], 9).tcp(5, 6667, 77, 9).write(&mut bytes, b"NICK a")
        }
    };
    written.expect("writing a packet to memory failed");
    bytes
}

#[test]
fn reads_all_byte_orders_time_units_and_link_types() {
    for little_endian in [true, false] {
        for (magic, fraction) in [(0xa1b2_c3d4, 250_000), (0xa1b2_3c4d, 250_000_000)] {
            for (link, ethernet, ipv6) in
                [(1, true, false), (1, true, true), (101, false, false), (101, false, true)]
            {
                let bytes = encode_file(little_endian, magic, link, fraction, &encode_packet(ethernet, ipv6));
                let segments = pcap::read_segments(&bytes).expect("a valid file was rejected");
                let [segment] = &segments[..] else { panic!("{segments:?}") };
                assert_eq!(segment.captured_at, Time(1_700_000_000_250_000));
                assert_eq!(
                    (segment.seq, segment.to.port(), &segment.payload[..]),
                    (77, 6667, &b"NICK a"[..])
                );
            }
        }
    }
}

#[test]
fn errors_name_the_offset_of_the_first_fault() {
    let valid = encode_file(true, 0xa1b2_c3d4, 101, 0, &encode_packet(false, false));
    let error_of =
        |bytes: &[u8]| pcap::read_segments(bytes).expect_err("an invalid file was accepted").to_string();
    assert!(error_of(&valid[..10]).contains("at byte 10: the file ends within its header of 24 bytes"));
    assert!(
        error_of(&[0; 30]).contains("at byte 0: magic number 0x00000000 is not that of a classic pcap file")
    );
    assert!(error_of(&valid[..30]).contains("at byte 30: the file ends within a record header of 16 bytes"));
    assert!(
        error_of(&valid[..50]).contains("at byte 50: the file ends within a packet, after 10 of 46 bytes")
    );
    let with_unsupported_link = encode_file(true, 0xa1b2_c3d4, 105, 0, &[]);
    assert!(error_of(&with_unsupported_link).contains("at byte 20: link type 105"));
    let mut with_long_record = valid.clone();
    with_long_record[32..36].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(error_of(&with_long_record)
        .contains("at byte 32: packet record of 4294967295 bytes exceeds the limit of 1048576"));
}

fn client_and_front() -> (SocketAddr, SocketAddr) {
    (([127, 0, 0, 1], 5).into(), ([127, 0, 0, 1], 6667).into())
}

fn segment(seq: u32, payload: &[u8]) -> Segment {
    let (from, to) = client_and_front();
    let flags = TcpFlags { ack: true, ..TcpFlags::default() };
    Segment { captured_at: Time(0), from, to, seq, flags, payload: payload.to_vec() }
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
    assert_eq!((flows[0].chunks.len(), flows[0].gap_after_bytes), (1, Some(4)));
    assert_eq!(flows::reassemble_flows(&[], 6667), []);
}

/// A replay delays a client's bytes and its end until as many answer lines have arrived as in the recording.
/// Without correct counts, a client's end can be replayed before the answer that preceded it, so that a
/// served client looks like one that left.
#[test]
fn answer_lines_are_counted_once_by_capture_time() {
    let (client, front) = client_and_front();
    let answer = |captured_at, seq, payload: &[u8]| Segment {
        captured_at,
        from: front,
        to: client,
        ..segment(seq, payload)
    };
    let syn = with_syn(segment(100, b""));
    let segments = [
        syn,
        answer(Time(5), 900, b"a\nb"),
        answer(Time(6), 900, b"a\nb"),
        answer(Time(7), 902, b"b\nc\n"),
        segment(101, b"x"),
    ];
    let flows = flows::reassemble_flows(&segments, 6667);
    let counts: Vec<usize> =
        [4, 5, 6, 7, 9].iter().map(|&at| flows[0].answer_lines_until(Time(at))).collect();
    assert_eq!(counts, [0, 1, 1, 3, 3]);
}

#[test]
fn another_syn_on_the_same_ports_starts_another_flow_but_a_retransmitted_one_does_not() {
    let syn = |seq| with_syn(segment(seq, b""));
    let flows =
        flows::reassemble_flows(&[syn(1), syn(1), segment(2, b"a"), syn(500), segment(501, b"b")], 6667);
    let first_chunks: Vec<_> = flows.iter().map(|flow| flow.chunks[0].bytes.clone()).collect();
    assert_eq!(first_chunks, [b"a", b"b"]);
}

proptest! {
    /// The sent bytes are reassembled from segments that are split, repeated, overlapping and out of order.
    #[test]
    fn reassembles_the_sent_bytes(
        sent in prop::collection::vec(any::<u8>(), 1..400),
        initial_seq in prop_oneof![any::<u32>(), Just(u32::MAX - 100)],
        repeated_ranges in prop::collection::vec((0usize..400, 1usize..120), 0..20),
        order in any::<prop::sample::Index>(),
    ) {
        let first_seq = initial_seq.wrapping_add(1);
        let piece = |from: usize, to: usize| segment(first_seq.wrapping_add(from as u32), &sent[from..to]);
        let mut segments: Vec<Segment> = sent.chunks(37).enumerate()
            .map(|(n, chunk)| piece(n * 37, n * 37 + chunk.len())).collect();
        for (from, length) in repeated_ranges {
            let from = from % sent.len();
            let position = order.index(segments.len());
            segments.insert(position, piece(from, (from + length).min(sent.len())));
        }
        segments.push(with_fin(segment(first_seq.wrapping_add(sent.len() as u32), b"")));
        let rotation = order.index(segments.len());
        segments.rotate_left(rotation);
        segments.insert(0, with_syn(segment(initial_seq, b"")));
        let flows = flows::reassemble_flows(&segments, 6667);
        prop_assert_eq!(flows.len(), 1);
        let reassembled: Vec<u8> = flows[0].chunks.iter().flat_map(|chunk| chunk.bytes.clone()).collect();
        prop_assert_eq!(reassembled, sent);
        prop_assert_eq!(flows[0].end.map(|end| end.close), Some(CloseKind::Orderly));
        prop_assert_eq!(flows[0].gap_after_bytes, None);
    }

    /// Reading a file with arbitrary changes does not panic, and the offset of an error lies within the file.
    #[test]
    fn arbitrary_changes_of_a_file_do_not_make_the_reader_panic(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut bytes = encode_file(true, 0xa1b2_c3d4, 1, 0, &encode_packet(true, false));
        for (position, byte) in changes {
            let offset = position.index(bytes.len());
            bytes[offset] = byte;
        }
        match pcap::read_segments(&bytes) {
            Err(error) => prop_assert!(error.offset <= bytes.len()),
            Ok(segments) => drop(flows::reassemble_flows(&segments, 6667)),
        }
    }
}

/// Other tools can read recorded files: sequence numbers are continuous, and checksums are valid.
#[test]
fn recorded_packets_have_valid_checksums_and_read_back() {
    let (client, front) = client_and_front();
    for (client, front) in [(client, front), ("[::1]:5".parse().unwrap(), "[::1]:6667".parse().unwrap())] {
        let (mut recorder, records) = ConnectionRecorder::start(Time(1_000_000), client, front);
        let mut bytes = [pcap::encode_file_header(), records].concat();
        bytes.extend(recorder.record_data(Time(2_000_000), Direction::FromClient, &[b'x'; 3000]));
        bytes.extend(recorder.record_data(Time(2_000_000), Direction::ToClient, b"back"));
        bytes.extend(recorder.record_close(Time(3_000_000), Direction::FromClient, CloseKind::Orderly));
        assert_eq!(
            recorder.record_close(Time(3_000_000), Direction::FromClient, CloseKind::Reset),
            Vec::<u8>::new(),
            "the end of one side was recorded twice"
        );
        let segments = pcap::read_segments(&bytes).expect("the recorded file was rejected");
        let flows = flows::reassemble_flows(&segments, 6667);
        let sent: usize = flows[0].chunks.iter().map(|chunk| chunk.bytes.len()).sum();
        assert_eq!(
            (sent, flows[0].end),
            (3000, Some(FlowEnd { ended_at: Time(3_000_000), close: CloseKind::Orderly }))
        );
        let mut offset = 24;
        while offset < bytes.len() {
            let length = u32::from_le_bytes(bytes[offset + 8..offset + 12].try_into().unwrap()) as usize;
            let packet = etherparse::SlicedPacket::from_ip(&bytes[offset + 16..offset + 16 + length])
                .expect("a record is not an IP packet");
            let Some(etherparse::TransportSlice::Tcp(tcp)) = &packet.transport else {
                panic!("the packet is not TCP")
            };
            let checksum = match packet.net.as_ref().expect("the packet has no IP header") {
                etherparse::NetSlice::Ipv4(ip) => {
                    let header = ip.header().to_header();
                    assert_eq!(header.header_checksum, header.calc_header_checksum());
                    tcp.calc_checksum_ipv4(ip.header().source(), ip.header().destination()).unwrap()
                }
                etherparse::NetSlice::Ipv6(ip) => {
                    tcp.calc_checksum_ipv6(ip.header().source(), ip.header().destination()).unwrap()
                }
                _ => panic!("the packet is neither IPv4 nor IPv6"),
            };
            assert_eq!(tcp.checksum(), checksum);
            offset += 16 + length;
        }
    }
}

fn run_replay(capture: &Path, config: &Path, port: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
    command.arg("replay").arg(capture).arg("--config").arg(config);
    command.args(["--front", "irc", "--port", port]).output().expect("the command did not start")
}

#[test]
fn replay_reads_recordings_of_serve() {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    let folder = std::env::temp_dir().join(format!("connection-balancer-replay-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("creating the folder failed");
    let (capture, config) = (folder.join("front.pcap"), folder.join("irc.json"));
    let arguments = ["--record", capture.to_str().unwrap()];
    let daemon = Daemon::start_with_arguments(&irc_config(&[&server], ""), None, &arguments);
    let port = daemon.irc_address.rsplit(':').next().unwrap().to_owned();
    for nick in ["pia", "quinn"] {
        let mut client = Client::register(&daemon.irc_address, nick);
        client.expect_line("001");
        client.send_line("PRIVMSG #a :recorded");
        client.expect_line("PRIVMSG #a :recorded");
        client.send_line("QUIT");
        client.read_to_end();
    }
    drop(Client::connect(&daemon.irc_address));
    let flows = |bytes: &[u8]| {
        let segments = pcap::read_segments(bytes).expect("the recorded file was rejected");
        flows::reassemble_flows(&segments, port.parse().unwrap())
    };
    wait_until("three flows with their ends are recorded", || {
        let flows = flows(&std::fs::read(&capture).unwrap());
        flows.len() == 3 && flows.iter().all(|flow| flow.end.is_some())
    });
    drop(daemon);
    std::fs::write(&config, irc_config(&[&server], "")).expect("writing the configuration failed");
    let replay = || run_replay(&capture, &config, &port);
    let lines_before = server.received_line_count();
    let output = replay();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    assert_eq!(text.matches(": served after ").count(), 2, "{text}");
    assert!(text.contains(": left; 0 bytes back") && text.ends_with("3 flows, 2 served\n"), "{text}");
    let lines = server.received_lines.lock().unwrap()[lines_before..].to_vec();
    assert_eq!(lines.iter().filter(|line| *line == "PRIVMSG #a :recorded").count(), 2, "{lines:?}");
    // A replay must never connect to a production server.
    std::fs::write(
        &config,
        irc_config(&[&server], "").replace("127.0.0.1:", "192.0.2.1:").replacen(
            "192.0.2.1:0",
            "127.0.0.1:0",
            2,
        ),
    )
    .expect("writing the configuration failed");
    let output = replay();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && text.contains("a replay uses loopback hosts only"), "{text}");
    let _ = std::fs::remove_dir_all(&folder);
}
