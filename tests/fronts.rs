//! Tests of the fronts' protocols without sockets. Their output must not depend on how the input is
//! fragmented.

use std::rc::Rc;

use connection_balancer::protocol::platform::{
    parse_client_command, parse_server_reply, ClientCommand, ServerReply,
};
use connection_balancer::protocol::{http, irc, platform, Front, FrontEvent};
use connection_balancer::routing::{Answer, AttemptOutcome, Lifecycle};
use connection_balancer::Micros;
use proptest::prelude::*;

/// Output of a front: the bytes for each side, and the other events in order.
#[derive(Debug, Default, PartialEq)]
struct FrontOutput {
    to_client: Vec<u8>,
    to_server: Vec<u8>,
    other_events: Vec<FrontEvent>,
}

impl FrontOutput {
    fn add(&mut self, events: Vec<FrontEvent>) {
        for event in events {
            match event {
                // This balancer can serve, so the ping is answered.
                FrontEvent::ToClient(bytes) | FrontEvent::Ping(bytes) => self.to_client.extend(bytes),
                FrontEvent::ToServer(bytes) => self.to_server.extend(bytes),
                other => self.other_events.push(other),
            }
        }
    }
}

/// Splits bytes at the given positions.
fn split_at<'a>(bytes: &'a [u8], cuts: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len().max(1))).collect();
    ends.extend([0, bytes.len()]);
    ends.sort_unstable();
    ends.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect()
}

/// Runs a front with pieces of bytes: those that the client sends before an attempt, those that the server
/// sends in the attempt, and those that the client sends after it.
fn run_front(
    mut front: impl Front,
    client_before: &[&[u8]],
    server_in_attempt: &[&[u8]],
    client_after: &[&[u8]],
) -> FrontOutput {
    let mut output = FrontOutput::default();
    let mut feed = |front: &mut dyn Front, pieces: &[&[u8]], from_server: bool| {
        for piece in pieces {
            let mut events = Vec::new();
            match from_server {
                true => front.server_sent(piece, &mut events),
                false => front.client_sent(piece, &mut events),
            }
            output.add(events);
        }
    };
    feed(&mut front, client_before, false);
    front.open_attempt(Micros::from_millis(250));
    feed(&mut front, server_in_attempt, true);
    feed(&mut front, client_after, false);
    output.to_client.extend(front.take_partial_line());
    output.to_client.extend(front.encode_answer(Answer::Migrated));
    output
}

fn irc_front() -> irc::Connection {
    irc::Connection::new(Rc::new(irc::IrcConfig { name: "f".to_owned(), ..irc::IrcConfig::default() }))
}

struct FrontCase {
    front: Box<dyn Front>,
    /// Bytes by which a client requests a connection.
    request: &'static [u8],
    /// Bytes by which a server accepts the connection.
    acceptance: &'static [u8],
}

const OPEN: &[u8] = b"PING\r\nOPEN 9b1f 7f3a c=chat,t=acme,d=2000.5,g=5c0f6e1a2b3d4c59,h=1.5,x=\r\n";

proptest! {
    // Long lines are scanned again for each piece, which is slow without optimisation. Hence only 48 cases.
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn platform_front_output_is_independent_of_fragmentation(
        line_length in 0usize..9000,
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let line = vec![b'x'; line_length];
        let server_bytes = [b"UP 7\r\nLOAD 8000.5\r\n", &line[..], b"\r\nM 1\r\nBYE\r\npart"].concat();
        let client_pieces = split_at(OPEN, &cuts);
        let server_pieces = split_at(&server_bytes, &cuts);
        let whole = run_front(platform::Connection::default(), &[OPEN], &[&server_bytes], &[b"M 2\r\nhalf"]);
        let cut = run_front(platform::Connection::default(), &client_pieces, &server_pieces, &[b"M 2\r\nhalf"]);
        prop_assert_eq!(&cut.to_client, &[&b"PONG\r\n"[..], &server_bytes, b"MOVE\r\n"].concat());
        prop_assert_eq!(&cut.to_server, b"M 2\r\nhalf");
        prop_assert_eq!(cut, whole);
    }

    #[test]
    fn irc_front_output_is_independent_of_fragmentation(
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
        line_length in 0usize..20_000,
    ) {
        let client_line = vec![b'x'; line_length];
        let server_line = vec![b'y'; line_length];
        let client_bytes = [
            b"CAP LS\r\nFOO\r\n", &client_line[..], b"\r\nNICK a\nUSER u 0 * :r r\r\nCAP END\r\nJOIN #a\r\n",
        ].concat();
        let server_bytes = [
            b":h NOTICE * :hi\r\nPING :1\r\n:h 001 a :w\r\n@t=1 :x PRIVMSG a :", &server_line[..], b"\r\nend",
        ].concat();
        let client_pieces = split_at(&client_bytes, &cuts);
        let server_pieces = split_at(&server_bytes, &cuts);
        let whole = run_front(irc_front(), &[&client_bytes], &[&server_bytes], &[b"PART #a\r\nhalf"]);
        let cut = run_front(irc_front(), &client_pieces, &server_pieces, &[b"PART #a\r\nhalf"]);
        prop_assert_eq!(&cut.to_server, b"PONG :1\r\nJOIN #a\r\nPART #a\r\n");
        prop_assert!(cut.other_events.contains(&FrontEvent::Accepted));
        prop_assert_eq!(cut, whole);
    }

    /// Arbitrary bytes from either side cause no panic, no second request and no unbounded buffer.
    #[test]
    fn arbitrary_input_neither_panics_nor_exceeds_the_buffer_limits(
        pieces in prop::collection::vec((any::<bool>(), prop::collection::vec(
            prop_oneof![Just(b'\n'), Just(b' '), Just(b':'), Just(0), prop::sample::select(b"PINGOPENUPCAPBYE001=,@".to_vec()), any::<u8>()], 0..300)), 0..30),
        established in any::<bool>(),
    ) {
        let cases = [
            FrontCase { front: Box::<platform::Connection>::default(), request: OPEN, acceptance: b"UP 1\r\n" },
            FrontCase { front: Box::new(irc_front()), request: b"NICK a\r\nUSER u 0 * :r\r\n", acceptance: b":h 001 a :w\r\n" },
        ];
        for FrontCase { mut front, request, acceptance } in cases {
            let mut events = Vec::new();
            if established {
                front.client_sent(request, &mut events);
                front.open_attempt(Micros(1));
                front.server_sent(acceptance, &mut events);
                prop_assert!(events.contains(&FrontEvent::Accepted));
            }
            for (from_server, bytes) in &pieces {
                match from_server {
                    true => front.server_sent(bytes, &mut events),
                    false => front.client_sent(bytes, &mut events),
                }
                prop_assert!(front.buffered_bytes() <= 9000);
            }
            let is_request = |event: &&FrontEvent| matches!(event, FrontEvent::ConnectionRequested(_));
            prop_assert!(events.iter().filter(is_request).count() <= 1);
            front.server_ended(true);
        }
    }

    /// Responses of the discovery service also arrive in fragments.
    #[test]
    fn http_response_is_read_once_it_is_complete(cut in any::<prop::sample::Index>(), chunked in any::<bool>()) {
        let body = br#"{"generation":41,"reset":true,"instances":[{"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:8081","zone":"a","machineType":"m2","cell":3,"lifecycle":"draining","weight":1.0,"startedAtMs":1700000000123}]}"#;
        let bytes = if chunked {
            let (first_chunk, second_chunk) = body.split_at(60);
            let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n", first_chunk.len());
            let second_size = format!("\r\n{:X};x\r\n", second_chunk.len());
            [head.as_bytes(), first_chunk, second_size.as_bytes(), second_chunk, b"\r\n0\r\n\r\n"].concat()
        } else {
            [format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len()).as_bytes(), body].concat()
        };
        let received_length = cut.index(bytes.len());
        prop_assert_eq!(http::parse_response(&bytes[..received_length], false).unwrap(), None);
        let mut response = http::parse_response(&bytes, false).unwrap().unwrap();
        prop_assert_eq!((response.status, response.consumed), (200, bytes.len()));
        prop_assert!(!response.closes_connection);
        let update = http::parse_endpoint_list(&mut response.body).unwrap();
        prop_assert_eq!((update.generation, update.is_snapshot, update.endpoints.len()), (41, true, 1));
        prop_assert_eq!(update.endpoints[0].lifecycle, Lifecycle::Draining);
        prop_assert_eq!(update.endpoints[0].started_at.unwrap().0, 1_700_000_000_123_000);
    }
}

/// A request line with any other change would be one that no client has sent.
#[test]
fn only_the_timeout_of_a_request_line_is_rewritten() {
    let mut front = platform::Connection::default();
    let mut events = Vec::new();
    front.client_sent(OPEN, &mut events);
    let Some(FrontEvent::ConnectionRequested(request)) = events.last() else { panic!("{events:?}") };
    assert_eq!((request.class.as_str(), request.tenant.as_deref()), ("chat", Some("acme")));
    assert_eq!(
        (request.group, request.timeout, request.load),
        (Some(0x5c0f_6e1a_2b3d_4c59), Some(Micros(2_000_500)), Some(1.5))
    );
    let line = front.open_attempt(Micros(734_900));
    assert_eq!(line, b"OPEN 9b1f 7f3a c=chat,t=acme,d=734,g=5c0f6e1a2b3d4c59,h=1.5,x=\r\n");
    // A line without the field `d` is sent unchanged.
    let mut front = platform::Connection::default();
    front.client_sent(b"OPEN a b c=chat,at=s-00000001\r\n", &mut events);
    assert_eq!(front.open_attempt(Micros(5)), b"OPEN a b c=chat,at=s-00000001\r\n");
}

#[test]
fn server_replies_are_recognised() {
    let replies = [
        ("UP 7f", ServerReply::Up),
        ("BYE", ServerReply::Bye),
        ("MOVE", ServerReply::Move),
        ("ERR", ServerReply::Error),
        ("BUSY 200", ServerReply::Busy),
        ("LOAD 99.25", ServerReply::Load(99.25)),
        ("M 1 x", ServerReply::Other),
        ("UPPER", ServerReply::Other),
        ("", ServerReply::Other),
    ];
    for (line, reply) in replies {
        assert_eq!(parse_server_reply(line.as_bytes()), reply, "{line}");
    }
    assert_eq!(parse_client_command(b"PING"), Some(ClientCommand::Ping));
}

#[test]
fn first_line_of_the_server_decides_the_attempt() {
    for (line, outcome) in [
        ("BUSY\r\n", AttemptOutcome::Rejected),
        ("ERR\r\n", AttemptOutcome::Error),
        ("SYNTAX\r\n", AttemptOutcome::Error),
    ] {
        let output = run_front(platform::Connection::default(), &[OPEN], &[line.as_bytes()], &[]);
        assert_eq!(output.other_events.last(), Some(&FrontEvent::AttemptEnded(outcome)), "{line}");
    }
}

/// A client of the platform that sends a malformed first line gets an error, and no byte of it reaches a
/// server.
#[test]
fn malformed_first_lines_are_answered_with_an_error() {
    let long_line = format!("OPEN a b c=chat,d=1,x={}\r\n", "y".repeat(4100));
    let line_with_long_id = format!("OPEN {} b c=chat,d=1\r\n", "a".repeat(65));
    let malformed_lines: [(&str, &str); 27] = [
        ("empty line", "\r\n"),
        ("unknown command", "HELO\r\n"),
        ("other protocol", "GET / HTTP/1.1\r\n"),
        ("command only", "OPEN\r\n"),
        ("no fields", "OPEN a b\r\n"),
        ("field without a value", "OPEN a b c\r\n"),
        ("empty id", "OPEN  b c=chat,d=1\r\n"),
        ("id or key missing", "OPEN b c=chat,d=1\r\n"),
        ("id too long", &line_with_long_id),
        ("extra argument", "OPEN a b c=chat,d=1 e\r\n"),
        ("no class", "OPEN a b d=1\r\n"),
        ("empty class", "OPEN a b c=,d=1\r\n"),
        ("two classes", "OPEN a b c=chat,c=live,d=1\r\n"),
        ("no timeout", "OPEN a b c=chat\r\n"),
        ("empty timeout", "OPEN a b c=chat,d=\r\n"),
        ("timeout as a word", "OPEN a b c=chat,d=soon\r\n"),
        ("timeout with a unit", "OPEN a b c=chat,d=1s\r\n"),
        ("timeout that is not a number", "OPEN a b c=chat,d=NaN\r\n"),
        ("infinite timeout", "OPEN a b c=chat,d=inf\r\n"),
        ("negative timeout", "OPEN a b c=chat,d=-1\r\n"),
        ("timeout of years", "OPEN a b c=chat,d=99999999999\r\n"),
        ("group that is not hexadecimal", "OPEN a b c=chat,d=1,g=mine\r\n"),
        ("group of more than 64 bits", "OPEN a b c=chat,d=1,g=123456789abcdef01\r\n"),
        ("negative load", "OPEN a b c=chat,d=1,h=-3\r\n"),
        ("control byte", "OPEN a b c=chat,d=1,x=\x07\r\n"),
        ("line too long", &long_line),
        ("two requests at once", "OPEN a b c=chat,d=1\r\nOPEN b b c=chat,d=1\r\n"),
    ];
    let rejection = [FrontEvent::ToClient(b"ERR\r\n".to_vec()), FrontEvent::Close];
    for (fault, text) in malformed_lines {
        let mut front = platform::Connection::default();
        let mut events = Vec::new();
        front.client_sent(text.as_bytes(), &mut events);
        assert_eq!(events, rejection, "{fault}");
        // Bytes that the client sends after the error are ignored.
        front.client_sent(b"OPEN a b c=chat,d=1\r\n", &mut events);
        assert_eq!(events.len(), 2, "{fault}");
    }
    for text in ["PING\r\n", "OPEN a b c=chat,d=1\r\n", "OPEN a b at=s-00000001,c=chat\r\n"] {
        let mut events = Vec::new();
        platform::Connection::default().client_sent(text.as_bytes(), &mut events);
        assert!(!events.contains(&rejection[1]) && !events.is_empty(), "{text}");
    }
}

#[test]
fn clients_that_violate_the_protocol_after_a_valid_line_are_disconnected() {
    // One client does not wait for the answer to its request, one sends pings only, and one sends an
    // unterminated line once its connection is established.
    let request_and_line = [OPEN, b"M 1\r\n"].concat();
    let pings = b"PING\r\n".repeat(99);
    let unterminated_line = vec![b'x'; 5000];
    let cases: [(&[u8], &[u8], &[u8]); 3] =
        [(&request_and_line, b"", b""), (&pings, b"", b""), (OPEN, b"UP 1\r\n", &unterminated_line)];
    for (client_before, server, client_after) in cases {
        let front = platform::Connection::default();
        let output = run_front(front, &[client_before], &[server], &[client_after]);
        assert_eq!(
            output.other_events.last(),
            Some(&FrontEvent::Close),
            "{}",
            String::from_utf8_lossy(client_before)
        );
    }
}

/// The IRC front answers each invalid line, and closes the connection of a client that sends too many bytes
/// or lines.
#[test]
fn invalid_irc_registration_is_answered_and_floods_are_closed() {
    let cases: [(&str, &str); 14] = [
        ("FOO\r\n", " 451 "),
        ("\u{1}\u{2}\r\n", " 421 "),
        ("NICK\r\n", " 431 "),
        ("NICK 1a\r\n", " 432 "),
        ("NICK a,b\r\n", " 432 "),
        ("USER u 0 *\r\n", " 461 "),
        ("USER\r\n", " 461 "),
        ("PASS\r\n", " 461 "),
        ("CAP\r\n", " 461 "),
        ("CAP FOO\r\n", " 410 "),
        ("CAP REQ :unknown\r\n", " NAK "),
        ("PING\r\n", " 409 "),
        ("NICK a\0\r\n", " 400 "),
        ("JOIN #a\r\n", " 451 "),
    ];
    for (text, expected) in cases {
        let mut events = Vec::new();
        irc_front().client_sent(text.as_bytes(), &mut events);
        let reply = match &events[..] {
            [FrontEvent::ToClient(bytes)] => String::from_utf8_lossy(bytes).into_owned(),
            _ => panic!("{text:?}: {events:?}"),
        };
        assert!(reply.contains(expected), "{text:?}: {reply}");
    }
    // A client that floods is disconnected long before its registration times out.
    for flood in [b"FOO\r\n".repeat(100), vec![b'x'; 200 << 10], b"PING a\r\n".repeat(100)] {
        let (mut front, mut events) = (irc_front(), Vec::new());
        flood.chunks(4096).for_each(|piece| front.client_sent(piece, &mut events));
        let closes = events.iter().filter(|event| **event == FrontEvent::Close).count();
        assert_eq!(closes, 1, "flood of {} bytes", flood.len());
    }
}
