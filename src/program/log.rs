//! The log: lines on standard error, written in one place and rate-limited.

use std::sync::Mutex;
use std::time::Instant;

/// Lines that may come at once, and each second after that.
const BURST: f64 = 100.0;
const EACH_SECOND: f64 = 10.0;

struct Bucket {
    left: f64,
    filled: Option<Instant>,
    dropped: u64,
}

static BUCKET: Mutex<Bucket> = Mutex::new(Bucket { left: BURST, filled: None, dropped: 0 });

/// Whether a line may be written now, and how many were not since the last that was.
pub fn admit() -> Option<u64> {
    let mut bucket = BUCKET.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let now = Instant::now();
    let past = bucket.filled.replace(now).map_or(0.0, |at| now.duration_since(at).as_secs_f64());
    bucket.left = (bucket.left + past * EACH_SECOND).min(BURST);
    if bucket.left < 1.0 {
        bucket.dropped += 1;
        return None;
    }
    bucket.left -= 1.0;
    Some(std::mem::take(&mut bucket.dropped))
}

/// Writes a log line: a level, then what [`format!`] takes. All of the daemon's log goes through here.
#[macro_export]
macro_rules! log {
    ($level:ident, $($text:tt)+) => {
        if let Some(dropped) = $crate::program::log::admit() {
            if dropped > 0 {
                eprintln!("sagemount: warn: {dropped} log lines dropped");
            }
            eprintln!("sagemount: {}: {}", stringify!($level), format_args!($($text)+));
        }
    };
}
