//! Parsing of the lines that a client sends before a server accepts it, and the request line for a server.

use winnow::ascii::{float, hex_uint};
use winnow::combinator::separated;
use winnow::error::ContextError;
use winnow::{ModalResult, Parser};

use super::field::{parse_field, parse_name, Field};
use super::keywords::MICROS_PER_MS;
use crate::protocol::{hash_client_key, CRLF};
use crate::routing::ConnectionRequest;
use crate::Micros;

const PING: &[u8] = b"PING";
const OPEN: &[u8] = b"OPEN ";

/// Names of the fields of a request.
mod field_name {
    /// Priority class.
    pub(super) const CLASS: &[u8] = b"c";
    pub(super) const TENANT: &[u8] = b"t";
    /// Group of connections that should share a server, a hexadecimal number.
    pub(super) const GROUP: &[u8] = b"g";
    /// Usual load of the connection, in the unit of the settings.
    pub(super) const LOAD: &[u8] = b"h";
    /// Whether the client was migrated or its connection broke.
    pub(super) const RECONNECTING: &[u8] = b"again";
    /// Server at which the connection is established already.
    pub(super) const ESTABLISHED_AT: &[u8] = b"at";
    /// Time that the client waits for an answer, in milliseconds.
    pub(super) const TIMEOUT_MS: &[u8] = b"d";
}

/// Value of the tenant field of a request without a tenant.
const NO_TENANT: &str = "0";
/// Value of a flag field that is set.
const TRUE: &[u8] = b"1";

/// Longest accepted timeout of a request, in milliseconds: one day.
const MAX_TIMEOUT_MS: f64 = 86_400_000.0;
/// Shortest timeout that is sent to a server, in milliseconds.
const MIN_FORWARDED_TIMEOUT_MS: u64 = 1;

/// Line that a client may send before a server accepts it.
#[derive(Debug, PartialEq)]
pub enum ClientCommand {
    /// The client asks whether this balancer can serve.
    Ping,
    /// The client requests a connection.
    Open {
        /// Decoded request.
        request: Box<ConnectionRequest>,
        /// Request line, in which the timeout is set again for each server.
        template: RequestTemplate,
    },
}

/// A client's request line, split at the value of its timeout field.
#[derive(Debug, Default, PartialEq)]
pub struct RequestTemplate {
    /// The line up to the value of the timeout, or the whole line if it has no timeout.
    before_timeout: Vec<u8>,
    /// The line after the value of the timeout, or `None` if it has no timeout.
    after_timeout: Option<Vec<u8>>,
}

impl RequestTemplate {
    /// Returns the request line with this timeout, if it has one.
    pub(super) fn with_timeout(&self, timeout: Micros) -> Vec<u8> {
        let mut line = self.before_timeout.clone();
        if let Some(after_timeout) = &self.after_timeout {
            let timeout_ms = timeout.as_millis().max(MIN_FORWARDED_TIMEOUT_MS);
            line.extend_from_slice(timeout_ms.to_string().as_bytes());
            line.extend_from_slice(after_timeout);
        }
        line.extend_from_slice(CRLF);
        line
    }
}

/// Parts of an `OPEN` line.
struct OpenLine<'a> {
    id: &'a [u8],
    key: &'a [u8],
    /// Length of the list of fields, which ends the line, in bytes.
    fields_length: usize,
    fields: Vec<Field<'a>>,
}

fn parse_open_line<'a>(input: &mut &'a [u8]) -> ModalResult<OpenLine<'a>> {
    let (_, id, _, key, _) = (OPEN, parse_name, b' ', parse_name, b' ').parse_next(input)?;
    let fields_length = input.len();
    let fields = separated(1.., parse_field, b',').parse_next(input)?;
    Ok(OpenLine { id, key, fields_length, fields })
}

fn parse_non_negative_number(text: &[u8]) -> Option<f64> {
    let number = float::<_, f64, ContextError>.parse(text).ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

fn to_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Parses a line of a client before it is established, without the line ending. Returns `None` unless all
/// parts of the line are valid, so that no malformed line reaches a server.
pub fn parse_client_command(line: &[u8]) -> Option<ClientCommand> {
    if line == PING {
        return Some(ClientCommand::Ping);
    }
    let open = parse_open_line.parse(line).ok()?;
    decode_open_line(line, &open)
}

fn decode_open_line(line: &[u8], open: &OpenLine<'_>) -> Option<ClientCommand> {
    let mut request = ConnectionRequest {
        id: Some(to_text(open.id)),
        key: Some(hash_client_key(open.key)),
        ..ConnectionRequest::default()
    };
    // Only the value of the timeout may differ in the line for a server. All other bytes have to remain as
    // received.
    let mut template = RequestTemplate { before_timeout: line.to_vec(), after_timeout: None };
    let mut field_start = line.len() - open.fields_length;
    for (index, field) in open.fields.iter().enumerate() {
        if open.fields[..index].iter().any(|earlier| earlier.name == field.name) {
            return None;
        }
        if field.name == field_name::TIMEOUT_MS {
            let value_start = field_start + field.name.len() + 1;
            template.before_timeout = line[..value_start].to_vec();
            template.after_timeout = Some(line[value_start + field.value.len()..].to_vec());
        }
        apply_request_field(&mut request, *field)?;
        field_start += field.name.len() + field.value.len() + 2;
    }
    // A request without a timeout is valid only for a connection that is established already.
    let has_required_fields =
        (request.timeout.is_some() || request.established_server.is_some()) && !request.class.is_empty();
    has_required_fields.then_some(ClientCommand::Open { request: Box::new(request), template })
}

/// Applies a field of a request line. Returns `None` if its value is invalid. Unknown fields are ignored here
/// and are sent to the server.
fn apply_request_field(request: &mut ConnectionRequest, field: Field<'_>) -> Option<()> {
    let value = field.value;
    match field.name {
        field_name::CLASS => request.class = to_text(value),
        field_name::TENANT => request.tenant = Some(to_text(value)).filter(|name| name != NO_TENANT),
        field_name::GROUP => request.group = Some(hex_uint::<_, u64, ContextError>.parse(value).ok()?),
        field_name::LOAD => request.load = Some(parse_non_negative_number(value)?),
        field_name::RECONNECTING => request.reconnecting = value == TRUE,
        field_name::ESTABLISHED_AT => {
            request.established_server = Some(to_text(value)).filter(|name| !name.is_empty());
        }
        field_name::TIMEOUT_MS => {
            let timeout_ms = parse_non_negative_number(value).filter(|ms| *ms <= MAX_TIMEOUT_MS)?;
            request.timeout = Some(Micros::from_f64(timeout_ms * MICROS_PER_MS as f64));
        }
        _ => {}
    }
    Some(())
}
