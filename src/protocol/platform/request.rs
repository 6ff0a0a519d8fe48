//! The first line of a client.

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
    /// Group that should share a server, a hexadecimal number.
    pub(super) const GROUP: &[u8] = b"g";
    /// Usual load, in the unit of the settings.
    pub(super) const LOAD: &[u8] = b"h";
    /// Whether the client was migrated or its connection broke.
    pub(super) const RECONNECTING: &[u8] = b"again";
    /// Server at which the connection is established already.
    pub(super) const ESTABLISHED_AT: &[u8] = b"at";
    /// Time that the client waits, in milliseconds.
    pub(super) const WAIT_MS: &[u8] = b"d";
}

/// Value of the tenant field of a request without a tenant.
const NO_TENANT: &str = "0";
/// Value of a field that is a flag and set.
const TRUE: &[u8] = b"1";

/// The longest wait that is accepted in a request, in milliseconds: a day.
const MAX_WAIT_MS: f64 = 86_400_000.0;
/// The shortest wait that is sent to a server, in milliseconds.
const MIN_FORWARDED_WAIT_MS: u64 = 1;

/// The first line of a client.
#[derive(Debug, PartialEq)]
pub enum Greeting {
    /// The client asks whether this balancer can serve.
    Ping,
    /// The client requests a connection.
    Open {
        /// What it asks for.
        request: Box<ConnectionRequest>,
        /// How its line is sent to a server.
        template: RequestTemplate,
    },
}

/// A client's request line around the value of its field for the time that the client waits.
#[derive(Debug, Default, PartialEq)]
pub struct RequestTemplate {
    /// The line up to the value of that field; all of it where there is no such field.
    before_wait: Vec<u8>,
    /// The line after that value, if the field is there.
    after_wait: Option<Vec<u8>>,
}

impl RequestTemplate {
    /// The line for a server that is given this time.
    pub(super) fn with_wait(&self, wait: Micros) -> Vec<u8> {
        let mut line = self.before_wait.clone();
        if let Some(after_wait) = &self.after_wait {
            let wait_ms = wait.as_millis().max(MIN_FORWARDED_WAIT_MS);
            line.extend_from_slice(wait_ms.to_string().as_bytes());
            line.extend_from_slice(after_wait);
        }
        line.extend_from_slice(CRLF);
        line
    }
}

/// The parts of an `OPEN` line.
struct OpenLine<'a> {
    id: &'a [u8],
    key: &'a [u8],
    /// Length of the line's end that holds the fields.
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

/// Reads a client's first line, without its end. A line that is not valid in all of its parts must reach no server.
pub fn parse_greeting(line: &[u8]) -> Option<Greeting> {
    if line == PING {
        return Some(Greeting::Ping);
    }
    let open = parse_open_line.parse(line).ok()?;
    decode_open_line(line, &open)
}

fn decode_open_line(line: &[u8], open: &OpenLine<'_>) -> Option<Greeting> {
    let mut request = ConnectionRequest {
        id: Some(to_text(open.id)),
        key: Some(hash_client_key(open.key)),
        ..ConnectionRequest::default()
    };
    // Only the value of the wait may change on its way; the rest has to stay as it was received.
    let mut template = RequestTemplate { before_wait: line.to_vec(), after_wait: None };
    let mut field_start = line.len() - open.fields_length;
    for (index, field) in open.fields.iter().enumerate() {
        if open.fields[..index].iter().any(|earlier| earlier.name == field.name) {
            return None;
        }
        if field.name == field_name::WAIT_MS {
            let value_start = field_start + field.name.len() + 1;
            template.before_wait = line[..value_start].to_vec();
            template.after_wait = Some(line[value_start + field.value.len()..].to_vec());
        }
        apply_request_field(&mut request, *field)?;
        field_start += field.name.len() + field.value.len() + 2;
    }
    // A request without a wait is valid only for a connection that was established before.
    let has_wait = request.timeout.is_some() || request.established_at.is_some();
    (has_wait && !request.class.is_empty()).then_some(Greeting::Open { request: Box::new(request), template })
}

/// Sets what a field of a request says; none if its value is invalid. Unknown fields are passed on unread.
fn apply_request_field(request: &mut ConnectionRequest, field: Field<'_>) -> Option<()> {
    let value = field.value;
    match field.name {
        field_name::CLASS => request.class = to_text(value),
        field_name::TENANT => request.tenant = Some(to_text(value)).filter(|name| name != NO_TENANT),
        field_name::GROUP => request.group = Some(hex_uint::<_, u64, ContextError>.parse(value).ok()?),
        field_name::LOAD => request.load = Some(parse_non_negative_number(value)?),
        field_name::RECONNECTING => request.reconnecting = value == TRUE,
        field_name::ESTABLISHED_AT => {
            request.established_at = Some(to_text(value)).filter(|name| !name.is_empty());
        }
        field_name::WAIT_MS => {
            let wait_ms = parse_non_negative_number(value).filter(|ms| *ms <= MAX_WAIT_MS)?;
            request.timeout = Some(Micros::from_f64(wait_ms * MICROS_PER_MS as f64));
        }
        _ => {}
    }
    Some(())
}
