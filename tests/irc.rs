//! The IRC front from end to end: clients and servers here are stand-ins on loopback.

mod fake_servers;

use std::time::Duration;

use fake_servers::{irc_config, until, Client, Daemon, Manner, Server};

fn front(servers: &[&Server], more: &str) -> Daemon {
    Daemon::start(&irc_config(servers, more), None)
}

#[test]
fn a_registration_is_placed_and_lines_go_both_ways_unchanged() {
    let server = Server::start(Manner::Welcome);
    let daemon = front(&[&server], ", \"capabilities\": [\"server-time\"]");
    let mut client = Client::connect(&daemon.irc);
    client.say("CAP LS 302");
    assert_eq!(client.line(), ":front.test CAP * LS :server-time");
    client.say("PASS secret word\r\nNICK anna\r\nUSER u 0 * :A tool");
    client.say("CAP REQ :server-time");
    assert_eq!(client.line(), ":front.test CAP anna ACK :server-time");
    client.say("CAP REQ :unheard-of");
    assert_eq!(client.line(), ":front.test CAP anna NAK :unheard-of");
    assert_eq!(server.count(), 0, "nothing reaches a host before CAP END");
    client.say("CAP END\r\nPRIVMSG #a :early");
    // What the server said before its welcome comes too; its PING was answered by the attempt.
    assert_eq!(client.line(), ":irc.test NOTICE * :*** Looking up your hostname");
    assert_eq!(client.line(), ":irc.test 001 anna :Welcome");
    assert_eq!(client.line(), ":anna!u@h PRIVMSG #a :early");
    client.say("@label=7 TAGMSG #a\r\nPRIVMSG #a ::) two  spaces ");
    assert_eq!(client.line(), ":anna!u@h PRIVMSG #a ::) two  spaces");
    for line in ["CAP REQ :server-time", "PASS :secret", "NICK anna", "USER u 0 * :A tool", "CAP END"] {
        assert!(server.has(line), "{line} in {:?}", server.lines.lock().unwrap());
    }
    assert!(server.has("@label=7 TAGMSG #a"));
    client.say("QUIT :bye");
    assert_eq!(client.rest(), "ERROR :Closing Link: bye\r\n");
}

#[test]
fn hosts_that_fail_are_passed_over() {
    let refuses = Server { address: closed_port(), lines: Default::default(), streams: Default::default() };
    let errs = Server::start(Manner::Says("ERROR :Closing Link: no more"));
    let full = Server::start(Manner::Says(":irc.test 263 bert USER :Please wait"));
    let hangs = Server::start(Manner::HangsUp);
    let good = Server::start(Manner::Welcome);
    let daemon = front(&[&refuses, &errs, &full, &hangs, &good], "");
    for n in 0..4 {
        let mut client = Client::register(&daemon.irc, &format!("bert{n}"));
        client.expect(&format!("001 bert{n}"));
    }
}

/// A port that nobody listens on.
fn closed_port() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

#[test]
fn what_a_host_thinks_of_a_nick_is_passed_on_and_no_other_host_is_asked() {
    let taken = ":irc.test 433 * carl :Nickname is already in use";
    let servers = [Server::start(Manner::Says(taken)), Server::start(Manner::Says(taken))];
    let daemon = front(&[&servers[0], &servers[1]], "");
    let mut client = Client::register(&daemon.irc, "carl");
    assert_eq!(client.rest(), format!("{taken}\r\nERROR :Closing Link: carl (Registration refused)\r\n"));
    assert_eq!(servers.iter().filter(|server| server.count() > 0).count(), 1);
}

#[test]
fn one_that_no_host_takes_is_refused_with_the_wait() {
    let servers = [Server::start(Manner::Says("ERROR :full")), Server::start(Manner::Says("ERROR :full"))];
    let daemon = front(&[&servers[0], &servers[1]], "");
    let mut client = Client::register(&daemon.irc, "dora");
    let line = client.line();
    assert!(line.starts_with(":front.test 263 dora USER :Server load is too heavy. Please wait "), "{line}");
    let rest = client.rest();
    assert!(rest.starts_with("ERROR :Closing Link: dora (Try again in "), "{rest}");
    assert_eq!(rest.lines().count(), 1);
}

#[test]
fn one_whose_hosts_stay_silent_is_answered_before_its_time_is_up() {
    let silent = Server::start(Manner::Silent);
    let daemon = front(&[&silent], ", \"class\": {\"give_up_ms\": 1500}");
    let mut client = Client::register(&daemon.irc, "emil");
    let rest = client.rest();
    assert!(rest.contains("ERROR :Closing Link: emil ("), "{rest}");
    assert_eq!(rest.matches("ERROR").count(), 1);
}

#[test]
fn one_that_registers_across_its_give_up_time_gets_one_error_and_no_host_sees_it() {
    let server = Server::start(Manner::Welcome);
    let daemon = front(&[&server], ", \"class\": {\"give_up_ms\": 400}");
    let mut client = Client::connect(&daemon.irc);
    client.say("NICK fred");
    let rest = client.rest();
    assert_eq!(rest, "ERROR :Closing Link: fred (Registration timed out)\r\n");
    // Too late: the connection is over, whatever still comes.
    let _ = std::io::Write::write_all(&mut client.stream, b"USER u 0 * :late\r\n");
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(server.count(), 0);
}

/// The operators' hard case: a server that sends PING while it drains.
#[test]
fn an_excluded_host_still_pings_its_client_but_sees_nobody_new() {
    let (old, new) = (Server::start(Manner::Welcome), Server::start(Manner::Welcome));
    let daemon = front(&[&old, &new], ", \"drain_over_ms\": 600000");
    let mut clients = Vec::new();
    // Which of the two a client comes to is chance: one of each is wanted.
    until("both hosts have a client", || {
        let nick = format!("gina{}", clients.len());
        let mut client = Client::register(&daemon.irc, &nick);
        client.expect("001");
        clients.push((nick, client));
        old.count() > 0 && new.count() > 0
    });
    let (nick, client) = {
        let at = clients.iter().position(|(nick, _)| old.has(&format!("NICK {nick}"))).expect("one is there");
        &mut clients[at]
    };
    daemon.exclude("irc-0");
    std::thread::sleep(Duration::from_millis(250));
    let connected = old.streams.lock().unwrap().len();
    old.say("PING :still-there");
    for n in 0..8 {
        Client::register(&daemon.irc, &format!("hugo{n}")).expect("001");
        assert!(!old.has(&format!("NICK hugo{n}")), "a new client came to a host that drains");
    }
    assert_eq!(old.streams.lock().unwrap().len(), connected, "a new connection came to a host that drains");
    client.expect("PING :still-there");
    client.say("PONG :still-there");
    until(&format!("the PONG of {nick} comes back"), || old.has("PONG :still-there"));
}

#[test]
fn clients_of_an_excluded_host_are_moved_politely_and_the_host_is_closed() {
    let old = Server::start(Manner::Welcome);
    let daemon = front(&[&old], ", \"drain_over_ms\": 200");
    let mut client = Client::register(&daemon.irc, "ida");
    client.expect("001 ida");
    daemon.exclude("irc-0");
    client.expect(":front.test NOTICE ida :Your server is leaving");
    let port = daemon.irc.rsplit(':').next().expect("a port");
    let bounce = format!(":front.test 010 ida 127.0.0.1 {port} :Please use this Server/Port instead\r\n");
    assert_eq!(client.rest(), bounce);
    // Nobody is left who could take it: refused at once.
    Client::register(&daemon.irc, "ida").expect(" 263 ida ");
}

#[test]
fn hosts_and_limits_come_from_the_store_too() {
    let server = Server::start(Manner::Welcome);
    let daemon = front(&[], "");
    Client::register(&daemon.irc, "ines").expect(" 263 ines ");
    daemon.command(&["set", "host/irc-9", &server.address.to_string()]);
    let mut first = Client::register(&daemon.irc, "ines");
    first.expect("001 ines");
    daemon.command(&["set", "limit/connections", "1"]);
    Client::register(&daemon.irc, "jana").expect(" 263 jana ");
    daemon.command(&["set", "limit/connections"]);
    Client::register(&daemon.irc, "jana").expect("001 jana");
    // Taken away, a server's clients have to go at once.
    daemon.command(&["set", "host/irc-9"]);
    first.expect(" 010 ines ");
}

#[test]
fn at_sigterm_everyone_is_moved_what_arrives_is_answered_and_the_daemon_goes() {
    let server = Server::start(Manner::Welcome);
    let mut daemon = front(&[&server], ", \"class\": {\"give_up_ms\": 3000}");
    let mut standing = Client::register(&daemon.irc, "jan");
    standing.expect("001 jan");
    // Still being placed, so that the daemon has to stay until it is answered.
    let mut slow = Client::connect(&daemon.irc);
    slow.say("NICK kim");
    daemon.signal("-TERM");
    daemon.log_line("leaving");
    slow.say("USER u 0 * :late");
    slow.expect(" 263 kim ");
    standing.expect(" 010 jan ");
    assert_eq!(standing.rest(), "");
    assert!(daemon.exited());
}

#[test]
fn a_host_that_breaks_off_ends_its_client() {
    let server = Server::start(Manner::Welcome);
    let daemon = front(&[&server], "");
    let mut client = Client::register(&daemon.irc, "lea");
    client.expect("001 lea");
    server.end();
    assert_eq!(client.rest(), "");
}

#[test]
fn what_is_no_irc_gets_a_numeric_or_an_error_and_the_front_goes_on() {
    let server = Server::start(Manner::Welcome);
    let daemon = front(&[&server], "");
    let mut client = Client::connect(&daemon.irc);
    for (says, answer) in [
        ("PRIVMSG #a :hi", " 451 "),
        ("NICK", " 431 "),
        ("NICK 4four", " 432 "),
        ("USER few", " 461 "),
        ("CAP FROB", " 410 "),
        ("NICK nul\0byte", " 400 "),
        (":::", " 421 "),
        ("PING x", "PONG front.test :x"),
    ] {
        client.say(says);
        let line = client.line();
        assert!(line.contains(answer), "{says:?}: {line}");
    }
    client.say(&format!("NICK {}", "n".repeat(600)));
    client.expect(" 417 ");
    client.say(&"x".repeat(40_000));
    client.expect(" 417 ");
    client.say("NICK mia\r\nUSER u 0 * :r");
    client.expect("001 mia");
    // The limits hold on a standing connection, too; the lines around go through.
    client.say(&format!("PRIVMSG #a :{}", "y".repeat(600)));
    client.expect(" 417 ");
    client.say("PRIVMSG #a :fine");
    client.expect("PRIVMSG #a :fine");

    let mut flood = Client::connect(&daemon.irc);
    let _ = std::io::Write::write_all(&mut flood.stream, "JOIN #a\r\n".repeat(200).as_bytes());
    flood.expect("ERROR :Closing Link: * (Excess Flood)");
    Client::register(&daemon.irc, "nora").expect("001 nora");
}

/// Both fronts in one daemon, each with its own servers.
#[test]
fn both_fronts_are_served_by_one_daemon() {
    let irc = Server::start(Manner::Welcome);
    let shop = shop_server();
    let config = format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "{}", "seed": "5",
            "known": {{"generation": 1, "reset": true, "instances": [
              {{"instanceId": "s-00000001", "hostPort": "{shop}", "lifecycle": "ready", "weight": 1.0}}]}},
            "settings": {{"classes": [{{"name": "chat", "deadline": 9000, "repeat": "repeatable"}}],
              "limits": {{"connect-timeout": 2000, "try-limit": 6}}}}}}"#,
        closed_port()
    );
    let daemon = Daemon::start(&irc_config(&[&irc], ""), Some(&config));
    let mut player = Client::connect(&daemon.platform);
    player.say("PING");
    assert_eq!(player.line(), "PONG");
    player.say("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=9000,g=5c0f6e1a2b3d4c59");
    assert_eq!(player.line(), "UP 77");
    player.say("M 1");
    assert_eq!(player.line(), "M 1");
    let mut tool = Client::register(&daemon.irc, "olga");
    tool.expect("001 olga");
    assert!(!irc.has("M 1"));
    assert_eq!(irc.lines.lock().unwrap().iter().filter(|l| l.starts_with("OPEN")).count(), 0);
}

/// A stand-in for a shop server: takes one connection, and sends back each line.
fn shop_server() -> std::net::SocketAddr {
    use std::io::{BufRead, BufReader, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a leg");
        let lines = BufReader::new(stream.try_clone().expect("a clone")).lines();
        for line in lines.map_while(Result::ok) {
            let answer = if line.starts_with("OPEN ") { "UP 77".to_owned() } else { line };
            let _ = stream.write_all(format!("{answer}\r\n").as_bytes());
        }
    });
    address
}

/// The operator's file is the IRC front's endpoint list: a server that it lists no more is gone.
#[test]
fn sighup_takes_in_another_operators_file_or_keeps_the_old_one() {
    let (old, new) = (Server::start(Manner::Welcome), Server::start(Manner::Welcome));
    let daemon = front(&[&old], "");
    let mut standing = Client::register(&daemon.irc, "olga");
    standing.expect("001 olga");
    let file = irc_config(&[&new], "").replace("irc-0", "irc-1");
    daemon.reload("irc.json", &file.replace("\"hosts\"", "\"hots\""));
    let line = daemon.log_line("the old configuration stays in force");
    assert!(line.contains("hots: no such key is known"), "{line}");
    daemon.reload("irc.json", &file.replace("\"node\": \"n1\"", "\"node\": \"n2\""));
    daemon.log_line("the old configuration stays in force: store: only its peers");
    standing.say("PRIVMSG #a :still");
    standing.expect("PRIVMSG #a :still");

    daemon.reload("irc.json", &file.replace("front.test", "anew.test"));
    daemon.log_line(", reconfigured");
    assert!(standing.rest().contains(" 010 olga "), "its host is listed no more");
    let mut client = Client::connect(&daemon.irc);
    client.say("PING 1\r\nNICK pia\r\nUSER u 0 * :A tool");
    client.expect(":anew.test PONG anew.test");
    client.expect("001 pia");
    assert!(new.has("NICK pia") && !old.has("NICK pia"));
}

/// The budget is the process's: those who connect by the hundred and say nothing cost nobody here either.
#[test]
fn silent_clients_by_the_hundred_are_in_nobodys_way() {
    let server = Server::start(Manner::Welcome);
    let daemon = front(&[&server], ", \"limits\": {\"sockets\": 160, \"memory_mb\": 32}");
    let mut silent: Vec<Client> = (0..400).map(|_| Client::connect(&daemon.irc)).collect();
    let mut usual = Client::register(&daemon.irc, "rosa");
    usual.expect("001 rosa");
    // The oldest made room; the last ones may still register.
    assert_eq!(silent[0].rest(), "");
    silent[399].say("NICK sven\r\nUSER u 0 * :A tool");
    silent[399].expect("001 sven");
}
