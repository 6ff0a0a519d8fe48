//! A client that requests a new connection whenever its previous connection ends.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Mean lifetime of a connection, before the limits below are applied.
const MEAN_LIFETIME_SECONDS: f64 = 15.0;
const MIN_LIFETIME_SECONDS: f64 = 0.5;
const MAX_LIFETIME_SECONDS: f64 = 60.0;
/// Delay until a client reconnects after a migration or a broken connection.
const RECONNECT_DELAY_MILLIS: std::ops::Range<u64> = 100..1300;

/// Holds one connection after another until `run_ends_at`, each for its lifetime. A connection that was
/// migrated or broke is followed by a reconnect for the rest of its lifetime. `n` is the client's number and
/// its seed.
pub(crate) fn run_client(front: &str, n: usize, run_ends_at: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(n as u64);
    let mut lifetime_ends_at = Instant::now();
    let mut reconnecting = false;
    let mut requests = 0;
    while Instant::now() < run_ends_at {
        if !reconnecting {
            lifetime_ends_at = Instant::now() + draw_lifetime(&mut rng);
        }
        requests += 1;
        let reconnect_delay = Duration::from_millis(rng.random_range(RECONNECT_DELAY_MILLIS));
        let Ok(mut stream) = TcpStream::connect(front) else { return };
        let reconnect_field = if reconnecting { ",again=1" } else { "" };
        let request = format!("OPEN c{n}x{requests} k{n} c=chat,d=3000{reconnect_field}\r\n");
        let _ = stream.write_all(request.as_bytes());
        reconnecting = ends_early(&stream, lifetime_ends_at, run_ends_at);
        if reconnecting {
            std::thread::sleep(reconnect_delay);
        }
    }
}

/// Draws an exponentially distributed lifetime, clamped to the limits.
fn draw_lifetime(rng: &mut Pcg64Mcg) -> Duration {
    let seconds = -MEAN_LIFETIME_SECONDS * (1.0 - rng.random::<f64>()).ln();
    Duration::from_secs_f64(seconds.clamp(MIN_LIFETIME_SECONDS, MAX_LIFETIME_SECONDS))
}

/// Reads until the connection, its lifetime or the run ends. Returns whether the connection ended first.
fn ends_early(stream: &TcpStream, lifetime_ends_at: Instant, run_ends_at: Instant) -> bool {
    let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
    let mut line = String::new();
    loop {
        let remaining = lifetime_ends_at.min(run_ends_at).saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return false;
        }
        let _ = stream.set_read_timeout(Some(remaining));
        line.clear();
        match reader.read_line(&mut line) {
            Ok(1..) if line.starts_with("UP") || line.starts_with("LOAD") => {}
            Err(_) if Instant::now() >= lifetime_ends_at => {}
            Ok(_) | Err(_) => return true,
        }
    }
}
