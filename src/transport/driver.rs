//! Where connections, watches and timers meet the reducer.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch as watch_channel, Notify};

use super::commands::{ConnectionCommand, Outgoing, Probe, WatchOrder};
use super::excluded_servers;
use super::files::Files;
use super::record::Recorder;
use crate::program::config::PeersAt;
use crate::protocol::{gossip, peers, Front};
use crate::routing::store::ReplicaMessage;
use crate::routing::{
    reduce, AdminClientId, AdminRejection, AdminResponse, Answer, AttemptOutcome, ConnectionId, Effect,
    HandoverState, Input, State,
};
use crate::{Micros, Time};

/// What was seen of a connection, for replays.
#[derive(Clone, Debug)]
pub enum Seen {
    /// It came to stand, so long after it was met, on this attempt.
    Served(Micros, u32),
    /// A server's verdict was passed on.
    Verdict,
    /// It had this answer, so long after it was met.
    Answered(Micros, Answer),
    /// The client left.
    Left,
    /// Its server ended it.
    Ended,
}

impl std::fmt::Display for Seen {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ms = |time: &Micros| *time as f64 / 1000.0;
        match self {
            Seen::Served(after, attempt) => {
                write!(f, "served after {:.1} ms on leg {}", ms(after), attempt + 1)
            }
            Seen::Verdict => write!(f, "turned away by its host's own verdict"),
            Seen::Answered(after, Answer::Rejected(wait)) => {
                write!(f, "refused after {:.1} ms, to come again in {:.0} ms", ms(after), ms(wait))
            }
            Seen::Answered(after, Answer::Failed) => write!(f, "failed after {:.1} ms", ms(after)),
            Seen::Answered(_, Answer::HandshakeTimedOut) => write!(f, "too late to ask"),
            Seen::Answered(_, Answer::Migrated) => write!(f, "moved"),
            Seen::Left => write!(f, "left"),
            Seen::Ended => write!(f, "ended by its host"),
        }
    }
}

/// Makes the connections of a front.
pub type ConnectionFactory = Rc<dyn Fn() -> Box<dyn Front>>;

/// A front: its pool, what makes its connections, and where they come in.
pub struct FrontAt {
    pub pool: usize,
    pub factory: ConnectionFactory,
    pub listener: Rc<TcpListener>,
}

type Observed = HashMap<ConnectionId, Vec<Seen>>;

/// The reducer's state and those who carry out its effects.
pub struct Driver {
    state: RefCell<State>,
    /// The system's clock at the start, and the steady one that goes on from there.
    origin: (Micros, Instant),
    /// Danger: a bounded channel could be full when an order comes; the reducer gives each connection at
    /// most two orders an attempt and one answer, so these stay short by themselves.
    connections: RefCell<HashMap<ConnectionId, mpsc::UnboundedSender<ConnectionCommand>>>,
    datagrams: RefCell<Option<Rc<UdpSocket>>>,
    /// Where the other balancers of the tier are heard, and where all of them hear.
    peers: RefCell<Option<(Rc<UdpSocket>, SocketAddr)>>,
    files: RefCell<Option<Files>>,
    /// For replays: what is seen, and when each connection was met.
    pub(super) observed: RefCell<Option<Observed>>,
    met: RefCell<HashMap<ConnectionId, Time>>,
    pub(super) recorder: RefCell<Option<Recorder>>,
    /// Danger: as with connections, a bounded channel could be full; the reducer asks once for each failure.
    watches: RefCell<Option<mpsc::UnboundedSender<WatchOrder>>>,
    /// Where probes are ordered; the reducer has only so many out.
    probes: RefCell<Option<mpsc::UnboundedSender<Probe>>>,
    /// Whether the fronts may accept.
    accepting: watch_channel::Sender<bool>,
    next: Cell<u64>,
    /// Operators who wait for their answers.
    callers: RefCell<HashMap<AdminClientId, oneshot::Sender<AdminResponse>>>,
    /// The fronts, by name.
    fronts: RefCell<BTreeMap<&'static str, FrontAt>>,
    /// Where the process that takes this one's place asks, what is left to it, and what is for the other
    /// process while there is one.
    place: RefCell<Option<PathBuf>>,
    handover_state: RefCell<HandoverState>,
    outbox: RefCell<Option<mpsc::UnboundedSender<Outgoing>>>,
    exit: mpsc::UnboundedSender<()>,
    timer: Notify,
}

impl Driver {
    /// A hub, and what tells that the balancer may go.
    pub fn new(state: impl FnOnce(Time) -> State) -> (Rc<Driver>, mpsc::UnboundedReceiver<()>) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let origin = (since.as_micros() as Micros, Instant::now());
        let (exit, exited) = mpsc::unbounded_channel();
        let driver = Driver {
            state: RefCell::new(state(Time(origin.0))),
            origin,
            connections: RefCell::default(),
            datagrams: RefCell::default(),
            peers: RefCell::default(),
            files: RefCell::default(),
            observed: RefCell::default(),
            met: RefCell::default(),
            recorder: RefCell::default(),
            watches: RefCell::default(),
            probes: RefCell::default(),
            accepting: watch_channel::Sender::new(true),
            next: Cell::new(0),
            callers: RefCell::default(),
            fronts: RefCell::default(),
            place: RefCell::default(),
            handover_state: RefCell::default(),
            outbox: RefCell::default(),
            exit,
            timer: Notify::new(),
        };
        (Rc::new(driver), exited)
    }

    /// The time, which all machines share and which never runs backwards here.
    pub fn now(&self) -> Time {
        Time(self.origin.0 + self.origin.1.elapsed().as_micros() as Micros)
    }

    /// Hands an input to the reducer and sends its effects on their way.
    pub fn feed(self: &Rc<Self>, input: Input) {
        self.notice_input(&input);
        let (effects, changed) = {
            let mut state = self.state.borrow_mut();
            let before = state.next_due();
            let effects = reduce(&mut state, self.now(), input);
            (effects, state.next_due() != before)
        };
        for effect in effects {
            if let Effect::Answer { connection, answer } = &effect {
                self.notice(*connection, |after| Seen::Answered(after, *answer));
            }
            match effect {
                Effect::OpenAttempt { connection, attempt, address, wait } => {
                    self.order(connection, ConnectionCommand::OpenAttempt { attempt, address, wait })
                }
                Effect::CloseAttempt { connection } => {
                    self.order(connection, ConnectionCommand::CloseAttempt)
                }
                Effect::AbortConnection { connection } => self.order(connection, ConnectionCommand::Drop),
                Effect::CheckHandshake { connection } => self.order(connection, ConnectionCommand::Hear),
                Effect::SetAccepting { open } => drop(self.accepting.send_replace(open)),
                Effect::Answer { connection, answer } => {
                    self.order(connection, ConnectionCommand::Answer(answer))
                }
                Effect::BroadcastGossip(message) => {
                    if let Some((socket, all)) = self.peers.borrow().as_ref() {
                        // Words may be lost on the way, so they may be lost here.
                        let _ = socket.try_send_to(&peers::encode(message), *all);
                    }
                }
                Effect::ProbeServer { pool, server, address, names, wait } => {
                    let wait = Duration::from_micros(wait);
                    self.probe(Probe { pool, server, address, names, wait });
                }
                Effect::WatchEndpoints { pool } => self.watch(WatchOrder::Again { pool }),
                Effect::WatchEndpointsAt { pool, discovery } => {
                    self.watch(WatchOrder::At { pool, discovery, generation: None })
                }
                Effect::SendReplicaMessage((to, gossip)) => self.tell(to, &gossip),
                Effect::PersistEntry { key, entry } => {
                    if let Some(files) = self.files.borrow_mut().as_mut() {
                        files.keep(&key, &entry);
                    }
                }
                Effect::ExportState(handover_state) => {
                    *self.handover_state.borrow_mut() = *handover_state;
                    // Danger: two processes that append to one file would spoil it.
                    if let Some(files) = self.files.borrow_mut().as_mut() {
                        files.close();
                    }
                }
                Effect::TransferConnection { connection, pool, established } => {
                    self.send_to_peer_process(Outgoing::Pass {
                        connection,
                        pool,
                        established: Box::new(established),
                    })
                }
                Effect::ShareExclusion { admin_client, server, out } => {
                    self.send_to_peer_process(Outgoing::Share { admin_client, server, out })
                }
                Effect::PersistExclusions(excluded) => {
                    if let Some(place) = self.place.borrow().as_deref() {
                        excluded_servers::persist_excluded(place, &excluded);
                    }
                }
                Effect::AdminReply { admin_client, reply } => {
                    if let Some(waits) = self.callers.borrow_mut().remove(&admin_client) {
                        // One that has gone needs no answer.
                        let _ = waits.send(reply);
                    }
                }
                Effect::Log(event) => crate::log!(info, "{event}"),
                Effect::Exit => drop(self.exit.send(())),
            }
        }
        if changed {
            self.timer.notify_one();
        }
    }

    /// Keeps what is seen of each connection from now on.
    pub fn observe(&self) {
        *self.observed.borrow_mut() = Some(Observed::new());
    }

    fn notice_input(&self, input: &Input) {
        match *input {
            Input::ClientConnected { connection, .. } if self.observed.borrow().is_some() => {
                self.met.borrow_mut().insert(connection, self.now());
            }
            Input::AttemptAccepted { connection, attempt } => {
                self.notice(connection, |after| Seen::Served(after, attempt))
            }
            Input::AttemptEnded { connection, end: AttemptOutcome::VerdictForwarded, .. } => {
                self.notice(connection, |_| Seen::Verdict)
            }
            Input::AttemptEnded {
                connection,
                end: AttemptOutcome::Served | AttemptOutcome::RedirectedByServer,
                ..
            } => self.notice(connection, |_| Seen::Ended),
            Input::ClientDisconnected { connection } => self.notice(connection, |_| Seen::Left),
            _ => {}
        }
    }

    fn notice(&self, connection: ConnectionId, seen: impl FnOnce(Micros) -> Seen) {
        if let Some(observed) = self.observed.borrow_mut().as_mut() {
            let met = self.met.borrow().get(&connection).copied().unwrap_or_default();
            observed.entry(connection).or_default().push(seen(self.now().since(met)));
        }
    }

    /// Adds to the recording, if there is one.
    pub fn record(&self, records: impl FnOnce(Micros) -> Vec<u8>) {
        if let Some(recorder) = self.recorder.borrow_mut().as_mut() {
            recorder.write(&records(self.now().0));
        }
    }

    /// Datagrams may be lost on the way, so they may be lost here.
    fn tell(&self, to: SocketAddr, gossip: &ReplicaMessage) {
        if let (Some(socket), Some(bytes)) = (self.datagrams.borrow().as_ref(), gossip::encode(gossip)) {
            let _ = socket.try_send_to(&bytes, to);
        }
    }

    /// Hears other nodes' stores from now on.
    pub fn hear(self: &Rc<Self>, socket: UdpSocket) {
        let socket = Rc::new(socket);
        *self.datagrams.borrow_mut() = Some(socket.clone());
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let mut bytes = [0; gossip::MAX_DATAGRAM_LENGTH + 1];
            loop {
                // While another process serves, what comes is for that one.
                driver.wait_until_accepting(true).await;
                match socket.recv_from(&mut bytes).await {
                    Ok((n, from)) => match gossip::decode(&bytes[..n]) {
                        Some(gossip) => driver.feed(Input::ReplicaMessage { from, gossip }),
                        None => crate::log!(warn, "a datagram from {from} is none of the store's"),
                    },
                    // Where a peer is down, its machine says so on the next call: nothing to do about it.
                    Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
                }
            }
        });
    }

    /// Hears the other balancers of a pool's tier from now on, and tells them at this address.
    pub fn hear_peers(self: &Rc<Self>, pool: usize, socket: UdpSocket, at: &PeersAt) {
        let socket = Rc::new(socket);
        *self.peers.borrow_mut() = Some((socket.clone(), at.all));
        let (driver, known) = (self.clone(), at.from.clone());
        tokio::task::spawn_local(async move {
            let mut bytes = [0; peers::MAX_DATAGRAM_LENGTH + 1];
            loop {
                match socket.recv_from(&mut bytes).await {
                    Ok((n, from)) => match peers::decode(&bytes[..n]).filter(|_| known.contains(&from)) {
                        Some(message) => driver.feed(Input::GossipReceived { pool, message }),
                        None => crate::log!(warn, "a datagram from {from} is none of the tier's"),
                    },
                    // As above.
                    Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
                }
            }
        });
    }

    /// Keeps the store's entries in these files from now on.
    pub fn keep_in(&self, files: Files) {
        *self.files.borrow_mut() = Some(files);
    }

    /// Gives a connection an order.
    pub fn order(&self, connection: ConnectionId, order: ConnectionCommand) {
        if let Some(connection) = self.connections.borrow().get(&connection) {
            // One that has just ended needs no orders.
            let _ = connection.send(order);
        }
    }

    /// A new connection's number, and where its orders come.
    pub fn enter(&self) -> (ConnectionId, mpsc::UnboundedReceiver<ConnectionCommand>) {
        let connection = ConnectionId(self.next.replace(self.next.get() + 1));
        let (sender, orders) = mpsc::unbounded_channel();
        self.connections.borrow_mut().insert(connection, sender);
        (connection, orders)
    }

    /// Hands an operator's call to the reducer and waits for what it says.
    pub async fn call(self: &Rc<Self>, input: impl FnOnce(AdminClientId) -> Input) -> AdminResponse {
        let admin_client = AdminClientId(self.next.replace(self.next.get() + 1));
        let (sender, reply) = oneshot::channel();
        self.callers.borrow_mut().insert(admin_client, sender);
        self.feed(input(admin_client));
        reply.await.unwrap_or(AdminResponse::No(AdminRejection::NoReply))
    }

    /// A connection's task has ended, and its sockets are closed.
    pub fn leave(self: &Rc<Self>, connection: ConnectionId) {
        self.connections.borrow_mut().remove(&connection);
        self.feed(Input::SocketsClosed { connection });
    }

    /// Bytes that a connection may hold for a side that does not read.
    pub fn buffer(&self) -> usize {
        self.state.borrow().budget().buffer
    }

    /// Whether time has come to something of a connection, and the reducer does not know yet.
    pub fn overdue(&self, connection: ConnectionId) -> bool {
        self.state.borrow().overdue_by(self.now(), connection)
    }

    /// Whether this process can serve.
    pub fn serves(&self) -> bool {
        self.state.borrow().serves()
    }

    /// Whether the fronts may accept now.
    pub fn is_accepting(&self) -> bool {
        *self.accepting.borrow()
    }

    /// Waits until the fronts may accept, or must not any more.
    pub async fn wait_until_accepting(&self, wanted: bool) {
        // It fails only when the sender is gone, which is this hub's own.
        let _ = self.accepting.subscribe().wait_for(|open| *open == wanted).await;
    }

    /// Notes a front, in the place of one of that name.
    pub fn set_front(&self, name: &'static str, front: FrontAt) {
        self.fronts.borrow_mut().insert(name, front);
    }

    /// A front's pool, and a new connection of it.
    pub fn front(&self, name: &str) -> Option<(usize, Box<dyn Front>)> {
        let fronts = self.fronts.borrow();
        fronts.get(name).map(|front| (front.pool, (front.factory)()))
    }

    /// The name of a pool's front.
    pub fn front_name(&self, pool: usize) -> Option<String> {
        let fronts = self.fronts.borrow();
        fronts.iter().find(|(_, front)| front.pool == pool).map(|(name, _)| (*name).to_owned())
    }

    /// Copies of the sockets that another process goes on with, by name.
    pub fn sockets(&self) -> std::io::Result<Vec<(String, OwnedFd)>> {
        let fronts = self.fronts.borrow();
        let listeners = fronts.iter().map(|(name, front)| (*name, front.listener.as_fd()));
        let store = self.datagrams.borrow().clone();
        let all = listeners.chain(store.iter().map(|socket| ("store", socket.as_fd())));
        all.map(|(name, socket)| Ok((name.to_owned(), socket.try_clone_to_owned()?))).collect()
    }

    /// Where the process that takes this one's place asks.
    pub fn set_handover_socket(&self, place: PathBuf) {
        *self.place.borrow_mut() = Some(place);
    }

    /// What is left to it.
    pub fn handover_state(&self) -> HandoverState {
        std::mem::take(&mut self.handover_state.borrow_mut())
    }

    /// Whether there is another process beside this one.
    pub fn has_peer_process(&self) -> bool {
        self.outbox.borrow().is_some()
    }

    /// Where what is for the other process goes.
    pub fn set_outbox(&self, outbox: Option<mpsc::UnboundedSender<Outgoing>>) {
        *self.outbox.borrow_mut() = outbox;
    }

    /// Tells the other process, if there is one.
    pub fn send_to_peer_process(&self, message: Outgoing) {
        if let Some(outbox) = self.outbox.borrow().as_ref() {
            // One that is gone needs no word; the reducer hears of it.
            let _ = outbox.send(message);
        }
    }

    /// Whether a connection is here.
    pub fn holds(&self, connection: ConnectionId) -> bool {
        self.connections.borrow().contains_key(&connection)
    }

    /// The other process is gone: the store's files are this one's again.
    pub fn keep_again(&self) {
        if let Some(files) = self.files.borrow_mut().as_mut() {
            files.open_again(self.state.borrow().store());
        }
    }

    /// Waits a little for answers that are still being written, and for those who still come in by `enter`.
    pub async fn settle(&self, enter: impl Fn()) {
        for _ in 0..20 {
            enter();
            if self.connections.borrow().is_empty() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Where orders for watches go from now on.
    pub fn set_watches(&self, watches: mpsc::UnboundedSender<WatchOrder>) {
        *self.watches.borrow_mut() = Some(watches);
    }

    /// Has a endpoint list watched.
    pub fn watch(&self, order: WatchOrder) {
        if let Some(watches) = self.watches.borrow().as_ref() {
            // It ends only with this process.
            let _ = watches.send(order);
        }
    }

    /// Where probes are carried out from now on.
    pub fn set_probes(&self, probes: mpsc::UnboundedSender<Probe>) {
        *self.probes.borrow_mut() = Some(probes);
    }

    fn probe(&self, probe: Probe) {
        if let Some(probes) = self.probes.borrow().as_ref() {
            // It ends only with this process.
            let _ = probes.send(probe);
        }
    }

    /// Tells the reducer whenever time has come to something.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().next_due();
            let changed = self.timer.notified();
            match next {
                None => changed.await,
                Some(at) => {
                    let wait = Duration::from_micros(at.since(self.now()));
                    tokio::select! {
                        () = changed => {}
                        () = tokio::time::sleep(wait) => self.feed(Input::TimerFired),
                    }
                }
            }
        }
    }
}
