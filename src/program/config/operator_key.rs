//! Top-level keys of the operator's file for settings that are not specific to the IRC front.

pub(super) const ADMIN_ADDRESS: &str = "mgmt";
pub(super) const LIMITS: &str = "limits";
pub(super) const STORE: &str = "store";
pub(super) const LOG: &str = "log";
