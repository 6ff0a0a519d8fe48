//! What a client requests, independent of the protocol that it speaks.

use crate::Micros;

/// A client's request for a connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConnectionRequest {
    /// The client's own id for the connection, if it gives one. No two open connections may have the same.
    pub id: Option<String>,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant.
    pub tenant: Option<String>,
    /// Its group: connections of one group are placed at one server where possible.
    pub group: Option<u64>,
    /// Its usual load, in the unit of the settings.
    pub load: Option<f64>,
    /// How long the client waits for its answer from now on. Without it, until the end of the handshake timeout.
    pub timeout: Option<Micros>,
    /// Name of the server at which the connection was established before this process started.
    pub established_at: Option<String>,
    /// Hash of the flow's key, by which a returning client is recognised.
    pub key: Option<u64>,
    /// Whether the client returns after its connection broke or was migrated.
    pub reconnecting: bool,
}
