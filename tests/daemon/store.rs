//! The replicated map: replicas that exchange messages with loss, reordering and restarts, and two daemons
//! that share one map.

use std::collections::BTreeMap;

use connection_balancer::protocol::replica_messages;
use connection_balancer::routing::store::{Entry, ReplicaMessage, ReplicatedMap};
use connection_balancer::routing::{server_id, LogEvent};
use connection_balancer::ServerId;
use proptest::prelude::*;

use crate::fake_servers::{wait_until, Client, Daemon, FakeIrcServer, RegistrationReply};

fn entries_of(map: &ReplicatedMap) -> BTreeMap<String, Entry> {
    map.entries().map(|(key, entry)| (key.clone(), entry.clone())).collect()
}

/// Encodes a message, which must fit a datagram, and decodes it as another replica does.
fn encode_and_decode(message: &ReplicaMessage) -> ReplicaMessage {
    let bytes = replica_messages::encode(message).expect("the message fits a datagram");
    assert!(bytes.len() <= replica_messages::MAX_DATAGRAM_LENGTH);
    replica_messages::decode(&bytes).expect("the message is valid")
}

/// Exchanges the digests of replicas `a` and `b` and the entries that differ. The messages whose index
/// `is_lost` accepts are dropped.
fn exchange(replicas: &mut [ReplicatedMap], a: usize, b: usize, is_lost: impl Fn(usize) -> bool) {
    let digest = |map: &ReplicatedMap| match encode_and_decode(&ReplicaMessage::Digest {
        digest_requested: true,
        digest: map.digest(),
    }) {
        ReplicaMessage::Digest { digest, .. } => digest,
        other => panic!("{other:?}"),
    };
    for (receiver, sender) in [(a, b), (b, a)] {
        let received_digest = digest(&replicas[receiver]);
        let mut repairs = replicas[sender].answer_digest(&received_digest);
        repairs.reverse();
        for (n, message) in repairs.iter().enumerate().filter(|(n, _)| !is_lost(*n)) {
            let ReplicaMessage::Entry { key, entry } = encode_and_decode(message) else {
                panic!("{n}: {message:?}")
            };
            replicas[receiver].merge_remote_entry(&key, entry);
        }
    }
}

proptest! {
    /// Writes, deletions, lost and reordered messages and restarts without data must not keep replicas from
    /// converging, as long as messages continue to arrive.
    #[test]
    fn replicas_converge(steps in prop::collection::vec((0u8..6, 0usize..3, 0usize..3, 0usize..40, any::<u8>()), 1..120)) {
        let name = |n: usize| format!("node-{n}");
        let mut replicas: Vec<ReplicatedMap> = (0..3).map(|n| ReplicatedMap::new(&name(n))).collect();
        for (action, a, b, key, bits) in steps {
            let key = format!("life/host-{key}");
            match action {
                0..=1 => drop(replicas[a].write(&key, Some(&"v".repeat(usize::from(bits) % 97)))),
                2 => drop(replicas[a].write(&key, None)),
                3 if bits < 40 => replicas[a] = ReplicatedMap::new(&name(a)),
                _ if a != b => exchange(&mut replicas, a, b, |n| bits >> (n % 8) & 1 == 1),
                _ => {}
            }
        }
        let mut rounds = 0;
        while !replicas.windows(2).all(|pair| entries_of(&pair[0]) == entries_of(&pair[1])) {
            for (a, b) in [(0, 1), (1, 2), (2, 0)] {
                exchange(&mut replicas, a, b, |_| false);
            }
            rounds += 1;
            prop_assert!(rounds < 60, "not converged after {rounds} rounds of exchanges without loss");
        }
        prop_assert_eq!(replicas[0].digest(), replicas[2].digest());
    }

    /// The order in which two entries of a key arrive must not change the result.
    #[test]
    fn the_last_writer_wins(a in (1u64..4, 0usize..3, any::<bool>()), b in (1u64..4, 0usize..3, any::<bool>())) {
        let entry = |(counter, node, value): (u64, usize, bool)| Entry {
            counter, node: format!("n{node}"), value: value.then(|| "draining".to_owned()),
        };
        let mut replicas = [ReplicatedMap::new("x"), ReplicatedMap::new("y")];
        for (map, order) in replicas.iter_mut().zip([[a, b], [b, a]]) {
            for fields in order {
                map.merge_remote_entry("life/h", entry(fields));
            }
        }
        prop_assert_eq!(entries_of(&replicas[0]), entries_of(&replicas[1]));
        prop_assert_eq!(&entries_of(&replicas[0])["life/h"], &entry(a).max(entry(b)));
    }

    /// After any entry that is accepted from a datagram, the map must still be writable.
    #[test]
    fn reads_or_ignores_any_datagram(bytes in prop::collection::vec(any::<u8>(), 0..256), kind in prop::sample::select(b"DEW".to_vec())) {
        let bytes = [b"SGM1", &[kind][..], &bytes].concat();
        if let Some(ReplicaMessage::Entry { key, entry }) = replica_messages::decode(&bytes) {
            let mut map = ReplicatedMap::new("n");
            map.merge_remote_entry(&key, entry);
            prop_assert!(map.write("life/h", None).is_ok(), "the map can no longer be written");
        }
    }
}

/// A replica that restarts without data counts from the start again. An operator's write there must take
/// precedence over entries from before the restart.
#[test]
fn a_write_after_a_restart_without_data_wins() {
    let mut replicas = [ReplicatedMap::new("a"), ReplicatedMap::new("b"), ReplicatedMap::new("c")];
    for _ in 0..9 {
        replicas[1].write("life/h", None).expect("the entry fits");
    }
    (0..2).for_each(|_| exchange(&mut replicas, 1, 2, |_| false));
    // A replica that has caught up with another one knows that its entries are the latest.
    replicas[1].confirm_writes();
    replicas[0].write("life/h", Some("draining")).expect("the entry fits");
    for _ in 0..3 {
        exchange(&mut replicas, 0, 1, |_| false);
    }
    assert_eq!([replicas[0].get("life/h"), replicas[1].get("life/h")], [Some("draining"); 2]);
}

#[test]
fn rejects_entries_that_do_not_fit_a_datagram() {
    let mut map = ReplicatedMap::new("n");
    assert!(map.write(&"k".repeat(73), None).is_err());
    assert!(map.write("k", Some(&"v".repeat(97))).is_err());
    let longest_entry = map.write(&"k".repeat(72), Some(&"v".repeat(96))).expect("the entry fits");
    let entry = Entry { node: "n".repeat(32), ..longest_entry };
    encode_and_decode(&ReplicaMessage::Entry { key: "k".repeat(72), entry });
}

#[test]
fn shares_an_exclusion_with_the_other_daemon_and_keeps_it_over_a_restart() {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    // Daemons need each other's addresses before they start, so these are loopback addresses that no other
    // process uses.
    let id = std::process::id();
    let store_address = |n: u32| format!("127.{}.{}.{n}:7946", 1 + id / 256 % 250, id % 256);
    let data_folder = std::env::temp_dir().join(format!("connection-balancer-store-{id}"));
    let config = |n: u32, peer: u32, store_members: &str| {
        format!(
            r#"{{"listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "name": "front{n}.test", "drain_over_ms": 200,
                "hosts": [{{"name": "irc-0", "address": "{}"}}],
                "store": {{"node": "n{n}", "listen": "{}", "peers": ["{}"] {store_members}}}}}"#,
            server.address,
            store_address(n),
            store_address(peer)
        )
    };
    let first_config = config(1, 2, &format!(", \"data\": \"{}\"", data_folder.display()));
    let first = Daemon::start(&first_config, None);
    let second = Daemon::start(&config(2, 1, ""), None);
    let mut client = Client::register(&second.irc_address, "rosa");
    client.expect_line("001 rosa");
    first.exclude("irc-0");
    client.expect_line(" 010 rosa ");
    Client::register(&first.irc_address, "rosa").expect_line(" 263 rosa ");
    // The daemon with a data folder restores the exclusion. The other one receives it from there.
    drop(first);
    drop(second);
    let second = Daemon::start(&config(2, 1, ""), None);
    let _first = Daemon::start(&first_config, None);
    let stored = LogEvent::EntryStored {
        key: "life/irc-0".to_owned(),
        value: "draining".to_owned(),
        node: "n1".to_owned(),
    };
    second.log_line(&stored.to_string());
    Client::register(&second.irc_address, "rosa").expect_line(" 263 rosa ");
    wait_until("the journal is written", || data_folder.join("store.journal").exists());
    let _ = std::fs::remove_dir_all(&data_folder);
}

/// Replicas of different versions compare their digests, so the digest of an entry must not change.
#[test]
fn the_digest_of_given_entries_is_unchanged() {
    let mut map = ReplicatedMap::new("node-1");
    map.write("limit/connections", Some("500")).expect("the entry fits");
    map.write("life/s-1", Some("draining")).expect("the entry fits");
    map.write("life/s-1", None).expect("the entry fits");

    let mut expected = [0; 16];
    expected[4] = 0x611a_a67e_c5bf_0c82;
    expected[13] = 0x51a6_a332_4768_74b8;
    assert_eq!(map.digest(), expected);
}

/// The first entry that is sent for a digest is drawn at random for each digest. All processes draw the same
/// sequence.
#[test]
fn repairs_start_at_the_same_sequence_of_entries() {
    let mut map = ReplicatedMap::new("node-1");
    for number in 0..50 {
        map.write(&format!("key/{number:02}"), Some("value")).expect("the entry fits");
    }
    let empty_digest = ReplicatedMap::new("node-2").digest();

    let first_keys = [(); 6].map(|()| match map.answer_digest(&empty_digest).first() {
        Some(ReplicaMessage::Entry { key, .. }) => key.clone(),
        other => panic!("{other:?}"),
    });

    assert_eq!(first_keys.join(" "), "key/00 key/07 key/24 key/37 key/36 key/25");
}

/// Balancers place groups at the same servers only if all of them assign the same ids to servers.
#[test]
fn server_ids_are_unchanged() {
    assert_eq!(server_id("s-5be2a07c"), ServerId(0x5be2_a07c));
    // Reference values of FNV-1a with 32 bits.
    assert_eq!(server_id(""), ServerId(0x811c_9dc5));
    assert_eq!(server_id("a"), ServerId(0xe40c_292c));
    assert_eq!(server_id("foobar"), ServerId(0xbf9c_f968));
}
