//! The faults of a day.

use crate::deployment::{Deployment, VirtualTime};

/// Seconds into the day at which the first fault happens.
const FIRST_FAULT_SECOND: f64 = 20.0;
/// Seconds for which a process that restarts is down.
const DOWN_SECONDS: f64 = 4.0;
/// Seconds into the day at which a server that restarts twice dies again.
const SECOND_RESTART_SECOND: f64 = 29.0;
/// Seconds into the day at which a server that drains is gone.
const DRAINED_SECOND: f64 = 29.0;
/// Batches of a wave of restarts...
const WAVE_BATCHES: usize = 4;
/// ...and the seconds between two of them.
const WAVE_BATCH_SECONDS: f64 = 7.0;

/// The faults of a day. The command line accepts the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No fault.
    None,
    /// One server dies in the 20th second and starts again, in slow start, 4 s later.
    ServerRestart,
    /// The same, and it dies again 5 s after that for 4 s.
    ServerRestartsTwice,
    /// Two servers die together and are back together.
    TwoServers,
    /// All servers but one restart within 30 s, a quarter at a time.
    RestartWave,
    /// One balancer dies in the 20th second and is back 4 s later with nothing but its endpoint list.
    BalancerRestart,
    /// All balancers but one restart within 30 s, a quarter at a time.
    BalancerWave,
    /// One server has 0.7 of the others' speed, all day.
    SlowServer,
    /// One server is listed as draining in the 20th second, sends its clients away over 8 s and is gone.
    Drain,
    /// One server dies in the 20th second and stays in the endpoint list.
    GoneUnlisted,
}

/// Every scenario.
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

/// Something that happens to a server or a balancer, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// This server's process dies.
    ServerDies(usize),
    /// It starts again, in slow start.
    ServerStarts(usize),
    /// It drains.
    ServerDrains(usize),
    /// This balancer dies.
    BalancerDies(usize),
    /// It starts again.
    BalancerStarts(usize),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Microseconds from the start of the day.
    pub at: VirtualTime,
    /// What happens.
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
        ScheduledFault::at_second(at_second + DOWN_SECONDS, Fault::ServerStarts(server)),
    ]
}

fn balancer_restart(balancer: usize, at_second: f64) -> [ScheduledFault; 2] {
    [
        ScheduledFault::at_second(at_second, Fault::BalancerDies(balancer)),
        ScheduledFault::at_second(at_second + DOWN_SECONDS, Fault::BalancerStarts(balancer)),
    ]
}

/// Restarts all but one of `count` processes in batches.
fn restart_wave(count: usize, restart: impl Fn(usize, f64) -> [ScheduledFault; 2]) -> Vec<ScheduledFault> {
    let batch_size = count.div_ceil(WAVE_BATCHES);
    let second = |n: usize| FIRST_FAULT_SECOND + WAVE_BATCH_SECONDS * (n / batch_size) as f64;
    (0..count - 1).flat_map(|n| restart(n, second(n))).collect()
}

impl Scenario {
    /// The faults of a day of this scenario.
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
