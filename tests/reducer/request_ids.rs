//! Ids of requests that no further request may have: how long they are kept, and how many.

use connection_balancer::routing::*;
use connection_balancer::Micros;

use crate::reducer_harness::{connection_request, ReducerHarness};

/// Time for which the id of a request without an answer is kept.
const RETENTION: Micros = Micros::from_secs(30);
/// Maximum memory of all kept ids together, in bytes.
const MAX_MEMORY_BYTES: usize = 1 << 20;
/// Memory of an id besides its text, which is kept twice, in bytes.
const OVERHEAD_BYTES: usize = 160;

/// Sends a request with this id. Returns the connection, and whether an attempt was opened.
fn request(harness: &mut ReducerHarness, id: &str) -> (ConnectionId, bool) {
    let connection = harness.connect_client();
    let request = ConnectionRequest { id: Some(id.to_owned()), ..connection_request() };
    let effects = harness.feed(Input::ConnectionRequested { connection, request });
    (connection, effects.iter().any(|effect| matches!(effect, Effect::OpenAttempt { .. })))
}

/// Sends a request with this id whose client leaves after the request was forwarded, or before.
fn leave(harness: &mut ReducerHarness, id: &str, is_forwarded: bool) {
    let (connection, is_admitted) = request(harness, id);
    assert!(is_admitted, "{id}");
    if is_forwarded {
        harness.feed(Input::RequestForwarded { connection, attempt: 0 });
    }
    harness.feed(Input::ClientDisconnected { connection });
    harness.feed(Input::SocketsClosed { connection });
}

/// An id must not be refused for longer than its time, nor if no server has received it.
#[test]
fn keeps_the_id_of_a_forwarded_request_for_a_limited_time() {
    let mut harness = ReducerHarness::new();
    leave(&mut harness, "never-forwarded", false);
    assert!(request(&mut harness, "never-forwarded").1);

    leave(&mut harness, "forwarded", true);
    harness.advance(Micros(RETENTION.0 - 1));
    assert!(!request(&mut harness, "forwarded").1);
    harness.advance(Micros(1));
    assert!(request(&mut harness, "forwarded").1);
}

/// Ids that the peer process sends must not take memory without a limit. The oldest are dropped.
#[test]
fn drops_the_oldest_ids_beyond_the_limit() {
    for length in [4, 4000] {
        let mut harness = ReducerHarness::new();
        let id = |number: usize| format!("{number:0>length$x}");
        let kept = MAX_MEMORY_BYTES / (2 * length + OVERHEAD_BYTES);
        for number in 0..=kept {
            harness.feed(Input::RequestIdShared { pool: "platform".to_owned(), id: id(number) });
        }

        assert!(request(&mut harness, &id(0)).1, "the oldest id is kept beyond the limit");
        assert!(!request(&mut harness, &id(kept)).1);
    }
}
