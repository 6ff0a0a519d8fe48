//! One server as this balancer sees it: its entry in the endpoint list, what it holds, and the state of each
//! rule.

use super::concurrency_limit::ConcurrencyLimit;
use super::last_migration::LastMigration;
use super::load_reports::LoadReports;
use super::outlier_detection::OutlierDetector;
use super::slow_start::SlowStart;
use crate::bookkeeping::ServerConnections;
use crate::types::{EndpointEntry, EndpointState, LearnedState, Time};

/// One server. Each part is written by its own methods alone.
#[derive(Debug, Default)]
pub struct Server {
    /// Its latest entry in the endpoint list.
    pub entry: EndpointEntry,
    /// The number of its process: what an earlier process held is not released from a later one.
    pub incarnation: u64,
    /// The connections there.
    pub connections: ServerConnections,
    /// How many slots may be occupied there.
    pub limit: ConcurrencyLimit,
    /// Its failures and its ejection.
    pub outlier: OutlierDetector,
    /// Its warmth, and when it may get the next attempt.
    pub slow_start: SlowStart,
    /// Its probes and their reports.
    pub load_reports: LoadReports,
    /// When a connection was last asked to migrate away from it.
    pub last_migration: LastMigration,
}

impl Server {
    /// A process of which nothing is known but its entry.
    pub fn new(entry: EndpointEntry, incarnation: u64, now: Time) -> Server {
        let slow_start = SlowStart::of_process(entry.started, now);
        Server { entry, incarnation, slow_start, ..Server::default() }
    }

    /// Whether its process runs and takes new connections.
    pub fn is_serving(&self) -> bool {
        self.entry.state == EndpointState::Serving
    }

    /// Whether its entry may be forgotten: it is gone, and nothing is held there.
    pub fn is_forgettable(&self) -> bool {
        self.entry.state == EndpointState::Gone && self.connections.is_empty()
    }

    /// What was learned of it, for a successor of this process.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            ceiling: self.limit.ceiling(),
            last_fault: self.limit.last_fault(),
            failure_score: self.outlier.failures(),
            last_failure: self.outlier.last_failure(),
            ejected_until: self.outlier.ejected_until(),
            next_slow_start_send: self.slow_start.next_attempt_at(),
            last_migration: self.last_migration.at(),
        }
    }

    /// Takes over what a predecessor of this process learned of it.
    pub fn restore_learned_state(&mut self, learned: &LearnedState) {
        self.limit = ConcurrencyLimit::from_learned(learned);
        self.outlier = OutlierDetector::from_learned(learned);
        self.slow_start.restore_wait(learned);
        self.last_migration = LastMigration::new(learned.last_migration);
    }
}
