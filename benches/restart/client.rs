//! A client that always wants a connection.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Mean lifetime of a connection.
const MEAN_LIFETIME_SECONDS: f64 = 15.0;
const MIN_LIFETIME_SECONDS: f64 = 0.5;
const MAX_LIFETIME_SECONDS: f64 = 60.0;
/// Time until a client reconnects after a migration or a break.
const RECONNECT_DELAY_MILLIS: std::ops::Range<u64> = 100..1300;

/// Keeps a connection for its lifetime, then another; reconnects after a migration or a break.
pub(crate) fn run_client(front: &str, n: usize, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(n as u64);
    let mut lifetime_end = Instant::now();
    let mut reconnecting = false;
    let mut requests = 0;
    while Instant::now() < end {
        if !reconnecting {
            lifetime_end = Instant::now() + draw_lifetime(&mut rng);
        }
        requests += 1;
        let reconnect_delay = Duration::from_millis(rng.random_range(RECONNECT_DELAY_MILLIS));
        let Ok(mut stream) = TcpStream::connect(front) else { return };
        let flag = if reconnecting { ",again=1" } else { "" };
        let request = format!("OPEN c{n}x{requests} k{n} c=chat,d=3000{flag}\r\n");
        let _ = stream.write_all(request.as_bytes());
        reconnecting = is_cut_short(&stream, lifetime_end, end);
        if reconnecting {
            std::thread::sleep(reconnect_delay);
        }
    }
}

/// An exponential lifetime, within limits.
fn draw_lifetime(rng: &mut Pcg64Mcg) -> Duration {
    let seconds = -MEAN_LIFETIME_SECONDS * (1.0 - rng.random::<f64>()).ln();
    Duration::from_secs_f64(seconds.clamp(MIN_LIFETIME_SECONDS, MAX_LIFETIME_SECONDS))
}

/// Reads until the end of the connection; whether that is before the end of its lifetime and of the run.
fn is_cut_short(stream: &TcpStream, lifetime_end: Instant, end: Instant) -> bool {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle of the socket"));
    let mut line = String::new();
    loop {
        let remaining = lifetime_end.min(end).saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return false;
        }
        let _ = stream.set_read_timeout(Some(remaining));
        line.clear();
        match reader.read_line(&mut line) {
            Ok(1..) if line.starts_with("UP") || line.starts_with("LOAD") => {}
            Err(_) if Instant::now() >= lifetime_end => {}
            Ok(_) | Err(_) => return true,
        }
    }
}
