//! Tests of many balancers at once, in virtual time: behaviour that is harmless at one balancer must be
//! harmless at a hundred.

use std::collections::{BTreeMap, VecDeque};

use connection_balancer::*;

use crate::harness::{endpoint, endpoints, settings, Harness, MS, SECOND, START};

/// Simulates a discovery that is overloaded after most balancers restart: it serves calls in order and still
/// spends time on calls whose callers have timed out. Balancers that all called again within 2.5 s would keep
/// it overloaded.
#[test]
fn a_hundred_balancers_that_start_at_the_same_time_all_receive_the_list_in_time() {
    const SERVICE_TIME: Micros = Micros::from_millis(50);
    const CALL_TIMEOUT: Micros = Micros::from_secs(2);
    const QUEUE_CAPACITY: usize = 100;
    let settings = Settings { poll_required: true, balancers: 100, ..settings() };
    let list = endpoints(10);
    let mut fleet: Vec<Harness> = (0..100).map(|n| Harness::seeded(settings.clone(), &list, n)).collect();
    // Calls in the order of their arrival: the calling balancer and the time of arrival.
    let mut queue: VecDeque<(usize, Time)> = (0..100).map(|n| (n, START)).collect();
    // Timers that balancers have requested.
    let mut timers: BTreeMap<(Time, usize), ()> = BTreeMap::new();
    let mut has_list = [false; 100];
    let mut idle_from = START;
    for now in (0..15 * 1000).map(|ms| START.plus(ms * MS)) {
        let mut failed: Vec<usize> = Vec::new();
        // A call that has waited too long fails at its caller, but remains in the queue.
        let times_out = |since: Time| now.since(since) == CALL_TIMEOUT;
        failed.extend(queue.iter().filter(|(n, at)| times_out(*at) && !has_list[*n]).map(|(n, _)| *n));
        while let Some(&(n, since)) = queue.front().filter(|_| idle_from <= now) {
            queue.pop_front();
            idle_from = now.plus(SERVICE_TIME);
            has_list[n] |= now.since(since) < CALL_TIMEOUT;
        }
        while let Some((&(at, n), ())) = timers.first_key_value().filter(|((at, _), ())| *at <= now) {
            timers.remove(&(at, n));
            fleet[n].now = now;
            fleet[n].handle(Event::TimerFired);
            if fleet[n].actions.contains(&Action::WatchEndpoints) {
                if queue.len() < QUEUE_CAPACITY {
                    queue.push_back((n, now));
                } else {
                    failed.push(n);
                }
            }
        }
        for n in failed {
            fleet[n].now = now;
            fleet[n].fail_endpoint_watch(WatchFailure::Rejected);
            let requested = fleet[n].actions.iter().filter_map(|action| match action {
                Action::SetTimer(wait) => Some(now.plus(*wait)),
                _ => None,
            });
            timers.extend(requested.map(|at| ((at, n), ())));
        }
    }
    let without_list = has_list.iter().filter(|has_list| !**has_list).count();
    assert_eq!(without_list, 0, "balancers without a list after 15 s");
}

/// One attempt in a fleet of balancers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    balancer: usize,
    request: RequestId,
    number: u32,
}

/// Configuration of a session store that all servers share.
#[derive(Clone, Copy)]
struct StoreConfig {
    servers: u32,
    /// Time that the store takes for one setup.
    service_time: Micros,
    /// Number of setups that may wait in the queue. Further setups end with an error at once.
    queue_capacity: usize,
    /// Whether balancers report slow setups to each other.
    has_gossip: bool,
}

impl StoreConfig {
    /// Returns thirty servers and a store with an unbounded queue, which processes a setup in a millisecond.
    fn unbounded() -> StoreConfig {
        StoreConfig { servers: 30, service_time: MS, queue_capacity: usize::MAX, has_gossip: false }
    }
}

/// Simulates a fleet of balancers whose servers share one session store. The store processes setups in FIFO
/// order, including setups that have timed out, and returns an error for setups that arrive while its queue
/// is full.
struct SharedStore {
    config: StoreConfig,
    fleet: Vec<Harness>,
    now: Time,
    idle_from: Time,
    queue: VecDeque<AttemptKey>,
    /// Attempts without an outcome, with the time at which each times out.
    in_flight: BTreeMap<AttemptKey, Time>,
    /// Number of attempts of each request, by balancer and request.
    attempts: BTreeMap<(usize, RequestId), u32>,
    last_gossip: Time,
    established: u64,
    /// Setups that the store processed after they had timed out.
    processed_after_timeout: u64,
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
            processed_after_timeout: 0,
        }
    }

    /// Applies an event at a balancer and executes the resulting actions.
    fn handle(&mut self, balancer: usize, event: Event<'_>) {
        self.fleet[balancer].now = self.now;
        self.fleet[balancer].handle(event);
        for action in self.fleet[balancer].actions.clone() {
            match action {
                Action::StartAttempt { request, acceptance_timeout, .. } => {
                    self.start_attempt(balancer, request, acceptance_timeout);
                }
                Action::ReportSlowSetup if self.may_gossip() => {
                    self.last_gossip = self.now;
                    (0..self.fleet.len()).filter(|&other| other != balancer).for_each(|other| {
                        self.handle(other, Event::PeerObservedSlowSetups);
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
        if self.queue.len() < self.config.queue_capacity {
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
        self.config.has_gossip && self.now.since(self.last_gossip) >= 600 * MS
    }

    /// Simulates one millisecond in which `clients` clients arrive, each of which gives up after
    /// `client_timeout`.
    fn run_millisecond(&mut self, clients: usize, client_timeout: Micros) {
        for _ in 0..clients {
            let balancer = self.attempts.len() * 7 % self.fleet.len();
            let request = RequestId(1 + self.attempts.len() as u64);
            let (class, tenant, group, load) = (ClassId(0), None, None, None);
            self.attempts.insert((balancer, request), 0);
            let deadline = self.now.plus(client_timeout);
            self.handle(balancer, Event::RequestArrived { request, class, tenant, group, load, deadline });
        }
        while let Some(key) = self.queue.front().copied().filter(|_| self.idle_from <= self.now) {
            self.queue.pop_front();
            self.idle_from = self.idle_from.max(self.now).plus(self.config.service_time);
            if self.in_flight.remove(&key).is_some() {
                self.established += 1;
                let AttemptKey { balancer, request, number: attempt } = key;
                self.handle(balancer, Event::ConnectionEstablished { request, attempt });
            } else {
                self.processed_after_timeout += 1;
            }
        }
        let timed_out: Vec<_> =
            self.in_flight.iter().filter(|(_, until)| **until <= self.now).map(|(key, _)| *key).collect();
        for key in timed_out {
            self.in_flight.remove(&key);
            self.end_attempt(key, Outcome::TimedOut);
        }
        self.now = self.now.plus(MS);
    }
}

/// Guards against attempts that are abandoned after half of their client's time and retried at another
/// server. All servers share a session store, and setups wait in its queue. A retried request would be in
/// that queue twice.
#[test]
fn serves_a_burst_as_fast_as_the_shared_session_store_allows() {
    let mut store =
        SharedStore::new(100, StoreConfig { servers: 10, service_time: 22 * MS, ..StoreConfig::unbounded() });
    (0..4000).for_each(|ms| store.run_millisecond(usize::from(ms < 120), 3 * SECOND));
    assert!(
        store.established >= 108,
        "{} of 120 connections established, at least 108 expected; the store has capacity for all",
        store.established
    );
}

/// Guards against a queue of the session store that remains longer than clients wait. Setups in such a queue
/// complete after their clients have given up, and these clients return. A store that returns errors at once
/// for all servers must not be tried at six of them. Four hundred requests a second arrive here; the store
/// processes eighty, and its queue has room for two seconds.
#[test]
fn an_overloaded_session_store_empties_its_queue() {
    let outcome = |has_gossip: bool| {
        let mut store = SharedStore::new(
            300,
            StoreConfig { servers: 30, service_time: Micros(12_500), queue_capacity: 160, has_gossip },
        );
        let run = |store: &mut SharedStore, from: usize, to: usize| {
            (from..to).for_each(|ms| store.run_millisecond(if ms % 5 == 0 { 2 } else { 0 }, 1200 * MS));
        };
        run(&mut store, 0, 4000);
        (store.established, store.processed_after_timeout) = (0, 0);
        run(&mut store, 4000, 12_000);
        let max_attempts = store.attempts.values().max();
        assert!(
            max_attempts <= Some(&3),
            "{max_attempts:?} attempts of one request while the shared store fails, limit 3"
        );
        (store.established, store.processed_after_timeout)
    };
    let ((established, timed_out), (established_alone, timed_out_alone)) = (outcome(true), outcome(false));
    assert!(
        established >= 640 * 7 / 10 && timed_out * 5 <= established,
        "{established} of 640 connections established, {timed_out} setups processed after their timeout"
    );
    // Without gossip, each balancer observes a slow setup only once in one or two seconds.
    assert!(
        established_alone < established && timed_out_alone > timed_out,
        "gossip is no improvement: {established} connections and {timed_out} setups after their timeout with \
         gossip, {established_alone} and {timed_out_alone} without"
    );
}

/// Guards against an admission rate that rises as fast as the few attempts cut it, which would keep the queue
/// longer than clients wait. Clients wait for 500 to 700 ms, have one attempt and return at once, and
/// balancers do not gossip.
#[test]
fn empties_a_queue_that_is_longer_than_clients_wait_although_they_retry_endlessly() {
    let mut settings = Settings { balancers: 300, max_attempts: 1, ..settings() };
    settings.classes.iter_mut().for_each(|class| class.setup_objective = 150 * MS);
    let mut store = SharedStore::with_settings(
        settings,
        StoreConfig { service_time: 5 * MS, ..StoreConfig::unbounded() },
    );
    let run = |store: &mut SharedStore, ms: usize| {
        (0..ms).for_each(|ms| store.run_millisecond(1 + ms % 2, 500 * MS));
    };
    run(&mut store, 1000);
    store.established = 0;
    run(&mut store, 24_000);
    assert!(
        store.established > 600,
        "{} connections established, more than 600 expected; the store has capacity for 4800",
        store.established
    );
}

/// Guards against an admission rate of 0 after a slow setup. Without an objective it is unknown how late the
/// setup is, and no client at all would be admitted.
#[test]
fn admits_half_after_a_slow_setup_where_no_objective_is_known() {
    let mut settings = Settings { max_attempts: 1, ..settings() };
    settings.classes.iter_mut().for_each(|class| class.setup_objective = Micros::ZERO);
    let mut store = SharedStore::with_settings(settings, StoreConfig::unbounded());
    store.handle(0, Event::PeerObservedSlowSetups);
    store.run_millisecond(40, 500 * MS);
    let sent: u32 = store.attempts.values().sum();
    assert!((8..=32).contains(&sent), "{sent} of 40 requests admitted, 8 to 32 expected");
}

/// Unusual lists and settings each produce a definite answer at once: an attempt at a server that accepts new
/// connections, or a rejection.
#[test]
fn gives_a_definite_answer_for_unusual_lists_and_numbers_of_balancers() {
    let changed = |change: fn(&mut EndpointEntry)| -> Vec<EndpointEntry> {
        let mut list = endpoints(3);
        list.iter_mut().for_each(change);
        list
    };
    let lists = [
        (false, Vec::new()),
        (false, changed(|entry| entry.state = EndpointState::Draining)),
        (false, changed(|entry| entry.state = EndpointState::Gone)),
        (true, changed(|entry| entry.started_at = Some(START.minus(MS)))),
        (true, changed(|entry| entry.started_at = Some(START))),
        (true, changed(|entry| entry.started_at = Some(START.plus(3600 * SECOND)))),
        (true, changed(|entry| entry.started_at = Some(Time(u64::MAX)))),
        (true, changed(|entry| entry.weight = 1e308)),
    ];
    for balancers in [0, 1, 100, u32::MAX] {
        for (n, (has_usable_server, list)) in lists.iter().enumerate() {
            let settings = Settings { balancers, poll_required: true, ..settings() };
            let mut harness = Harness::new(settings, list);
            for _ in 0..30 {
                harness.fail_endpoint_watch(WatchFailure::Rejected);
            }
            let mut placed = 0;
            for _ in 0..200 {
                let request = harness.arrive();
                match harness.attempted_server() {
                    Some(server) => {
                        assert!(list
                            .iter()
                            .any(|entry| entry.server.0 == server && entry.state == EndpointState::Serving));
                        placed += 1;
                        harness.end_attempt(request, 0, Outcome::Ok, true);
                    }
                    None => assert!(
                        harness.rejection().is_some(),
                        "list {n}, {balancers} balancers: neither an attempt nor a rejection"
                    ),
                }
                harness.advance(SECOND);
                harness.handle(Event::TimerFired);
            }
            // A cold server may be left to other balancers for a time, but not permanently.
            assert_eq!(
                placed > 0,
                *has_usable_server,
                "list {n}, {balancers} balancers: {placed} of 200 requests placed"
            );
        }
    }
}

/// Guards against balancers that scatter a group over many servers once they learn of slow servers. Each
/// server with any connection of a group has to do the work of three mean loads for the group.
#[test]
fn three_hundred_balancers_keep_a_group_on_as_few_servers_as_it_fills() {
    const SERVERS: u32 = 60;
    let settings = Settings { balancers: 300, max_retry_after: SECOND, ..settings() };
    let list = endpoints(SERVERS);
    let mut fleet: Vec<Harness> = (0..300).map(|n| Harness::seeded(settings.clone(), &list, n)).collect();
    // Thirty groups of ten connections, and one group of 300, which is half of all. They are scattered over
    // all servers, as after restarts.
    let group_of = |n: u64| if n.is_multiple_of(2) { 77 } else { 1000 + n / 2 % 30 };
    for n in 0..600 {
        fleet[(n * 7 % 300) as usize].restore(1 + n as u32 * 11 % SERVERS, Some(group_of(n)));
    }
    // All balancers receive samples of the groups at a tenth of the balancers, and observations that a fifth
    // of the servers are slow.
    let samples: Vec<Vec<_>> =
        fleet.iter().step_by(10).map(|b| b.balancer.established_groups().map(Some).collect()).collect();
    for harness in &mut fleet {
        samples.iter().for_each(|sample| harness.handle(Event::PeerGroupSample(sample)));
        (1..=12).for_each(|server| {
            harness.handle(Event::PeerObservation { server: ServerId(server), message_time: Some(60 * MS) });
        });
    }
    let mut servers_by_group: BTreeMap<u64, BTreeMap<u32, u32>> = BTreeMap::new();
    for n in 0..600 {
        // Few of the balancers at which the requests arrive have a connection of the group.
        let harness = &mut fleet[((n * 13 + 1) % 300) as usize];
        let request = harness.arrive_in_group(Some(group_of(n)));
        let server = harness.attempted_server().expect("forty-eight servers should have free slots");
        // The connection ends at once: a balancer with a connection of the group at a server would reuse that
        // server, and only new choices are counted here.
        harness.end_attempt(request, 0, Outcome::Ok, true);
        *servers_by_group.entry(group_of(n)).or_default().entry(server).or_insert(0) += 1;
    }
    let large = servers_by_group.remove(&77).expect("half of the requests have this group");
    assert!(
        (15..=48).contains(&large.len()),
        "{} servers for the group of half of all connections, 15 to 48 expected",
        large.len()
    );
    assert!(
        large.values().all(|&count| count <= 40),
        "more than 40 of the group's 300 requests sent to one server: {large:?}"
    );
    let small: usize = servers_by_group.values().map(BTreeMap::len).sum();
    assert!(
        small <= 30 * 5,
        "{small} pairs of group and server, limit 150 for 30 groups that fit on one server each"
    );
}

/// Replaces half of the servers, and returns the number of requests that are sent to each cold server in each
/// second. The requests have no group, so that each occupies one slot.
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
                EndpointEntry { started_at: Some(start), ..endpoint(server + servers) },
            ],
        })
        .collect();
    for harness in &mut fleet {
        // A request before the replacement lets each balancer record its peak occupancy.
        let request = harness.arrive();
        harness.end_attempt(request, 0, Outcome::Ok, true);
        harness.now = start;
        harness.handle(Event::EndpointListChanged(&replaced));
    }
    let mut to_cold = vec![vec![0; servers as usize]; seconds];
    for n in 0..requests_per_second * seconds {
        let harness = &mut fleet[(n * 13 + n / balancers) % balancers];
        harness.now = start.plus(n as u64 * SECOND / requests_per_second as u64);
        let request = harness.arrive();
        if let Some(server) = harness.attempted_server().filter(|server| *server > servers) {
            to_cold[n / requests_per_second][(server - servers) as usize - 1] += 1;
        }
        // The attempt ends at once, so that the occupancy of the servers, on which the budgets depend, does
        // not change.
        harness.end_attempt(request, 0, Outcome::Ok, true);
    }
    to_cold
}

/// Each of 300 balancers has a three-hundredth of the budget of a cold server. Together they must use these
/// budgets, or warm servers drop connections in the meantime. They must not exceed the budgets, however many
/// requests arrive.
#[test]
fn three_hundred_balancers_use_but_do_not_exceed_the_budgets_of_cold_servers() {
    let settings =
        Settings { balancers: 300, max_retry_after: SECOND, slow_start_overload_factor: 4.0, ..settings() };
    for (requests_per_second, minimum) in [(100, 60), (400, 120)] {
        let to_cold = sent_to_cold(&settings, 60, 900, requests_per_second, 6);
        let all: usize = to_cold.iter().flatten().sum();
        assert!(
            all >= minimum,
            "{all} of {} requests sent to cold servers, at least {minimum} expected",
            requests_per_second * 6
        );
        for second in 0..5 {
            // Each server had 15 connections. A cold server has 0.3 of its capacity at first and all of it
            // after 10 s. Within that time it handles four times the number of connections that fills it.
            let warmth = 0.3 + 0.07 * second as f64;
            let budget = 2.0 * warmth * 4.0 * 15.0 / 10.0;
            let window: Vec<usize> =
                (0..60).map(|server| to_cold[second][server] + to_cold[second + 1][server]).collect();
            let sum: usize = window.iter().sum();
            assert!(
                sum as f64 <= 30.0 * budget,
                "second {second}, {requests_per_second} requests a second: {sum} sent to all cold servers, \
                 budget {:.1}",
                30.0 * budget
            );
            // By chance one server may receive more than its budget, but less than would overload it.
            let max = window.into_iter().max().unwrap_or(0);
            assert!(
                max as f64 <= 2.0 * budget,
                "second {second}, {requests_per_second} requests a second: {max} sent to one cold server, \
                 limit {:.1}",
                2.0 * budget
            );
        }
    }
}
