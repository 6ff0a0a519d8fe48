//! Tests of the number and the cost of probes.

use connection_balancer::*;

use crate::harness::{count_probes, endpoints, settings, Harness};

#[test]
fn probes_cost_a_bounded_share_of_the_delivered_value() {
    let settings = Settings {
        probes_allowed: true,
        probes_report_load: true,
        probe_cost: 0.01,
        poll_required: false,
        ..settings()
    };
    let mut harness = Harness::new(settings, &endpoints(4));
    let mut sent = 0;
    for _ in 0..1000 {
        let request = harness.arrive();
        harness.establish(request, 0);
        sent += count_probes(&harness);
        harness.end_attempt(request, 0, Outcome::Ok, true);
    }
    assert!((300..=600).contains(&sent), "{sent} probes for 1000 connections, 300 to 600 are allowed");
    // Guards against credit for rejected connections. Under overload, rejected clients returned repeatedly,
    // and each attempt earned credit for probes.
    for _ in 0..10 {
        let request = harness.arrive();
        assert_eq!(count_probes(&harness), 0);
        harness.end_attempt(request, 0, Outcome::Rejected, true);
        assert_eq!(count_probes(&harness), 0);
    }
}
