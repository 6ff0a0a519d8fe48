//! The operator's settings file.

use connection_balancer::program::config as program_config;

#[test]
fn checks_its_settings_file_by_key() {
    let sound =
        program_config::parse_rebalance(include_bytes!("../../deploy/rebalance.json")).expect("sound");
    assert!(sound["irc"].enabled);
    let fault =
        |text: &str| program_config::parse_rebalance(text.as_bytes()).expect_err("faulty").to_string();
    assert!(fault(r#"{"platform": {"margin": 0.5}}"#)
        .starts_with("platform.margin: expected at least 1, got 0.5"));
    assert!(fault(r#"{"irc": {"most_per_s": 0}}"#).starts_with("irc.most_per_s: expected more than 0"));
    assert!(fault(r#"{"irc": {"assumed_use": 1}}"#).starts_with("irc.assumed_use: expected a share"));
    assert!(fault(r#"{"irc": {"speed": 1}}"#).starts_with("irc.speed: no such key"));
    assert!(fault(r#"{"smtp": {}}"#).starts_with("smtp: no such key"));
    assert!(fault("{").starts_with("document: not JSON"));
}
