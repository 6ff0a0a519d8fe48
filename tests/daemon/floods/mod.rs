//! Servers and clients that send at full speed for as long as the connection is open. The daemon must serve
//! all other connections in time.

mod crowd;
mod discovery;
mod fairness;
mod memory;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::fake_servers::discovery::{endpoint, endpoint_list};
use crate::fake_servers::{irc_config, Client, Daemon, ManualServer};
use crate::platform;

/// Time within which the daemon answers each admin call, whatever the load.
const ADMIN_DEADLINE: Duration = Duration::from_secs(1);
/// How long each test observes the daemon under a flood.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Number of bytes of one write of a flood.
const CHUNK_BYTES: usize = 64 << 10;
/// Size of the buffer in which the bytes of a flood are read.
const READ_BUFFER_BYTES: usize = 256 << 10;

/// Number of listed IRC servers. All have the same address.
const IRC_SERVERS: usize = 100;

/// Starts a daemon whose IRC front has one server, with further members of the operator's file.
fn start_irc_front(server: &ManualServer, more: &str) -> Daemon {
    let host = |number: usize| format!(r#"{{"name": "irc-{number}", "address": "{}"}}"#, server.address);
    let hosts = format!(r#""hosts": [{}]"#, (0..IRC_SERVERS).map(host).collect::<Vec<_>>().join(", "));
    Daemon::start(&irc_config(&[], more).replace(r#""hosts": []"#, &hosts), None)
}

/// Limits of a process, as in the configuration.
#[derive(Clone, Copy)]
struct Limits {
    sockets: u32,
    memory_mb: u64,
}

/// Smallest limits of a deployment.
const SMALLEST_LIMITS: Limits = Limits { sockets: 512, memory_mb: 16 };

impl Limits {
    fn to_json(self) -> String {
        format!(r#"{{"sockets": {}, "memory_mb": {}}}"#, self.sockets, self.memory_mb)
    }

    /// Returns a further member of an operator's file.
    fn member(self) -> String {
        format!(r#", "limits": {}"#, self.to_json())
    }

    /// Checks the largest amount of memory that the daemon has used so far.
    fn assert_kept(self, daemon: &Daemon) {
        let (peak_kb, limit_kb) = (daemon.peak_memory_kb(), self.memory_mb << 10);

        assert!(peak_kb <= limit_kb, "used {peak_kb} kB, the limit is {limit_kb} kB");
    }
}

/// Starts a daemon with a platform front that has one server.
fn start_platform_front(discovery: SocketAddr, server: &ManualServer, limits: Limits) -> Daemon {
    let list = endpoint_list(1, true, &[endpoint("s-00000001", server.address, "ready")]);
    let config = platform::config(discovery, &list).replace(platform::LIMITS, &limits.to_json());
    Daemon::start(&irc_config(&[], ""), Some(&config))
}

/// Repeats a line at full speed, in a thread that ends with the connection.
fn flood(connection: &Client, line: &str) {
    let chunk = line.repeat(CHUNK_BYTES / line.len());
    let mut stream = clone_stream(connection);
    std::thread::spawn(move || while stream.write_all(chunk.as_bytes()).is_ok() {});
}

/// Reads and discards everything at full speed, in a thread that ends with the connection.
fn discard_input(connection: &Client) {
    let mut stream = clone_stream(connection);
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    std::thread::spawn(move || while stream.read(&mut buffer).is_ok_and(|length| length > 0) {});
}

fn clone_stream(connection: &Client) -> TcpStream {
    connection.stream().try_clone().expect("the stream is cloned")
}

/// Checks for [`OBSERVATION_TIME`] that the daemon answers each admin call within [`ADMIN_DEADLINE`].
fn assert_admin_calls_are_answered_in_time(daemon: &Daemon) {
    let observed_since = Instant::now();
    while observed_since.elapsed() < OBSERVATION_TIME {
        let called_at = Instant::now();
        let answer = daemon.admin_call("readyz");
        let latency = called_at.elapsed();
        assert!(answer.starts_with("YES"), "{answer}");
        assert!(latency < ADMIN_DEADLINE, "the admin call was answered after {latency:?}");
    }
}
