//! Tests of the operator's settings file of rebalancing.

use connection_balancer::program::config as program_config;

#[test]
fn reports_invalid_settings_by_key() {
    let deployed = program_config::parse_rebalance(include_bytes!("../../deploy/rebalance.json"))
        .expect("the deployed settings are valid");
    assert!(deployed["irc"].enabled);
    let error_of = |text: &str| {
        program_config::parse_rebalance(text.as_bytes()).expect_err("the settings are invalid").to_string()
    };
    assert!(error_of(r#"{"platform": {"margin": 0.5}}"#)
        .starts_with("platform.margin: expected at least 1, got 0.5"));
    assert!(error_of(r#"{"irc": {"most_per_s": 0}}"#).starts_with("irc.most_per_s: expected more than 0"));
    assert!(error_of(r#"{"irc": {"assumed_use": 1}}"#).starts_with("irc.assumed_use: expected a share"));
    assert!(error_of(r#"{"irc": {"speed": 1}}"#).starts_with("irc.speed: unknown key"));
    assert!(error_of(r#"{"smtp": {}}"#).starts_with("smtp: unknown key"));
    assert!(error_of("{").starts_with("document: not JSON"));
}
