//! Gossip between the balancers of one tier.

use std::net::UdpSocket;

use super::{config, connect_and_open, start_server};
use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery};
use crate::fake_servers::{irc_config, wait_until, Daemon, MAX_WAIT};

/// The balancer broadcasts once that a server's messages are slow, and applies gossip of its tier. Datagrams
/// from unknown addresses must be ignored.
#[test]
fn gossips_slow_servers_and_applies_gossip_of_the_tier_only() {
    let ((first, _), (second, _)) = (start_server("UP 1", false), start_server("UP 2", false));
    let discovery = Discovery::scripted(Vec::new());
    let tier = UdpSocket::bind("127.0.0.1:0").expect("the socket binds");
    let daemon_address =
        UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port is free");
    let tier_address = tier.local_addr().expect("the socket has an address");
    let peers = format!(
        r#""peer_listen": "{daemon_address}", "peers_all": "{tier_address}", "peers": ["{daemon_address}", "{tier_address}"],"#
    );
    let settings =
        r#""settings": {"family-info": {"tells-delay": true, "message-aim": [100]}, "balancers": 2,"#;
    let servers = [endpoint("s-00000001", first, "ready"), endpoint("s-00000002", second, "ready")];
    let text = config(discovery.address, &endpoint_list(1, true, &servers))
        .replace(r#""settings": {"#, &format!("{peers} {settings}"));
    let text = text.replace(r#""retry-after": true"#, r#""retry-after": true, "peers": true"#);
    let daemon = Daemon::start(&irc_config(&[], ""), Some(&text));

    tier.set_read_timeout(Some(MAX_WAIT)).expect("the timeout is set");
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("the socket binds");
    // Servers echo these lines as load reports: a load, then a value that can only be a message time, of 400
    // ms.
    let mut client = connect_and_open(&daemon);
    let is_at_first = client.read_line() == "UP 1";
    for line in ["LOAD 90000", "LOAD 400"] {
        client.send_line(line);

        assert_eq!(client.read_line(), line);
    }
    let mut message = [0; 64];
    let n = tier.recv(&mut message).expect("gossip arrives");
    let slow_server = if is_at_first { 1 } else { 2 };
    assert_eq!(message[..n], [b'2', 0, 0, 0, slow_server, 1, 144, 0]);
    // Once the tier reports the other server as slow, too, no server is left for new clients. The same gossip
    // from an unknown address must be ignored.
    let other_server_is_slow = [b'1', 0, 0, 0, 3 - slow_server, 1, 144];
    unknown_sender.send_to(&other_server_is_slow, daemon_address).expect("the datagram is sent");
    unknown_sender.send_to(b"garbage", daemon_address).expect("the datagram is sent");
    daemon.log_line("is not gossip of the tier");
    let mut new_client = connect_and_open(&daemon);
    assert!(new_client.read_line().starts_with("UP"), "gossip from an unknown address was applied");
    tier.send_to(&other_server_is_slow, daemon_address).expect("the datagram is sent");
    wait_until("new clients are rejected", || connect_and_open(&daemon).read_line().starts_with("BUSY"));
}
