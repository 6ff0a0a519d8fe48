//! Fake servers and clients on loopback.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time limit of each step of a check.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a condition holds. Panics after [`STEP_TIMEOUT`].
pub(crate) fn wait_until(condition_name: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < STEP_TIMEOUT, "timed out after {STEP_TIMEOUT:?}: {condition_name}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a loopback TCP address that is free at the time of the call.
pub(crate) fn free_tcp_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port is available")
}

/// Returns a loopback UDP address that is free at the time of the call.
pub(crate) fn free_udp_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port is available")
}

/// A server for either front, which accepts each connection request and then echoes lines.
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    received_lines: Arc<AtomicUsize>,
}

impl FakeServer {
    pub(crate) fn start() -> FakeServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
        let address = listener.local_addr().expect("the listener has an address");
        let received_lines = Arc::new(AtomicUsize::new(0));
        let counter = received_lines.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counter = counter.clone();
                std::thread::spawn(move || serve(stream, &counter));
            }
        });
        FakeServer { address, received_lines }
    }

    /// Returns the number of lines received on all connections.
    pub(crate) fn received_lines(&self) -> usize {
        self.received_lines.load(Ordering::SeqCst)
    }
}

/// Answers the lines of one connection.
fn serve(mut stream: TcpStream, received_lines: &AtomicUsize) {
    let reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
    let mut nick = String::new();
    for line in reader.lines().map_while(Result::ok) {
        received_lines.fetch_add(1, Ordering::SeqCst);
        let line = line.trim_end().to_owned();
        let reply = match line.split_once(' ') {
            Some(("OPEN", _)) => "UP 1".to_owned(),
            Some(("NICK", name)) => {
                name.clone_into(&mut nick);
                continue;
            }
            Some(("USER", _)) => format!(":irc.test 001 {nick} :Welcome"),
            _ => line,
        };
        if stream.write_all(format!("{reply}\r\n").as_bytes()).is_err() {
            return;
        }
    }
}

/// A client that sends and reads lines.
pub(crate) struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub(crate) fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("the balancer accepts the connection");
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("the timeout is set");
        Client { reader: BufReader::new(stream) }
    }

    /// Requests a connection at the platform's front. Returns the client and the first line of the response.
    pub(crate) fn open(front: SocketAddr) -> (Client, String) {
        static REQUESTS: AtomicUsize = AtomicUsize::new(0);
        let mut client = Client::connect(front);
        let number = REQUESTS.fetch_add(1, Ordering::SeqCst);
        client.send_line(&format!("OPEN r{number} 7f3a c=chat,d=9000"));
        let answer = client.read_line();
        (client, answer)
    }

    /// Registers at the IRC front. Returns the client and the first line of the response.
    pub(crate) fn register(front: SocketAddr, nick: &str) -> (Client, String) {
        let mut client = Client::connect(front);
        client.send_line(&format!("NICK {nick}\r\nUSER u 0 * :A tool"));
        let answer = client.read_line();
        (client, answer)
    }

    pub(crate) fn send_line(&mut self, line: &str) {
        self.reader.get_ref().write_all(format!("{line}\r\n").as_bytes()).expect("the line is written");
    }

    /// Reads the next line without its line end. Returns an empty line at the end of the connection.
    pub(crate) fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a line arrives within the time limit");
        line.trim_end().to_owned()
    }

    /// Sends a line and asserts that the server echoes it.
    pub(crate) fn expect_echo(&mut self, line: &str) {
        self.send_line(line);
        assert_eq!(self.read_line(), line);
    }
}

/// Returns whether a new IRC client is connected to a server.
pub(crate) fn serves_irc(front: SocketAddr) -> bool {
    Client::register(front, "tia").1.contains(" 001 ")
}
