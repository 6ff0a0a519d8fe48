//! Clients, drawn before the day: when they come, how long they want their connection, what it asks of a server.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::world::{World, SECOND};

/// Worth a second, message objective, wait, share of arrivals and mean load of each class; the shop's two.
pub const CLASSES: [(f64, f64, u64, f64, f64); 2] =
    [(3.0, 100_000.0, 3_200_000, 0.58, 1.3), (2.0, 250_000.0, 1_200_000, 0.42, 0.45)];
/// Aims for setting a connection up, in microseconds.
pub const SETUP_AIMS: [u64; 2] = [800_000, 300_000];

/// One client, who wants one connection.
#[derive(Clone, Debug)]
pub struct Client {
    /// When it comes; 0 for those who stand at the start.
    pub from: u64,
    /// Until when it wants its connection.
    pub until: u64,
    /// Class.
    pub class: usize,
    /// Load, 1 being about the mean.
    pub load: f64,
    /// Group.
    pub group: Option<u64>,
    /// Stood at the start.
    pub stood: bool,
}

/// All clients of a day, in the order in which they come.
pub fn draw(world: &World, seed: u64) -> Vec<Client> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mean, sigma) = world.life;
    let life = LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).expect("a finite deviation");
    let load = LogNormal::new(-0.08, 0.4).expect("a finite deviation");
    let mean_load: f64 = CLASSES.iter().map(|(_, _, _, share, load)| share * load).sum();
    // Groups add to the load of servers: about two mean connections and a half for each group there is, since they
    // mostly stand together, and split over some servers.
    let size = (world.groups.0 + world.groups.1) as f64 / 2.0;
    let per_connection =
        mean_load + if world.groups.1 > 1 { 1.5 * crate::server::GROUP_LOADS / size } else { 0.0 };
    let standing = world.servers as f64 * world.capacity * world.used / per_connection;
    let rate = standing / mean;
    let gap = Exp::new(rate / size).expect("a positive rate");
    let end = world.seconds * SECOND;
    let mut clients = Vec::new();
    let mut group = 0;
    let mut batch = |clients: &mut Vec<Client>, at: f64, old: bool, rng: &mut Pcg64Mcg| {
        let count = rng.random_range(world.groups.0..=world.groups.1);
        group += 1;
        for n in 0..count {
            let class = usize::from(rng.random_bool(CLASSES[1].3));
            // A group comes within a few seconds.
            let from = at + if n == 0 { 0.0 } else { rng.random_range(0.0..3.0) };
            let lives = life.sample(rng);
            // What stands is met with a length in proportion to its life, at a random point of it.
            let left = if old { lives * (1.0 + sigma * sigma).sqrt() * rng.random::<f64>() } else { lives };
            clients.push(Client {
                from: (from * 1e6) as u64,
                until: ((from + left.max(0.5)) * 1e6) as u64,
                class,
                load: (CLASSES[class].4 * load.sample(rng)).min(6.0),
                group: (count > 1).then_some(group),
                stood: old,
            });
        }
    };
    while (clients.len() as f64) < standing {
        batch(&mut clients, 0.0, true, &mut rng);
    }
    clients.iter_mut().for_each(|client| client.from = 0);
    let mut at = 0.0;
    loop {
        at += gap.sample(&mut rng);
        if at * 1e6 >= end as f64 {
            break;
        }
        batch(&mut clients, at, false, &mut rng);
    }
    clients.sort_by_key(|client| client.from);
    clients
}

/// Clients a second that come to this world, on the mean.
pub fn rate(clients: &[Client], world: &World) -> f64 {
    clients.iter().filter(|client| !client.stood).count() as f64 / world.seconds as f64
}
