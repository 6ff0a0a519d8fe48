//! Measures the restart of a server over real sockets, with rebalancing off and on at the same time: how soon
//! the restarted server is filled, and how many messages are within the objective.
//!
//! `cargo bench --bench restart` takes 45 s.

mod client;
mod daemon;
mod discovery;
mod fake_server;

use std::sync::Arc;
use std::time::{Duration, Instant};

use client::run_client;
use daemon::Daemon;
use discovery::{endpoint_list, start_discovery};
use fake_server::FakeServer;

const SERVERS: usize = 5;
/// Number of clients, 0.8 of the capacity of all servers.
const CLIENTS: usize = 120;
/// Duration over which the clients start.
const CLIENT_START_MILLIS: u64 = 3000;
/// Duration of the run.
const RUN_SECONDS: u64 = 45;
/// Second of the run in which the first server dies.
const SERVER_DOWN_SECOND: u64 = 12;
/// Second of the run in which the first server starts again.
const RESTART_SECOND: u64 = 14;
/// Objective for the message time.
const MESSAGE_OBJECTIVE_MILLIS: f64 = 100.0;
/// Connections of the restarted server, as a share of the mean, from which it counts as filled.
const FILLED_SHARE: f64 = 0.8;

/// One balancer with its servers, and the measurements of them.
struct Side {
    servers: Vec<Arc<FakeServer>>,
    daemon: Daemon,
    /// Seconds from the restart until the restarted server was filled; `None` before that.
    filled_after_seconds: Option<u64>,
    /// Connections times their share of messages within the objective, summed over the seconds since the
    /// restart.
    connections_in_time: f64,
    /// Number of clients, summed over the seconds since the restart.
    expected_connections: f64,
}

impl Side {
    fn start(rebalance: bool) -> Side {
        let servers: Vec<Arc<FakeServer>> = (0..SERVERS).map(|_| Arc::new(FakeServer::default())).collect();
        servers.iter().for_each(FakeServer::start);
        let discovery = start_discovery(servers.clone());
        let daemon = Daemon::start(rebalance, discovery, &endpoint_list(&servers, 1));
        Side {
            servers,
            daemon,
            filled_after_seconds: None,
            connections_in_time: 0.0,
            expected_connections: 0.0,
        }
    }

    fn start_clients(&self, run_ends_at: Instant) {
        for n in 0..CLIENTS {
            let front = self.daemon.front.clone();
            std::thread::spawn(move || {
                let delay_millis = n as u64 * CLIENT_START_MILLIS / CLIENTS as u64;
                std::thread::sleep(Duration::from_millis(delay_millis));
                run_client(&front, n, run_ends_at);
            });
        }
    }

    /// Applies the faults of this second, measures, and returns this side's cell of the printed table.
    fn run_second(&mut self, second: u64) -> String {
        if second == SERVER_DOWN_SECOND {
            self.servers[0].die();
        }
        if second == RESTART_SECOND {
            self.servers[0].record_start();
            self.servers[0].start();
        }
        self.servers.iter().for_each(|server| server.report_message_time());
        let connections: Vec<usize> = self.servers.iter().map(|server| server.connections()).collect();
        let mean = connections.iter().sum::<usize>() as f64 / SERVERS as f64;
        let in_time: f64 = self
            .servers
            .iter()
            .zip(&connections)
            .map(|(server, count)| share_in_time(server) * *count as f64)
            .sum();
        if second > RESTART_SECOND {
            if connections[0] as f64 >= FILLED_SHARE * mean && self.filled_after_seconds.is_none() {
                self.filled_after_seconds = Some(second - RESTART_SECOND);
            }
            self.connections_in_time += in_time;
            self.expected_connections += CLIENTS as f64;
        }
        format!(" | {connections:?} {:.3}", in_time / CLIENTS as f64)
    }

    fn print_summary(&self, name: &str) {
        let filled =
            self.filled_after_seconds.map_or("not at all".to_owned(), |seconds| format!("after {seconds} s"));
        println!(
            "rebalancing {name}: restarted server reached {FILLED_SHARE} of the mean {filled}; served in time {:.4}",
            self.connections_in_time / self.expected_connections
        );
    }
}

/// Returns the share of a server's messages within the objective.
fn share_in_time(server: &FakeServer) -> f64 {
    1.0 - (-MESSAGE_OBJECTIVE_MILLIS / server.message_millis()).exp()
}

fn main() {
    let mut sides = [Side::start(false), Side::start(true)];
    let run_starts_at = Instant::now();
    let run_ends_at = run_starts_at + Duration::from_secs(RUN_SECONDS);
    sides.iter().for_each(|side| side.start_clients(run_ends_at));
    println!("second | rebalancing off: connections per server, share in time | rebalancing on");
    for second in 1..RUN_SECONDS {
        let second_ends_at = run_starts_at + Duration::from_secs(second);
        std::thread::sleep(second_ends_at.saturating_duration_since(Instant::now()));
        let cells: String = sides.iter_mut().map(|side| side.run_second(second)).collect();
        println!("{second:6}{cells}");
    }
    for (side, name) in sides.iter().zip(["off", "on"]) {
        side.print_summary(name);
    }
    sides.iter_mut().for_each(|side| side.daemon.stop());
}
