//! What a day is played on: sizes, speeds, troubles.

use connection_balancer::rebalance;

/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;

/// The deployment.
#[derive(Clone, Debug)]
pub struct World {
    /// Issuer servers.
    pub servers: usize,
    /// Mean connections that fill a server's cores, warm.
    pub capacity: f64,
    /// Share of all capacity that clients ask for, on the mean.
    pub used: f64,
    /// Balancers.
    pub balancers: usize,
    /// Mean life of a connection in seconds, and the deviation of its logarithm.
    pub life: (f64, f64),
    /// Least and most connections of a client's group; (1, 1) for none.
    pub groups: (usize, usize),
    /// The session store takes so many times the usual rate of new connections.
    pub session_rate: f64,
    /// How late the list tells, in microseconds.
    pub list_delay: u64,
    /// Clients come back after a move with this chance.
    pub come_back: f64,
    /// Servers tell how long messages take.
    pub tells_delay: bool,
    /// How standing connections are moved for balance.
    pub rebalance: rebalance::RebalanceConfig,
    /// Length of the day in seconds.
    pub seconds: u64,
}

impl Default for World {
    /// About the size of the shop: 10 servers, 3 balancers, 300 connections that live 40 s.
    fn default() -> World {
        World {
            servers: 10,
            capacity: 30.0,
            used: 0.72,
            balancers: 3,
            life: (40.0, 1.0),
            groups: (1, 1),
            session_rate: 6.0,
            list_delay: 1_500_000,
            come_back: 1.0,
            tells_delay: true,
            rebalance: rebalance::RebalanceConfig::default(),
            seconds: 80,
        }
    }
}

/// How the session store fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Session {
    /// As it should.
    Normal,
    /// Five times slower, from the start.
    Slow,
    /// Five times slower from the 26th second to the 41st.
    SlowMidway,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// One server dies in the 20th second and is back, cold, 4 s later.
    ServerRestart,
    /// The same, and it dies again 5 s after that for 4 s.
    ServerRestartsTwice,
    /// Two servers die together and are back together.
    TwoServers,
    /// All servers but one restart within 30 s, a quarter at a time.
    RestartWave,
    /// One balancer dies in the 20th second and is back 4 s later with nothing but its list.
    BalancerRestart,
    /// All balancers but one restart within 30 s, a quarter at a time.
    BalancerWave,
    /// One server has 0.7 of the others' speed, all day.
    SlowServer,
    /// One server is listed as draining in the 20th second, sends its clients away over 8 s and goes.
    Drain,
    /// One server dies in the 20th second and the list never says so.
    GoneUnlisted,
}

/// Every trouble.
pub const TROUBLES: [Trouble; 10] = [
    Trouble::None,
    Trouble::ServerRestart,
    Trouble::ServerRestartsTwice,
    Trouble::TwoServers,
    Trouble::RestartWave,
    Trouble::BalancerRestart,
    Trouble::BalancerWave,
    Trouble::SlowServer,
    Trouble::Drain,
    Trouble::GoneUnlisted,
];

/// What happens to servers and balancers, and when (microseconds from the start).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Blow {
    /// This server's process dies.
    ServerDies(usize),
    /// It starts again, cold.
    ServerStarts(usize),
    /// It drains.
    ServerDrains(usize),
    /// This balancer dies.
    BalancerDies(usize),
    /// It starts again.
    BalancerStarts(usize),
}

impl Trouble {
    /// The blows of a day of this trouble.
    pub fn blows(self, world: &World) -> Vec<(u64, Blow)> {
        let at = |second: f64| (second * 1e6) as u64;
        let down = |n, from: f64, to: f64| [(at(from), Blow::ServerDies(n)), (at(to), Blow::ServerStarts(n))];
        let off =
            |n, from: f64, to: f64| [(at(from), Blow::BalancerDies(n)), (at(to), Blow::BalancerStarts(n))];
        match self {
            Trouble::None | Trouble::SlowServer => Vec::new(),
            Trouble::ServerRestart => down(0, 20.0, 24.0).to_vec(),
            Trouble::ServerRestartsTwice => [down(0, 20.0, 24.0), down(0, 29.0, 33.0)].concat(),
            Trouble::TwoServers => [down(0, 20.0, 24.0), down(1, 20.0, 24.0)].concat(),
            Trouble::RestartWave => {
                let most = world.servers - 1;
                let batch = world.servers.div_ceil(4);
                let begin = |n: usize| 20.0 + 7.0 * (n / batch) as f64;
                (0..most).flat_map(|n| down(n, begin(n), begin(n) + 4.0)).collect()
            }
            Trouble::BalancerRestart => off(0, 20.0, 24.0).to_vec(),
            Trouble::BalancerWave => {
                let batch = world.balancers.div_ceil(4);
                let begin = |n: usize| 20.0 + 7.0 * (n / batch) as f64;
                (0..world.balancers - 1).flat_map(|n| off(n, begin(n), begin(n) + 4.0)).collect()
            }
            Trouble::Drain => vec![(at(20.0), Blow::ServerDrains(0)), (at(29.0), Blow::ServerDies(0))],
            Trouble::GoneUnlisted => vec![(at(20.0), Blow::ServerDies(0))],
        }
    }
}
