//! Captures: reading, reassembly, and a recording that is replayed.

mod fake_servers;

use std::net::SocketAddr;
use std::process::Command;

use connection_balancer::protocol::flows;
use connection_balancer::protocol::pcap::{self, Close, Segment, Tape, Way};
use etherparse::PacketBuilder;
use fake_servers::{irc_config, until, Client, Daemon, Manner, Server};
use proptest::prelude::*;

/// A file with one packet, in this byte order, with this magic and link.
fn file(little: bool, magic: u32, link: u32, part: u32, packet: &[u8]) -> Vec<u8> {
    let word = |n: u32| if little { n.to_le_bytes() } else { n.to_be_bytes() };
    let half = |n: u16| if little { n.to_le_bytes() } else { n.to_be_bytes() };
    let mut bytes = word(magic).to_vec();
    bytes.extend([half(2), half(4)].concat());
    let length = packet.len() as u32;
    bytes.extend([0, 0, 65_535, link, 1_700_000_000, part, length, length].iter().flat_map(|&n| word(n)));
    bytes.extend(packet);
    bytes
}

fn packet(ethernet: bool, six: bool) -> Vec<u8> {
    let mut out = Vec::new();
    let (a, b) = ([7; 6], [9; 6]);
    let done = match (ethernet, six) {
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
    done.expect("a packet");
    out
}

#[test]
fn all_kinds_of_classic_files_are_read() {
    for little in [true, false] {
        for (magic, part) in [(0xa1b2_c3d4, 250_000), (0xa1b2_3c4d, 250_000_000)] {
            for (link, ethernet, six) in
                [(1, true, false), (1, true, true), (101, false, false), (101, false, true)]
            {
                let bytes = file(little, magic, link, part, &packet(ethernet, six));
                let segments = pcap::read(&bytes).expect("sound");
                let [segment] = &segments[..] else { panic!("{segments:?}") };
                assert_eq!(segment.at, 1_700_000_000_250_000);
                assert_eq!(
                    (segment.seq, segment.to.port(), &segment.payload[..]),
                    (77, 6667, &b"NICK a"[..])
                );
            }
        }
    }
}

#[test]
fn a_bad_file_is_told_by_its_offset() {
    let good = file(true, 0xa1b2_c3d4, 101, 0, &packet(false, false));
    let told = |bytes: &[u8]| pcap::read(bytes).expect_err("bad").to_string();
    assert!(told(&good[..10]).contains("at byte 10: the file ends within its head"));
    assert!(told(&[0; 30]).contains("at byte 0: no pcap file"));
    assert!(told(&good[..30]).contains("at byte 30: the file ends within a record's head"));
    assert!(told(&good[..50]).contains("at byte 50: the file ends within a packet"));
    let link = file(true, 0xa1b2_c3d4, 105, 0, &[]);
    assert!(told(&link).contains("at byte 20: link type 105"));
    let mut long = good.clone();
    long[32..36].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(told(&long).contains("at byte 32: a record of 4294967295 bytes"));
}

fn ends() -> (SocketAddr, SocketAddr) {
    (([127, 0, 0, 1], 5).into(), ([127, 0, 0, 1], 6667).into())
}

fn segment(seq: u32, payload: &[u8]) -> Segment {
    let (from, to) = ends();
    let (syn, ack, fin, rst) = (false, true, false, false);
    Segment { at: 0, from, to, seq, syn, ack, fin, rst, payload: payload.to_vec() }
}

#[test]
fn a_gap_ends_a_flow_where_it_begins() {
    let syn = Segment { syn: true, ..segment(100, b"") };
    let flows = flows::to_port(&[syn, segment(101, b"NICK"), segment(108, b"USER")], 6667);
    assert_eq!((flows[0].pieces.len(), flows[0].gap), (1, Some(4)));
    assert_eq!(flows::to_port(&[], 6667), []);
}

/// Seen in a clean run of all tests: played at its recorded time, an end overtook the answer that it came after,
/// and a client that was served showed as one that left.
#[test]
fn answers_are_counted_once_each_and_by_their_time() {
    let (from, to) = ends();
    let back = |at, seq, payload: &[u8]| Segment { at, from: to, to: from, ..segment(seq, payload) };
    let syn = Segment { syn: true, ..segment(100, b"") };
    let all =
        [syn, back(5, 900, b"a\nb"), back(6, 900, b"a\nb"), back(7, 902, b"b\nc\n"), segment(101, b"x")];
    let flows = flows::to_port(&all, 6667);
    let counts: Vec<usize> = [4, 5, 6, 7, 9].iter().map(|&at| flows[0].answers_before(at)).collect();
    assert_eq!(counts, [0, 1, 1, 3, 3]);
}

#[test]
fn the_same_ports_again_are_another_flow_but_a_syn_sent_twice_is_not() {
    let syn = |seq| Segment { syn: true, ..segment(seq, b"") };
    let flows = flows::to_port(&[syn(1), syn(1), segment(2, b"a"), syn(500), segment(501, b"b")], 6667);
    let all: Vec<_> = flows.iter().map(|flow| flow.pieces[0].1.clone()).collect();
    assert_eq!(all, [b"a", b"b"]);
}

proptest! {
    /// Cut, repeated, overlapping and shuffled as it may be, what was sent comes out.
    #[test]
    fn what_was_sent_comes_out(
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
        segments.push(Segment { fin: true, ..segment(first.wrapping_add(text.len() as u32), b"") });
        let turn = order.index(segments.len());
        segments.rotate_left(turn);
        segments.insert(0, Segment { syn: true, ..segment(isn, b"") });
        let flows = flows::to_port(&segments, 6667);
        prop_assert_eq!(flows.len(), 1);
        let got: Vec<u8> = flows[0].pieces.iter().flat_map(|(_, bytes)| bytes.clone()).collect();
        prop_assert_eq!(got, text);
        prop_assert!(matches!(flows[0].end, Some((_, Close::InOrder))) && flows[0].gap.is_none());
    }

    /// Whatever a file holds, reading it ends in order, and what is wrong lies within it.
    #[test]
    fn no_file_breaks_the_reader(flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6)) {
        let mut bytes = file(true, 0xa1b2_c3d4, 1, 0, &packet(true, false));
        for (at, with) in flips {
            let at = at.index(bytes.len());
            bytes[at] = with;
        }
        match pcap::read(&bytes) {
            Err(bad) => prop_assert!(bad.offset <= bytes.len()),
            Ok(segments) => drop(flows::to_port(&segments, 6667)),
        }
    }
}

/// What a tape writes is what any tool would read: numbers that go on, and sums that are right.
#[test]
fn a_tape_has_valid_checksums_and_reads_back() {
    let (client, front) = ends();
    for (client, front) in [(client, front), ("[::1]:5".parse().unwrap(), "[::1]:6667".parse().unwrap())] {
        let (mut tape, records) = Tape::start(1_000_000, client, front);
        let mut bytes = [pcap::file_head(), records].concat();
        bytes.extend(tape.data(2_000_000, Way::FromClient, &[b'x'; 3000]));
        bytes.extend(tape.data(2_000_000, Way::ToClient, b"back"));
        bytes.extend(tape.close(3_000_000, Way::FromClient, Close::InOrder));
        assert_eq!(tape.close(3_000_000, Way::FromClient, Close::Broken), Vec::<u8>::new(), "ended twice");
        let flows = flows::to_port(&pcap::read(&bytes).expect("sound"), 6667);
        let sent: usize = flows[0].pieces.iter().map(|(_, bytes)| bytes.len()).sum();
        assert_eq!((sent, flows[0].end), (3000, Some((3_000_000, Close::InOrder))));
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

#[test]
fn what_serve_records_replay_reads_back() {
    let server = Server::start(Manner::Welcome);
    let folder = std::env::temp_dir().join(format!("connection-balancer-replay-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (capture, config) = (folder.join("front.pcap"), folder.join("irc.json"));
    let daemon =
        Daemon::start_with(&irc_config(&[&server], ""), None, &["--record", capture.to_str().unwrap()]);
    let port = daemon.irc.rsplit(':').next().unwrap().to_owned();
    for nick in ["pia", "quinn"] {
        let mut client = Client::register(&daemon.irc, nick);
        client.expect("001");
        client.say("PRIVMSG #a :recorded");
        client.expect("PRIVMSG #a :recorded");
        client.say("QUIT");
        client.rest();
    }
    drop(Client::connect(&daemon.irc));
    let flows = |bytes: &[u8]| flows::to_port(&pcap::read(bytes).expect("sound"), port.parse().unwrap());
    until("three flows are recorded and ended", || {
        let flows = flows(&std::fs::read(&capture).unwrap());
        flows.len() == 3 && flows.iter().all(|flow| flow.end.is_some())
    });
    drop(daemon);
    std::fs::write(&config, irc_config(&[&server], "")).expect("written");
    let replay = |config: &std::path::Path| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        command.arg("replay").arg(&capture).arg("--config").arg(config);
        command.args(["--front", "irc", "--port", &port]).output().expect("runs")
    };
    let seen = server.count();
    let output = replay(&config);
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
    let output = replay(&config);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && text.contains("a replay uses loopback hosts only"), "{text}");
    let _ = std::fs::remove_dir_all(&folder);
}
