//! Replicas of the map that start while others run. A replica must have the entries that it missed before it
//! reports that it is ready.

use std::net::UdpSocket;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use connection_balancer::protocol::replica_messages;
use connection_balancer::routing::store::ReplicaMessage;
use connection_balancer::routing::LogEvent;

use crate::fake_servers::{wait_until, Client, Daemon, FakeIrcServer, RegistrationReply, MAX_WAIT};

/// Number of further keys of the map. An answer to a digest has a few of them only, so that a replica that
/// does not catch up has most of them late.
const FURTHER_KEYS: usize = 200;
/// Time in which each node exchanges a digest with each other one. A node sends two digests a second.
const EXCHANGE_TIME: Duration = Duration::from_millis(1500);
/// Key whose value `draining` excludes the only server.
const EXCLUSION_KEY: &str = "life/irc-0";

/// Three balancers of one tier, whose replicas exchange messages on fixed addresses.
struct Tier {
    server: FakeIrcServer,
    /// Numbers of the loopback network that only this tier uses.
    network: (u32, u32),
    /// Folder with the data of the replicas; `None` if the map is kept in memory.
    data: Option<PathBuf>,
}

impl Tier {
    fn new(has_data_folder: bool) -> Tier {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let (process, count) = (std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let data = std::env::temp_dir().join(format!("connection-balancer-tier-{process}-{count}"));
        Tier {
            server: FakeIrcServer::start(RegistrationReply::Welcome),
            network: (1 + process / 256 % 250, process % 256),
            data: has_data_folder.then_some(data),
        }
        .with_network_of(count)
    }

    /// Keeps the tiers of different tests in one process apart.
    fn with_network_of(mut self, count: u32) -> Tier {
        self.network.0 = (self.network.0 + count * 50) % 250 + 1;
        self
    }

    fn address(&self, node: u32) -> String {
        format!("127.{}.{}.{}:7947", self.network.0, self.network.1, node)
    }

    /// Starts a node. Its peers are listed in the order of their numbers.
    fn start(&self, node: u32) -> Daemon {
        let peers: Vec<String> =
            (1..=3).filter(|&peer| peer != node).map(|peer| format!("\"{}\"", self.address(peer))).collect();
        let data = self.data.as_ref().map_or(String::new(), |folder| {
            format!(r#", "data": "{}""#, folder.join(node.to_string()).display())
        });
        let config = format!(
            r#"{{"listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "name": "front{node}.test", "drain_over_ms": 200,
                "hosts": [{{"name": "irc-0", "address": "{}"}}],
                "store": {{"node": "n{node}", "listen": "{}", "peers": [{}] {data}}}}}"#,
            self.server.address,
            self.address(node),
            peers.join(", "),
        );
        Daemon::start(&config, None)
    }

    /// Writes a key at a node, or deletes it if `value` is none, and waits for the acknowledgement.
    fn write(&self, node: u32, key: &str, value: Option<&str>) {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("the socket binds");
        socket.set_read_timeout(Some(MAX_WAIT)).expect("the timeout is set");
        let write = ReplicaMessage::Write { key: key.to_owned(), value: value.map(str::to_owned) };
        let bytes = replica_messages::encode(&write).expect("the message fits a datagram");
        socket.send_to(&bytes, self.address(node)).expect("the message is sent");
        let mut reply = [0; replica_messages::MAX_DATAGRAM_LENGTH];
        let length = socket.recv(&mut reply).expect("the write is acknowledged");
        let reply = replica_messages::decode(&reply[..length]).expect("the reply is valid");
        assert!(matches!(reply, ReplicaMessage::Entry { .. }), "{reply:?}");
    }

    fn write_further_keys(&self, node: u32) {
        for number in 0..FURTHER_KEYS {
            self.write(node, &format!("note/{number}"), Some("value"));
        }
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        if let Some(folder) = &self.data {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}

fn wait_until_ready(daemon: &Daemon) {
    wait_until("the daemon is ready", || daemon.admin_call("readyz").starts_with("YES"));
}

/// Returns the log line of the server's exclusion by a node.
fn exclusion_by(node: &str) -> String {
    let (key, value) = (EXCLUSION_KEY.to_owned(), "draining".to_owned());
    LogEvent::EntryStored { key, value, node: node.to_owned() }.to_string()
}

/// Returns whether the balancer uses the only server for a new client.
fn uses_server(daemon: &Daemon) -> bool {
    let answer = Client::register(&daemon.irc_address, "rosa").expect_line(" rosa ");
    !answer.contains(" 263 ")
}

/// Two of three nodes are killed and restarted while the third one is written. A write that one of them
/// accepted once it was ready was lost to an older entry of the third one, since the first message of the
/// other restarted node counted as contact with the tier.
#[test]
fn a_write_after_a_restart_is_not_lost_to_older_entries() {
    let tier = Tier::new(true);
    let third = tier.start(3);
    drop([tier.start(1), tier.start(2)]);
    tier.write_further_keys(3);
    tier.write(3, EXCLUSION_KEY, None);

    let [first, second] = [1, 2].map(|node| tier.start(node));
    wait_until_ready(&first);
    tier.write(1, EXCLUSION_KEY, Some("draining"));

    for daemon in [&third, &second, &first] {
        wait_until("the exclusion is in force", || !uses_server(daemon));
    }
    std::thread::sleep(EXCHANGE_TIME);
    assert!(![&first, &second, &third].into_iter().any(uses_server), "the exclusion was overwritten");
}

/// The nodes of a tier without data folders are restarted one after another, each when the one before is
/// ready. A node was ready before it had the entries of the others, so that the last copy of an exclusion was
/// lost.
#[test]
fn entries_in_memory_survive_a_restart_of_one_node_after_another() {
    let tier = Tier::new(false);
    let mut nodes = [1, 2, 3].map(|node| tier.start(node));
    tier.write_further_keys(1);
    tier.write(1, EXCLUSION_KEY, Some("draining"));
    wait_until("the exclusion is in force at all nodes", || !nodes.iter().any(uses_server));

    for (index, node) in (1..).enumerate().take(nodes.len()) {
        nodes[index].signal("-KILL");
        nodes[index].wait_for_exit();
        nodes[index] = tier.start(node);
        wait_until_ready(&nodes[index]);
    }

    assert!(!nodes.iter().any(uses_server), "the excluded server is used");
}

/// A node is replaced by a hot restart, and readmits a server. Another node follows and excludes the server
/// again. The first node wrote its readmission a second time, over the later exclusion, as long as it had not
/// heard another node since its start.
#[test]
fn a_write_after_a_hot_restart_is_not_repeated_over_a_later_one() {
    let tier = Tier::new(false);
    let [first, second, _third] = [1, 2, 3].map(|node| tier.start(node));
    first.exclude("irc-0");
    second.log_line(&exclusion_by("n1"));

    let successor = first.start_successor();
    wait_until_ready(&successor);
    assert_eq!(successor.admin_call("include irc-0"), "YES\r\n");
    let readmission = LogEvent::EntryDeleted { key: EXCLUSION_KEY.to_owned(), node: "n1".to_owned() };
    second.log_line(&readmission.to_string());
    second.exclude("irc-0");
    successor.log_line(&exclusion_by("n2"));
    std::thread::sleep(EXCHANGE_TIME);

    assert!(![&successor, &second].into_iter().any(uses_server), "the later exclusion was overwritten");
}
