//! The checks, each for one thing that passes from one build to another.

use std::path::{Path, PathBuf};

use crate::fake_servers::{free_tcp_address, free_udp_address, serves_irc, wait_until, Client, FakeServer};
use crate::process::{run, Addresses, Daemon, Folder};

/// The builds of one direction: the first writes, sends or serves, the second reads, receives or takes over.
#[derive(Clone)]
pub(crate) struct Builds {
    pub(crate) first: PathBuf,
    pub(crate) second: PathBuf,
}

type Check = fn(&Builds);

/// All checks, by the name that is printed.
pub(crate) const CHECKS: [(&str, Check); 8] = [
    ("settings of deploy/ and of the platform", reads_the_same_settings),
    ("data folder with entries and exclusions", restores_a_data_folder),
    ("file of exclusions without a replicated map", restores_the_file_of_exclusions),
    ("pcap recording", replays_a_recording),
    ("gossip", applies_gossip),
    ("replicated map", shares_the_replicated_map),
    ("hot restart", takes_over_in_a_hot_restart),
    ("command line", answers_commands),
];

const FIRST_SERVER: &str = "s-00000001";
const SECOND_SERVER: &str = "s-00000002";
/// Connections that are established before a hot restart.
const ESTABLISHED_CONNECTIONS: usize = 8;

/// Settings of the platform's front, with a cached endpoint list and a discovery that is down.
fn platform_settings(addresses: Addresses, servers: &[&FakeServer], more: &str) -> String {
    let ids = [FIRST_SERVER, SECOND_SERVER];
    let instance = |(id, server): (&&str, &&FakeServer)| {
        let address = server.address;
        format!(r#"{{"instanceId": "{id}", "hostPort": "{address}", "lifecycle": "ready", "weight": 1.0}}"#)
    };
    let instances: Vec<String> = ids.iter().zip(servers).map(instance).collect();
    format!(
        r#"{{"name": "n0", "listen": "{}", "mgmt": "{}", "discovery": "{}", "seed": "5", {more}
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

/// The operator's file of the IRC front.
fn irc_settings(addresses: Addresses, servers: &[&FakeServer], more: &str) -> String {
    let host = |(number, server): (usize, &&FakeServer)| {
        format!(r#"{{"name": "irc-{number}", "address": "{}"}}"#, server.address)
    };
    let hosts: Vec<String> = servers.iter().enumerate().map(host).collect();
    format!(
        r#"{{"listen": "{}", "mgmt": "{}", "name": "front.test", "drain_over_ms": 200, "hosts": [{}] {more}}}"#,
        addresses.irc,
        addresses.mgmt,
        hosts.join(", ")
    )
}

/// Starts a daemon with the IRC front alone.
fn start_irc(program: &Path, folder: &Folder, addresses: Addresses, settings: &str) -> Daemon {
    let file = folder.write("irc.json", settings);
    Daemon::start(program, folder, addresses, &[Path::new("--irc"), &file])
}

/// Starts a daemon with the platform's front alone.
fn start_platform(program: &Path, folder: &Folder, addresses: Addresses, settings: &str) -> Daemon {
    let file = folder.write("config.json", settings);
    Daemon::start(program, folder, addresses, &[Path::new("--config"), &file])
}

/// Both builds accept the operators' files and a configuration of the platform.
fn reads_the_same_settings(builds: &Builds) {
    let folder = Folder::create();
    let server = FakeServer::start();
    let platform = folder.write("config.json", &platform_settings(Addresses::free(), &[&server], ""));
    let platform = platform.to_str().expect("a UTF-8 path");
    let arguments =
        ["check", "--config", platform, "--irc", "deploy/irc.json", "--rebalance", "deploy/rebalance.json"];
    assert_eq!(run(&builds.first, &arguments), run(&builds.second, &arguments));
}

/// A process starts with the entries and exclusions in the data folder of a process of the other build.
fn restores_a_data_folder(builds: &Builds) {
    let folder = Folder::create();
    let addresses = Addresses::free();
    let replica = free_udp_address();
    let (listed, written) = (FakeServer::start(), FakeServer::start());
    let data = folder.file("data");
    let store = format!(
        r#", "store": {{"node": "n1", "listen": "{replica}", "peers": [], "data": "{}"}}"#,
        data.display()
    );
    let settings = irc_settings(addresses, &[&listed], &store);

    let first = start_irc(&builds.first, &folder, addresses, &settings);
    let replica = replica.to_string();
    run(&builds.first, &["set", "host/irc-9", &written.address.to_string(), "--store", &replica]);
    first.admin_command(&builds.first, &["exclude", "irc-0"]);
    drop(first);
    let second = start_irc(&builds.second, &folder, addresses, &settings);

    assert!(serves_irc(second.addresses.irc), "the server of the stored entry is used");
    assert_eq!(listed.received_lines(), 0, "the excluded server is not used");
    assert!(written.received_lines() > 0);
}

/// A process without a replicated map starts with the exclusions of a killed process of the other build.
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
    assert_eq!(servers[0].received_lines(), 0, "the excluded server is not used");
}

/// One build replays what the other recorded.
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
    let has_recorded =
        || std::fs::read(&capture).is_ok_and(|bytes| bytes.windows(8).any(|part| part == b"recorded"));
    wait_until("the client's line is recorded", has_recorded);
    first.terminate();
    let before = server.received_lines();
    let paths = [&capture, &settings].map(|path| path.to_str().expect("a UTF-8 path"));
    let port = addresses.irc.port().to_string();
    run(&builds.second, &["replay", paths[0], "--config", paths[1], "--front", "irc", "--port", &port]);

    assert_eq!(server.received_lines() - before, 3, "NICK, USER and PRIVMSG are sent again");
}

/// A balancer stops choosing a server of which a peer of the other build observed slow messages.
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
        "the server is used before the observation"
    );

    // The server sends back the load of the connection, and then a message time of four times the objective.
    let (mut client, answer) = Client::open(first.addresses.platform);
    assert_eq!(answer, "UP 1");
    client.expect_echo("LOAD 90000");
    client.expect_echo("LOAD 400");

    wait_until("the peer rejects new clients", || {
        Client::open(second.addresses.platform).1.starts_with("BUSY")
    });
}

/// Writes at each of two replicas take effect at the other, and a replica that restarts from nothing is repaired.
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
    assert!(!serves_irc(second.addresses.irc), "no server is known");

    let replica = replicas[0].to_string();
    run(&builds.first, &["set", "host/irc-9", &server.address.to_string(), "--store", &replica]);
    wait_until("a write at the first is seen at the second", || serves_irc(second.addresses.irc));
    second.admin_command(&builds.second, &["exclude", "irc-9"]);
    wait_until("a write at the second is seen at the first", || !serves_irc(first.addresses.irc));
    second.admin_command(&builds.second, &["include", "irc-9"]);
    wait_until("the readmission is seen at the first", || serves_irc(first.addresses.irc));
    drop(first);
    let restarted = start(&builds.first, 0);
    wait_until("the restarted replica is repaired", || serves_irc(restarted.addresses.irc));
}

/// Established connections and an exclusion pass from a process to its successor of the other build.
fn takes_over_in_a_hot_restart(builds: &Builds) {
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
    assert_eq!(second.metric(&builds.second, "ejected"), 1, "the exclusion is handed over");
    assert_eq!(Client::open(addresses.platform).1, "UP 1");
    assert_eq!(servers[1].received_lines(), 0, "the excluded server is not used");
}

/// The command line of the second build controls a daemon of the first.
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
    assert!(!serves_irc(addresses.irc), "the only server is excluded");
    let replica = replica.to_string();
    run(&builds.second, &["set", "host/irc-9", &servers[1].address.to_string(), "--store", &replica]);
    wait_until("the server that was set is used", || serves_irc(addresses.irc));
    run(&builds.second, &["set", "host/irc-9", "--store", &replica]);
    wait_until("the deleted server is not used", || !serves_irc(addresses.irc));
    daemon.admin_command(&builds.second, &["include", "irc-0"]);
    // A readmitted server is in slow start: the first clients may be rejected.
    wait_until("the server is readmitted", || serves_irc(addresses.irc));
}
