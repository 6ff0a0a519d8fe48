//! Many balancers at once, in virtual time: what is harmless at one of them must be harmless at a hundred.

use std::collections::{BTreeMap, VecDeque};

use connection_balancer::*;

use crate::harness::{endpoint, endpoints, settings, Harness, MS, SECOND, START};

/// After a restart of most balancers discovery is overloaded: it serves calls one after another, also those whose callers
/// have given up. Balancers that all called again within 2.5 s would keep it overloaded.
#[test]
fn a_hundred_balancers_that_start_together_all_get_the_list_in_time() {
    const SERVICE: Micros = Micros::from_millis(50);
    const PATIENCE: Micros = Micros::from_secs(2);
    const QUEUE: usize = 100;
    let settings = Settings { poll_required: true, balancers: 100, ..settings() };
    let list = endpoints(10);
    let mut fleet: Vec<Harness> = (0..100).map(|n| Harness::seeded(settings.clone(), &list, n)).collect();
    // Calls in turn: whose, and when they came. Wake-ups that balancers wait for.
    let mut queue: VecDeque<(usize, Time)> = (0..100).map(|n| (n, START)).collect();
    let mut wakes: BTreeMap<(Time, usize), ()> = BTreeMap::new();
    let mut had = [false; 100];
    let mut free = START;
    for now in (0..15 * 1000).map(|ms| START.plus(ms * MS)) {
        let mut failed: Vec<usize> = Vec::new();
        // A call that has waited too long fails, and keeps its turn all the same.
        let late = |since: Time| now.since(since) == PATIENCE;
        failed.extend(queue.iter().filter(|(n, at)| late(*at) && !had[*n]).map(|(n, _)| *n));
        while let Some(&(n, since)) = queue.front().filter(|_| free <= now) {
            queue.pop_front();
            free = now.plus(SERVICE);
            had[n] |= now.since(since) < PATIENCE;
        }
        while let Some((&(at, n), ())) = wakes.first_key_value().filter(|((at, _), ())| *at <= now) {
            wakes.remove(&(at, n));
            fleet[n].now = now;
            fleet[n].handle(Event::TimerFired);
            if fleet[n].actions.contains(&Action::WatchEndpoints) {
                if queue.len() < QUEUE {
                    queue.push_back((n, now));
                } else {
                    failed.push(n);
                }
            }
        }
        for n in failed {
            fleet[n].now = now;
            fleet[n].handle(Event::EndpointWatchFailed(WatchFailure::Rejected));
            let waits = fleet[n].actions.iter().filter_map(|action| match action {
                Action::SetTimer(wait) => Some(now.plus(*wait)),
                _ => None,
            });
            wakes.extend(waits.map(|at| ((at, n), ())));
        }
    }
    let without = had.iter().filter(|had| !**had).count();
    assert_eq!(without, 0, "so many had no list in 15 s");
}

/// One attempt in a fleet of balancers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    balancer: usize,
    request: RequestId,
    number: u32,
}

/// A session store that all servers share.
#[derive(Clone, Copy)]
struct StoreConfig {
    servers: u32,
    /// How long one set-up takes.
    service: Micros,
    /// How many set-ups may wait; others err at once.
    max_queue: usize,
    /// Balancers report slow set-ups to each other.
    gossips: bool,
}

impl StoreConfig {
    /// Thirty servers and a store with a queue without bound, which serves a set-up in a millisecond.
    fn unbounded() -> StoreConfig {
        StoreConfig { servers: 30, service: MS, max_queue: usize::MAX, gossips: false }
    }
}

/// A fleet before servers that share one session store. The store serves set-ups in turn, also those that
/// nobody waits for any more, and errs at whatever comes while its queue is full.
struct SharedStore {
    config: StoreConfig,
    fleet: Vec<Harness>,
    now: Time,
    idle_from: Time,
    queue: VecDeque<AttemptKey>,
    /// Attempts that are waited for, and until when.
    in_flight: BTreeMap<AttemptKey, Time>,
    /// How many attempts each request had, by balancer and request.
    attempts: BTreeMap<(usize, RequestId), u32>,
    last_gossip: Time,
    established: u64,
    served_in_vain: u64,
}

impl SharedStore {
    fn new(balancers: u32, config: StoreConfig) -> SharedStore {
        SharedStore::with_settings(Settings { balancers, max_attempts: 6, ..settings() }, config)
    }

    fn with_settings(settings: Settings, config: StoreConfig) -> SharedStore {
        let list = endpoints(config.servers);
        let harness = |n: u32| Harness::seeded(settings.clone(), &list, n.into());
        SharedStore {
            config,
            fleet: (0..settings.balancers).map(harness).collect(),
            now: START,
            idle_from: START,
            queue: VecDeque::new(),
            in_flight: BTreeMap::new(),
            attempts: BTreeMap::new(),
            last_gossip: START,
            established: 0,
            served_in_vain: 0,
        }
    }

    /// Hands an event to a balancer and carries out its actions.
    fn handle(&mut self, balancer: usize, event: Event<'_>) {
        self.fleet[balancer].now = self.now;
        self.fleet[balancer].handle(event);
        for action in self.fleet[balancer].actions.clone() {
            match action {
                Action::StartAttempt { request, timeout, .. } => {
                    self.start_attempt(balancer, request, timeout);
                }
                Action::ReportSlowSetup if self.may_gossip() => {
                    self.last_gossip = self.now;
                    (0..self.fleet.len()).filter(|&other| other != balancer).for_each(|other| {
                        self.handle(other, Event::PeerSetupSlow);
                    });
                }
                _ => {}
            }
        }
    }

    fn start_attempt(&mut self, balancer: usize, request: RequestId, timeout: Micros) {
        let started = self.attempts.entry((balancer, request)).or_insert(0);
        let number = std::mem::replace(started, *started + 1);
        let key = AttemptKey { balancer, request, number };
        if self.queue.len() < self.config.max_queue {
            self.queue.push_back(key);
            self.in_flight.insert(key, self.now.plus(timeout));
        } else {
            self.end_attempt(key, Outcome::Error);
        }
    }

    fn end_attempt(&mut self, key: AttemptKey, outcome: Outcome) {
        let AttemptKey { balancer, request, number: attempt } = key;
        self.handle(balancer, Event::AttemptEnded { request, attempt, outcome, answered: false });
    }

    fn may_gossip(&self) -> bool {
        self.config.gossips && self.now.since(self.last_gossip) >= 600 * MS
    }

    /// Runs one millisecond in which so many clients arrive, each with this time to its deadline.
    fn run_millisecond(&mut self, clients: usize, wait: Micros) {
        for _ in 0..clients {
            let balancer = self.attempts.len() * 7 % self.fleet.len();
            let request = RequestId(1 + self.attempts.len() as u64);
            let (class, tenant, group, load) = (ClassId(0), None, None, None);
            self.attempts.insert((balancer, request), 0);
            let deadline = self.now.plus(wait);
            self.handle(balancer, Event::RequestArrived { request, class, tenant, group, load, deadline });
        }
        while let Some(key) = self.queue.front().copied().filter(|_| self.idle_from <= self.now) {
            self.queue.pop_front();
            self.idle_from = self.idle_from.max(self.now).plus(self.config.service);
            if self.in_flight.remove(&key).is_some() {
                self.established += 1;
                let AttemptKey { balancer, request, number: attempt } = key;
                self.handle(balancer, Event::ConnectionEstablished { request, attempt });
            } else {
                self.served_in_vain += 1;
            }
        }
        let late: Vec<_> =
            self.in_flight.iter().filter(|(_, until)| **until <= self.now).map(|(key, _)| *key).collect();
        for key in late {
            self.in_flight.remove(&key);
            self.end_attempt(key, Outcome::TimedOut);
        }
        self.now = self.now.plus(MS);
    }
}

/// All servers share a session store, and set-ups wait in its queue. An attempt that is given up after half of its
/// client's time and retried at another server would be in that queue twice.
#[test]
fn serves_a_burst_as_fast_as_the_shared_session_store_allows() {
    let mut store =
        SharedStore::new(100, StoreConfig { servers: 10, service: 22 * MS, ..StoreConfig::unbounded() });
    (0..4000).for_each(|ms| store.run_millisecond(usize::from(ms < 120), 3 * SECOND));
    assert!(
        store.established >= 108,
        "{} of 120, all of whom the store could serve in time",
        store.established
    );
}

/// Set-ups that wait in the queue for longer than their clients do are served in vain, and their clients return. A store
/// that errs at once for all servers must not be tried at six of them. Four hundred requests a second arrive here; the
/// store serves eighty, and has a queue of two seconds.
#[test]
fn an_overloaded_session_store_empties_its_queue() {
    let outcome = |gossips: bool| {
        let mut store = SharedStore::new(
            300,
            StoreConfig { servers: 30, service: Micros(12_500), max_queue: 160, gossips },
        );
        let pass = |store: &mut SharedStore, from: usize, to: usize| {
            (from..to).for_each(|ms| store.run_millisecond(if ms % 5 == 0 { 2 } else { 0 }, 1200 * MS));
        };
        pass(&mut store, 0, 4000);
        (store.established, store.served_in_vain) = (0, 0);
        pass(&mut store, 4000, 12_000);
        let most = store.attempts.values().max();
        assert!(most <= Some(&3), "{most:?} attempts at what all servers share");
        (store.established, store.served_in_vain)
    };
    let ((established, served_in_vain), (established_alone, served_in_vain_alone)) =
        (outcome(true), outcome(false));
    assert!(
        established >= 640 * 7 / 10 && served_in_vain * 5 <= established,
        "{established} of 640, {served_in_vain} in vain"
    );
    // Each for itself observes it once in a second or two.
    assert!(
        established_alone < established && served_in_vain_alone > served_in_vain,
        "gossip serves more than it costs: {established_alone}, {served_in_vain_alone} in vain"
    );
}

/// Clients wait for 500 to 700 ms, have one attempt and return at once, and balancers do not gossip. An admission rate
/// that rises as fast as the few attempts cut it would keep the queue longer than clients wait.
#[test]
fn empties_a_queue_longer_than_clients_wait_though_they_retry_without_end() {
    let mut settings = Settings { balancers: 300, max_attempts: 1, ..settings() };
    settings.classes.iter_mut().for_each(|class| class.setup_objective = 150 * MS);
    let mut store =
        SharedStore::with_settings(settings, StoreConfig { service: 5 * MS, ..StoreConfig::unbounded() });
    let pass = |store: &mut SharedStore, ms: usize| {
        (0..ms).for_each(|ms| store.run_millisecond(1 + ms % 2, 500 * MS));
    };
    pass(&mut store, 1000);
    store.established = 0;
    pass(&mut store, 24_000);
    assert!(store.established > 600, "{} of the 4800 that the store bears", store.established);
}

/// Without an objective it is unknown how late a set-up is; then nobody at all would be admitted.
#[test]
fn admits_half_after_a_slow_set_up_where_no_objective_is_known() {
    let mut settings = Settings { max_attempts: 1, ..settings() };
    settings.classes.iter_mut().for_each(|class| class.setup_objective = Micros::ZERO);
    let mut store = SharedStore::with_settings(settings, StoreConfig::unbounded());
    store.handle(0, Event::PeerSetupSlow);
    store.run_millisecond(40, 500 * MS);
    let sent: u32 = store.attempts.values().sum();
    assert!((8..=32).contains(&sent), "{sent} of 40 were sent on");
}

/// Lists and settings that make little sense each get a definite answer at once: a server that takes new
/// connections, or a rejection.
#[test]
fn answers_definitely_for_odd_lists_and_numbers_of_balancers() {
    let odd = |change: fn(&mut EndpointEntry)| -> Vec<EndpointEntry> {
        let mut list = endpoints(3);
        list.iter_mut().for_each(change);
        list
    };
    let lists = [
        (false, Vec::new()),
        (false, odd(|entry| entry.state = EndpointState::Draining)),
        (false, odd(|entry| entry.state = EndpointState::Gone)),
        (true, odd(|entry| entry.started = Some(START.minus(MS)))),
        (true, odd(|entry| entry.started = Some(START))),
        (true, odd(|entry| entry.started = Some(START.plus(3600 * SECOND)))),
        (true, odd(|entry| entry.started = Some(Time(u64::MAX)))),
        (true, odd(|entry| entry.weight = 1e308)),
    ];
    for balancers in [0, 1, 100, u32::MAX] {
        for (n, (served, list)) in lists.iter().enumerate() {
            let settings = Settings { balancers, poll_required: true, ..settings() };
            let mut harness = Harness::new(settings, list);
            for _ in 0..30 {
                harness.handle(Event::EndpointWatchFailed(WatchFailure::Rejected));
            }
            let mut placed = 0;
            for _ in 0..200 {
                let request = harness.arrive();
                match harness.attempted_server() {
                    Some(server) => {
                        assert!(list
                            .iter()
                            .any(|l| l.server.0 == server && l.state == EndpointState::Serving));
                        placed += 1;
                        harness.end_attempt(request, 0, Outcome::Ok, true);
                    }
                    None => assert!(harness.rejection().is_some(), "list {n}, {balancers} balancers"),
                }
                harness.advance(SECOND);
                harness.handle(Event::TimerFired);
            }
            // A cold server may be kept for others for a while, but not for ever.
            assert_eq!(placed > 0, *served, "list {n}, {balancers} balancers: {placed}");
        }
    }
}

/// Each server that holds any connection of a group bears three mean loads for the group. Balancers that learn of slow
/// servers must not scatter a group over many others.
#[test]
fn three_hundred_balancers_keep_a_group_on_as_few_servers_as_it_fills() {
    const SERVERS: u32 = 60;
    let settings = Settings { balancers: 300, max_retry_after: SECOND, ..settings() };
    let list = endpoints(SERVERS);
    let mut fleet: Vec<Harness> = (0..300).map(|n| Harness::seeded(settings.clone(), &list, n)).collect();
    // Thirty groups of ten, and one of 300, which is half of all: scattered, as after restarts.
    let group_of = |n: u64| if n.is_multiple_of(2) { 77 } else { 1000 + n / 2 % 30 };
    for n in 0..600 {
        fleet[(n * 7 % 300) as usize].restore(1 + n as u32 * 11 % SERVERS, Some(group_of(n)));
    }
    // All receive a sample of the groups of a tenth of them, and that a fifth of the servers are slow.
    let samples: Vec<Vec<_>> =
        fleet.iter().step_by(10).map(|b| b.balancer.established_groups().map(Some).collect()).collect();
    for harness in &mut fleet {
        samples.iter().for_each(|sample| harness.handle(Event::PeerGroupSample(sample)));
        (1..=12).for_each(|server| {
            harness.handle(Event::PeerObservation { server: ServerId(server), took: Some(60 * MS) });
        });
    }
    let mut servers_of: BTreeMap<u64, BTreeMap<u32, u32>> = BTreeMap::new();
    for n in 0..600 {
        // Few of those to whom they come hold any of the group.
        let harness = &mut fleet[((n * 13 + 1) % 300) as usize];
        let request = harness.arrive_in_group(Some(group_of(n)));
        let server = harness.attempted_server().expect("forty-eight servers have free slots");
        // Who holds one of the group at a server stays with that; here it is new ones that are counted.
        harness.end_attempt(request, 0, Outcome::Ok, true);
        *servers_of.entry(group_of(n)).or_default().entry(server).or_insert(0) += 1;
    }
    let large = servers_of.remove(&77).expect("half of them all");
    assert!((15..=48).contains(&large.len()), "{} servers for half of all", large.len());
    assert!(large.values().all(|&count| count <= 40), "{large:?}");
    let small: usize = servers_of.values().map(BTreeMap::len).sum();
    assert!(small <= 30 * 5, "{small} pairs of group and server for 30 groups that fit on one each");
}

/// The requests that each cold server is sent in each second, where half of the servers have just been replaced. The
/// requests have no group, so that each takes one slot.
fn sent_to_cold(
    settings: &Settings,
    servers: u32,
    established: u32,
    requests_per_second: usize,
    seconds: usize,
) -> Vec<Vec<usize>> {
    let list = endpoints(servers);
    let seeded = |n: u32| Harness::seeded(settings.clone(), &list, n.into());
    let mut fleet: Vec<Harness> = (0..settings.balancers).map(seeded).collect();
    let balancers = fleet.len();
    for n in 0..established {
        fleet[n as usize * 7 % balancers].restore(1 + n * 11 % servers, None);
    }
    let start = START.plus(SECOND);
    let replaced: Vec<EndpointEntry> = (1..=servers)
        .flat_map(|server| match server % 2 {
            0 => vec![],
            _ => vec![
                EndpointEntry { state: EndpointState::Gone, ..endpoint(server) },
                EndpointEntry { started: Some(start), ..endpoint(server + servers) },
            ],
        })
        .collect();
    for harness in &mut fleet {
        // One that comes before, so that each balancer knows what it holds.
        let request = harness.arrive();
        harness.end_attempt(request, 0, Outcome::Ok, true);
        harness.now = start;
        harness.handle(Event::EndpointsChanged(&replaced));
    }
    let mut to_cold = vec![vec![0; servers as usize]; seconds];
    for n in 0..requests_per_second * seconds {
        let harness = &mut fleet[(n * 13 + n / balancers) % balancers];
        harness.now = start.plus(n as u64 * SECOND / requests_per_second as u64);
        let request = harness.arrive();
        if let Some(server) = harness.attempted_server().filter(|server| *server > servers) {
            to_cold[n / requests_per_second][(server - servers) as usize - 1] += 1;
        }
        // The occupancy of the servers, on which their budgets depend, stays as it was.
        harness.end_attempt(request, 0, Outcome::Ok, true);
    }
    to_cold
}

/// Each of 300 balancers has a three-hundredth of the budget of a cold server. Together they must use these budgets, or
/// warm servers drop connections meanwhile, and must not exceed them, however many requests arrive.
#[test]
fn three_hundred_balancers_use_the_budgets_of_cold_servers_and_not_more() {
    let settings =
        Settings { balancers: 300, max_retry_after: SECOND, slow_start_overload_factor: 4.0, ..settings() };
    for (come, least) in [(100, 60), (400, 120)] {
        let to_cold = sent_to_cold(&settings, 60, 900, come, 6);
        let all: usize = to_cold.iter().flatten().sum();
        assert!(all >= least, "{all} of {} went to cold servers", come * 6);
        for second in 0..5 {
            // Servers held 15 each. A cold one has 0.3 of its capacity, all after 10 s, and bears four times as
            // much as fills it within that time.
            let warmth = 0.3 + 0.07 * second as f64;
            let budget = 2.0 * warmth * 4.0 * 15.0 / 10.0;
            let window: Vec<usize> =
                (0..60).map(|server| to_cold[second][server] + to_cold[second + 1][server]).collect();
            let sum: usize = window.iter().sum();
            assert!(
                sum as f64 <= 30.0 * budget,
                "second {second}, {come} come: {sum} of {:.1}",
                30.0 * budget
            );
            // By chance one may get more than its part, and still be under what would push it over.
            let most = window.into_iter().max().unwrap_or(0);
            assert!(most as f64 <= 2.0 * budget, "second {second}, {come} come: {most} of {budget:.1}");
        }
    }
}
