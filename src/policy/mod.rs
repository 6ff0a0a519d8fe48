//! The decisions of one balancer. Its vocabulary (settings, events, actions) is in `src/types.rs`.
//!
//! The mechanism is that of "Insensitive Load Balancing" (Bonald, Jonckheere, Proutière, 2004): per
//! server a slot ceiling y and the connections x that this balancer holds there. A new connection
//! goes to a ready server at random, in proportion to its free room max(0, y - x). When no ready
//! server has room it goes one over the ceiling, to one that has not lately refused, dropped or been
//! slow; when there is none of those either it is refused, at once. Ceilings are learned: a few slots
//! at first, one more when a connection that filled the last slot is accepted, cut when the server
//! refuses, drops, or reports that it nears its capacity, and raised to what has long been held without
//! trouble. What departs from that is marked DEPARTURE.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::BuildHasher;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::{FxBuildHasher, FxHashMap};

use crate::running_mean::RunningMean;
use crate::types::*;

// ---- Constants: scale-free numbers, each with its reason ----

/// "A few": slots of a fresh server of mean weight, the least part in a report, times longer to remember.
const FEW: f64 = 4.0;
/// What a ceiling keeps after a refusal or a drop: firm, as the server itself says it is too much.
const CUT: f64 = 0.8;
/// Messages that take this share of the tightest objective are word of a server that fills...
const SLOW: f64 = 1.0 / 3.0;
/// ...and at this share many of them miss it: connections have to leave.
const TOO_SLOW: f64 = 0.5;
/// ...and at so many times the objective none is in time: staying is worth nothing.
const HOPELESS: f64 = 2.0;
/// Reported load over capacity up to which a ceiling lets a server fill: messages slow down before 1.
const NEAR_FULL: f64 = 0.85;
/// The most slots one connection takes: a wild figure must not close a server for good.
const MOST_SLOTS: f64 = 32.0;
/// A server pays for a group that it holds about as for so many mean connections.
const GROUP_SLOTS: f64 = 2.0;
/// A server of the own zone comes first while it holds less than so many times the mean, and a few.
const OWN_MORE: f64 = 1.25;
/// Between two moves off one server: what the first did has to show before the next.
const MOVE_GAP: Micros = 500_000;
/// One is moved for so many slots held on a hot server: enough to cool it, too few to heat the next.
const MOVE_SLOTS: f64 = 8.0;
/// Probes may cost this share of all worth.
const PROBE_SPEND: f64 = 0.004;
/// All together use this share of what a cold server bears where what others hold there is a guess.
const COLD_SAFETY: f64 = 0.5;
/// A cold server falls at three roots of what it is due in a window, and three, beyond that.
const SLACK: (f64, f64) = (3.0 / 2.0, 3.0);
/// So many times "lately" a server that had trouble is taken to be at its limit.
const LONG: Micros = 4;
/// A failure counts twice what a start takes back: who accepts and then drops must not pass for sound.
const FAILURE_STEP: u32 = 2;
/// A weight from here on is no size.
const MOST_WEIGHT: f64 = 1e9;
/// Groups seen before their shares are told from chance.
const GROUPS_PRIOR: f64 = 10.0;
/// Groups remembered, after which each counts half: sizes change with those who come and go.
const GROUPS_SEEN: f64 = 500.0;
/// What is left: of free room at a server that another saw drop, of what is let in after a slow set-up.
const WORD_LEAVES: f64 = 0.5;
/// A request is answered when this share of its time is left: the answer has to reach the client.
const ANSWER_SHARE: u64 = 64;

// ---- State ----

/// One server as this balancer sees it.
#[derive(Default)]
struct Server {
    listed: EndpointEntry,
    /// Its start, or when that was first heard if it lies ahead.
    since: Option<Time>,
    /// Its process, numbered by this balancer: what an earlier one held is not released from a later.
    life: u64,
    /// x: connections held or being set up.
    held: f64,
    /// How many of each group.
    groups: FxHashMap<GroupId, u32>,
    /// Those that stand.
    open: BTreeSet<RequestId>,
    /// Those being set up.
    opening: u32,
    /// Its ceiling, its health and what else was learned.
    known: LearnedState,
    /// Its last load report, and what was held here when that came.
    report: Option<LoadReport>,
    then: f64,
    /// Time between sends were it warm, when it was last sent to.
    gap: f64,
    /// When its load was last asked for.
    probed: Option<Time>,
}

/// The attempt of a request that has no outcome yet.
#[derive(Clone, Copy)]
struct Attempt {
    number: u32,
    server: ServerId,
    zone: ZoneId,
    cell: CellId,
    life: u64,
    sent: Time,
    /// It took the last free slot, or one over.
    filled: bool,
    /// The connection stands.
    open: bool,
}

/// A request from its arrival until it is answered and its last attempt has ended.
#[derive(Default)]
struct Request {
    class: ClassId,
    group: Option<GroupId>,
    /// Slots that it takes: its load over a mean connection's, as far as that is known.
    slots: f64,
    /// When it is answered at the latest.
    due: Time,
    answered: bool,
    /// Its client was asked to come again.
    moved: bool,
    attempts: u32,
    out: Option<Attempt>,
    /// The server that failed it last.
    failed_at: Option<ServerId>,
    /// Where it may have run, and when that attempt was sent.
    may_have_run: Option<(ZoneId, CellId, Time)>,
}

/// A server in the draw.
struct Lot {
    server: ServerId,
    /// It is in the balancer's own zone.
    own: bool,
    /// Slots held there.
    held: f64,
    /// It holds some of the request's group.
    kin: bool,
    /// Its free room.
    free: f64,
    /// Its share when all rooms are gone: the less the more it holds for its size.
    over: f64,
}

/// Decides for one balancer. Same settings, seed and events: same actions.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    servers: BTreeMap<ServerId, Server>,
    /// Processes met so far.
    lives: u64,
    requests: FxHashMap<RequestId, Request>,
    /// Requests that are owed an answer, by when.
    owed: BTreeSet<(Time, RequestId)>,
    /// The earliest wake-up under way.
    armed: Option<Time>,
    /// When to subscribe to the list, and how often that has failed in a row.
    subscribe_at: Option<Time>,
    list_failures: u32,
    /// Probes that started connections have paid for.
    probe_credit: f64,
    /// How long trouble counts as "lately": as long as refused clients stay away, more where little is held.
    lately: Micros,
    /// This balancer's part of the connections that fill a server, by reports; 0 where none tells.
    part: f64,
    /// The most slots ever held in all, and the most servers at a time.
    most: (f64, f64),
    /// When a server was last looked for.
    picked: Time,
    /// Loads as noted on open connections, of all and by class, and as hinted at arrivals.
    loads: RunningMean,
    class_loads: Vec<RunningMean>,
    hints: RunningMean,
    /// The tightest message objective, which word of slow messages is held against.
    message_objective: Micros,
    /// How many connections of each group were seen to stand, here or in others' samples, and of all.
    groups: BTreeMap<GroupHash, f64>,
    groups_seen: f64,
    /// The share of new connections let in, for what all servers share; as of when, and when it was cut.
    pace: f64,
    pace_at: Time,
    slowed: Option<Time>,
    /// Where an attempt erred or was not answered, and when, if none stood after it.
    erred: Option<(ServerId, Time)>,
}

impl Balancer {
    /// A balancer that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Balancer {
        Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: BTreeMap::new(),
            lives: 0,
            requests: FxHashMap::default(),
            owed: BTreeSet::new(),
            armed: None,
            subscribe_at: settings.poll_required.then_some(now),
            list_failures: 0,
            probe_credit: 0.0,
            lately: settings.max_retry_after,
            part: 0.0,
            most: (0.0, 0.0),
            picked: now,
            message_objective: settings.message_objective(),
            loads: RunningMean::default(),
            class_loads: vec![RunningMean::default(); settings.classes.len()],
            hints: RunningMean::default(),
            groups: BTreeMap::new(),
            groups_seen: 0.0,
            pace: 1.0,
            pace_at: now,
            slowed: None,
            erred: None,
            settings,
        }
    }

    /// Other settings from now on; what was learned and what is out stays. Classes must keep their numbers.
    pub fn configure(&mut self, settings: Settings) {
        self.class_loads.resize(settings.classes.len(), RunningMean::default());
        self.message_objective = settings.message_objective();
        self.settings = settings;
    }

    /// Takes in one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsReplaced(entries) => self.follow_list(now, entries, true),
            Event::EndpointsChanged(entries) => self.follow_list(now, entries, false),
            Event::EndpointWatchFailed => self.list_failed(now),
            Event::RequestArrived { request, class, group, load, deadline, .. } => {
                let slots = self.slots(class, load);
                let due = Time(deadline.0 - deadline.since(now) / ANSWER_SHARE);
                self.arrived(now, request, Request { due, ..Request::new(class, group, slots) }, actions)
            }
            Event::ConnectionRestored { request, class, group, load, server, .. } => {
                let slots = self.slots(class, load);
                self.adopt(request, Request::new(class, group, slots), server)
            }
            Event::ConnectionEstablished { request, attempt } => {
                self.started(now, request, attempt, actions);
                self.spend_probes(now, actions)
            }
            Event::ConnectionMeasured { request, measurement } => {
                self.noted(now, request, measurement, actions)
            }
            Event::AttemptEnded { request, attempt, outcome, answered } => {
                self.ended(now, request, attempt, (outcome, answered), actions)
            }
            Event::ClientLeft { request } => self.settle(request),
            Event::PeerObservation { server, took } => self.told(now, server, took),
            Event::PeerSetupSlow => self.slow_down(now, 0),
            Event::PeerGroupSample(groups) => groups.iter().for_each(|&group| self.see(group)),
            Event::TimerFired => {}
            Event::ProbeCompleted { server, report, .. } => self.probed(now, server, report, actions),
        }
        self.keep_time(now, actions);
    }

    /// Whether anything may still come or go for a request; if not, the host can forget it.
    pub fn is_tracked(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// What this balancer holds at a server and its ceiling there, in slots: for gauges and tests.
    pub fn occupancy(&self, server: ServerId) -> Option<(f64, f64)> {
        self.servers.get(&server).map(|s| (s.held, s.known.ceiling))
    }

    /// Groups of the connections that stand here, for other balancers.
    pub fn established_groups(&self) -> impl Iterator<Item = GroupHash> + '_ {
        let open = self.servers.values().flat_map(|s| &s.open);
        open.filter_map(|id| Some(self.requests.get(id)?.group?.short_hash()))
    }

    /// What this balancer has learned of a server, for another that takes its place...
    pub fn learned_state(&self, server: ServerId) -> Option<LearnedState> {
        self.servers.get(&server).map(|s| s.known)
    }
    /// ...which takes that in for each server of its list.
    pub fn restore_learned_state(&mut self, server: ServerId, known: LearnedState) {
        self.servers.entry(server).and_modify(|s| (s.known, s.gap) = (known, 0.0));
    }

    /// Whether the pick avoids a listed server now: it failed, or is in trouble and has no room.
    pub fn is_avoided(&self, now: Time, server: ServerId) -> bool {
        let hot = |s: &Server| !s.calm(now, self.lately) && s.held >= s.known.ceiling;
        self.servers.get(&server).is_some_and(|s| !s.healthy(now) || hot(s))
    }

    // ---- Servers and list following ----

    fn follow_list(&mut self, now: Time, entries: &[EndpointEntry], whole: bool) {
        self.list_failures = 0;
        if whole {
            self.servers.values_mut().for_each(|s| s.listed.state = EndpointState::Gone);
        }
        for entry in entries {
            self.lives += 1;
            // Danger: a start that lies ahead, by another clock, would keep its server cold until then.
            let since = entry.started.map(|at| at.min(now));
            let fresh = Server { listed: *entry, since, life: self.lives, ..Server::default() };
            match self.servers.get_mut(&entry.server) {
                // A new process holds nothing of the old one's, and inherits neither good nor bad name.
                Some(server) if entry.started > server.listed.started => *server = fresh,
                Some(server) => {
                    server.since = server.since.filter(|_| entry.started == server.listed.started).or(since);
                    server.listed = *entry;
                }
                None => drop(self.servers.insert(entry.server, fresh)),
            }
        }
        // What is gone is forgotten once nothing of it is out.
        self.servers.retain(|_, s| s.listed.state != EndpointState::Gone || !s.idle());
        let weights = self.serving().map(Server::weight);
        let mean = weights.sum::<f64>() / self.serving().count().max(1) as f64;
        let gap = self.cold_gap();
        for server in self.servers.values_mut().filter(|s| s.known.ceiling == 0.0) {
            // Danger (rule 4): balancers that hear of a cold server together must not begin together.
            server.space_out(&self.settings, now, gap, self.rng.random());
            server.known.ceiling =
                (FEW * server.weight() / mean.max(f64::MIN_POSITIVE)).clamp(1.0, FEW * FEW);
        }
    }

    /// Asks again after a growing, jittered wait, the longer the more balancers may have failed as well.
    /// Danger: calls are served in turn; such as come again before that keep each other waiting, for good.
    fn list_failed(&mut self, now: Time) {
        if self.settings.poll_required {
            let (first, most) = self.settings.list_waits();
            let wait = jitter(&mut self.rng, first.saturating_mul(1 << self.list_failures.min(6)).min(most));
            self.list_failures += 1;
            self.subscribe_at = Some(now.plus(wait));
        }
    }

    fn serving(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.listed.state == EndpointState::Serving)
    }

    // ---- Ceilings ----

    /// DEPARTURE: the paper's customers are alike. Here a slot is the load of a mean connection, and a
    /// connection takes as many as its own load, or else its class, is known to ask for.
    fn slots(&mut self, class: ClassId, load: Option<f64>) -> f64 {
        if let Some(load) = load.filter(|load| load.is_finite() && *load > 0.0) {
            return (load / self.hints.add(load)).min(MOST_SLOTS);
        }
        let all = self.loads.mean();
        let class = self.class_loads.get(class.0 as usize).map_or(all, |c| c.shrunk_towards(all));
        Some(all).filter(|all| *all > 0.0).map_or(1.0, |all| (class / all).min(MOST_SLOTS))
    }

    fn noted(&mut self, now: Time, id: RequestId, measurement: Measurement, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.out else { return };
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        if let Measurement::Load(load) = measurement {
            // Danger: one senseless figure would spoil the means for good.
            if !(load.is_finite() && load >= 0.0) {
                return;
            }
            let all = self.loads.add(load);
            if let Some(class) = self.class_loads.get_mut(request.class.0 as usize) {
                class.add(load);
            }
            let slots = (load / all.max(f64::MIN_POSITIVE)).min(MOST_SLOTS);
            if server.life == attempt.life {
                server.held += slots - request.slots;
            }
            request.slots = slots;
        }
        if let (Measurement::MessageTime(took), true) = (measurement, self.message_objective > 0) {
            // Danger: worth is lost to slow messages long before a server refuses or drops.
            let late = took as f64 / self.message_objective as f64;
            // Each word measures what is held now. Danger: cut anew from the last cut, a ceiling would come
            // to nothing while the work that had piled up is done, and stay there when it is.
            let keep = if late >= SLOW { 1.0 / (1.0 + late) } else { 1.0 };
            server.known.ceiling = server.held * keep;
            if late >= SLOW {
                server.known.last_fault = Some(now);
            }
            if late >= TOO_SLOW {
                self.move_some(now, attempt.server, late, actions);
            }
        }
    }

    /// Another balancer's word. Where messages are slow the server is at its limit with what all hold there,
    /// and takes no more of this one's. Danger: one that dropped has room again, but draws more than it bears
    /// if all of many balancers go on as before. All hear it, and they must not all try it again at once.
    fn told(&mut self, now: Time, id: ServerId, took: Option<Micros>) {
        let late = took.map(|took| took as f64 / self.message_objective.max(1) as f64);
        let again = self.settings.word_holds() as f64 * self.rng.random::<f64>();
        let heeded = late.is_none_or(|late| late >= SLOW);
        let Some(server) = self.servers.get_mut(&id).filter(|_| heeded) else { return };
        let free = (server.known.ceiling - server.held).max(0.0);
        let limit = late.map_or(server.held + free * WORD_LEAVES, |late| server.held / (1.0 + late));
        server.known.ceiling = server.known.ceiling.min(limit);
        server.known.last_fault = server.known.last_fault.max(Some(now.plus(again as Micros)));
    }

    /// A report sets the ceiling over what is held here by this balancer's part of the free capacity. Danger:
    /// of many balancers' parts each is next to nothing, against a few slots of a server never asked.
    fn probed(&mut self, now: Time, id: ServerId, report: Option<LoadReport>, actions: &mut Vec<Action>) {
        let Some(report) = report.and_then(LoadReport::sound) else { return };
        // Danger: a report is some time old, so what has come since the last one is not taken to be in it;
        // and one that says the same again may be the same.
        let Some(server) = self.servers.get_mut(&id).filter(|s| s.report != Some(report)) else { return };
        server.report = Some(report);
        let then = std::mem::replace(&mut server.then, server.held).min(server.held);
        // What fills a server that is warm. Too little load tells nothing of that.
        let told = || self.serving().filter_map(|s| Some((s, s.report?)));
        let open: f64 = told().map(|(s, r)| r.connections.unwrap_or(s.open.len() as f64)).sum();
        let loads: f64 = told().map(|(s, r)| r.utilisation * s.warmth(&self.settings, now)).sum();
        let sharers = f64::from(report.connections.map_or(1, |_| self.settings.balancers.max(1)));
        self.part = if loads < 0.1 { self.part } else { open / loads / sharers };
        let free = (NEAR_FULL - report.utilisation) * self.part.max(FEW);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if report.utilisation >= NEAR_FULL {
            server.lower(now, NEAR_FULL / f64::max(1.0, report.utilisation));
        } else if server.calm(now, self.lately) {
            server.known.ceiling = then + free;
        }
        if report.utilisation >= 1.0 {
            self.move_some(now, id, 0.0, actions);
        }
    }

    /// DEPARTURE: a server that has become too full gives up connections while others have room: those that
    /// free the most slots for their worth, the group's included if it is the last of it here. Where messages
    /// take many times their objective nothing there is worth its while, and a good part goes at each such
    /// report.
    fn move_some(&mut self, now: Time, from: ServerId, late: f64, actions: &mut Vec<Action>) {
        let rested = |s: &&Server| s.known.last_migration.is_none_or(|at| now.since(at) >= MOVE_GAP);
        let Some(server) = self.servers.get(&from).filter(rested) else { return };
        // Danger: every balancer is told of a hot server; many that hold little each would empty it. One
        // goes for every few slots held here: as large a part of the whole at any number of balancers.
        let few = (server.held / MOVE_SLOTS).clamp(0.0, 1.0);
        let many = if late < HOPELESS { 0.0 } else { server.open.len() as f64 * (late / 10.0).min(0.5) };
        let wanted = f64::max(few, many) + self.rng.random::<f64>();
        // Danger: every hot server may give up some, at every balancer: there must be room for all those.
        let (calm, hot): (Vec<_>, Vec<_>) =
            self.serving().partition(|s| s.calm(now, self.lately) && s.known.consecutive_failures == 0);
        let ceiling = |s: &Server| s.known.ceiling * s.warmth(&self.settings, now);
        let most = |s: &&Server| ceiling(s) + s.overflow(now, self.lately, FEW) - s.held;
        let open = calm.iter().filter(|s| now >= s.known.next_slow_start_send);
        let room: f64 = open.map(most).map(|room| room.max(0.0)).sum();
        let relief = |id: &RequestId| {
            let request = self.requests.get(id).filter(|r| !r.moved)?;
            // Worth alone says nothing of the relief: where no loads are told all count alike.
            let class = self.settings.classes.get(request.class.0 as usize);
            let priority_weight =
                class.filter(|_| self.loads.count > 0.0).map_or(1.0, |c| c.priority_weight.max(0.01));
            Some((server.relief(request.group, request.slots) / priority_weight, *id))
        };
        let mut best: Vec<_> = server.open.iter().filter_map(relief).collect();
        best.sort_by(|a, b| b.0.total_cmp(&a.0));
        // Where messages are of no use to anybody, some who leave make them so again for the rest.
        let least = if late < HOPELESS { 0.0 } else { few };
        best.truncate(wanted.min(room / hot.len().max(1) as f64).max(least) as usize);
        for (_, request) in best {
            self.servers.entry(from).and_modify(|s| s.known.last_migration = Some(now));
            self.requests.entry(request).and_modify(|r| r.moved = true);
            actions.push(Action::Migrate { request });
        }
    }

    // ---- Groups and pace ----

    /// A connection stands somewhere, of this group if of any.
    fn see(&mut self, group: Option<GroupHash>) {
        let Some(group) = group else { return };
        *self.groups.entry(group).or_insert(0.0) += 1.0;
        self.groups_seen += 1.0;
        if self.groups_seen > GROUPS_SEEN {
            self.groups_seen /= 2.0;
            self.groups.values_mut().for_each(|seen| *seen /= 2.0);
            self.groups.retain(|_, seen| *seen >= 0.5);
        }
    }

    /// As many of so many servers as a group fills by its share of all connections.
    fn servers_for(&self, group: GroupId, servers: f64) -> usize {
        let seen = self.groups.get(&group.short_hash()).copied().unwrap_or(0.0);
        (seen / (self.groups_seen + GROUPS_PRIOR) * servers).ceil().max(1.0) as usize
    }

    /// Set-ups are slow, or fail alike at servers that have only the fleet in common: fewer are let in.
    fn slow_down(&mut self, now: Time, took: Micros) {
        self.speed_up(now);
        let holds = self.settings.set_up_holds();
        if self.slowed.is_none_or(|at| now.since(at) >= holds) {
            self.slowed = Some(now);
            self.pace *= WORD_LEAVES.min(self.settings.aim_over(took));
        }
        // Danger: risen again between two cuts, it would never get low enough for a store that bears little.
        self.pace_at = now.plus(holds);
    }

    /// It rises evenly within a warm-up. Danger: a queue longer than clients wait stays while more is let in.
    fn speed_up(&mut self, now: Time) {
        let (all, from) = (self.settings.slow_start_duration.max(1), self.pace_at);
        let from = if self.erred.is_some_and(|(_, at)| now.since(at) < all / LONG) { now } else { from };
        self.pace = (self.pace + now.since(from) as f64 / all as f64).min(1.0);
        self.pace_at = self.pace_at.max(now);
    }

    // ---- Readiness: health and slow start ----

    /// A failure takes its server out for a jittered while, twice as long for each failure more. It
    /// comes back by single trials that far apart, closer by half with each that starts.
    fn failed(&mut self, now: Time, id: ServerId, sent: Time) {
        // What was sent before the last failure says nothing new: many that fail together are one.
        let news = |s: &&mut Server| s.known.last_failure.is_none_or(|at| sent > at);
        let Some(server) = self.servers.get_mut(&id).filter(news) else { return };
        server.known.last_failure = Some(now);
        server.known.consecutive_failures = (server.known.consecutive_failures + FAILURE_STEP).min(16);
        self.rest(now, id);
    }

    /// Keeps a failing server from trials for a while.
    fn rest(&mut self, now: Time, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let most = self.settings.slow_start_duration.max(self.settings.connect_timeout);
        let wait =
            self.settings.connect_timeout.saturating_mul(1 << server.known.consecutive_failures).min(most);
        server.known.ejected_until = now.plus(jitter(&mut self.rng, wait));
    }

    /// Danger (rule 4): a cold server shows all its slots free and would draw everything. Time between sends
    /// to it, were it warm, such that it stands if every balancer does so: it is filled over its warm-up, and
    /// holds what reports say, or else at least what all have held. By what is held now it fills too late.
    fn cold_gap(&self) -> f64 {
        let (all, slow_start_duration) =
            (f64::from(self.settings.balancers.max(1)), self.settings.slow_start_duration as f64);
        let size = f64::max(1.0 / all, self.most.0 / f64::max(1.0, self.most.1)) * COLD_SAFETY;
        // What all may send it in a window were it warm, and half of the rule's slack, less one from each.
        let rate = self.settings.slow_start_overload_factor / slow_start_duration.max(1.0);
        let due = (rate * self.settings.slow_start_window as f64 * self.part * all).max(1.0);
        let slack = (SLACK.0 * due.sqrt() + SLACK.1 - all).max(0.0);
        1.0 / (rate * size.max(self.part * (1.0 + slack / due))).max(0.01 / slow_start_duration.max(1.0))
    }

    /// Where a balancer's part of a cold server is less than one connection in its whole warm-up: the chance
    /// by which this one may be that, were the server warm, by the time since the last: from all together it
    /// gets its part on the mean. Danger: a part saved up is mostly not there when it is wanted.
    fn cold_part(&mut self, now: Time) -> Option<f64> {
        let earned = now.since(std::mem::replace(&mut self.picked, now)).min(self.settings.slow_start_window);
        let (gap, servers) = (self.cold_gap(), self.serving().count());
        (gap > self.settings.slow_start_duration as f64).then_some(earned as f64 * servers as f64 / gap)
    }

    // ---- Pick ----

    /// DEPARTURES: a group goes to servers with room that hold it already, and else to as many as it fills,
    /// the same at every balancer; where crossing zones costs, the own zone's with room come first.
    fn pick(&mut self, now: Time, id: RequestId) -> Option<ServerId> {
        let (cold_part, gap) = (self.cold_part(now), self.cold_gap());
        let request = self.requests.get(&id)?;
        let idempotency = self.idempotency(request.class);
        let mut lots = Vec::with_capacity(self.servers.len());
        let (mut all, mut held) = (0.0, 0.0);
        for s in self.servers.values_mut().filter(|s| s.listed.state == EndpointState::Serving) {
            s.give_back(now, self.lately);
            all += 1.0;
            held += s.held;
            let warmth = s.warmth(&self.settings, now);
            s.shorten(now, gap);
            let chance = cold_part.filter(|_| warmth < 1.0).map(|part| (part * warmth).min(1.0));
            let ready =
                chance.map_or(now >= s.known.next_slow_start_send, |chance| self.rng.random_bool(chance));
            let held_by_predecessor =
                request.failed_at != Some(s.listed.server) && request.may_go(idempotency, now, s);
            if !(ready && held_by_predecessor && s.healthy(now)) {
                continue;
            }
            let slots = s.price(request.group, request.slots);
            let over = s.calm(now, self.lately)
                && s.held + slots <= s.known.ceiling + s.overflow(now, self.lately, slots);
            lots.push(Lot {
                server: s.listed.server,
                own: s.listed.zone == self.settings.zone,
                held: s.held,
                kin: s.holds(request.group),
                free: s.room(&self.settings, now, slots),
                over: if over { s.weight() / (1.0 + s.held).powi(2) } else { 0.0 },
            });
        }
        // Danger: one of many balancers hears seldom of each server, and they all would try it again at once.
        self.most = (self.most.0.max(held), self.most.1.max(all));
        self.lately = (self.settings.max_retry_after as f64 * (all / held).clamp(1.0, FEW)) as Micros;
        // Danger: ceilings rise with what is accepted. Were the own zone always first, all that returns at
        // once after a restart would end there; a few connections more than elsewhere are worth a crossing.
        let most = OWN_MORE * held / f64::max(all, 1.0) + FEW;
        let own_first = self.settings.cross_zone_cost > 0.0;
        let few = request.group.map_or(0, |group| self.servers_for(group, all));
        let mut among = |share: fn(&Lot) -> f64, own_first: bool| {
            let mut fit: Vec<_> = lots.iter().filter(|lot| share(lot) > 0.0).collect();
            if fit.iter().any(|lot| lot.kin) {
                fit.retain(|lot| lot.kin);
            } else if let Some(group) = request.group {
                // Danger: many balancers with a few connections each would spread a group over the whole
                // fleet, and every server would pay for every group. As many servers as it fills come first
                // by free room and the group's own luck: balancers that see like rooms come to the same.
                let turn = |lot: &Lot| luck(group, lot.server) / share(lot);
                let mut turns: Vec<_> = fit.into_iter().map(|lot| (turn(lot), lot)).collect();
                turns.sort_by(|a, b| a.0.total_cmp(&b.0));
                fit = turns.into_iter().take(few).map(|(_, lot)| lot).collect();
            }
            let near = |lot: &&Lot| lot.own && lot.held <= most;
            if own_first && fit.iter().any(near) {
                fit.retain(near);
            }
            draw(&mut self.rng, &fit, share)
        };
        let free = among(|lot| lot.free, own_first);
        free.or_else(|| among(|lot| lot.over, false)).or_else(|| self.desperate(now, id))
    }

    /// Danger: when most of the fleet looks bad the fault may be here, or pass, and refusing everything
    /// would be worse. Then servers that are out are tried before their time, the longest out first.
    fn desperate(&self, now: Time, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get(&id)?;
        // Danger: to press on a fleet that drops and refuses keeps it from ever recovering.
        let silent = |s: &&Server| s.known.consecutive_failures > 0 && s.calm(now, self.lately);
        if self.serving().filter(silent).count() * 2 <= self.serving().count() {
            return None;
        }
        self.serving()
            .filter(silent)
            .filter(|s| s.opening == 0 && now >= s.known.next_slow_start_send)
            .filter(|s| request.may_go(self.idempotency(request.class), now, s))
            .min_by_key(|s| s.known.ejected_until)
            .map(|s| s.listed.server)
    }

    /// Rule 2: whether a refusal, which promises that trying again is harmless, would be true.
    pub fn may_reject(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        match self.idempotency(request.class) {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
            _ => request.may_have_run.is_none() && request.out.is_none(),
        }
    }

    /// Danger: of a class that was never described, the worst has to be assumed.
    fn idempotency(&self, class: ClassId) -> Idempotency {
        self.settings.classes.get(class.0 as usize).map_or(Idempotency::NotIdempotent, |c| c.idempotency)
    }

    // ---- Life of a request ----

    fn arrived(&mut self, now: Time, id: RequestId, request: Request, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&id) {
            return;
        }
        self.owed.insert((request.due, id));
        self.requests.insert(id, request);
        self.speed_up(now);
        // Danger: all that comes again at once would keep a session store in its queue for good.
        match self.pace >= 1.0 || self.rng.random_bool(self.pace) {
            true => self.advance(now, id, actions),
            false => self.finish(id, actions),
        }
    }

    /// A connection that was open at the start counts like one that was placed here.
    fn adopt(&mut self, id: RequestId, request: Request, at: ServerId) {
        let Some(server) = self.servers.get_mut(&at).filter(|_| !self.requests.contains_key(&id)) else {
            return;
        };
        server.hold(request.group, request.slots);
        server.open.insert(id);
        server.known.ceiling = server.known.ceiling.max(server.held);
        let out = Attempt { open: true, ..server.attempt(0, Time(0)) };
        self.see(request.group.map(GroupId::short_hash));
        let request = Request { answered: true, attempts: 1, out: Some(out), ..request };
        self.requests.insert(id, request);
    }

    /// The next step of a request that is owed an answer and has no attempt out: an attempt, or the end.
    fn advance(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.answered && r.out.is_none()) else { return };
        let spent = now >= request.due || request.attempts >= self.settings.max_attempts;
        match if spent { None } else { self.pick(now, id) } {
            Some(server) => self.send(now, id, server, actions),
            None => self.finish(id, actions),
        }
    }

    /// The one place that sends.
    fn send(&mut self, now: Time, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let gap = self.cold_gap();
        let within = self.requests.get(&id).and_then(|r| r.window_left(self.idempotency(r.class), now));
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&to)) else {
            return;
        };
        server.space_out(&self.settings, now, gap, 1.0);
        server.hold(request.group, request.slots);
        server.opening += 1;
        let failing = server.known.consecutive_failures > 0;
        let filled = server.held >= server.known.ceiling;
        request.out = Some(Attempt { filled, ..server.attempt(request.attempts, now) });
        request.attempts += 1;
        // Danger: given up half way, it is set up all the same, for nobody: twice the work, mostly in vain,
        // for a slow session store. One that is not there is known by the connection that does not come up.
        let timeout = request.due.since(now).max(1);
        actions.push(Action::StartAttempt { request: id, server: to, timeout, within });
        if failing {
            self.rest(now, to);
        }
    }

    /// The one place that answers. Rule 1: once; rule 2: refused only where trying again is harmless.
    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.answered) else { return };
        if let Some(attempt) = request.out.map(|a| a.number).filter(|_| self.settings.cancel) {
            actions.push(Action::CancelAttempt { request: id, attempt });
        }
        // Danger: refused clients that are told one time come back as one wave.
        let most = if self.settings.retry_after { self.settings.max_retry_after } else { 0 };
        let retry_after = jitter(&mut self.rng, most * 2 / 3);
        actions.push(match self.may_reject(id) {
            true => Action::Reject { request: id, retry_after },
            false => Action::Fail { request: id },
        });
        self.settle(id);
    }

    /// No answer is owed any more; what may remain is to wait for the attempt that is out.
    fn settle(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answered = true;
        self.owed.remove(&(request.due, id));
        if request.out.is_none() {
            self.requests.remove(&id);
        }
    }

    fn started(&mut self, now: Time, id: RequestId, number: u32, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.out.as_mut().filter(|a| a.number == number && !a.open) else { return };
        attempt.open = true;
        let (took, aim) = (now.since(attempt.sent), self.settings.setup_objective());
        let group = request.group.map(GroupId::short_hash);
        if let Some(server) = self.servers.get_mut(&attempt.server).filter(|s| s.life == attempt.life) {
            server.opening -= 1;
            server.open.insert(id);
            server.known.consecutive_failures = server.known.consecutive_failures.saturating_sub(1);
            if attempt.filled {
                server.known.ceiling += 1.0;
            }
        }
        self.see(group);
        self.erred = None;
        if aim > 0 && took > aim {
            self.slow_down(now, 0);
            actions.push(Action::ReportSlowSetup);
        }
        self.settle(id);
    }

    fn ended(&mut self, now: Time, id: RequestId, n: u32, end: (Outcome, bool), actions: &mut Vec<Action>) {
        let (outcome, answered) = end;
        if outcome == Outcome::Ok {
            self.started(now, id, n, actions);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        // Danger: a late or repeated outcome must not release a slot twice.
        let Some(attempt) = request.out.filter(|a| a.number == n) else { return };
        request.out = None;
        request.failed_at = Some(attempt.server);
        let given_up = request.answered;
        // One server that errs or is silent may have its own trouble; two have more in common.
        let failed = !attempt.open && matches!(outcome, Outcome::TimedOut | Outcome::Error);
        let last = if failed { self.erred.replace((attempt.server, now)) } else { None };
        let alike = last.is_some_and(|(at, when)| {
            at != attempt.server && now.since(when) <= self.settings.slow_start_duration
        });
        if !outcome.never_ran() && request.may_have_run.is_none() {
            request.may_have_run = Some((attempt.zone, attempt.cell, attempt.sent));
        }
        if let Some(server) = self.servers.get_mut(&attempt.server).filter(|s| s.life == attempt.life) {
            server.opening -= u32::from(!attempt.open);
            server.open.remove(&id);
            server.release(request.group, request.slots);
            match (attempt.open, outcome) {
                (_, Outcome::Rejected) | (true, Outcome::Reset) => server.lower(now, CUT),
                (false, Outcome::TimedOut) => server.lower(now, 1.0),
                _ => {}
            }
            if attempt.open && outcome == Outcome::Reset && server.listed.state == EndpointState::Serving {
                actions.push(Action::ReportDrop { server: attempt.server });
            }
            // Danger: a server that drops what it has accepted always shows free room, and would draw all.
            let lost = match outcome {
                Outcome::Ok | Outcome::NotSent => false,
                Outcome::Cancelled => !attempt.open && !given_up,
                _ => true,
            };
            if lost {
                self.failed(now, attempt.server, attempt.sent);
            }
        }
        if alike {
            self.slow_down(now, now.since(attempt.sent));
            actions.push(Action::ReportSlowSetup);
        }
        match answered || given_up {
            true => self.settle(id),
            // Danger: what they share is not elsewhere, and each attempt more is in its queue.
            false if alike => self.finish(id, actions),
            false => self.advance(now, id, actions),
        }
    }

    // ---- Timers and probes ----

    fn keep_time(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(&(_, id)) = self.owed.first().filter(|(due, _)| *due <= now) {
            if let Some(silent) = self.requests.get(&id).and_then(|r| r.out) {
                self.failed(now, silent.server, silent.sent);
            }
            self.finish(id, actions);
        }
        if self.subscribe_at.is_some_and(|at| at <= now) {
            self.subscribe_at = None;
            actions.push(Action::WatchEndpoints);
        }
        self.armed = self.armed.filter(|&at| at > now);
        let next = self.owed.first().map(|&(due, _)| due).into_iter().chain(self.subscribe_at).min();
        if let Some(next) = next.filter(|&next| self.armed.is_none_or(|armed| next < armed)) {
            self.armed = Some(next);
            actions.push(Action::SetTimer(next.since(now)));
        }
    }

    /// Connections that start pay for probes, a fixed small share of all worth; those refused do not.
    fn spend_probes(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !(self.settings.probes && self.settings.probe_reports) {
            return;
        }
        let earned = PROBE_SPEND / self.settings.probe_cost.max(PROBE_SPEND / 4.0);
        self.probe_credit = (self.probe_credit + earned).min(self.servers.len() as f64);
        while self.probe_credit >= 1.0 {
            self.probe_credit -= 1.0;
            let serving = self.servers.values_mut().filter(|s| s.listed.state == EndpointState::Serving);
            let Some(server) = serving.min_by_key(|s| s.probed) else { return };
            server.probed = Some(now);
            actions.push(Action::ProbeServer { server: server.listed.server });
        }
    }
}

impl Server {
    /// Danger: a list may carry no weight, or a nonsensical one; sums of huge ones would be no number.
    fn weight(&self) -> f64 {
        Some(self.listed.weight).filter(|weight| *weight > 0.0 && *weight < MOST_WEIGHT).unwrap_or(1.0)
    }

    fn attempt(&self, number: u32, sent: Time) -> Attempt {
        let EndpointEntry { server, zone, cell, .. } = self.listed;
        Attempt { number, server, zone, cell, life: self.life, sent, filled: false, open: false }
    }

    fn healthy(&self, now: Time) -> bool {
        self.known.consecutive_failures == 0 || (self.opening == 0 && now >= self.known.ejected_until)
    }

    /// Share of its capacity that it surely has by now.
    fn warmth(&self, settings: &Settings, now: Time) -> f64 {
        let Some(started) = self.since else { return 1.0 };
        let grown = now.since(started) as f64 / settings.slow_start_duration.max(1) as f64;
        (settings.slow_start_share + (1.0 - settings.slow_start_share) * grown).clamp(0.01, 1.0)
    }

    /// While it is cold: keeps sends apart, the more the colder it is; at first a share of that.
    fn space_out(&mut self, settings: &Settings, now: Time, gap: f64, share: f64) {
        let wait = gap * share / self.warmth(settings, now);
        let warm = self.since.map_or(now, |at| at.plus(settings.slow_start_duration));
        (self.gap, self.known.next_slow_start_send) = (gap, now.plus(wait as Micros).min(warm));
    }

    /// Danger: a wait from when less was known of what servers hold would keep a cold one empty.
    fn shorten(&mut self, now: Time, gap: f64) {
        if gap < self.gap {
            let left = self.known.next_slow_start_send.since(now) as f64 * gap / self.gap;
            (self.gap, self.known.next_slow_start_send) = (gap, now.plus(left as Micros));
        }
    }

    /// Whether it has not lately refused, dropped or been slow.
    fn calm(&self, now: Time, lately: Micros) -> bool {
        self.known.last_fault.is_none_or(|at| now.since(at) > lately)
    }

    /// How far it may go over its ceiling, for a connection that takes so many slots. Danger: "one" of a slot
    /// would keep a heavy connection, or the first of a group, from a server that is sound for all that is
    /// known, and its ceiling from ever rising. But one that had trouble not long ago is at its limit.
    fn overflow(&self, now: Time, lately: Micros, slots: f64) -> f64 {
        let most = if self.calm(now, LONG * lately) { slots } else { 1.0 };
        most.max(1.0)
    }

    fn idle(&self) -> bool {
        self.open.is_empty() && self.opening == 0
    }

    fn hold(&mut self, group: Option<GroupId>, slots: f64) {
        self.held += self.price(group, slots);
        group.into_iter().for_each(|group| *self.groups.entry(group).or_insert(0) += 1);
    }

    /// Slots that a connection takes here: more if it is the first of its group.
    fn price(&self, group: Option<GroupId>, slots: f64) -> f64 {
        let first = group.is_some() && !self.holds(group);
        slots + if first { GROUP_SLOTS } else { 0.0 }
    }

    /// Slots that come free when one of its connections goes: more if it is the last of its group.
    fn relief(&self, group: Option<GroupId>, slots: f64) -> f64 {
        let last = group.is_some_and(|group| self.groups.get(&group) == Some(&1));
        slots + if last { GROUP_SLOTS } else { 0.0 }
    }

    fn release(&mut self, group: Option<GroupId>, slots: f64) {
        let relief = self.relief(group, slots);
        group.and_then(|group| self.groups.get_mut(&group)).into_iter().for_each(|count| *count -= 1);
        self.groups.retain(|_, count| *count > 0);
        self.held = if self.idle() { 0.0 } else { self.held - relief };
    }

    fn holds(&self, group: Option<GroupId>) -> bool {
        group.is_some_and(|group| self.groups.contains_key(&group))
    }

    /// Its free room, if that holds so many slots: as in the paper's circuit networks a customer who needs
    /// several has them all or is blocked. Half of all slots will do, or small servers would take none.
    fn room(&self, settings: &Settings, now: Time, slots: f64) -> f64 {
        let ceiling = self.known.ceiling * self.warmth(settings, now);
        let free = Some(ceiling - self.held);
        free.filter(|free| *free > 0.0 && *free >= slots.min(ceiling / 2.0)).unwrap_or(0.0)
    }

    /// Danger: cuts drive a ceiling under what the server turns out to carry well. When trouble has stayed
    /// away for a while it gets a slot back, and when for long, it rises to what is held: loads grow, too.
    fn give_back(&mut self, now: Time, lately: Micros) {
        if self.opening == 0 && self.calm(now, LONG * lately) {
            self.known.ceiling = self.known.ceiling.max(self.held);
        } else if self.known.ceiling < self.held.max(1.0)
            && self.known.last_fault.is_some()
            && self.calm(now, lately)
        {
            self.known.last_fault = Some(now);
            self.known.ceiling = (self.known.ceiling + 1.0).min(self.held.max(1.0));
        }
    }

    /// Takes away its free room and a share of its ceiling, and keeps it from overflow for a while. Danger:
    /// with a floor of a slot, one that dropped the last connection held here would have room again at once.
    fn lower(&mut self, now: Time, keep: f64) {
        self.known.ceiling = self.known.ceiling.min(self.held) * keep;
        self.known.last_fault = Some(now);
    }
}

impl Request {
    fn new(class: ClassId, group: Option<GroupId>, slots: f64) -> Request {
        Request { class, group, slots, ..Request::default() }
    }

    /// How long repeats of what may have run are still dropped.
    fn window_left(&self, idempotency: Idempotency, now: Time) -> Option<Micros> {
        let Idempotency::IdempotencyKey { window, .. } = idempotency else { return None };
        self.may_have_run.map(|(.., since)| window.saturating_sub(now.since(since)))
    }

    /// Rule 2: once an attempt may have run, another goes only where it has no second effect.
    fn may_go(&self, idempotency: Idempotency, now: Time, server: &Server) -> bool {
        let Some((zone, cell, _)) = self.may_have_run else { return true };
        let known = match idempotency {
            Idempotency::Idempotent => return true,
            Idempotency::NotIdempotent => false,
            Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
            Idempotency::IdempotencyKey { scope: KeyScope::Zone, .. } => server.listed.zone == zone,
            Idempotency::IdempotencyKey { scope: KeyScope::Cell, .. } => server.listed.cell == cell,
        };
        known && self.window_left(idempotency, now) > Some(0)
    }
}

/// Half to one and a half times `span`: balancers that failed together must not return together.
fn jitter(rng: &mut Pcg64Mcg, span: Micros) -> Micros {
    (span as f64 * rng.random_range(0.5..1.5)) as Micros
}

/// Exponential, of mean 1, and the same for a group and a server at every balancer.
fn luck(group: GroupId, server: ServerId) -> f64 {
    // The hash alone is not even enough for ids that follow one another.
    let u: f64 = Pcg64Mcg::seed_from_u64(FxBuildHasher.hash_one((group, server))).random();
    -(1.0 - u).ln()
}

/// One of the lots at random, in proportion to its share; none if no share is above 0.
fn draw(rng: &mut Pcg64Mcg, lots: &[&Lot], share: fn(&Lot) -> f64) -> Option<ServerId> {
    let total: f64 = lots.iter().map(|lot| share(lot)).sum();
    let mut point = if total > 0.0 { rng.random_range(0.0..total) } else { return None };
    let drawn = lots.iter().find(|lot| {
        point -= share(lot);
        point < 0.0
    });
    // Rounding may leave a crumb after the last share.
    drawn.or(lots.last()).map(|lot| lot.server)
}
