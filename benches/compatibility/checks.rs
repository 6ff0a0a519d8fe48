//! The checks. Each covers one interface between two builds: settings, stored files, messages or commands.

use std::path::{Path, PathBuf};

use crate::fake_servers::{free_tcp_address, free_udp_address, serves_irc, wait_until, Client, FakeServer};
use crate::process::{run, Addresses, Daemon, Folder};

/// The builds of one direction. The first writes, sends or serves; the second reads, receives or takes over.
#[derive(Clone)]
pub(crate) struct Builds {
    pub(crate) first: PathBuf,
    pub(crate) second: PathBuf,
}

type Check = fn(&Builds);

/// All checks, with their printed names.
pub(crate) const CHECKS: [(&str, Check); 8] = [
    ("settings of deploy/ and of the platform", reads_the_same_settings),
    ("data folder with entries and exclusions", restores_a_data_folder),
    ("file of exclusions without a replicated map", restores_the_file_of_exclusions),
    ("pcap recording", replays_a_recording),
    ("gossip", applies_gossip),
    ("replicated map", shares_the_replicated_map),
    ("hot restart", transfers_state_in_a_hot_restart),
    ("command line", answers_commands),
];

const FIRST_SERVER: &str = "s-00000001";
const SECOND_SERVER: &str = "s-00000002";
/// Number of platform connections that are established before a hot restart.
const ESTABLISHED_CONNECTIONS: usize = 8;

/// Returns settings of the platform's front, with a cached endpoint list and the address of a discovery
/// service that is down. `extra_keys` are additional top-level keys.
fn platform_settings(addresses: Addresses, servers: &[&FakeServer], extra_keys: &str) -> String {
    let ids = [FIRST_SERVER, SECOND_SERVER];
    let instance = |(id, server): (&&str, &&FakeServer)| {
        let address = server.address;
        format!(r#"{{"instanceId": "{id}", "hostPort": "{address}", "lifecycle": "ready", "weight": 1.0}}"#)
    };
    let instances: Vec<String> = ids.iter().zip(servers).map(instance).collect();
    format!(
        r#"{{"name": "n0", "listen": "{}", "mgmt": "{}", "discovery": "{}", "seed": "5", {extra_keys}
            "known": {{"generation": 1, "reset": true, "instances": [{}]}},
            "settings": {{"balancers": 2, "zones": ["a"], "family-info": {{"tells-delay": true, "message-aim": [100]}},
              "classes": [{{"name": "chat", "deadline": 9000, "objective": 800, "repeat": "repeatable"}}],
              "limits": {{"connect-timeout": 2000, "try-limit": 6, "retry-after": true, "peers": true}}}}}}"#,
        addresses.platform,
        addresses.mgmt,
        free_tcp_address(),
        instances.join(", ")
    )
}

/// Returns settings of the IRC front. `extra_keys` are additional top-level keys.
fn irc_settings(addresses: Addresses, servers: &[&FakeServer], extra_keys: &str) -> String {
    let host = |(number, server): (usize, &&FakeServer)| {
        format!(r#"{{"name": "irc-{number}", "address": "{}"}}"#, server.address)
    };
    let hosts: Vec<String> = servers.iter().enumerate().map(host).collect();
    format!(
        r#"{{"listen": "{}", "mgmt": "{}", "name": "front.test", "drain_over_ms": 200, "hosts": [{}] {extra_keys}}}"#,
        addresses.irc,
        addresses.mgmt,
        hosts.join(", ")
    )
}

/// Starts a daemon with only the IRC front.
fn start_irc(program: &Path, folder: &Folder, addresses: Addresses, settings: &str) -> Daemon {
    let file = folder.write("irc.json", settings);
    Daemon::start(program, folder, addresses, &[Path::new("--irc"), &file])
}

/// Starts a daemon with only the platform's front.
fn start_platform(program: &Path, folder: &Folder, addresses: Addresses, settings: &str) -> Daemon {
    let file = folder.write("config.json", settings);
    Daemon::start(program, folder, addresses, &[Path::new("--config"), &file])
}

/// Checks that both builds accept the operators' files and a configuration of the platform, and that their
/// `check` commands print the same.
fn reads_the_same_settings(builds: &Builds) {
    let folder = Folder::create();
    let server = FakeServer::start();
    let platform = folder.write("config.json", &platform_settings(Addresses::free(), &[&server], ""));
    let platform = platform.to_str().expect("the path is UTF-8");
    let arguments =
        ["check", "--config", platform, "--irc", "deploy/irc.json", "--rebalance", "deploy/rebalance.json"];
    assert_eq!(run(&builds.first, &arguments), run(&builds.second, &arguments));
}

/// Checks that a process restores the entries and exclusions in the data folder of the other build.
fn restores_a_data_folder(builds: &Builds) {
    let folder = Folder::create();
    let addresses = Addresses::free();
    let replica = free_udp_address();
    let (configured_server, stored_server) = (FakeServer::start(), FakeServer::start());
    let data = folder.file("data");
    let store = format!(
        r#", "store": {{"node": "n1", "listen": "{replica}", "peers": [], "data": "{}"}}"#,
        data.display()
    );
    let settings = irc_settings(addresses, &[&configured_server], &store);

    let first = start_irc(&builds.first, &folder, addresses, &settings);
    let replica = replica.to_string();
    run(&builds.first, &["set", "host/irc-9", &stored_server.address.to_string(), "--store", &replica]);
    first.admin_command(&builds.first, &["exclude", "irc-0"]);
    drop(first);
    let second = start_irc(&builds.second, &folder, addresses, &settings);

    assert!(serves_irc(second.addresses.irc), "the server of the stored entry is not used");
    assert_eq!(configured_server.received_lines(), 0, "the excluded server is used");
    assert!(stored_server.received_lines() > 0);
}

/// Checks that a process without a replicated map restores the exclusions of a killed process of the other
/// build.
fn restores_the_file_of_exclusions(builds: &Builds) {
    let folder = Folder::create();
    let addresses = Addresses::free();
    let servers = [FakeServer::start(), FakeServer::start()];
    let settings = platform_settings(addresses, &[&servers[0], &servers[1]], "");

    let first = start_platform(&builds.first, &folder, addresses, &settings);
    first.wait_until_ready(&builds.first);
    first.admin_command(&builds.first, &["exclude", FIRST_SERVER]);
    drop(first);
    let second = start_platform(&builds.second, &folder, addresses, &settings);
    second.wait_until_ready(&builds.second);

    assert_eq!(second.metric(&builds.second, "ejected"), 1);
    assert_eq!(Client::open(addresses.platform).1, "UP 1");
    assert_eq!(servers[0].received_lines(), 0, "the excluded server is used");
}

/// Checks that one build replays a recording of the other build.
fn replays_a_recording(builds: &Builds) {
    let folder = Folder::create();
    let addresses = Addresses::free();
    let server = FakeServer::start();
    let settings = folder.write("irc.json", &irc_settings(addresses, &[&server], ""));
    let capture = folder.file("front.pcap");

    let arguments = [Path::new("--irc"), &settings, Path::new("--record"), &capture];
    let first = Daemon::start(&builds.first, &folder, addresses, &arguments);
    let (mut client, answer) = Client::register(addresses.irc, "pia");
    assert!(answer.contains(" 001 "), "{answer}");
    client.expect_echo("PRIVMSG #a :recorded");
    drop(client);
    let is_recorded =
        || std::fs::read(&capture).is_ok_and(|bytes| bytes.windows(8).any(|part| part == b"recorded"));
    wait_until("the client's line is recorded", is_recorded);
    first.terminate();
    let lines_before_replay = server.received_lines();
    let paths = [&capture, &settings].map(|path| path.to_str().expect("the path is UTF-8"));
    let port = addresses.irc.port().to_string();
    run(&builds.second, &["replay", paths[0], "--config", paths[1], "--front", "irc", "--port", &port]);

    assert_eq!(
        server.received_lines() - lines_before_replay,
        3,
        "the replay does not send exactly NICK, USER and PRIVMSG"
    );
}

/// Checks that a balancer stops choosing a server for which a peer of the other build observed slow messages.
fn applies_gossip(builds: &Builds) {
    let server = FakeServer::start();
    let gossip = [free_udp_address(), free_udp_address()];
    let start = |program: &Path, folder: &Folder, own: usize| {
        let (own, peer) = (gossip[own], gossip[1 - own]);
        let peers =
            format!(r#""peer_listen": "{own}", "peers_all": "{peer}", "peers": ["{own}", "{peer}"],"#);
        let addresses = Addresses::free();
        let daemon =
            start_platform(program, folder, addresses, &platform_settings(addresses, &[&server], &peers));
        daemon.wait_until_ready(program);
        daemon
    };
    let folders = [Folder::create(), Folder::create()];
    let first = start(&builds.first, &folders[0], 0);
    let second = start(&builds.second, &folders[1], 1);
    assert_eq!(
        Client::open(second.addresses.platform).1,
        "UP 1",
        "the server is not used before the observation"
    );

    // The server echoes two load reports: the load of the connection, then a message time of four times the
    // objective.
    let (mut client, answer) = Client::open(first.addresses.platform);
    assert_eq!(answer, "UP 1");
    client.expect_echo("LOAD 90000");
    client.expect_echo("LOAD 400");

    wait_until("the peer rejects new clients", || {
        Client::open(second.addresses.platform).1.starts_with("BUSY")
    });
}

/// Checks that writes at each of two replicas take effect at the other, and that a replica that restarts
/// without data is repaired.
fn shares_the_replicated_map(builds: &Builds) {
    let server = FakeServer::start();
    let replicas = [free_udp_address(), free_udp_address()];
    let folders = [Folder::create(), Folder::create()];
    let start = |program: &Path, own: usize| {
        let (listen, peer) = (replicas[own], replicas[1 - own]);
        let store = format!(r#", "store": {{"node": "n{own}", "listen": "{listen}", "peers": ["{peer}"]}}"#);
        let addresses = Addresses::free();
        start_irc(program, &folders[own], addresses, &irc_settings(addresses, &[], &store))
    };
    let first = start(&builds.first, 0);
    let second = start(&builds.second, 1);
    assert!(!serves_irc(second.addresses.irc), "a client is served although no server is configured");

    let replica = replicas[0].to_string();
    run(&builds.first, &["set", "host/irc-9", &server.address.to_string(), "--store", &replica]);
    wait_until("a write at the first replica takes effect at the second", || {
        serves_irc(second.addresses.irc)
    });
    second.admin_command(&builds.second, &["exclude", "irc-9"]);
    wait_until("a write at the second replica takes effect at the first", || {
        !serves_irc(first.addresses.irc)
    });
    second.admin_command(&builds.second, &["include", "irc-9"]);
    wait_until("the readmission takes effect at the first replica", || serves_irc(first.addresses.irc));
    drop(first);
    let restarted = start(&builds.first, 0);
    wait_until("the restarted replica is repaired", || serves_irc(restarted.addresses.irc));
}

/// Checks that a hot restart transfers established connections and an exclusion to a successor of the other
/// build.
fn transfers_state_in_a_hot_restart(builds: &Builds) {
    let folder = Folder::create();
    let addresses = Addresses::free();
    let servers = [FakeServer::start(), FakeServer::start()];
    let irc_server = FakeServer::start();
    let platform =
        folder.write("config.json", &platform_settings(addresses, &[&servers[0], &servers[1]], ""));
    let irc = folder.write("irc.json", &irc_settings(addresses, &[&irc_server], ""));
    let arguments = [Path::new("--config"), &platform, Path::new("--irc"), &irc];

    let first = Daemon::start(&builds.first, &folder, addresses, &arguments);
    first.wait_until_ready(&builds.first);
    first.admin_command(&builds.first, &["exclude", SECOND_SERVER]);
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..ESTABLISHED_CONNECTIONS {
        let (client, answer) = Client::open(addresses.platform);
        assert_eq!(answer, "UP 1");
        clients.push(client);
    }
    let (irc_client, answer) = Client::register(addresses.irc, "olga");
    assert!(answer.contains(" 001 "), "{answer}");
    clients.push(irc_client);
    let second = Daemon::start(&builds.second, &folder, addresses, &arguments);
    first.terminate();
    second.wait_until_ready(&builds.second);

    for (number, client) in clients.iter_mut().enumerate() {
        client.expect_echo(&format!("M {number}"));
    }
    assert_eq!(second.metric(&builds.second, "outstanding"), clients.len() as u64);
    assert_eq!(second.metric(&builds.second, "ejected"), 1, "the exclusion is not transferred");
    assert_eq!(Client::open(addresses.platform).1, "UP 1");
    assert_eq!(servers[1].received_lines(), 0, "the excluded server is used");
}

/// Checks that the command line of the second build controls a daemon of the first.
fn answers_commands(builds: &Builds) {
    let folder = Folder::create();
    let addresses = Addresses::free();
    let replica = free_udp_address();
    let servers = [FakeServer::start(), FakeServer::start()];
    let store = format!(r#", "store": {{"node": "n1", "listen": "{replica}", "peers": []}}"#);
    let settings = irc_settings(addresses, &[&servers[0]], &store);
    let daemon = start_irc(&builds.first, &folder, addresses, &settings);

    daemon.wait_until_ready(&builds.second);
    assert!(daemon.admin_command(&builds.second, &["telemetry"]).contains("edge_node."));
    daemon.admin_command(&builds.second, &["exclude", "irc-0"]);
    assert_eq!(daemon.metric(&builds.second, "ejected"), 1);
    assert!(!serves_irc(addresses.irc), "the excluded server is used");
    let replica = replica.to_string();
    run(&builds.second, &["set", "host/irc-9", &servers[1].address.to_string(), "--store", &replica]);
    wait_until("the server added by `set` is used", || serves_irc(addresses.irc));
    run(&builds.second, &["set", "host/irc-9", "--store", &replica]);
    wait_until("the deleted server is not used", || !serves_irc(addresses.irc));
    daemon.admin_command(&builds.second, &["include", "irc-0"]);
    // A readmitted server is in slow start: the first clients may be rejected.
    wait_until("the server is readmitted", || serves_irc(addresses.irc));
}
