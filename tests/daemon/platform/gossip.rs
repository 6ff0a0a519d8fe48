//! Gossip between the balancers of a tier.

use std::net::UdpSocket;

use super::{config, connect_and_open, start_server};
use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery};
use crate::fake_servers::{irc_config, wait_until, Daemon, MAX_WAIT};

/// A server's slow messages are gossiped to the tier, once; what comes from unknown addresses is ignored.
#[test]
fn gossips_slow_servers_and_applies_gossip_of_the_tier_only() {
    let ((first, _), (second, _)) = (start_server("UP 1", false), start_server("UP 2", false));
    let discovery = Discovery::scripted(Vec::new());
    let tier = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let own = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port");
    let all = tier.local_addr().expect("the listener has an address");
    let peers = format!(r#""peer_listen": "{own}", "peers_all": "{all}", "peers": ["{own}", "{all}"],"#);
    let settings =
        r#""settings": {"family-info": {"tells-delay": true, "message-aim": [100]}, "balancers": 2,"#;
    let servers = [endpoint("s-00000001", first, "ready"), endpoint("s-00000002", second, "ready")];
    let text = config(discovery.address, &endpoint_list(1, true, &servers))
        .replace(r#""settings": {"#, &format!("{peers} {settings}"));
    let text = text.replace(r#""retry-after": true"#, r#""retry-after": true, "peers": true"#);
    let daemon = Daemon::start(&irc_config(&[], ""), Some(&text));

    tier.set_read_timeout(Some(MAX_WAIT)).expect("the timeout is set");
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    // Servers send back what they are sent: a load, and then what can only be a message's time, of 400 ms.
    let mut client = connect_and_open(&daemon);
    let at_first = client.read_line() == "UP 1";
    for line in ["LOAD 90000", "LOAD 400"] {
        client.send_line(line);

        assert_eq!(client.read_line(), line);
    }
    let mut message = [0; 64];
    let n = tier.recv(&mut message).expect("gossip");
    let slow_server = if at_first { 1 } else { 2 };
    assert_eq!(message[..n], [b'2', 0, 0, 0, slow_server, 1, 144, 0]);
    // The tier's gossip of the other server leaves none for new clients; that from an unknown address is ignored.
    let other = [b'1', 0, 0, 0, 3 - slow_server, 1, 144];
    stranger.send_to(&other, own).expect("sent");
    stranger.send_to(b"garbage", own).expect("sent");
    daemon.log_line("is not gossip of the tier");
    let mut served = connect_and_open(&daemon);
    assert!(served.read_line().starts_with("UP"), "gossip from an unknown address was applied");
    tier.send_to(&other, own).expect("sent");
    wait_until("new clients are rejected", || connect_and_open(&daemon).read_line().starts_with("BUSY"));
}
