//! Tests of connections that occupy more than one slot.

use connection_balancer::*;

use crate::harness::{class, endpoints, settings, Harness, SECOND};

#[test]
fn a_connection_occupies_slots_in_proportion_to_its_load() {
    let mut harness = Harness::new(settings(), &endpoints(2));
    let (light, heavy) = (harness.restore(1, None), harness.restore(2, None));
    for (request, load) in [(light, 10_000.0), (heavy, 70_000.0)] {
        harness.measure(request, Measurement::Load(load));
    }
    assert!(harness.occupied_slots(2) > harness.occupied_slots(1));
    harness.end_attempt(heavy, 0, Outcome::Ok, true);
    assert_eq!(harness.occupied_slots(2), 0.0, "not all slots of the connection were released");
}

#[test]
fn a_heavy_connection_needs_all_its_slots() {
    // Guards against heavy connections that occupy the last free slots, so that light connections are
    // rejected.
    let mut settings = settings();
    settings.classes.push(class(Idempotency::Idempotent));
    let mut harness = Harness::new(settings, &endpoints(1));
    let (light, heavy) = (harness.restore(1, None), harness.next_request());
    let (tenant, group, load, class) = (None, None, None, ClassId(1));
    harness.handle(Event::EstablishedConnectionAdded {
        request: heavy,
        class,
        tenant,
        group,
        load,
        server: ServerId(1),
    });
    for _ in 0..20 {
        harness.measure(light, Measurement::Load(1.0));
        harness.measure(heavy, Measurement::Load(9.0));
    }
    harness.end_attempt(heavy, 0, Outcome::Ok, true);
    let mut is_sent = |class| {
        let request = harness.next_request();
        let deadline = harness.now.plus(SECOND);
        harness.handle(Event::RequestArrived { request, class, tenant, group, load, deadline });
        harness.attempted_server().is_some()
    };
    let light_sent = (0..16).filter(|_| is_sent(ClassId(0))).count();
    assert!(
        light_sent >= 8 && !is_sent(ClassId(1)),
        "{light_sent} of 16 light requests sent, at least 8 expected, and then no heavy request"
    );
}
