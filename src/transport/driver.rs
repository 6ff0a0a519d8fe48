//! The driver: hands every input to the reducer and carries out the effects that come back.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch as watch_channel, Notify};

use super::commands::{ConnectionCommand, PeerProcessMessage, ProbeCommand, WatchCommand};
use super::datagrams::GossipSocket;
use super::excluded_servers;
use super::files::Files;
use super::log_event::{log_event, LogEvent};
use super::observation::{Observation, Observer};
use super::record::Recorder;
use crate::protocol::Front;
use crate::routing::store::Entry;
use crate::routing::{
    reduce, AdminClientId, AdminResponse, ConnectionId, Effect, EstablishedConnection, HandoverState, Input,
    PoolId, State,
};
use crate::{Micros, ServerId, Time};

/// Longest time that [`Driver::wait_for_connections`] waits, in steps of [`LAST_ANSWERS_INTERVAL`].
const LAST_ANSWERS_STEPS: usize = 20;
const LAST_ANSWERS_INTERVAL: Duration = Duration::from_millis(10);

/// Name of the replication socket among those that a successor is given.
pub const REPLICATION_SOCKET: &str = "store";

/// Makes the protocol side of a front's connections.
pub type ConnectionFactory = Rc<dyn Fn() -> Box<dyn Front>>;

/// A front that accepts connections.
pub struct ActiveFront {
    /// Its pool.
    pub pool: PoolId,
    /// Makes its connections.
    pub factory: ConnectionFactory,
    /// Accepts them.
    pub listener: Rc<TcpListener>,
}

/// The system's clock when the process started, and the monotonic clock that goes on from there.
struct Clock {
    started_at: Time,
    started: Instant,
}

impl Clock {
    fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Time(since_epoch.as_micros() as Micros), started: Instant::now() }
    }

    fn now(&self) -> Time {
        Time(self.started_at.0 + self.started.elapsed().as_micros() as Micros)
    }
}

/// The reducer's state, and the channels to the tasks that carry out its effects.
///
/// Channels to tasks are unbounded: a bounded one could be full when a command comes. The reducer itself limits
/// what waits in them, as noted at each field.
pub struct Driver {
    state: RefCell<State>,
    clock: Clock,
    /// The tasks of connections. The reducer gives each at most two commands an attempt and one answer.
    connections: RefCell<HashMap<ConnectionId, mpsc::UnboundedSender<ConnectionCommand>>>,
    /// The socket for replica messages.
    pub(super) replication: RefCell<Option<Rc<UdpSocket>>>,
    /// The socket for gossip.
    pub(super) gossip: RefCell<Option<GossipSocket>>,
    /// Files of the replicated map.
    files: RefCell<Option<Files>>,
    /// For replays only.
    observer: RefCell<Option<Observer>>,
    recorder: RefCell<Option<Recorder>>,
    /// The task of the watches. The reducer gives one command for each watch that is lost.
    watches: RefCell<Option<mpsc::UnboundedSender<WatchCommand>>>,
    /// The task of the probes. The reducer limits how many are in flight.
    probes: RefCell<Option<mpsc::UnboundedSender<ProbeCommand>>>,
    /// Whether the fronts accept connections.
    accepting: watch_channel::Sender<bool>,
    /// The next number for a connection or an admin client.
    next_id: Cell<u64>,
    /// Admin clients that wait for their replies.
    admin_clients: RefCell<HashMap<AdminClientId, oneshot::Sender<AdminResponse>>>,
    /// The fronts, by name.
    fronts: RefCell<BTreeMap<&'static str, ActiveFront>>,
    /// The socket on which a successor asks for this process's state.
    hot_restart_socket: RefCell<Option<PathBuf>>,
    /// The state that was exported for it.
    exported_state: RefCell<HandoverState>,
    /// The link to the peer process, while there is one.
    peer_process: RefCell<Option<mpsc::UnboundedSender<PeerProcessMessage>>>,
    exit: mpsc::UnboundedSender<()>,
    /// Notified when the reducer's next deadline has changed.
    deadline_changed: Notify,
}

impl Driver {
    /// A driver, and the channel on which it reports that the process can exit.
    pub fn new(state: impl FnOnce(Time) -> State) -> (Rc<Driver>, mpsc::UnboundedReceiver<()>) {
        let clock = Clock::start();
        let (exit, exited) = mpsc::unbounded_channel();
        let driver = Driver {
            state: RefCell::new(state(clock.started_at)),
            clock,
            connections: RefCell::default(),
            replication: RefCell::default(),
            gossip: RefCell::default(),
            files: RefCell::default(),
            observer: RefCell::default(),
            recorder: RefCell::default(),
            watches: RefCell::default(),
            probes: RefCell::default(),
            accepting: watch_channel::Sender::new(true),
            next_id: Cell::new(0),
            admin_clients: RefCell::default(),
            fronts: RefCell::default(),
            hot_restart_socket: RefCell::default(),
            exported_state: RefCell::default(),
            peer_process: RefCell::default(),
            exit,
            deadline_changed: Notify::new(),
        };
        (Rc::new(driver), exited)
    }

    /// The time: comparable between machines, and never running backwards in this process.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Hands an input to the reducer and carries out its effects, in their order.
    pub fn feed(&self, input: Input) {
        if let Some(observer) = self.observer.borrow_mut().as_mut() {
            observer.observe_input(self.now(), &input);
        }
        let (effects, deadline_changed) = {
            let mut state = self.state.borrow_mut();
            let deadline = state.next_due();
            let effects = reduce(&mut state, self.now(), input);
            (effects, state.next_due() != deadline)
        };
        for effect in effects {
            if let Some(observer) = self.observer.borrow_mut().as_mut() {
                observer.observe_effect(self.now(), &effect);
            }
            self.carry_out(effect);
        }
        if deadline_changed {
            self.deadline_changed.notify_one();
        }
    }

    // Longer than other functions: it only dispatches, with one arm for each effect.
    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::OpenAttempt { connection, attempt, address, wait } => {
                self.send_command(connection, ConnectionCommand::OpenAttempt { attempt, address, wait })
            }
            Effect::CloseAttempt { connection } => {
                self.send_command(connection, ConnectionCommand::CloseAttempt)
            }
            Effect::AbortConnection { connection } => self.send_command(connection, ConnectionCommand::Abort),
            Effect::CheckHandshake { connection } => {
                self.send_command(connection, ConnectionCommand::CheckHandshake)
            }
            Effect::Answer { connection, answer } => {
                self.send_command(connection, ConnectionCommand::SendAnswer(answer))
            }
            Effect::SetAccepting { open } => self.set_accepting(open),
            Effect::BroadcastGossip(message) => self.broadcast_gossip(message),
            Effect::ProbeServer { pool, server, address, names, wait } => {
                self.send_probe(pool, server, address, names, wait)
            }
            Effect::WatchEndpoints { pool } => self.send_watch_command(WatchCommand::Resume { pool }),
            Effect::WatchEndpointsAt { pool, discovery } => {
                self.send_watch_command(WatchCommand::Start { pool, discovery, generation: None })
            }
            Effect::SendReplicaMessage((to, message)) => self.send_replica_message(to, &message),
            Effect::PersistEntry { key, entry } => self.persist_entry(&key, &entry),
            Effect::ExportState(state) => self.export_state(*state),
            Effect::TransferConnection { connection, pool, established } => {
                self.transfer_connection(connection, pool, established)
            }
            Effect::ShareExclusion { admin_client, server, out } => {
                self.share_exclusion(admin_client, server, out)
            }
            Effect::PersistExclusions(excluded) => self.persist_exclusions(&excluded),
            Effect::AdminReply { admin_client, reply } => self.send_admin_reply(admin_client, reply),
            Effect::Log(text) => log_event!(LogEvent::Reported { text: &text }),
            Effect::Exit => self.request_exit(),
        }
    }

    /// Feeds the reducer whenever one of its deadlines has passed, for ever.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let next_deadline = self.state.borrow().next_due();
            let deadline_changed = self.deadline_changed.notified();
            match next_deadline {
                None => deadline_changed.await,
                Some(deadline) => {
                    let wait = Duration::from_micros(deadline.since(self.now()));
                    tokio::select! {
                        () = deadline_changed => {}
                        () = tokio::time::sleep(wait) => self.feed(Input::TimerFired),
                    }
                }
            }
        }
    }

    fn request_exit(&self) {
        // The receiver lives until the process exits.
        let _ = self.exit.send(());
    }
}

/// Connections and their tasks.
impl Driver {
    fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    /// Registers a connection; returns its id, and the channel of its commands.
    pub fn register_connection(&self) -> (ConnectionId, mpsc::UnboundedReceiver<ConnectionCommand>) {
        let connection = ConnectionId(self.next_id());
        let (sender, commands) = mpsc::unbounded_channel();
        self.connections.borrow_mut().insert(connection, sender);
        (connection, commands)
    }

    /// Forgets a connection whose task has ended and whose sockets are closed.
    pub fn deregister_connection(&self, connection: ConnectionId) {
        self.connections.borrow_mut().remove(&connection);
        self.feed(Input::SocketsClosed { connection });
    }

    /// Whether a connection is registered.
    pub fn has_connection(&self, connection: ConnectionId) -> bool {
        self.connections.borrow().contains_key(&connection)
    }

    /// Sends a command to a connection's task. One whose task has just ended needs none.
    pub fn send_command(&self, connection: ConnectionId, command: ConnectionCommand) {
        if let Some(connection) = self.connections.borrow().get(&connection) {
            let _ = connection.send(command);
        }
    }

    /// Bytes that a connection may buffer for a side that does not read.
    pub fn buffer_limit(&self) -> usize {
        self.state.borrow().budget().buffer
    }

    /// Whether a deadline of a connection has passed that the reducer has not been fed yet.
    pub fn is_overdue(&self, connection: ConnectionId) -> bool {
        self.state.borrow().overdue_by(self.now(), connection)
    }

    /// Whether this process can serve.
    pub fn is_serving(&self) -> bool {
        self.state.borrow().serves()
    }

    /// Whether the fronts accept connections now.
    pub fn is_accepting(&self) -> bool {
        *self.accepting.borrow()
    }

    fn set_accepting(&self, open: bool) {
        self.accepting.send_replace(open);
    }

    /// Waits until the fronts accept connections, or until they do not.
    pub async fn wait_until_accepting(&self, wanted: bool) {
        // It fails only when the sender is gone, which this driver owns.
        let _ = self.accepting.subscribe().wait_for(|open| *open == wanted).await;
    }

    /// Waits a short while until the last answers are written; `accept_queued` is called at each step for
    /// connections that still wait in a listener's queue.
    pub async fn wait_for_connections(&self, accept_queued: impl Fn()) {
        for _ in 0..LAST_ANSWERS_STEPS {
            accept_queued();
            if self.connections.borrow().is_empty() {
                return;
            }
            tokio::time::sleep(LAST_ANSWERS_INTERVAL).await;
        }
    }
}

/// Observations and recordings.
impl Driver {
    /// Observes all connections from now on.
    pub fn start_observing(&self) {
        *self.observer.borrow_mut() = Some(Observer::default());
    }

    /// What was observed of a connection so far.
    pub fn observations(&self, connection: ConnectionId) -> Vec<Observation> {
        let observer = self.observer.borrow();
        observer.as_ref().map(|observer| observer.observations(connection)).unwrap_or_default()
    }

    /// Records the fronts' traffic from now on, if there is a recorder.
    pub fn set_recorder(&self, recorder: Option<Recorder>) {
        *self.recorder.borrow_mut() = recorder;
    }

    /// Adds to the recording, if there is one, what `records` makes at the present time.
    pub fn record(&self, records: impl FnOnce(Micros) -> Vec<u8>) {
        if let Some(recorder) = self.recorder.borrow_mut().as_mut() {
            recorder.write(&records(self.now().0));
        }
    }
}

/// Admin clients.
impl Driver {
    /// Hands an admin client's call to the reducer, and waits for the reply.
    pub async fn call(&self, input: impl FnOnce(AdminClientId) -> Input) -> AdminResponse {
        let admin_client = AdminClientId(self.next_id());
        let (sender, reply) = oneshot::channel();
        self.admin_clients.borrow_mut().insert(admin_client, sender);
        self.feed(input(admin_client));
        reply.await.unwrap_or_else(|_| AdminResponse::No("no answer".to_owned()))
    }

    fn send_admin_reply(&self, admin_client: AdminClientId, reply: AdminResponse) {
        if let Some(waiting) = self.admin_clients.borrow_mut().remove(&admin_client) {
            // A client that has gone needs no reply.
            let _ = waiting.send(reply);
        }
    }
}

/// Fronts.
impl Driver {
    /// Registers a front, in the place of an earlier one of that name.
    pub fn register_front(&self, name: &'static str, front: ActiveFront) {
        self.fronts.borrow_mut().insert(name, front);
    }

    /// A front's pool, and a new connection of its protocol.
    pub fn new_front_connection(&self, name: &str) -> Option<(PoolId, Box<dyn Front>)> {
        let fronts = self.fronts.borrow();
        fronts.get(name).map(|front| (front.pool, (front.factory)()))
    }

    /// The name of a pool's front.
    pub fn front_name(&self, pool: PoolId) -> Option<String> {
        let fronts = self.fronts.borrow();
        fronts.iter().find(|(_, front)| front.pool == pool).map(|(name, _)| (*name).to_owned())
    }
}

/// The files of the replicated map.
impl Driver {
    /// Persists the entries of the replicated map in these files from now on.
    pub fn set_files(&self, files: Files) {
        *self.files.borrow_mut() = Some(files);
    }

    /// Opens the files again after a successor is gone.
    pub fn reopen_files(&self) {
        if let Some(files) = self.files.borrow_mut().as_mut() {
            files.reopen(self.state.borrow().store());
        }
    }

    fn persist_entry(&self, key: &str, entry: &Entry) {
        if let Some(files) = self.files.borrow_mut().as_mut() {
            files.persist(key, entry);
        }
    }
}

/// Hot restart.
impl Driver {
    /// Copies of the sockets that a successor goes on with, by name.
    ///
    /// # Errors
    ///
    /// When a descriptor cannot be copied.
    pub fn clone_sockets(&self) -> std::io::Result<Vec<(String, OwnedFd)>> {
        let fronts = self.fronts.borrow();
        let listeners = fronts.iter().map(|(name, front)| (*name, front.listener.as_fd()));
        let replication = self.replication.borrow().clone();
        let all = listeners.chain(replication.iter().map(|socket| (REPLICATION_SOCKET, socket.as_fd())));
        all.map(|(name, socket)| Ok((name.to_owned(), socket.try_clone_to_owned()?))).collect()
    }

    /// Sets the path of the socket on which a successor asks for this process's state.
    pub fn set_hot_restart_socket(&self, path: PathBuf) {
        *self.hot_restart_socket.borrow_mut() = Some(path);
    }

    /// Takes the state that was exported for a successor.
    pub fn take_exported_state(&self) -> HandoverState {
        std::mem::take(&mut self.exported_state.borrow_mut())
    }

    fn export_state(&self, state: HandoverState) {
        *self.exported_state.borrow_mut() = state;
        // Two processes that append to one file would corrupt it.
        if let Some(files) = self.files.borrow_mut().as_mut() {
            files.close();
        }
    }

    /// Whether there is a peer process.
    pub fn has_peer_process(&self) -> bool {
        self.peer_process.borrow().is_some()
    }

    /// Sets the channel to the peer process, or none once it is gone.
    pub fn set_peer_process(&self, sender: Option<mpsc::UnboundedSender<PeerProcessMessage>>) {
        *self.peer_process.borrow_mut() = sender;
    }

    /// Sends a message to the peer process, if there is one.
    pub fn send_to_peer_process(&self, message: PeerProcessMessage) {
        if let Some(sender) = self.peer_process.borrow().as_ref() {
            // One that has just gone needs none; the reducer is fed its loss.
            let _ = sender.send(message);
        }
    }

    fn transfer_connection(
        &self,
        connection: ConnectionId,
        pool: PoolId,
        established: EstablishedConnection,
    ) {
        let established = Box::new(established);
        self.send_to_peer_process(PeerProcessMessage::TransferConnection { connection, pool, established })
    }

    fn share_exclusion(&self, admin_client: AdminClientId, server: String, excluded: bool) {
        self.send_to_peer_process(PeerProcessMessage::ShareExclusion { admin_client, server, excluded })
    }

    fn persist_exclusions(&self, excluded: &[String]) {
        if let Some(socket) = self.hot_restart_socket.borrow().as_deref() {
            excluded_servers::persist_excluded(socket, excluded);
        }
    }
}

/// Watches and probes.
impl Driver {
    /// Sets the channel to the task of the watches.
    pub fn set_watches(&self, watches: mpsc::UnboundedSender<WatchCommand>) {
        *self.watches.borrow_mut() = Some(watches);
    }

    /// Sends a command to the task of the watches.
    pub fn send_watch_command(&self, command: WatchCommand) {
        if let Some(watches) = self.watches.borrow().as_ref() {
            // The task ends only with this process.
            let _ = watches.send(command);
        }
    }

    /// Sets the channel to the task of the probes.
    pub fn set_probes(&self, probes: mpsc::UnboundedSender<ProbeCommand>) {
        *self.probes.borrow_mut() = Some(probes);
    }

    fn send_probe(
        &self,
        pool: PoolId,
        server: ServerId,
        address: String,
        load_names: Vec<&'static str>,
        timeout: Micros,
    ) {
        let timeout = Duration::from_micros(timeout);
        if let Some(probes) = self.probes.borrow().as_ref() {
            // The task ends only with this process.
            let _ = probes.send(ProbeCommand { pool, server, address, load_names, timeout });
        }
    }
}
