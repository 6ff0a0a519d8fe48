//! The operators' door: one line in, an answer of lines out.

use std::fmt::Write;

use winnow::ascii::space1;
use winnow::combinator::{alt, preceded};
use winnow::error::ContextError;
use winnow::token::take_while;
use winnow::Parser;

use crate::routing::{AdminCall, AdminResponse, Metrics};

/// The longest call, its end included.
pub const LONGEST_CALL: usize = 256;

/// The longest name of a server.
const LONGEST_NAME: usize = 128;

/// Reads a call, without its line's end; or else says what is wrong with it.
pub fn call(line: &[u8]) -> Result<AdminCall, &'static str> {
    let name = || take_while(1..=LONGEST_NAME, |b: u8| b.is_ascii_graphic());
    let name = || name().verify_map(|name: &[u8]| String::from_utf8(name.to_vec()).ok());
    let mut call = alt((
        b"readyz".value(AdminCall::Ready),
        b"telemetry".value(AdminCall::Telemetry),
        preceded((b"exclude", space1), name()).map(AdminCall::Exclude),
        preceded((b"include", space1), name()).map(AdminCall::Include),
    ));
    let parsed = Parser::<_, _, ContextError>::parse(&mut call, line);
    parsed.map_err(|_| "readyz, telemetry, exclude ID or include ID is wanted")
}

/// A name as part of a figure's name, which ends at a colon and has no blanks.
fn part(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_graphic() && !":|@#".contains(c) { c } else { '_' }).collect()
}

fn metrics(metrics: &Metrics) -> String {
    let mut out = String::new();
    let mut line = |name: &str, value: u64, kind: &str| {
        // A string takes all that is written to it.
        let _ = write!(out, "edge_node.{name}:{value}|{kind}\r\n");
    };
    for (class, counts) in &metrics.classes {
        let class = part(class);
        line(&format!("results.{class}.succeeded"), counts.succeeded, "c");
        line(&format!("results.{class}.declined"), counts.declined, "c");
        line(&format!("results.{class}.aborted"), counts.aborted, "c");
    }
    line("forwards", metrics.forwards, "c");
    line("outstanding", metrics.outstanding, "g");
    line("discovered", metrics.discovered, "g");
    line("ejected", metrics.ejected, "g");
    for (front, moves) in &metrics.rebalance {
        let front = part(front);
        line(&format!("rebalance.{front}.moved"), moves.moved, "c");
        line(&format!("rebalance.{front}.returned"), moves.returned, "c");
        line(&format!("rebalance.{front}.refused"), moves.rejected, "c");
        line(&format!("rebalance.{front}.rate_milli"), (moves.rate * 1000.0) as u64, "g");
        line(&format!("rebalance.{front}.held"), moves.hold_reason.map_or(0, |held| held.code()), "g");
    }
    out + "END\r\n"
}

/// Writes an answer.
pub fn reply(reply: &AdminResponse) -> Vec<u8> {
    match reply {
        AdminResponse::Yes => b"YES\r\n".to_vec(),
        AdminResponse::No(reason) => format!("NO {reason}\r\n").into_bytes(),
        AdminResponse::Metrics(all) => metrics(all).into_bytes(),
    }
}
