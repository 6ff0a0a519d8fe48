//! Prints replies in the simulator's protocol.

use std::fmt::Display;
use std::io::Write;

use connection_balancer::{Action, RequestId};

use crate::line::{FIELD_SEPARATOR, VALUE_SEPARATOR};
use crate::values::Millis;
use crate::wire::{field, reply, TIMER_NAME};

/// Prints a line of a reply: its name, and a field for each pair of a name and a value.
fn print_line(out: &mut Vec<u8>, name: &str, fields: &[(&str, &dyn Display)]) {
    // Writing to memory cannot fail.
    let _ = write!(out, "{name}");
    for (field, value) in fields {
        let _ = write!(out, "{FIELD_SEPARATOR}{field}{VALUE_SEPARATOR}{value}");
    }
    out.push(b'\n');
}

/// Prints the line that names the instance of the following actions.
pub(crate) fn print_instance(out: &mut Vec<u8>, instance: u32) {
    print_line(out, reply::INSTANCE, &[(field::INSTANCE, &instance)]);
}

/// Prints the last line of a reply.
pub(crate) fn print_end(out: &mut Vec<u8>) {
    print_line(out, reply::END, &[]);
}

/// Prints an action. `request_name` returns the name of a request in the protocol.
pub(crate) fn print_action<'a>(
    out: &mut Vec<u8>,
    action: &Action,
    request_name: impl Fn(RequestId) -> &'a str,
) {
    match action {
        Action::StartAttempt { request, server, acceptance_timeout, .. } => {
            let (name, acceptance_timeout) = (request_name(*request), Millis(*acceptance_timeout));
            let fields: [(&str, &dyn Display); 3] =
                [(field::REQUEST, &name), (field::SERVER, &server.0), (field::TIMEOUT, &acceptance_timeout)];
            print_line(out, reply::START_ATTEMPT, &fields);
        }
        Action::Reject { request, retry_after, .. } => {
            let (name, retry_after) = (request_name(*request), Millis(*retry_after));
            print_line(out, reply::REJECT, &[(field::REQUEST, &name), (field::RETRY_AFTER, &retry_after)]);
        }
        Action::Fail { request, .. } => {
            print_line(out, reply::FAIL, &[(field::REQUEST, &request_name(*request))]);
        }
        Action::CancelAttempt { request, attempt } => {
            let fields: [(&str, &dyn Display); 2] =
                [(field::REQUEST, &request_name(*request)), (field::ATTEMPT, attempt)];
            print_line(out, reply::CANCEL_ATTEMPT, &fields);
        }
        Action::Migrate { request } => {
            print_line(out, reply::MIGRATE, &[(field::REQUEST, &request_name(*request))]);
        }
        Action::ProbeServer { server } => print_line(out, reply::PROBE_SERVER, &[(field::SERVER, &server.0)]),
        // In the simulator, instances do not send observations to each other.
        Action::ReportSlowSetup | Action::ReportDrop { .. } => {}
        Action::WatchEndpoints => print_line(out, reply::WATCH_ENDPOINTS, &[(field::ENABLED, &1)]),
        Action::SetTimer(delay) => {
            let delay = Millis(*delay);
            print_line(out, reply::SET_TIMER, &[(field::DELAY, &delay), (field::TIMER, &TIMER_NAME)]);
        }
    }
}
