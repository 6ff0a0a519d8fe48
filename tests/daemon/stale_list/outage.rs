//! A discovery that is down: it lists no changes, so the list stays in use.

use std::time::{Duration, Instant};

use super::{request_until, start_daemon, wait_for_watches, RecordingServer, NOTIFIED_AFTER};
use crate::fake_servers::discovery::{endpoint, Discovery, Reply};

/// Duration of an outage: two leases of the list, and the longest wait between two calls.
pub(super) const OUTAGE: Duration = Duration::from_secs(2 * NOTIFIED_AFTER.as_secs() + 4);

/// Guards against a lease that the failures of an outage do not renew: all requests would be refused through the
/// outage. The watches end first, as they do when discovery goes down.
#[test]
fn serves_through_an_outage_that_is_longer_than_the_lease() {
    type Outage = fn(&Discovery);
    let cases: [(&str, Outage); 4] = [
        ("503 at once", |discovery| discovery.reset_open_calls(Reply::Status(503))),
        ("a reset at once", |discovery| discovery.reset_open_calls(Reply::LateReset(Duration::ZERO))),
        ("refused connections", |discovery| {
            discovery.stop_listening();
            discovery.reset_open_calls(Reply::Silence);
        }),
        ("a watch that ends in 503, then 503 at once", |discovery| {
            discovery.answer_open_calls(503, Reply::Status(503));
        }),
    ];
    std::thread::scope(|scope| {
        for (outage, begin_outage) in cases {
            scope.spawn(move || {
                let server = RecordingServer::start();
                let known = [endpoint("s-00000001", server.address, "ready")];
                let discovery = Discovery::serving(&[("s-00000001", known[0].clone())]);
                let daemon = start_daemon(&discovery, "on_request", &known);
                wait_for_watches(&discovery, 1);
                // The outage begins while discovery holds the call, long after the call was made.
                std::thread::sleep(Duration::from_secs(1));

                begin_outage(&discovery);
                let served = request_until(&daemon.platform_address, Instant::now() + OUTAGE);

                let refused = served.iter().filter(|served| !**served).count();
                assert_eq!(refused, 0, "{outage}: of {} requests", served.len());
            });
        }
    });
}
