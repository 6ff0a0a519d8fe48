//! The replicated map: a model under loss, reordering and restarts, and two daemons that share one.

use std::collections::BTreeMap;

use connection_balancer::protocol::replica_messages;
use connection_balancer::routing::store::{Entry, ReplicaMessage, ReplicatedMap};
use connection_balancer::routing::{server_id, LogEvent};
use connection_balancer::ServerId;
use proptest::prelude::*;

use crate::fake_servers::{wait_until, Behaviour, Client, Daemon, Server};

fn entries_of(store: &ReplicatedMap) -> BTreeMap<String, Entry> {
    store.entries().map(|(key, entry)| (key.clone(), entry.clone())).collect()
}

/// The message as another replica reads it from the wire; it must fit a datagram.
fn over_the_wire(gossip: &ReplicaMessage) -> ReplicaMessage {
    let bytes = replica_messages::encode(gossip).expect("fits a datagram");
    assert!(bytes.len() <= replica_messages::MAX_DATAGRAM_LENGTH);
    replica_messages::decode(&bytes).expect("reads back")
}

/// Two replicas send each other their digests, and the missing entries; those for which `lost` holds are lost.
fn exchange(stores: &mut [ReplicatedMap], a: usize, b: usize, lost: impl Fn(usize) -> bool) {
    let digest = |store: &ReplicatedMap| match over_the_wire(&ReplicaMessage::Digest {
        wanted: true,
        buckets: store.digest(),
    }) {
        ReplicaMessage::Digest { buckets, .. } => buckets,
        other => panic!("{other:?}"),
    };
    for (from, to) in [(a, b), (b, a)] {
        let theirs = digest(&stores[from]);
        let mut sent = stores[to].repair(&theirs);
        sent.reverse();
        for (n, gossip) in sent.iter().enumerate().filter(|(n, _)| !lost(*n)) {
            let ReplicaMessage::Entry { key, entry } = over_the_wire(gossip) else {
                panic!("{n}: {gossip:?}")
            };
            stores[from].merge_remote_entry(&key, entry);
        }
    }
}

proptest! {
    /// Whatever is written, lost, reordered and forgotten, as long as messages go on.
    #[test]
    fn replicas_converge(steps in prop::collection::vec((0u8..6, 0usize..3, 0usize..3, 0usize..40, any::<u8>()), 1..120)) {
        let name = |n: usize| format!("node-{n}");
        let mut stores: Vec<ReplicatedMap> = (0..3).map(|n| ReplicatedMap::new(&name(n))).collect();
        for (what, a, b, key, bits) in steps {
            let key = format!("life/host-{key}");
            match what {
                0..=1 => drop(stores[a].write(&key, Some(&"v".repeat(usize::from(bits) % 97)))),
                2 => drop(stores[a].write(&key, None)),
                3 if bits < 40 => stores[a] = ReplicatedMap::new(&name(a)),
                _ if a != b => exchange(&mut stores, a, b, |n| bits >> (n % 8) & 1 == 1),
                _ => {}
            }
        }
        let mut rounds = 0;
        while !stores.windows(2).all(|pair| entries_of(&pair[0]) == entries_of(&pair[1])) {
            for (a, b) in [(0, 1), (1, 2), (2, 0)] {
                exchange(&mut stores, a, b, |_| false);
            }
            rounds += 1;
            prop_assert!(rounds < 60, "does not converge");
        }
        prop_assert_eq!(stores[0].digest(), stores[2].digest());
    }

    /// In whichever order the two entries arrive.
    #[test]
    fn the_last_writer_wins(a in (1u64..4, 0usize..3, any::<bool>()), b in (1u64..4, 0usize..3, any::<bool>())) {
        let entry = |(counter, node, value): (u64, usize, bool)| Entry {
            counter, node: format!("n{node}"), value: value.then(|| "draining".to_owned()),
        };
        let mut stores = [ReplicatedMap::new("x"), ReplicatedMap::new("y")];
        for (store, order) in stores.iter_mut().zip([[a, b], [b, a]]) {
            for one in order {
                store.merge_remote_entry("life/h", entry(one));
            }
        }
        prop_assert_eq!(entries_of(&stores[0]), entries_of(&stores[1]));
        prop_assert_eq!(&entries_of(&stores[0])["life/h"], &entry(a).max(entry(b)));
    }

    /// Whatever entry is taken from a datagram, the map can still be written.
    #[test]
    fn reads_or_ignores_any_datagram(bytes in prop::collection::vec(any::<u8>(), 0..256), kind in prop::sample::select(b"DEW".to_vec())) {
        let bytes = [b"SGM1", &[kind][..], &bytes].concat();
        if let Some(ReplicaMessage::Entry { key, entry }) = replica_messages::decode(&bytes) {
            let mut store = ReplicatedMap::new("n");
            store.merge_remote_entry(&key, entry);
            prop_assert!(store.write("life/h", None).is_ok(), "writing has to go on");
        }
    }
}

/// A replica that restarted from nothing counts from the start: what an operator writes there must not lose to what was
/// written before.
#[test]
fn a_write_after_a_restart_from_nothing_wins() {
    let mut stores = [ReplicatedMap::new("a"), ReplicatedMap::new("b"), ReplicatedMap::new("c")];
    for _ in 0..9 {
        stores[1].write("life/h", None).expect("fits");
    }
    (0..2).for_each(|_| exchange(&mut stores, 1, 2, |_| false));
    stores[0].write("life/h", Some("draining")).expect("fits");
    for _ in 0..3 {
        exchange(&mut stores, 0, 1, |_| false);
    }
    assert_eq!([stores[0].get("life/h"), stores[1].get("life/h")], [Some("draining"); 2]);
}

#[test]
fn rejects_entries_that_do_not_fit_a_datagram() {
    let mut store = ReplicatedMap::new("n");
    assert!(store.write(&"k".repeat(73), None).is_err());
    assert!(store.write("k", Some(&"v".repeat(97))).is_err());
    let longest = store.write(&"k".repeat(72), Some(&"v".repeat(96))).expect("fits");
    let entry = Entry { node: "n".repeat(32), ..longest };
    over_the_wire(&ReplicaMessage::Entry { key: "k".repeat(72), entry });
}

#[test]
fn shares_an_exclusion_with_the_other_daemon_and_keeps_it_over_a_restart() {
    let server = Server::start(Behaviour::Welcome);
    // Loopback addresses that no other process uses: daemons have to know each other's beforehand.
    let id = std::process::id();
    let store = |n: u32| format!("127.{}.{}.{n}:7946", 1 + id / 256 % 250, id % 256);
    let data = std::env::temp_dir().join(format!("connection-balancer-store-{id}"));
    let config = |n: u32, peer: u32, more: &str| {
        format!(
            r#"{{"listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "name": "front{n}.test", "drain_over_ms": 200,
                "hosts": [{{"name": "irc-0", "address": "{}"}}],
                "store": {{"node": "n{n}", "listen": "{}", "peers": ["{}"] {more}}}}}"#,
            server.address,
            store(n),
            store(peer)
        )
    };
    let kept = config(1, 2, &format!(", \"data\": \"{}\"", data.display()));
    let first = Daemon::start(&kept, None);
    let second = Daemon::start(&config(2, 1, ""), None);
    let mut client = Client::register(&second.irc, "rosa");
    client.expect_line("001 rosa");
    first.exclude("irc-0");
    client.expect_line(" 010 rosa ");
    Client::register(&first.irc, "rosa").expect_line(" 263 rosa ");
    // The one with a data folder restores it; the other receives it from there.
    drop(first);
    drop(second);
    let second = Daemon::start(&config(2, 1, ""), None);
    let _first = Daemon::start(&kept, None);
    let stored = LogEvent::EntryStored {
        key: "life/irc-0".to_owned(),
        value: "draining".to_owned(),
        node: "n1".to_owned(),
    };
    second.log_line(&stored.to_string());
    Client::register(&second.irc, "rosa").expect_line(" 263 rosa ");
    wait_until("the folder is there", || data.join("store.journal").exists());
    let _ = std::fs::remove_dir_all(&data);
}

/// Replicas of different versions compare their digests, so the bytes must not change.
#[test]
fn the_digest_of_known_entries_keeps_its_bytes() {
    let mut store = ReplicatedMap::new("node-1");
    store.write("limit/connections", Some("500")).expect("fits");
    store.write("life/s-1", Some("draining")).expect("fits");
    store.write("life/s-1", None).expect("fits");

    let mut expected = [0; 16];
    expected[4] = 0x611a_a67e_c5bf_0c82;
    expected[13] = 0x51a6_a332_4768_74b8;
    assert_eq!(store.digest(), expected);
}

/// The entries that repair a digest are drawn anew for each, from the same series in every process.
#[test]
fn the_entries_sent_for_a_digest_begin_at_the_same_places() {
    let mut store = ReplicatedMap::new("node-1");
    for number in 0..50 {
        store.write(&format!("key/{number:02}"), Some("value")).expect("fits");
    }
    let empty = ReplicatedMap::new("node-2").digest();

    let first_keys = [(); 6].map(|()| match store.repair(&empty).first() {
        Some(ReplicaMessage::Entry { key, .. }) => key.clone(),
        other => panic!("{other:?}"),
    });

    assert_eq!(first_keys.join(" "), "key/00 key/07 key/24 key/37 key/36 key/25");
}

/// Balancers place groups alike only if all of them number the servers alike.
#[test]
fn servers_keep_their_numbers() {
    assert_eq!(server_id("s-5be2a07c"), ServerId(0x5be2_a07c));
    // Reference values of FNV-1a with 32 bits.
    assert_eq!(server_id(""), ServerId(0x811c_9dc5));
    assert_eq!(server_id("a"), ServerId(0xe40c_292c));
    assert_eq!(server_id("foobar"), ServerId(0xbf9c_f968));
}
