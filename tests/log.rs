//! Parsing of log levels, and the rate limit of the log.

use std::time::{Duration, Instant};

use connection_balancer::program::log::{LineLimiter, LogConfig};

#[test]
fn accepts_levels_for_all_or_for_modules_of_this_program_only() {
    for valid in
        ["info", "off", "warn,connection_balancer::transport=debug", "warn,sagemount::transport=debug"]
    {
        assert!(LogConfig::parse_levels(valid).is_some(), "{valid}");
    }
    for invalid in [
        "loud",
        "",
        "transport=debug",
        "connection_balancer::transport=loud",
        "sagemount::transport=loud",
        "info,",
    ] {
        assert!(LogConfig::parse_levels(invalid).is_none(), "{invalid}");
    }
}

#[test]
fn drops_and_counts_lines_beyond_a_burst() {
    let mut limiter = LineLimiter::FULL;
    let now = Instant::now();

    let admitted = (0..500).filter(|_| limiter.admit(now).is_some()).count();
    assert_eq!(admitted, 100);

    // A second later ten more lines are admitted. The first returns the number of dropped lines.
    let later = now + Duration::from_secs(1);
    assert_eq!(limiter.admit(later), Some(400));
    assert_eq!((0..500).filter(|_| limiter.admit(later).is_some()).count(), 9);
}
