//! Clients of a day, drawn before it starts: arrival time, lifetime, class, load and group.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::deployment::{Deployment, GroupSize, VirtualDuration, VirtualTime, SECOND};
use crate::server::GROUP_OVERHEAD_LOADS;

/// Mean and standard deviation of the logarithm of a connection's load, relative to its class's mean.
const LOAD_LOG_MEAN: f64 = -0.08;
const LOAD_LOG_DEVIATION: f64 = 0.4;
/// Upper bound of a connection's load.
const MAX_LOAD: f64 = 6.0;
/// Duration within which the members of a group arrive after the first, in seconds.
const GROUP_ARRIVAL_SECONDS: f64 = 3.0;
/// Lower bound of the time from a client's arrival until it leaves, in seconds.
const MIN_LIFETIME_SECONDS: f64 = 0.5;
/// Assumed mean number of servers over which a group is spread.
const SERVERS_PER_GROUP: f64 = 1.5;

/// A class of connections.
#[derive(Clone, Copy, Debug)]
pub struct ClassProfile {
    /// Name in requests and settings.
    pub name: &'static str,
    /// Value of one second of service.
    pub priority_weight: f64,
    /// Objective for the message time, in microseconds.
    pub message_objective_micros: f64,
    /// Objective for the duration of a connection setup.
    pub setup_objective: VirtualDuration,
    /// Longest duration for which a client waits for a connection.
    pub max_wait_duration: VirtualDuration,
    /// Share of all arrivals.
    pub arrival_share: f64,
    /// Mean load of a connection, 1 being about the mean of all classes.
    pub mean_load: f64,
}

/// The shop's two classes.
pub const CLASSES: [ClassProfile; 2] = [
    ClassProfile {
        name: "stock-feed",
        priority_weight: 3.0,
        message_objective_micros: 100_000.0,
        setup_objective: 800_000,
        max_wait_duration: 3_200_000,
        arrival_share: 0.58,
        mean_load: 1.3,
    },
    ClassProfile {
        name: "wallet",
        priority_weight: 2.0,
        message_objective_micros: 250_000.0,
        setup_objective: 300_000,
        max_wait_duration: 1_200_000,
        arrival_share: 0.42,
        mean_load: 0.45,
    },
];

/// A client, which requests one connection.
#[derive(Clone, Debug)]
pub struct Client {
    /// Time of the first request; 0 for clients that are connected at the start.
    pub arrives_at: VirtualTime,
    /// Time at which the client leaves, with or without a connection.
    pub leaves_at: VirtualTime,
    /// Index of its class in [`CLASSES`].
    pub class: usize,
    /// Load of the connection, 1 being about the mean.
    pub load: f64,
    /// Group of connections that belong together; `None` for a single client.
    pub group: Option<u64>,
    /// Whether its connection is established at the start of the day.
    pub connected_at_start: bool,
}

/// Draws clients group by group.
struct ClientGenerator {
    rng: Pcg64Mcg,
    lifetime: LogNormal<f64>,
    /// Mean lifetime of the connections that are open at a time, relative to the mean of all connections
    /// (length-biased sampling).
    length_bias: f64,
    load: LogNormal<f64>,
    group_size: GroupSize,
    /// Number of the last group that was drawn.
    last_group: u64,
    clients: Vec<Client>,
}

impl ClientGenerator {
    fn new(deployment: &Deployment, seed: u64) -> ClientGenerator {
        let mean = deployment.lifetime.mean_seconds;
        let sigma = deployment.lifetime.log_deviation;
        let lifetime = LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma)
            .expect("the deviation of lifetimes is finite");
        let load =
            LogNormal::new(LOAD_LOG_MEAN, LOAD_LOG_DEVIATION).expect("the deviation of loads is finite");
        ClientGenerator {
            rng: Pcg64Mcg::seed_from_u64(seed),
            lifetime,
            length_bias: (1.0 + sigma * sigma).sqrt(),
            load,
            group_size: deployment.group_size,
            last_group: 0,
            clients: Vec::new(),
        }
    }

    /// Draws the clients of a group, whose first member arrives at `at_seconds`.
    fn draw_group(&mut self, at_seconds: f64, connected_at_start: bool) {
        let size = self.rng.random_range(self.group_size.min..=self.group_size.max);
        self.last_group += 1;
        let group = (size > 1).then_some(self.last_group);
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
        let delay_seconds = if member == 0 { 0.0 } else { self.rng.random_range(0.0..GROUP_ARRIVAL_SECONDS) };
        let arrival_seconds = group_seconds + delay_seconds;
        let lifetime_seconds = self.lifetime.sample(&mut self.rng);
        // The probability that a connection is open at the start is proportional to its lifetime, of which a
        // random part has then elapsed.
        let remaining_seconds = if connected_at_start {
            lifetime_seconds * self.length_bias * self.rng.random::<f64>()
        } else {
            lifetime_seconds
        };
        let load = (CLASSES[class].mean_load * self.load.sample(&mut self.rng)).min(MAX_LOAD);
        Client {
            arrives_at: (arrival_seconds * 1e6) as VirtualTime,
            leaves_at: ((arrival_seconds + remaining_seconds.max(MIN_LIFETIME_SECONDS)) * 1e6) as VirtualTime,
            class,
            load,
            group,
            connected_at_start,
        }
    }
}

/// Draws all clients of a day, in the order in which they arrive.
///
/// # Panics
///
/// Panics if the deployment's lifetimes, sizes or shares are not finite and positive.
pub fn draw(deployment: &Deployment, seed: u64) -> Vec<Client> {
    let connections = mean_connections(deployment);
    let connections_per_s = connections / deployment.lifetime.mean_seconds;
    let group_interval =
        Exp::new(connections_per_s / deployment.group_size.mean()).expect("the rate of groups is positive");
    let mut generator = ClientGenerator::new(deployment, seed);
    while (generator.clients.len() as f64) < connections {
        generator.draw_group(0.0, true);
    }
    generator.clients.iter_mut().for_each(|client| client.arrives_at = 0);
    let ends_at = deployment.seconds * SECOND;
    let mut at_seconds = 0.0;
    loop {
        at_seconds += group_interval.sample(&mut generator.rng);
        if at_seconds * 1e6 >= ends_at as f64 {
            break;
        }
        generator.draw_group(at_seconds, false);
    }
    let mut clients = generator.clients;
    clients.sort_by_key(|client| client.arrives_at);
    clients
}

/// Returns the mean number of connections that clients demand at a time.
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

/// Returns the mean number of clients per second that arrive during this day.
pub fn arrivals_per_s(clients: &[Client], deployment: &Deployment) -> f64 {
    let arrivals = clients.iter().filter(|client| !client.connected_at_start).count();
    arrivals as f64 / deployment.seconds as f64
}
