//! Clients, drawn before the day: when they arrive, how long they want their connection, what load it has.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::deployment::{Deployment, GroupSize, VirtualTime, SECOND};
use crate::server::GROUP_OVERHEAD_LOADS;

/// Mean and standard deviation of the logarithm of a connection's load, over its class's mean.
const LOAD_LOG_MEAN: f64 = -0.08;
const LOAD_LOG_DEVIATION: f64 = 0.4;
/// The most load of a connection.
const MAX_LOAD: f64 = 6.0;
/// Time within which the members of a group arrive.
const GROUP_ARRIVAL_SECONDS: f64 = 3.0;
/// The shortest time for which a client wants its connection.
const MIN_LIFETIME_SECONDS: f64 = 0.5;
/// Mean number of servers at which a group has members.
const SERVERS_PER_GROUP: f64 = 1.5;

/// A class of connections.
#[derive(Clone, Copy, Debug)]
pub struct ClassProfile {
    /// Its name.
    pub name: &'static str,
    /// The value of one second of its service.
    pub priority_weight: f64,
    /// Objective for a message, in microseconds.
    pub message_objective_micros: f64,
    /// Objective for setting a connection up.
    pub setup_objective: VirtualTime,
    /// How long clients wait for a connection.
    pub max_wait: VirtualTime,
    /// Share of all arrivals.
    pub arrival_share: f64,
    /// Mean load of a connection.
    pub mean_load: f64,
}

/// The shop's two classes.
pub const CLASSES: [ClassProfile; 2] = [
    ClassProfile {
        name: "stock-feed",
        priority_weight: 3.0,
        message_objective_micros: 100_000.0,
        setup_objective: 800_000,
        max_wait: 3_200_000,
        arrival_share: 0.58,
        mean_load: 1.3,
    },
    ClassProfile {
        name: "wallet",
        priority_weight: 2.0,
        message_objective_micros: 250_000.0,
        setup_objective: 300_000,
        max_wait: 1_200_000,
        arrival_share: 0.42,
        mean_load: 0.45,
    },
];

/// One client, who wants one connection.
#[derive(Clone, Debug)]
pub struct Client {
    /// When it arrives; 0 for those that are connected at the start.
    pub from: VirtualTime,
    /// Until when it wants its connection.
    pub until: VirtualTime,
    /// Index of its class in [`CLASSES`].
    pub class: usize,
    /// Load, 1 being about the mean.
    pub load: f64,
    /// Group.
    pub group: Option<u64>,
    /// Whether it is connected at the start.
    pub connected_at_start: bool,
}

/// Draws clients group by group.
struct ClientGenerator {
    rng: Pcg64Mcg,
    lifetime: LogNormal<f64>,
    /// Mean lifetime of the connections that are open at a time, over the mean of all: length-biased sampling.
    length_bias: f64,
    load: LogNormal<f64>,
    group_size: GroupSize,
    groups: u64,
    clients: Vec<Client>,
}

impl ClientGenerator {
    fn new(deployment: &Deployment, seed: u64) -> ClientGenerator {
        let mean = deployment.lifetime.mean_seconds;
        let sigma = deployment.lifetime.log_deviation;
        let lifetime =
            LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).expect("a finite deviation of lifetimes");
        let load = LogNormal::new(LOAD_LOG_MEAN, LOAD_LOG_DEVIATION).expect("a finite deviation of loads");
        ClientGenerator {
            rng: Pcg64Mcg::seed_from_u64(seed),
            lifetime,
            length_bias: (1.0 + sigma * sigma).sqrt(),
            load,
            group_size: deployment.group_size,
            groups: 0,
            clients: Vec::new(),
        }
    }

    /// Draws the clients of a group, the first of which arrives at this second.
    fn draw_group(&mut self, at_seconds: f64, connected_at_start: bool) {
        let size = self.rng.random_range(self.group_size.min..=self.group_size.max);
        self.groups += 1;
        let group = (size > 1).then_some(self.groups);
        for member in 0..size {
            let client = self.draw_client(at_seconds, member, group, connected_at_start);
            self.clients.push(client);
        }
    }

    fn draw_client(
        &mut self,
        group_seconds: f64,
        member: usize,
        group: Option<u64>,
        connected_at_start: bool,
    ) -> Client {
        let class = usize::from(self.rng.random_bool(CLASSES[1].arrival_share));
        let delay = if member == 0 { 0.0 } else { self.rng.random_range(0.0..GROUP_ARRIVAL_SECONDS) };
        let from = group_seconds + delay;
        let lifetime = self.lifetime.sample(&mut self.rng);
        // A connection is open at the start with a probability in proportion to its lifetime, at a random point of it.
        let remaining = if connected_at_start {
            lifetime * self.length_bias * self.rng.random::<f64>()
        } else {
            lifetime
        };
        let load = (CLASSES[class].mean_load * self.load.sample(&mut self.rng)).min(MAX_LOAD);
        Client {
            from: (from * 1e6) as VirtualTime,
            until: ((from + remaining.max(MIN_LIFETIME_SECONDS)) * 1e6) as VirtualTime,
            class,
            load,
            group,
            connected_at_start,
        }
    }
}

/// All clients of a day, in the order in which they arrive.
///
/// # Panics
///
/// If the deployment's lifetimes, sizes or shares are not finite and positive.
pub fn draw(deployment: &Deployment, seed: u64) -> Vec<Client> {
    let connections = mean_connections(deployment);
    let connections_per_s = connections / deployment.lifetime.mean_seconds;
    let group_gap =
        Exp::new(connections_per_s / deployment.group_size.mean()).expect("a positive rate of groups");
    let mut generator = ClientGenerator::new(deployment, seed);
    while (generator.clients.len() as f64) < connections {
        generator.draw_group(0.0, true);
    }
    generator.clients.iter_mut().for_each(|client| client.from = 0);
    let end = deployment.seconds * SECOND;
    let mut at_seconds = 0.0;
    loop {
        at_seconds += group_gap.sample(&mut generator.rng);
        if at_seconds * 1e6 >= end as f64 {
            break;
        }
        generator.draw_group(at_seconds, false);
    }
    let mut clients = generator.clients;
    clients.sort_by_key(|client| client.from);
    clients
}

/// The mean number of connections that clients want at a time.
fn mean_connections(deployment: &Deployment) -> f64 {
    let mean_load: f64 = CLASSES.iter().map(|class| class.arrival_share * class.mean_load).sum();
    let group_load = if deployment.group_size.has_groups() {
        SERVERS_PER_GROUP * GROUP_OVERHEAD_LOADS / deployment.group_size.mean()
    } else {
        0.0
    };
    let total_capacity = deployment.servers as f64 * deployment.server_capacity;
    total_capacity * deployment.demand_share / (mean_load + group_load)
}

/// Clients that arrive in a second of this day, on average.
pub fn arrivals_per_s(clients: &[Client], deployment: &Deployment) -> f64 {
    let arrivals = clients.iter().filter(|client| !client.connected_at_start).count();
    arrivals as f64 / deployment.seconds as f64
}
