//! Slow rebalancing: which established connections are asked to reconnect so that load evens out, when, and how many.
//! `docs/rebalancing.md` gives the reasons.
//!
//! **What it does.** It is notified of what happens to connections and servers ([`Rebalance::on_event`]) and, when its
//! time has come ([`Rebalance::due`]), of what the decision module knows of each server ([`Rebalance::evaluate`]). It
//! answers with connections to migrate, and with changes of ceilings: lower where a server holds more than its fair
//! share, so that new connections go elsewhere at no cost, and higher where nothing is known of a server that has just
//! started. Where migrated clients go is decided by the decision module, by its own random draw.
//!
//! **What it guarantees.** It migrates nobody unless a server is under pressure while another has room, and unless the
//! gain is a margin over the cost; no group is split; nothing is moved while one of the [`SystemConditions`] takes
//! precedence, while setups are slow, or while earlier moves turn out badly. No client that came back from a migration is
//! migrated again. Its maps are bounded by the established connections, by the endpoint list, and by a constant number of
//! absent clients.
//!
//! **What it may touch.** Nothing: no clock, no sockets, no files, no randomness but its own seeded one. The reducer
//! (`src/routing/`) owns one for each pool and carries out its decisions.
#![deny(missing_docs)]

mod absent;
mod arrivals;
mod config;
mod decision;
mod effect;
mod event;
pub mod fleet;
mod hold_reason;
mod lifetime;
pub mod move_rate;
pub mod precedence;
pub mod pressure;
mod returns;
pub mod room;
mod selection;
mod setup_times;
mod slow_reports;
pub mod units;
pub mod view;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{ConnectionId, Micros, ServerId, Time};

pub use config::{RebalanceConfig, RebalanceContext};
pub use decision::{CeilingIncrease, Decision, HoldTransition, Migration, RebalanceMetrics};
pub use event::{RebalanceEvent, ServerSnapshot};
pub use hold_reason::HoldReason;
use move_rate::MoveRate;
use precedence::Precedence;
pub use precedence::SystemConditions;
use selection::MovePlan;
use view::{EstablishedConnection, View};

/// Time between two evaluations, before jitter.
const EVALUATION_INTERVAL: Micros = Micros::from_millis(500);
/// Factors of the interval that are drawn: balancers must not act in step.
const EVALUATION_JITTER: std::ops::Range<f64> = 0.8..1.2;
/// How long it is remembered that moves off a server have begun, or that moves were meant for it.
const MOVE_MEMORY: Micros = Micros::from_secs(10);
/// Sets this generator apart from others with the same seed.
const SEED_SALT: u64 = 0x6d6f_7665;

/// Decides for one pool of one balancer. Same settings, seed, events and times: same moves.
#[derive(Debug)]
pub struct Rebalance {
    config: RebalanceConfig,
    context: RebalanceContext,
    view: View,
    rate: MoveRate,
    precedence: Precedence,
    next_evaluation: Option<Time>,
    rng: Pcg64Mcg,
    /// Servers that are being relieved, and since when: for them the lower threshold applies.
    relieving: BTreeMap<ServerId, Time>,
    /// Servers that moves were meant for, and when.
    recently_filled: BTreeMap<ServerId, Time>,
    metrics: RebalanceMetrics,
}

impl Rebalance {
    /// One that knows its settings and nothing else.
    pub fn new(config: RebalanceConfig, context: RebalanceContext, seed: u64, now: Time) -> Rebalance {
        Rebalance {
            config,
            view: View::new(now, &context),
            rate: MoveRate::new(now, &config, &context),
            precedence: Precedence::new(now),
            next_evaluation: config.enabled.then_some(now.plus(EVALUATION_INTERVAL)),
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT),
            relieving: BTreeMap::new(),
            recently_filled: BTreeMap::new(),
            metrics: RebalanceMetrics::default(),
            context,
        }
    }

    /// Applies other settings from now on; what was seen stays.
    pub fn configure(&mut self, now: Time, config: RebalanceConfig, context: RebalanceContext) {
        self.rate.configure(&config, &context);
        self.view.configure(&context);
        self.config = config;
        self.context = context;
        self.next_evaluation =
            config.enabled.then(|| self.next_evaluation.unwrap_or(now.plus(EVALUATION_INTERVAL)));
        self.on_event(now, RebalanceEvent::ConfigurationReloaded);
    }

    /// When [`Rebalance::evaluate`] is wanted next; never while it is disabled.
    pub fn due(&self) -> Option<Time> {
        self.next_evaluation
    }

    /// The metrics now.
    pub fn metrics(&self) -> RebalanceMetrics {
        let rate = if self.config.enabled { self.rate.allowed_per_s() } else { 0.0 };
        RebalanceMetrics { rate, ..self.metrics }
    }

    /// An established connection: for tests.
    pub fn connection(&self, connection: ConnectionId) -> Option<EstablishedConnection> {
        self.view.connection(connection)
    }

    /// Takes in what happened.
    pub fn on_event(&mut self, now: Time, event: RebalanceEvent) {
        match event {
            RebalanceEvent::ConnectionRequested { connection, key, reconnecting } => {
                self.on_requested(now, connection, key, reconnecting);
            }
            RebalanceEvent::ConnectionEstablished { connection, properties, setup } => {
                self.on_established(now, connection, properties, setup);
            }
            RebalanceEvent::LoadReported { connection, load } => self.view.on_load_reported(connection, load),
            RebalanceEvent::MessageTimeReported { server, took } => {
                self.view.on_message_time_reported(now, server, took);
            }
            RebalanceEvent::ConnectionRejected { connection } => self.on_rejected(now, connection),
            RebalanceEvent::ConnectionEnded { connection, natural } => {
                self.view.on_ended(now, connection, natural);
            }
            RebalanceEvent::EndpointListChanged { ready } => {
                self.precedence.on_endpoint_list_changed(now, ready);
            }
            RebalanceEvent::EndpointListLost => self.precedence.on_endpoint_list_lost(),
            RebalanceEvent::EndpointListReceived => self.precedence.on_endpoint_list_received(),
            RebalanceEvent::ConfigurationReloaded => self.precedence.on_reload(now),
        }
    }

    fn on_requested(&mut self, now: Time, connection: ConnectionId, key: Option<u64>, reconnecting: bool) {
        self.precedence.on_arrival(now);
        if self.view.on_requested(now, connection, key, reconnecting) {
            self.metrics.returned += 1;
            self.rate.on_returned();
        } else if reconnecting {
            self.rate.on_returned_from_other();
        }
    }

    fn on_established(
        &mut self,
        now: Time,
        connection: ConnectionId,
        properties: view::Connection,
        setup: Option<Micros>,
    ) {
        // At a slow server a setup is slow too, which shows nothing of the session store.
        if let Some(took) = setup.filter(|_| !self.view.reported_slow(now, properties.server)) {
            self.rate.on_setup(now, took);
        }
        self.view.on_established(now, connection, properties);
    }

    fn on_rejected(&mut self, now: Time, connection: ConnectionId) {
        self.rate.on_rejected();
        if self.view.on_rejected(connection) {
            self.metrics.rejected += 1;
            self.rate.on_migrated_rejected(now);
        }
    }

    /// Decides who is to be migrated now. Each of the moves counts as made.
    pub fn evaluate(
        &mut self,
        now: Time,
        conditions: SystemConditions,
        servers: &[ServerSnapshot],
    ) -> Decision {
        if !self.config.enabled {
            self.next_evaluation = None;
            return Decision::default();
        }
        self.schedule_next_evaluation(now);
        self.relieving.retain(|_, since| now.since(*since) < MOVE_MEMORY);
        self.recently_filled.retain(|_, at| now.since(*at) < MOVE_MEMORY);
        let expired = self.view.expire_absent(now);
        self.rate.advance(now, self.view.established(), expired);
        let ready = servers.iter().filter(|server| server.ready).count();
        let rule = self.precedence.hold_reason(now, conditions, ready);
        let hold_reason = rule.or_else(|| self.rate.hold_reason(now));
        let mut decision = Decision::default();
        if hold_reason.is_none() {
            decision.ceilings = self.raise_unknown_ceilings(now, servers);
            let MovePlan { moves, lowered } = self.plan_moves(now, servers);
            decision.moves = moves;
            decision.lowered = lowered;
        }
        decision.log = self.update_hold_reason(hold_reason);
        decision
    }

    fn schedule_next_evaluation(&mut self, now: Time) {
        let jitter = self.rng.random_range(EVALUATION_JITTER);
        self.next_evaluation = Some(now.plus(Micros::from_f64(EVALUATION_INTERVAL.as_f64() * jitter)));
    }

    /// Remembers why moves are held; a change is logged only where it keeps moves from being made.
    fn update_hold_reason(&mut self, reason: Option<HoldReason>) -> Option<HoldTransition> {
        let previous = std::mem::replace(&mut self.metrics.hold_reason, reason);
        let relevant = self.metrics.moved > 0 || previous.is_some();
        if previous == reason || !relevant {
            return None;
        }
        Some(reason.map_or(HoldTransition::Resumed, HoldTransition::Held))
    }
}
