//! Tests of gossip between the balancers of a tier: its cost, its effect on decisions, and that no message
//! can do harm.

use connection_balancer::peers::{Gossip, GossipConfig, GossipMessage, Observation, MAX_SAMPLED_GROUPS};
use connection_balancer::protocol::gossip::{decode, encode, MAX_DATAGRAM_LENGTH};
use connection_balancer::*;
use proptest::prelude::*;

use crate::harness::{endpoints, settings, Harness, MS, SECOND, START};

/// Time for which an observation of a server counts.
const OBSERVATION_VALIDITY: Micros = Micros::from_secs(2);

fn slow(server: u32, ms: u64) -> Observation {
    Observation::SlowServer(ServerId(server), ms * MS)
}

fn gossip_config(balancers: u32, price: f64) -> GossipConfig {
    GossipConfig {
        enabled: true,
        balancers,
        price,
        message_objective: 100 * MS,
        observation_validity: OBSERVATION_VALIDITY,
        slow_setup_validity: 600 * MS,
    }
}

#[test]
fn broadcasts_each_observation_once_within_its_hold_and_not_after_a_peer_did() {
    let dropped = |server| Observation::Dropped(ServerId(server));
    let observations = [
        (slow(1, 50), slow(2, 60), OBSERVATION_VALIDITY),
        (dropped(1), dropped(2), OBSERVATION_VALIDITY),
        (Observation::SlowSetups, Observation::SlowSetups, 600 * MS),
    ];
    for (own, received, hold) in observations {
        let mut gossip = Gossip::new(gossip_config(3, 0.0), 7);
        assert!(
            !gossip.should_broadcast(START, slow(1, 49)),
            "messages that take less than half of the objective were reported"
        );
        assert!(gossip.should_broadcast(START, own));
        gossip.earn_credit();
        assert!(!gossip.should_broadcast(START.plus(hold - Micros(1)), own));
        assert!(gossip.should_broadcast(START.plus(hold), own));
        gossip.earn_credit();
        assert!(gossip.record_received(START.plus(2 * hold), received));
        assert!(!gossip.should_broadcast(START.plus(3 * hold - Micros(1)), received));
        for config in [gossip_config(1, 0.0), GossipConfig { enabled: false, ..gossip_config(3, 0.0) }] {
            assert!(
                !Gossip::new(config, 7).should_broadcast(START, own),
                "broadcast without a peer, or with gossip disabled"
            );
        }
    }
}

/// The messages of all balancers may cost a hundredth of the value of all connections, however many servers
/// are slow. Among many balancers with few connections, some must always be able to send.
#[test]
fn established_connections_pay_for_messages() {
    for (balancers, price) in [(100, 0.01), (3, 0.01), (100, 0.5)] {
        let (mut sent, mut established) = (0.0, 0.0);
        for seed in 0..200 {
            let mut gossip = Gossip::new(gossip_config(balancers, price), seed);
            established += 1.0;
            for n in 0..10u32 {
                let now = START.plus(u64::from(n) * OBSERVATION_VALIDITY);
                sent += (0..5).filter(|k| gossip.should_broadcast(now, slow(n * 5 + k, 500))).count() as f64;
                gossip.earn_credit();
                established += 1.0;
            }
        }
        let cost = sent / established * price * f64::from(balancers - 1) * 16.0 / 256.0;
        assert!(
            cost <= 0.0125,
            "{balancers} balancers, price {price}: messages cost {cost} of the value, limit 0.0125"
        );
        assert!(
            cost >= 0.0075 || sent >= established,
            "{balancers} balancers, price {price}: only {sent} messages for {established} connections"
        );
    }
}

/// Without gossip, each of a hundred balancers learns that a server is slow only by placing a connection
/// there.
#[test]
fn a_hundred_balancers_avoid_a_reported_server_and_do_not_all_return_at_once() {
    let settings = Settings { balancers: 100, max_retry_after: SECOND, ..settings() };
    let list = endpoints(10);
    let placed_at_slow_server = |has_gossip: bool| -> Vec<usize> {
        let mut fleet: Vec<Harness> = (0..100).map(|n| Harness::seeded(settings.clone(), &list, n)).collect();
        let mut placed_by_second = Vec::new();
        for second in 0..10 {
            let mut placed = 0;
            for harness in &mut fleet {
                if has_gossip && second == 0 {
                    harness
                        .handle(Event::PeerObservation { server: ServerId(1), message_time: Some(300 * MS) });
                }
                let (request, server) = harness.place();
                placed += usize::from(server == 1);
                harness.end_attempt(request, 0, Outcome::Ok, true);
                harness.advance(SECOND);
            }
            placed_by_second.push(placed);
        }
        placed_by_second
    };
    let (without, with) = (placed_at_slow_server(false), placed_at_slow_server(true));
    assert!(
        without.iter().all(|&placed| placed >= 3),
        "without gossip, about a tenth of 100 connections is expected in each second: {without:?}"
    );
    assert_eq!(with[0], 0, "connections in each second with gossip: {with:?}");
    let first_return =
        with.iter().position(|&placed| placed > 0).expect("the server should be tried again within 10 s");
    assert!(with[first_return] <= 20, "more than 20 balancers return at once: {with:?}");
}

/// Guards against balancers that refill a server within a second or two each time it has dropped all its
/// connections. If servers report no message times, other balancers learn of a drop only by gossip.
#[test]
fn each_reported_drop_halves_the_requests_that_all_balancers_send_to_a_server() {
    let settings = Settings { balancers: 300, max_retry_after: SECOND, ..settings() };
    let list = endpoints(10);
    let mut fleet: Vec<Harness> = (0..300).map(|n| Harness::seeded(settings.clone(), &list, n)).collect();
    let mut sent_to_server = |is_drop_reported: bool| {
        let mut count = 0;
        for harness in &mut fleet {
            if is_drop_reported {
                harness.handle(Event::PeerObservation { server: ServerId(1), message_time: None });
            }
            for _ in 0..10 {
                let (request, server) = harness.place();
                count += usize::from(server == 1);
                harness.end_attempt(request, 0, Outcome::Ok, true);
            }
        }
        count as f64
    };
    let (before, after_one, after_two) = (sent_to_server(false), sent_to_server(true), sent_to_server(true));
    assert!((240.0..360.0).contains(&before), "{before} requests sent, about a tenth of 3000 expected");
    assert!((0.4..0.65).contains(&(after_one / before)), "{after_one} sent after one drop, {before} before");
    // The second drop has an effect again, although connections that fill the last slot raise the ceiling.
    assert!(after_two <= 0.8 * after_one, "{after_two} sent after two drops, {after_one} after one");
}

/// An observation of a drop never lowers a ceiling below the occupied slots. The balancers of a small fleet
/// learn about these from their own connections.
#[test]
fn a_reported_drop_removes_only_free_slots() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    for _ in 0..3 {
        harness.place();
    }
    harness.handle(Event::PeerObservation { server: ServerId(1), message_time: None });
    assert_eq!((harness.occupied_slots(1), harness.ceiling(1)), (3.0, 3.5));
}

#[test]
fn an_invalid_observation_changes_nothing() {
    let mut harness = Harness::new(settings(), &endpoints(2));
    harness.handle(Event::PeerObservation { server: ServerId(77), message_time: Some(300 * MS) });
    harness.handle(Event::PeerObservation { server: ServerId(1), message_time: Some(Micros::ZERO) });
    assert_eq!((harness.ceiling(1), harness.ceiling(2)), (4.0, 4.0));
}

proptest! {
    #[test]
    fn decodes_messages_as_encoded_and_nothing_else(
        server: Option<u32>,
        dropped: bool,
        ms in 0..200_000u64,
        hashes in proptest::collection::vec(any::<u16>(), 0..=MAX_SAMPLED_GROUPS),
        arbitrary: Vec<u8>,
    ) {
        let message = |ms| GossipMessage {
            observation: server.map_or(Observation::SlowSetups, |server| match dropped {
                true => Observation::Dropped(ServerId(server)),
                false => slow(server, ms),
            }),
            groups: std::array::from_fn(|n| hashes.get(n).copied().map(GroupHash)),
        };
        let bytes = encode(message(ms));
        prop_assert!(
            bytes.len() <= 16 && bytes.len() <= MAX_DATAGRAM_LENGTH,
            "message of {} bytes, limit 16; longer messages cost more",
            bytes.len()
        );
        prop_assert_eq!(decode(&bytes), Some(message(ms.min(65_535))));
        for length in 0..bytes.len() {
            prop_assert_eq!(decode(&bytes[..length]), None);
        }
        let has_known_kind = arbitrary.first().is_some_and(|kind| b"1234".contains(kind));
        prop_assert!(has_known_kind || decode(&arbitrary).is_none());
    }
}
