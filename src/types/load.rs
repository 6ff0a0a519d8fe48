//! Loads and times measured on connections and reported by servers.

use super::Micros;

/// A measurement on an established connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measurement {
    /// The connection's present load, in microseconds of work a second.
    Load(f64),
    /// How long a message takes at its server now.
    MessageTime(Micros),
}

/// A server's report of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Load over capacity: 1 is full, more is overloaded.
    pub utilisation: f64,
    /// Connections that it holds, of all balancers, where reported.
    pub connections: Option<f64>,
}

impl LoadReport {
    /// The report, if its utilisation is finite and not negative; without its connections if only those are
    /// invalid.
    pub(crate) fn validated(self) -> Option<LoadReport> {
        let is_valid = |figure: &f64| figure.is_finite() && *figure >= 0.0;
        let connections = self.connections.filter(is_valid);
        is_valid(&self.utilisation).then_some(LoadReport { connections, ..self })
    }
}
