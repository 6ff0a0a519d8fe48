//! One connection of the client, with the attempt that is out for it.

use std::future::Future;
use std::io::{self, Read};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, Instant};

use super::commands::{ConnectionCommand, TransferredConnection};
use super::driver::Driver;
use crate::protocol::pcap::{Close, ConnectionRecorder, Direction};
use crate::protocol::{Front, Step};
use crate::routing::{Answer, AttemptOutcome, ConnectionId, EstablishedConnection, Input};
use crate::Micros;

/// Bytes read at once.
const PIECE: usize = 8 << 10;
/// How long a side that was ended is waited for, so that the last lines reach it...
const LINGER: Duration = Duration::from_millis(700);
/// ...or until it has had them all and been quiet so long: its descriptor is wanted for others.
const QUIET: Duration = Duration::from_millis(100);
/// Bytes taken, for nobody, from a client that has been answered. Danger: closed over unread bytes
/// the connection is reset, which may destroy the answer; but one that sends on for ever must not be read.
const PASSED_OVER: usize = 128 << 10;

/// One end: a socket and what is still to be written to it.
struct End {
    stream: TcpStream,
    out: Vec<u8>,
    /// For a recording: what was written to it.
    sent: Option<Vec<u8>>,
    /// It sends nothing more.
    ended: bool,
    /// Nothing can be written to it any more, but what it said before may still be there to be read.
    broke: bool,
    /// It is to be sent nothing more once `out` is written, and whether that is done.
    finish: bool,
    finished: bool,
}

impl End {
    fn new(stream: TcpStream) -> End {
        let _ = stream.set_nodelay(true);
        End {
            stream,
            out: Vec::new(),
            sent: None,
            ended: false,
            broke: false,
            finish: false,
            finished: false,
        }
    }

    /// Writes what it can at once.
    fn flush(&mut self) -> io::Result<()> {
        while !self.out.is_empty() {
            match self.stream.try_write(&self.out) {
                Ok(n) => {
                    let written = self.out.drain(..n);
                    if let Some(sent) = &mut self.sent {
                        sent.extend(written);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        if self.finish && !self.finished {
            self.finished = true;
            return socket2::SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        }
        Ok(())
    }

    /// Reads what is there: None if nothing is.
    fn read(&self, piece: &mut [u8]) -> io::Result<Option<usize>> {
        match self.stream.try_read(piece) {
            Ok(n) => Ok(Some(n)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// The same, past what the runtime has heard of the socket. Danger: it hears only between two tasks, and after a
    /// stop of the whole process its timers run before it has heard anything.
    fn read_now(&self, piece: &mut [u8]) -> io::Result<Option<usize>> {
        match (&*socket2::SockRef::from(&self.stream)).read(piece) {
            Ok(n) => Ok(Some(n)),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Breaks the connection off, as the other side's was.
    fn reset(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

async fn readable(end: Option<&End>) {
    match end.filter(|end| !end.ended) {
        Some(end) => drop(end.stream.readable().await),
        None => std::future::pending().await,
    }
}

async fn writable(end: Option<&End>) {
    match end.filter(|end| !end.out.is_empty()) {
        Some(end) => drop(end.stream.writable().await),
        None => std::future::pending().await,
    }
}

/// Whether it was this machine that had nothing left to connect with: descriptors, memory or ports.
fn own_fault(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrNotAvailable, OutOfMemory};
    let (too_many, table_full) = (24, 23);
    matches!(error.kind(), AddrNotAvailable | OutOfMemory)
        || error.raw_os_error().is_some_and(|code| code == too_many || code == table_full)
}

type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

async fn connected(connecting: Option<&mut Connecting>) -> io::Result<TcpStream> {
    match connecting {
        Some(connecting) => connecting.await,
        None => std::future::pending().await,
    }
}

async fn until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

struct Connection {
    driver: Rc<Driver>,
    id: ConnectionId,
    front: Box<dyn Front>,
    client: End,
    /// An attempt on its way, with what it is to be sent first.
    connecting: Option<(Connecting, Vec<u8>)>,
    attempt: Option<End>,
    number: u32,
    /// The attempt's request is written in full.
    written: bool,
    established: bool,
    /// The reducer holds nothing of it any more: what is left to write has so long.
    over: Option<Instant>,
    /// Since then its client has sent nothing, and how much it has sent for nobody.
    quiet: Instant,
    passed_over: usize,
    /// What the server still says is for nobody.
    discard: bool,
    /// Bytes held for a side that does not read; more are not taken from the other.
    buffer: usize,
    /// It is recorded.
    tape: Option<ConnectionRecorder>,
    /// Another process goes on with it.
    successor: Option<oneshot::Sender<TransferredConnection>>,
}

/// Takes a connection in.
pub fn start(driver: &Rc<Driver>, pool: usize, stream: TcpStream, front: Box<dyn Front>) -> ConnectionId {
    let (id, orders) = driver.enter();
    let ends = stream.peer_addr().ok().zip(stream.local_addr().ok());
    let mut tape = None;
    driver.record(|at| {
        let Some((client, front)) = ends else { return Vec::new() };
        let (begun, records) = ConnectionRecorder::start(at, client, front);
        tape = Some(begun);
        records
    });
    let mut connection = Connection::new(driver, id, front, stream);
    connection.client.sent = tape.is_some().then(Vec::new);
    connection.tape = tape;
    driver.feed(Input::ClientConnected { connection: id, pool });
    connection.go(orders);
    id
}

/// Goes on with a connection that stood at another process, and with its attempt.
pub fn adopt(
    driver: &Rc<Driver>,
    pool: usize,
    [client, attempt]: [TcpStream; 2],
    front: Box<dyn Front>,
    established: EstablishedConnection,
) {
    let (id, orders) = driver.enter();
    let mut connection = Connection::new(driver, id, front, client);
    connection.attempt = Some(End::new(attempt));
    (connection.written, connection.established) = (true, true);
    driver.feed(Input::ConnectionReceived { connection: id, pool, established });
    connection.go(orders);
}

impl Connection {
    fn new(driver: &Rc<Driver>, id: ConnectionId, front: Box<dyn Front>, stream: TcpStream) -> Connection {
        Connection {
            driver: driver.clone(),
            id,
            front,
            client: End::new(stream),
            connecting: None,
            attempt: None,
            number: 0,
            written: false,
            established: false,
            over: None,
            quiet: Instant::now(),
            passed_over: 0,
            discard: false,
            buffer: driver.buffer(),
            tape: None,
            successor: None,
        }
    }

    fn go(mut self, orders: UnboundedReceiver<ConnectionCommand>) {
        tokio::task::spawn_local(async move {
            self.run(orders).await;
            let (driver, connection) = (self.driver.clone(), self.id);
            match self.successor.take() {
                Some(successor) => self.pass(successor),
                None => self.record(|tape, at| tape.record_close(at, Direction::ToClient, Close::Orderly)),
            }
            driver.leave(connection);
        });
    }

    /// Whether another process could go on with it as it is.
    fn at_rest(&self) -> bool {
        let written = |end: &End| end.out.is_empty() && !end.ended && !end.finish;
        let ends = written(&self.client) && self.attempt.as_ref().is_some_and(written);
        self.established && self.over.is_none() && ends && self.front.export_state().is_some()
    }

    fn pass(mut self, successor: oneshot::Sender<TransferredConnection>) {
        let (Some(state), Some(attempt)) = (self.front.export_state(), self.attempt) else { return };
        let goodbye = self.front.encode_answer(Answer::Migrated);
        let (Ok(client), Ok(attempt)) = (self.client.stream.into_std(), attempt.stream.into_std()) else {
            return;
        };
        // Whoever asked for it waits for nothing else.
        let _ = successor.send(TransferredConnection {
            client: client.into(),
            attempt: attempt.into(),
            state,
            goodbye,
        });
    }

    async fn run(&mut self, mut orders: UnboundedReceiver<ConnectionCommand>) {
        loop {
            self.flush();
            let attempt_over = self.attempt.as_ref().is_none_or(|attempt| attempt.finished);
            let closed = self.client.finished && self.client.ended && attempt_over;
            let end = self.over.map(|over| {
                // Danger: one that floods has more there, and closed over that it might not see its answer.
                let quiet = self.client.finished && attempt_over && self.passed_over < PASSED_OVER;
                if quiet {
                    over.min(self.quiet + QUIET)
                } else {
                    over
                }
            });
            if end.is_some_and(|end| closed || Instant::now() >= end) || self.successor.is_some() {
                return;
            }
            let attempt_held =
                self.attempt.as_ref().map_or(0, |attempt| attempt.out.len()) + self.front.buffered_bytes();
            // One that waits is heard whatever it sends: its front ends it when that is too much.
            let room = attempt_held < self.buffer || !self.established;
            let from_client = room && self.passed_over < PASSED_OVER;
            let from_attempt = self.client.out.len() < self.buffer;
            tokio::select! {
                biased;
                order = orders.recv() => match order {
                    Some(order) => self.obey(order),
                    None => return,
                },
                stream = connected(self.connecting.as_mut().map(|(connecting, _)| connecting)) => {
                    self.connected(stream)
                }
                () = writable(Some(&self.client)) => {}
                () = writable(self.attempt.as_ref()) => {}
                () = readable(self.attempt.as_ref()), if from_attempt => self.read_attempt(),
                () = readable(Some(&self.client)), if from_client => drop(self.read_client(End::read)),
                () = until(end) => {}
            }
        }
    }

    fn record(&mut self, records: impl FnOnce(&mut ConnectionRecorder, Micros) -> Vec<u8>) {
        if let Some(tape) = &mut self.tape {
            self.driver.record(|at| records(tape, at));
        }
    }

    fn obey(&mut self, order: ConnectionCommand) {
        match order {
            ConnectionCommand::Drop => self.over = Some(Instant::now()),
            ConnectionCommand::Pass(successor) if self.at_rest() => self.successor = Some(successor),
            // Dropped, it says that this is no moment for it.
            ConnectionCommand::Pass(_) => {}
            _ if self.over.is_some() => {}
            ConnectionCommand::OpenAttempt { attempt, address, wait } => {
                self.close_attempt();
                self.number = attempt;
                let request = self.front.open_attempt(wait);
                let connect = async move { TcpStream::connect(address).await };
                self.connecting = Some((Box::pin(connect), request));
            }
            ConnectionCommand::CloseAttempt => self.close_attempt(),
            ConnectionCommand::Hear => {
                self.hear_client();
                self.driver.feed(Input::HandshakeTimedOut { connection: self.id });
            }
            ConnectionCommand::Answer(answer) => {
                let words = self.front.encode_answer(answer);
                self.client.out.extend_from_slice(&words);
                self.discard = true;
                self.finish();
                if words.is_empty() && answer == Answer::HandshakeTimedOut {
                    self.over = Some(Instant::now());
                }
            }
        }
    }

    fn close_attempt(&mut self) {
        self.connecting = None;
        self.attempt = None;
        self.written = false;
    }

    /// Ends both sides once what is left is written.
    fn finish(&mut self) {
        self.client.finish = true;
        self.connecting = None;
        if !self.written {
            // Danger: a request that is not written yet must not reach its server any more.
            self.attempt = None;
        }
        if let Some(attempt) = &mut self.attempt {
            attempt.finish = true;
        }
        self.quiet = Instant::now();
        self.over.get_or_insert(self.quiet + LINGER);
    }

    fn connected(&mut self, stream: io::Result<TcpStream>) {
        let Some((_, request)) = self.connecting.take() else { return };
        match stream {
            Ok(stream) => {
                let mut end = End::new(stream);
                end.out = request;
                self.attempt = Some(end);
                self.written = false;
            }
            Err(error) if own_fault(&error) => self.on_attempt_ended(AttemptOutcome::OutOfSockets),
            Err(_) => self.on_attempt_ended(AttemptOutcome::ConnectFailed),
        }
    }

    /// Takes in all that the client has sent by now, while it is still owed an answer.
    fn hear_client(&mut self) {
        while self.over.is_none() && !self.established && self.read_client(End::read_now) {}
    }

    /// Writes what can be written.
    fn flush(&mut self) {
        if self.attempt.is_some() && !self.written {
            // Danger: the end of its client may have come with the connection; then it is for nobody.
            self.hear_client();
            // Danger: it may be heard of before the timer that gives it up is; then it is too late to write it.
            if self.driver.overdue(self.id) {
                self.attempt = None;
            }
        }
        if let Some(attempt) = &mut self.attempt {
            if attempt.flush().is_err() {
                if !self.written {
                    return self.attempt_broke(true);
                }
                // Danger: its last lines may be there to be read; they are delivered, and then it is over.
                attempt.out.clear();
                (attempt.broke, attempt.finished) = (true, true);
            }
            if !self.written && attempt.out.is_empty() {
                self.written = true;
                self.driver.feed(Input::RequestForwarded { connection: self.id, attempt: self.number });
            }
        }
        let flushed = self.client.flush();
        if let Some(sent) = self.client.sent.as_mut().filter(|sent| !sent.is_empty()) {
            let sent = std::mem::take(sent);
            self.record(|tape, at| tape.record_data(at, Direction::ToClient, &sent));
        }
        if self.client.finished {
            self.record(|tape, at| tape.record_close(at, Direction::ToClient, Close::Orderly));
        }
        if flushed.is_err() {
            self.client_broke();
        }
    }

    /// Whether there was anything.
    fn read_client(&mut self, read: fn(&End, &mut [u8]) -> io::Result<Option<usize>>) -> bool {
        let mut piece = [0; PIECE];
        match read(&self.client, &mut piece) {
            Ok(None) => return false,
            Ok(Some(0)) => self.client_ended(),
            Ok(Some(n)) if self.over.is_some() => {
                self.quiet = Instant::now();
                self.passed_over += n;
            }
            Ok(Some(n)) => {
                self.record(|tape, at| tape.record_data(at, Direction::FromClient, &piece[..n]));
                let mut steps = Vec::new();
                self.front.client_sent(&piece[..n], &mut steps);
                self.take(steps);
            }
            Err(_) => self.client_broke(),
        }
        true
    }

    /// The client sends nothing more: it has left, and the server is ended in the same way.
    fn client_ended(&mut self) {
        self.client.ended = true;
        self.record(|tape, at| tape.record_close(at, Direction::FromClient, Close::Orderly));
        if self.over.is_none() {
            match self.attempt.as_mut().filter(|_| self.established) {
                // It may still read: what its server says to the end goes to it, for a while.
                Some(attempt) => {
                    attempt.finish = true;
                    self.over = Some(Instant::now() + LINGER);
                }
                None => self.finish(),
            }
            self.driver.feed(Input::ClientDisconnected { connection: self.id });
        }
    }

    fn client_broke(&mut self) {
        self.client.ended = true;
        self.record(|tape, at| tape.record_close(at, Direction::FromClient, Close::Reset));
        if let Some(attempt) = self.attempt.take().filter(|_| self.established && !self.client.finish) {
            attempt.reset();
        }
        if self.over.is_none() {
            self.driver.feed(Input::ClientDisconnected { connection: self.id });
        }
        self.over = Some(Instant::now());
    }

    fn read_attempt(&mut self) {
        let mut piece = [0; PIECE];
        let Some(attempt) = &self.attempt else { return };
        match attempt.read(&mut piece) {
            Ok(None) => {}
            Ok(Some(0)) => self.attempt_broke(attempt.broke),
            Ok(Some(_)) if self.discard => {}
            Ok(Some(n)) => {
                if self.established && self.over.is_none() {
                    self.driver.feed(Input::ServerActivity { connection: self.id });
                }
                let mut steps = Vec::new();
                self.front.server_sent(&piece[..n], &mut steps);
                self.take(steps);
            }
            Err(_) => self.attempt_broke(true),
        }
    }

    /// The server ended its side, or its connection broke.
    fn attempt_broke(&mut self, broken: bool) {
        let Some(attempt) = &mut self.attempt else { return };
        attempt.ended = true;
        if self.over.is_some() {
            self.attempt = None;
            let rest = self.front.take_partial_line();
            self.client.out.extend_from_slice(if self.discard { &[] } else { &rest });
            self.client.finish = true;
            return;
        }
        if !self.established {
            let end =
                if self.written { self.front.server_ended(broken) } else { AttemptOutcome::ConnectFailed };
            return self.on_attempt_ended(end);
        }
        let end = self.front.server_ended(broken);
        let rest = self.front.take_partial_line();
        self.client.out.extend_from_slice(&rest);
        if broken {
            // What was read before the break still goes out.
            let _ = self.client.flush();
            self.client.reset();
            self.client.ended = true;
            self.record(|tape, at| tape.record_close(at, Direction::ToClient, Close::Reset));
        }
        self.attempt = None;
        self.finish();
        if broken {
            self.over = Some(Instant::now());
        }
        self.driver.feed(Input::AttemptEnded { connection: self.id, attempt: self.number, end });
    }

    /// An attempt came to nothing before its connection stood.
    fn on_attempt_ended(&mut self, end: AttemptOutcome) {
        self.close_attempt();
        if end == AttemptOutcome::VerdictForwarded {
            self.finish();
        }
        self.driver.feed(Input::AttemptEnded { connection: self.id, attempt: self.number, end });
    }

    fn take(&mut self, steps: Vec<Step>) {
        let connection = self.id;
        for step in steps {
            match step {
                Step::ToClient(bytes) => self.client.out.extend_from_slice(&bytes),
                Step::ToServer(bytes) => {
                    if let Some(attempt) = &mut self.attempt {
                        attempt.out.extend_from_slice(&bytes);
                    }
                    if self.established {
                        self.driver.feed(Input::LineForwarded { connection });
                    }
                }
                _ if self.over.is_some() => {}
                Step::Ping(pong) if self.driver.serves() => self.client.out.extend_from_slice(&pong),
                // Taken in by whoever asks, it could only refuse.
                Step::Ping(_) => {
                    self.finish();
                    self.driver.feed(Input::ClientDisconnected { connection });
                }
                Step::ConnectionRequested(ask) => {
                    self.driver.feed(Input::ConnectionRequested { connection, request: ask })
                }
                Step::Up => {
                    self.established = true;
                    self.driver.feed(Input::AttemptAccepted { connection, attempt: self.number });
                }
                Step::Load(load) => self.driver.feed(Input::LoadReported { connection, load }),
                Step::AttemptEnded(end) => self.on_attempt_ended(end),
                Step::Close => {
                    self.discard = true;
                    self.finish();
                    self.driver.feed(Input::ClientDisconnected { connection });
                }
            }
        }
    }
}
