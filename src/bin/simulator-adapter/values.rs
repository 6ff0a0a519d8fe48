//! Parses and prints the values of the simulator's protocol.

use std::fmt;
use std::str::FromStr;

use connection_balancer::{Micros, Outcome, Time};

const MICROS_PER_MILLI: u64 = 1000;
/// Spans of time have to be below this, in milliseconds.
const SPAN_LIMIT_MILLIS: f64 = 1e15;

pub(crate) fn parse_number<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// A finite number.
pub(crate) fn parse_decimal(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value: &f64| value.is_finite())
}

/// Milliseconds with a fraction, as whole microseconds.
pub(crate) fn parse_span(text: &str) -> Option<Micros> {
    let millis = parse_decimal(text).filter(|millis| (0.0..SPAN_LIMIT_MILLIS).contains(millis))?;
    Some(Micros::from_f64((millis * MICROS_PER_MILLI as f64).round()))
}

pub(crate) fn parse_time(text: &str) -> Option<Time> {
    parse_span(text).map(|span| Time(span.0))
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

/// A span of time, printed as milliseconds.
pub(crate) struct Millis(pub Micros);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Millis(Micros(micros)) = self;
        write!(f, "{}.{:03}", micros / MICROS_PER_MILLI, micros % MICROS_PER_MILLI)
    }
}
