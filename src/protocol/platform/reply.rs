//! Parsing of servers' lines: replies to requests, lines of established connections, and answers to probes.

use winnow::ascii::{dec_uint, float};
use winnow::combinator::{alt, opt, preceded, separated};
use winnow::error::ContextError;
use winnow::token::rest;
use winnow::Parser;

use super::field::{parse_field, Field};
use super::keywords::{BUSY, ERR, MOVE, PONG};
use crate::routing::ProbeOutcome;
use crate::LoadReport;

const UP: &[u8] = b"UP";
const BYE: &[u8] = b"BYE";
const LOAD: &[u8] = b"LOAD ";
const NO: &[u8] = b"NO";

/// Line that requests the answer to a probe.
pub const PROBE_REQUEST: &[u8] = b"STATS\r\n";
/// Field of a load report with the number of connections at the server.
const REPORTED_CONNECTIONS: &str = "inflight";
/// Highest valid utilisation in a load report.
const MAX_REPORTED_UTILISATION: f64 = 1000.0;

/// Line of a server.
#[derive(Debug, PartialEq)]
pub enum ServerReply {
    /// `UP`: the server accepts the connection.
    Up,
    /// `BYE`: the server ends the connection after serving it completely.
    Bye,
    /// `MOVE`: the server ends the connection, and the client should reconnect to another server.
    Move,
    /// `ERR`: the server cannot serve the connection.
    Error,
    /// `BUSY`: the server rejects the connection.
    Busy,
    /// `LOAD`: the server reports the load of the connection.
    Load(f64),
    /// Any other line, which is relayed to the client.
    Other,
}

/// Parses a line of a server, without its ending.
pub fn parse_server_reply(line: &[u8]) -> ServerReply {
    let arguments = || opt(preceded(b' ', rest));
    let parsed = alt((
        (UP, arguments()).map(|_| ServerReply::Up),
        (BYE, arguments()).map(|_| ServerReply::Bye),
        (MOVE, arguments()).map(|_| ServerReply::Move),
        (ERR, arguments()).map(|_| ServerReply::Error),
        (BUSY, opt(preceded(b' ', dec_uint::<_, u64, _>))).map(|_| ServerReply::Busy),
        preceded(LOAD, float::<_, f64, ContextError>).map(ServerReply::Load),
    ))
    .parse(line);
    parsed.unwrap_or(ServerReply::Other)
}

/// Returns the value of a field of a load report, if the field occurs exactly once and its value is from 0 to
/// `max`.
fn reported_number(fields: &[Field<'_>], name: &str, max: f64) -> Option<f64> {
    let mut matching = fields.iter().filter(|field| field.name == name.as_bytes());
    let field = matching.next().filter(|_| matching.next().is_none())?;
    let number = float::<_, f64, ContextError>.parse(field.value).ok()?;
    (0.0..=max).contains(&number).then_some(number)
}

/// Decodes a load report. The utilisation is the field with the first of `utilisation_names` that the report
/// contains. An invalid or ambiguous value is ignored, so that a server looks neither better nor worse than
/// it is.
fn decode_load_report(fields: &[Field<'_>], utilisation_names: &[&str]) -> Option<LoadReport> {
    let has_field = |name: &str| fields.iter().any(|field| field.name == name.as_bytes());
    let name = utilisation_names.iter().find(|name| has_field(name))?;
    let utilisation = reported_number(fields, name, MAX_REPORTED_UTILISATION)?;
    Some(LoadReport { utilisation, connections: reported_number(fields, REPORTED_CONNECTIONS, f64::MAX) })
}

/// Parses the answer to a probe, without the line ending. Its load report contains the utilisation under one
/// of `utilisation_names`.
pub fn parse_probe_answer(line: &[u8], utilisation_names: &[&str]) -> ProbeOutcome {
    #[derive(Clone, Copy)]
    enum Status {
        Healthy,
        Error,
        ProbingRefused,
    }
    let status =
        alt((PONG.value(Status::Healthy), ERR.value(Status::Error), NO.value(Status::ProbingRefused)));
    let fields = opt(preceded(b' ', separated(0.., parse_field, b',')));
    let Ok((status, fields)) = (status, fields).parse(line) else { return ProbeOutcome::NoAnswer };
    let fields: Vec<Field<'_>> = fields.unwrap_or_default();
    match status {
        Status::Healthy => ProbeOutcome::Answered(decode_load_report(&fields, utilisation_names)),
        Status::Error => ProbeOutcome::Error(decode_load_report(&fields, utilisation_names)),
        Status::ProbingRefused => ProbeOutcome::ProbingRefused,
    }
}
