//! Assembles the reducer from its initial state, its pools, and the dispatcher of its effects.
//!
//! The daemon and replays both start with an [`Assembly`]; each then starts the tasks that it needs.

use std::rc::Rc;

use tokio::sync::mpsc::UnboundedReceiver;

use super::admin_server::AdminContext;
use super::clock::Clock;
use super::connection::ConnectionContext;
use super::driver::EffectDispatcher;
use super::record::TrafficRecorder;
use super::reducer::ReducerHandle;
use crate::program::config::Config;
use crate::routing::{Input, PoolId, ReplicationConfig, State};

/// The reducer, the dispatcher of its effects, and the pools of the configured fronts.
pub(super) struct Assembly {
    /// Handle to the reducer, for the tasks that feed inputs.
    pub reducer: ReducerHandle,
    /// Dispatcher of the reducer's effects, with which the daemon registers consumers.
    pub effects: Rc<EffectDispatcher>,
    /// Records the fronts' traffic.
    pub recorder: TrafficRecorder,
    /// Receives a value when the process can exit.
    pub exit: UnboundedReceiver<()>,
    /// Pool of the platform's front, if that front is configured.
    pub platform: Option<PoolId>,
    /// Pool of the IRC front, if that front is configured.
    pub irc: Option<PoolId>,
}

impl Assembly {
    /// Sets up the pools, and feeds the reducer the endpoints in the configuration. Opens no sockets.
    pub(super) fn new(config: &Config) -> Assembly {
        let clock = Clock::start();
        let (effects, exit) = EffectDispatcher::new();
        let effects = Rc::new(effects);
        let state = initial_state(config, clock);
        let reducer = ReducerHandle::new(state, clock, effects.clone());
        let recorder = TrafficRecorder::new(clock);
        let mut assembly = Assembly { reducer, effects, recorder, exit, platform: None, irc: None };
        assembly.feed_configured_endpoints(config);
        assembly
    }

    fn feed_configured_endpoints(&mut self, config: &Config) {
        let mut pool = PoolId(0);
        if let Some(platform) = &config.platform {
            let endpoints = platform.cached_endpoints.endpoints.clone();
            self.reducer.feed(Input::CachedEndpoints { pool, endpoints });
            self.platform = Some(pool);
            pool.0 += 1;
        }
        if let Some(irc) = &config.irc {
            let endpoints = irc.endpoints.clone();
            self.reducer.feed(Input::EndpointsUpdated { pool, is_snapshot: true, endpoints });
            self.irc = Some(pool);
        }
    }

    /// Returns the context that each connection task is started with.
    pub(super) fn connection_context(&self) -> ConnectionContext {
        ConnectionContext {
            reducer: self.reducer.clone(),
            registry: self.effects.connections.clone(),
            recorder: self.recorder.clone(),
        }
    }

    /// Returns the context that the tasks of admin clients are started with.
    pub(super) fn admin_context(&self) -> AdminContext {
        AdminContext { reducer: self.reducer.clone(), calls: self.effects.admin_calls.clone() }
    }
}

fn initial_state(config: &Config, clock: Clock) -> State {
    let Config { platform, irc, store, resource_limits, .. } = config;
    let mut replication = ReplicationConfig::default();
    if let Some(store) = store {
        replication.node = store.node.clone();
        replication.other_replicas = store.peers.clone();
    }
    let platform_pool = platform.iter().map(|platform| platform.pool.clone());
    let pools = platform_pool.chain(irc.iter().map(|irc| irc.pool.clone())).collect();
    State::new(pools, replication, *resource_limits, clock.started_at())
}
