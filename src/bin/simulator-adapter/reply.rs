//! Prints replies in the simulator's protocol.

use std::io::Write;

use connection_balancer::{Action, RequestId};

use crate::message::ATTEMPT_FIELD;
use crate::values::Millis;

/// The actions that follow in the reply are this instance's.
pub(crate) fn print_speaker(out: &mut Vec<u8>, instance: u32) {
    // Writing to memory cannot fail.
    let _ = writeln!(out, "SPEAKING\ti={instance}");
}

/// The reply is complete.
pub(crate) fn print_end(out: &mut Vec<u8>) {
    out.extend_from_slice(b"EOR\n");
}

/// Prints an action; `name` gives the protocol's name of a request.
pub(crate) fn print_action<'a>(out: &mut Vec<u8>, action: &Action, name: impl Fn(RequestId) -> &'a str) {
    // Writing to memory cannot fail.
    let _ = match action {
        Action::StartAttempt { request, server, timeout, .. } => {
            let (name, server, timeout) = (name(*request), server.0, Millis(*timeout));
            writeln!(out, "ATTEMPT\txid={name}\tbackend={server}\tpatience={timeout}")
        }
        Action::Reject { request, retry_after, .. } => {
            writeln!(out, "DENY\txid={}\thold-off={}", name(*request), Millis(*retry_after))
        }
        Action::Fail { request, .. } => writeln!(out, "FINISH_ERROR\txid={}", name(*request)),
        Action::CancelAttempt { request, attempt } => {
            writeln!(out, "RETRACT\txid={}\t{ATTEMPT_FIELD}={attempt}", name(*request))
        }
        Action::Migrate { request } => writeln!(out, "MOVE\txid={}", name(*request)),
        Action::ProbeServer { server } => writeln!(out, "SOUND_OUT\tbackend={}", server.0),
        // Instances of the simulator do not send one another observations.
        Action::ReportSlowSetup | Action::ReportDrop { .. } => Ok(()),
        Action::WatchEndpoints => writeln!(out, "SUBSCRIBE\ton=1"),
        Action::SetTimer(wait) => writeln!(out, "SLEEP\tfrom-now={}\tname=wake", Millis(*wait)),
    };
}
