//! Loads and message times that are measured on connections or reported by servers.

use super::Micros;

/// Value measured on an established connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measurement {
    /// Current load of the connection, in microseconds of work per second.
    Load(f64),
    /// Time that a message currently takes at the connection's server.
    MessageTime(Micros),
}

/// Load report of a server, from the answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Load divided by capacity. 1 means full, more than 1 overloaded.
    pub utilisation: f64,
    /// Number of connections of all balancers at the server; `None` if not reported.
    pub connections: Option<f64>,
}

impl LoadReport {
    /// Returns the report if its utilisation is finite and not negative. An invalid number of connections is
    /// dropped from the report.
    pub(crate) fn validated(self) -> Option<LoadReport> {
        let is_valid = |value: &f64| value.is_finite() && *value >= 0.0;
        let connections = self.connections.filter(is_valid);
        is_valid(&self.utilisation).then_some(LoadReport { connections, ..self })
    }
}
