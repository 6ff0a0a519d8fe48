//! The words between the reducer and the world: what happens, what is to be done, how it is set up.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::store::{Entry, Gossip, Letter};
use super::{Endpoint, ProbeEnd};
use crate::peers;
pub use crate::ConnectionId;
use crate::{rebalance, LearnedState, Micros, ServerId, Settings, Time};

/// Which of the pools of servers, each with its own endpoint list and balancer.
pub type PoolId = usize;

/// What the client asks for, in no wire's terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConnectionRequest {
    /// What the client calls it, where it does: no two that are open may be called alike.
    pub id: Option<String>,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant.
    pub tenant: Option<String>,
    /// Its group.
    pub group: Option<u64>,
    /// Its usual load.
    pub load: Option<f64>,
    /// How long the client waits from now on; where it does not say, what is left of the time it
    /// had to ask.
    pub wait: Option<Micros>,
    /// It stood already, at this server.
    pub established_at: Option<String>,
    /// By what its client is known when it comes again: a hash of the flow's key, where there is one.
    pub key: Option<u64>,
    /// It says that its connection broke or was moved.
    pub again: bool,
}

/// How an attempt ended, as its server or the network had it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served to its end, in order.
    Served,
    /// The server sent the client away.
    RedirectedByServer,
    /// The server answered with an error.
    Error,
    /// Rejected unseen.
    Rejected,
    /// No connection, or it broke before the request was written in full.
    ConnectFailed,
    /// It broke or ended without a word after that.
    Reset,
    /// This machine had no socket left for it: the server had no part in that.
    OutOfSockets,
    /// The server's own verdict was passed on to the client: nothing more is to be done.
    VerdictForwarded,
}

/// What an operator asks for at the door.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCall {
    /// Whether this process can serve.
    Ready,
    /// The figures.
    Telemetry,
    /// Take this server out.
    Exclude(String),
    /// Use it again.
    Include(String),
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminResponse {
    Yes,
    /// No, and why.
    No(String),
    Metrics(Metrics),
}

/// How connections of a class came out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Brought up.
    pub succeeded: u64,
    /// Refused.
    pub declined: u64,
    /// Failed.
    pub aborted: u64,
}

/// What the balancer reports: counts since the start of the process, and what holds now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Every configured class, by name.
    pub classes: BTreeMap<String, ClassCounters>,
    /// Attempts written in full.
    pub forwards: u64,
    /// Connections taken and not yet ended, those that stand included.
    pub outstanding: u64,
    /// Issuer servers listed.
    pub discovered: u64,
    /// Of those, the ones avoided now.
    pub ejected: u64,
    /// Of each front that rebalances, by its name.
    pub rebalance: BTreeMap<String, rebalance::RebalanceMetrics>,
}

/// One caller at the operators' door.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdminClientId(pub u64);

/// A final answer, or the one notice that a standing connection is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Refused: come again after this time, 0 for no advice.
    Rejected(Micros),
    /// Failed.
    Failed,
    /// It never came to ask before its time was up.
    HandshakeTimedOut,
    /// Come again at once: the server leaves, or this balancer does.
    Migrated,
}

/// What a connection that stands takes along to the process that goes on with it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EstablishedConnection {
    /// What it asked for.
    pub ask: ConnectionRequest,
    /// Its server.
    pub server: String,
    /// The load that its server told last.
    pub load: Option<f64>,
    /// When the first line went to the server that has had no answer since.
    pub awaiting_server_since: Option<Time>,
}

/// What a process leaves to the one that takes its place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// Servers out by hand, and names of all that were ever listed.
    pub excluded_by_operator: Vec<String>,
    pub ever_listed: Vec<String>,
    /// The store's entries.
    pub entries: Vec<(String, Entry)>,
    /// Of each pool, by its name.
    pub pools: BTreeMap<String, PoolHandoverState>,
    /// Descriptors that the process before goes on holding for a while.
    pub left: usize,
}

/// What it leaves of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolHandoverState {
    /// The servers as listed, with what was learned of them.
    pub endpoints: Vec<(Endpoint, Option<LearnedState>)>,
    /// Servers that were out by hand, and since when they are not any more.
    pub readmitted: Vec<(String, Time)>,
    /// Ids of connections that are open there.
    pub ids: Vec<String>,
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    /// The client connected to a pool's front.
    ClientConnected { connection: ConnectionId, pool: PoolId },
    /// It asks.
    ConnectionRequested { connection: ConnectionId, ask: ConnectionRequest },
    /// It has not asked, and was heard up to now.
    HandshakeTimedOut { connection: ConnectionId },
    /// It left.
    ClientDisconnected { connection: ConnectionId },
    /// All of its sockets are closed.
    SocketsClosed { connection: ConnectionId },
    /// All of the attempt's request is written.
    RequestForwarded { connection: ConnectionId, attempt: u32 },
    /// The server accepted: lines go both ways from here on.
    AttemptAccepted { connection: ConnectionId, attempt: u32 },
    /// The server ended the attempt.
    AttemptEnded { connection: ConnectionId, attempt: u32, end: AttemptOutcome },
    /// A line went to the server of a standing connection.
    LineForwarded { connection: ConnectionId },
    /// Something came from it.
    ServerActivity { connection: ConnectionId },
    /// It told a figure: the connection's load in microseconds of work a second, or, where the settings
    /// say that servers tell it, the milliseconds that a message takes there.
    LoadReported { connection: ConnectionId, load: f64 },
    /// What was kept of an earlier life: the store's entries, and servers out by hand where no store says so.
    StateRestored { entries: Vec<(String, Entry)>, excluded_by_operator: Vec<String> },
    /// A endpoint list as it was last held, which may be old.
    CachedEndpoints { pool: PoolId, endpoints: Vec<Endpoint> },
    /// News of a endpoint list: all of it, or what changed.
    EndpointsUpdated { pool: PoolId, whole: bool, endpoints: Vec<Endpoint> },
    /// Another balancer of the tier says what is slow.
    GossipReceived { pool: PoolId, message: peers::GossipMessage },
    /// A probe of a server is over.
    ProbeCompleted { pool: PoolId, server: ServerId, end: ProbeEnd },
    /// The watch on it broke, or could not be had.
    EndpointWatchLost { pool: PoolId },
    /// Another node's store, or an operator's command, sent this.
    ReplicaMessage { from: SocketAddr, gossip: Gossip },
    /// The configuration was read again: its pools in the old order, and the other stores.
    ConfigurationChanged { pools: Vec<PoolConfig>, peers: Vec<SocketAddr>, budget: Budget },
    /// The fronts listen.
    Listening,
    /// Another process starts in this one's place, and asks for what there is to know.
    SuccessorStarted,
    /// It serves now.
    SuccessorReady,
    /// The sockets of a standing connection are with it.
    ConnectionTransferred { connection: ConnectionId },
    /// This process has what the one before it knew.
    ImportState(Box<HandoverState>),
    /// A standing connection came from the process before.
    ConnectionReceived { connection: ConnectionId, pool: PoolId, established: EstablishedConnection },
    /// The other process is gone.
    PeerProcessLost,
    /// An operator's word came to the other process...
    ExclusionShared { server: String, out: bool },
    /// ...or has arrived there.
    ExclusionAcknowledged { admin_client: AdminClientId },
    /// An operator calls.
    AdminRequest { admin_client: AdminClientId, call: AdminCall },
    /// This balancer is to leave.
    ShutdownRequested,
    /// Time has come to something.
    TimerFired,
}

/// What is to be done outside, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Connect to this address and send the request; the server is told that it has so long.
    OpenAttempt { connection: ConnectionId, attempt: u32, address: String, wait: Micros },
    /// Close the attempt that is out.
    CloseAttempt { connection: ConnectionId },
    /// Give this answer, then end both sides.
    Answer { connection: ConnectionId, answer: Answer },
    /// Hear the client once more: its time to ask is over. [`Input::HandshakeTimedOut`] if it still has not.
    CheckHandshake { connection: ConnectionId },
    /// Close all sockets of a connection at once.
    AbortConnection { connection: ConnectionId },
    /// The fronts may accept connections, or have to leave them waiting.
    SetAccepting { open: bool },
    /// Tell the other balancers of the tier what is slow.
    BroadcastGossip(peers::GossipMessage),
    /// Ask a server for its load, which its report has under the first of these names that it holds, and wait so
    /// long for the answer. It is to be told once, by [`Input::ProbeCompleted`].
    ProbeServer { pool: PoolId, server: ServerId, address: String, names: Vec<&'static str>, wait: Micros },
    /// Watch a endpoint list, telling what was missed first.
    WatchEndpoints { pool: PoolId },
    /// Let the old watch go and watch at this address, which tells the whole list first.
    WatchEndpointsAt { pool: PoolId, discovery: SocketAddr },
    /// Send this to another node's store, or to whoever gave a command.
    SendReplicaMessage(Letter),
    /// Put an entry of the store where it outlives the process.
    PersistEntry { key: String, entry: Entry },
    /// Leave this to the process that starts.
    ExportState(Box<HandoverState>),
    /// Pass a standing connection on to it, as soon as it is between two lines.
    TransferConnection { connection: ConnectionId, pool: PoolId, established: EstablishedConnection },
    /// Tell the other process of a server out by hand or back, for this caller.
    ShareExclusion { admin_client: AdminClientId, server: String, out: bool },
    /// Put the servers out by hand where they outlive the process.
    PersistExclusions(Vec<String>),
    /// Answer an operator's call.
    AdminReply { admin_client: AdminClientId, reply: AdminResponse },
    /// A line for the log.
    Log(String),
    /// Nothing is held any more: the balancer may go.
    Exit,
}

/// What the store is set up with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicationConfig {
    /// Name of this node, which no other may have.
    pub node: String,
    /// The others' stores.
    pub peers: Vec<SocketAddr>,
}

/// What all fronts together may hold, as this machine's limits allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Connections that have no attempt: they have not asked yet, or are ended and not yet closed.
    pub waiting: usize,
    /// Connections with an attempt, out or standing.
    pub held: usize,
    /// Bytes that wait for a side that does not read, before no more is taken from the other.
    pub buffer: usize,
}

/// What a pool is set up with.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Name of its front.
    pub name: &'static str,
    /// Names that index the module's classes, tenants and zones.
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    /// The module's settings.
    pub settings: Settings,
    /// The seed of its chance.
    pub seed: u64,
    /// Where its endpoint list is watched; none where it comes from a file.
    pub discovery: Option<SocketAddr>,
    /// The client has so long to ask.
    pub greeting: Micros,
    /// The store may add servers, and says how many connections may be held; where it does not, so many.
    pub from_store: bool,
    pub most_held: usize,
    /// Clients of a draining server are moved over this time; 0 where servers send them away by themselves.
    pub drain_over: Micros,
    /// A standing connection whose server stays silent so long after a line is moved; 0 for never.
    pub silence: Micros,
    /// Servers tell how long messages take, and by the same word what load a connection is.
    pub tells_delay: bool,
    pub tells_load: bool,
    /// Names under which a probe's answer may carry a server's load over its capacity, the best first.
    pub reports: Vec<&'static str>,
    /// The longest that a client waits for its answer.
    pub longest_wait: Micros,
    /// How standing connections are moved towards balance.
    pub rebalance: rebalance::RebalanceConfig,
    /// The balancers of the tier may tell each other of slow servers, at this price for 256 bytes a request.
    pub peers: Option<f64>,
}

impl PoolConfig {
    /// How its balancers may tell each other.
    pub(super) fn gossip_config(&self) -> peers::GossipConfig {
        peers::GossipConfig {
            on: self.peers.is_some(),
            price: self.peers.unwrap_or(0.0),
            balancers: self.settings.balancers,
            message_objective: self.settings.message_objective(),
            holds: self.settings.word_holds(),
            set_up_holds: self.settings.set_up_holds(),
        }
    }

    /// What of this concerns rebalancing.
    pub(super) fn rebalance_context(&self) -> rebalance::RebalanceContext {
        let Settings { classes, balancers, migration_cost, slow_start_duration, .. } = &self.settings;
        let setup_objectives = classes.iter().map(|class| class.setup_objective).filter(|&aim| aim > 0);
        rebalance::RebalanceContext {
            balancers: *balancers,
            priority_weights: classes.iter().map(|class| class.priority_weight).collect(),
            setup_objective: setup_objectives.min().unwrap_or(0),
            message_objective: self.settings.message_objective(),
            reports_message_time: self.tells_delay,
            migration_cost: *migration_cost,
            slow_start_duration: *slow_start_duration,
        }
    }

    /// This setup in the place of another. Danger: connections that are out know their class, tenant and
    /// zone by number, so names keep theirs; one that is no longer configured is there by no name.
    pub(super) fn after(mut self, old: &PoolConfig) -> PoolConfig {
        let now = &mut self.settings;
        let own = self.zones.get(now.zone.0 as usize).cloned();
        self.classes = renumber(&old.classes, &old.settings.classes, &self.classes, &mut now.classes);
        self.tenants = renumber(&old.tenants, &old.settings.tenants, &self.tenants, &mut now.tenants);
        self.zones = renumber(&old.zones, &old.zones, &self.zones, &mut self.zones.clone());
        let own = own.and_then(|own| self.zones.iter().position(|zone| *zone == own));
        now.zone = crate::ZoneId(own.unwrap_or(0) as u16);
        self
    }
}

/// Names in an order in which the old ones keep their places, and what they stand for in the same order.
fn renumber<T: Clone>(old: &[String], olds: &[T], names: &[String], items: &mut Vec<T>) -> Vec<String> {
    let at = |name: &String| names.iter().position(|n| n == name);
    let name_of = |name: &String| if at(name).is_some() { name.clone() } else { String::new() };
    let added = |name: &&String| !old.contains(name);
    let item_of = |(name, old): (&String, &T)| at(name).and_then(|n| items.get(n)).unwrap_or(old).clone();
    let kept = old.iter().zip(olds).map(item_of);
    let new = names.iter().zip(items.iter()).filter(|(name, _)| added(name)).map(|(_, item)| item.clone());
    let merged = kept.chain(new).collect();
    *items = merged;
    old.iter().map(name_of).chain(names.iter().filter(added).cloned()).collect()
}
