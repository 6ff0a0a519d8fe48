//! Protocol of the admin endpoint. A call is one line, a response one or more lines.

use std::fmt::Write;

use thiserror::Error;
use winnow::ascii::space1;
use winnow::combinator::{alt, preceded};
use winnow::error::ContextError;
use winnow::token::take_while;
use winnow::Parser;

use crate::rebalance::RebalanceMetrics;
use crate::routing::{AdminCall, AdminResponse, Metrics};
use crate::RefusalReason;

/// Maximum length of a call in bytes, including its line ending.
pub const MAX_CALL_LENGTH: usize = 256;
/// Maximum length of a server's name in a call, in bytes.
const MAX_SERVER_NAME_LENGTH: usize = 128;

// Calls.
const READYZ: &str = "readyz";
const TELEMETRY: &str = "telemetry";
const EXCLUDE: &str = "exclude";
const INCLUDE: &str = "include";

/// Names of metrics and parts of such names.
mod metric {
    pub(super) const PREFIX: &str = "edge_node";
    // Counters of each class, preceded by `RESULTS` and the name of the class.
    pub(super) const RESULTS: &str = "results";
    pub(super) const SUCCEEDED: &str = "succeeded";
    pub(super) const DECLINED: &str = "declined";
    pub(super) const ABORTED: &str = "aborted";
    // Metrics of all pools together.
    pub(super) const FORWARDS: &str = "forwards";
    pub(super) const OUTSTANDING: &str = "outstanding";
    pub(super) const DISCOVERED: &str = "discovered";
    pub(super) const EJECTED: &str = "ejected";
    pub(super) const DISCOVERY_FAILURES: &str = "discovery_failures";
    pub(super) const ENDPOINT_LIST_AGE_MS: &str = "endpoint_list_age_ms";
    /// Counters of requests that were rejected or failed without a server, followed by the name of the
    /// reason.
    pub(super) const REFUSALS: &str = "refusals";
    // Metrics of rebalancing, preceded by `REBALANCE` and the name of the front.
    pub(super) const REBALANCE: &str = "rebalance";
    pub(super) const MIGRATED: &str = "moved";
    pub(super) const RETURNED: &str = "returned";
    pub(super) const REJECTED: &str = "refused";
    /// Migrations allowed per second, in thousandths.
    pub(super) const RATE_MILLI: &str = "rate_milli";
    /// Code of the reason for the current hold; 0 if there is no hold.
    pub(super) const HOLD_REASON: &str = "held";
}

const MILLI_PER_UNIT: f64 = 1000.0;

// Responses.
const YES: &str = "YES";
const NO: &str = "NO";
/// Last line of a response with metrics.
const END: &str = "END\r\n";

/// Error for a line that is not a valid call.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{}", UnknownCall::EXPECTED)]
pub struct UnknownCall;

impl UnknownCall {
    /// Text of the answer to such a line, which lists the valid calls.
    pub const EXPECTED: &str = "readyz, telemetry, exclude ID or include ID is wanted";
}

/// Parses a line, without its ending.
///
/// # Errors
/// [`UnknownCall`] if the line is not one of the calls, or lacks a valid server name that the call requires.
pub fn parse_call(line: &[u8]) -> Result<AdminCall, UnknownCall> {
    let name_bytes = || take_while(1..=MAX_SERVER_NAME_LENGTH, |b: u8| b.is_ascii_graphic());
    let server_name = || name_bytes().verify_map(|name: &[u8]| String::from_utf8(name.to_vec()).ok());
    let mut call = alt((
        READYZ.as_bytes().value(AdminCall::Readiness),
        TELEMETRY.as_bytes().value(AdminCall::Metrics),
        preceded((EXCLUDE.as_bytes(), space1), server_name()).map(AdminCall::Exclude),
        preceded((INCLUDE.as_bytes(), space1), server_name()).map(AdminCall::Readmit),
    ));
    Parser::<_, _, ContextError>::parse(&mut call, line).map_err(|_| UnknownCall)
}

/// Encodes a call, without a line ending.
pub fn encode_call(call: &AdminCall) -> String {
    match call {
        AdminCall::Readiness => READYZ.to_owned(),
        AdminCall::Metrics => TELEMETRY.to_owned(),
        AdminCall::Exclude(server) => format!("{EXCLUDE} {server}"),
        AdminCall::Readmit(server) => format!("{INCLUDE} {server}"),
    }
}

/// Returns whether a response reports that the call failed.
pub fn is_failure(response: &str) -> bool {
    response.starts_with(NO)
}

/// Replaces each character that is not allowed in a part of a metric's name by `_`. A name contains no
/// blanks, and ends at the first colon.
fn metric_name_part(name: &str) -> String {
    let is_allowed = |c: char| c.is_ascii_graphic() && !":|@#".contains(c);
    name.chars().map(|c| if is_allowed(c) { c } else { '_' }).collect()
}

/// Text of metrics, with one line for each.
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
        let _ = write!(self.0, "{}.{name}:{value}|{kind}\r\n", metric::PREFIX);
    }
}

fn encode_metrics(metrics: &Metrics) -> String {
    let mut lines = MetricLines::default();
    push_results(&mut lines, metrics);
    lines.counter(metric::FORWARDS, metrics.forwards);
    lines.gauge(metric::OUTSTANDING, metrics.outstanding);
    lines.gauge(metric::DISCOVERED, metrics.discovered);
    lines.gauge(metric::EJECTED, metrics.ejected);
    push_refusals(&mut lines, metrics);
    lines.counter(metric::DISCOVERY_FAILURES, metrics.discovery_failures);
    if let Some(age) = metrics.endpoint_list_age {
        lines.gauge(metric::ENDPOINT_LIST_AGE_MS, age.as_millis());
    }
    for (front, rebalance) in &metrics.rebalance {
        push_rebalance(&mut lines, front, rebalance);
    }
    lines.0 + END
}

fn push_results(lines: &mut MetricLines, metrics: &Metrics) {
    for (class, counts) in &metrics.classes {
        let prefix = format!("{}.{}", metric::RESULTS, metric_name_part(class));
        lines.counter(&format!("{prefix}.{}", metric::SUCCEEDED), counts.succeeded);
        lines.counter(&format!("{prefix}.{}", metric::DECLINED), counts.rejected);
        lines.counter(&format!("{prefix}.{}", metric::ABORTED), counts.failed);
    }
}

/// Writes a line for each reason, including reasons that have not occurred.
fn push_refusals(lines: &mut MetricLines, metrics: &Metrics) {
    for reason in RefusalReason::ALL {
        let count = metrics.refusals.get(&reason).copied().unwrap_or_default();
        lines.counter(&format!("{}.{}", metric::REFUSALS, reason.name()), count);
    }
}

fn push_rebalance(lines: &mut MetricLines, front: &str, rebalance: &RebalanceMetrics) {
    let prefix = format!("{}.{}", metric::REBALANCE, metric_name_part(front));
    let rate_milli = (rebalance.allowed_migrations_per_second * MILLI_PER_UNIT) as u64;
    let hold_code = rebalance.hold_reason.map_or(0, |reason| reason.code());
    lines.counter(&format!("{prefix}.{}", metric::MIGRATED), rebalance.migrated);
    lines.counter(&format!("{prefix}.{}", metric::RETURNED), rebalance.reconnected);
    lines.counter(&format!("{prefix}.{}", metric::REJECTED), rebalance.rejected);
    lines.gauge(&format!("{prefix}.{}", metric::RATE_MILLI), rate_milli);
    lines.gauge(&format!("{prefix}.{}", metric::HOLD_REASON), hold_code);
}

/// Encodes a response.
pub fn encode_response(response: &AdminResponse) -> Vec<u8> {
    match response {
        AdminResponse::Yes => format!("{YES}\r\n").into_bytes(),
        AdminResponse::No(reason) => format!("{NO} {reason}\r\n").into_bytes(),
        AdminResponse::Metrics(metrics) => encode_metrics(metrics).into_bytes(),
    }
}
