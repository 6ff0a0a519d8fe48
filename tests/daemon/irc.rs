//! Tests of the IRC front from end to end, with fake clients and servers on loopback.

use std::time::Duration;

use crate::fake_servers::{irc_config, wait_until, Client, Daemon, FakeIrcServer, RegistrationReply};

fn start_front(servers: &[&FakeIrcServer], more: &str) -> Daemon {
    Daemon::start(&irc_config(servers, more), None)
}

#[test]
fn forwards_registration_and_lines_unchanged_in_both_directions() {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    let daemon = start_front(&[&server], ", \"capabilities\": [\"server-time\"]");

    let mut client = Client::connect(&daemon.irc_address);
    client.send_line("CAP LS 302");
    assert_eq!(client.read_line(), ":front.test CAP * LS :server-time");
    client.send_line("PASS secret word\r\nNICK anna\r\nUSER u 0 * :A tool");
    client.send_line("CAP REQ :server-time");
    assert_eq!(client.read_line(), ":front.test CAP anna ACK :server-time");
    client.send_line("CAP REQ :unheard-of");
    assert_eq!(client.read_line(), ":front.test CAP anna NAK :unheard-of");
    assert_eq!(server.received_line_count(), 0, "nothing reaches a server before CAP END");
    client.send_line("CAP END\r\nPRIVMSG #a :early");
    // The client also receives lines from before the welcome, but not the PING, which the attempt answered.
    assert_eq!(client.read_line(), ":irc.test NOTICE * :*** Looking up your hostname");
    assert_eq!(client.read_line(), ":irc.test 001 anna :Welcome");
    assert_eq!(client.read_line(), ":anna!u@h PRIVMSG #a :early");
    client.send_line("@label=7 TAGMSG #a\r\nPRIVMSG #a ::) two  spaces ");
    assert_eq!(client.read_line(), ":anna!u@h PRIVMSG #a ::) two  spaces");
    for line in ["CAP REQ :server-time", "PASS :secret", "NICK anna", "USER u 0 * :A tool", "CAP END"] {
        assert!(server.received(line), "{line} in {:?}", server.received_lines.lock().unwrap());
    }
    assert!(server.received("@label=7 TAGMSG #a"));
    client.send_line("QUIT :bye");

    assert_eq!(client.read_to_end(), "ERROR :Closing Link: bye\r\n");
}

#[test]
fn retries_at_another_server_when_one_fails() {
    let unreachable = FakeIrcServer {
        address: closed_port(),
        received_lines: Default::default(),
        streams: Default::default(),
    };
    let erring = FakeIrcServer::start(RegistrationReply::ReplyAndClose("ERROR :Closing Link: no more"));
    let full = FakeIrcServer::start(RegistrationReply::ReplyAndClose(":irc.test 263 bert USER :Please wait"));
    let closing = FakeIrcServer::start(RegistrationReply::CloseWithoutReply);
    let accepting = FakeIrcServer::start(RegistrationReply::Welcome);
    let daemon = start_front(&[&unreachable, &erring, &full, &closing, &accepting], "");

    for n in 0..4 {
        let mut client = Client::register(&daemon.irc_address, &format!("bert{n}"));
        client.expect_line(&format!("001 bert{n}"));
    }
}

/// Returns a loopback address on which nothing listens.
fn closed_port() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    listener.local_addr().expect("the listener has an address")
}

#[test]
fn forwards_the_rejection_of_a_nick_without_a_retry() {
    let nick_in_use = ":irc.test 433 * carl :Nickname is already in use";
    let servers = [
        FakeIrcServer::start(RegistrationReply::ReplyAndClose(nick_in_use)),
        FakeIrcServer::start(RegistrationReply::ReplyAndClose(nick_in_use)),
    ];
    let daemon = start_front(&[&servers[0], &servers[1]], "");

    let mut client = Client::register(&daemon.irc_address, "carl");
    assert_eq!(
        client.read_to_end(),
        format!("{nick_in_use}\r\nERROR :Closing Link: carl (Registration refused)\r\n")
    );

    assert_eq!(servers.iter().filter(|server| server.received_line_count() > 0).count(), 1);
}

#[test]
fn rejects_with_retry_after_when_no_server_accepts() {
    let servers = [
        FakeIrcServer::start(RegistrationReply::ReplyAndClose("ERROR :full")),
        FakeIrcServer::start(RegistrationReply::ReplyAndClose("ERROR :full")),
    ];
    let daemon = start_front(&[&servers[0], &servers[1]], "");

    let mut client = Client::register(&daemon.irc_address, "dora");
    let line = client.read_line();
    assert!(line.starts_with(":front.test 263 dora USER :Server load is too heavy. Please wait "), "{line}");
    let rest = client.read_to_end();

    assert!(rest.starts_with("ERROR :Closing Link: dora (Try again in "), "{rest}");
    assert_eq!(rest.lines().count(), 1);
}

#[test]
fn answers_before_the_give_up_time_while_servers_stay_silent() {
    let silent = FakeIrcServer::start(RegistrationReply::Silent);
    let daemon = start_front(&[&silent], ", \"class\": {\"give_up_ms\": 1500}");

    let mut client = Client::register(&daemon.irc_address, "emil");
    let rest = client.read_to_end();

    assert!(rest.contains("ERROR :Closing Link: emil ("), "{rest}");
    assert_eq!(rest.matches("ERROR").count(), 1);
}

#[test]
fn sends_one_error_for_a_registration_that_crosses_its_give_up_time() {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    let daemon = start_front(&[&server], ", \"class\": {\"give_up_ms\": 400}");

    let mut client = Client::connect(&daemon.irc_address);
    client.send_line("NICK fred");
    let rest = client.read_to_end();
    assert_eq!(rest, "ERROR :Closing Link: fred (Registration timed out)\r\n");
    // The connection has ended, so lines that arrive later must have no effect.
    let _ = std::io::Write::write_all(&mut client.stream(), b"USER u 0 * :late\r\n");
    std::thread::sleep(Duration::from_millis(300));

    assert_eq!(server.received_line_count(), 0);
}

/// The operators named this as the difficult case of draining: a server sends PING while it drains. Its
/// established clients must stay connected and answer, and no new client may be forwarded to it.
#[test]
fn keeps_an_excluded_servers_clients_but_sends_it_no_new_ones() {
    let (old, new) =
        (FakeIrcServer::start(RegistrationReply::Welcome), FakeIrcServer::start(RegistrationReply::Welcome));
    let daemon = start_front(&[&old, &new], ", \"drain_over_ms\": 600000");

    let mut clients = Vec::new();
    // Clients are placed at random, so they connect until each server has one.
    wait_until("both servers have a client", || {
        let nick = format!("gina{}", clients.len());
        let mut client = Client::register(&daemon.irc_address, &nick);
        client.expect_line("001");
        clients.push((nick, client));
        old.received_line_count() > 0 && new.received_line_count() > 0
    });
    let (nick, client) = {
        let at = clients
            .iter()
            .position(|(nick, _)| old.received(&format!("NICK {nick}")))
            .expect("the excluded server has a client");
        &mut clients[at]
    };
    daemon.exclude("irc-0");
    std::thread::sleep(Duration::from_millis(250));
    let connections = old.streams.lock().unwrap().len();
    old.send_line("PING :still-there");
    for n in 0..8 {
        Client::register(&daemon.irc_address, &format!("hugo{n}")).expect_line("001");

        assert!(!old.received(&format!("NICK hugo{n}")), "a new client was forwarded to a draining server");
    }
    assert_eq!(old.streams.lock().unwrap().len(), connections, "an attempt was made at a draining server");
    client.expect_line("PING :still-there");
    client.send_line("PONG :still-there");
    wait_until(&format!("the server receives the PONG of {nick}"), || old.received("PONG :still-there"));
}

#[test]
fn migrates_clients_of_an_excluded_server_with_a_notice() {
    let old = FakeIrcServer::start(RegistrationReply::Welcome);
    let daemon = start_front(&[&old], ", \"drain_over_ms\": 200");

    let mut client = Client::register(&daemon.irc_address, "ida");
    client.expect_line("001 ida");
    daemon.exclude("irc-0");
    client.expect_line(":front.test NOTICE ida :Your server is leaving");
    let port = daemon.irc_address.rsplit(':').next().expect("the address has a port");
    let bounce = format!(":front.test 010 ida 127.0.0.1 {port} :Please use this Server/Port instead\r\n");
    assert_eq!(client.read_to_end(), bounce);
    // No server is left for the client, so it is rejected at once.
    Client::register(&daemon.irc_address, "ida").expect_line(" 263 ida ");
}

#[test]
fn applies_servers_and_limits_of_the_replicated_map() {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    let daemon = start_front(&[], "");

    Client::register(&daemon.irc_address, "ines").expect_line(" 263 ines ");
    daemon.run_store_command(&["set", "host/irc-9", &server.address.to_string()]);
    let mut first = Client::register(&daemon.irc_address, "ines");
    first.expect_line("001 ines");
    daemon.run_store_command(&["set", "limit/connections", "1"]);
    Client::register(&daemon.irc_address, "jana").expect_line(" 263 jana ");
    daemon.run_store_command(&["set", "limit/connections"]);
    Client::register(&daemon.irc_address, "jana").expect_line("001 jana");
    // The clients of a server that is removed from the map must be migrated at once.
    daemon.run_store_command(&["set", "host/irc-9"]);
    first.expect_line(" 010 ines ");
}

#[test]
fn migrates_clients_and_answers_new_ones_at_sigterm_and_exits() {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    let mut daemon = start_front(&[&server], ", \"class\": {\"give_up_ms\": 3000}");

    let mut established = Client::register(&daemon.irc_address, "jan");
    established.expect_line("001 jan");
    // This registration is not complete, so the daemon must not exit before it is answered.
    let mut registering = Client::connect(&daemon.irc_address);
    registering.send_line("NICK kim");
    daemon.signal("-TERM");
    daemon.log_line("draining: ");
    registering.send_line("USER u 0 * :late");
    registering.expect_line(" 263 kim ");
    established.expect_line(" 010 jan ");

    assert_eq!(established.read_to_end(), "");
    assert!(daemon.wait_for_exit());
}

#[test]
fn closes_the_client_when_its_server_closes() {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    let daemon = start_front(&[&server], "");

    let mut client = Client::register(&daemon.irc_address, "lea");
    client.expect_line("001 lea");
    server.close_all();

    assert_eq!(client.read_to_end(), "");
}

#[test]
fn answers_invalid_irc_with_a_numeric_or_an_error_and_continues() {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    let daemon = start_front(&[&server], "");

    let mut client = Client::connect(&daemon.irc_address);
    for (sent, answer) in [
        ("PRIVMSG #a :hi", " 451 "),
        ("NICK", " 431 "),
        ("NICK 4four", " 432 "),
        ("USER few", " 461 "),
        ("CAP FROB", " 410 "),
        ("NICK nul\0byte", " 400 "),
        (":::", " 421 "),
        ("PING x", "PONG front.test :x"),
    ] {
        client.send_line(sent);
        let line = client.read_line();

        assert!(line.contains(answer), "{sent:?}: {line}");
    }
    client.send_line(&format!("NICK {}", "n".repeat(600)));
    client.expect_line(" 417 ");
    client.send_line(&"x".repeat(40_000));
    client.expect_line(" 417 ");
    client.send_line("NICK mia\r\nUSER u 0 * :r");
    client.expect_line("001 mia");
    // The limits also apply to an established connection. Valid lines around an invalid one are relayed.
    client.send_line(&format!("PRIVMSG #a :{}", "y".repeat(600)));
    client.expect_line(" 417 ");
    client.send_line("PRIVMSG #a :fine");
    client.expect_line("PRIVMSG #a :fine");

    let mut flooding_client = Client::connect(&daemon.irc_address);
    let _ = std::io::Write::write_all(&mut flooding_client.stream(), "JOIN #a\r\n".repeat(200).as_bytes());
    flooding_client.expect_line("ERROR :Closing Link: * (Excess Flood)");
    Client::register(&daemon.irc_address, "nora").expect_line("001 nora");
}

/// One daemon serves both fronts, each with its own servers. No line may reach a server of the other front.
#[test]
fn serves_both_fronts_in_one_daemon() {
    let irc = FakeIrcServer::start(RegistrationReply::Welcome);
    let platform_server = start_platform_server();
    let config = format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "{}", "seed": "5",
            "known": {{"generation": 1, "reset": true, "instances": [
              {{"instanceId": "s-00000001", "hostPort": "{platform_server}", "lifecycle": "ready", "weight": 1.0}}]}},
            "settings": {{"classes": [{{"name": "chat", "deadline": 9000, "repeat": "repeatable"}}],
              "limits": {{"connect-timeout": 2000, "try-limit": 6}}}}}}"#,
        closed_port()
    );
    let daemon = Daemon::start(&irc_config(&[&irc], ""), Some(&config));

    let mut platform_client = Client::connect(&daemon.platform_address);
    platform_client.send_line("PING");
    assert_eq!(platform_client.read_line(), "PONG");
    platform_client
        .send_line("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=9000,g=5c0f6e1a2b3d4c59");
    assert_eq!(platform_client.read_line(), "UP 77");
    platform_client.send_line("M 1");
    assert_eq!(platform_client.read_line(), "M 1");
    let mut irc_client = Client::register(&daemon.irc_address, "olga");
    irc_client.expect_line("001 olga");

    assert!(!irc.received("M 1"));
    assert_eq!(irc.received_lines.lock().unwrap().iter().filter(|l| l.starts_with("OPEN")).count(), 0);
}

/// Starts a platform server that accepts one connection and echoes its lines. Returns its address.
fn start_platform_server() -> std::net::SocketAddr {
    use std::io::{BufRead, BufReader, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("an attempt arrives");
        let lines = BufReader::new(stream.try_clone().expect("the stream is cloned")).lines();
        for line in lines.map_while(Result::ok) {
            let answer = if line.starts_with("OPEN ") { "UP 77".to_owned() } else { line };
            let _ = stream.write_all(format!("{answer}\r\n").as_bytes());
        }
    });
    address
}

/// The operator's file is the endpoint list of the IRC front: a server that a new file no longer lists is
/// gone. An invalid file must change nothing.
#[test]
fn applies_a_valid_irc_file_at_sighup_and_ignores_an_invalid_one() {
    let (old, new) =
        (FakeIrcServer::start(RegistrationReply::Welcome), FakeIrcServer::start(RegistrationReply::Welcome));
    let daemon = start_front(&[&old], "");

    let mut established = Client::register(&daemon.irc_address, "olga");
    established.expect_line("001 olga");
    let file = irc_config(&[&new], "").replace("irc-0", "irc-1");
    daemon.reload("irc.json", &file.replace("\"hosts\"", "\"hots\""));
    let line = daemon.log_line("the old configuration stays in force");
    assert!(line.contains("hots: unknown key; the known keys are "), "{line}");
    daemon.reload("irc.json", &file.replace("\"node\": \"n1\"", "\"node\": \"n2\""));
    daemon.log_line("the old configuration stays in force: store: only its peers");
    established.send_line("PRIVMSG #a :still");
    established.expect_line("PRIVMSG #a :still");

    daemon.reload("irc.json", &file.replace("front.test", "anew.test"));
    daemon.log_line(", reconfigured");
    assert!(
        established.read_to_end().contains(" 010 olga "),
        "the client of a server that is no longer listed was not migrated"
    );
    let mut client = Client::connect(&daemon.irc_address);
    client.send_line("PING 1\r\nNICK pia\r\nUSER u 0 * :A tool");
    client.expect_line(":anew.test PONG anew.test");
    client.expect_line("001 pia");

    assert!(new.received("NICK pia") && !old.received("NICK pia"));
}

/// The limit of descriptors applies to the whole process. Hundreds of clients that connect and send nothing
/// must not affect other clients on this front either.
#[test]
fn serves_clients_while_hundreds_stay_silent() {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    let daemon = start_front(&[&server], ", \"limits\": {\"sockets\": 160, \"memory_mb\": 32}");

    let mut silent_clients: Vec<Client> = (0..400).map(|_| Client::connect(&daemon.irc_address)).collect();
    let mut registered = Client::register(&daemon.irc_address, "rosa");
    registered.expect_line("001 rosa");
    // The oldest silent clients were closed for newer ones. The last ones may still register.
    assert_eq!(silent_clients[0].read_to_end(), "");
    silent_clients[399].send_line("NICK sven\r\nUSER u 0 * :A tool");
    silent_clients[399].expect_line("001 sven");
}
