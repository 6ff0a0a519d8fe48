//! Load reports and message times, which come in the same form.

use connection_balancer::routing::*;
use connection_balancer::Micros;

use crate::harness::{count_migrations, reload};
use crate::reducer_harness::{pool_config, ReducerHarness};

/// The clients that are migrated while their server reports message times for 20 seconds.
fn migrations_for_message_times(harness: &mut ReducerHarness, connection: ConnectionId) -> usize {
    let mut migrated = 0;
    for second in 0..20 {
        harness.advance(Micros::from_secs(1));
        let effects = harness.feed(Input::LoadReported { connection, load: 99.0 + f64::from(second) });
        migrated += count_migrations(&effects);
    }
    migrated
}

/// Servers report a message time in the same form as a load. Taken for a load, it would make the slowest server look
/// idle.
#[test]
fn takes_a_value_far_below_the_mean_load_for_a_message_time() {
    let mut harness = ReducerHarness::new();
    let connections: Vec<ConnectionId> = (0..12).map(|_| harness.establish_connection()).collect();
    for &connection in &connections {
        harness.feed(Input::LoadReported { connection, load: 60_000.0 });
    }
    // The objective is 100 ms: messages of 99 ms are far too slow, and a connection has to migrate.
    let migrated = migrations_for_message_times(&mut harness, connections[0]);
    assert!(migrated > 0, "no connection left a server that is slow");
}

/// Where servers report no loads, a message time of 99 ms must not be taken for a load, or no client would migrate.
#[test]
fn takes_every_value_for_a_message_time_where_servers_report_no_loads() {
    let migrated = |reports_load: bool| {
        let mut harness = ReducerHarness::new();
        reload(&mut harness, PoolConfig { reports_load, ..pool_config() });
        let connections: Vec<ConnectionId> = (0..12).map(|_| harness.establish_connection()).collect();
        migrations_for_message_times(&mut harness, connections[0])
    };
    assert!(migrated(false) > 0, "no connection left a server that is slow");
    assert_eq!(migrated(true), 0, "a load is no message time");
}
