//! Lines of servers: what they reply to a request, and the answers to health checks.

use winnow::ascii::{dec_uint, float};
use winnow::combinator::{alt, opt, preceded, separated};
use winnow::error::ContextError;
use winnow::token::rest;
use winnow::Parser;

use super::field::{parse_field, Field};
use super::keywords::{BUSY, ERR, MOVE, PONG};
use crate::routing::ProbeEnd;
use crate::LoadReport;

const UP: &[u8] = b"UP";
const BYE: &[u8] = b"BYE";
const LOAD: &[u8] = b"LOAD ";
const NO: &[u8] = b"NO";

/// The request line of a health check.
pub const PROBE_REQUEST: &[u8] = b"STATS\r\n";
/// Field of a load report: the number of connections at the server.
const REPORTED_CONNECTIONS: &str = "inflight";
/// The highest utilisation that a load report is believed; anything beyond is invalid.
const MAX_REPORTED_UTILISATION: f64 = 1000.0;

/// A line of a server.
#[derive(Debug, PartialEq)]
pub enum ServerReply {
    /// `UP`: it accepts the connection.
    Up,
    /// `BYE`: it ends the connection, which is complete.
    Bye,
    /// `MOVE`: the client is to connect elsewhere.
    Move,
    /// `ERR`: it cannot serve the connection.
    Error,
    /// `BUSY`: it rejects the connection.
    Busy,
    /// `LOAD`: the load of the connection.
    Load(f64),
    /// Any other line, which is for the client.
    Other,
}

/// Reads a line of a server, without its end.
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

/// The value of a field of a load report, if it is there once and from 0 to `max`.
fn reported_number(fields: &[Field<'_>], name: &str, max: f64) -> Option<f64> {
    let mut matching = fields.iter().filter(|field| field.name == name.as_bytes());
    let field = matching.next().filter(|_| matching.next().is_none())?;
    let number = float::<_, f64, ContextError>.parse(field.value).ok()?;
    (0.0..=max).contains(&number).then_some(number)
}

/// Decodes a load report, with the utilisation under the first of these names that it holds. A value that is invalid or
/// ambiguous must make no server look better than it is, nor worse.
fn decode_load_report(fields: &[Field<'_>], utilisation_names: &[&str]) -> Option<LoadReport> {
    let has_field = |name: &str| fields.iter().any(|field| field.name == name.as_bytes());
    let name = utilisation_names.iter().find(|name| has_field(name))?;
    let utilisation = reported_number(fields, name, MAX_REPORTED_UTILISATION)?;
    Some(LoadReport { utilisation, connections: reported_number(fields, REPORTED_CONNECTIONS, f64::MAX) })
}

/// Reads the answer to a health check, without the line's end. Its load report has the utilisation under one of
/// `utilisation_names`.
pub fn parse_probe_answer(line: &[u8], utilisation_names: &[&str]) -> ProbeEnd {
    #[derive(Clone, Copy)]
    enum Status {
        Healthy,
        Error,
        Unwanted,
    }
    let status = alt((PONG.value(Status::Healthy), ERR.value(Status::Error), NO.value(Status::Unwanted)));
    let fields = opt(preceded(b' ', separated(0.., parse_field, b',')));
    let Ok((status, fields)) = (status, fields).parse(line) else { return ProbeEnd::NoAnswer };
    let fields: Vec<Field<'_>> = fields.unwrap_or_default();
    match status {
        Status::Healthy => ProbeEnd::Answered(decode_load_report(&fields, utilisation_names)),
        Status::Error => ProbeEnd::Error(decode_load_report(&fields, utilisation_names)),
        Status::Unwanted => ProbeEnd::Declined,
    }
}
