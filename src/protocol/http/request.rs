//! Requests for the endpoint list.

/// Query for changes to the endpoint list only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangesQuery {
    /// Generation of the balancer's list: changes after it are requested.
    pub generation: u64,
    /// Longest time that discovery may delay the response while there are no changes, in milliseconds.
    pub max_delay_ms: u64,
}

/// Encodes a request for changes to the endpoint list, or for the whole list if `changes` is `None`.
pub fn encode_request(host: &str, changes: Option<ChangesQuery>) -> Vec<u8> {
    let query = changes.map_or(String::new(), |ChangesQuery { generation, max_delay_ms: hold_ms }| {
        format!("?from={generation}&hold_ms={hold_ms}")
    });
    format!("GET /v1/servers{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}
