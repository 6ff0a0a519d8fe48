//! A flood must not make the daemon exceed its memory limit, above which it would be killed.

use std::io::Write;

use super::{assert_admin_calls_are_answered_in_time, clone_stream};
use crate::fake_servers::{irc_config, Client, Daemon, FakeIrcServer, RegistrationReply};

/// Memory limit of the daemon in these tests, the smallest that a deployment has.
const MEMORY_LIMIT_MB: u64 = 32;
/// Number of unreadable lines. Their answers have several times the size of the memory limit.
const UNREADABLE_LINES: usize = 2_000_000;

/// Returns the members of an operator's file that set the limits of the process.
fn limits() -> String {
    format!(r#", "limits": {{"sockets": 256, "memory_mb": {MEMORY_LIMIT_MB}}}"#)
}

fn assert_memory_is_within_limit(daemon: &Daemon) {
    let peak_mb = daemon.peak_memory_mb();
    assert!(peak_mb <= MEMORY_LIMIT_MB, "used {peak_mb} MB, the limit is {MEMORY_LIMIT_MB} MB");
}

/// A client that sends unreadable lines at full speed and does not read the answers. The answers once took
/// memory without a limit. When the client reads, it must get all of them, and be served again.
#[test]
fn answers_that_a_client_does_not_read_are_bounded() {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    let daemon = Daemon::start(&irc_config(&[&server], &limits()), None);

    let mut client = Client::register(&daemon.irc_address, "bert");
    client.expect_line("001 bert");
    let lines = format!("{}PRIVMSG #a :readable\r\n", "\0\r\n".repeat(UNREADABLE_LINES));
    let mut stream = clone_stream(&client);
    std::thread::spawn(move || stream.write_all(lines.as_bytes()));
    assert_admin_calls_are_answered_in_time(&daemon);
    assert_memory_is_within_limit(&daemon);

    for number in 0..UNREADABLE_LINES {
        let answer = client.read_line();
        assert!(answer.starts_with(":front.test "), "answer {number} is {answer}");
    }
    assert_eq!(client.read_line(), ":bert!u@h PRIVMSG #a :readable");
    assert_memory_is_within_limit(&daemon);
}
