//! Load reports and message times, which arrive in the same form.

use connection_balancer::routing::*;
use connection_balancer::Micros;

use crate::harness::{count_migrations, reload};
use crate::reducer_harness::{pool_config, ReducerHarness};

/// Reports rising message times from 99 ms on, one per second for 20 seconds, and returns the number of
/// clients that are migrated meanwhile.
fn count_migrations_for_message_times(harness: &mut ReducerHarness, connection: ConnectionId) -> usize {
    let mut migrated = 0;
    for second in 0..20 {
        harness.advance(Micros::from_secs(1));
        let effects = harness.feed(Input::LoadReported { connection, value: 99.0 + f64::from(second) });
        migrated += count_migrations(&effects);
    }
    migrated
}

/// Servers report a message time in the same form as a load. If it were treated as a load, the slowest server
/// would look idle.
#[test]
fn treats_a_value_far_below_the_mean_load_as_a_message_time() {
    let mut harness = ReducerHarness::new();
    let connections: Vec<ConnectionId> = (0..12).map(|_| harness.establish_connection()).collect();
    for &connection in &connections {
        harness.feed(Input::LoadReported { connection, value: 60_000.0 });
    }
    // The objective is 100 ms. A message time of 99 ms is far too slow, so a connection has to migrate.
    let migrated = count_migrations_for_message_times(&mut harness, connections[0]);
    assert!(migrated > 0, "no connection was migrated from a slow server");
}

/// If servers do not report loads, a message time of 99 ms must not be treated as a load. Otherwise no client
/// would be migrated from a slow server.
#[test]
fn treats_every_value_as_a_message_time_where_servers_report_no_loads() {
    let migrated = |reports_load: bool| {
        let mut harness = ReducerHarness::new();
        reload(&mut harness, PoolConfig { reports_load, ..pool_config() });
        let connections: Vec<ConnectionId> = (0..12).map(|_| harness.establish_connection()).collect();
        count_migrations_for_message_times(&mut harness, connections[0])
    };
    assert!(migrated(false) > 0, "no connection was migrated from a slow server");
    assert_eq!(migrated(true), 0, "a load was treated as a message time");
}
