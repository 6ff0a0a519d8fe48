//! Rebalancing: its parts in virtual time, its place in the reducer, and its settings.

mod reducer_harness;

use connection_balancer::program::config as program_config;
use connection_balancer::rebalance::view::Connection;
use connection_balancer::rebalance::{
    CeilingIncrease, Decision, HoldReason, HoldTransition, Migration, Rebalance, RebalanceConfig,
    RebalanceContext, RebalanceEvent, ServerSnapshot, SystemConditions,
};
use connection_balancer::routing::*;
use connection_balancer::{Micros, ServerId, Time};
use proptest::prelude::*;
use reducer_harness::{connection_request, ReducerHarness, SERVERS};

const SECOND: Micros = Micros::from_secs(1);
/// A message time that is slow by the objective of [`context`], in microseconds.
const SLOW_MESSAGE_TIME: Micros = Micros::from_millis(80);
/// Ids of connections of returned clients begin here.
const RETURNED_CONNECTIONS: u64 = 10_000;
/// A usual setup time.
const SETUP_TIME: Micros = Micros::from_millis(30);

fn context() -> RebalanceContext {
    RebalanceContext {
        balancers: 1,
        priority_weights: vec![3.0, 2.0],
        setup_objective: Micros::from_millis(300),
        message_objective: Micros::from_millis(100),
        reports_message_time: true,
        migration_cost: 0.025,
        slow_start_duration: Micros::from_millis(8_800),
    }
}

fn config() -> RebalanceConfig {
    RebalanceConfig { enabled: true, max_moves_per_s: 20.0, ..RebalanceConfig::default() }
}

/// A [`Rebalance`] with servers and a clock.
struct RebalanceHarness {
    rebalance: Rebalance,
    now: Time,
    servers: Vec<ServerSnapshot>,
    next: u64,
    conditions: SystemConditions,
}

impl RebalanceHarness {
    fn new(config: RebalanceConfig, context: RebalanceContext, servers: usize) -> RebalanceHarness {
        let now = Time(1_000_000_000);
        let server = |n| ServerSnapshot {
            server: ServerId(n),
            ready: true,
            occupied_slots: 0.0,
            ceiling: 4.0,
            weight: 1.0,
            warmth: 1.0,
            started: None,
            last_fault: None,
        };
        let servers = (0..servers as u32).map(server).collect();
        let mut harness = RebalanceHarness {
            rebalance: Rebalance::new(config, context, 7, now),
            now,
            servers,
            next: 0,
            conditions: SystemConditions::default(),
        };
        harness.notify(RebalanceEvent::EndpointListChanged { ready: harness.servers.len() });
        harness
    }

    /// Four servers: the first full and, where asked, slow; the last restarted and empty.
    fn unbalanced() -> RebalanceHarness {
        let mut harness = RebalanceHarness::new(config(), context(), 4);
        for server in 0..3 {
            harness.establish(server, if server == 0 { 40 } else { 20 }, None);
        }
        harness.servers[3].started = Some(harness.now);
        harness
    }

    fn notify(&mut self, event: RebalanceEvent) {
        self.rebalance.on_event(self.now, event);
    }

    fn establish(&mut self, server: u32, count: usize, group: Option<u64>) -> Vec<ConnectionId> {
        let connections: Vec<ConnectionId> = (0..count).map(|_| self.establish_one(server, group)).collect();
        self.servers[server as usize].ceiling = self.servers[server as usize].occupied_slots;
        connections
    }

    fn establish_one(&mut self, server: u32, group: Option<u64>) -> ConnectionId {
        self.next += 1;
        let (connection, key) = (ConnectionId(self.next), Some(self.next));
        let properties = Connection { server: ServerId(server), class: 0, group, load: None, key };
        self.notify(RebalanceEvent::ConnectionEstablished { connection, properties, setup: None });
        self.servers[server as usize].occupied_slots += 1.0;
        connection
    }

    /// Evaluates half a second later; the first server reports this message time each second.
    fn evaluate_after_half_second(&mut self, message_time: Option<Micros>) -> Decision {
        self.now = self.now.plus(SECOND / 2);
        if let Some(took) = message_time.filter(|_| self.now.0.is_multiple_of(SECOND.0)) {
            self.notify(RebalanceEvent::MessageTimeReported { server: ServerId(0), took });
        }
        let decision = self.rebalance.evaluate(self.now, self.conditions, &self.servers);
        for &Migration { connection, from } in &decision.moves {
            self.servers[from.0 as usize].occupied_slots -= 1.0;
            self.notify(RebalanceEvent::ConnectionEnded { connection, natural: false });
        }
        decision
    }

    /// Evaluates for so many seconds; who was migrated.
    fn run_seconds(&mut self, count: u64, message_time: Option<Micros>) -> Vec<ConnectionId> {
        let mut migrated = Vec::new();
        for _ in 0..2 * count {
            let moves = self.evaluate_after_half_second(message_time).moves;
            migrated.extend(moves.into_iter().map(|migration| migration.connection));
        }
        migrated
    }

    /// The client of a migrated connection comes back and is established at the last server.
    fn return_client(&mut self, migrated: ConnectionId, setup: Micros) {
        self.next += 1;
        let (connection, key) = (ConnectionId(self.next + RETURNED_CONNECTIONS), Some(migrated.0));
        self.notify(RebalanceEvent::ConnectionRequested { connection, key, reconnecting: true });
        let server = ServerId(self.servers.len() as u32 - 1);
        let properties = Connection { server, class: 0, group: None, load: None, key };
        self.notify(RebalanceEvent::ConnectionEstablished { connection, properties, setup: Some(setup) });
        self.servers.last_mut().expect("a server").occupied_slots += 1.0;
    }

    fn hold_reason(&self) -> Option<HoldReason> {
        self.rebalance.metrics().hold_reason
    }
}

#[test]
fn migrates_connections_from_a_pressured_server_to_a_restarted_empty_one() {
    let mut harness = RebalanceHarness::unbalanced();
    let moved = harness.run_seconds(10, Some(SLOW_MESSAGE_TIME));
    assert!(!moved.is_empty(), "nobody moved");
    assert!(moved.len() <= 10, "{} moved in ten seconds, from a rate that begins low", moved.len());
    assert!(
        moved.iter().all(|connection| connection.0 <= 40),
        "only those of the pressured server: {moved:?}"
    );
}

#[test]
fn migrates_nobody_while_disabled() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.rebalance.configure(harness.now, RebalanceConfig { enabled: false, ..config() }, context());
    assert_eq!(harness.rebalance.due(), None);
    assert!(harness.run_seconds(10, Some(SLOW_MESSAGE_TIME)).is_empty());
}

#[test]
fn ignores_a_short_period_of_slow_messages() {
    let mut harness = RebalanceHarness::unbalanced();
    assert!(harness.run_seconds(2, Some(SLOW_MESSAGE_TIME)).is_empty());
    assert!(harness.run_seconds(20, None).is_empty());
}

#[test]
fn migrates_nobody_where_no_server_has_room() {
    let mut harness = RebalanceHarness::unbalanced();
    // As full as the others, and none has started recently.
    harness.establish(3, 25, None);
    harness.servers[3].started = None;
    assert!(harness.run_seconds(20, Some(SLOW_MESSAGE_TIME)).is_empty());
}

/// A slow server shows few connections because that is all it can hold.
#[test]
fn does_not_fill_a_slow_server_that_holds_less_than_its_share() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.establish(3, 8, None);
    harness.servers[3].started = None;
    harness.servers[3].last_fault = Some(harness.now);
    harness.servers[3].ceiling = 8.0;
    harness.now = harness.now.plus(30 * SECOND);
    assert!(harness.run_seconds(20, Some(SLOW_MESSAGE_TIME)).is_empty());
    // And its ceiling stays as its fault has cut it.
    assert!(harness.evaluate_after_half_second(None).ceilings.is_empty());
}

/// Random placement deviates by about the square root of what a server holds; that is no cause to move anybody.
#[test]
fn ignores_imbalance_that_random_placement_explains() {
    for reports_message_time in [true, false] {
        let context = RebalanceContext {
            reports_message_time,
            message_objective: if reports_message_time { Micros::from_millis(100) } else { Micros::ZERO },
            ..context()
        };
        let mut harness = RebalanceHarness::new(config(), context, 4);
        for (server, count) in [(0, 24), (1, 16), (2, 20), (3, 20)] {
            harness.establish(server, count, None);
        }
        assert!(harness.run_seconds(60, None).is_empty());
    }
}

#[test]
fn migrates_beyond_placement_noise_where_servers_report_no_message_times() {
    let mut harness = RebalanceHarness::new(
        config(),
        RebalanceContext { reports_message_time: false, message_objective: Micros::ZERO, ..context() },
        4,
    );
    for server in 0..3 {
        harness.establish(server, 200, None);
    }
    harness.servers[3].started = Some(harness.now);
    assert!(!harness.run_seconds(10, None).is_empty());
}

/// Ceilings change before anybody is migrated: new connections are placed elsewhere at no cost.
#[test]
fn lowers_the_ceiling_of_a_server_over_its_share_and_raises_an_unknown_one() {
    let mut harness = RebalanceHarness::unbalanced();
    let decision = harness.evaluate_after_half_second(None);
    assert_eq!(decision.lowered, [ServerId(0)]);
    let [CeilingIncrease { server, ceiling }] = decision.ceilings[..] else { panic!("{decision:?}") };
    assert_eq!(server, ServerId(3));
    assert!((ceiling - 18.0).abs() < 1e-9, "0.9 of its share of 20: {ceiling}");
    assert!(decision.moves.is_empty());
}

#[test]
fn migrates_a_group_whole_or_not_at_all() {
    for size in [2, 5, 20, 60] {
        let mut harness = RebalanceHarness::new(config(), context(), 4);
        let groups: Vec<Vec<ConnectionId>> =
            (0..120 / size).map(|n| harness.establish(0, size, Some(n as u64))).collect();
        harness.establish(1, 20, None);
        harness.establish(2, 20, None);
        harness.servers[3].started = Some(harness.now);
        for second in 0..60 {
            harness.run_seconds(1, Some(SLOW_MESSAGE_TIME));
            harness.servers[3].started = Some(harness.now);
            let migrated = |connection: &&ConnectionId| {
                harness.rebalance.metrics().moved > 0 && !harness.is_established(**connection)
            };
            for group in &groups {
                let migrated = group.iter().filter(migrated).count();
                assert!(
                    migrated == 0 || migrated == size,
                    "{migrated} of {size} migrated in second {second}"
                );
            }
        }
        // Larger ones take more tokens than a low rate saves, or are within their own placement noise.
        assert!(size > 2 || harness.rebalance.metrics().moved > 0, "no group of {size} was ever migrated");
    }
}

impl RebalanceHarness {
    fn is_established(&self, connection: ConnectionId) -> bool {
        self.rebalance.connection(connection).is_some()
    }
}

/// A group is one unit of random placement, however many members it has.
#[test]
fn ignores_the_imbalance_of_a_single_large_group() {
    let mut harness = RebalanceHarness::new(config(), context(), 4);
    for server in 0..3 {
        harness.establish(server, 20, None);
    }
    harness.establish(0, 30, Some(9));
    harness.servers[3].started = Some(harness.now);
    assert!(harness.run_seconds(20, Some(SLOW_MESSAGE_TIME)).is_empty());
}

/// The larger part stays, the smaller one goes to it.
#[test]
fn migrates_the_smaller_part_of_a_split_group_first() {
    let mut harness = RebalanceHarness::unbalanced();
    let small = harness.establish(0, 2, Some(5));
    harness.establish(1, 6, Some(5));
    let large = harness.establish(0, 3, Some(6));
    harness.establish(2, 1, Some(6));
    let moved = harness.run_seconds(6, Some(SLOW_MESSAGE_TIME));
    assert!(moved.len() >= 2 && moved[..2] == small[..], "{moved:?}");
    assert!(moved.iter().all(|connection| !large.contains(connection)), "{moved:?}");
}

/// A client must not be migrated from server to server.
#[test]
fn does_not_migrate_a_returned_client_again() {
    let mut harness = RebalanceHarness::unbalanced();
    let mut returned = Vec::new();
    for _ in 0..8 {
        for connection in harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)) {
            harness.return_client(connection, SETUP_TIME);
            returned.push(ConnectionId(harness.next + RETURNED_CONNECTIONS));
        }
    }
    let metrics = harness.rebalance.metrics();
    assert!(metrics.moved > 0 && metrics.returned == metrics.moved, "{metrics:?}");
    // Now the last server is the one that is full.
    harness.servers[3].occupied_slots = 60.0;
    for _ in 0..40 {
        harness.now = harness.now.plus(SECOND / 2);
        harness.notify(RebalanceEvent::MessageTimeReported {
            server: ServerId(3),
            took: Micros::from_millis(90),
        });
        let decision = harness.rebalance.evaluate(harness.now, harness.conditions, &harness.servers);
        assert!(decision.moves.iter().all(|migration| !returned.contains(&migration.connection)));
    }
}

/// The session store five times slower: from the start, beginning midway, and over again.
#[test]
fn holds_moves_while_setups_are_slow_and_resumes_afterwards() {
    let mut harness = RebalanceHarness::unbalanced();
    let complete_setups = |harness: &mut RebalanceHarness, took: u64, server: u32| {
        for _ in 0..20 {
            let connection = harness.establish_one(server, None);
            let properties =
                Connection { server: ServerId(server), class: 0, group: None, load: None, key: None };
            harness.notify(RebalanceEvent::ConnectionEstablished {
                connection,
                properties,
                setup: Some(Micros(took)),
            });
            harness.notify(RebalanceEvent::ConnectionEnded { connection, natural: true });
            harness.servers[server as usize].occupied_slots -= 1.0;
        }
    };
    complete_setups(&mut harness, 40_000, 1);
    assert!(!harness.run_seconds(8, Some(SLOW_MESSAGE_TIME)).is_empty());
    complete_setups(&mut harness, 200_000, 1);
    assert!(harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)).is_empty());
    assert_eq!(harness.hold_reason(), Some(HoldReason::SlowSetups));
    assert_eq!(harness.rebalance.metrics().rate, 0.0);
    complete_setups(&mut harness, 40_000, 1);
    harness.run_seconds(8, Some(SLOW_MESSAGE_TIME));
    assert_eq!(harness.hold_reason(), None);
    // From the start there is no usual time: the objective decides.
    let mut harness = RebalanceHarness::unbalanced();
    complete_setups(&mut harness, 200_000, 1);
    assert!(harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)).is_empty());
    assert_eq!(harness.hold_reason(), Some(HoldReason::SlowSetups));
}

/// At a slow server a setup is slow, too; the session store has no part in that.
#[test]
fn ignores_slow_setups_at_a_slow_server() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.run_seconds(4, Some(SLOW_MESSAGE_TIME));
    for _ in 0..20 {
        let connection = harness.establish_one(0, None);
        let properties = Connection { server: ServerId(0), class: 0, group: None, load: None, key: None };
        harness.notify(RebalanceEvent::ConnectionEstablished {
            connection,
            properties,
            setup: Some(Micros::from_millis(400)),
        });
    }
    harness.run_seconds(1, Some(SLOW_MESSAGE_TIME));
    assert_eq!(harness.hold_reason(), None);
}

#[test]
fn holds_moves_when_migrated_clients_do_not_return() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.establish(0, 100, None);
    let mut held = false;
    for _ in 0..40 {
        harness.run_seconds(1, Some(SLOW_MESSAGE_TIME));
        harness.servers[3].started = Some(harness.now);
        held |= harness.hold_reason() == Some(HoldReason::NotReturning);
    }
    assert!(held, "{:?}", harness.rebalance.metrics());
    let moved = harness.rebalance.metrics().moved;
    assert!(moved <= 16, "{moved} moved, though none came back");
}

/// Of three balancers' clients two thirds come back to another one: that is no reason to stop.
#[test]
fn tolerates_clients_that_return_to_another_balancer() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.rebalance.configure(harness.now, config(), RebalanceContext { balancers: 3, ..context() });
    let mut count = 0;
    for _ in 0..40 {
        for connection in harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)) {
            count += 1;
            if count % 3 == 0 {
                harness.return_client(connection, SETUP_TIME);
            }
            // As many of the others' clients come here.
            if count % 3 == 1 {
                harness.notify(RebalanceEvent::ConnectionRequested {
                    connection: ConnectionId(50_000 + connection.0),
                    key: Some(90_000 + connection.0),
                    reconnecting: true,
                });
            }
        }
        assert_ne!(harness.hold_reason(), Some(HoldReason::NotReturning));
    }
    assert!(count > 3);
}

#[test]
fn holds_moves_longer_after_each_rejected_migrated_client() {
    let mut harness = RebalanceHarness::unbalanced();
    let mut waits = Vec::new();
    for _ in 0..3 {
        let mut moved = Vec::new();
        while moved.is_empty() {
            moved = harness.run_seconds(1, Some(SLOW_MESSAGE_TIME));
            assert!(harness.now < Time(2_000_000_000), "nobody moved");
        }
        harness.servers[3].started = Some(harness.now);
        for (n, connection) in moved.into_iter().enumerate() {
            if n > 0 {
                harness.return_client(connection, SETUP_TIME);
                continue;
            }
            let reconnected = ConnectionId(70_000 + connection.0);
            harness.notify(RebalanceEvent::ConnectionRequested {
                connection: reconnected,
                key: Some(connection.0),
                reconnecting: true,
            });
            harness.notify(RebalanceEvent::ConnectionRejected { connection: reconnected });
            harness.notify(RebalanceEvent::ConnectionEnded { connection: reconnected, natural: false });
        }
        let since = harness.now;
        harness.evaluate_after_half_second(Some(SLOW_MESSAGE_TIME));
        assert_eq!(harness.hold_reason(), Some(HoldReason::Rejected));
        while harness.hold_reason() == Some(HoldReason::Rejected) {
            harness.evaluate_after_half_second(Some(SLOW_MESSAGE_TIME));
        }
        waits.push(harness.now.since(since));
    }
    assert_eq!(harness.rebalance.metrics().rejected, 3);
    assert!(waits[0] >= 2 * SECOND && waits[1] > waits[0] && waits[2] > waits[1], "{waits:?}");
}

#[test]
fn holds_moves_that_have_no_effect() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.establish(0, 100, None);
    let mut held = false;
    for _ in 0..60 {
        harness.servers[3].started = Some(harness.now);
        for connection in harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)) {
            harness.return_client(connection, SETUP_TIME);
            // As many connect to the pressured server as leave it, and none to the empty one.
            harness.servers[3].occupied_slots -= 1.0;
            harness.establish_one(0, None);
        }
        held |= harness.hold_reason() == Some(HoldReason::NoEffect);
    }
    assert!(held, "{:?}", harness.rebalance.metrics());
}

/// Why moves are held after a disturbance of a harness that migrates; nobody may be migrated meanwhile.
fn hold_reason_after(disturb: impl FnOnce(&mut RebalanceHarness)) -> Option<HoldReason> {
    let mut harness = RebalanceHarness::unbalanced();
    harness.run_seconds(3, Some(SLOW_MESSAGE_TIME));
    disturb(&mut harness);
    assert_eq!(harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)), []);
    harness.hold_reason()
}

#[test]
fn holds_all_moves_under_each_system_condition() {
    let normal = SystemConditions::default();
    for (conditions, reason) in [
        (SystemConditions { shutting_down: true, ..normal }, HoldReason::ShuttingDown),
        (SystemConditions { hot_restart: true, ..normal }, HoldReason::HotRestart),
        (SystemConditions { draining: 1, ..normal }, HoldReason::Draining),
    ] {
        let found = hold_reason_after(|harness| harness.conditions = conditions);
        assert_eq!(found, Some(reason), "{conditions:?}");
    }
}

#[test]
fn holds_all_moves_after_each_change_of_configuration_or_endpoint_list() {
    for (event, reason) in [
        (RebalanceEvent::ConfigurationReloaded, HoldReason::Reload),
        (RebalanceEvent::EndpointListLost, HoldReason::ListLost),
        (RebalanceEvent::EndpointListChanged { ready: 2 }, HoldReason::ListShrank),
        (RebalanceEvent::EndpointListChanged { ready: 0 }, HoldReason::ListShrank),
    ] {
        let found = hold_reason_after(|harness| harness.notify(event));
        assert_eq!(found, Some(reason), "{event:?}");
    }
}

#[test]
fn holds_all_moves_in_a_storm_of_arrivals() {
    let found = hold_reason_after(|harness| {
        for n in 0..60 {
            harness.notify(RebalanceEvent::ConnectionRequested {
                connection: ConnectionId(80_000 + n),
                key: None,
                reconnecting: false,
            });
        }
    });
    assert_eq!(found, Some(HoldReason::Storm));
}

#[test]
fn holds_all_moves_with_a_single_server() {
    let found = hold_reason_after(|harness| {
        harness.servers.iter_mut().skip(1).for_each(|server| server.ready = false);
    });
    assert_eq!(found, Some(HoldReason::FewServers));
}

#[test]
fn logs_a_hold_and_its_end_once_connections_were_migrated() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.conditions.hot_restart = true;
    assert_eq!(harness.evaluate_after_half_second(None).log, None, "nobody was migrated");
    harness.conditions.hot_restart = false;
    harness.run_seconds(5, Some(SLOW_MESSAGE_TIME));
    harness.conditions.hot_restart = true;
    let held = harness.evaluate_after_half_second(None).log;
    assert_eq!(held, Some(HoldTransition::Held(HoldReason::HotRestart)));
    assert_eq!(HoldReason::HotRestart.to_string(), "another process serves beside this one");
    assert_eq!(harness.evaluate_after_half_second(None).log, None, "nothing has changed");
    harness.conditions.hot_restart = false;
    assert_eq!(harness.evaluate_after_half_second(None).log, Some(HoldTransition::Resumed));
}

/// Holds end as their causes do; a server that drains for hours must not hold moves for ever.
#[test]
fn ends_holds_without_intervention() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.notify(RebalanceEvent::ConfigurationReloaded);
    harness.notify(RebalanceEvent::EndpointListLost);
    harness.conditions.draining = 3;
    harness.notify(RebalanceEvent::EndpointListReceived);
    harness.run_seconds(29, None);
    assert_eq!(harness.hold_reason(), Some(HoldReason::Draining));
    harness.run_seconds(3, None);
    assert_eq!(harness.hold_reason(), None);
}

/// A reload may bring another objective, by which message times are then judged.
#[test]
fn applies_another_message_objective_from_the_reload_on() {
    let mut harness = RebalanceHarness::new(
        config(),
        RebalanceContext { message_objective: Micros::from_secs(1), ..context() },
        4,
    );
    (0..3).for_each(|server| drop(harness.establish(server, if server == 0 { 40 } else { 20 }, None)));
    harness.servers[3].started = Some(harness.now);
    assert!(
        harness.run_seconds(10, Some(SLOW_MESSAGE_TIME)).is_empty(),
        "80 ms are fast where 1 s is wanted"
    );
    harness.rebalance.configure(harness.now, config(), context());
    assert!(!harness.run_seconds(10, Some(SLOW_MESSAGE_TIME)).is_empty(), "and slow where 100 ms are");
}

#[test]
fn limits_moves_to_what_a_warming_server_can_take() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.servers[3].warmth = 0.34;
    let moved = harness.run_seconds(4, Some(SLOW_MESSAGE_TIME)).len();
    // 20 slots over 8.8 s: at most four and a half in two seconds, and half of that at a time.
    assert!(moved <= 4, "{moved}");
}

/// A server that comes back and dies again while it is being filled has room no more.
#[test]
fn sends_nobody_to_a_server_that_is_gone_again() {
    let mut harness = RebalanceHarness::unbalanced();
    assert!(!harness.run_seconds(8, Some(SLOW_MESSAGE_TIME)).is_empty());
    harness.servers[3].ready = false;
    assert!(harness.run_seconds(20, Some(SLOW_MESSAGE_TIME)).is_empty());
}

proptest! {
    // The same steps each run.
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        ..ProptestConfig::default()
    })]

    /// Whatever happens in whatever order: bounded, at most so many moves as tokens allow, each of an established
    /// connection at a server in use, none twice; the same events give the same moves.
    #[test]
    fn keeps_its_guarantees_under_arbitrary_events(
        steps in prop::collection::vec((0u8..14, 0u64..40, 0u32..5), 1..400)
    ) {
        prop_assert_eq!(replay(&steps)?, replay(&steps)?);
    }
}

/// The kind of event, a number that the event's details derive from, and a server.
type Step = (u8, u64, u32);

/// Applies the steps to a new harness and checks the guarantees after each; the decisions.
fn replay(steps: &[Step]) -> Result<Vec<Decision>, TestCaseError> {
    let mut harness = RebalanceHarness::new(config(), context(), 5);
    let mut decisions = Vec::new();
    for &step in steps {
        let (kind, number, server) = step;
        harness.now = harness.now.plus(Micros(number * 10_000));
        match kind {
            0..=9 => harness.notify(arbitrary_event(step)),
            10 => harness.servers[server as usize].ready ^= true,
            11 => harness.servers[server as usize].started = Some(harness.now),
            _ => decisions.push(evaluate_checked(&mut harness, number, server)?),
        }
        if kind <= 3 {
            harness.servers[server as usize].occupied_slots += 1.0;
        }
        let metrics = harness.rebalance.metrics();
        prop_assert!(metrics.rate.is_finite() && (0.0..=20.0).contains(&metrics.rate));
        prop_assert!(metrics.returned <= metrics.moved && metrics.rejected <= metrics.returned);
    }
    Ok(decisions)
}

fn arbitrary_event((kind, number, server): Step) -> RebalanceEvent {
    let connection = ConnectionId(number);
    let properties = Connection {
        server: ServerId(server),
        class: (number % 3) as u16,
        group: (number % 4 == 0).then_some(number % 3),
        load: (number % 2 == 0).then_some(number as f64 * 10_000.0),
        key: (number % 5 > 0).then_some(number),
    };
    match kind {
        0..=3 => RebalanceEvent::ConnectionEstablished {
            connection,
            properties,
            setup: Some(Micros(number * 5_000)),
        },
        4 => RebalanceEvent::ConnectionEnded { connection, natural: server > 2 },
        5 => RebalanceEvent::ConnectionRequested { connection, key: Some(number), reconnecting: server > 2 },
        6 => RebalanceEvent::ConnectionRejected { connection },
        7 => RebalanceEvent::LoadReported { connection, load: number as f64 * 5_000.0 },
        8 => RebalanceEvent::EndpointListChanged { ready: server as usize },
        _ if server > 2 => RebalanceEvent::EndpointListLost,
        _ => RebalanceEvent::EndpointListReceived,
    }
}

/// Evaluates after three seconds of message times from a server, and checks the decision.
fn evaluate_checked(
    harness: &mut RebalanceHarness,
    number: u64,
    slow_server: u32,
) -> Result<Decision, TestCaseError> {
    for _ in 0..3 {
        harness.now = harness.now.plus(SECOND);
        let server = ServerId(slow_server);
        harness.notify(RebalanceEvent::MessageTimeReported { server, took: Micros(number * 10_000) });
    }
    let known = (0..40).filter_map(|n| harness.rebalance.connection(ConnectionId(n))).count();
    let decision = harness.rebalance.evaluate(harness.now, harness.conditions, &harness.servers);
    let mut seen = std::collections::BTreeSet::new();
    for &Migration { connection, from } in &decision.moves {
        prop_assert!(seen.insert(connection), "{connection:?} twice");
        prop_assert!(harness.servers[from.0 as usize].ready);
        let server = harness.rebalance.connection(connection).map(|known| known.properties.server);
        prop_assert_eq!(server, Some(from));
        harness.notify(RebalanceEvent::ConnectionEnded { connection, natural: false });
    }
    prop_assert!(decision.moves.len() <= known);
    let sound = |increase: &CeilingIncrease| increase.ceiling.is_finite() && increase.ceiling > 0.0;
    prop_assert!(decision.ceilings.iter().all(sound));
    Ok(decision)
}

// ---- In the reducer ----

fn rebalancing_pool() -> PoolConfig {
    PoolConfig {
        rebalance: RebalanceConfig { enabled: true, max_moves_per_s: 20.0, ..RebalanceConfig::default() },
        ..reducer_harness::pool_config()
    }
}

/// A reducer that rebalances, with most connections at the first server and an empty, restarted last one.
fn unbalanced_reducer() -> (ReducerHarness, Vec<ConnectionId>) {
    let mut harness = ReducerHarness::new();
    harness.feed(Input::ConfigurationChanged {
        pools: vec![rebalancing_pool()],
        peers: Vec::new(),
        budget: reducer_harness::BUDGET,
    });
    let mut connections = Vec::new();
    for n in 0..40 {
        let connection = harness.connect_client();
        let at = SERVERS[if n < 25 { 0 } else { 1 + n % 3 }].to_owned();
        let request =
            ConnectionRequest { established_at: Some(at), key: Some(connection.0), ..connection_request() };
        harness.feed(Input::ConnectionRequested { connection, request });
        harness.feed(Input::RequestForwarded { connection, attempt: 0 });
        harness.feed(Input::AttemptAccepted { connection, attempt: 0 });
        harness.feed(Input::LoadReported { connection, load: 60_000.0 });
        connections.push(connection);
    }
    // The last server has restarted: by the endpoint list it started just now.
    harness.restart_server(4);
    (harness, connections)
}

fn run_and_collect_migrated(
    harness: &mut ReducerHarness,
    connections: &[ConnectionId],
    seconds: u32,
) -> Vec<ConnectionId> {
    let mut moved = Vec::new();
    for _ in 0..seconds {
        for tenth in 0..10 {
            harness.advance(Micros::from_millis(100));
            let mut effects = harness.feed(Input::TimerFired);
            if let (0, Some(&connection)) =
                (tenth, connections.iter().find(|connection| !moved.contains(*connection)))
            {
                // A third of the objective: no cause for the decision module to migrate anybody by itself.
                effects.extend(harness.feed(Input::LoadReported { connection, load: 45.0 }));
            }
            moved.extend(effects.iter().filter_map(|effect| match effect {
                Effect::Answer { connection, answer: Answer::Migrated } => Some(*connection),
                _ => None,
            }));
        }
    }
    moved
}

#[test]
fn reducer_migrates_clients_of_a_pressured_server_and_counts_them() {
    let (mut harness, connections) = unbalanced_reducer();
    let migrated = run_and_collect_migrated(&mut harness, &connections, 15);
    assert!(!migrated.is_empty(), "nobody moved");
    assert!(migrated.iter().all(|connection| connections[..25].contains(connection)));
    let reply =
        harness.feed(Input::AdminRequest { admin_client: AdminClientId(1), call: AdminCall::Metrics });
    let Some(Effect::AdminReply { reply: AdminResponse::Metrics(metrics), .. }) = reply.last() else {
        panic!("{reply:?}")
    };
    assert_eq!(metrics.rebalance["platform"].moved as usize, migrated.len());
    // One comes back and is recognised by its key.
    let connection = harness.connect_client();
    harness.feed(Input::ConnectionRequested {
        connection,
        request: ConnectionRequest {
            key: migrated.last().map(|connection| connection.0),
            reconnecting: true,
            ..connection_request()
        },
    });
    assert_eq!(harness.state.rebalancing(0).map(|metrics| metrics.returned), Some(1));
}

#[test]
fn reducer_migrates_nobody_for_balance_during_shutdown_or_hot_restart() {
    let (mut harness, connections) = unbalanced_reducer();
    harness.feed(Input::SuccessorStarted);
    assert!(run_and_collect_migrated(&mut harness, &connections, 15).is_empty());
    let (mut harness, connections) = unbalanced_reducer();
    harness.feed(Input::ShutdownRequested);
    run_and_collect_migrated(&mut harness, &connections, 3);
    assert_eq!(harness.state.rebalancing(0).map(|metrics| metrics.moved), Some(0));
}

#[test]
fn gives_draining_precedence_over_balance() {
    let (mut harness, connections) = unbalanced_reducer();
    harness.drain_server(1);
    assert!(run_and_collect_migrated(&mut harness, &connections, 15).is_empty());
}

#[test]
fn stops_when_a_reload_disables_it() {
    let (mut harness, connections) = unbalanced_reducer();
    harness.feed(Input::ConfigurationChanged {
        pools: vec![reducer_harness::pool_config()],
        peers: Vec::new(),
        budget: reducer_harness::BUDGET,
    });
    assert!(run_and_collect_migrated(&mut harness, &connections, 15).is_empty());
    assert_eq!(harness.state.rebalancing(0), None);
}

// ---- Settings ----

#[test]
fn checks_its_settings_file_by_key() {
    let sound = program_config::parse_rebalance(include_bytes!("../deploy/rebalance.json")).expect("sound");
    assert!(sound["irc"].enabled);
    let fault =
        |text: &str| program_config::parse_rebalance(text.as_bytes()).expect_err("faulty").to_string();
    assert!(fault(r#"{"platform": {"margin": 0.5}}"#).starts_with("platform.margin: at least 1"));
    assert!(fault(r#"{"irc": {"most_per_s": 0}}"#).starts_with("irc.most_per_s: more than 0"));
    assert!(fault(r#"{"irc": {"assumed_use": 1}}"#).starts_with("irc.assumed_use: a share"));
    assert!(fault(r#"{"irc": {"speed": 1}}"#).starts_with("irc.speed: no such key"));
    assert!(fault(r#"{"smtp": {}}"#).starts_with("smtp: no such key"));
    assert!(fault("{").starts_with("document: not JSON"));
}
