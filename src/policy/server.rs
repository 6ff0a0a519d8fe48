//! State of one server at this balancer: its entry in the endpoint list, its connections, and the state of
//! each rule.

use super::concurrency_limit::ConcurrencyLimit;
use super::last_migration::LastMigration;
use super::load_reports::LoadReports;
use super::outlier_detection::OutlierDetector;
use super::slow_start::SlowStart;
use crate::bookkeeping::ServerConnections;
use crate::types::{EndpointEntry, EndpointState, LearnedState, Time};

/// State of one server. The state of each rule is changed only by the methods of that rule's type.
#[derive(Debug, Default)]
pub struct Server {
    /// Latest entry of the server in the endpoint list.
    pub entry: EndpointEntry,
    /// Number of the server's process. Slots that were occupied at an earlier process are not released at a
    /// later one.
    pub incarnation: u64,
    /// Connections and attempts of this balancer at the server.
    pub connections: ServerConnections,
    /// Ceiling of the slots that this balancer occupies at the server, and the last fault.
    pub limit: ConcurrencyLimit,
    /// Failure score and ejection.
    pub outlier: OutlierDetector,
    /// Warmth, and the time of the next attempt in slow start.
    pub slow_start: SlowStart,
    /// Time of the last probe, and the last load report.
    pub load_reports: LoadReports,
    /// Time at which a connection was last asked to migrate away from the server.
    pub last_migration: LastMigration,
}

impl Server {
    /// Creates the state of a new process without learned state.
    pub fn new(entry: EndpointEntry, incarnation: u64, now: Time) -> Server {
        let slow_start = SlowStart::of_process(entry.started_at, now);
        Server { entry, incarnation, slow_start, ..Server::default() }
    }

    /// Returns whether the server's process runs and accepts new connections.
    pub fn is_serving(&self) -> bool {
        self.entry.state == EndpointState::Serving
    }

    /// Returns whether the state may be removed: the server is gone and has no connection or attempt left.
    pub fn is_removable(&self) -> bool {
        self.entry.state == EndpointState::Gone && self.connections.is_empty()
    }

    /// Returns the learned state, for the balancer process that succeeds this one.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            ceiling: self.limit.ceiling(),
            last_fault: self.limit.last_fault(),
            failure_score: self.outlier.failure_score(),
            last_failure: self.outlier.last_failure(),
            ejected_until: self.outlier.ejected_until(),
            next_slow_start_attempt_at: self.slow_start.next_attempt_at(),
            last_migration: self.last_migration.at(),
        }
    }

    /// Restores the state that the preceding balancer process learned of the server.
    pub fn import_learned_state(&mut self, learned: &LearnedState) {
        self.limit = ConcurrencyLimit::from_learned(learned);
        self.outlier = OutlierDetector::from_learned(learned);
        self.slow_start.restore_wait(learned);
        self.last_migration = LastMigration::new(learned.last_migration);
    }
}
