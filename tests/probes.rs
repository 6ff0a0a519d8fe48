//! Tests of the parser for answers of servers to probes, without sockets.

use connection_balancer::protocol::platform::parse_probe_answer;
use connection_balancer::routing::ProbeOutcome;
use connection_balancer::LoadReport;
use proptest::prelude::*;

const NAMES: [&str; 2] = ["x0", "util"];

/// A load that is reported twice, or is invalid under the first name, is not read under the second name.
#[test]
fn reads_the_load_under_the_first_known_name_or_none() {
    let report = |utilisation, connections| Some(LoadReport { utilisation, connections });
    let table = [
        ("PONG x0=0.551,errors_per_s=0,utilization=0.499", ProbeOutcome::Answered(report(0.551, None))),
        ("PONG util=0.61,inflight=7,x0=1.5", ProbeOutcome::Answered(report(1.5, Some(7.0)))),
        ("PONG inflight=7,queue=2,util=0.61", ProbeOutcome::Answered(report(0.61, Some(7.0)))),
        ("PONG x0=0.5,inflight=-3", ProbeOutcome::Answered(report(0.5, None))),
        ("ERR x0=2", ProbeOutcome::Error(report(2.0, None))),
        ("NO", ProbeOutcome::ProbingRefused),
    ];
    let invalid = [
        "",
        " ",
        " eps=0",
        " x0=",
        " x0=NaN",
        " x0=inf",
        " x0=-0.1",
        " x0=1e9",
        " x0=0,x0=1",
        " x0=a,util=0",
    ];
    let invalid = invalid.map(|fields| (format!("PONG{fields}"), ProbeOutcome::Answered(None)));
    let no_answers = ["", "pong x0=1", "PONGx0=1", "UP 1", "BUSY", "PONG x0=1 util=2", "\u{0}"];
    let no_answers = no_answers.map(|line| (line.to_owned(), ProbeOutcome::NoAnswer));
    let table = table.map(|(line, end)| (line.to_owned(), end));
    for (line, end) in table.into_iter().chain(invalid).chain(no_answers) {
        assert_eq!(parse_probe_answer(line.as_bytes(), &NAMES), end, "{line:?}");
    }
}

proptest! {
    /// No sequence of bytes causes a panic, or a utilisation that makes a server appear better than a server
    /// without a report.
    #[test]
    fn accepts_any_bytes_without_a_panic(line in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let ProbeOutcome::Answered(Some(report)) = parse_probe_answer(&line, &NAMES) {
            prop_assert!(
                (0.0..=1000.0).contains(&report.utilisation),
                "utilisation of {}, 0 to 1000 is allowed",
                report.utilisation
            );
        }
    }
}
