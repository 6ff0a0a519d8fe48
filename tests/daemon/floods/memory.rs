//! A flood must not make the daemon exceed its memory limit, above which it would be killed.

use std::io::Write;

use super::{assert_admin_calls_are_answered_in_time, clone_stream, flood, start_irc_front, Limits};
use crate::fake_servers::{irc_config, Client, Daemon, FakeIrcServer, ManualServer, RegistrationReply};

/// Limits of the daemon in these tests.
const LIMITS: Limits = Limits { sockets: 256, memory_mb: 32 };
/// Number of unreadable lines. Their answers have several times the size of the memory limit.
const UNREADABLE_LINES: usize = 2_000_000;

/// A client that sends unreadable lines at full speed and does not read the answers. The answers once took
/// memory without a limit. When the client reads, it must get all of them, and be served again.
#[test]
fn answers_that_a_client_does_not_read_are_bounded() {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    let daemon = Daemon::start(&irc_config(&[&server], &LIMITS.member()), None);

    let mut client = Client::register(&daemon.irc_address, "bert");
    client.expect_line("001 bert");
    let lines = format!("{}PRIVMSG #a :readable\r\n", "\0\r\n".repeat(UNREADABLE_LINES));
    let mut stream = clone_stream(&client);
    std::thread::spawn(move || stream.write_all(lines.as_bytes()));
    assert_admin_calls_are_answered_in_time(&daemon);
    LIMITS.assert_kept(&daemon);

    for number in 0..UNREADABLE_LINES {
        let answer = client.read_line();
        assert!(answer.starts_with(":front.test "), "answer {number} is {answer}");
    }
    assert_eq!(client.read_line(), ":bert!u@h PRIVMSG #a :readable");
    LIMITS.assert_kept(&daemon);
}

/// A server that sends `PING` lines before its welcome without an end, and does not read the answers. The
/// answers once took memory without a limit.
#[test]
fn answers_that_a_server_does_not_read_are_bounded() {
    let server = ManualServer::start();
    let daemon = start_irc_front(&server, &LIMITS.member());

    let _client = Client::register(&daemon.irc_address, "bert");
    let server_end = server.accept();
    flood(&server_end, "PING :cookie\r\n");
    assert_admin_calls_are_answered_in_time(&daemon);

    LIMITS.assert_kept(&daemon);
}
