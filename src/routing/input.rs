//! The words between the reducer and the world: what happens, what is to be done, how it is set up.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::store::{Entry, Gossip, Letter};
use super::{IssuerHost, ProbeEnd};
use crate::peers;
pub use crate::AuthId;
use crate::{rebalance, Learned, Micros, ServerId, Settings, Time};

/// Which of the pools of issuer hosts, each with its own routing table and balancer.
pub type PoolId = usize;

/// What the acquirer side asks for, in no wire's terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Authorisation {
    /// What the acquirer side calls it, where it does: no two that are open may be called alike.
    pub id: Option<String>,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant.
    pub tenant: Option<String>,
    /// Its group.
    pub group: Option<u64>,
    /// Its usual load.
    pub load: Option<f64>,
    /// How long the acquirer side waits from now on; where it does not say, what is left of the time it
    /// had to ask.
    pub wait: Option<Micros>,
    /// It stood already, at this issuer host.
    pub standing_at: Option<String>,
    /// By what its client is known when it comes again: a hash of the flow's key, where there is one.
    pub key: Option<u64>,
    /// It says that its connection broke or was moved.
    pub again: bool,
}

/// How a leg ended, as its issuer host or the network had it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LegEnd {
    /// Served to its end, in order.
    Served,
    /// The host sent the acquirer side away.
    SentAway,
    /// The host answered with an error.
    Error,
    /// Turned away unseen.
    TurnedAway,
    /// No connection, or it broke before the request was written in full.
    NoConnection,
    /// It broke or ended without a word after that.
    Broken,
    /// This machine had no socket left for it: the host had no part in that.
    NoSocket,
    /// The host's own verdict was passed on to the acquirer side: nothing more is to be done.
    Verdict,
}

/// What an operator asks for at the door.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Whether this process can serve.
    Ready,
    /// The figures.
    Telemetry,
    /// Take this issuer host out.
    Exclude(String),
    /// Use it again.
    Include(String),
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Yes,
    /// No, and why.
    No(String),
    Figures(Figures),
}

/// How authorisations of a class came out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Brought up.
    pub succeeded: u64,
    /// Refused.
    pub declined: u64,
    /// Failed.
    pub aborted: u64,
}

/// What the balancer reports: counts since the start of the process, and what holds now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Every configured class, by name.
    pub classes: BTreeMap<String, Counts>,
    /// Legs written in full.
    pub forwards: u64,
    /// Authorisations taken and not yet ended, those that stand included.
    pub outstanding: u64,
    /// Issuer hosts listed.
    pub discovered: u64,
    /// Of those, the ones avoided now.
    pub ejected: u64,
    /// Of each front that rebalances, by its name.
    pub rebalance: BTreeMap<String, rebalance::Figures>,
}

/// One caller at the operators' door.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// A final answer, or the one notice that a standing connection is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Refused: come again after this time, 0 for no advice.
    Refused(Micros),
    /// Failed.
    Failed,
    /// It never came to ask before its time was up.
    Late,
    /// Come again at once: the host leaves, or this balancer does.
    Moved,
}

/// What a connection that stands takes along to the process that goes on with it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Standing {
    /// What it asked for.
    pub ask: Authorisation,
    /// Its issuer host.
    pub host: String,
    /// The load that its host told last.
    pub load: Option<f64>,
    /// When the first line went to the host that has had no answer since.
    pub asked: Option<Time>,
}

/// What a process leaves to the one that takes its place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Legacy {
    /// Hosts out by hand, and names of all that were ever listed.
    pub bans: Vec<String>,
    pub ever_listed: Vec<String>,
    /// The store's entries.
    pub entries: Vec<(String, Entry)>,
    /// Of each pool, by its name.
    pub pools: BTreeMap<String, PoolLegacy>,
    /// Descriptors that the process before goes on holding for a while.
    pub left: usize,
}

/// What it leaves of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolLegacy {
    /// The hosts as listed, with what was learned of them.
    pub hosts: Vec<(IssuerHost, Option<Learned>)>,
    /// Hosts that were out by hand, and since when they are not any more.
    pub returned: Vec<(String, Time)>,
    /// Ids of authorisations that are open there.
    pub ids: Vec<String>,
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    /// The acquirer side connected to a pool's front.
    Met { auth: AuthId, pool: PoolId },
    /// It asks.
    Authorise { auth: AuthId, ask: Authorisation },
    /// It has not asked, and was heard up to now.
    Unasked { auth: AuthId },
    /// It left.
    Left { auth: AuthId },
    /// All of its sockets are closed.
    Closed { auth: AuthId },
    /// All of the leg's request is written.
    LegWritten { auth: AuthId, leg: u32 },
    /// The issuer host accepted: lines go both ways from here on.
    LegUp { auth: AuthId, leg: u32 },
    /// The issuer host ended the leg.
    LegEnded { auth: AuthId, leg: u32, end: LegEnd },
    /// A line went to the issuer host of a standing connection.
    Asked { auth: AuthId },
    /// Something came from it.
    Heard { auth: AuthId },
    /// It told a figure: the connection's load in microseconds of work a second, or, where the settings
    /// say that hosts tell it, the milliseconds that a message takes there.
    Load { auth: AuthId, load: f64 },
    /// What was kept of an earlier life: the store's entries, and hosts out by hand where no store says so.
    Kept { entries: Vec<(String, Entry)>, bans: Vec<String> },
    /// A routing table as it was last held, which may be old.
    Known { pool: PoolId, hosts: Vec<IssuerHost> },
    /// News of a routing table: all of it, or what changed.
    Table { pool: PoolId, whole: bool, hosts: Vec<IssuerHost> },
    /// Another balancer of the tier says what is slow.
    Peer { pool: PoolId, word: peers::Word },
    /// A probe of an issuer host is over.
    Probed { pool: PoolId, host: ServerId, end: ProbeEnd },
    /// The watch on it broke, or could not be had.
    TableLost { pool: PoolId },
    /// Another node's store, or an operator's command, sent this.
    Gossip { from: SocketAddr, gossip: Gossip },
    /// The configuration was read again: its pools in the old order, and the other stores.
    Configure { pools: Vec<PoolSetup>, peers: Vec<SocketAddr>, budget: Budget },
    /// The fronts listen.
    Listening,
    /// Another process starts in this one's place, and asks for what there is to know.
    Succession,
    /// It serves now.
    Succeeded,
    /// The sockets of a standing connection are with it.
    Passed { auth: AuthId },
    /// This process has what the one before it knew.
    Inherit(Box<Legacy>),
    /// A standing connection came from the process before.
    Adopted { auth: AuthId, pool: PoolId, standing: Standing },
    /// The other process is gone.
    PartnerLost,
    /// An operator's word came to the other process...
    Shared { host: String, out: bool },
    /// ...or has arrived there.
    ShareTaken { caller: CallerId },
    /// An operator calls.
    Call { caller: CallerId, call: Call },
    /// This balancer is to leave.
    Leave,
    /// Time has come to something.
    Tick,
}

/// What is to be done outside, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Connect to this address and send the request; the host is told that it has so long.
    OpenLeg { auth: AuthId, leg: u32, address: String, wait: Micros },
    /// Close the leg that is out.
    CloseLeg { auth: AuthId },
    /// Give this answer, then end both sides.
    Answer { auth: AuthId, answer: Answer },
    /// Hear the acquirer side once more: its time to ask is over. [`Input::Unasked`] if it still has not.
    Hear { auth: AuthId },
    /// Close all sockets of an authorisation at once.
    Drop { auth: AuthId },
    /// The fronts may accept connections, or have to leave them waiting.
    Doors { open: bool },
    /// Tell the other balancers of the tier what is slow.
    TellPeers(peers::Word),
    /// Ask a host for its load, which its report has under the first of these names that it holds, and wait so
    /// long for the answer. It is to be told once, by [`Input::Probed`].
    Probe { pool: PoolId, host: ServerId, address: String, names: Vec<&'static str>, wait: Micros },
    /// Watch a routing table, telling what was missed first.
    Watch { pool: PoolId },
    /// Let the old watch go and watch at this address, which tells the whole list first.
    WatchAt { pool: PoolId, discovery: SocketAddr },
    /// Send this to another node's store, or to whoever gave a command.
    Tell(Letter),
    /// Put an entry of the store where it outlives the process.
    Keep { key: String, entry: Entry },
    /// Leave this to the process that starts.
    Bequeath(Box<Legacy>),
    /// Pass a standing connection on to it, as soon as it is between two lines.
    Pass { auth: AuthId, pool: PoolId, standing: Standing },
    /// Tell the other process of a host out by hand or back, for this caller.
    Share { caller: CallerId, host: String, out: bool },
    /// Put the hosts out by hand where they outlive the process.
    KeepBans(Vec<String>),
    /// Answer an operator's call.
    Reply { caller: CallerId, reply: Reply },
    /// A line for the log.
    Log(String),
    /// Nothing is held any more: the balancer may go.
    Exit,
}

/// What the store is set up with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreSetup {
    /// Name of this node, which no other may have.
    pub node: String,
    /// The others' stores.
    pub peers: Vec<SocketAddr>,
}

/// What all fronts together may hold, as this machine's limits allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Connections that have no leg: they have not asked yet, or are ended and not yet closed.
    pub waiting: usize,
    /// Authorisations with a leg, out or standing.
    pub held: usize,
    /// Bytes that wait for a side that does not read, before no more is taken from the other.
    pub buffer: usize,
}

/// What a pool is set up with.
#[derive(Clone, Debug)]
pub struct PoolSetup {
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
    /// Where its routing table is watched; none where it comes from a file.
    pub discovery: Option<SocketAddr>,
    /// The acquirer side has so long to ask.
    pub greeting: Micros,
    /// The store may add issuer hosts, and says how many connections may be held; where it does not, so many.
    pub from_store: bool,
    pub most_held: usize,
    /// Clients of a draining host are moved over this time; 0 where hosts send them away by themselves.
    pub drain_over: Micros,
    /// A standing connection whose host stays silent so long after a line is moved; 0 for never.
    pub silence: Micros,
    /// Hosts tell how long messages take, and by the same word what load a connection is.
    pub tells_delay: bool,
    pub tells_load: bool,
    /// Names under which a probe's answer may carry a host's load over its capacity, the best first.
    pub reports: Vec<&'static str>,
    /// The longest that an acquirer side waits for its answer.
    pub longest_wait: Micros,
    /// How standing connections are moved towards balance.
    pub rebalance: rebalance::Setup,
    /// The balancers of the tier may tell each other of slow hosts, at this price for 256 bytes a request.
    pub peers: Option<f64>,
}

impl PoolSetup {
    /// How its balancers may tell each other.
    pub(super) fn peer_setup(&self) -> peers::Setup {
        peers::Setup {
            on: self.peers.is_some(),
            price: self.peers.unwrap_or(0.0),
            balancers: self.settings.balancers,
            message_aim: self.settings.message_aim(),
            holds: self.settings.word_holds(),
            set_up_holds: self.settings.set_up_holds(),
        }
    }

    /// What of this concerns rebalancing.
    pub(super) fn rebalance_terms(&self) -> rebalance::Terms {
        let Settings { classes, balancers, move_price, warm_up, .. } = &self.settings;
        let setup_aims = classes.iter().map(|class| class.setup_aim).filter(|&aim| aim > 0);
        rebalance::Terms {
            balancers: *balancers,
            worths: classes.iter().map(|class| class.worth).collect(),
            setup_aim: setup_aims.min().unwrap_or(0),
            message_aim: self.settings.message_aim(),
            tells_delay: self.tells_delay,
            move_price: *move_price,
            warm_up: *warm_up,
        }
    }

    /// This setup in the place of another. Danger: authorisations that are out know their class, tenant and
    /// zone by number, so names keep theirs; one that is no longer configured is there by no name.
    pub(super) fn after(mut self, old: &PoolSetup) -> PoolSetup {
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
