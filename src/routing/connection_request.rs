//! The request of a client for a connection, independent of the protocol that the client speaks.

use crate::Micros;

/// A client's request for a connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConnectionRequest {
    /// The client's own id for the connection, if it sent one. No two open connections may have the same id.
    pub id: Option<String>,
    /// Name of the client's class.
    pub class: String,
    /// Name of the client's tenant, if it sent one.
    pub tenant: Option<String>,
    /// Number of the client's group, if it has one. Connections of one group are placed at as few servers as
    /// the group's size allows (`policy::selection`).
    pub group: Option<u64>,
    /// The connection's usual load, in microseconds of work per second, if the client sent it.
    pub load: Option<f64>,
    /// Time for which the client waits for its answer, from the arrival of the request. Without it, the
    /// client waits until the end of the request timeout.
    pub timeout: Option<Micros>,
    /// Name of the server at which the connection was established before this process started.
    pub established_server: Option<String>,
    /// Hash of the client's key, by which a returning client is recognised. The client's key is sent in a
    /// platform request, and is the nick in IRC.
    pub key: Option<u64>,
    /// Whether the client reconnects after its connection broke or was migrated.
    pub reconnecting: bool,
}
