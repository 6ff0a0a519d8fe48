//! What this balancer knows of servers and of standing connections, for rebalancing.

use std::collections::{BTreeMap, BTreeSet};

use super::RebalanceContext;
use crate::{ConnectionId, Micros, ServerId, Time};

/// Clients that were moved and have not come back: more than these are not remembered.
pub const MOST_AWAY: usize = 4096;
/// Who was moved and has not come back after so long has left, or is with another balancer.
pub const AWAY: Micros = 5_000_000;
/// A server that is slow says so every second; after so long without a word it is not.
pub const SILENT: Micros = 2_500_000;
/// So many of the last seconds a server has to have been slow.
const STREAK: usize = 3;
const STREAK_OVER: Micros = 4_000_000;
/// A server pays for a group that it holds as for so many mean connections.
pub const GROUP_SLOTS: f64 = 3.0;
/// The most slots that one connection counts for: a wild figure must not rule the rest.
const MOST_SLOTS: f64 = 32.0;
/// Lives that the first guess of the mean life counts for, and that guess.
const PRIOR_ENDS: f64 = 3.0;
const PRIOR_LIFE: f64 = 30.0;

/// A standing connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Connection {
    /// Where it stands.
    pub server: ServerId,
    /// Its class's number.
    pub class: u16,
    /// Its group.
    pub group: Option<u64>,
    /// The load that it told last, in microseconds of work a second.
    pub load: Option<f64>,
    /// The flow's key, by which its client is known when it comes again.
    pub key: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Standing {
    at: Connection,
    since: Time,
    /// It came back from a move or a break.
    again: bool,
}

#[derive(Debug, Default)]
struct Host {
    standing: BTreeSet<ConnectionId>,
    /// The seconds in which it was slow, the latest last, and how long a message took then.
    slow: Vec<(Time, Micros)>,
}

/// A connection that is of no group, and whether it came back from a move.
pub type Single = (ConnectionId, Connection, bool);

/// What is known.
#[derive(Debug)]
pub struct View {
    standing: BTreeMap<ConnectionId, Standing>,
    servers: BTreeMap<ServerId, Host>,
    /// Where each group stands, with how many.
    groups: BTreeMap<u64, BTreeMap<ServerId, usize>>,
    /// Sum and number of the loads of connections that stand.
    loads: (f64, usize),
    /// Clients on their way, by key: since when, and their slots.
    away: BTreeMap<u64, (Time, f64)>,
    /// Those whose clients have no key.
    nameless: Vec<(Time, f64)>,
    /// Connections of clients that came back from a move of this balancer's.
    back: BTreeSet<ConnectionId>,
    /// Connections that ask again after a break or a move, whoever moved them.
    again: BTreeSet<ConnectionId>,
    /// Time that connections stood, in seconds, up to then, and how many came to their own end.
    exposure: (f64, Time),
    ends: f64,
    /// How long moved clients were away, in microseconds: a running mean.
    away_for: f64,
    message_objective: Micros,
}

impl View {
    pub(super) fn new(now: Time, terms: &RebalanceContext) -> View {
        View {
            standing: BTreeMap::new(),
            servers: BTreeMap::new(),
            groups: BTreeMap::new(),
            loads: (0.0, 0),
            away: BTreeMap::new(),
            nameless: Vec::new(),
            back: BTreeSet::new(),
            again: BTreeSet::new(),
            exposure: (0.0, now),
            ends: 0.0,
            away_for: 700_000.0,
            message_objective: terms.message_objective,
        }
    }

    pub(super) fn configure(&mut self, terms: &RebalanceContext) {
        self.message_objective = terms.message_objective;
    }

    /// A client asks. Whether it is one that this balancer moved.
    pub(super) fn arrived(
        &mut self,
        now: Time,
        connection: ConnectionId,
        key: Option<u64>,
        again: bool,
    ) -> bool {
        let Some((since, _)) = key.and_then(|key| self.away.remove(&key)) else {
            if again {
                self.again.insert(connection);
            }
            return false;
        };
        self.away_for += (now.since(since) as f64 - self.away_for) / 16.0;
        self.again.insert(connection);
        self.back.insert(connection);
        true
    }

    /// It was refused or failed: whether its client had come back from a move of this balancer's.
    pub(super) fn declined(&mut self, connection: ConnectionId) -> bool {
        self.back.remove(&connection)
    }

    pub(super) fn stood(&mut self, now: Time, connection: ConnectionId, at: Connection) {
        self.remove(now, connection);
        self.pass(now);
        if let Some(load) = at.load {
            self.loads = (self.loads.0 + load, self.loads.1 + 1);
        }
        self.servers.entry(at.server).or_default().standing.insert(connection);
        if let Some(group) = at.group {
            *self.groups.entry(group).or_default().entry(at.server).or_default() += 1;
        }
        let again = self.again.contains(&connection);
        self.standing.insert(connection, Standing { at, since: now, again });
    }

    pub(super) fn load(&mut self, connection: ConnectionId, load: f64) {
        if let Some(connection) = self.standing.get_mut(&connection) {
            match connection.at.load.replace(load) {
                Some(old) => self.loads.0 += load - old,
                None => self.loads = (self.loads.0 + load, self.loads.1 + 1),
            }
        }
    }

    pub(super) fn delay(&mut self, now: Time, server: ServerId, took: Micros) {
        // Danger: a server that nothing stands at, and that may not be listed, must not fill the map.
        let Some(server) = self.servers.get_mut(&server) else { return };
        server.slow.retain(|(at, _)| now.since(*at) <= STREAK_OVER);
        let third = self.message_objective / 3;
        match server.slow.last() {
            _ if took < third => server.slow.clear(),
            Some((at, _)) if now.since(*at) < 500_000 => {}
            _ => server.slow.push((now, took)),
        }
    }

    pub(super) fn ended(&mut self, now: Time, connection: ConnectionId, natural: bool) {
        if self.remove(now, connection) && natural {
            self.ends += 1.0;
        }
        self.back.remove(&connection);
        self.again.remove(&connection);
    }

    fn remove(&mut self, now: Time, connection: ConnectionId) -> bool {
        self.pass(now);
        let Some(Standing { at, .. }) = self.standing.remove(&connection) else { return false };
        if let Some(load) = at.load {
            self.loads = (self.loads.0 - load, self.loads.1 - 1);
        }
        if let Some(server) = self.servers.get_mut(&at.server) {
            server.standing.remove(&connection);
            if server.standing.is_empty() {
                self.servers.remove(&at.server);
            }
        }
        if let Some(servers) = at.group.and_then(|group| self.groups.get_mut(&group)) {
            if let Some(count) = servers.get_mut(&at.server) {
                *count -= 1;
            }
            servers.retain(|_, count| *count > 0);
        }
        if let Some(group) = at.group.filter(|group| self.groups.get(group).is_some_and(BTreeMap::is_empty)) {
            self.groups.remove(&group);
        }
        true
    }

    fn pass(&mut self, now: Time) {
        self.exposure.0 += now.since(self.exposure.1) as f64 / 1e6 * self.standing.len() as f64;
        self.exposure.1 = now;
    }

    /// It is asked to come again.
    pub(super) fn sent_away(&mut self, now: Time, connection: ConnectionId) {
        let Some(at) = self.standing.get(&connection).map(|standing| standing.at) else { return };
        let slots = self.slots(&at);
        match at.key {
            Some(key) if self.away.len() < MOST_AWAY => drop(self.away.insert(key, (now, slots))),
            _ if self.nameless.len() < MOST_AWAY => self.nameless.push((now, slots)),
            _ => {}
        }
    }

    /// Forgets those who have been away for too long; how many of them could have been known again.
    pub(super) fn give_up_on(&mut self, now: Time) -> usize {
        let before = self.away.len();
        self.away.retain(|_, (at, _)| now.since(*at) < AWAY);
        // Nobody knows when those without a key are back: within the usual time.
        let usual = self.away_for as Micros * 2;
        self.nameless.retain(|(at, _)| now.since(*at) < usual);
        before - self.away.len()
    }

    /// Slots that are on their way. Danger: of several balancers' clients most come back to another one; what
    /// is away for longer than usual is placed there by now.
    pub fn slots_away(&self) -> f64 {
        self.away.values().map(|(_, slots)| slots).chain(self.nameless.iter().map(|(_, slots)| slots)).sum()
    }

    /// Connections that stand.
    pub fn standing(&self) -> usize {
        self.standing.len()
    }

    /// The mean of a connection's life, in seconds, as far as ends and the time without them tell: the estimate
    /// of an exponential life from censored data.
    pub fn life(&self, now: Time) -> f64 {
        let exposure = self.exposure.0 + now.since(self.exposure.1) as f64 / 1e6 * self.standing.len() as f64;
        (exposure + PRIOR_LIFE * PRIOR_ENDS) / (self.ends + PRIOR_ENDS)
    }

    /// How long a moved client is away, in seconds.
    pub fn away_for(&self) -> f64 {
        self.away_for / 1e6
    }

    /// Slots of a connection: its load over the mean of all.
    pub fn slots(&self, at: &Connection) -> f64 {
        let mean = self.loads.0 / self.loads.1.max(1) as f64;
        match at.load {
            Some(load) if mean > 0.0 => (load / mean).clamp(0.0, MOST_SLOTS),
            _ => 1.0,
        }
    }

    /// How long messages take at a server that has been slow for a while, in microseconds.
    pub fn slow(&self, now: Time, server: ServerId) -> Option<Micros> {
        let slow = &self.servers.get(&server)?.slow;
        let lately = slow.iter().filter(|(at, _)| now.since(*at) <= STREAK_OVER);
        let (last, took) = slow.last()?;
        (lately.count() >= STREAK && now.since(*last) <= SILENT).then_some(*took)
    }

    /// Whether a server told lately that it is slow, for however short a while.
    pub fn ever_slow(&self, now: Time, server: ServerId) -> bool {
        let last = self.servers.get(&server).and_then(|server| server.slow.last());
        last.is_some_and(|(at, _)| now.since(*at) <= STREAK_OVER)
    }

    /// A server's single connections, and its groups with their members.
    pub fn units(&self, server: ServerId) -> (Vec<Single>, BTreeMap<u64, Vec<ConnectionId>>) {
        let (mut singles, mut groups) = (Vec::new(), BTreeMap::<u64, Vec<ConnectionId>>::new());
        for connection in self.servers.get(&server).into_iter().flat_map(|server| &server.standing) {
            let Some(standing) = self.standing.get(connection) else { continue };
            match standing.at.group {
                Some(group) => groups.entry(group).or_default().push(*connection),
                None => singles.push((*connection, standing.at, standing.again)),
            }
        }
        (singles, groups)
    }

    /// A standing connection, since when, and whether it came back from a move.
    pub fn connection(&self, connection: ConnectionId) -> Option<(Connection, Time, bool)> {
        self.standing.get(&connection).map(|standing| (standing.at, standing.since, standing.again))
    }

    /// How many of a group stand at other servers.
    pub fn held_by_predecessor(&self, group: u64, server: ServerId) -> usize {
        let servers = self.groups.get(&group).into_iter().flatten();
        servers.filter(|(other, _)| **other != server).map(|(_, count)| count).sum()
    }

    /// The standard deviation, in slots, of what stands at a server if it came there by chance, and the share of it
    /// that stands with others of its group. Units are single connections and groups: a compound Poisson sum has
    /// the variance of its units' squares.
    pub fn chance(&self, server: ServerId) -> (f64, f64) {
        let (singles, groups) = self.units(server);
        let (mut squares, mut all, mut together) = (0.0, singles.len(), 0);
        squares += singles.iter().map(|(_, at, _)| self.slots(at).powi(2)).sum::<f64>();
        for members in groups.values() {
            let known = members.iter().filter_map(|connection| self.standing.get(connection));
            let slots: f64 = known.map(|standing| self.slots(&standing.at)).sum();
            let several = members.len() > 1;
            squares += (slots + if several { GROUP_SLOTS } else { 0.0 }).powi(2);
            all += members.len();
            together += if several { members.len() } else { 0 };
        }
        (squares.sqrt(), together as f64 / all.max(1) as f64)
    }
}
