//! The fronts' protocols without sockets. Their output must not depend on how the input is fragmented.

use std::rc::Rc;

use connection_balancer::protocol::platform::{parse_greeting, parse_server_reply, Greeting, ServerReply};
use connection_balancer::protocol::{http, irc, platform, Front, FrontEvent};
use connection_balancer::routing::{Answer, AttemptOutcome, Lifecycle};
use connection_balancer::Micros;
use proptest::prelude::*;

/// The output of a front: the bytes for each side, and the other events in order.
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

/// Splits bytes at these places.
fn split_at<'a>(bytes: &'a [u8], cuts: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len().max(1))).collect();
    ends.extend([0, bytes.len()]);
    ends.sort_unstable();
    ends.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect()
}

/// Feeds a front with what the client sends, what the server sends in an attempt, and what the client sends then.
fn run_front(mut front: impl Front, before: &[&[u8]], attempt: &[&[u8]], after: &[&[u8]]) -> FrontOutput {
    let mut output = FrontOutput::default();
    let mut feed = |front: &mut dyn Front, pieces: &[&[u8]], server: bool| {
        for piece in pieces {
            let mut events = Vec::new();
            match server {
                true => front.server_sent(piece, &mut events),
                false => front.client_sent(piece, &mut events),
            }
            output.add(events);
        }
    };
    feed(&mut front, before, false);
    front.open_attempt(Micros::from_millis(250));
    feed(&mut front, attempt, true);
    feed(&mut front, after, false);
    output.to_client.extend(front.take_partial_line());
    output.to_client.extend(front.encode_answer(Answer::Migrated));
    output
}

fn irc_front() -> irc::Connection {
    irc::Connection::new(Rc::new(irc::IrcConfig { name: "f".to_owned(), ..irc::IrcConfig::default() }))
}

struct FrontCase {
    front: Box<dyn Front>,
    /// What a client requests a connection with.
    request: &'static [u8],
    /// What a server accepts it with.
    acceptance: &'static [u8],
}

const OPEN: &[u8] = b"PING\r\nOPEN 9b1f 7f3a c=chat,t=acme,d=2000.5,g=5c0f6e1a2b3d4c59,h=1.5,x=\r\n";

proptest! {
    // Long lines are scanned anew for each piece, which takes its time without optimisation.
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn platform_front_output_is_independent_of_fragmentation(
        long in 0usize..9000,
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let attempt = [b"UP 7\r\nLOAD 8000.5\r\n", &vec![b'x'; long][..], b"\r\nM 1\r\nBYE\r\npart"].concat();
        let whole = run_front(platform::Connection::default(), &[OPEN], &[&attempt], &[b"M 2\r\nhalf"]);
        let cut = run_front(platform::Connection::default(), &split_at(OPEN, &cuts), &split_at(&attempt, &cuts), &[b"M 2\r\nhalf"]);
        prop_assert_eq!(&cut.to_client, &[&b"PONG\r\n"[..], &attempt, b"MOVE\r\n"].concat());
        prop_assert_eq!(&cut.to_server, b"M 2\r\nhalf");
        prop_assert_eq!(cut, whole);
    }

    #[test]
    fn irc_front_output_is_independent_of_fragmentation(
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
        long in 0usize..20_000,
    ) {
        let registration = [b"CAP LS\r\nFOO\r\n", &vec![b'x'; long][..], b"\r\nNICK a\nUSER u 0 * :r r\r\nCAP END\r\nJOIN #a\r\n"].concat();
        let attempt = [b":h NOTICE * :hi\r\nPING :1\r\n:h 001 a :w\r\n@t=1 :x PRIVMSG a :", &vec![b'y'; long][..], b"\r\nend"].concat();
        let whole = run_front(irc_front(), &[&registration], &[&attempt], &[b"PART #a\r\nhalf"]);
        let cut = run_front(irc_front(), &split_at(&registration, &cuts), &split_at(&attempt, &cuts), &[b"PART #a\r\nhalf"]);
        prop_assert_eq!(&cut.to_server, b"PONG :1\r\nJOIN #a\r\nPART #a\r\n");
        prop_assert!(cut.other_events.contains(&FrontEvent::Accepted));
        prop_assert_eq!(cut, whole);
    }

    /// Whatever either side sends, nothing panics, and the buffers stay bounded.
    #[test]
    fn no_input_breaks_a_front_or_its_bounds(
        events in prop::collection::vec((any::<bool>(), prop::collection::vec(
            prop_oneof![Just(b'\n'), Just(b' '), Just(b':'), Just(0), prop::sample::select(b"PINGOPENUPCAPBYE001=,@".to_vec()), any::<u8>()], 0..300)), 0..30),
        established in any::<bool>(),
    ) {
        let cases = [
            FrontCase { front: Box::<platform::Connection>::default(), request: OPEN, acceptance: b"UP 1\r\n" },
            FrontCase { front: Box::new(irc_front()), request: b"NICK a\r\nUSER u 0 * :r\r\n", acceptance: b":h 001 a :w\r\n" },
        ];
        for FrontCase { mut front, request, acceptance } in cases {
            let mut out = Vec::new();
            if established {
                front.client_sent(request, &mut out);
                front.open_attempt(Micros(1));
                front.server_sent(acceptance, &mut out);
                prop_assert!(out.contains(&FrontEvent::Accepted));
            }
            for (server, bytes) in &events {
                match server {
                    true => front.server_sent(bytes, &mut out),
                    false => front.client_sent(bytes, &mut out),
                }
                prop_assert!(front.buffered_bytes() <= 9000);
            }
            prop_assert!(out.iter().filter(|event| matches!(event, FrontEvent::ConnectionRequested(_))).count() <= 1);
            front.server_ended(true);
        }
    }

    /// Responses of the discovery service are fragmented, too.
    #[test]
    fn http_response_is_read_once_it_is_complete(cut in any::<prop::sample::Index>(), chunked in any::<bool>()) {
        let body = br#"{"generation":41,"reset":true,"instances":[{"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:8081","zone":"a","machineType":"m2","cell":3,"lifecycle":"draining","weight":1.0,"startedAtMs":1700000000123}]}"#;
        let bytes = if chunked {
            let (a, b) = body.split_at(60);
            let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n", a.len());
            [head.as_bytes(), a, format!("\r\n{:X};x\r\n", b.len()).as_bytes(), b, b"\r\n0\r\n\r\n"].concat()
        } else {
            [format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len()).as_bytes(), body].concat()
        };
        let part = cut.index(bytes.len());
        prop_assert_eq!(http::parse_response(&bytes[..part], false).unwrap(), None);
        let answer = http::parse_response(&bytes, false).unwrap().unwrap();
        prop_assert_eq!((answer.status, answer.close, answer.taken), (200, false, bytes.len()));
        let update = http::parse_endpoint_list(&answer.body).unwrap();
        prop_assert_eq!((update.generation, update.is_snapshot, update.endpoints.len()), (41, true, 1));
        prop_assert_eq!(update.endpoints[0].lifecycle, Lifecycle::Draining);
        prop_assert_eq!(update.endpoints[0].started.unwrap().0, 1_700_000_000_123_000);
    }
}

/// If anything else changed in a request line, it would be one that no client sent.
#[test]
fn only_the_wait_of_a_request_line_is_rewritten() {
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
    // Without a `d`, the line is passed on unchanged.
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
    assert_eq!(parse_greeting(b"PING"), Some(Greeting::Ping));
}

#[test]
fn first_line_of_the_server_decides_the_attempt() {
    for (line, end) in [
        ("BUSY\r\n", AttemptOutcome::Rejected),
        ("ERR\r\n", AttemptOutcome::Error),
        ("SYNTAX\r\n", AttemptOutcome::Error),
    ] {
        let output = run_front(platform::Connection::default(), &[OPEN], &[line.as_bytes()], &[]);
        assert_eq!(output.other_events.last(), Some(&FrontEvent::AttemptEnded(end)), "{line}");
    }
}

/// What a client of the platform may not send first: nothing of it reaches a server.
#[test]
fn malformed_first_lines_are_answered_with_an_error() {
    let long = format!("OPEN a b c=chat,d=1,x={}\r\n", "y".repeat(4100));
    let name = format!("OPEN {} b c=chat,d=1\r\n", "a".repeat(65));
    let malformed: [(&str, &str); 27] = [
        ("no command", "\r\n"),
        ("another command", "HELO\r\n"),
        ("another protocol", "GET / HTTP/1.1\r\n"),
        ("nothing but the command", "OPEN\r\n"),
        ("no list", "OPEN a b\r\n"),
        ("a list without values", "OPEN a b c\r\n"),
        ("no id", "OPEN  b c=chat,d=1\r\n"),
        ("no id, all else moved up", "OPEN b c=chat,d=1\r\n"),
        ("a long id", &name),
        ("too much", "OPEN a b c=chat,d=1 e\r\n"),
        ("no class", "OPEN a b d=1\r\n"),
        ("an empty class", "OPEN a b c=,d=1\r\n"),
        ("two classes", "OPEN a b c=chat,c=live,d=1\r\n"),
        ("no wait", "OPEN a b c=chat\r\n"),
        ("an empty wait", "OPEN a b c=chat,d=\r\n"),
        ("a wait in words", "OPEN a b c=chat,d=soon\r\n"),
        ("a wait with a unit", "OPEN a b c=chat,d=1s\r\n"),
        ("a wait that is no number", "OPEN a b c=chat,d=NaN\r\n"),
        ("a wait without end", "OPEN a b c=chat,d=inf\r\n"),
        ("a negative wait", "OPEN a b c=chat,d=-1\r\n"),
        ("a wait of years", "OPEN a b c=chat,d=99999999999\r\n"),
        ("a group in words", "OPEN a b c=chat,d=1,g=mine\r\n"),
        ("a long group", "OPEN a b c=chat,d=1,g=123456789abcdef01\r\n"),
        ("a negative load", "OPEN a b c=chat,d=1,h=-3\r\n"),
        ("a control byte", "OPEN a b c=chat,d=1,x=\x07\r\n"),
        ("a long line", &long),
        ("commands at once", "OPEN a b c=chat,d=1\r\nOPEN b b c=chat,d=1\r\n"),
    ];
    let rejection = [FrontEvent::ToClient(b"ERR\r\n".to_vec()), FrontEvent::Close];
    for (what, text) in malformed {
        let mut front = platform::Connection::default();
        let mut events = Vec::new();
        front.client_sent(text.as_bytes(), &mut events);
        assert_eq!(events, rejection, "{what}");
        // What the client sends after the error is ignored.
        front.client_sent(b"OPEN a b c=chat,d=1\r\n", &mut events);
        assert_eq!(events.len(), 2, "{what}");
    }
    for text in ["PING\r\n", "OPEN a b c=chat,d=1\r\n", "OPEN a b at=s-00000001,c=chat\r\n"] {
        let mut events = Vec::new();
        platform::Connection::default().client_sent(text.as_bytes(), &mut events);
        assert!(!events.contains(&rejection[1]) && !events.is_empty(), "{text}");
    }
}

#[test]
fn clients_that_break_the_protocol_later_are_disconnected() {
    // A client that does not wait for its answer, one that only sends pings, and one that sends a line without an end
    // once its connection is established.
    let again = [OPEN, b"M 1\r\n"].concat();
    let pings = b"PING\r\n".repeat(99);
    let endless = vec![b'x'; 5000];
    let cases: [(&[u8], &[u8], &[u8]); 3] =
        [(&again, b"", b""), (&pings, b"", b""), (OPEN, b"UP 1\r\n", &endless)];
    for (before, attempt, after) in cases {
        let output = run_front(platform::Connection::default(), &[before], &[attempt].map(|l| l), &[after]);
        assert_eq!(
            output.other_events.last(),
            Some(&FrontEvent::Close),
            "{}",
            String::from_utf8_lossy(before)
        );
    }
}

/// The same for the IRC front, which answers each invalid line, and closes the connection of a client that goes on.
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
    for (text, answer) in cases {
        let mut events = Vec::new();
        irc_front().client_sent(text.as_bytes(), &mut events);
        let reply = match &events[..] {
            [FrontEvent::ToClient(bytes)] => String::from_utf8_lossy(bytes).into_owned(),
            _ => panic!("{text:?}: {events:?}"),
        };
        assert!(reply.contains(answer), "{text:?}: {reply}");
    }
    // A client that floods is disconnected long before its registration times out.
    for flood in [b"FOO\r\n".repeat(100), vec![b'x'; 200 << 10], b"PING a\r\n".repeat(100)] {
        let (mut front, mut events) = (irc_front(), Vec::new());
        flood.chunks(4096).for_each(|piece| front.client_sent(piece, &mut events));
        let ends = events.iter().filter(|event| **event == FrontEvent::Close).count();
        assert_eq!(ends, 1, "{} bytes", flood.len());
    }
}
