//! Requests for the endpoint list.

/// A query for the changes of the endpoint list only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangesQuery {
    /// The generation since which changes are wanted.
    pub generation: u64,
    /// How long the response may be held until there are changes, in milliseconds.
    pub hold_ms: u64,
}

/// Encodes a request for changes of the endpoint list, or else for the whole list.
pub fn encode_request(host: &str, changes: Option<ChangesQuery>) -> Vec<u8> {
    let query = changes.map_or(String::new(), |ChangesQuery { generation, hold_ms }| {
        format!("?from={generation}&hold_ms={hold_ms}")
    });
    format!("GET /v1/servers{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}
