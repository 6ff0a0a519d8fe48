//! Scenarios: the faults of a day and their times.

use crate::deployment::{Deployment, VirtualTime};

/// Time of the first fault, in seconds from the start of the day.
const FIRST_FAULT_SECOND: f64 = 20.0;
/// Duration for which a restarting process is down, in seconds.
const DOWNTIME_SECONDS: f64 = 4.0;
/// Time at which a server that restarts twice dies again, in seconds from the start of the day.
const SECOND_RESTART_SECOND: f64 = 29.0;
/// Time at which the process of a draining server ends, in seconds from the start of the day.
const DRAINED_SECOND: f64 = 29.0;
/// Number of batches in which a wave of restarts takes place.
const WAVE_BATCHES: usize = 4;
/// Duration between the starts of two batches, in seconds.
const WAVE_BATCH_SECONDS: f64 = 7.0;

/// A named sequence of faults. The command line accepts the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No fault.
    None,
    /// One server dies in the 20th second and restarts 4 s later, in slow start.
    ServerRestart,
    /// Like [`Scenario::ServerRestart`], and 5 s after its restart the server dies again for 4 s.
    ServerRestartsTwice,
    /// Two servers die at the same time and restart at the same time.
    TwoServers,
    /// All servers except one restart within 30 s, a quarter at a time.
    RestartWave,
    /// One balancer dies in the 20th second and restarts 4 s later with the endpoint list as its only state.
    BalancerRestart,
    /// All balancers except one restart within 30 s, a quarter at a time.
    BalancerWave,
    /// One server has 0.7 of the other servers' capacity, all day.
    SlowServer,
    /// One server is listed as draining in the 20th second. It closes its connections one by one, for which
    /// it needs 8 s, and its process ends in the 29th second.
    Drain,
    /// One server dies in the 20th second and remains in the endpoint list.
    GoneUnlisted,
}

/// All scenarios.
pub const ALL_SCENARIOS: [Scenario; 10] = [
    Scenario::None,
    Scenario::ServerRestart,
    Scenario::ServerRestartsTwice,
    Scenario::TwoServers,
    Scenario::RestartWave,
    Scenario::BalancerRestart,
    Scenario::BalancerWave,
    Scenario::SlowServer,
    Scenario::Drain,
    Scenario::GoneUnlisted,
];

/// A fault of the server or balancer with this index, or the end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The server's process dies.
    ServerDies(usize),
    /// The server starts again, in slow start.
    ServerStarts(usize),
    /// The server begins to drain.
    ServerDrains(usize),
    /// The balancer's process dies.
    BalancerDies(usize),
    /// The balancer starts again.
    BalancerStarts(usize),
}

/// A fault and the time at which it occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time in microseconds from the start of the day.
    pub at: VirtualTime,
    /// Fault that occurs at that time.
    pub fault: Fault,
}

impl ScheduledFault {
    fn at_second(second: f64, fault: Fault) -> ScheduledFault {
        ScheduledFault { at: (second * 1e6) as VirtualTime, fault }
    }
}

fn server_restart(server: usize, at_second: f64) -> [ScheduledFault; 2] {
    [
        ScheduledFault::at_second(at_second, Fault::ServerDies(server)),
        ScheduledFault::at_second(at_second + DOWNTIME_SECONDS, Fault::ServerStarts(server)),
    ]
}

fn balancer_restart(balancer: usize, at_second: f64) -> [ScheduledFault; 2] {
    [
        ScheduledFault::at_second(at_second, Fault::BalancerDies(balancer)),
        ScheduledFault::at_second(at_second + DOWNTIME_SECONDS, Fault::BalancerStarts(balancer)),
    ]
}

/// Returns the restarts, in batches, of all `count` processes except the last.
fn restart_wave(count: usize, restart: impl Fn(usize, f64) -> [ScheduledFault; 2]) -> Vec<ScheduledFault> {
    let batch_size = count.div_ceil(WAVE_BATCHES);
    let second = |n: usize| FIRST_FAULT_SECOND + WAVE_BATCH_SECONDS * (n / batch_size) as f64;
    (0..count - 1).flat_map(|n| restart(n, second(n))).collect()
}

impl Scenario {
    /// Returns the faults of this scenario in a deployment.
    pub fn faults(self, deployment: &Deployment) -> Vec<ScheduledFault> {
        match self {
            Scenario::None | Scenario::SlowServer => Vec::new(),
            Scenario::ServerRestart => server_restart(0, FIRST_FAULT_SECOND).to_vec(),
            Scenario::ServerRestartsTwice => {
                [server_restart(0, FIRST_FAULT_SECOND), server_restart(0, SECOND_RESTART_SECOND)].concat()
            }
            Scenario::TwoServers => {
                [server_restart(0, FIRST_FAULT_SECOND), server_restart(1, FIRST_FAULT_SECOND)].concat()
            }
            Scenario::RestartWave => restart_wave(deployment.servers, server_restart),
            Scenario::BalancerRestart => balancer_restart(0, FIRST_FAULT_SECOND).to_vec(),
            Scenario::BalancerWave => restart_wave(deployment.balancers, balancer_restart),
            Scenario::Drain => vec![
                ScheduledFault::at_second(FIRST_FAULT_SECOND, Fault::ServerDrains(0)),
                ScheduledFault::at_second(DRAINED_SECOND, Fault::ServerDies(0)),
            ],
            Scenario::GoneUnlisted => {
                vec![ScheduledFault::at_second(FIRST_FAULT_SECOND, Fault::ServerDies(0))]
            }
        }
    }
}
