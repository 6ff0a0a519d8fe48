//! Parses and prints values of the simulator's protocol.

use std::fmt;
use std::str::FromStr;

use connection_balancer::{Micros, Outcome, Time};

const MICROS_PER_MILLI: u64 = 1000;
/// Upper limit, exclusive, of durations in milliseconds.
const DURATION_LIMIT_MILLIS: f64 = 1e15;

pub(crate) fn parse_number<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// Parses a finite number.
pub(crate) fn parse_decimal(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value: &f64| value.is_finite())
}

/// Parses a duration in milliseconds with a fraction, and rounds it to microseconds.
pub(crate) fn parse_duration(text: &str) -> Option<Micros> {
    let millis = parse_decimal(text).filter(|millis| (0.0..DURATION_LIMIT_MILLIS).contains(millis))?;
    Some(Micros::from_f64((millis * MICROS_PER_MILLI as f64).round()))
}

/// Parses a time in milliseconds with a fraction.
pub(crate) fn parse_time(text: &str) -> Option<Time> {
    parse_duration(text).map(|since_start| Time(since_start.0))
}

pub(crate) fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "1" | "true" => Some(true),
        "0" | "false" => Some(false),
        _ => None,
    }
}

pub(crate) fn parse_outcome(text: &str) -> Option<Outcome> {
    Some(match text {
        "0" => Outcome::Error,
        "1" => Outcome::Ok,
        "2" => Outcome::Rejected,
        "3" => Outcome::TimedOut,
        "4" => Outcome::ConnectFailed,
        "5" => Outcome::Reset,
        "6" => Outcome::Cancelled,
        "7" => Outcome::NotSent,
        _ => return None,
    })
}

/// A duration that is printed in milliseconds, with three decimal places.
pub(crate) struct Millis(pub Micros);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Millis(Micros(micros)) = self;
        write!(f, "{}.{:03}", micros / MICROS_PER_MILLI, micros % MICROS_PER_MILLI)
    }
}
