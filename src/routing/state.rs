//! The state of the daemon, composed of one part for each concern.

use super::connection_table::ConnectionTable;
use super::front_admission::FrontAdmission;
use super::hot_restart_state::HotRestartState;
use super::operator_exclusions::OperatorExclusions;
use super::pool::Pool;
use super::replica::Replica;
use super::shutdown_state::ShutdownState;
use super::{Effect, PoolConfig, ReplicationConfig, ResourceLimits};
use crate::Time;

/// All state of the daemon.
pub struct State {
    pub(super) pools: Vec<Pool>,
    pub(super) connections: ConnectionTable,
    pub(super) admission: FrontAdmission,
    pub(super) exclusions: OperatorExclusions,
    pub(super) replication: Replica,
    pub(super) hot_restart: HotRestartState,
    pub(super) shutdown: ShutdownState,
    /// Whether the fronts' listeners are open. Set by [`super::Input::Listening`] and never cleared.
    pub(super) is_listening: bool,
    /// Number of attempts whose request was written in full, since the process started.
    pub(super) forwarded_requests: u64,
    /// Effects of the input that is being handled, in the order in which they are returned.
    pub(super) effects: Vec<Effect>,
}

impl State {
    /// Returns the state of a process that has just started with this configuration.
    pub fn new(
        pools: Vec<PoolConfig>,
        replication: ReplicationConfig,
        resource_limits: ResourceLimits,
        now: Time,
    ) -> State {
        State {
            pools: pools.into_iter().map(|config| Pool::new(config, now)).collect(),
            connections: ConnectionTable::default(),
            admission: FrontAdmission::new(resource_limits),
            exclusions: OperatorExclusions::default(),
            replication: Replica::new(replication, now),
            hot_restart: HotRestartState::default(),
            shutdown: ShutdownState::default(),
            is_listening: false,
            forwarded_requests: 0,
            effects: Vec::new(),
        }
    }

    /// Returns the limits of all fronts together.
    pub fn resource_limits(&self) -> ResourceLimits {
        self.admission.resource_limits()
    }
}
