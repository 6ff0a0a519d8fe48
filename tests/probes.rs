//! What issuer hosts say to probes, read without sockets.

use proptest::prelude::*;
use sagemount::protocol::platform::probe_answer;
use sagemount::routing::ProbeEnd;
use sagemount::Report;

const NAMES: [&str; 2] = ["x0", "util"];

fn read(line: &str) -> ProbeEnd {
    probe_answer(line.as_bytes(), &NAMES)
}

fn told(utilisation: f64, connections: Option<f64>) -> ProbeEnd {
    ProbeEnd::Answered(Some(Report { utilisation, connections }))
}

#[test]
fn the_first_known_name_tells_the_load() {
    assert_eq!(read("PONG x0=0.551,errors_per_s=0,utilization=0.499"), told(0.551, None));
    assert_eq!(read("PONG util=0.61,inflight=7,x0=1.5"), told(1.5, Some(7.0)));
    assert_eq!(read("PONG inflight=7,queue=2,util=0.61"), told(0.61, Some(7.0)));
    assert_eq!(read("ERR x0=2"), ProbeEnd::Error(Some(Report { utilisation: 2.0, connections: None })));
}

#[test]
fn what_makes_no_sense_is_no_report() {
    for line in [
        "PONG",
        "PONG ",
        "PONG eps=0",
        "PONG x0=",
        "PONG x0=NaN",
        "PONG x0=inf",
        "PONG x0=-0.1",
        "PONG x0=1e9",
    ] {
        assert_eq!(read(line), ProbeEnd::Answered(None), "{line}");
    }
    // Told twice, or told badly under the better name: the other name does not help it.
    assert_eq!(read("PONG x0=0.1,x0=0.9"), ProbeEnd::Answered(None));
    assert_eq!(read("PONG x0=many,util=0"), ProbeEnd::Answered(None));
    assert_eq!(read("PONG x0=0.5,inflight=-3"), told(0.5, None));
    assert_eq!(read("NO"), ProbeEnd::Unwanted);
    for line in ["", "pong x0=1", "PONGx0=1", "UP 1", "BUSY", "PONG x0=1 util=2", "\u{0}"] {
        assert_eq!(read(line), ProbeEnd::Nothing, "{line:?}");
    }
}

proptest! {
    /// No bytes make a host look better than nothing told, or stop a balancer.
    #[test]
    fn any_bytes_are_read(line in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let ProbeEnd::Answered(Some(report)) = probe_answer(&line, &NAMES) {
            prop_assert!((0.0..=1000.0).contains(&report.utilisation));
        }
    }
}
