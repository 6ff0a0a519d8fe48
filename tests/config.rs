//! Configuration: what is wrong is told by its key.

use connection_balancer::program::config::{parse_operator, parse_platform, store_entry, Limits};

#[test]
fn the_operators_file_that_is_shipped_is_sound() {
    let operator = parse_operator(include_bytes!("../deploy/irc.json")).expect("sound");
    assert_eq!((operator.irc.endpoints.len(), operator.store), (2, None));
    assert_eq!(operator.irc.pool.greeting, 10_000_000);
}

#[test]
fn faults_of_an_operators_file_name_their_key() {
    let told = |text: &str| parse_operator(text.as_bytes()).expect_err("faulty").to_string();
    let with = |more: &str| told(&format!("{{\"listen\": \"127.0.0.1:6667\", {more}}}"));
    assert_eq!(told("{}"), "listen: is missing");
    assert!(told("{").starts_with("document: not JSON"));
    assert!(told(r#"{"listen": "localhost"}"#).starts_with("listen: an address with a port is wanted"));
    assert_eq!(with(r#""lisen": 1"#), "lisen: no such key is known");
    assert_eq!(with(r#""limits": {"legs": "six"}"#), "limits.legs: a number of 0 or more is wanted");
    assert_eq!(with(r#""limits": {"legs": -1}"#), "limits.legs: a number of 0 or more is wanted");
    assert_eq!(with(r#""hosts": [{"name": "a"}]"#), "hosts[0].address: is missing");
    assert_eq!(with(r#""hosts": {}"#), "hosts: a list is wanted");
    assert_eq!(with(r#""store": {"listen": "127.0.0.1:1"}"#), "store.node: is missing");
    assert!(with(r#""store": {"node": "n", "listen": "127.0.0.1:1", "peers": ["x"]}"#)
        .starts_with("store.peers[0]: "));
    assert!(with(r#""log": {"levels": "loud"}"#).starts_with("log.levels: levels are wanted"));
    assert_eq!(with(r#""log": {"format": "xml"}"#), "log.format: text or json is wanted");
    assert_eq!(with(r#""seed": "xyz""#), "seed: up to 16 hexadecimal digits are wanted");
}

#[test]
fn faults_of_the_platforms_configuration_name_their_key() {
    let told = |more: &str| {
        let text = format!(r#"{{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", {more}}}"#);
        parse_platform(text.as_bytes()).expect_err("faulty").to_string()
    };
    let class = |more: &str| told(&format!(r#""settings": {{"classes": [{{"name": "a"}}, {{{more}}}]}}"#));
    assert_eq!(class(""), "settings.classes[1].name: is missing");
    assert!(
        class(r#""name": "b", "repeat": "often""#).starts_with("settings.classes[1].repeat: repeatable, ")
    );
    let server =
        r#""known": {"instances": [{"instanceId": "s", "hostPort": "127.0.0.1:3", "lifecycle": "odd"}]}"#;
    assert!(told(server).starts_with("known.instances[0].lifecycle: ready, draining or gone is wanted"));
    assert_eq!(
        told(r#""settings": {"limits": {"cancel": "no"}}"#),
        "settings.limits.cancel: true or false is wanted"
    );
}

/// Whatever another customer's settings hold: what cannot be meant is told, and not taken for something else.
#[test]
fn settings_beyond_their_range_are_told_by_their_key() {
    let told = |settings: &str| {
        let text =
            format!(r#"{{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {{{settings}}}}}"#);
        parse_platform(text.as_bytes()).map(drop).map_err(|fault| fault.to_string())
    };
    let class =
        |more: &str| format!(r#""classes": [{{"name": "a", "deadline": 900}}, {{"name": "b", {more}}}]"#);
    let of = |part: &str, key: &str, value: &str| format!(r#""{part}": {{"{key}": {value}}}"#);
    let faulty = [
        (class(r#""deadline": 0"#), "classes[1].deadline"),
        (class(r#""deadline": -5"#), "classes[1].deadline"),
        (class(r#""deadline": true"#), "classes[1].deadline"),
        (class(r#""deadline": 1e300"#), "classes[1].deadline"),
        (class(r#""repeat": "by_key""#), "classes[1].window"),
        (class(r#""repeat": "by_key", "window": 0"#), "classes[1].window"),
        (class(r#""repeat": "by_key", "window": 9, "group": "planet""#), "classes[1].group"),
        (class(r#""gain": "much""#), "classes[1].gain"),
        (r#""classes": [{"name": "a"}, {"name": "a"}]"#.to_owned(), "classes[1].name"),
        (r#""accounts": [{"name": "a"}, {"name": "a"}]"#.to_owned(), "accounts[1].name"),
        (r#""accounts": [{"fraction": 1}]"#.to_owned(), "accounts[0].name"),
        (r#""zones": ["x", "y"], "zone": "z""#.to_owned(), "zone"),
        (r#""discovery": "asked""#.to_owned(), "discovery"),
        (r#""balancers": 0"#.to_owned(), "balancers"),
        (r#""balancers": 2.5"#.to_owned(), "balancers"),
        (r#""over-share-worth": 1.5"#.to_owned(), "over-share-worth"),
        (of("limits", "try-limit", "0"), "limits.try-limit"),
        (of("limits", "connect-timeout", "0"), "limits.connect-timeout"),
        (of("limits", "max-retry-after", "-1"), "limits.max-retry-after"),
        (of("limits", "cancel", "[]"), "limits.cancel"),
        (of("invariants", "must-ask-in", "0"), "invariants.must-ask-in"),
        (of("invariants", "drain-grace", "0"), "invariants.drain-grace"),
        (of("invariants", "cold-share", "0"), "invariants.cold-share"),
        (of("invariants", "cold-share", "34"), "invariants.cold-share"),
        (of("invariants", "tip-multiple", "0.5"), "invariants.tip-multiple"),
        (of("invariants", "overload-for", "0"), "invariants.overload-for"),
        (of("invariants", "warm-up", "null-ish").replace("null-ish", r#""soon""#), "invariants.warm-up"),
        (of("charges", "moves", "-0.1"), "charges.moves"),
    ];
    for (settings, key) in faulty {
        let fault = told(&settings).expect_err(&settings);
        assert!(fault.starts_with(&format!("settings.{key}: ")), "{settings}: {fault}");
    }
    assert_eq!(told(&class(r#""repeat": "by_key", "window": 9, "deadline": 1"#)), Ok(()));
    assert_eq!(told(r#""zones": ["x", "y"], "zone": "y", "balancers": 300"#), Ok(()));
}

/// What the two deployments' settings say, as far as the program relies on it.
#[test]
fn both_deployments_settings_are_taken_as_they_say() {
    let platform = |settings: &str| {
        let text = format!(
            r#"{{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "peer_listen": "127.0.0.1:3", "peers_all":
               "127.0.0.1:4", "peers": ["127.0.0.1:3"], "settings": {{{settings}}}}}"#
        );
        parse_platform(text.as_bytes()).expect("sound")
    };
    let shop = platform(
        r#""balancers": 300, "family-info": {"message-aim": [100], "tells-delay": true, "tells-load": true},
           "limits": {"peers": true, "probing": false}, "reporting": {"fields": [], "how": "off"},
           "charges": {"peer": 0.01}, "invariants": {"cold-share": 0.3, "tip-multiple": 4, "overload-for": 3000}"#,
    );
    assert!(shop.peers.is_some() && shop.pool.tells_load && shop.pool.reports.is_empty());
    assert!(!shop.pool.settings.probes && !shop.pool.settings.probe_reports);
    assert_eq!(
        (shop.pool.settings.slow_start_overload_factor, shop.pool.settings.slow_start_window),
        (4.0, 3_000_000)
    );
    let meters = platform(
        r#""balancers": 3, "family-info": {"message-aim": [100, 50, 100, 150], "tells-delay": true, "tells-load": false,
           "report-x0": "load asked of the server over what it can do"},
           "limits": {"peers": false, "probing": true, "connect-timeout": 100},
           "reporting": {"fields": ["x0", "errors_per_s", "utilization"], "how": "on_probe"},
           "charges": {"probe": 0.0021, "moves": 0.024},
           "invariants": {"cold-share": 0.17, "tip-multiple": 3, "overload-for": 2000, "warm-up": 24000}"#,
    );
    assert!(meters.peers.is_none() && !meters.pool.tells_load && meters.pool.tells_delay);
    assert_eq!(meters.pool.reports, ["x0", "utilization", "util"]);
    let settings = &meters.pool.settings;
    assert!(settings.probes && settings.probe_reports);
    assert_eq!((settings.probe_cost, settings.connect_timeout), (0.0021, 100_000));
    assert_eq!((settings.slow_start_share, settings.slow_start_duration), (0.17, 24_000_000));
    // Without the word for it a report's `x0` is of something else.
    let untold =
        platform(r#""reporting": {"fields": ["x0"], "how": "on_probe"}, "limits": {"probing": true}"#);
    assert!(untold.pool.reports.is_empty() && !untold.pool.settings.probe_reports);
    let off =
        platform(r#""reporting": {"fields": ["utilization"], "how": "off"}, "limits": {"probing": true}"#);
    assert!(off.pool.reports.is_empty());
}

/// Danger: usual clients alone hold a third of the descriptors, and their attempts as many again.
#[test]
fn budgets_follow_from_the_limits() {
    for (sockets, memory_mb) in [(256, 32), (1024, 32), (1024, 192), (64, 8), (65_536, 16)] {
        let budget = Limits { sockets, memory_mb }.budget(true, true);
        let all = budget.waiting + 2 * budget.held;
        assert!(all + 36 <= sockets, "{budget:?} of {sockets}");
        assert!(all * budget.buffer <= memory_mb << 19, "{budget:?} of {memory_mb} MB");
        assert!(budget.held >= sockets / 3 || !(256..=1024).contains(&sockets), "{budget:?} of {sockets}");
        assert!(budget.waiting > 0 && budget.held > 0, "{budget:?}");
    }
    let with = |more: &str| {
        let text =
            format!(r#"{{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {{{more}}}}}"#);
        parse_platform(text.as_bytes()).map(|platform| platform.limits).map_err(|fault| fault.to_string())
    };
    assert_eq!(with(r#""sockets": 384, "memory_mb": 48"#), Ok(Limits { sockets: 384, memory_mb: 48 }));
    assert!(with(r#""sockets": 12"#).is_err_and(|told| told.starts_with("limits.sockets: ")));
    assert!(with(r#""memory_mb": "all""#).is_err_and(|told| told.starts_with("limits.memory_mb: ")));
}

#[test]
fn what_an_operator_writes_to_the_store_is_checked() {
    for (key, value) in [
        ("host/irc-3", Some("127.0.0.1:6667 dc-west 2")),
        ("host/irc-3", None),
        ("life/irc-3", Some("gone")),
        ("limit/connections", Some("12")),
    ] {
        assert_eq!(store_entry(key, value), Ok(()), "{key} {value:?}");
    }
    for (key, value) in [
        ("host/irc-3", Some("irc.example:6667")),
        ("host/", None),
        ("life/irc-3", Some("draining")),
        ("limit/connections", Some("-1")),
        ("limits", Some("1")),
    ] {
        let told = store_entry(key, value).expect_err("faulty");
        assert!(told.starts_with(key), "{told}");
    }
}
