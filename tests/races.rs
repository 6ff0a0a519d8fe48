//! Two events that cross, on real sockets: the daemon is stopped until both have happened, and both come to it in one
//! wake-up. `docs/races.md` has a row for each.

mod fake_servers;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use fake_servers::{
    endpoint, endpoint_list, irc_config, reset_connection, send_endpoint_list, wait_until, Client, Daemon,
    Discovery, ManualServer,
};

/// Settings that differ from test to test.
struct TestSettings {
    class: &'static str,
    connect_ms: u32,
    more: &'static str,
}

impl Default for TestSettings {
    fn default() -> TestSettings {
        TestSettings {
            class: r#""repeat": "repeatable""#,
            connect_ms: 8000,
            more: r#""discovery": "on_request""#,
        }
    }
}

impl TestSettings {
    fn config(&self, listen: &str, discovery: SocketAddr, known: &str) -> String {
        let TestSettings { class, connect_ms, more } = self;
        format!(
            r#"{{"name": "n0", "listen": "{listen}", "discovery": "{discovery}", "seed": "5", "known": {known},
                "limits": {{"sockets": 160, "memory_mb": 32}},
                "settings": {{{more}, "zones": ["a"], "classes": [{{"name": "chat", "deadline": 9000, {class}}}],
                  "limits": {{"connect-timeout": {connect_ms}, "try-limit": 6, "cancel": true, "retry-after": true}}}}}}"#
        )
    }

    /// A daemon whose list from before its start has these servers, and its discovery.
    fn start(&self, servers: &[&ManualServer]) -> (Daemon, Discovery) {
        let discovery = Discovery::start();
        let config = self.config("127.0.0.1:0", discovery.address, &ready_list(1, servers));
        (Daemon::start(&irc_config(&[], ""), Some(&config)), discovery)
    }
}

fn ready_list(generation: u32, servers: &[&ManualServer]) -> String {
    let entries: Vec<_> =
        servers.iter().enumerate().map(|(n, server)| nth_endpoint(n, server, "ready")).collect();
    endpoint_list(generation, true, &entries)
}

fn nth_endpoint(n: usize, server: &ManualServer, lifecycle: &str) -> String {
    endpoint(&format!("s-0000000{}", n + 1), server.address, lifecycle)
}

fn connect_and_open(daemon: &Daemon, wait_ms: u32) -> Client {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let mut client = Client::connect(&daemon.platform);
    client.send_line(&format!("OPEN id{} 7f3a c=chat,d={wait_ms}", COUNT.fetch_add(1, Ordering::Relaxed)));
    client
}

/// A client whose request the daemon holds.
fn open_and_wait(daemon: &Daemon) -> Client {
    let before = daemon.metric("outstanding");
    let client = connect_and_open(daemon, 9000);
    wait_until("the request is taken", || daemon.metric("outstanding") == before + 1);
    client
}

/// An established client, with its server's end.
fn establish(daemon: &Daemon, server: &ManualServer) -> (Client, Client) {
    let mut client = connect_and_open(daemon, 9000);
    let mut attempt = server.accept();
    assert!(attempt.read_line().starts_with("OPEN "));
    attempt.send_line("UP 1");
    assert_eq!(client.read_line(), "UP 1");
    (client, attempt)
}

fn wait_until_idle(daemon: &Daemon) {
    wait_until("its slot is free", || daemon.metric("outstanding") == 0);
}

// ---- The client ----

/// In the wake-up in which its attempt connects the client's end is there as well.
#[test]
fn does_not_forward_a_client_that_left_before_its_attempt_connected() {
    for breaks in [false, true] {
        let mut server = ManualServer::start_with_full_queue();
        let (daemon, _discovery) = TestSettings::default().start(&[&server]);

        let client = open_and_wait(&daemon);
        daemon.suspend();
        match breaks {
            true => reset_connection(client.into_stream()),
            false => drop(client),
        }
        server.empty_queue();
        let mut attempt = server.accept();
        daemon.resume();

        assert_eq!(attempt.read_to_end(), "", "forwarded for nobody (reset: {breaks})");
        wait_until_idle(&daemon);
        assert_eq!(daemon.metric("forwards"), 0);
    }
}

#[test]
fn gives_up_the_connect_of_a_client_that_leaves() {
    let mut server = ManualServer::start_with_full_queue();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    drop(open_and_wait(&daemon));
    wait_until_idle(&daemon);
    server.empty_queue();
    // The next connection is another client's, and its line the first.
    let mut next = open_and_wait(&daemon);
    let mut attempt = server.accept();
    assert!(attempt.read_line().starts_with("OPEN "));
    attempt.send_line("UP 2");

    assert_eq!(next.read_line(), "UP 2");
    assert_eq!(daemon.metric("forwards"), 1);
}

#[test]
fn does_not_retry_for_a_client_that_leaves_as_its_attempt_breaks() {
    let servers = [ManualServer::start(), ManualServer::start()];
    let (daemon, _discovery) = TestSettings::default().start(&[&servers[0], &servers[1]]);

    let client = open_and_wait(&daemon);
    let mut attempt = None;
    wait_until("an attempt is out", || {
        attempt = servers.iter().find_map(ManualServer::try_accept);
        attempt.is_some()
    });
    let mut attempt = attempt.expect("one");
    assert!(attempt.read_line().starts_with("OPEN "));
    daemon.suspend();
    drop(client);
    reset_connection(attempt.into_stream());
    daemon.resume();
    wait_until_idle(&daemon);
    assert_eq!(daemon.metric("forwards"), 1);
    for mut second in servers.iter().filter_map(ManualServer::try_accept) {
        assert_eq!(second.read_to_end(), "");
    }
}

/// What it has sent ahead fills the buffer, behind which its end is not seen.
#[test]
fn gives_up_an_irc_client_that_floods_and_leaves_before_it_is_established() {
    let servers = [ManualServer::start(), ManualServer::start()];
    let server = |n: usize| format!(r#"{{"name": "irc-{n}", "address": "{}"}}"#, servers[n].address);
    let more = format!(r#", "hosts": [{}, {}], "class": {{"give_up_ms": 100000}}"#, server(0), server(1));
    let daemon = Daemon::start(&irc_config(&[], "").replace(r#", "hosts": []"#, &more), None);

    let mut client = Client::register(&daemon.irc, "ann");
    let mut attempt = None;
    wait_until("it is forwarded", || {
        attempt = servers.iter().find_map(ManualServer::try_accept);
        attempt.is_some()
    });
    let mut attempt = attempt.expect("one");
    attempt.expect_line("USER");
    let lines = "PRIVMSG #a :b\r\n".repeat(6000);
    // It may be closed before it has sent all.
    let _ = client.stream.write_all(lines.as_bytes());
    drop(client);
    wait_until_idle(&daemon);
    attempt.read_to_end();

    assert!(servers.iter().all(|server| server.try_accept().is_none()), "forwarded again for nobody");
}

/// A client of the platform waits after its first line: one that sends more has an error, and nothing is forwarded.
#[test]
fn gives_up_a_client_that_sends_much_and_leaves_before_it_is_established() {
    let servers = [ManualServer::start(), ManualServer::start()];
    let (daemon, _discovery) = TestSettings::default().start(&[&servers[0], &servers[1]]);

    let mut client = open_and_wait(&daemon);
    let mut attempt = None;
    wait_until("an attempt is out", || {
        attempt = servers.iter().find_map(ManualServer::try_accept);
        attempt.is_some()
    });
    // It may be closed before it has sent all.
    let _ = client.stream.write_all(&[b'x'; 1 << 20]);
    drop(client);
    wait_until_idle(&daemon);
    attempt.expect("one").read_to_end();

    assert!(servers.iter().all(|server| server.try_accept().is_none()), "forwarded again for nobody");
}

/// An IRC client sends QUIT and leaves while its attempt connects.
#[test]
fn does_not_forward_an_irc_client_that_quits_before_its_attempt_connected() {
    let mut server = ManualServer::start_with_full_queue();
    let listed = format!(r#", "hosts": [{{"name": "irc-1", "address": "{}"}}]"#, server.address);
    let more = format!(r#"{listed}, "limits": {{"connect_ms": 9000}}"#);
    let daemon = Daemon::start(&irc_config(&[], "").replace(r#", "hosts": []"#, &more), None);

    let mut client = Client::register(&daemon.irc, "ann");
    wait_until("it waits", || daemon.metric("outstanding") == 1);
    daemon.suspend();
    client.send_line("QUIT :bye");
    drop(client);
    server.empty_queue();
    let mut attempt = server.accept();
    daemon.resume();

    assert_eq!(attempt.read_to_end(), "");
    wait_until_idle(&daemon);
}

/// Hundreds that keep their connections open after their answers must not use up the descriptors.
#[test]
fn serves_clients_while_hundreds_never_close() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    // More than the 160 descriptors that the daemon may have.
    let resting: Vec<Client> = (0..250)
        .map(|n| {
            let mut client = Client::connect(&daemon.platform);
            client.send_line(if n % 2 == 0 { "NONSENSE" } else { "OPEN x 7f3a c=nothing,d=900" });
            client
        })
        .collect();
    let (_client, _attempt) = establish(&daemon, &server);
    drop(resting);
}

/// Whichever comes first, it is admitted, and never closed without an answer.
#[test]
fn accepts_a_first_line_that_crosses_the_handshake_timeout() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let mut client = Client::connect(&daemon.platform);
    client.send_line("PING");
    assert_eq!(client.read_line(), "PONG");
    daemon.suspend();
    client.send_line("OPEN late 7f3a c=chat,d=9000");
    // Its time to ask, 1.5 s from the platform's page, passes meanwhile.
    std::thread::sleep(Duration::from_millis(1700));
    daemon.resume();
    let mut attempt = server.accept();
    assert!(attempt.read_line().starts_with("OPEN late "));
    attempt.send_line("UP 1");

    assert_eq!(client.read_line(), "UP 1");
}

// ---- The attempt ----

/// The connect begins within the window, and completes after it.
#[test]
fn does_not_retry_what_may_have_run_after_its_window() {
    let settings = TestSettings {
        class: r#""repeat": "by_key", "group": "all", "window": 700"#,
        ..TestSettings::default()
    };
    let (first, mut second) = (ManualServer::start(), ManualServer::start_with_full_queue());
    let (daemon, discovery) = settings.start(&[&first]);

    let mut client = open_and_wait(&daemon);
    let mut attempt = first.accept();
    assert!(attempt.read_line().starts_with("OPEN "));
    send_endpoint_list(&discovery.call().1, &endpoint_list(2, false, &[nth_endpoint(1, &second, "ready")]));
    // The list is in place when the next watch begins.
    let _watch = discovery.call();
    reset_connection(attempt.into_stream());
    // Its connect to the second server is in flight, and completes after its window.
    std::thread::sleep(Duration::from_millis(900));
    second.empty_queue();
    assert!(client.read_to_end().starts_with("BUSY"), "by key at all servers: a retry is harmless");
    assert_eq!(daemon.metric("forwards"), 1);
    // What is forwarded there next is another request.
    let mut next = open_and_wait(&daemon);
    let mut attempt = until_line(&second, &first);
    attempt.send_line("UP 3");

    assert_eq!(next.read_line(), "UP 3");
    assert_eq!(daemon.metric("forwards"), 2);
}

/// The next connection at either on which a line comes.
fn until_line(one: &ManualServer, other: &ManualServer) -> Client {
    let mut found = None;
    wait_until("a request comes", || {
        found = [one, other].into_iter().find_map(ManualServer::try_accept).filter(|attempt| {
            let mut attempt = Client::over(attempt.stream.try_clone().expect("a clone"));
            attempt.read_line().starts_with("OPEN ")
        });
        found.is_some()
    });
    found.expect("one")
}

#[test]
fn does_not_forward_to_a_server_that_drains_before_the_connect_completes() {
    let mut server = ManualServer::start_with_full_queue();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let mut client = open_and_wait(&daemon);
    send_endpoint_list(
        &discovery.call().1,
        &endpoint_list(2, false, &[nth_endpoint(0, &server, "draining")]),
    );
    let _watch = discovery.call();
    assert!(client.read_to_end().starts_with("BUSY"));
    server.empty_queue();

    assert_eq!(daemon.metric("forwards"), 0);
    assert!(server.try_accept().is_none_or(|mut attempt| attempt.read_to_end().is_empty()));
}

/// In the wake-up in which it completes the deadline has passed.
#[test]
fn does_not_forward_when_the_connect_completes_at_the_deadline() {
    let mut server = ManualServer::start_with_full_queue();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let mut client = connect_and_open(&daemon, 900);
    wait_until("the request is taken", || daemon.metric("outstanding") == 1);
    daemon.suspend();
    server.empty_queue();
    let mut attempt = server.accept();
    std::thread::sleep(Duration::from_millis(1000));
    daemon.resume();

    assert!(client.read_to_end().starts_with("BUSY"));
    assert_eq!(attempt.read_to_end(), "", "written when its time was over");
    wait_until_idle(&daemon);
}

/// Whichever is seen first, the client is answered once, and nothing goes to the server after the update.
#[test]
fn answers_once_when_the_connect_completes_as_the_server_starts_draining() {
    let mut server = ManualServer::start_with_full_queue();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let mut client = open_and_wait(&daemon);
    let (_, watch) = discovery.call();
    daemon.suspend();
    server.empty_queue();
    send_endpoint_list(&watch, &endpoint_list(2, false, &[nth_endpoint(0, &server, "draining")]));
    let mut attempt = server.accept();
    daemon.resume();
    if attempt.read_line().starts_with("OPEN ") {
        attempt.send_line("BUSY");
    }
    let answer = client.read_to_end();

    assert!(answer.starts_with("BUSY") && answer.lines().count() == 1, "{answer}");
    wait_until_idle(&daemon);
    assert!(server.try_accept().is_none(), "forwarded to a server that drains");
}

// ---- The answer ----

/// Whatever a server answers with, its client has one answer, whole, and in time.
#[test]
fn answers_once_whatever_the_server_replies() {
    let long = "x".repeat(9000);
    let cases: [(&[&str], bool, &str); 8] = [
        (&["U", "P ", "7\r", "\n"], false, "UP 7\r\n"),
        (&["UP 7\r\nLOAD 3\r\nBYE\r\n"], true, "UP 7\r\nLOAD 3\r\nBYE\r\n"),
        (&["UP 7\r\nhalf"], true, "UP 7\r\nhalf"),
        (&["UP 7"], true, "BUSY"),
        (&["ERR\r\n", "UP 7\r\n"], false, "BUSY"),
        (&["BUSY\r\nUP 7\r\n"], true, "BUSY"),
        (&[&long], false, "BUSY"),
        (&["\0\u{1}\r\n"], false, "BUSY"),
    ];
    for (pieces, ends, wanted) in cases {
        let server = ManualServer::start();
        let (daemon, _discovery) = TestSettings::default().start(&[&server]);

        // Where it is rejected, that may be at its deadline.
        let mut client = connect_and_open(&daemon, if wanted == "BUSY" { 900 } else { 9000 });
        let mut attempt = server.accept();
        assert!(attempt.read_line().starts_with("OPEN "));
        for piece in pieces {
            // One that has its answer is closed, perhaps before the last piece.
            let _ = attempt.stream.write_all(piece.as_bytes());
        }
        if ends {
            let _ = attempt.stream.shutdown(Shutdown::Both);
        }
        match wanted {
            "BUSY" => assert!(client.read_to_end().starts_with("BUSY"), "{pieces:?}"),
            _ if ends => assert_eq!(client.read_to_end(), wanted, "{pieces:?}"),
            _ => assert_eq!(format!("{}\r\n", client.read_line()), wanted, "{pieces:?}"),
        }
        drop((client, attempt));

        wait_until_idle(&daemon);
    }
}

/// The server's reply and the client's deadline come in one wake-up.
#[test]
fn answers_once_when_a_reply_crosses_the_deadline() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let mut client = connect_and_open(&daemon, 900);
    let mut attempt = server.accept();
    assert!(attempt.read_line().starts_with("OPEN "));
    daemon.suspend();
    attempt.send_line("UP 7");
    std::thread::sleep(Duration::from_millis(1000));
    daemon.resume();
    match &client.read_line()[..] {
        "UP 7" => {
            client.send_line("M 1");
            assert_eq!(attempt.read_line(), "M 1");
        }
        rejected => {
            assert!(rejected.starts_with("BUSY"), "{rejected}");
            assert_eq!((client.read_to_end(), attempt.read_to_end()), (String::new(), String::new()));
        }
    }
    drop((client, attempt));

    wait_until_idle(&daemon);
}

// ---- The relay ----

#[test]
fn sends_move_between_two_lines_and_delivers_whole_lines_before_it() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let (mut client, mut attempt) = establish(&daemon, &server);
    attempt.stream.write_all(b"M 1\r\nhal").expect("written");
    assert_eq!(client.read_line(), "M 1");
    send_endpoint_list(&discovery.call().1, &endpoint_list(2, false, &[nth_endpoint(0, &server, "gone")]));

    assert_eq!(client.read_to_end(), "MOVE\r\n");
    assert_eq!(attempt.read_to_end(), "");
    wait_until_idle(&daemon);
}

#[test]
fn delivers_what_a_server_sent_before_its_reset() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let (mut client, mut attempt) = establish(&daemon, &server);
    client.send_line("unread");
    daemon.suspend();
    attempt.stream.write_all(b"M 1\r\nM 2\r\n").expect("written");
    reset_connection(attempt.into_stream());
    daemon.resume();
    assert_eq!(
        (client.read_line(), client.read_line(), client.read_to_end()),
        ("M 1".into(), "M 2".into(), String::new())
    );

    wait_until_idle(&daemon);
}

/// A write fails on a connection that is gone, while the server's last lines are there to be read.
#[test]
fn delivers_what_a_server_sent_before_its_reset_though_writes_to_it_fail() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let (mut client, mut attempt) = establish(&daemon, &server);
    // The server reads nothing: some of this stays with the daemon.
    client.stream.set_nonblocking(true).expect("a socket");
    let lines = [&[b'x'; 62][..], b"\r\n"].concat().repeat(8192);
    let mut full = 0;
    wait_until("all buffers are full", || {
        full = if client.stream.write(&lines).is_ok() { 0 } else { full + 1 };
        full > 20
    });
    client.stream.set_nonblocking(false).expect("a socket");
    daemon.suspend();
    attempt.stream.write_all(b"M 1\r\nM 2\r\n").expect("written");
    reset_connection(attempt.into_stream());
    daemon.resume();

    assert_eq!((client.read_line(), client.read_line()), ("M 1".into(), "M 2".into()));
    wait_until_idle(&daemon);
}

/// The client's next line crosses the server's last line, and is answered by a reset.
#[test]
fn closes_in_order_after_the_last_line_of_the_server() {
    for last_line in ["BYE", "MOVE"] {
        let server = ManualServer::start();
        let (daemon, _discovery) = TestSettings::default().start(&[&server]);

        let (mut client, mut attempt) = establish(&daemon, &server);
        daemon.suspend();
        client.send_line("M 1");
        attempt.send_line(last_line);
        reset_connection(attempt.into_stream());
        daemon.resume();

        assert_eq!(client.read_line(), last_line);
        assert_eq!(client.stream.read(&mut [0]).expect("ended in order, not broken off"), 0);
        wait_until_idle(&daemon);
    }
}

/// Closed at once over what it still sends, a client may not see its answer.
#[test]
fn does_not_reset_a_flooding_client_before_it_can_read_its_answer() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let mut client = Client::connect(&daemon.platform);
    let since = Instant::now();
    client.send_line("NONSENSE");
    assert_eq!(client.read_line(), "ERR");
    while client.stream.write_all(&[b'x'; 4096]).is_ok() {}
    let open_for = since.elapsed();

    assert!(open_for >= Duration::from_millis(600), "closed after {open_for:?}");
    wait_until_idle(&daemon);
}

// ---- Shutdown ----

/// What still waits in the listener's queue as the process exits must not be closed without an answer.
#[test]
fn rejects_a_client_queued_at_a_process_that_exits() {
    let server = ManualServer::start();
    let (mut daemon, _discovery) = TestSettings::default().start(&[&server]);

    daemon.signal("-TERM");
    daemon.log_line("draining: ");
    daemon.suspend();
    let mut client = connect_and_open(&daemon, 9000);
    // The stay of a process that holds nothing is over meanwhile.
    std::thread::sleep(Duration::from_millis(1200));
    daemon.resume();

    assert!(client.read_to_end().starts_with("BUSY "), "closed without an answer");
    assert!(daemon.wait_for_exit());
    assert!(server.try_accept().is_none(), "admitted by a process that exits");
}

/// A request in flight, an established client that reads nothing, one that never closes, and a second SIGTERM.
#[test]
fn answers_every_client_at_sigterm_and_exits_in_time() {
    let server = ManualServer::start();
    let (mut daemon, _discovery) = TestSettings::default().start(&[&server]);

    let (mut established, _attempt) = establish(&daemon, &server);
    let mut waiting = open_and_wait(&daemon);
    let mut attempt = server.accept();
    assert!(attempt.read_line().starts_with("OPEN "));
    let since = Instant::now();
    daemon.suspend();
    attempt.send_line("UP 2");
    daemon.signal("-TERM");
    daemon.signal("-TERM");
    daemon.resume();
    assert_eq!(established.read_to_end(), "MOVE\r\n");
    assert_eq!(waiting.read_to_end(), "UP 2\r\nMOVE\r\n");
    assert!(daemon.wait_for_exit());
    // The longest wait counts as 3 s, and SIGKILL comes 0.7 s after it; the rest is for a busy machine.
    assert!(since.elapsed() < Duration::from_secs(8), "late by {:?}", since.elapsed());
}

/// With no list and a discovery that answers nothing, and with a new configuration in the same wake-up.
#[test]
fn rejects_clients_and_exits_at_sigterm_before_it_could_serve() {
    for reloaded in [false, true] {
        let (mut daemon, discovery) = TestSettings::default().start(&[]);

        let (_, _silent) = discovery.call();
        daemon.suspend();
        let mut client = connect_and_open(&daemon, 9000);
        if reloaded {
            let config =
                TestSettings::default().config("127.0.0.1:0", discovery.address, &ready_list(1, &[]));
            daemon.reload("config.json", &config);
        }
        daemon.signal("-TERM");
        daemon.resume();

        assert!(client.read_to_end().starts_with("BUSY "));
        assert!(daemon.wait_for_exit());
    }
}

/// Its time goes on for longer than the process: elsewhere it can be served. Where clients follow no advice none is given.
#[test]
fn rejects_with_retry_after_a_request_that_outlives_the_process() {
    for (allowed, wanted) in [("true", "BUSY 400\r\n"), ("false", "BUSY\r\n")] {
        let server = ManualServer::start_with_full_queue();
        let discovery = Discovery::start();
        let config =
            TestSettings::default().config("127.0.0.1:0", discovery.address, &ready_list(1, &[&server]));
        let config = config.replace(r#""retry-after": true"#, &format!(r#""retry-after": {allowed}"#));
        let mut daemon = Daemon::start(&irc_config(&[], ""), Some(&config));

        let mut waiting = open_and_wait(&daemon);
        daemon.signal("-TERM");
        daemon.log_line("draining: ");
        let mut late = connect_and_open(&daemon, 9000);

        assert_eq!(late.read_to_end(), wanted);
        assert_eq!(waiting.read_to_end(), wanted);
        assert!(daemon.wait_for_exit());
    }
}

#[test]
fn answers_a_client_queued_at_a_replaced_listener() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let taken = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    daemon.suspend();
    let mut client = connect_and_open(&daemon, 9000);
    let config =
        TestSettings::default().config(&taken.to_string(), discovery.address, &ready_list(1, &[&server]));
    daemon.reload("config.json", &config);
    daemon.resume();
    let mut attempt = server.accept();
    assert!(attempt.read_line().starts_with("OPEN "));
    attempt.send_line("UP 1");

    assert_eq!(client.read_line(), "UP 1");
}

// ---- Hot restart ----

/// What comes in the wake-up in which another process asks for the connections is lost or doubled by neither.
#[test]
fn delivers_once_what_crosses_a_hot_restart() {
    for event in ["client's line", "server's line", "client's end", "server's reset", "SIGTERM"] {
        let server = ManualServer::start();
        let (mut daemon, _discovery) = TestSettings::default().start(&[&server]);

        let (client, attempt) = establish(&daemon, &server);
        let (mut client, mut attempt) = (Some(client), Some(attempt));
        daemon.suspend();
        match event {
            "client's line" => client.as_mut().expect("one").send_line("M 1"),
            "server's line" => attempt.as_mut().expect("one").send_line("M 2"),
            "client's end" => drop(client.take()),
            "server's reset" => reset_connection(attempt.take().expect("one").into_stream()),
            _ => daemon.signal("-TERM"),
        }
        let _successor = daemon.resume_beside_successor();
        let (mut client, mut attempt) = match (client, attempt) {
            (Some(client), Some(attempt)) => (client, attempt),
            // The other side is ended in the same way.
            (client, attempt) => {
                let mut left = client.or(attempt).expect("one");
                assert_eq!(left.read_to_end(), "", "{event}");
                continue;
            }
        };
        match event {
            "client's line" => assert_eq!(attempt.read_line(), "M 1"),
            "server's line" => assert_eq!(client.read_line(), "M 2"),
            // At SIGTERM the predecessor may migrate it, or transfer it before that.
            _ => assert!(daemon.wait_for_exit()),
        }
        let _ = attempt.stream.write_all(b"M 4\r\n");
        match &client.read_line()[..] {
            // Whichever process has it now, it goes on, and nothing came twice.
            "M 4" => {
                client.send_line("M 5");
                assert_eq!(attempt.read_line(), "M 5", "{event}");
            }
            last_line => {
                assert_eq!((last_line, event, client.read_to_end()), ("MOVE", "SIGTERM", String::new()));
                assert_eq!(attempt.read_to_end(), "");
            }
        }
    }
}

// ---- Start and list ----

/// A client that is accepted before there is a list can only be rejected.
#[test]
fn answers_ping_only_while_it_can_serve() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[]);

    let ping = || {
        let mut client = Client::connect(&daemon.platform);
        client.send_line("PING");
        client.read_line()
    };
    assert_eq!(ping(), "");
    send_endpoint_list(&discovery.call().1, &ready_list(2, &[&server]));
    let _watch = discovery.call();
    assert_eq!(ping(), "PONG");
    daemon.signal("-TERM");
    daemon.log_line("draining: ");

    assert_eq!(ping(), "");
}

/// The old discovery's answer and SIGHUP to another come in one wake-up.
#[test]
fn ignores_an_answer_of_the_old_discovery_after_a_reload() {
    let (old, new) = (ManualServer::start(), ManualServer::start());
    let (daemon, before) = TestSettings::default().start(&[&old]);

    let after = Discovery::start();
    let (_, call) = before.call();
    daemon.suspend();
    send_endpoint_list(&call, &ready_list(99, &[&old]));
    daemon.reload(
        "config.json",
        &TestSettings::default().config("127.0.0.1:0", after.address, &ready_list(1, &[&old])),
    );
    daemon.resume();
    let (asked, call) = after.call();
    assert!(asked.starts_with("GET /v1/servers HTTP"), "{asked}");
    send_endpoint_list(&call, &endpoint_list(2, true, &[nth_endpoint(1, &new, "ready")]));
    let _watch = after.call();
    let (_client, _attempt) = establish(&daemon, &new);

    assert!(old.try_accept().is_none());
}

/// Changes of an older list than the held one do not apply to it.
#[test]
fn requests_the_whole_list_when_the_generation_goes_back() {
    let (old, new) = (ManualServer::start(), ManualServer::start());
    let discovery = Discovery::start();
    let known = endpoint_list(50, true, &[nth_endpoint(0, &old, "ready")]);
    let config = TestSettings::default().config("127.0.0.1:0", discovery.address, &known);
    let daemon = Daemon::start(&irc_config(&[], ""), Some(&config));

    let (asked, call) = discovery.call();
    assert!(asked.contains("from=50&"), "{asked}");
    send_endpoint_list(&call, &endpoint_list(3, false, &[]));
    let (asked, call) = discovery.call();
    assert!(asked.starts_with("GET /v1/servers HTTP"), "{asked}");
    send_endpoint_list(&call, &endpoint_list(3, true, &[nth_endpoint(1, &new, "ready")]));
    let _watch = discovery.call();
    let (_client, _attempt) = establish(&daemon, &new);

    assert!(old.try_accept().is_none());
}

/// Where lists are pushed, what the agent has counts as known whether or not a watch is open.
#[test]
fn reopens_a_broken_watch_on_pushed_lists_within_the_grace() {
    let settings = TestSettings {
        more: r#""discovery": "pushed", "balancers": 300, "invariants": {"drain-grace": 250, "must-ask-in": 10000}"#,
        ..TestSettings::default()
    };
    let server = ManualServer::start();
    let (_daemon, discovery) = settings.start(&[&server]);

    for _ in 0..2 {
        let (_, call) = discovery.call();
        let since = Instant::now();
        reset_connection(call);
        let again = discovery.call();
        assert!(since.elapsed() < Duration::from_millis(250), "asked again after {:?}", since.elapsed());
        reset_connection(again.1);
    }
}

/// A kept connection that discovery closes as it answers costs no failure: the next call is made on a new one.
#[test]
fn retries_at_once_when_a_kept_discovery_connection_is_closed() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let mut since = Instant::now();
    for generation in 2..6 {
        let (asked, call) = discovery.call();
        assert!(since.elapsed() < Duration::from_secs(1), "asked again after {:?}", since.elapsed());
        assert!(asked.contains(&format!("from={}&", generation - 1)), "{asked}");
        daemon.suspend();
        send_endpoint_list(&call, &endpoint_list(generation, false, &[]));
        call.shutdown(Shutdown::Both).expect("closed");
        since = Instant::now();
        daemon.resume();
    }
}

/// To call twice at once is twice the load, just when discovery has too much.
#[test]
fn backs_off_after_a_503_on_a_kept_discovery_connection() {
    let server = ManualServer::start();
    let (_daemon, discovery) = TestSettings::default().start(&[&server]);

    let (_, call) = discovery.call();
    send_endpoint_list(&call, &endpoint_list(2, false, &[]));
    for _ in 0..2 {
        let (_, mut call) = discovery.call();
        let since = Instant::now();
        call.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").expect("written");
        let (_, call) = discovery.call();
        assert!(since.elapsed() >= Duration::from_millis(50), "asked again after {:?}", since.elapsed());
        send_endpoint_list(&call, &endpoint_list(2, false, &[]));
    }
}

/// A discovery that answers at once, or with what is no list, must not be called without end.
#[test]
fn does_not_call_without_end_a_discovery_that_answers_at_once() {
    let more = r#""discovery": "on_request", "invariants": {"must-ask-in": 3200}"#;
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings { more, ..TestSettings::default() }.start(&[&server]);

    for nonsense in [None, Some("{}"), Some(r#"{"generation": 9, "instances": []}"#), Some("[[")] {
        // The second of these is an answer to the call for the whole list, which the first one leads to.
        let calls: Vec<_> = (0..6)
            .map(|_| {
                let (asked, call) = discovery.call();
                let whole = !asked.contains("from=");
                send_endpoint_list(
                    &call,
                    nonsense.unwrap_or(&endpoint_list(
                        1,
                        whole,
                        &[nth_endpoint(0, &server, "ready")][..usize::from(whole)],
                    )),
                );
                Instant::now()
            })
            .collect();
        let took = calls[5].duration_since(calls[0]);

        assert!(took >= Duration::from_millis(250), "six calls in {took:?} for {nonsense:?}");
    }
    // Through all of that the list that it had stays.
    let (_client, _attempt) = establish(&daemon, &server);
}

/// A body without end is given up; the list that it had stays, and discovery is asked again.
#[test]
fn gives_up_a_discovery_answer_without_end() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let (_, mut call) = discovery.call();
    call.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("written");
    let chunk = [b"1000\r\n", &[b' '; 0x1000][..], b"\r\n"].concat();
    while call.write_all(&chunk).is_ok() {}
    let (_, call) = discovery.call();
    send_endpoint_list(&call, &endpoint_list(2, false, &[]));
    let (_client, _attempt) = establish(&daemon, &server);
}
