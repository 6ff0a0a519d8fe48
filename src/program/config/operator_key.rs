//! Keys of the operator's file that are not the IRC front's alone.

pub(super) const ADMIN_ADDRESS: &str = "mgmt";
pub(super) const LIMITS: &str = "limits";
pub(super) const STORE: &str = "store";
pub(super) const LOG: &str = "log";
