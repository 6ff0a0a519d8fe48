//! Rebalancing: its parts in virtual time, its place in the reducer, and its settings.

mod reducer_harness;

use connection_balancer::program::config;
use connection_balancer::rebalance::view::Connection;
use connection_balancer::rebalance::{
    Decision, Held, Rebalance, RebalanceConfig, RebalanceContext, RebalanceEvent, ServerSnapshot,
    SystemConditions,
};
use connection_balancer::routing::*;
use connection_balancer::{ServerId, Time};
use proptest::prelude::*;
use reducer_harness::{connection_request, ReducerHarness, SERVERS};

const SECOND: u64 = 1_000_000;

fn terms() -> RebalanceContext {
    RebalanceContext {
        balancers: 1,
        priority_weights: vec![3.0, 2.0],
        setup_objective: 300_000,
        message_objective: 100_000,
        tells_delay: true,
        migration_cost: 0.025,
        slow_start_duration: 8_800_000,
    }
}

fn setup() -> RebalanceConfig {
    RebalanceConfig { on: true, max_moves_per_s: 20.0, ..RebalanceConfig::default() }
}

/// A rebalancing with servers and a clock.
struct Rig {
    core: Rebalance,
    now: Time,
    servers: Vec<ServerSnapshot>,
    next: u64,
    world: SystemConditions,
}

impl Rig {
    fn new(setup: RebalanceConfig, terms: RebalanceContext, servers: usize) -> Rig {
        let now = Time(1_000 * SECOND);
        let server = |n| ServerSnapshot {
            server: ServerId(n),
            ready: true,
            held: 0.0,
            ceiling: 4.0,
            weight: 1.0,
            warmth: 1.0,
            started: None,
            last_fault: None,
        };
        let servers = (0..servers as u32).map(server).collect();
        let mut rig = Rig {
            core: Rebalance::new(setup, terms, 7, now),
            now,
            servers,
            next: 0,
            world: SystemConditions::default(),
        };
        rig.word(RebalanceEvent::EndpointEntry { ready: rig.servers.len() });
        rig
    }

    /// Four servers: the first full and telling of slow messages, the last back and empty.
    fn lopsided() -> Rig {
        let mut rig = Rig::new(setup(), terms(), 4);
        for server in 0..3 {
            rig.stand(server, if server == 0 { 40 } else { 20 }, None);
        }
        rig.servers[3].started = Some(rig.now);
        rig
    }

    fn word(&mut self, word: RebalanceEvent) {
        self.core.take(self.now, word);
    }

    fn stand(&mut self, server: u32, count: usize, group: Option<u64>) -> Vec<ConnectionId> {
        let connections: Vec<ConnectionId> = (0..count).map(|_| self.one(server, group)).collect();
        self.servers[server as usize].ceiling = self.servers[server as usize].held;
        connections
    }

    fn one(&mut self, server: u32, group: Option<u64>) -> ConnectionId {
        self.next += 1;
        let (connection, key) = (ConnectionId(self.next), Some(self.next));
        let at = Connection { server: ServerId(server), class: 0, group, load: None, key };
        self.word(RebalanceEvent::Stood { connection, at, setup: None });
        self.servers[server as usize].held += 1.0;
        connection
    }

    /// Half a second later, with the first server telling each second of messages that take so long.
    fn half(&mut self, slow: Option<u64>) -> Decision {
        self.now = self.now.plus(SECOND / 2);
        if let Some(took) = slow.filter(|_| self.now.0.is_multiple_of(SECOND)) {
            self.word(RebalanceEvent::Delay { server: ServerId(0), took });
        }
        let decision = self.core.evaluate(self.now, self.world, &self.servers);
        for &(connection, server) in &decision.moves {
            self.servers[server.0 as usize].held -= 1.0;
            self.word(RebalanceEvent::Ended { connection, natural: false });
        }
        decision
    }

    /// So many seconds of that: who was moved.
    fn seconds(&mut self, count: u64, slow: Option<u64>) -> Vec<ConnectionId> {
        let halves = (0..2 * count).map(|_| self.half(slow)).collect::<Vec<_>>();
        halves.into_iter().flat_map(|decision| decision.moves).map(|(connection, _)| connection).collect()
    }

    /// The client of a moved one comes again and stands at the last server.
    fn back(&mut self, moved: ConnectionId, setup: u64) {
        self.next += 1;
        let (connection, key) = (ConnectionId(self.next + 10_000), Some(moved.0));
        self.word(RebalanceEvent::Arrived { connection, key, again: true });
        let server = ServerId(self.servers.len() as u32 - 1);
        let at = Connection { server, class: 0, group: None, load: None, key };
        self.word(RebalanceEvent::Stood { connection, at, setup: Some(setup) });
        self.servers.last_mut().expect("a host").held += 1.0;
    }

    fn held(&self) -> Option<Held> {
        self.core.metrics().held
    }
}

#[test]
fn a_pressed_host_gives_up_connections_to_one_that_is_back_and_empty() {
    let mut rig = Rig::lopsided();
    let moved = rig.seconds(10, Some(80_000));
    assert!(!moved.is_empty(), "nobody moved");
    assert!(moved.len() <= 10, "{} moved in ten seconds, from a rate that begins low", moved.len());
    assert!(moved.iter().all(|connection| connection.0 <= 40), "only those of the pressed host: {moved:?}");
}

#[test]
fn off_means_off() {
    let mut rig = Rig::lopsided();
    rig.core.configure(rig.now, RebalanceConfig { on: false, ..setup() }, terms());
    assert_eq!(rig.core.due(), None);
    assert!(rig.seconds(10, Some(80_000)).is_empty());
}

#[test]
fn one_short_spell_of_slow_messages_moves_nobody() {
    let mut rig = Rig::lopsided();
    assert!(rig.seconds(2, Some(80_000)).is_empty());
    assert!(rig.seconds(20, None).is_empty());
}

#[test]
fn nobody_moves_where_no_host_has_room() {
    let mut rig = Rig::lopsided();
    // As full as the others, and none has started lately.
    rig.stand(3, 25, None);
    rig.servers[3].started = None;
    assert!(rig.seconds(20, Some(80_000)).is_empty());
}

/// Danger: a slow server shows few connections because that is all it bears.
#[test]
fn a_slow_host_that_is_rightly_held_less_is_not_filled_up() {
    let mut rig = Rig::lopsided();
    rig.stand(3, 8, None);
    rig.servers[3].started = None;
    rig.servers[3].last_fault = Some(rig.now);
    rig.servers[3].ceiling = 8.0;
    rig.now = rig.now.plus(30 * SECOND);
    assert!(rig.seconds(20, Some(80_000)).is_empty());
    // And its ceiling stays as its trouble has cut it.
    assert!(rig.half(None).ceilings.is_empty());
}

/// Random placement deviates by about the square root of what a server holds; that is no cause to move anybody.
#[test]
fn chance_moves_nobody() {
    for tells_delay in [true, false] {
        let terms = RebalanceContext {
            tells_delay,
            message_objective: if tells_delay { 100_000 } else { 0 },
            ..terms()
        };
        let mut rig = Rig::new(setup(), terms, 4);
        for (server, count) in [(0, 24), (1, 16), (2, 20), (3, 20)] {
            rig.stand(server, count, None);
        }
        assert!(rig.seconds(60, None).is_empty());
    }
}

#[test]
fn where_hosts_tell_nothing_only_what_chance_does_not_explain_moves_anybody() {
    let mut rig =
        Rig::new(setup(), RebalanceContext { tells_delay: false, message_objective: 0, ..terms() }, 4);
    for server in 0..3 {
        rig.stand(server, 200, None);
    }
    rig.servers[3].started = Some(rig.now);
    assert!(!rig.seconds(10, None).is_empty());
}

/// What was lost to a server by chance or a restart is placed anew at no cost: ceilings go first.
#[test]
fn a_host_over_its_part_has_its_ceiling_lowered_and_an_unknown_one_has_it_raised() {
    let mut rig = Rig::lopsided();
    let decision = rig.half(None);
    assert_eq!(decision.lowered, [ServerId(0)]);
    let [(server, ceiling)] = decision.ceilings[..] else { panic!("{decision:?}") };
    assert_eq!(server, ServerId(3));
    assert!((ceiling - 18.0).abs() < 1e-9, "0.9 of its part of 20: {ceiling}");
    assert!(decision.moves.is_empty());
}

#[test]
fn a_group_goes_whole_or_not_at_all() {
    for size in [2, 5, 20, 60] {
        let mut rig = Rig::new(setup(), terms(), 4);
        let groups: Vec<Vec<ConnectionId>> =
            (0..120 / size).map(|n| rig.stand(0, size, Some(n as u64))).collect();
        rig.stand(1, 20, None);
        rig.stand(2, 20, None);
        rig.servers[3].started = Some(rig.now);
        for second in 0..60 {
            rig.seconds(1, Some(80_000));
            rig.servers[3].started = Some(rig.now);
            let gone = |connection: &&ConnectionId| rig.core.metrics().moved > 0 && !rig.stands(**connection);
            for group in &groups {
                let gone = group.iter().filter(gone).count();
                assert!(gone == 0 || gone == size, "{gone} of {size} gone in second {second}");
            }
        }
        // Larger ones take more tokens than a low rate saves, or are within their own chance.
        assert!(size > 2 || rig.core.metrics().moved > 0, "no group of {size} ever went");
    }
}

impl Rig {
    fn stands(&self, connection: ConnectionId) -> bool {
        self.core.connection(connection).is_some()
    }
}

/// A wave of one group's members is one unit, whose chance explains it.
#[test]
fn a_wave_of_one_groups_members_is_no_imbalance() {
    let mut rig = Rig::new(setup(), terms(), 4);
    for server in 0..3 {
        rig.stand(server, 20, None);
    }
    rig.stand(0, 30, Some(9));
    rig.servers[3].started = Some(rig.now);
    assert!(rig.seconds(20, Some(80_000)).is_empty());
}

/// The larger part stays, the smaller one goes to it.
#[test]
fn of_a_split_group_the_smaller_part_goes_first() {
    let mut rig = Rig::lopsided();
    let small = rig.stand(0, 2, Some(5));
    rig.stand(1, 6, Some(5));
    let large = rig.stand(0, 3, Some(6));
    rig.stand(2, 1, Some(6));
    let moved = rig.seconds(6, Some(80_000));
    assert!(moved.len() >= 2 && moved[..2] == small[..], "{moved:?}");
    assert!(moved.iter().all(|connection| !large.contains(connection)), "{moved:?}");
}

/// Danger: what a move sent away must not be sent on.
#[test]
fn a_client_that_came_back_is_not_moved_again() {
    let mut rig = Rig::lopsided();
    let mut back = Vec::new();
    for _ in 0..8 {
        for connection in rig.seconds(1, Some(80_000)) {
            rig.back(connection, 30_000);
            back.push(ConnectionId(rig.next + 10_000));
        }
    }
    let metrics = rig.core.metrics();
    assert!(metrics.moved > 0 && metrics.returned == metrics.moved, "{metrics:?}");
    // Now the last server is the one that is full.
    rig.servers[3].held = 60.0;
    for _ in 0..40 {
        rig.now = rig.now.plus(SECOND / 2);
        rig.word(RebalanceEvent::Delay { server: ServerId(3), took: 90_000 });
        let decision = rig.core.evaluate(rig.now, rig.world, &rig.servers);
        assert!(decision.moves.iter().all(|(connection, _)| !back.contains(connection)));
    }
}

/// The session store five times slower: from the start, beginning midway, and over again.
#[test]
fn slow_set_ups_stop_it_and_usual_ones_start_it_again() {
    let mut rig = Rig::lopsided();
    let set_ups = |rig: &mut Rig, took: u64, server: u32| {
        for _ in 0..20 {
            let connection = rig.one(server, None);
            let at = Connection { server: ServerId(server), class: 0, group: None, load: None, key: None };
            rig.word(RebalanceEvent::Stood { connection, at, setup: Some(took) });
            rig.word(RebalanceEvent::Ended { connection, natural: true });
            rig.servers[server as usize].held -= 1.0;
        }
    };
    set_ups(&mut rig, 40_000, 1);
    assert!(!rig.seconds(8, Some(80_000)).is_empty());
    set_ups(&mut rig, 200_000, 1);
    assert!(rig.seconds(1, Some(80_000)).is_empty());
    assert_eq!(rig.held(), Some(Held::SlowSetUps));
    assert_eq!(rig.core.metrics().rate, 0.0);
    set_ups(&mut rig, 40_000, 1);
    rig.seconds(8, Some(80_000));
    assert_eq!(rig.held(), None);
    // From the start there is no usual; the objective tells.
    let mut rig = Rig::lopsided();
    set_ups(&mut rig, 200_000, 1);
    assert!(rig.seconds(1, Some(80_000)).is_empty());
    assert_eq!(rig.held(), Some(Held::SlowSetUps));
}

/// Danger: at a server that is slow a set-up is slow, too; the store has no part in that.
#[test]
fn slow_set_ups_at_a_slow_host_say_nothing_of_the_store() {
    let mut rig = Rig::lopsided();
    rig.seconds(4, Some(80_000));
    for _ in 0..20 {
        let connection = rig.one(0, None);
        let at = Connection { server: ServerId(0), class: 0, group: None, load: None, key: None };
        rig.word(RebalanceEvent::Stood { connection, at, setup: Some(400_000) });
    }
    rig.seconds(1, Some(80_000));
    assert_eq!(rig.held(), None);
}

#[test]
fn clients_that_do_not_come_back_stop_it() {
    let mut rig = Rig::lopsided();
    rig.stand(0, 100, None);
    let mut held = false;
    for _ in 0..40 {
        rig.seconds(1, Some(80_000));
        rig.servers[3].started = Some(rig.now);
        held |= rig.held() == Some(Held::NotBack);
    }
    assert!(held, "{:?}", rig.core.metrics());
    let moved = rig.core.metrics().moved;
    assert!(moved <= 16, "{moved} moved, though none came back");
}

/// Of three balancers' clients two thirds come back to another one: that is no reason to stop.
#[test]
fn clients_that_come_back_to_another_balancer_do_not_stop_it() {
    let mut rig = Rig::lopsided();
    rig.core.configure(rig.now, setup(), RebalanceContext { balancers: 3, ..terms() });
    let mut count = 0;
    for _ in 0..40 {
        for connection in rig.seconds(1, Some(80_000)) {
            count += 1;
            if count % 3 == 0 {
                rig.back(connection, 30_000);
            }
            // As many of the others' clients come here.
            if count % 3 == 1 {
                rig.word(RebalanceEvent::Arrived {
                    connection: ConnectionId(50_000 + connection.0),
                    key: Some(90_000 + connection.0),
                    again: true,
                });
            }
        }
        assert_ne!(rig.held(), Some(Held::NotBack));
    }
    assert!(count > 3);
}

#[test]
fn a_moved_client_that_is_refused_stops_it_for_a_while_and_longer_each_time() {
    let mut rig = Rig::lopsided();
    let mut waits = Vec::new();
    for _ in 0..3 {
        let mut moved = Vec::new();
        while moved.is_empty() {
            moved = rig.seconds(1, Some(80_000));
            assert!(rig.now < Time(2_000 * SECOND), "nobody moved");
        }
        rig.servers[3].started = Some(rig.now);
        for (n, connection) in moved.into_iter().enumerate() {
            if n > 0 {
                rig.back(connection, 30_000);
                continue;
            }
            let again = ConnectionId(70_000 + connection.0);
            rig.word(RebalanceEvent::Arrived { connection: again, key: Some(connection.0), again: true });
            rig.word(RebalanceEvent::Declined { connection: again });
            rig.word(RebalanceEvent::Ended { connection: again, natural: false });
        }
        let since = rig.now;
        rig.half(Some(80_000));
        assert_eq!(rig.held(), Some(Held::Refused));
        while rig.held() == Some(Held::Refused) {
            rig.half(Some(80_000));
        }
        waits.push(rig.now.since(since));
    }
    assert_eq!(rig.core.metrics().refused, 3);
    assert!(waits[0] >= 2 * SECOND && waits[1] > waits[0] && waits[2] > waits[1], "{waits:?}");
}

#[test]
fn moves_that_do_not_help_stop_it() {
    let mut rig = Rig::lopsided();
    rig.stand(0, 100, None);
    let mut held = false;
    for _ in 0..60 {
        rig.servers[3].started = Some(rig.now);
        for connection in rig.seconds(1, Some(80_000)) {
            rig.back(connection, 30_000);
            // As many come to the pressed server as leave it, and none to the empty one.
            rig.servers[3].held -= 1.0;
            rig.one(0, None);
        }
        held |= rig.held() == Some(Held::NoUse);
    }
    assert!(held, "{:?}", rig.core.metrics());
}

#[test]
fn each_precedence_holds_everything() {
    let held = |spoil: &dyn Fn(&mut Rig)| {
        let mut rig = Rig::lopsided();
        rig.seconds(3, Some(80_000));
        spoil(&mut rig);
        let moved: usize = (0..2).map(|_| rig.half(Some(80_000)).moves.len()).sum();
        assert_eq!(moved, 0);
        rig.held()
    };
    let world = |world: SystemConditions| held(&move |rig: &mut Rig| rig.world = world);
    assert_eq!(world(SystemConditions { leaving: true, ..SystemConditions::default() }), Some(Held::Leaving));
    assert_eq!(
        world(SystemConditions { handover: true, ..SystemConditions::default() }),
        Some(Held::HandOver)
    );
    assert_eq!(world(SystemConditions { draining: 1, ..SystemConditions::default() }), Some(Held::Draining));
    assert_eq!(held(&|rig| rig.word(RebalanceEvent::Reloaded)), Some(Held::Reload));
    assert_eq!(held(&|rig| rig.word(RebalanceEvent::ListLost)), Some(Held::ListLost));
    assert_eq!(held(&|rig| rig.word(RebalanceEvent::EndpointEntry { ready: 2 })), Some(Held::ListShrank));
    assert_eq!(held(&|rig| rig.word(RebalanceEvent::EndpointEntry { ready: 0 })), Some(Held::ListShrank));
    let storm = |rig: &mut Rig| {
        for n in 0..60 {
            rig.word(RebalanceEvent::Arrived {
                connection: ConnectionId(80_000 + n),
                key: None,
                again: false,
            });
        }
    };
    assert_eq!(held(&storm), Some(Held::Storm));
    let one = |rig: &mut Rig| rig.servers.iter_mut().skip(1).for_each(|server| server.ready = false);
    assert_eq!(held(&one), Some(Held::FewServers));
}

/// What takes precedence ends, but a server that drains for hours must not hold the rest up for ever.
#[test]
fn holds_end_by_themselves() {
    let mut rig = Rig::lopsided();
    rig.word(RebalanceEvent::Reloaded);
    rig.word(RebalanceEvent::ListLost);
    rig.world.draining = 3;
    rig.word(RebalanceEvent::ListTold);
    rig.seconds(29, None);
    assert_eq!(rig.held(), Some(Held::Draining));
    rig.seconds(3, None);
    assert_eq!(rig.held(), None);
}

/// A reload may bring another objective, by which words of slow messages are then judged.
#[test]
fn another_message_aim_holds_from_the_reload_on() {
    let mut rig = Rig::new(setup(), RebalanceContext { message_objective: 1_000_000, ..terms() }, 4);
    (0..3).for_each(|server| drop(rig.stand(server, if server == 0 { 40 } else { 20 }, None)));
    rig.servers[3].started = Some(rig.now);
    assert!(rig.seconds(10, Some(80_000)).is_empty(), "80 ms are fast where 1 s is wanted");
    rig.core.configure(rig.now, setup(), terms());
    assert!(!rig.seconds(10, Some(80_000)).is_empty(), "and slow where 100 ms are");
}

#[test]
fn a_cold_host_is_offered_no_more_than_fills_it_over_its_warm_up() {
    let mut rig = Rig::lopsided();
    rig.servers[3].warmth = 0.34;
    let moved = rig.seconds(4, Some(80_000)).len();
    // 20 slots over 8.8 s: at most four and a half in two seconds, and half of that at a time.
    assert!(moved <= 4, "{moved}");
}

/// A server that comes back and dies again while it is being filled has room no more.
#[test]
fn a_host_that_is_gone_again_is_no_room() {
    let mut rig = Rig::lopsided();
    assert!(!rig.seconds(8, Some(80_000)).is_empty());
    rig.servers[3].ready = false;
    assert!(rig.seconds(20, Some(80_000)).is_empty());
}

proptest! {
    // The same steps each run.
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        ..ProptestConfig::default()
    })]

    /// Whatever comes in whatever order: bounded, at most so many moves as tokens allow, each of a connection that
    /// stands at a server in use, none twice; the same words give the same moves.
    #[test]
    fn any_words_keep_the_promises(steps in prop::collection::vec((0u8..14, 0u64..40, 0u32..5), 1..400)) {
        let play = || {
            let mut rig = Rig::new(setup(), terms(), 5);
            let mut moves = Vec::new();
            for &(what, n, server) in &steps {
                rig.now = rig.now.plus(n * 10_000);
                let connection = ConnectionId(n);
                let at = Connection {
                    server: ServerId(server),
                    class: (n % 3) as u16,
                    group: (n % 4 == 0).then_some(n % 3),
                    load: (n % 2 == 0).then_some(n as f64 * 10_000.0),
                    key: (n % 5 > 0).then_some(n),
                };
                match what {
                    0..=3 => {
                        rig.word(RebalanceEvent::Stood { connection, at, setup: Some(n * 5_000) });
                        rig.servers[server as usize].held += 1.0;
                    }
                    4 => rig.word(RebalanceEvent::Ended { connection, natural: server > 2 }),
                    5 => rig.word(RebalanceEvent::Arrived { connection, key: Some(n), again: server > 2 }),
                    6 => rig.word(RebalanceEvent::Declined { connection }),
                    7 => rig.word(RebalanceEvent::Load { connection, load: n as f64 * 5_000.0 }),
                    8 => rig.word(RebalanceEvent::EndpointEntry { ready: server as usize }),
                    9 => rig.word(if server > 2 { RebalanceEvent::ListLost } else { RebalanceEvent::ListTold }),
                    10 => rig.servers[server as usize].ready ^= true,
                    11 => rig.servers[server as usize].started = Some(rig.now),
                    _ => {
                        for _ in 0..3 {
                            rig.now = rig.now.plus(SECOND);
                            rig.word(RebalanceEvent::Delay { server: ServerId(server), took: n * 10_000 });
                        }
                        let known: Vec<_> = (0..40).filter_map(|n| rig.core.connection(ConnectionId(n))).collect();
                        let decision = rig.core.evaluate(rig.now, rig.world, &rig.servers);
                        let mut seen = std::collections::BTreeSet::new();
                        for &(connection, server) in &decision.moves {
                            prop_assert!(seen.insert(connection), "{connection:?} twice");
                            prop_assert!(rig.servers[server.0 as usize].ready);
                            let stood = rig.core.connection(connection).map(|(at, _, _)| at.server);
                            prop_assert_eq!(stood, Some(server));
                            rig.word(RebalanceEvent::Ended { connection, natural: false });
                        }
                        prop_assert!(decision.moves.len() <= known.len());
                        prop_assert!(decision.ceilings.iter().all(|(_, to)| to.is_finite() && *to > 0.0));
                        moves.push(decision);
                    }
                }
                let metrics = rig.core.metrics();
                prop_assert!(metrics.rate.is_finite() && (0.0..=20.0).contains(&metrics.rate));
                prop_assert!(metrics.returned <= metrics.moved && metrics.refused <= metrics.returned);
            }
            Ok(moves)
        };
        prop_assert_eq!(play()?, play()?);
    }
}

// ---- In the reducer ----

fn balancing() -> PoolConfig {
    PoolConfig {
        rebalance: RebalanceConfig { on: true, max_moves_per_s: 20.0, ..RebalanceConfig::default() },
        ..reducer_harness::pool_config()
    }
}

/// A reducer that rebalances, with servers 0 and 1 and so many connections at the first.
fn crowded() -> (ReducerHarness, Vec<ConnectionId>) {
    let mut harness = ReducerHarness::new();
    let setups = vec![balancing()];
    harness.feed(Input::ConfigurationChanged {
        pools: setups,
        peers: Vec::new(),
        budget: reducer_harness::BUDGET,
    });
    let mut connections = Vec::new();
    for n in 0..40 {
        let connection = harness.connect_client();
        let at = SERVERS[if n < 25 { 0 } else { 1 + n % 3 }].to_owned();
        let ask =
            ConnectionRequest { established_at: Some(at), key: Some(connection.0), ..connection_request() };
        harness.feed(Input::ConnectionRequested { connection, request: ask });
        harness.feed(Input::RequestForwarded { connection, attempt: 0 });
        harness.feed(Input::AttemptAccepted { connection, attempt: 0 });
        harness.feed(Input::LoadReported { connection, load: 60_000.0 });
        connections.push(connection);
    }
    // The last server is back: the list says that it started just now.
    harness.restart_server(4);
    (harness, connections)
}

fn moved(harness: &mut ReducerHarness, connections: &[ConnectionId], seconds: u32) -> Vec<ConnectionId> {
    let mut moved = Vec::new();
    for _ in 0..seconds {
        for tenth in 0..10 {
            harness.advance(100_000);
            let mut effects = harness.feed(Input::TimerFired);
            if let (0, Some(&connection)) =
                (tenth, connections.iter().find(|connection| !moved.contains(*connection)))
            {
                // A third of the objective: no cause for the module to move anybody by itself.
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
fn the_reducer_moves_clients_of_a_pressed_host_and_tells_how_many() {
    let (mut harness, connections) = crowded();
    let gone = moved(&mut harness, &connections, 15);
    assert!(!gone.is_empty(), "nobody moved");
    assert!(gone.iter().all(|connection| connections[..25].contains(connection)));
    let reply =
        harness.feed(Input::AdminRequest { admin_client: AdminClientId(1), call: AdminCall::Telemetry });
    let Some(Effect::AdminReply { reply: AdminResponse::Metrics(metrics), .. }) = reply.last() else {
        panic!("{reply:?}")
    };
    assert_eq!(metrics.rebalance["platform"].moved as usize, gone.len());
    // One comes back and is known by its key.
    let connection = harness.connect_client();
    harness.feed(Input::ConnectionRequested {
        connection,
        request: ConnectionRequest {
            key: gone.last().map(|connection| connection.0),
            again: true,
            ..connection_request()
        },
    });
    assert_eq!(harness.state.rebalancing(0).map(|metrics| metrics.returned), Some(1));
}

#[test]
fn the_reducer_moves_nobody_for_balance_while_it_leaves_or_hands_over() {
    let (mut harness, connections) = crowded();
    harness.feed(Input::SuccessorStarted);
    assert!(moved(&mut harness, &connections, 15).is_empty());
    let (mut harness, connections) = crowded();
    harness.feed(Input::ShutdownRequested);
    moved(&mut harness, &connections, 3);
    assert_eq!(harness.state.rebalancing(0).map(|metrics| metrics.moved), Some(0));
}

#[test]
fn a_drain_comes_first() {
    let (mut harness, connections) = crowded();
    harness.drain_server(1);
    assert!(moved(&mut harness, &connections, 15).is_empty());
}

#[test]
fn a_reload_that_turns_it_off_ends_it() {
    let (mut harness, connections) = crowded();
    harness.feed(Input::ConfigurationChanged {
        pools: vec![reducer_harness::pool_config()],
        peers: Vec::new(),
        budget: reducer_harness::BUDGET,
    });
    assert!(moved(&mut harness, &connections, 15).is_empty());
    assert_eq!(harness.state.rebalancing(0), None);
}

// ---- Settings ----

#[test]
fn its_file_is_checked_by_key() {
    let sound = config::parse_rebalance(include_bytes!("../deploy/rebalance.json")).expect("sound");
    assert!(sound["irc"].on);
    let fault = |text: &str| config::parse_rebalance(text.as_bytes()).expect_err("faulty").to_string();
    assert!(fault(r#"{"platform": {"margin": 0.5}}"#).starts_with("platform.margin: at least 1"));
    assert!(fault(r#"{"irc": {"most_per_s": 0}}"#).starts_with("irc.most_per_s: more than 0"));
    assert!(fault(r#"{"irc": {"assumed_use": 1}}"#).starts_with("irc.assumed_use: a share"));
    assert!(fault(r#"{"irc": {"speed": 1}}"#).starts_with("irc.speed: no such key"));
    assert!(fault(r#"{"smtp": {}}"#).starts_with("smtp: no such key"));
    assert!(fault("{").starts_with("document: not JSON"));
}
