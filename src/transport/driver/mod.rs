//! The driver: hands every input to the reducer and carries out the effects that come back.
//!
//! What an effect needs is in the module of its concern; this one holds the state, and dispatches.

mod admin_clients;
mod connections;
mod hot_restart;
mod observation;
mod tasks;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch as watch_channel, Notify};

use super::commands::{ConnectionCommand, PeerProcessMessage, ProbeCommand, WatchCommand};
use super::datagrams::GossipSocket;
use super::files::Files;
use super::log_event::{log_event, LogEvent};
use super::observation::Observer;
use super::record::Recorder;
use crate::protocol::Front;
use crate::routing::store::AddressedReplicaMessage;
use crate::routing::{
    reduce, AdminClientId, AdminResponse, ConnectionId, Effect, EndpointWatchTiming, HandoverState, Input,
    PoolId, State,
};
use crate::Time;
pub(super) use hot_restart::{NamedSocket, REPLICATION_SOCKET};

/// Makes the protocol side of a front's connections.
pub(super) type ConnectionFactory = Rc<dyn Fn() -> Box<dyn Front>>;

/// A front that accepts connections.
pub(super) struct ActiveFront {
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
        Clock { started_at: Time(since_epoch.as_micros() as u64), started: Instant::now() }
    }

    fn now(&self) -> Time {
        Time(self.started_at.0 + self.started.elapsed().as_micros() as u64)
    }
}

/// The reducer's state, and the channels to the tasks that carry out its effects.
///
/// Channels to tasks are unbounded: a bounded one could be full when a command comes. The reducer itself
/// limits what waits in them, as noted at each field.
pub(super) struct Driver {
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
    pub(super) fn new(state: impl FnOnce(Time) -> State) -> (Rc<Driver>, mpsc::UnboundedReceiver<()>) {
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
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// How a pool's watch on its endpoint list is to be timed.
    pub(super) fn endpoint_watch_timing(&self, pool: PoolId) -> EndpointWatchTiming {
        self.state.borrow().endpoint_watch_timing(pool)
    }

    /// Hands an input to the reducer and carries out its effects, in their order.
    pub(super) fn feed(&self, input: Input) {
        if let Some(observer) = self.observer.borrow_mut().as_mut() {
            observer.observe_input(self.now(), &input);
        }
        let (effects, deadline_changed) = {
            let mut state = self.state.borrow_mut();
            let deadline = state.next_deadline();
            let effects = reduce(&mut state, self.now(), input);
            (effects, state.next_deadline() != deadline)
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
            Effect::OpenAttempt { connection, attempt, address, timeout } => {
                log_event!(LogEvent::AttemptOpened { connection, attempt, address: &address });
                self.send_command(
                    connection,
                    ConnectionCommand::OpenAttempt { attempt, address, wait: timeout },
                );
            }
            Effect::CloseAttempt { connection } => {
                log_event!(LogEvent::AttemptClosed { connection });
                self.send_command(connection, ConnectionCommand::CloseAttempt);
            }
            Effect::AbortConnection { connection } => self.send_command(connection, ConnectionCommand::Abort),
            Effect::CheckHandshake { connection } => {
                self.send_command(connection, ConnectionCommand::CheckHandshake);
            }
            Effect::Answer { connection, answer } => {
                self.send_command(connection, ConnectionCommand::SendAnswer(answer));
            }
            Effect::SetAccepting { open } => self.set_accepting(open),
            Effect::BroadcastGossip(message) => self.broadcast_gossip(message),
            Effect::ProbeServer { pool, server, address, names, timeout } => {
                self.send_probe(pool, server, address, names, timeout);
            }
            Effect::WatchEndpoints { pool } => self.send_watch_command(WatchCommand::Resume { pool }),
            Effect::WatchEndpointsAt { pool, discovery } => {
                self.send_watch_command(WatchCommand::Start { pool, discovery, generation: None });
            }
            Effect::SendReplicaMessage(AddressedReplicaMessage { to, message }) => {
                self.send_replica_message(to, &message);
            }
            Effect::PersistEntry { key, entry } => self.persist_entry(&key, &entry),
            Effect::ExportState(state) => self.export_state(*state),
            Effect::TransferConnection { connection, pool, established } => {
                self.transfer_connection(connection, pool, established);
            }
            Effect::ShareExclusion { admin_client, server, excluded } => {
                self.share_exclusion(admin_client, server, excluded);
            }
            Effect::PersistExclusions(excluded) => self.persist_exclusions(&excluded),
            Effect::AdminReply { admin_client, reply } => self.send_admin_reply(admin_client, reply),
            Effect::Log(event) => log_event!(event),
            Effect::Exit => self.request_exit(),
        }
    }

    /// Feeds the reducer whenever one of its deadlines has passed, for ever.
    pub(super) async fn run_timer(self: Rc<Self>) {
        loop {
            let next_deadline = self.state.borrow().next_deadline();
            let deadline_changed = self.deadline_changed.notified();
            match next_deadline {
                None => deadline_changed.await,
                Some(deadline) => {
                    let wait = Duration::from(deadline.since(self.now()));
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
