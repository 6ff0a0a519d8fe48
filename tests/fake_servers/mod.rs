//! Servers, clients and a discovery on loopback for tests over real sockets, and the daemon between them.
#![allow(dead_code)]

pub(crate) mod discovery;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Long enough for a busy machine; nothing here waits so long unless it fails.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(20);

/// How a fake IRC server answers a registration.
#[derive(Clone)]
pub(crate) enum Behaviour {
    /// `PING` first, and the welcome only after the right `PONG`.
    Welcome,
    /// This line, then it closes.
    Replies(&'static str),
    /// It closes without a reply.
    Closes,
    /// No reply.
    Silent,
}

/// A fake IRC server (RFC 2812): it keeps every line that it is sent.
pub(crate) struct Server {
    pub address: SocketAddr,
    pub lines: Arc<Mutex<Vec<String>>>,
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub(crate) fn start(behaviour: Behaviour) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (lines, streams) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let server = Server { address, lines: lines.clone(), streams: streams.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (behaviour, lines) = (behaviour.clone(), lines.clone());
                streams.lock().unwrap().push(stream.try_clone().expect("a clone"));
                std::thread::spawn(move || {
                    let end = stream.try_clone().expect("a clone");
                    Server::serve(stream, behaviour, &lines);
                    let _ = end.shutdown(Shutdown::Both);
                });
            }
        });
        server
    }

    fn serve(mut stream: TcpStream, behaviour: Behaviour, lines: &Mutex<Vec<String>>) {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        let (mut line, mut nick, mut welcome) = (String::new(), String::new(), false);
        while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
            let text = line.trim_end().to_owned();
            line.clear();
            lines.lock().unwrap().push(text.clone());
            let mut send = |text: &str| drop(stream.write_all(format!("{text}\r\n").as_bytes()));
            match text.split_once(' ').unwrap_or((&text, "")) {
                ("NICK", name) => nick = name.to_owned(),
                ("USER", _) => match &behaviour {
                    Behaviour::Welcome => {
                        send(":irc.test NOTICE * :*** Looking up your hostname");
                        send("PING :cookie-17");
                    }
                    Behaviour::Replies(line) => {
                        send(line);
                        return;
                    }
                    Behaviour::Closes => return,
                    Behaviour::Silent => {}
                },
                ("PONG", ":cookie-17") if !welcome => {
                    welcome = true;
                    send(&format!(":irc.test 001 {nick} :Welcome"));
                }
                ("PRIVMSG", rest) => send(&format!(":{nick}!u@h PRIVMSG {rest}")),
                ("QUIT", _) => {
                    send("ERROR :Closing Link: bye");
                    return;
                }
                _ => {}
            }
        }
    }

    /// Whether it was sent this line.
    pub(crate) fn has(&self, line: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|l| l == line)
    }

    /// Number of lines that it was sent.
    pub(crate) fn count(&self) -> usize {
        self.lines.lock().unwrap().len()
    }

    /// Sends a line over every connection.
    pub(crate) fn send_line(&self, line: &str) {
        for stream in self.streams.lock().unwrap().iter_mut() {
            let _ = stream.write_all(format!("{line}\r\n").as_bytes());
        }
    }

    /// Closes every connection.
    pub(crate) fn close_all(&self) {
        for stream in self.streams.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Waits until a condition holds.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < MAX_WAIT, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A running daemon, killed at the end of the test.
pub(crate) struct Daemon {
    child: Child,
    log: Receiver<String>,
    pub irc: String,
    pub platform: String,
    pub store: String,
    pub mgmt: String,
    pub folder: PathBuf,
}

impl Daemon {
    /// Starts a daemon with the texts of an operator's file and, if given, of a platform configuration.
    pub(crate) fn start(irc: &str, platform: Option<&str>) -> Daemon {
        Daemon::start_with(irc, platform, &[])
    }

    /// The same with more arguments.
    pub(crate) fn start_with(irc: &str, platform: Option<&str>, more: &[&str]) -> Daemon {
        static COUNT: Mutex<u32> = Mutex::new(0);
        let count = {
            let mut count = COUNT.lock().unwrap();
            *count += 1;
            *count
        };
        let folder = std::env::temp_dir().join(format!("sagemount-e2e-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("irc.json"), irc).expect("written");
        if let Some(platform) = platform {
            std::fs::write(folder.join("config.json"), platform).expect("written");
        }
        Daemon::launch(folder, more)
    }

    /// Starts a successor, with the same configuration and temporary folder.
    pub(crate) fn start_successor(&self) -> Daemon {
        Daemon::launch(self.folder.clone(), &[])
    }

    /// Starts a successor whose request this daemon sees in the same wake-up in which it is resumed.
    pub(crate) fn resume_beside_successor(&self) -> Daemon {
        let folder = self.folder.clone();
        let successor = std::thread::spawn(|| Daemon::launch(folder, &[]));
        self.resume();
        successor.join().expect("it starts")
    }

    fn launch(folder: PathBuf, more: &[&str]) -> Daemon {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        command.arg("serve").arg("--irc").arg(folder.join("irc.json")).args(more);
        let config = folder.join("config.json");
        if config.exists() {
            command.arg("--config").arg(config);
        }
        // A temporary folder of its own: a daemon that serves in the same one would be its predecessor.
        command.env("TMPDIR", &folder).env_remove("NODE_CONFIG").env_remove("NODE_MGMT");
        let mut child = command.stderr(Stdio::piped()).spawn().expect("starts");
        let reader = BufReader::new(child.stderr.take().expect("a log"));
        let (sender, log) = channel();
        std::thread::spawn(move || reader.lines().map_while(Result::ok).for_each(|l| drop(sender.send(l))));
        let mut daemon = Daemon {
            child,
            log,
            irc: String::new(),
            platform: String::new(),
            store: String::new(),
            mgmt: String::new(),
            folder,
        };
        while daemon.irc.is_empty() {
            let line = daemon.log_line("");
            let address_after = |prefix: &str| {
                let (_, rest) = line.split_once(prefix)?;
                rest.split(' ').next().map(str::to_owned)
            };
            if let Some(at) = address_after("replicates on ") {
                daemon.store = at;
            } else if let Some(at) = address_after("admin endpoint open on ") {
                daemon.mgmt = at;
            } else if let Some(at) = address_after("listens on ") {
                *if line.contains("for IRC") { &mut daemon.irc } else { &mut daemon.platform } = at;
            }
        }
        daemon
    }

    /// The next log line that contains this.
    pub(crate) fn log_line(&self, part: &str) -> String {
        loop {
            let line =
                self.log.recv_timeout(MAX_WAIT).unwrap_or_else(|_| panic!("no log line with '{part}'"));

            if line.contains(part) {
                return line;
            }
        }
    }

    /// Replaces a configuration file, `irc.json` or `config.json`, and has it read again.
    pub(crate) fn reload(&self, file: &str, text: &str) {
        std::fs::write(self.folder.join("next"), text).expect("written");
        std::fs::rename(self.folder.join("next"), self.folder.join(file)).expect("replaced");
        self.signal("-HUP");
    }

    /// The reply of its admin endpoint.
    pub(crate) fn admin_call(&self, call: &str) -> String {
        let mut admin_client = Client::connect(&self.mgmt);
        admin_client.send_line(call);
        admin_client.read_to_end()
    }

    /// Excludes a server with the command line.
    pub(crate) fn exclude(&self, server: &str) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        let output = command.args(["exclude", server, "--mgmt", &self.mgmt]).output().expect("runs");
        assert!(output.status.success(), "{output:?}");
    }

    /// Runs a command of the command line at this daemon's store.
    pub(crate) fn run_store_command(&self, arguments: &[&str]) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        let output = command.args(arguments).args(["--store", &self.store]).output().expect("runs");
        assert!(output.status.success(), "{output:?}");
    }

    /// Sends the process a signal, such as `-TERM`.
    pub(crate) fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Stops the whole process: what happens from here on waits in the system, and comes to it in one wake-up when it
    /// is resumed.
    pub(crate) fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let state = || std::fs::read_to_string(&stat).unwrap_or_default();
        wait_until("the daemon is stopped", || {
            state().rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        });
    }

    /// Resumes the process.
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    /// A metric that it reports, summed over all its classes.
    pub(crate) fn metric(&self, name: &str) -> u64 {
        let lines = self.admin_call("telemetry");
        let of = |line: &str| {
            let (key, value) = line.split_once(':')?;
            key.split('.').any(|part| part == name).then(|| value.split('|').next()?.parse::<f64>().ok())?
        };
        lines.lines().filter_map(of).sum::<f64>() as u64
    }

    /// Waits for its exit. Returns whether it reported success.
    pub(crate) fn wait_for_exit(&mut self) -> bool {
        let mut status = None;
        wait_until("the daemon exits", || {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.is_some_and(|s| s.success())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A client that sends and reads lines.
pub(crate) struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub(crate) fn connect(address: &str) -> Client {
        Client::over(TcpStream::connect(address).expect("connects"))
    }

    /// A client over a connection that is open already.
    pub(crate) fn over(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(MAX_WAIT)).expect("a socket");
        let reader = BufReader::new(stream.try_clone().expect("a clone"));
        Client { stream, reader }
    }

    /// A client that registers as `nick`.
    pub(crate) fn register(address: &str, nick: &str) -> Client {
        let mut client = Client::connect(address);
        client.send_line(&format!("NICK {nick}\r\nUSER u 0 * :A tool"));
        client
    }

    pub(crate) fn into_stream(self) -> TcpStream {
        self.stream
    }

    pub(crate) fn send_line(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\r\n").as_bytes()).expect("written");
    }

    /// The next line; empty at the end.
    pub(crate) fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(_) => line.trim_end().to_owned(),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => String::new(),
            Err(e) => panic!("no line: {e}"),
        }
    }

    /// The next line that contains this; panics if there is none.
    pub(crate) fn expect_line(&mut self, part: &str) -> String {
        loop {
            let line = self.read_line();
            assert!(!line.is_empty(), "the end came before '{part}'");
            if line.contains(part) {
                return line;
            }
        }
    }

    /// All that comes up to the end.
    pub(crate) fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        match self.reader.read_to_end(&mut bytes) {
            Err(e) if e.kind() != std::io::ErrorKind::ConnectionReset => panic!("no end: {e}"),
            _ => String::from_utf8_lossy(&bytes).into_owned(),
        }
    }
}

/// An operator's file with these servers.
pub(crate) fn irc_config(servers: &[&Server], more: &str) -> String {
    let server = |(n, server): (usize, &&Server)| {
        format!("{{\"name\": \"irc-{n}\", \"address\": \"{}\"}}", server.address)
    };
    let servers: Vec<String> = servers.iter().enumerate().map(server).collect();
    format!(
        "{{\"listen\": \"127.0.0.1:0\", \"mgmt\": \"127.0.0.1:0\", \"name\": \"front.test\", \"store\": {{\"node\": \"n1\", \
         \"listen\": \"127.0.0.1:0\"}}, \"hosts\": [{}] {more}}}",
        servers.join(", ")
    )
}

/// A server whose connections the test accepts one by one.
pub(crate) struct ManualServer {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections of the test itself, which fill the queue while no other is to be established.
    queued: Vec<TcpStream>,
}

impl ManualServer {
    pub(crate) fn start() -> ManualServer {
        ManualServer::with_queue(128)
    }

    /// A server at which no connection is established until [`ManualServer::empty_queue`].
    pub(crate) fn start_with_full_queue() -> ManualServer {
        let mut server = ManualServer::with_queue(0);
        let connect = || TcpStream::connect_timeout(&server.address, Duration::from_millis(200)).ok();
        // The queue takes one or two, by the system; one that is not taken shows that it is full.
        server.queued = std::iter::from_fn(connect).collect();
        server
    }

    fn with_queue(length: i32) -> ManualServer {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(length).expect("listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        ManualServer { address, listener, queued: Vec::new() }
    }

    /// Lets connections be established from now on.
    pub(crate) fn empty_queue(&mut self) {
        for _ in self.queued.drain(..) {
            self.listener.accept().expect("the test's own");
        }
    }

    /// The next connection.
    pub(crate) fn accept(&self) -> Client {
        let mut accepted = None;
        wait_until("a connection comes", || {
            accepted = self.try_accept();
            accepted.is_some()
        });
        accepted.expect("one")
    }

    /// The next connection, if one is there.
    pub(crate) fn try_accept(&self) -> Option<Client> {
        self.listener.set_nonblocking(true).expect("a socket");
        let accepted = self.listener.accept().ok();
        self.listener.set_nonblocking(false).expect("a socket");
        accepted.map(|(stream, _)| {
            stream.set_nonblocking(false).expect("a socket");
            Client::over(stream)
        })
    }
}

/// Resets a connection, whoever else holds a copy of its descriptor.
pub(crate) fn reset_connection(stream: TcpStream) {
    rustix::net::connect_unspec(&stream).expect("broken off");
}
