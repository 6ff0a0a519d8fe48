//! The one reducer: every change of the balancer's state goes through [`reduce`], which reads nothing,
//! writes nothing and knows no wire. Reading and writing are [`Effect`]s that it asks for.
//!
//! It owns the decision module's balancers, one for each pool of issuer hosts, and only here do the
//! shop's terms meet the module's: an authorisation is its request, a leg its attempt, an issuer host
//! its server.

pub mod store;
mod table;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use store::{Entry, Gossip, Letter, Store};
pub use table::{host_number, stored_host, IssuerHost, Lifecycle, RoutingTable};

use crate::{
    Action, Balancer, ClassId, Event, GroupId, Micros, Note, Outcome, RequestId, ServerId, Settings,
    TenantId, Time,
};

/// How long a balancer that leaves asks refused clients to stay away: the front needs that to notice.
const LEAVING_WAIT: Micros = 400_000;
/// A balancer that is told to leave has the longest wait of its acquirer sides for it, at most so long, and
/// something more, of which a part is kept to be gone in good time.
const LEAVING_WAITS: Micros = 3_000_000;
const LEAVING_MORE: Micros = 400_000;
/// From when it moves its clients, until so long before the end. Danger: all in one wave, or sooner than they
/// must, they come to the others while one of those may be starting again itself.
const LEAVING_FROM: Micros = 50_000;
const LEAVING_REST: Micros = 300_000;
/// It stays so long even if it holds nothing: connections go on coming until the front has noticed.
const LEAVING_STAY: Micros = 1_000_000;
/// A connection that stood before the start is tried this long, this far apart.
const ADOPT_FOR: Micros = 30_000_000;
const ADOPT_GAP: Micros = 500_000;
/// The list from before the start may be old: a host that it does not name may be listed within this time.
const ADOPT_UNLISTED: Micros = 2_000_000;
/// A figure under this share of the mean load is no load: the least load seen over 5,000 of them, of an
/// idle connection, was 1/52 of the mean.
const LEAST_LOAD: f64 = 1.0 / 64.0;
/// A host that is slow says so every second; a figure this near its last, after at most so long, is the next.
const SLOW_FACTOR: f64 = 2.5;
const SLOW_GAP: Micros = 1_300_000;

/// Where connections without a leg are as many as they may be, one that has been there so long makes room.
/// An acquirer side that means to ask does so at once; its line has to arrive.
const ROOM_AFTER: Micros = 100_000;

/// Between two digests that a node sends.
const GOSSIP_GAP: Micros = 500_000;

/// One authorisation: a connection of the acquirer side, from its accept to its end. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AuthId(pub u64);

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

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    /// The acquirer side connected to a pool's front.
    Met { auth: AuthId, pool: PoolId },
    /// It asks.
    Authorise { auth: AuthId, ask: Authorisation },
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
    /// News of a routing table: all of it, or what changed.
    Table { pool: PoolId, whole: bool, hosts: Vec<IssuerHost> },
    /// The watch on it broke, or could not be had.
    TableLost { pool: PoolId },
    /// Another node's store, or an operator's command, sent this.
    Gossip { from: SocketAddr, gossip: Gossip },
    /// The configuration was read again: its pools in the old order, and the other stores.
    Configure { pools: Vec<PoolSetup>, peers: Vec<SocketAddr>, budget: Budget },
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
    /// Close all sockets of an authorisation at once.
    Drop { auth: AuthId },
    /// The fronts may accept connections, or have to leave them waiting.
    Doors { open: bool },
    /// Watch a routing table, telling what was missed first.
    Watch { pool: PoolId },
    /// Let the old watch go and watch at this address, which tells the whole list first.
    WatchAt { pool: PoolId, discovery: SocketAddr },
    /// Send this to another node's store, or to whoever gave a command.
    Tell(Letter),
    /// Put an entry of the store where it outlives the process.
    Keep { key: String, entry: Entry },
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
    /// What was kept of an earlier life.
    pub kept: Vec<(String, Entry)>,
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
    /// Hosts tell how long messages take.
    pub tells_delay: bool,
    /// The longest that an acquirer side waits for its answer.
    pub longest_wait: Micros,
}

impl PoolSetup {
    /// This setup in the place of another. Danger: authorisations that are out know their class, tenant and
    /// zone by number, so names keep theirs; one that is no longer configured is there by no name.
    fn after(mut self, old: &PoolSetup) -> PoolSetup {
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

struct Pool {
    setup: PoolSetup,
    balancer: Balancer,
    table: RoutingTable,
    /// The hosts as discovery or the operator's file lists them, before the store has its say.
    listed: BTreeMap<String, IssuerHost>,
    /// Authorisations past their greeting, and the ids by which their acquirer sides call them.
    held: usize,
    ids: BTreeSet<String>,
    wake: Option<Time>,
    /// Sum and number of the loads told so far.
    loads: (f64, f64),
    /// Hosts that told of slow messages, when they last did, and how many milliseconds those took.
    slow: BTreeMap<ServerId, (Time, f64)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Connected, has not asked.
    Greeting,
    /// An answer is owed.
    Placing,
    /// It stood at this host before the start and is set up again until then.
    Adopting(Time, ServerId),
    /// Served.
    Standing,
}

#[derive(Clone, Copy, Debug)]
struct Leg {
    number: u32,
    host: ServerId,
    written: bool,
    /// When it has to be up.
    until: Time,
}

struct Auth {
    pool: PoolId,
    id: Option<String>,
    phase: Phase,
    legs: u32,
    leg: Option<Leg>,
    /// Its one timer.
    due: Option<Time>,
    /// When it connected, and when it is to be moved.
    met: Time,
    move_at: Option<Time>,
    /// When the first line went to the host that has had no answer since.
    asked: Option<Time>,
}

/// All that the balancer knows.
pub struct State {
    pools: Vec<Pool>,
    auths: BTreeMap<AuthId, Auth>,
    timers: BTreeSet<(Time, AuthId)>,
    budget: Budget,
    /// Connections without a leg, and since when.
    waiting: BTreeMap<AuthId, Time>,
    /// The fronts accept no connections until there is room, which is looked for then.
    shut: Option<Time>,
    /// Authorisations with a leg at a host.
    at: BTreeMap<(PoolId, ServerId), BTreeSet<AuthId>>,
    /// From when it may go, and when it goes at the latest, once it leaves.
    leaving: Option<(Time, Time)>,
    effects: Vec<Effect>,
    store: Store,
    peers: Vec<SocketAddr>,
    /// Whose turn it is to be sent a digest, and when.
    next_peer: usize,
    gossip_at: Option<Time>,
}

/// Takes in what happened and returns what is to be done. The only way in which the state changes.
pub fn reduce(state: &mut State, now: Time, input: Input) -> Vec<Effect> {
    state.take(now, input);
    std::mem::take(&mut state.effects)
}

impl State {
    /// A balancer that has been told its pools and nothing else.
    pub fn new(pools: Vec<PoolSetup>, store: StoreSetup, budget: Budget, now: Time) -> State {
        let mut map = Store::new(&store.node);
        for (key, entry) in store.kept {
            map.take(&key, entry);
        }
        let pool = |setup: PoolSetup| Pool {
            balancer: Balancer::new(setup.settings.clone(), setup.seed, now),
            table: RoutingTable::default(),
            listed: BTreeMap::new(),
            held: 0,
            ids: BTreeSet::new(),
            wake: None,
            loads: (0.0, 0.0),
            slow: BTreeMap::new(),
            setup,
        };
        State {
            pools: pools.into_iter().map(pool).collect(),
            auths: BTreeMap::new(),
            timers: BTreeSet::new(),
            budget,
            waiting: BTreeMap::new(),
            shut: None,
            at: BTreeMap::new(),
            leaving: None,
            effects: Vec::new(),
            store: map,
            gossip_at: (!store.peers.is_empty()).then_some(now),
            peers: store.peers,
            next_peer: 0,
        }
    }

    /// What the fronts may hold now.
    pub fn budget(&self) -> Budget {
        self.budget
    }

    /// When [`Input::Tick`] is wanted next.
    pub fn next_due(&self) -> Option<Time> {
        let wakes = self.pools.iter().filter_map(|pool| pool.wake);
        let timers = self.timers.first().map(|&(at, _)| at);
        let leaving = self.leaving.map(|(from, to)| if self.auths.is_empty() { from } else { to });
        wakes.chain(timers).chain(leaving).chain(self.gossip_at).chain(self.shut).min()
    }

    /// What the store holds: for tests.
    pub fn store(&self) -> &Store {
        &self.store
    }

    fn take(&mut self, now: Time, input: Input) {
        match input {
            Input::Met { auth, pool } => self.met(now, auth, pool),
            Input::Authorise { auth, ask } => self.authorise(now, auth, ask),
            Input::Left { auth } => self.left(now, auth),
            Input::Closed { auth } => {
                self.waiting.remove(&auth);
                self.make_room(now);
            }
            Input::LegWritten { auth, leg } => {
                if let Some(leg) = self.leg(auth, leg) {
                    leg.written = true;
                }
                self.time_leg(auth);
            }
            Input::LegUp { auth, leg } => self.leg_up(now, auth, leg),
            Input::LegEnded { auth, leg, end } => self.leg_ended(now, auth, leg, end),
            Input::Asked { auth } => {
                if let Some(auth) = self.auths.get_mut(&auth) {
                    auth.asked.get_or_insert(now);
                }
            }
            Input::Heard { auth } => self.heard(auth),
            Input::Load { auth, load } => self.told(now, auth, load),
            Input::Table { pool, whole, hosts } => self.follow(now, pool, whole, hosts),
            Input::TableLost { pool } => self.tell(now, pool, Event::ListFailed),
            Input::Gossip { from, gossip } => self.gossip(now, from, gossip),
            Input::Configure { pools, peers, budget } => self.configure(now, pools, peers, budget),
            Input::Leave => self.leave(now),
            Input::Tick => self.tick(now),
        }
        if self.leaving.is_some_and(|(from, to)| now >= to || now >= from && self.auths.is_empty()) {
            self.leaving = None;
            // Whoever is still here is owed a word.
            for id in self.auths.keys().copied().collect::<Vec<_>>() {
                let answer = match self.auths.get(&id).map(|auth| auth.phase) {
                    Some(Phase::Standing) => Answer::Moved,
                    Some(Phase::Greeting) => Answer::Late,
                    _ => Answer::Failed,
                };
                self.effects.push(Effect::Answer { auth: id, answer });
                self.end(now, id, Outcome::Cancelled);
            }
            self.effects.push(Effect::Exit);
        }
    }

    // ---- The acquirer side ----

    fn met(&mut self, now: Time, id: AuthId, pool: PoolId) {
        let Some(entered) = self.pools.get(pool) else { return };
        let greeting = entered.setup.greeting;
        let auth = Auth {
            pool,
            id: None,
            phase: Phase::Greeting,
            legs: 0,
            leg: None,
            due: None,
            met: now,
            move_at: None,
            asked: None,
        };
        self.auths.insert(id, auth);
        self.set_due(id, Some(now.plus(greeting)));
        self.waiting.insert(id, now);
        self.make_room(now);
    }

    /// Danger: hundreds that connect and say nothing, or do not go when they are answered, would use up the
    /// descriptors. The oldest makes room; where all are too fresh to judge, the fronts stop accepting.
    fn make_room(&mut self, now: Time) {
        let full = |state: &State| state.waiting.len() >= state.budget.waiting;
        let mut room_at = None;
        while let Some((&id, &since)) = self.waiting.iter().min_by_key(|(_, at)| **at).filter(|_| full(self))
        {
            if now.since(since) < ROOM_AFTER {
                room_at = Some(since.plus(ROOM_AFTER));
                break;
            }
            self.forget(now, id);
            self.waiting.remove(&id);
            self.effects.push(Effect::Drop { auth: id });
        }
        if room_at.is_some() != self.shut.is_some() {
            self.effects.push(Effect::Doors { open: room_at.is_none() });
        }
        self.shut = room_at;
    }

    fn authorise(&mut self, now: Time, id: AuthId, ask: Authorisation) {
        let Some(auth) = self.auths.get(&id).filter(|a| a.phase == Phase::Greeting) else { return };
        let (pool_id, met) = (auth.pool, auth.met);
        let greeting = self.pools[pool_id].setup.greeting;
        if self.leaving.is_some() {
            // What still arrives at a balancer that leaves is answered, and told to come again.
            self.forget(now, id);
            return self.effects.push(Effect::Answer { auth: id, answer: Answer::Refused(LEAVING_WAIT) });
        }
        let held: usize = self.pools.iter().map(|pool| pool.held).sum();
        let pool = &self.pools[pool_id];
        let limit = self.store.get("limit/connections").filter(|_| pool.setup.from_store);
        let limit = limit.and_then(|text| text.parse().ok()).unwrap_or(pool.setup.most_held);
        if pool.held >= limit || held >= self.budget.held {
            let wait = pool.setup.settings.max_retry_after / 2;
            self.forget(now, id);
            return self.effects.push(Effect::Answer { auth: id, answer: Answer::Refused(wait) });
        }
        let index = |names: &[String], name: &str| names.iter().position(|n| !name.is_empty() && n == name);
        let (classes, tenants) = (&pool.setup.classes, &pool.setup.tenants);
        let class = index(classes, &ask.class).map(|n| ClassId(n as u16));
        let tenant = ask.tenant.as_deref().map(|name| index(tenants, name).map(|n| TenantId(n as u16)));
        // Danger: what names nothing that is configured is no request; hosts could only turn it away. And
        // two that pass for one would have their answers mixed up by whoever counts them.
        let taken = ask.id.as_ref().is_some_and(|id| pool.ids.contains(id));
        let (Some(class), false) = (class, taken || tenant == Some(None) && !tenants.is_empty()) else {
            return self.answer(now, id, Answer::Failed);
        };
        let tenant = tenant.flatten();
        self.waiting.remove(&id);
        self.make_room(now);
        let pool = &mut self.pools[pool_id];
        pool.held += 1;
        pool.ids.extend(ask.id.clone());
        self.auths.entry(id).and_modify(|auth| auth.id = ask.id);
        let (group, load, request) = (ask.group.map(GroupId), ask.load, RequestId(id.0));
        self.set_due(id, None);
        let Some(name) = ask.standing_at else {
            self.phase(id, Phase::Placing);
            let deadline = ask.wait.map_or(met.plus(greeting), |wait| now.plus(wait));
            let event = Event::Arrived { request, class, tenant, group, load, deadline };
            return self.tell(now, pool_id, event);
        };
        let server = host_number(&name);
        self.phase(id, Phase::Adopting(now.plus(ADOPT_FOR), server));
        self.tell(now, pool_id, Event::Open { request, class, tenant, group, load, server });
        self.adopt_again(now, id, now.plus(ADOPT_FOR), server);
    }

    fn left(&mut self, now: Time, id: AuthId) {
        let Some(auth) = self.auths.get(&id) else { return };
        let (pool, phase) = (auth.pool, auth.phase);
        if phase == Phase::Placing {
            self.tell(now, pool, Event::Left { request: RequestId(id.0) });
        }
        self.end(now, id, Outcome::Cancelled);
    }

    // ---- Legs ----

    fn open_leg(&mut self, now: Time, id: AuthId, host: ServerId, wait: Micros) {
        let Some(auth) = self.auths.get_mut(&id) else { return };
        let pool = &self.pools[auth.pool];
        let (number, connect) = (auth.legs, pool.setup.settings.connect_timeout);
        auth.legs += 1;
        auth.leg = Some(Leg { number, host, written: false, until: now.plus(wait) });
        self.at.entry((auth.pool, host)).or_default().insert(id);
        let address = pool.table.any(host).map_or(String::new(), |host| host.address.clone());
        self.effects.push(Effect::OpenLeg { auth: id, leg: number, address, wait });
        self.set_due(id, Some(now.plus(wait.min(connect))));
    }

    /// The leg that is out, if it is this one. Danger: a late word of an ended leg must change nothing.
    fn leg(&mut self, id: AuthId, number: u32) -> Option<&mut Leg> {
        self.auths.get_mut(&id)?.leg.as_mut().filter(|leg| leg.number == number)
    }

    fn time_leg(&mut self, id: AuthId) {
        let Some(auth) = self.auths.get(&id).filter(|a| a.phase != Phase::Standing) else { return };
        if let Some(until) = auth.leg.filter(|leg| leg.written).map(|leg| leg.until) {
            self.set_due(id, Some(until));
        }
    }

    fn leg_up(&mut self, now: Time, id: AuthId, number: u32) {
        if self.leg(id, number).is_none() {
            return;
        }
        let Some(auth) = self.auths.get_mut(&id).filter(|a| a.phase != Phase::Standing) else { return };
        let (pool, placed) = (auth.pool, auth.phase == Phase::Placing);
        auth.phase = Phase::Standing;
        auth.move_at = self.leaving.map(|(_, at)| at.min(now.plus(LEAVING_FROM)));
        self.watch_over(now, id);
        if placed {
            self.tell(now, pool, Event::Started { request: RequestId(id.0), attempt: number });
        }
    }

    fn leg_ended(&mut self, now: Time, id: AuthId, number: u32, end: LegEnd) {
        if self.leg(id, number).is_none() {
            return;
        }
        let outcome = match end {
            // A verdict is an answer as good as any: the host is sound.
            LegEnd::Served | LegEnd::Verdict => Outcome::Ok,
            LegEnd::SentAway => Outcome::Cancelled,
            LegEnd::Error => Outcome::Error,
            LegEnd::TurnedAway => Outcome::Full,
            LegEnd::NoConnection => Outcome::ConnectFailed,
            LegEnd::NoSocket => Outcome::NotSent,
            LegEnd::Broken => Outcome::Reset,
        };
        match self.auths.get(&id).map(|a| a.phase) {
            Some(Phase::Adopting(until, _)) if now < until => {
                self.drop_leg(id);
                self.set_due(id, Some(now.plus(ADOPT_GAP)));
            }
            Some(Phase::Placing) if end != LegEnd::Verdict => self.leg_failed(now, id, outcome),
            Some(_) => self.end(now, id, outcome),
            None => {}
        }
    }

    /// A leg of an authorisation that is still owed its answer has come to nothing.
    fn leg_failed(&mut self, now: Time, id: AuthId, outcome: Outcome) {
        let Some((pool, leg)) = self.auths.get(&id).and_then(|a| Some((a.pool, a.leg?))) else { return };
        self.drop_leg(id);
        self.set_due(id, None);
        let (request, attempt, answered) = (RequestId(id.0), leg.number, false);
        self.tell(now, pool, Event::Ended { request, attempt, outcome, answered });
    }

    fn drop_leg(&mut self, id: AuthId) -> Option<Leg> {
        let auth = self.auths.get_mut(&id)?;
        let leg = auth.leg.take()?;
        if let Some(there) = self.at.get_mut(&(auth.pool, leg.host)) {
            there.remove(&id);
            if there.is_empty() {
                self.at.remove(&(auth.pool, leg.host));
            }
        }
        Some(leg)
    }

    // ---- Standing connections ----

    fn heard(&mut self, id: AuthId) {
        let Some(auth) = self.auths.get_mut(&id).filter(|a| a.phase == Phase::Standing) else { return };
        auth.asked = None;
    }

    /// Danger: issuer hosts tell two figures by the same word, a connection's load and, every second while
    /// it is long, the time that a message takes. Taken for a load, that time makes the heaviest host look
    /// empty, and more is sent there.
    fn told(&mut self, now: Time, id: AuthId, figure: f64) {
        let Some((pool_id, leg)) = self.auths.get(&id).and_then(|a| Some((a.pool, a.leg?))) else { return };
        let pool = &mut self.pools[pool_id];
        let mean = pool.loads.0 / f64::max(pool.loads.1, 1.0);
        let last = pool.slow.get(&leg.host).filter(|(at, _)| now.since(*at) <= SLOW_GAP);
        let goes_on =
            last.is_some_and(|&(_, took)| (took / SLOW_FACTOR..took * SLOW_FACTOR).contains(&figure));
        let note = if pool.setup.tells_delay && (figure < mean * LEAST_LOAD || goes_on) {
            pool.slow.insert(leg.host, (now, figure));
            Note::MessageTime((figure.max(0.0) * 1000.0) as Micros)
        } else {
            pool.loads = (pool.loads.0 + figure, pool.loads.1 + 1.0);
            Note::Load(figure)
        };
        self.tell(now, pool_id, Event::Noted { request: RequestId(id.0), note });
    }

    /// Ends an authorisation whose answer was given or is not owed any more, whatever of it is out.
    fn end(&mut self, now: Time, id: AuthId, outcome: Outcome) {
        let Some((pool, phase)) = self.auths.get(&id).map(|a| (a.pool, a.phase)) else { return };
        let leg = self.forget(now, id);
        let attempt = match (phase, leg) {
            // To the module an adopted connection stands by its attempt 0, however often it was tried.
            (Phase::Adopting(..), _) => Some(0),
            (_, leg) => leg.map(|leg| leg.number),
        };
        if let Some(attempt) = attempt {
            self.effects.push(Effect::CloseLeg { auth: id });
            let request = RequestId(id.0);
            self.tell(now, pool, Event::Ended { request, attempt, outcome, answered: true });
        }
    }

    /// Its sockets stay for a while: it waits to be closed.
    fn forget(&mut self, now: Time, id: AuthId) -> Option<Leg> {
        let leg = self.drop_leg(id);
        self.set_due(id, None);
        if let Some(auth) = self.auths.remove(&id) {
            self.waiting.insert(id, now);
            let pool = &mut self.pools[auth.pool];
            pool.held -= usize::from(auth.phase != Phase::Greeting);
            auth.id.map(|id| pool.ids.remove(&id));
        }
        leg
    }

    /// The acquirer side is told to come again, and both sides are closed.
    fn move_away(&mut self, now: Time, id: AuthId, outcome: Outcome) {
        self.effects.push(Effect::Answer { auth: id, answer: Answer::Moved });
        self.end(now, id, outcome);
    }

    // ---- Configuration ----

    /// Another configuration takes the place of the old at one go. What is out, what stands and what was
    /// learned of hosts stays, and so does the routing table, until the new discovery tells another.
    fn configure(&mut self, now: Time, setups: Vec<PoolSetup>, peers: Vec<SocketAddr>, budget: Budget) {
        self.budget = budget;
        for (id, setup) in setups.into_iter().enumerate().take(self.pools.len()) {
            let pool = &mut self.pools[id];
            let setup = setup.after(&pool.setup);
            let moved = setup.discovery.filter(|_| setup.discovery != pool.setup.discovery);
            pool.balancer.configure(setup.settings.clone());
            pool.setup = setup;
            self.refresh(now, id);
            self.effects.extend(moved.map(|discovery| Effect::WatchAt { pool: id, discovery }));
        }
        if self.peers != peers {
            self.gossip_at = (!peers.is_empty()).then_some(now);
            self.peers = peers;
        }
    }

    // ---- Routing table ----

    fn follow(&mut self, now: Time, pool_id: PoolId, whole: bool, hosts: Vec<IssuerHost>) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        if whole {
            pool.listed.clear();
        }
        for host in hosts {
            match host.lifecycle {
                Lifecycle::Gone => drop(pool.listed.remove(&host.name)),
                _ => drop(pool.listed.insert(host.name.clone(), host)),
            }
        }
        self.refresh(now, pool_id);
    }

    /// Makes the routing table anew from what is listed and what the store says of it.
    fn refresh(&mut self, now: Time, pool_id: PoolId) {
        let pool = &mut self.pools[pool_id];
        let mut hosts = pool.listed.clone();
        if pool.setup.from_store {
            let added = self.store.under("host/").filter_map(|(name, text)| stored_host(name, text));
            hosts.extend(added.map(|host| (host.name.clone(), host)));
        }
        for (name, text) in self.store.under("life/") {
            // Only hosts of this balancer's own list may be used, and none that this list has leaving.
            match (hosts.get_mut(name), text) {
                (Some(host), "draining") => host.lifecycle = Lifecycle::Draining,
                (Some(_), "gone") => drop(hosts.remove(name)),
                _ => {}
            }
        }
        let listed = pool.table.follow(hosts.into_values(), &pool.setup.zones);
        self.tell(now, pool_id, Event::List(&listed));
        let over = self.pools[pool_id].setup.drain_over;
        let leaving: Vec<_> = self.at.range((pool_id, ServerId(0))..=(pool_id, ServerId(u32::MAX))).collect();
        let table = &self.pools[pool_id].table;
        let held = leaving.into_iter().filter(|((_, host), _)| table.ready(*host).is_none());
        let held: Vec<(ServerId, AuthId)> =
            held.flat_map(|((_, host), auths)| auths.iter().map(|&auth| (*host, auth))).collect();
        let mut draining: BTreeMap<ServerId, Vec<AuthId>> = BTreeMap::new();
        for (host, id) in held {
            let gone = self.pools[pool_id].table.any(host).is_none();
            let Some(auth) = self.auths.get(&id) else { continue };
            match (auth.phase, auth.leg) {
                // Danger (drains): what is not written yet must not reach a host told to be leaving.
                (Phase::Placing, Some(leg)) if !leg.written => {
                    self.effects.push(Effect::CloseLeg { auth: id });
                    self.leg_failed(now, id, Outcome::NotSent);
                }
                (Phase::Standing, _) if gone => self.move_away(now, id, Outcome::Reset),
                (Phase::Standing, _) if over > 0 && auth.move_at.is_none() => {
                    draining.entry(host).or_default().push(id)
                }
                _ => {}
            }
        }
        for standing in draining.into_values() {
            self.move_over(now, &standing, 0, over);
        }
    }

    // ---- Store ----

    fn gossip(&mut self, now: Time, from: SocketAddr, gossip: Gossip) {
        // Danger: what holds for all nodes is taken from the nodes only.
        if !matches!(gossip, Gossip::Write { .. }) && !self.peers.contains(&from) {
            return self.effects.push(Effect::Log(format!("word from {from}, which is no peer, not taken")));
        }
        match gossip {
            Gossip::Digest { wanted, buckets } => {
                let sent = self.store.repair(&buckets);
                if wanted && (!sent.is_empty() || buckets != self.store.digest()) {
                    let digest = Gossip::Digest { wanted: false, buckets: self.store.digest() };
                    self.effects.push(Effect::Tell((from, digest)));
                }
                self.effects.extend(sent.into_iter().map(|gossip| Effect::Tell((from, gossip))));
            }
            Gossip::Entry { key, entry } => {
                if let Some(entry) = self.store.hear(&key, entry) {
                    self.stored(now, key, entry);
                }
            }
            // Danger: an operator's word is taken from this machine only.
            Gossip::Write { key, value } if from.ip().is_loopback() => {
                let Some(entry) = self.store.write(&key, value.as_deref()) else { return };
                let told = Gossip::Entry { key: key.clone(), entry: entry.clone() };
                self.stored(now, key, entry);
                self.effects.push(Effect::Tell((from, told.clone())));
                // Others hear of it at once; where that is lost, digests find it out.
                self.effects.extend(self.peers.iter().map(|&peer| Effect::Tell((peer, told.clone()))));
            }
            Gossip::Write { .. } => self.effects.push(Effect::Log(format!("write from {from} not taken"))),
        }
    }

    /// The store has news: they are kept, and take effect.
    fn stored(&mut self, now: Time, key: String, entry: Entry) {
        let value = entry.value.as_deref().unwrap_or("nothing");
        self.effects.push(Effect::Log(format!("store: {key} is {value}, says {}", entry.node)));
        let host = key.starts_with("life/") || key.starts_with("host/");
        self.effects.push(Effect::Keep { key, entry });
        for pool in (0..self.pools.len()).filter(|_| host) {
            self.refresh(now, pool);
        }
    }

    /// One of the others is sent a digest each time.
    fn keep_gossiping(&mut self, now: Time) {
        let Some(&peer) = self.peers.get(self.next_peer % self.peers.len().max(1)) else { return };
        self.next_peer += 1;
        self.gossip_at = Some(now.plus(GOSSIP_GAP));
        let digest = Gossip::Digest { wanted: true, buckets: self.store.digest() };
        self.effects.push(Effect::Tell((peer, digest)));
    }

    // ---- Time ----

    fn tick(&mut self, now: Time) {
        while let Some(&(_, id)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.set_due(id, None);
            let Some(auth) = self.auths.get(&id) else { continue };
            match (auth.phase, auth.leg) {
                (Phase::Greeting, _) => {
                    self.forget(now, id);
                    self.effects.push(Effect::Answer { auth: id, answer: Answer::Late });
                }
                (Phase::Placing, leg) => {
                    let written = leg.is_some_and(|leg| leg.written);
                    self.effects.push(Effect::CloseLeg { auth: id });
                    let outcome = if written { Outcome::TimedOut } else { Outcome::ConnectFailed };
                    self.leg_failed(now, id, outcome);
                }
                (Phase::Adopting(until, host), _) => self.adopt_again(now, id, until, host),
                (Phase::Standing, _) => self.overdue(now, id),
            }
        }
        if self.shut.is_some_and(|at| at <= now) {
            self.make_room(now);
        }
        if self.gossip_at.is_some_and(|at| at <= now) {
            self.keep_gossiping(now);
        }
        for pool in 0..self.pools.len() {
            if self.pools[pool].wake.is_some_and(|at| at <= now) {
                self.pools[pool].wake = None;
                self.tell(now, pool, Event::Wake);
            }
        }
    }

    /// The leg of a connection that stood before the start is over, or the pause after it is.
    fn adopt_again(&mut self, now: Time, id: AuthId, until: Time, host: ServerId) {
        let Some(auth) = self.auths.get(&id) else { return };
        let pool = &self.pools[auth.pool];
        let (most, listed) = (pool.setup.settings.max_attempts, pool.table.any(host).is_some());
        // Danger: a client may name a host that there never was; it is owed its error soon.
        if now < until && auth.legs < most && (listed || now.since(auth.met) < ADOPT_UNLISTED) {
            if self.drop_leg(id).is_some() {
                self.effects.push(Effect::CloseLeg { auth: id });
            }
            match listed {
                true => self.open_leg(now, id, host, until.since(now)),
                false => self.set_due(id, Some(now.plus(ADOPT_GAP))),
            }
        } else {
            self.effects.push(Effect::Answer { auth: id, answer: Answer::Failed });
            self.end(now, id, Outcome::Reset);
        }
    }

    /// Sets a standing connection's timer: for its move, or for the silence of its host.
    fn watch_over(&mut self, now: Time, id: AuthId) {
        let Some(auth) = self.auths.get(&id) else { return };
        let silence = self.pools[auth.pool].setup.silence;
        let silent = (silence > 0).then(|| auth.asked.unwrap_or(now).plus(silence));
        self.set_due(id, auth.move_at.into_iter().chain(silent).min());
    }

    /// A standing connection's timer is due.
    fn overdue(&mut self, now: Time, id: AuthId) {
        let Some(auth) = self.auths.get(&id) else { return };
        let silence = self.pools[auth.pool].setup.silence;
        // Danger: a host that vanished says nothing; its clients would wait for ever.
        if silence > 0 && auth.asked.is_some_and(|at| at.plus(silence) <= now) {
            self.move_away(now, id, Outcome::Reset);
        } else if auth.move_at.is_some_and(|at| at <= now) {
            self.move_away(now, id, Outcome::Cancelled);
        } else {
            self.watch_over(now, id);
        }
    }

    /// Has standing connections moved one by one: all in one wave would hit the others at once.
    fn move_over(&mut self, now: Time, standing: &[AuthId], from: Micros, over: Micros) {
        let gap = over / standing.len().max(1) as u64;
        for (n, &id) in standing.iter().enumerate() {
            let at = now.plus(from + gap * n as u64 + gap / 2);
            let Some(auth) = self.auths.get_mut(&id) else { continue };
            auth.move_at = Some(auth.move_at.map_or(at, |old| old.min(at)));
            self.watch_over(now, id);
        }
    }

    fn leave(&mut self, now: Time) {
        if self.leaving.is_some() {
            return;
        }
        let longest = self.pools.iter().map(|p| p.setup.longest_wait).max().unwrap_or(0);
        let stay = longest.min(LEAVING_WAITS) + LEAVING_MORE;
        self.leaving = Some((now.plus(LEAVING_STAY.min(stay)), now.plus(stay)));
        let standing: Vec<AuthId> =
            self.auths.iter().filter(|(_, a)| a.phase == Phase::Standing).map(|(&id, _)| id).collect();
        let over = stay.saturating_sub(LEAVING_FROM + LEAVING_REST);
        self.move_over(now, &standing, LEAVING_FROM, over);
        self.effects.push(Effect::Log(format!("leaving: {} connections to move", self.auths.len())));
    }

    fn set_due(&mut self, id: AuthId, due: Option<Time>) {
        let Some(auth) = self.auths.get_mut(&id) else { return };
        if let Some(old) = std::mem::replace(&mut auth.due, due) {
            self.timers.remove(&(old, id));
        }
        if let Some(at) = due {
            self.timers.insert((at, id));
        }
    }

    fn phase(&mut self, id: AuthId, phase: Phase) {
        if let Some(auth) = self.auths.get_mut(&id) {
            auth.phase = phase;
        }
    }

    // ---- The module ----

    /// Hands an event to a pool's balancer and carries out what it decides.
    fn tell(&mut self, now: Time, pool: PoolId, event: Event<'_>) {
        let mut actions = Vec::new();
        self.pools[pool].balancer.handle(now, event, &mut actions);
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Send { request, server, timeout } => {
                    self.open_leg(now, AuthId(request.0), server, timeout)
                }
                Action::Refuse { request, retry_after } => {
                    self.answer(now, AuthId(request.0), Answer::Refused(retry_after))
                }
                Action::Fail { request } => self.answer(now, AuthId(request.0), Answer::Failed),
                Action::Cancel { request, attempt } => {
                    let id = AuthId(request.0);
                    if self.leg(id, attempt).is_some() {
                        self.drop_leg(id);
                        self.effects.push(Effect::CloseLeg { auth: id });
                    }
                    let mut more = Vec::new();
                    let (outcome, answered) = (Outcome::Cancelled, true);
                    let ended = Event::Ended { request, attempt, outcome, answered };
                    self.pools[pool].balancer.handle(now, ended, &mut more);
                    actions.extend(more);
                }
                Action::Move { request } => self.move_away(now, AuthId(request.0), Outcome::Cancelled),
                Action::Subscribe => self.effects.push(Effect::Watch { pool }),
                Action::WakeIn(wait) => {
                    let at = now.plus(wait);
                    let wake = &mut self.pools[pool].wake;
                    *wake = Some(wake.map_or(at, |old| old.min(at)));
                }
                // No issuer host of this shop may be probed.
                Action::Probe { .. } => {}
                Action::Log(text) => self.effects.push(Effect::Log(text)),
            }
        }
    }

    fn answer(&mut self, now: Time, id: AuthId, answer: Answer) {
        // Danger: an authorisation that has ended in the meantime must not be answered a second time.
        if self.auths.contains_key(&id) {
            self.forget(now, id);
            self.effects.push(Effect::Answer { auth: id, answer });
        }
    }
}
