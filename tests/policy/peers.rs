//! Gossip between the balancers of a tier: what it costs, what it changes, and that no message can do harm.

use connection_balancer::peers::{GossipConfig, GossipMessage, Observation, Peers, MAX_SAMPLED_GROUPS};
use connection_balancer::protocol::gossip::{decode, encode, MAX_DATAGRAM_LENGTH};
use connection_balancer::*;
use proptest::prelude::*;

use crate::harness::{endpoints, settings, Harness, MS, SECOND, START};

const HOLDS: Micros = Micros::from_secs(2);

fn slow(server: u32, ms: u64) -> Observation {
    Observation::SlowServer(ServerId(server), ms * MS)
}

fn gossip_config(balancers: u32, price: f64) -> GossipConfig {
    GossipConfig {
        enabled: true,
        balancers,
        price,
        message_objective: 100 * MS,
        observation_hold: HOLDS,
        slow_setup_hold: 600 * MS,
    }
}

#[test]
fn broadcasts_each_observation_once_while_it_holds_and_not_after_another_balancer() {
    let dropped = |server| Observation::Dropped(ServerId(server));
    let observations = [
        (slow(1, 50), slow(2, 60), HOLDS),
        (dropped(1), dropped(2), HOLDS),
        (Observation::SlowSetUps, Observation::SlowSetUps, 600 * MS),
    ];
    for (own, others, holds) in observations {
        let mut peers = Peers::new(gossip_config(3, 0.0), 7);
        assert!(!peers.should_broadcast(START, slow(1, 49)), "under half of the aim messages are in time");
        assert!(peers.should_broadcast(START, own));
        peers.earn_credit();
        assert!(!peers.should_broadcast(START.plus(holds - Micros(1)), own));
        assert!(peers.should_broadcast(START.plus(holds), own));
        peers.earn_credit();
        assert!(peers.record_received(START.plus(2 * holds), others));
        assert!(!peers.should_broadcast(START.plus(3 * holds - Micros(1)), others));
        for alone in [gossip_config(1, 0.0), GossipConfig { enabled: false, ..gossip_config(3, 0.0) }] {
            assert!(
                !Peers::new(alone, 7).should_broadcast(START, own),
                "there is no other balancer, or gossip is disabled"
            );
        }
    }
}

/// Messages of all balancers cost a hundredth of the value of all connections, however many servers are slow, and of
/// many balancers with few connections some can always send.
#[test]
fn established_connections_pay_for_messages() {
    for (balancers, price) in [(100, 0.01), (3, 0.01), (100, 0.5)] {
        let (mut sent, mut established) = (0.0, 0.0);
        for seed in 0..200 {
            let mut peers = Peers::new(gossip_config(balancers, price), seed);
            established += 1.0;
            for n in 0..10u32 {
                let now = START.plus(u64::from(n) * HOLDS);
                sent += (0..5).filter(|k| peers.should_broadcast(now, slow(n * 5 + k, 500))).count() as f64;
                peers.earn_credit();
                established += 1.0;
            }
        }
        let cost = sent / established * price * f64::from(balancers - 1) * 16.0 / 256.0;
        assert!(cost <= 0.0125, "{balancers} {price}: {cost}");
        assert!(
            cost >= 0.0075 || sent >= established,
            "{balancers} {price}: {sent} messages for {established}"
        );
    }
}

/// Without gossip each of a hundred balancers learns that a server is slow only by placing a connection there.
#[test]
fn a_hundred_balancers_avoid_a_reported_server_and_do_not_all_return_at_once() {
    let settings = Settings { balancers: 100, max_retry_after: SECOND, ..settings() };
    let list = endpoints(10);
    let places = |gossips: bool| -> Vec<usize> {
        let mut fleet: Vec<Harness> = (0..100).map(|n| Harness::seeded(settings.clone(), &list, n)).collect();
        let mut to_slow = Vec::new();
        for second in 0..10 {
            let mut placed = 0;
            for harness in &mut fleet {
                if gossips && second == 0 {
                    harness.handle(Event::PeerObservation { server: ServerId(1), took: Some(300 * MS) });
                }
                let (request, server) = harness.place();
                placed += usize::from(server == 1);
                harness.end_attempt(request, 0, Outcome::Ok, true);
                harness.advance(SECOND);
            }
            to_slow.push(placed);
        }
        to_slow
    };
    let (without, with) = (places(false), places(true));
    assert!(without.iter().all(|&placed| placed >= 3), "a tenth each second: {without:?}");
    assert_eq!(with[0], 0, "{with:?}");
    let back = with.iter().position(|&placed| placed > 0).expect("it is tried again");
    assert!(with[back] <= 20, "{with:?}");
}

/// Where servers report no message times, balancers learn of a drop only by gossip. Without it they would refill a server
/// within a second or two each time it has dropped all its connections.
#[test]
fn each_reported_drop_halves_what_all_balancers_send_to_a_server() {
    let settings = Settings { balancers: 300, max_retry_after: SECOND, ..settings() };
    let list = endpoints(10);
    let mut fleet: Vec<Harness> = (0..300).map(|n| Harness::seeded(settings.clone(), &list, n)).collect();
    let mut sent_there = |message: bool| {
        let mut count = 0;
        for harness in &mut fleet {
            if message {
                harness.handle(Event::PeerObservation { server: ServerId(1), took: None });
            }
            for _ in 0..10 {
                let (request, server) = harness.place();
                count += usize::from(server == 1);
                harness.end_attempt(request, 0, Outcome::Ok, true);
            }
        }
        count as f64
    };
    let (before, once, twice) = (sent_there(false), sent_there(true), sent_there(true));
    assert!((240.0..360.0).contains(&before), "a tenth of 3000: {before}");
    assert!((0.4..0.65).contains(&(once / before)), "{once} of {before}");
    // Less again, though what fills its last slot raises its ceiling.
    assert!(twice <= 0.8 * once, "{twice} of {once}");
}

/// An observation never lowers a ceiling below the occupied slots: small fleets learn about these on their own.
#[test]
fn a_reported_drop_takes_free_slots_only() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    for _ in 0..3 {
        harness.place();
    }
    harness.handle(Event::PeerObservation { server: ServerId(1), took: None });
    assert_eq!((harness.occupied_slots(1), harness.ceiling(1)), (3.0, 3.5));
}

#[test]
fn an_invalid_observation_changes_nothing() {
    let mut harness = Harness::new(settings(), &endpoints(2));
    harness.handle(Event::PeerObservation { server: ServerId(77), took: Some(300 * MS) });
    harness.handle(Event::PeerObservation { server: ServerId(1), took: Some(Micros::ZERO) });
    assert_eq!((harness.ceiling(1), harness.ceiling(2)), (4.0, 4.0));
}

proptest! {
    #[test]
    fn reads_messages_as_written_and_nothing_else(
        server: Option<u32>,
        dropped: bool,
        ms in 0..200_000u64,
        marks in proptest::collection::vec(any::<u16>(), 0..=MAX_SAMPLED_GROUPS),
        junk: Vec<u8>,
    ) {
        let message = |ms| GossipMessage {
            observation: server.map_or(Observation::SlowSetUps, |server| match dropped {
                true => Observation::Dropped(ServerId(server)),
                false => slow(server, ms),
            }),
            groups: std::array::from_fn(|n| marks.get(n).copied().map(GroupHash)),
        };
        let bytes = encode(message(ms));
        prop_assert!(bytes.len() <= 16 && bytes.len() <= MAX_DATAGRAM_LENGTH, "longer ones cost more");
        prop_assert_eq!(decode(&bytes), Some(message(ms.min(65_535))));
        for cut in 0..bytes.len() {
            prop_assert_eq!(decode(&bytes[..cut]), None);
        }
        prop_assert!(junk.first().is_some_and(|kind| b"1234".contains(kind)) || decode(&junk).is_none());
    }
}
