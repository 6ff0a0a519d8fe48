//! One connection of the acquirer side, with the leg that is out for it.

use std::future::Future;
use std::io::{self, Read};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, Instant};

use super::commands::{Order, Passed};
use super::driver::Hub;
use crate::protocol::pcap::{Close, Tape, Way};
use crate::protocol::{Front, Step};
use crate::routing::{Answer, AuthId, Input, LegEnd, Standing};
use crate::Micros;

/// Bytes read at once.
const PIECE: usize = 8 << 10;
/// How long a side that was ended is waited for, so that the last lines reach it...
const LINGER: Duration = Duration::from_millis(700);
/// ...or until it has had them all and been quiet so long: its descriptor is wanted for others.
const QUIET: Duration = Duration::from_millis(100);
/// Bytes taken, for nobody, from an acquirer side that has been answered. Danger: closed over unread bytes
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
    hub: Rc<Hub>,
    auth: AuthId,
    front: Box<dyn Front>,
    acquirer: End,
    /// A leg on its way, with what it is to be sent first.
    connecting: Option<(Connecting, Vec<u8>)>,
    leg: Option<End>,
    number: u32,
    /// The leg's request is written in full.
    written: bool,
    standing: bool,
    /// The reducer holds nothing of it any more: what is left to write has so long.
    over: Option<Instant>,
    /// Since then its acquirer side has sent nothing, and how much it has sent for nobody.
    quiet: Instant,
    passed_over: usize,
    /// What the issuer host still says is for nobody.
    discard: bool,
    /// Bytes held for a side that does not read; more are not taken from the other.
    buffer: usize,
    /// It is recorded.
    tape: Option<Tape>,
    /// Another process goes on with it.
    heir: Option<oneshot::Sender<Passed>>,
}

/// Takes a connection in.
pub fn start(hub: &Rc<Hub>, pool: usize, stream: TcpStream, front: Box<dyn Front>) -> AuthId {
    let (auth, orders) = hub.enter();
    let ends = stream.peer_addr().ok().zip(stream.local_addr().ok());
    let mut tape = None;
    hub.record(|at| {
        let Some((acquirer, front)) = ends else { return Vec::new() };
        let (begun, records) = Tape::start(at, acquirer, front);
        tape = Some(begun);
        records
    });
    let mut connection = Connection::new(hub, auth, front, stream);
    connection.acquirer.sent = tape.is_some().then(Vec::new);
    connection.tape = tape;
    hub.feed(Input::Met { auth, pool });
    connection.go(orders);
    auth
}

/// Goes on with a connection that stood at another process, and with its leg.
pub fn adopt(
    hub: &Rc<Hub>,
    pool: usize,
    [acquirer, leg]: [TcpStream; 2],
    front: Box<dyn Front>,
    standing: Standing,
) {
    let (auth, orders) = hub.enter();
    let mut connection = Connection::new(hub, auth, front, acquirer);
    connection.leg = Some(End::new(leg));
    (connection.written, connection.standing) = (true, true);
    hub.feed(Input::Adopted { auth, pool, standing });
    connection.go(orders);
}

impl Connection {
    fn new(hub: &Rc<Hub>, auth: AuthId, front: Box<dyn Front>, stream: TcpStream) -> Connection {
        Connection {
            hub: hub.clone(),
            auth,
            front,
            acquirer: End::new(stream),
            connecting: None,
            leg: None,
            number: 0,
            written: false,
            standing: false,
            over: None,
            quiet: Instant::now(),
            passed_over: 0,
            discard: false,
            buffer: hub.buffer(),
            tape: None,
            heir: None,
        }
    }

    fn go(mut self, orders: UnboundedReceiver<Order>) {
        tokio::task::spawn_local(async move {
            self.run(orders).await;
            let (hub, auth) = (self.hub.clone(), self.auth);
            match self.heir.take() {
                Some(heir) => self.pass(heir),
                None => self.record(|tape, at| tape.close(at, Way::ToAcquirer, Close::InOrder)),
            }
            hub.leave(auth);
        });
    }

    /// Whether another process could go on with it as it is.
    fn at_rest(&self) -> bool {
        let written = |end: &End| end.out.is_empty() && !end.ended && !end.finish;
        let ends = written(&self.acquirer) && self.leg.as_ref().is_some_and(written);
        self.standing && self.over.is_none() && ends && self.front.at_rest().is_some()
    }

    fn pass(mut self, heir: oneshot::Sender<Passed>) {
        let (Some(state), Some(leg)) = (self.front.at_rest(), self.leg) else { return };
        let goodbye = self.front.answer(Answer::Moved);
        let (Ok(acquirer), Ok(leg)) = (self.acquirer.stream.into_std(), leg.stream.into_std()) else {
            return;
        };
        // Whoever asked for it waits for nothing else.
        let _ = heir.send(Passed { acquirer: acquirer.into(), leg: leg.into(), state, goodbye });
    }

    async fn run(&mut self, mut orders: UnboundedReceiver<Order>) {
        loop {
            self.flush();
            let leg_over = self.leg.as_ref().is_none_or(|leg| leg.finished);
            let closed = self.acquirer.finished && self.acquirer.ended && leg_over;
            let end = self.over.map(|over| {
                // Danger: one that floods has more there, and closed over that it might not see its answer.
                let quiet = self.acquirer.finished && leg_over && self.passed_over < PASSED_OVER;
                if quiet {
                    over.min(self.quiet + QUIET)
                } else {
                    over
                }
            });
            if end.is_some_and(|end| closed || Instant::now() >= end) || self.heir.is_some() {
                return;
            }
            let leg_held = self.leg.as_ref().map_or(0, |leg| leg.out.len()) + self.front.waiting();
            // One that waits is heard whatever it sends: its front ends it when that is too much.
            let room = leg_held < self.buffer || !self.standing;
            let from_acquirer = room && self.passed_over < PASSED_OVER;
            let from_leg = self.acquirer.out.len() < self.buffer;
            tokio::select! {
                biased;
                order = orders.recv() => match order {
                    Some(order) => self.obey(order),
                    None => return,
                },
                stream = connected(self.connecting.as_mut().map(|(connecting, _)| connecting)) => {
                    self.connected(stream)
                }
                () = writable(Some(&self.acquirer)) => {}
                () = writable(self.leg.as_ref()) => {}
                () = readable(self.leg.as_ref()), if from_leg => self.read_leg(),
                () = readable(Some(&self.acquirer)), if from_acquirer => drop(self.read_acquirer(End::read)),
                () = until(end) => {}
            }
        }
    }

    fn record(&mut self, records: impl FnOnce(&mut Tape, Micros) -> Vec<u8>) {
        if let Some(tape) = &mut self.tape {
            self.hub.record(|at| records(tape, at));
        }
    }

    fn obey(&mut self, order: Order) {
        match order {
            Order::Drop => self.over = Some(Instant::now()),
            Order::Pass(heir) if self.at_rest() => self.heir = Some(heir),
            // Dropped, it says that this is no moment for it.
            Order::Pass(_) => {}
            _ if self.over.is_some() => {}
            Order::OpenLeg { leg, address, wait } => {
                self.close_leg();
                self.number = leg;
                let request = self.front.open_leg(wait);
                let connect = async move { TcpStream::connect(address).await };
                self.connecting = Some((Box::pin(connect), request));
            }
            Order::CloseLeg => self.close_leg(),
            Order::Hear => {
                self.hear_acquirer();
                self.hub.feed(Input::Unasked { auth: self.auth });
            }
            Order::Answer(answer) => {
                let words = self.front.answer(answer);
                self.acquirer.out.extend_from_slice(&words);
                self.discard = true;
                self.finish();
                if words.is_empty() && answer == Answer::Late {
                    self.over = Some(Instant::now());
                }
            }
        }
    }

    fn close_leg(&mut self) {
        self.connecting = None;
        self.leg = None;
        self.written = false;
    }

    /// Ends both sides once what is left is written.
    fn finish(&mut self) {
        self.acquirer.finish = true;
        self.connecting = None;
        if !self.written {
            // Danger: a request that is not written yet must not reach its host any more.
            self.leg = None;
        }
        if let Some(leg) = &mut self.leg {
            leg.finish = true;
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
                self.leg = Some(end);
                self.written = false;
            }
            Err(error) if own_fault(&error) => self.leg_ended(LegEnd::NoSocket),
            Err(_) => self.leg_ended(LegEnd::NoConnection),
        }
    }

    /// Takes in all that the acquirer side has sent by now, while it is still owed an answer.
    fn hear_acquirer(&mut self) {
        while self.over.is_none() && !self.standing && self.read_acquirer(End::read_now) {}
    }

    /// Writes what can be written.
    fn flush(&mut self) {
        if self.leg.is_some() && !self.written {
            // Danger: the end of its client may have come with the connection; then it is for nobody.
            self.hear_acquirer();
            // Danger: it may be heard of before the timer that gives it up is; then it is too late to write it.
            if self.hub.overdue(self.auth) {
                self.leg = None;
            }
        }
        if let Some(leg) = &mut self.leg {
            if leg.flush().is_err() {
                if !self.written {
                    return self.leg_broke(true);
                }
                // Danger: its last lines may be there to be read; they are delivered, and then it is over.
                leg.out.clear();
                (leg.broke, leg.finished) = (true, true);
            }
            if !self.written && leg.out.is_empty() {
                self.written = true;
                self.hub.feed(Input::LegWritten { auth: self.auth, leg: self.number });
            }
        }
        let flushed = self.acquirer.flush();
        if let Some(sent) = self.acquirer.sent.as_mut().filter(|sent| !sent.is_empty()) {
            let sent = std::mem::take(sent);
            self.record(|tape, at| tape.data(at, Way::ToAcquirer, &sent));
        }
        if self.acquirer.finished {
            self.record(|tape, at| tape.close(at, Way::ToAcquirer, Close::InOrder));
        }
        if flushed.is_err() {
            self.acquirer_broke();
        }
    }

    /// Whether there was anything.
    fn read_acquirer(&mut self, read: fn(&End, &mut [u8]) -> io::Result<Option<usize>>) -> bool {
        let mut piece = [0; PIECE];
        match read(&self.acquirer, &mut piece) {
            Ok(None) => return false,
            Ok(Some(0)) => self.acquirer_ended(),
            Ok(Some(n)) if self.over.is_some() => {
                self.quiet = Instant::now();
                self.passed_over += n;
            }
            Ok(Some(n)) => {
                self.record(|tape, at| tape.data(at, Way::FromAcquirer, &piece[..n]));
                let mut steps = Vec::new();
                self.front.acquirer_sent(&piece[..n], &mut steps);
                self.take(steps);
            }
            Err(_) => self.acquirer_broke(),
        }
        true
    }

    /// The acquirer side sends nothing more: it has left, and the issuer host is ended in the same way.
    fn acquirer_ended(&mut self) {
        self.acquirer.ended = true;
        self.record(|tape, at| tape.close(at, Way::FromAcquirer, Close::InOrder));
        if self.over.is_none() {
            match self.leg.as_mut().filter(|_| self.standing) {
                // It may still read: what its host says to the end goes to it, for a while.
                Some(leg) => {
                    leg.finish = true;
                    self.over = Some(Instant::now() + LINGER);
                }
                None => self.finish(),
            }
            self.hub.feed(Input::Left { auth: self.auth });
        }
    }

    fn acquirer_broke(&mut self) {
        self.acquirer.ended = true;
        self.record(|tape, at| tape.close(at, Way::FromAcquirer, Close::Broken));
        if let Some(leg) = self.leg.take().filter(|_| self.standing && !self.acquirer.finish) {
            leg.reset();
        }
        if self.over.is_none() {
            self.hub.feed(Input::Left { auth: self.auth });
        }
        self.over = Some(Instant::now());
    }

    fn read_leg(&mut self) {
        let mut piece = [0; PIECE];
        let Some(leg) = &self.leg else { return };
        match leg.read(&mut piece) {
            Ok(None) => {}
            Ok(Some(0)) => self.leg_broke(leg.broke),
            Ok(Some(_)) if self.discard => {}
            Ok(Some(n)) => {
                if self.standing && self.over.is_none() {
                    self.hub.feed(Input::Heard { auth: self.auth });
                }
                let mut steps = Vec::new();
                self.front.issuer_sent(&piece[..n], &mut steps);
                self.take(steps);
            }
            Err(_) => self.leg_broke(true),
        }
    }

    /// The issuer host ended its side, or its connection broke.
    fn leg_broke(&mut self, broken: bool) {
        let Some(leg) = &mut self.leg else { return };
        leg.ended = true;
        if self.over.is_some() {
            self.leg = None;
            let rest = self.front.held_back();
            self.acquirer.out.extend_from_slice(if self.discard { &[] } else { &rest });
            self.acquirer.finish = true;
            return;
        }
        if !self.standing {
            let end = if self.written { self.front.issuer_ended(broken) } else { LegEnd::NoConnection };
            return self.leg_ended(end);
        }
        let end = self.front.issuer_ended(broken);
        let rest = self.front.held_back();
        self.acquirer.out.extend_from_slice(&rest);
        if broken {
            // What was read before the break still goes out.
            let _ = self.acquirer.flush();
            self.acquirer.reset();
            self.acquirer.ended = true;
            self.record(|tape, at| tape.close(at, Way::ToAcquirer, Close::Broken));
        }
        self.leg = None;
        self.finish();
        if broken {
            self.over = Some(Instant::now());
        }
        self.hub.feed(Input::LegEnded { auth: self.auth, leg: self.number, end });
    }

    /// A leg came to nothing before its connection stood.
    fn leg_ended(&mut self, end: LegEnd) {
        self.close_leg();
        if end == LegEnd::Verdict {
            self.finish();
        }
        self.hub.feed(Input::LegEnded { auth: self.auth, leg: self.number, end });
    }

    fn take(&mut self, steps: Vec<Step>) {
        let auth = self.auth;
        for step in steps {
            match step {
                Step::ToAcquirer(bytes) => self.acquirer.out.extend_from_slice(&bytes),
                Step::ToIssuer(bytes) => {
                    if let Some(leg) = &mut self.leg {
                        leg.out.extend_from_slice(&bytes);
                    }
                    if self.standing {
                        self.hub.feed(Input::Asked { auth });
                    }
                }
                _ if self.over.is_some() => {}
                Step::Ping(pong) if self.hub.serves() => self.acquirer.out.extend_from_slice(&pong),
                // Taken in by whoever asks, it could only refuse.
                Step::Ping(_) => {
                    self.finish();
                    self.hub.feed(Input::Left { auth });
                }
                Step::Authorise(ask) => self.hub.feed(Input::Authorise { auth, ask }),
                Step::Up => {
                    self.standing = true;
                    self.hub.feed(Input::LegUp { auth, leg: self.number });
                }
                Step::Load(load) => self.hub.feed(Input::Load { auth, load }),
                Step::LegEnded(end) => self.leg_ended(end),
                Step::Close => {
                    self.discard = true;
                    self.finish();
                    self.hub.feed(Input::Left { auth });
                }
            }
        }
    }
}
