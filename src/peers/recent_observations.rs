//! Recent observations, by which balancers avoid repeating one another.
//!
//! All balancers with a connection at a slow server observe that at the same time. While an observation holds, further
//! ones of the same subject are known and need not be sent.

use std::collections::BTreeMap;

use super::config::GossipConfig;
use super::message::{Observation, Subject};
use crate::{Micros, Time};

/// When each subject was last observed, here or by another balancer.
#[derive(Debug, Default)]
pub(super) struct RecentObservations {
    last_observed: BTreeMap<Subject, Time>,
}

impl RecentObservations {
    /// Whether an earlier observation of the same subject still holds.
    pub(super) fn is_known(&self, now: Time, observation: Observation, config: &GossipConfig) -> bool {
        let hold = hold_of(observation, config);
        self.last_observed.get(&observation.subject()).is_some_and(|at| now.since(*at) < hold)
    }

    /// Records an observation, and drops those that hold no more: servers come and go under ever new numbers.
    pub(super) fn record(&mut self, now: Time, observation: Observation, config: &GossipConfig) {
        let longest_hold = config.observation_hold.max(config.slow_setup_hold);
        self.last_observed.retain(|_, at| now.since(*at) < longest_hold);
        self.last_observed.insert(observation.subject(), now);
    }
}

/// For how long an observation holds.
fn hold_of(observation: Observation, config: &GossipConfig) -> Micros {
    match observation {
        Observation::SlowServer(..) | Observation::Dropped(_) => config.observation_hold,
        Observation::SlowSetUps => config.slow_setup_hold,
    }
}
