//! Recent observations, which prevent balancers from repeating each other's observations.
//!
//! All balancers with a connection at a slow server observe the slowness at the same time. While an
//! observation is valid, further observations of the same subject are known and need not be sent.

use std::collections::BTreeMap;

use super::config::GossipConfig;
use super::message::{Observation, Subject};
use crate::{Micros, Time};

/// Time at which each subject was last observed by this or another balancer.
#[derive(Debug, Default)]
pub(super) struct RecentObservations {
    last_observed: BTreeMap<Subject, Time>,
}

impl RecentObservations {
    /// Returns whether an earlier observation of the same subject is still valid.
    pub(super) fn is_known(&self, now: Time, observation: Observation, config: &GossipConfig) -> bool {
        let validity = validity_of(observation, config);
        self.last_observed.get(&observation.subject()).is_some_and(|at| now.since(*at) < validity)
    }

    /// Records an observation and removes expired ones. Without the removal the map would grow, because new
    /// servers get new ids.
    pub(super) fn record(&mut self, now: Time, observation: Observation, config: &GossipConfig) {
        let longest_validity = config.observation_validity.max(config.slow_setup_validity);
        self.last_observed.retain(|_, at| now.since(*at) < longest_validity);
        self.last_observed.insert(observation.subject(), now);
    }
}

/// Returns the time for which an observation is valid.
fn validity_of(observation: Observation, config: &GossipConfig) -> Micros {
    match observation {
        Observation::SlowServer(..) | Observation::Dropped(_) => config.observation_validity,
        Observation::SlowSetups => config.slow_setup_validity,
    }
}
