//! The protocol of the admin endpoint: a call of one line, and a response of one or more.

use std::fmt::Write;

use thiserror::Error;
use winnow::ascii::space1;
use winnow::combinator::{alt, preceded};
use winnow::error::ContextError;
use winnow::token::take_while;
use winnow::Parser;

use crate::routing::{AdminCall, AdminResponse, Metrics};
use crate::RefusalReason;

/// The longest call in bytes, its line's end included.
pub const MAX_CALL_LENGTH: usize = 256;
/// The longest name of a server, in bytes.
const MAX_SERVER_NAME_LENGTH: usize = 128;

// Calls.
const READYZ: &[u8] = b"readyz";
const TELEMETRY: &[u8] = b"telemetry";
const EXCLUDE: &[u8] = b"exclude";
const INCLUDE: &[u8] = b"include";

// Names of metrics.
const METRIC_PREFIX: &str = "edge_node";
const MOVED: &str = "moved";
const RETURNED: &str = "returned";
const REFUSED: &str = "refused";
const RATE_MILLI: &str = "rate_milli";
const HELD: &str = "held";
const MILLI_PER_UNIT: f64 = 1000.0;
const REFUSALS: &str = "refusals";

/// The end of a response with metrics.
const END: &str = "END\r\n";

/// A line that is no call.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{}", UnknownCall::EXPECTED)]
pub struct UnknownCall;

impl UnknownCall {
    /// What the admin client is answered with.
    pub const EXPECTED: &str = "readyz, telemetry, exclude ID or include ID is wanted";
}

/// Parses a call, without its line's end.
///
/// # Errors
/// [`UnknownCall`] if it is none of the calls, or without a valid name of a server.
pub fn parse_call(line: &[u8]) -> Result<AdminCall, UnknownCall> {
    let name = || take_while(1..=MAX_SERVER_NAME_LENGTH, |b: u8| b.is_ascii_graphic());
    let name = || name().verify_map(|name: &[u8]| String::from_utf8(name.to_vec()).ok());
    let mut call = alt((
        READYZ.value(AdminCall::Ready),
        TELEMETRY.value(AdminCall::Metrics),
        preceded((EXCLUDE, space1), name()).map(AdminCall::Exclude),
        preceded((INCLUDE, space1), name()).map(AdminCall::Readmit),
    ));
    Parser::<_, _, ContextError>::parse(&mut call, line).map_err(|_| UnknownCall)
}

/// Replaces what must not be in a part of a metric's name, which has no blanks and ends at a colon.
fn metric_name_part(name: &str) -> String {
    let is_allowed = |c: char| c.is_ascii_graphic() && !":|@#".contains(c);
    name.chars().map(|c| if is_allowed(c) { c } else { '_' }).collect()
}

/// The text of metrics, a line each.
#[derive(Default)]
struct MetricLines(String);

impl MetricLines {
    fn counter(&mut self, name: &str, value: u64) {
        self.push(name, value, "c");
    }

    fn gauge(&mut self, name: &str, value: u64) {
        self.push(name, value, "g");
    }

    fn push(&mut self, name: &str, value: u64, kind: &str) {
        // Writing to a string cannot fail.
        let _ = write!(self.0, "{METRIC_PREFIX}.{name}:{value}|{kind}\r\n");
    }
}

fn encode_metrics(metrics: &Metrics) -> String {
    let mut lines = MetricLines::default();
    for (class, counts) in &metrics.classes {
        let class = metric_name_part(class);
        lines.counter(&format!("results.{class}.succeeded"), counts.succeeded);
        lines.counter(&format!("results.{class}.declined"), counts.declined);
        lines.counter(&format!("results.{class}.aborted"), counts.aborted);
    }
    lines.counter("forwards", metrics.forwards);
    lines.gauge("outstanding", metrics.outstanding);
    lines.gauge("discovered", metrics.discovered);
    lines.gauge("ejected", metrics.ejected);
    for reason in RefusalReason::ALL {
        let count = metrics.refusals.get(&reason).copied().unwrap_or_default();
        lines.counter(&format!("{REFUSALS}.{}", reason.name()), count);
    }
    lines.counter("discovery_failures", metrics.discovery_failures);
    if let Some(age) = metrics.endpoint_list_age {
        lines.gauge("endpoint_list_age_ms", age.as_millis());
    }
    for (front, moves) in &metrics.rebalance {
        let front = metric_name_part(front);
        lines.counter(&format!("rebalance.{front}.{MOVED}"), moves.moved);
        lines.counter(&format!("rebalance.{front}.{RETURNED}"), moves.returned);
        lines.counter(&format!("rebalance.{front}.{REFUSED}"), moves.rejected);
        lines.gauge(&format!("rebalance.{front}.{RATE_MILLI}"), (moves.rate * MILLI_PER_UNIT) as u64);
        lines
            .gauge(&format!("rebalance.{front}.{HELD}"), moves.hold_reason.map_or(0, |reason| reason.code()));
    }
    lines.0 + END
}

/// Encodes a response.
pub fn encode_response(response: &AdminResponse) -> Vec<u8> {
    match response {
        AdminResponse::Yes => b"YES\r\n".to_vec(),
        AdminResponse::No(reason) => format!("NO {reason}\r\n").into_bytes(),
        AdminResponse::Metrics(metrics) => encode_metrics(metrics).into_bytes(),
    }
}
