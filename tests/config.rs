//! Decoding of the configuration files. Every error names the key path of the invalid value.

use connection_balancer::program::config::{check_replicated_entry, parse_operator, parse_platform, Limits};
use connection_balancer::Micros;

#[test]
fn accepts_the_shipped_operator_file() {
    let operator = parse_operator(include_bytes!("../deploy/irc.json")).expect("valid");
    assert_eq!((operator.irc.endpoints.len(), operator.store), (2, None));
    assert_eq!(operator.irc.pool.request_timeout, Micros::from_secs(10));
}

#[test]
fn operator_file_errors_name_their_key() {
    let error_of = |text: &str| parse_operator(text.as_bytes()).expect_err("an error").to_string();
    let error_with_listen = |fields: &str| error_of(&format!("{{\"listen\": \"127.0.0.1:6667\", {fields}}}"));
    assert_eq!(error_of("{}"), "listen: is missing or empty");
    assert!(error_of("{").starts_with("document: not JSON"));
    assert_eq!(
        error_of(r#"{"listen": "localhost"}"#),
        r#"listen: expected an IP address with a port, such as 127.0.0.1:8081, got "localhost""#
    );
    assert_eq!(
        error_with_listen(r#""lisen": 1"#),
        "lisen: unknown key; the known keys are listen, mgmt, name, public, seed, class, tenant, capabilities, \
         balancers, limits, drain_over_ms, zone, zones, hosts, store, log"
    );
    assert_eq!(
        error_with_listen(r#""limits": {"legs": "six"}"#),
        r#"limits.legs: expected a number of 0 or more, got "six""#
    );
    assert_eq!(
        error_with_listen(r#""limits": {"legs": -1}"#),
        "limits.legs: expected a number of 0 or more, got -1"
    );
    assert_eq!(error_with_listen(r#""hosts": [{"name": "a"}]"#), "hosts[0].address: is missing or empty");
    assert_eq!(error_with_listen(r#""hosts": {}"#), "hosts: expected a list, got {}");
    assert_eq!(error_with_listen(r#""store": {"listen": "127.0.0.1:1"}"#), "store.node: is missing or empty");
    assert!(error_with_listen(r#""store": {"node": "n", "listen": "127.0.0.1:1", "peers": ["x"]}"#)
        .starts_with("store.peers[0]: "));
    assert!(error_with_listen(r#""log": {"levels": "loud"}"#)
        .starts_with("log.levels: expected levels such as info"));
    assert_eq!(
        error_with_listen(r#""log": {"format": "xml"}"#),
        r#"log.format: expected text or json, got "xml""#
    );
    assert_eq!(
        error_with_listen(r#""seed": "xyz""#),
        r#"seed: expected up to 16 hexadecimal digits, got "xyz""#
    );
}

#[test]
fn platform_configuration_errors_name_their_key() {
    let error_of = |fields: &str| {
        let text = format!(r#"{{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", {fields}}}"#);
        parse_platform(text.as_bytes()).expect_err("an error").to_string()
    };
    let class_error =
        |fields: &str| error_of(&format!(r#""settings": {{"classes": [{{"name": "a"}}, {{{fields}}}]}}"#));
    assert_eq!(class_error(""), "settings.classes[1].name: is missing or empty");
    assert_eq!(
        class_error(r#""name": "b", "repeat": "often""#),
        r#"settings.classes[1].repeat: expected repeatable, by_key or once, got "often""#
    );
    let server =
        r#""known": {"instances": [{"instanceId": "s", "hostPort": "127.0.0.1:3", "lifecycle": "odd"}]}"#;
    assert!(error_of(server)
        .starts_with(r#"known.instances[0].lifecycle: expected ready, draining or gone, got "odd""#));
    assert_eq!(
        error_of(r#""settings": {"limits": {"cancel": "no"}}"#),
        r#"settings.limits.cancel: expected true or false, got "no""#
    );
}

/// Any customer may write these settings. Invalid values must be reported, not replaced by a default or read
/// as something else.
#[test]
fn settings_out_of_range_are_rejected_by_their_key() {
    let check_settings = |settings: &str| {
        let text =
            format!(r#"{{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {{{settings}}}}}"#);
        parse_platform(text.as_bytes()).map(drop).map_err(|error| error.to_string())
    };
    let second_class =
        |fields: &str| format!(r#""classes": [{{"name": "a", "deadline": 900}}, {{"name": "b", {fields}}}]"#);
    let nested = |part: &str, key: &str, value: &str| format!(r#""{part}": {{"{key}": {value}}}"#);
    let rejected = [
        (second_class(r#""deadline": 0"#), "classes[1].deadline"),
        (second_class(r#""deadline": -5"#), "classes[1].deadline"),
        (second_class(r#""deadline": true"#), "classes[1].deadline"),
        (second_class(r#""deadline": 1e300"#), "classes[1].deadline"),
        (second_class(r#""repeat": "by_key""#), "classes[1].window"),
        (second_class(r#""repeat": "by_key", "window": 0"#), "classes[1].window"),
        (second_class(r#""repeat": "by_key", "window": 9, "group": "planet""#), "classes[1].group"),
        (second_class(r#""gain": "much""#), "classes[1].gain"),
        (r#""classes": [{"name": "a"}, {"name": "a"}]"#.to_owned(), "classes[1].name"),
        (r#""accounts": [{"name": "a"}, {"name": "a"}]"#.to_owned(), "accounts[1].name"),
        (r#""accounts": [{"fraction": 1}]"#.to_owned(), "accounts[0].name"),
        (r#""zones": ["x", "y"], "zone": "z""#.to_owned(), "zone"),
        (r#""discovery": "asked""#.to_owned(), "discovery"),
        (r#""balancers": 0"#.to_owned(), "balancers"),
        (r#""balancers": 2.5"#.to_owned(), "balancers"),
        (r#""over-share-worth": 1.5"#.to_owned(), "over-share-worth"),
        (nested("limits", "try-limit", "0"), "limits.try-limit"),
        (nested("limits", "connect-timeout", "0"), "limits.connect-timeout"),
        (nested("limits", "max-retry-after", "-1"), "limits.max-retry-after"),
        (nested("limits", "cancel", "[]"), "limits.cancel"),
        (nested("invariants", "must-ask-in", "0"), "invariants.must-ask-in"),
        (nested("invariants", "drain-grace", "0"), "invariants.drain-grace"),
        (nested("invariants", "cold-share", "0"), "invariants.cold-share"),
        (nested("invariants", "cold-share", "34"), "invariants.cold-share"),
        (nested("invariants", "tip-multiple", "0.5"), "invariants.tip-multiple"),
        (nested("invariants", "overload-for", "0"), "invariants.overload-for"),
        (nested("invariants", "warm-up", "null-ish").replace("null-ish", r#""soon""#), "invariants.warm-up"),
        (nested("charges", "moves", "-0.1"), "charges.moves"),
    ];
    for (settings, key) in rejected {
        let error = check_settings(&settings).expect_err(&settings);
        assert!(error.starts_with(&format!("settings.{key}: ")), "{settings}: {error}");
    }
    assert_eq!(check_settings(&second_class(r#""repeat": "by_key", "window": 9, "deadline": 1"#)), Ok(()));
    assert_eq!(check_settings(r#""zones": ["x", "y"], "zone": "y", "balancers": 300"#), Ok(()));
}

/// Decodes those settings of the two deployments that the program depends on.
#[test]
fn decodes_the_settings_of_both_deployments() {
    let platform = |settings: &str| {
        let text = format!(
            r#"{{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "peer_listen": "127.0.0.1:3", "peers_all":
               "127.0.0.1:4", "peers": ["127.0.0.1:3"], "settings": {{{settings}}}}}"#
        );
        parse_platform(text.as_bytes()).expect("valid")
    };
    let shop = platform(
        r#""balancers": 300, "family-info": {"message-aim": [100], "tells-delay": true, "tells-load": true},
           "limits": {"peers": true, "probing": false}, "reporting": {"fields": [], "how": "off"},
           "charges": {"peer": 0.01}, "invariants": {"cold-share": 0.3, "tip-multiple": 4, "overload-for": 3000}"#,
    );
    assert!(shop.peers.is_some() && shop.pool.reports_load && shop.pool.load_report_fields.is_empty());
    assert!(!shop.pool.settings.probes_allowed && !shop.pool.settings.probes_report_load);
    assert_eq!(
        (shop.pool.settings.slow_start_overload_factor, shop.pool.settings.slow_start_window),
        (4.0, Micros::from_secs(3))
    );
    let meters = platform(
        r#""balancers": 3, "family-info": {"message-aim": [100, 50, 100, 150], "tells-delay": true, "tells-load": false,
           "report-x0": "load asked of the server over what it can do"},
           "limits": {"peers": false, "probing": true, "connect-timeout": 100},
           "reporting": {"fields": ["x0", "errors_per_s", "utilization"], "how": "on_probe"},
           "charges": {"probe": 0.0021, "moves": 0.024},
           "invariants": {"cold-share": 0.17, "tip-multiple": 3, "overload-for": 2000, "warm-up": 24000}"#,
    );
    assert!(meters.peers.is_none() && !meters.pool.reports_load && meters.pool.reports_message_time);
    assert_eq!(meters.pool.load_report_fields, ["x0", "utilization", "util"]);
    let settings = &meters.pool.settings;
    assert!(settings.probes_allowed && settings.probes_report_load);
    assert_eq!((settings.probe_cost, settings.connect_timeout), (0.0021, Micros::from_millis(100)));
    assert_eq!((settings.slow_start_share, settings.slow_start_duration), (0.17, Micros::from_secs(24)));
    // Without `report-x0`, the `x0` of a load report is not the utilisation.
    let without_report_x0 =
        platform(r#""reporting": {"fields": ["x0"], "how": "on_probe"}, "limits": {"probing": true}"#);
    assert!(
        without_report_x0.pool.load_report_fields.is_empty()
            && !without_report_x0.pool.settings.probes_report_load
    );
    let off =
        platform(r#""reporting": {"fields": ["utilization"], "how": "off"}, "limits": {"probing": true}"#);
    assert!(off.pool.load_report_fields.is_empty());
}

/// With 256 to 1024 descriptors, a third of them must be available for client sockets of admitted
/// connections. The attempts for these clients need as many descriptors again.
#[test]
fn budget_stays_within_the_limits() {
    for (sockets, memory_mb) in [(256, 32), (1024, 32), (1024, 192), (64, 8), (65_536, 16)] {
        let resource_limits = Limits { sockets, memory_mb }.resource_limits(true, true);
        let all = resource_limits.max_pending_connections + 2 * resource_limits.max_admitted_connections;
        assert!(all + 36 <= sockets, "{resource_limits:?} exceeds {sockets} descriptors");
        assert!(
            all * resource_limits.buffer_bytes <= memory_mb << 19,
            "{resource_limits:?} exceeds half of {memory_mb} MB"
        );
        assert!(
            resource_limits.max_admitted_connections >= sockets / 3 || !(256..=1024).contains(&sockets),
            "{resource_limits:?} admits less than a third of {sockets}"
        );
        assert!(
            resource_limits.max_pending_connections > 0 && resource_limits.max_admitted_connections > 0,
            "{resource_limits:?} has an empty share"
        );
    }
    let parse_limits = |fields: &str| {
        let text =
            format!(r#"{{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {{{fields}}}}}"#);
        parse_platform(text.as_bytes()).map(|platform| platform.limits).map_err(|error| error.to_string())
    };
    assert_eq!(
        parse_limits(r#""sockets": 384, "memory_mb": 48"#),
        Ok(Limits { sockets: 384, memory_mb: 48 })
    );
    assert!(parse_limits(r#""sockets": 12"#).is_err_and(|error| error.starts_with("limits.sockets: ")));
    assert!(parse_limits(r#""memory_mb": "all""#).is_err_and(|error| error.starts_with("limits.memory_mb: ")));
}

#[test]
fn entries_for_the_replicated_map_are_checked_before_they_are_written() {
    for (key, value) in [
        ("host/irc-3", Some("127.0.0.1:6667 dc-west 2")),
        ("host/irc-3", None),
        ("life/irc-3", Some("gone")),
        ("limit/connections", Some("12")),
    ] {
        assert_eq!(check_replicated_entry(key, value), Ok(()), "{key} {value:?}");
    }
    for (key, value) in [
        ("host/irc-3", Some("irc.example:6667")),
        ("host/", None),
        ("life/irc-3", Some("draining")),
        ("limit/connections", Some("-1")),
        ("limits", Some("1")),
    ] {
        let error = check_replicated_entry(key, value).expect_err("an error").to_string();
        assert!(error.starts_with(key), "{error}");
    }
}
