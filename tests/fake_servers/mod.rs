//! Stand-ins on loopback: an IRC server, an IRC client, and the daemon between them.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Long enough for a busy machine; nothing here waits it out unless it fails.
pub const LONG: Duration = Duration::from_secs(20);

/// How a stand-in IRC server takes a registration.
#[derive(Clone)]
pub enum Manner {
    /// `PING` first, and the welcome only after the right `PONG`.
    Welcome,
    /// This line, and the end.
    Says(&'static str),
    /// The end, without a word.
    HangsUp,
    /// Nothing at all.
    Silent,
}

/// A stand-in for a server that speaks IRC (RFC 2812): it keeps every line that it is sent.
pub struct Server {
    pub address: SocketAddr,
    pub lines: Arc<Mutex<Vec<String>>>,
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(manner: Manner) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (lines, streams) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let server = Server { address, lines: lines.clone(), streams: streams.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (manner, lines) = (manner.clone(), lines.clone());
                streams.lock().unwrap().push(stream.try_clone().expect("a clone"));
                std::thread::spawn(move || {
                    let end = stream.try_clone().expect("a clone");
                    Server::serve(stream, manner, &lines);
                    let _ = end.shutdown(Shutdown::Both);
                });
            }
        });
        server
    }

    fn serve(mut stream: TcpStream, manner: Manner, lines: &Mutex<Vec<String>>) {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        let (mut line, mut nick, mut welcome) = (String::new(), String::new(), false);
        while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
            let text = line.trim_end().to_owned();
            line.clear();
            lines.lock().unwrap().push(text.clone());
            let mut say = |text: &str| drop(stream.write_all(format!("{text}\r\n").as_bytes()));
            match text.split_once(' ').unwrap_or((&text, "")) {
                ("NICK", name) => nick = name.to_owned(),
                ("USER", _) => match &manner {
                    Manner::Welcome => {
                        say(":irc.test NOTICE * :*** Looking up your hostname");
                        say("PING :cookie-17");
                    }
                    Manner::Says(line) => {
                        say(line);
                        return;
                    }
                    Manner::HangsUp => return,
                    Manner::Silent => {}
                },
                ("PONG", ":cookie-17") if !welcome => {
                    welcome = true;
                    say(&format!(":irc.test 001 {nick} :Welcome"));
                }
                ("PRIVMSG", rest) => say(&format!(":{nick}!u@h PRIVMSG {rest}")),
                ("QUIT", _) => {
                    say("ERROR :Closing Link: bye");
                    return;
                }
                _ => {}
            }
        }
    }

    pub fn has(&self, line: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|l| l == line)
    }

    pub fn count(&self) -> usize {
        self.lines.lock().unwrap().len()
    }

    /// Says a line to everyone who is connected.
    pub fn say(&self, line: &str) {
        for stream in self.streams.lock().unwrap().iter_mut() {
            let _ = stream.write_all(format!("{line}\r\n").as_bytes());
        }
    }

    /// Ends all that is connected.
    pub fn end(&self) {
        for stream in self.streams.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Waits until something holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < LONG, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The daemon, ended with the test.
pub struct Daemon {
    child: Child,
    log: Receiver<String>,
    pub irc: String,
    pub platform: String,
    pub store: String,
    pub mgmt: String,
    pub folder: PathBuf,
}

impl Daemon {
    /// Starts it with the texts of an operator's file and, if given, of a platform configuration.
    pub fn start(irc: &str, platform: Option<&str>) -> Daemon {
        Daemon::start_with(irc, platform, &[])
    }

    /// The same with more arguments.
    pub fn start_with(irc: &str, platform: Option<&str>, more: &[&str]) -> Daemon {
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

    /// A new version beside one that serves, with the same configuration and temporary folder.
    pub fn beside(&self) -> Daemon {
        Daemon::launch(self.folder.clone(), &[])
    }

    /// The same, which this one is to hear of in the wake-up in which it goes on.
    pub fn go_on_beside_another(&self) -> Daemon {
        let folder = self.folder.clone();
        let heir = std::thread::spawn(|| Daemon::launch(folder, &[]));
        self.go_on();
        heir.join().expect("it starts")
    }

    fn launch(folder: PathBuf, more: &[&str]) -> Daemon {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        command.arg("serve").arg("--irc").arg(folder.join("irc.json")).args(more);
        let config = folder.join("config.json");
        if config.exists() {
            command.arg("--config").arg(config);
        }
        // A place of its own: another there would hand over to it.
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
            let word = |short_hash: &str| {
                let (_, rest) = line.split_once(short_hash)?;
                rest.split(' ').next().map(str::to_owned)
            };
            if let Some(at) = word("replicates on ") {
                daemon.store = at;
            } else if let Some(at) = word("admin endpoint open on ") {
                daemon.mgmt = at;
            } else if let Some(at) = word("listens on ") {
                *if line.contains("for IRC") { &mut daemon.irc } else { &mut daemon.platform } = at;
            }
        }
        daemon
    }

    /// The next log line that holds this.
    pub fn log_line(&self, part: &str) -> String {
        loop {
            let line = self.log.recv_timeout(LONG).unwrap_or_else(|_| panic!("no log line with '{part}'"));

            if line.contains(part) {
                return line;
            }
        }
    }

    /// Replaces a configuration file, `irc.json` or `config.json`, and has it read again.
    pub fn reload(&self, file: &str, text: &str) {
        std::fs::write(self.folder.join("next"), text).expect("written");
        std::fs::rename(self.folder.join("next"), self.folder.join(file)).expect("replaced");
        self.signal("-HUP");
    }

    /// What is answered at its operators' door.
    pub fn admin_call(&self, call: &str) -> String {
        let mut admin_client = Client::connect(&self.mgmt);
        admin_client.say(call);
        admin_client.rest()
    }

    pub fn exclude(&self, server: &str) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        let output = command.args(["exclude", server, "--mgmt", &self.mgmt]).output().expect("runs");
        assert!(output.status.success(), "{output:?}");
    }

    /// Runs a command at this daemon's store.
    pub fn command(&self, words: &[&str]) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        let output = command.args(words).args(["--store", &self.store]).output().expect("runs");
        assert!(output.status.success(), "{output:?}");
    }

    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Holds the whole process: what happens from here on waits in the system, and comes to it in one wake-up
    /// when it goes on.
    pub fn hold(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let state = || std::fs::read_to_string(&stat).unwrap_or_default();
        until("the daemon is held", || state().rsplit(") ").next().is_some_and(|rest| rest.starts_with('T')));
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// A figure that it reports, of all its classes together.
    pub fn figure(&self, name: &str) -> u64 {
        let lines = self.admin_call("telemetry");
        let of = |line: &str| {
            let (key, value) = line.split_once(':')?;
            key.split('.').any(|part| part == name).then(|| value.split('|').next()?.parse::<f64>().ok())?
        };
        lines.lines().filter_map(of).sum::<f64>() as u64
    }

    /// Waits for its exit, and whether that was in order.
    pub fn exited(&mut self) -> bool {
        let mut status = None;
        until("the daemon leaves", || {
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

/// A client that speaks lines.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: &str) -> Client {
        Client::over(TcpStream::connect(address).expect("connects"))
    }

    /// The same on a connection that there is already.
    pub fn over(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(LONG)).expect("a socket");
        let reader = BufReader::new(stream.try_clone().expect("a clone"));
        Client { stream, reader }
    }

    /// A client that has registered as `nick`.
    pub fn register(address: &str, nick: &str) -> Client {
        let mut client = Client::connect(address);
        client.say(&format!("NICK {nick}\r\nUSER u 0 * :A tool"));
        client
    }

    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    pub fn say(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\r\n").as_bytes()).expect("written");
    }

    /// The next line; empty at the end.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(_) => line.trim_end().to_owned(),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => String::new(),
            Err(e) => panic!("no line: {e}"),
        }
    }

    /// The next line that holds this.
    pub fn expect(&mut self, part: &str) -> String {
        loop {
            let line = self.line();
            assert!(!line.is_empty(), "the end came before '{part}'");
            if line.contains(part) {
                return line;
            }
        }
    }

    /// All that comes up to the end.
    pub fn rest(&mut self) -> String {
        let mut bytes = Vec::new();
        match self.reader.read_to_end(&mut bytes) {
            Err(e) if e.kind() != std::io::ErrorKind::ConnectionReset => panic!("no end: {e}"),
            _ => String::from_utf8_lossy(&bytes).into_owned(),
        }
    }
}

/// An operator's file with these servers.
pub fn irc_config(servers: &[&Server], more: &str) -> String {
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

/// A stand-in for a server whose every connection the test holds in its hands.
pub struct Held {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections of the test's own, which fill the queue while nothing is to come up.
    fill: Vec<TcpStream>,
}

impl Held {
    pub fn start() -> Held {
        Held::with_queue(128)
    }

    /// One at which no connection comes up until [`Held::admit`].
    pub fn full() -> Held {
        let mut held = Held::with_queue(0);
        let connect = || TcpStream::connect_timeout(&held.address, Duration::from_millis(200)).ok();
        // The queue takes one or two, by the system; one that is not taken says that it is full.
        held.fill = std::iter::from_fn(connect).collect();
        held
    }

    fn with_queue(length: i32) -> Held {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(length).expect("listens");
        let listener = TcpListener::from(socket);
        Held { address: listener.local_addr().expect("an address"), listener, fill: Vec::new() }
    }

    /// Lets connections come up from now on.
    pub fn admit(&mut self) {
        for _ in self.fill.drain(..) {
            self.listener.accept().expect("the test's own");
        }
    }

    /// The next connection.
    pub fn accept(&self) -> Client {
        let mut there = None;
        until("a connection comes", || {
            there = self.accepted();
            there.is_some()
        });
        there.expect("one")
    }

    /// The next connection, if one is there.
    pub fn accepted(&self) -> Option<Client> {
        self.listener.set_nonblocking(true).expect("a socket");
        let accepted = self.listener.accept().ok();
        self.listener.set_nonblocking(false).expect("a socket");
        accepted.map(|(stream, _)| {
            stream.set_nonblocking(false).expect("a socket");
            Client::over(stream)
        })
    }
}

/// A stand-in for discovery whose every answer the test gives.
pub struct Discovery {
    pub address: SocketAddr,
    calls: Receiver<(String, TcpStream)>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, calls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || {
                    let reader = BufReader::new(stream.try_clone().expect("a clone"));
                    for line in reader.lines().map_while(Result::ok).filter(|line| line.starts_with("GET ")) {
                        drop(sender.send((line, stream.try_clone().expect("a clone"))));
                    }
                });
            }
        });
        Discovery { address, calls }
    }

    /// The next call, which waits for [`answer`] or its end.
    pub fn call(&self) -> (String, TcpStream) {
        self.calls.recv_timeout(LONG).expect("a call")
    }
}

/// Answers a call of discovery.
pub fn answer(mut call: &TcpStream, list: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
    call.write_all((head + list).as_bytes()).expect("written");
}

/// Breaks a connection off with a reset, whoever else holds a copy of it.
pub fn reset(stream: TcpStream) {
    rustix::net::connect_unspec(&stream).expect("broken off");
}

pub fn entry(name: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId": "{name}", "hostPort": "{address}", "zone": "a", "lifecycle": "{lifecycle}", "weight": 1.0}}"#
    )
}

pub fn list(generation: u32, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"generation": {generation}, "reset": {whole}, "instances": [{}]}}"#, entries.join(","))
}
