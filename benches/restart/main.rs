//! A restart over real sockets, with rebalancing off and on side by side in one run: how a server that restarted is
//! filled, and how long messages take meanwhile. `cargo bench --bench restart`, 45 s.

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
/// Clients in all: 0.8 of what the servers can hold.
const CLIENTS: usize = 120;
/// The clients start over this time.
const CLIENT_START_MILLIS: u64 = 3000;
/// Length of the run.
const RUN_SECONDS: u64 = 45;
/// The first server dies in this second...
const DEATH_SECOND: u64 = 12;
/// ...and starts again in this one.
const RESTART_SECOND: u64 = 14;
/// Messages are in time within this.
const MESSAGE_OBJECTIVE_MILLIS: f64 = 100.0;
/// The restarted server counts as filled from this share of the mean on.
const FILLED_SHARE: f64 = 0.8;

/// One balancer with its servers, and what was measured of them.
struct Side {
    servers: Vec<Arc<FakeServer>>,
    daemon: Daemon,
    /// Seconds from the restart until the restarted server was filled.
    filled_after_seconds: Option<u64>,
    /// Since the restart: connections with messages in time, and clients, summed over seconds.
    in_time: f64,
    expected: f64,
}

impl Side {
    fn start(rebalance: bool) -> Side {
        let servers: Vec<Arc<FakeServer>> = (0..SERVERS).map(|_| Arc::new(FakeServer::default())).collect();
        servers.iter().for_each(FakeServer::start);
        let discovery = start_discovery(servers.clone());
        let daemon = Daemon::start(rebalance, discovery, &endpoint_list(&servers, 1));
        Side { servers, daemon, filled_after_seconds: None, in_time: 0.0, expected: 0.0 }
    }

    fn start_clients(&self, end: Instant) {
        for n in 0..CLIENTS {
            let front = self.daemon.front.clone();
            std::thread::spawn(move || {
                let delay_millis = n as u64 * CLIENT_START_MILLIS / CLIENTS as u64;
                std::thread::sleep(Duration::from_millis(delay_millis));
                run_client(&front, n, end);
            });
        }
    }

    /// Applies the faults of this second, measures, and returns the side's cell of the table.
    fn run_second(&mut self, second: u64) -> String {
        if second == DEATH_SECOND {
            self.servers[0].die();
        }
        if second == RESTART_SECOND {
            self.servers[0].record_start();
            self.servers[0].start();
        }
        self.servers.iter().for_each(|server| server.report_message_time());
        let held: Vec<usize> = self.servers.iter().map(|server| server.connections()).collect();
        let mean = held.iter().sum::<usize>() as f64 / SERVERS as f64;
        let in_time: f64 =
            self.servers.iter().zip(&held).map(|(server, held)| share_in_time(server) * *held as f64).sum();
        if second > RESTART_SECOND {
            if held[0] as f64 >= FILLED_SHARE * mean && self.filled_after_seconds.is_none() {
                self.filled_after_seconds = Some(second - RESTART_SECOND);
            }
            self.in_time += in_time;
            self.expected += CLIENTS as f64;
        }
        format!(" | {held:?} {:.3}", in_time / CLIENTS as f64)
    }

    fn print_summary(&self, name: &str) {
        let filled =
            self.filled_after_seconds.map_or("not at all".to_owned(), |seconds| format!("after {seconds} s"));
        println!(
            "{name}: the restarted server held {FILLED_SHARE} of the mean {filled}; served {:.4}",
            self.in_time / self.expected
        );
    }
}

/// Share of a server's messages within the objective.
fn share_in_time(server: &FakeServer) -> f64 {
    1.0 - (-MESSAGE_OBJECTIVE_MILLIS / server.message_millis()).exp()
}

fn main() {
    let mut sides = [Side::start(false), Side::start(true)];
    let begin = Instant::now();
    let end = begin + Duration::from_secs(RUN_SECONDS);
    sides.iter().for_each(|side| side.start_clients(end));
    println!("second | off: held by each, share in time | on");
    for second in 1..RUN_SECONDS {
        let at = begin + Duration::from_secs(second);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        let cells: String = sides.iter_mut().map(|side| side.run_second(second)).collect();
        println!("{second:6}{cells}");
    }
    for (side, name) in sides.iter().zip(["off", "on"]) {
        side.print_summary(name);
    }
    sides.iter_mut().for_each(|side| side.daemon.stop());
}
