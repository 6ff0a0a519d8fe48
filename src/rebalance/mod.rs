//! Rebalancing: migrates established connections to even out the load of servers.
//!
//! **Inputs.** Events of connections, servers, the endpoint list and the configuration
//! ([`Rebalancer::on_event`]), and about twice per second the state of all servers
//! ([`Rebalancer::evaluate`]). The unit of load is a slot: the load of a mean connection.
//!
//! **When are clients migrated?** At an evaluation all of these conditions have to be met:
//! 1. Rebalancing is not on hold. The log and the metric `rebalance.FRONT.held` show the [`HoldReason`]: a
//!    condition elsewhere in the balancer (`hold_conditions.rs`), slow connection setups (`setup_times.rs`),
//!    or earlier migrations that were unsuccessful (`migration_rate.rs`).
//! 2. A server is certainly under pressure: its occupied slots exceed its fair share (`fair_share.rs`) by
//!    more than a number of standard deviations of random placement (`placement_noise.rs`). `pressure.rs`
//!    sets the number. If servers report message times, the number is less than one, but the server's
//!    messages also have to be slow.
//! 3. Other servers have spare capacity (`spare_capacity.rs`).
//! 4. The server was not recently filled by migrations, unless servers report message times
//!    (`migration_history.rs`).
//! 5. A token is available (`token_bucket.rs`), and the slots that may be migrated are not used up. These are
//!    at most the excess times `MIGRATED_SHARE`, and at most the spare capacity times `MIGRATED_SHARE`, minus
//!    the slots that migrated clients will still occupy (`disconnected_clients.rs`).
//!
//! **Which clients are migrated?** Clients at servers under pressure, beginning with the server with the
//! slowest messages. Clients that are known to have reconnected are excluded, and groups are migrated
//! completely or not at all (`migration_candidates.rs`). Among the remaining candidates those with the
//! largest gain for their cost (`cost_benefit.rs`) are selected first, within the limits (`selection.rs`).
//!
//! **Where do they reconnect?** At the server that the policy selects when the client reconnects, at random
//! by free slots. Two changes of ceilings direct migrated and new clients to servers with spare capacity: the
//! ceiling of a server under pressure is lowered to its occupied slots, and the ceiling of a server whose
//! capacity is unknown is raised towards its fair share.
//!
//! **Guarantees.** The same settings, seed, events and times yield the same migrations. A client that is
//! known to have reconnected, by its key or by its own report, is not migrated again for balance. A hot
//! restart loses this knowledge. Memory is bounded by the open connections, the endpoint list and a fixed
//! maximum number of disconnected clients. The module performs no I/O and reads no clock: the reducer
//! (`src/routing/`) owns one [`Rebalancer`] for each pool and carries out its decisions.
//!
//! `docs/rebalancing.md` explains the design.
#![deny(missing_docs)]

mod arrival_storm;
mod config;
mod connection_lifetime;
mod cost_benefit;
mod decision;
mod disconnected_clients;
mod event;
mod fair_share;
mod group_locations;
mod hold_backoff;
mod hold_conditions;
mod hold_reason;
mod mean_load;
mod metrics;
mod migration_candidates;
mod migration_history;
mod migration_outcome;
mod migration_rate;
mod observed_connections;
mod placement_noise;
mod pressure;
mod reconnections;
mod rejection_share;
mod selection;
mod server_snapshot;
mod setup_times;
mod slow_message_reports;
mod spare_capacity;
mod token_bucket;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{ConnectionId, Micros, ServerId, Time};

pub use config::{RebalanceConfig, RebalanceContext};
pub use decision::{CeilingIncrease, Decision, HoldTransition, Migration};
pub use event::RebalanceEvent;
pub use hold_conditions::SystemConditions;
pub use hold_reason::HoldReason;
pub use metrics::RebalanceMetrics;
pub use observed_connections::{ConnectionProperties, EstablishedConnection};
pub use server_snapshot::ServerSnapshot;

use cost_benefit::CostBenefit;
use disconnected_clients::DisconnectedClients;
use fair_share::FairShare;
use hold_conditions::HoldConditions;
use migration_candidates::candidates_at;
use migration_history::MigrationHistory;
use migration_rate::MigrationRate;
use observed_connections::ObservedConnections;
use pressure::{Pressure, PressureEstimator};
use selection::{select_candidates, MigrationLimits};
use spare_capacity::{CapacityEstimator, SpareCapacity};

/// Time between two evaluations, before jitter.
const EVALUATION_INTERVAL: Micros = Micros::from_millis(500);
/// Range of the random factor by which the interval is multiplied, so that balancers do not evaluate in step.
const EVALUATION_JITTER: std::ops::Range<f64> = 0.8..1.2;
/// Largest share of an excess, and of all spare capacity, that is migrated at one evaluation. Other balancers
/// observe the same servers and migrate as well.
const MIGRATED_SHARE: f64 = 0.5;
/// Number of tokens that the migration of one client costs.
const TOKENS_PER_MIGRATION: f64 = 1.0;
/// Value that is combined with the seed, so that this random generator differs from others with the same
/// seed.
const SEED_SALT: u64 = 0x6d6f_7665;

/// Rebalances one pool of one balancer.
#[derive(Debug)]
pub struct Rebalancer {
    config: RebalanceConfig,
    context: RebalanceContext,
    connections: ObservedConnections,
    disconnected: DisconnectedClients,
    hold_conditions: HoldConditions,
    rate: MigrationRate,
    history: MigrationHistory,
    metrics: RebalanceMetrics,
    next_evaluation: Option<Time>,
    rng: Pcg64Mcg,
}

// ---- Settings and state ----

impl Rebalancer {
    /// Creates a rebalancer without observations.
    pub fn new(config: RebalanceConfig, context: RebalanceContext, seed: u64, now: Time) -> Rebalancer {
        Rebalancer {
            config,
            connections: ObservedConnections::new(now, context.message_objective),
            disconnected: DisconnectedClients::new(),
            hold_conditions: HoldConditions::new(now),
            rate: MigrationRate::new(now, &config, &context),
            history: MigrationHistory::default(),
            metrics: RebalanceMetrics::default(),
            next_evaluation: config.enabled.then_some(now.plus(EVALUATION_INTERVAL)),
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT),
            context,
        }
    }

    /// Replaces the settings. All observations are kept.
    pub fn configure(&mut self, now: Time, config: RebalanceConfig, context: RebalanceContext) {
        self.rate.configure(&config, &context);
        self.connections.set_message_objective(context.message_objective);
        self.config = config;
        self.context = context;
        self.next_evaluation =
            config.enabled.then(|| self.next_evaluation.unwrap_or(now.plus(EVALUATION_INTERVAL)));
        self.on_event(now, RebalanceEvent::ConfigurationReloaded);
    }

    /// Returns the time of the next evaluation, or `None` while rebalancing is disabled.
    pub fn next_evaluation(&self) -> Option<Time> {
        self.next_evaluation
    }

    /// Returns the current metrics.
    pub fn metrics(&self) -> RebalanceMetrics {
        let allowed_migrations_per_second =
            if self.config.enabled { self.rate.allowed_per_second() } else { 0.0 };
        RebalanceMetrics { allowed_migrations_per_second, ..self.metrics }
    }

    /// Returns a connection if it is established. Used by tests.
    pub fn connection(&self, connection: ConnectionId) -> Option<EstablishedConnection> {
        self.connections.get(connection)
    }
}

// ---- Observations ----

impl Rebalancer {
    /// Records an event.
    pub fn on_event(&mut self, now: Time, event: RebalanceEvent) {
        match event {
            RebalanceEvent::ConnectionRequested { connection, key, reports_reconnection } => {
                self.on_requested(now, connection, key, reports_reconnection);
            }
            RebalanceEvent::ConnectionEstablished { connection, properties, setup_time } => {
                self.on_established(now, connection, properties, setup_time);
            }
            RebalanceEvent::LoadReported { connection, load } => {
                self.connections.on_load_reported(connection, load);
            }
            RebalanceEvent::MessageTimeReported { server, message_time } => {
                self.connections.on_message_time_reported(now, server, message_time);
            }
            RebalanceEvent::ConnectionRejected { connection } => self.on_rejected(now, connection),
            RebalanceEvent::ConnectionEnded { connection, ended_by_client } => {
                self.connections.on_ended(now, connection, ended_by_client);
                self.disconnected.on_ended(connection);
            }
            RebalanceEvent::EndpointListChanged { ready_servers } => {
                self.hold_conditions.on_endpoint_list_changed(now, ready_servers);
            }
            RebalanceEvent::EndpointListLost => self.hold_conditions.on_endpoint_list_lost(),
            RebalanceEvent::EndpointListReceived => self.hold_conditions.on_endpoint_list_received(),
            RebalanceEvent::ConfigurationReloaded => self.hold_conditions.on_configuration_reloaded(now),
        }
    }

    fn on_requested(
        &mut self,
        now: Time,
        connection: ConnectionId,
        key: Option<u64>,
        reports_reconnection: bool,
    ) {
        self.hold_conditions.on_arrival(now);
        let was_migrated = self.disconnected.on_requested(now, connection, key);
        if was_migrated || reports_reconnection {
            self.connections.on_reconnecting(connection);
        }
        if was_migrated {
            self.metrics.reconnected += 1;
            self.rate.on_reconnected();
        } else if reports_reconnection {
            self.rate.on_reconnected_from_other();
        }
    }

    fn on_established(
        &mut self,
        now: Time,
        connection: ConnectionId,
        properties: ConnectionProperties,
        setup: Option<Micros>,
    ) {
        // A setup at a slow server is slow because of the server, and does not indicate the state of the
        // session store.
        let is_slow = self.connections.reported_slow(now, properties.server);
        if let Some(setup_time) = setup.filter(|_| !is_slow) {
            self.rate.on_setup(now, setup_time);
        }
        self.connections.on_established(now, connection, properties);
    }

    fn on_rejected(&mut self, now: Time, connection: ConnectionId) {
        self.rate.on_rejected();
        let was_migrated = self.disconnected.on_rejected(connection);
        if was_migrated {
            self.metrics.rejected += 1;
            self.rate.on_migrated_rejected(now);
        }
    }
}

// ---- Evaluation ----

impl Rebalancer {
    /// Decides which connections are migrated now, and which ceilings are changed. The caller has to carry
    /// out the decision: the rebalancer assumes that it is carried out.
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
        self.update_observations(now);
        let hold_reason = self.hold_reason(now, conditions, servers);
        let hold_transition = self.record_hold_reason(hold_reason);
        if hold_reason.is_some() {
            return Decision { hold_transition, ..Decision::default() };
        }
        Decision { hold_transition, ..self.balance(now, servers) }
    }

    /// Makes the decisions of an evaluation while rebalancing is not on hold.
    fn balance(&mut self, now: Time, servers: &[ServerSnapshot]) -> Decision {
        let fair_share = FairShare::new(servers);
        let ceiling_increases = self.capacity_estimator(now, fair_share).ceiling_increases(servers);
        if fair_share.is_empty() {
            return Decision { ceiling_increases, ..Decision::default() };
        }
        let pressures = self.estimate_pressures(now, servers, fair_share);
        let ceilings_to_lower = pressures.iter().map(|pressure| pressure.server).collect();
        let sources = self.migration_sources(pressures);
        self.record_excess(now, &sources);
        if sources.is_empty() || self.rate.tokens() < TOKENS_PER_MIGRATION {
            return Decision { ceiling_increases, ceilings_to_lower, ..Decision::default() };
        }
        let spare = self.find_spare_capacity(now, servers, fair_share, &sources);
        let migrations = self.select_migrations(now, sources, &spare);
        self.record_migrations(now, &migrations, &spare);
        Decision { migrations, ceiling_increases, ceilings_to_lower, hold_transition: None }
    }

    fn schedule_next_evaluation(&mut self, now: Time) {
        let jitter = self.rng.random_range(EVALUATION_JITTER);
        self.next_evaluation = Some(now.plus(Micros::from_f64(EVALUATION_INTERVAL.as_f64() * jitter)));
    }

    fn update_observations(&mut self, now: Time) {
        self.history.expire(now);
        let timed_out = self.disconnected.expire(now);
        self.rate.advance(now, self.connections.established(), timed_out);
    }

    /// Returns the reason for which no client may be migrated now. Conditions elsewhere in the balancer take
    /// precedence over the outcome of migrations.
    fn hold_reason(
        &mut self,
        now: Time,
        conditions: SystemConditions,
        servers: &[ServerSnapshot],
    ) -> Option<HoldReason> {
        let healthy_servers = servers.iter().filter(|server| server.is_ready).count();
        let condition = self.hold_conditions.hold_reason(now, conditions, healthy_servers);
        condition.or_else(|| self.rate.hold_reason(now))
    }

    /// Records the current hold reason. Returns a change to be logged. Before the first migration, the
    /// beginning of a hold is normal at startup and is not logged. Its end and changes of its reason are
    /// logged.
    fn record_hold_reason(&mut self, reason: Option<HoldReason>) -> Option<HoldTransition> {
        let previous = std::mem::replace(&mut self.metrics.hold_reason, reason);
        let is_logged = self.metrics.migrated > 0 || previous.is_some();
        if previous == reason || !is_logged {
            return None;
        }
        Some(reason.map_or(HoldTransition::Resumed, HoldTransition::Held))
    }

    /// Estimates the pressure on each ready server. Servers without pressure are omitted.
    fn estimate_pressures(
        &self,
        now: Time,
        servers: &[ServerSnapshot],
        fair_share: FairShare,
    ) -> Vec<Pressure> {
        let estimator = PressureEstimator {
            now,
            config: &self.config,
            context: &self.context,
            connections: &self.connections,
            fair_share,
        };
        let ready = servers.iter().filter(|server| server.is_ready);
        ready
            .filter_map(|server| estimator.estimate(server, self.history.is_being_relieved(server.server)))
            .collect()
    }

    /// Returns the servers that clients may be migrated away from. A recently filled server is excluded
    /// because it would pass on the clients that it just received. Where servers report message times, a
    /// recently filled server is not excluded, even if its pressure is inferred for lack of a message
    /// objective.
    fn migration_sources(&self, mut pressures: Vec<Pressure>) -> Vec<Pressure> {
        let is_measured = self.context.reports_message_time;
        pressures.retain(|pressure| {
            let was_recently_filled = self.history.was_recently_filled(pressure.server);
            pressure.is_certain && (is_measured || !was_recently_filled)
        });
        pressures
    }

    /// Records the largest remaining excess, by which earlier migrations are checked.
    fn record_excess(&mut self, now: Time, sources: &[Pressure]) {
        let max_excess_slots = sources.iter().map(|pressure| pressure.excess_slots).fold(0.0, f64::max);
        self.rate.on_excess(now, max_excess_slots);
    }

    fn find_spare_capacity(
        &self,
        now: Time,
        servers: &[ServerSnapshot],
        fair_share: FairShare,
        sources: &[Pressure],
    ) -> Vec<SpareCapacity> {
        let is_source = |server: ServerId| sources.iter().any(|pressure| pressure.server == server);
        self.capacity_estimator(now, fair_share).find(servers, is_source)
    }

    fn capacity_estimator(&self, now: Time, fair_share: FairShare) -> CapacityEstimator<'_> {
        CapacityEstimator { now, context: &self.context, connections: &self.connections, fair_share }
    }

    /// Selects clients at each source, beginning with the source with the slowest messages, until spare
    /// capacity or tokens are used up.
    fn select_migrations(
        &mut self,
        now: Time,
        mut sources: Vec<Pressure>,
        spare: &[SpareCapacity],
    ) -> Vec<Migration> {
        sources.sort_by(Pressure::cmp_slowest_first);
        let spare_slots = spare.iter().map(|capacity| capacity.slots).sum::<f64>();
        let mut available_slots = spare_slots * MIGRATED_SHARE - self.disconnected.expected_slots();
        let mut migrations = Vec::new();
        for pressure in sources {
            let limits = MigrationLimits {
                tokens: self.rate.tokens(),
                max_tokens: self.rate.max_tokens(),
                slots: available_slots
                    .min(pressure.excess_slots * MIGRATED_SHARE)
                    .max(0.0)
                    .min(pressure.occupied_slots),
            };
            let from = pressure.server;
            let candidates = candidates_at(&self.connections, &self.context, from);
            let cost_benefit = self.cost_benefit(now, pressure);
            for candidate in select_candidates(candidates, &cost_benefit, limits) {
                self.rate.on_migrated(now, candidate.members.len());
                self.history.on_relieved(now, from);
                available_slots -= candidate.slots;
                migrations
                    .extend(candidate.members.into_iter().map(|connection| Migration { connection, from }));
            }
        }
        migrations
    }

    fn cost_benefit(&self, now: Time, pressure: Pressure) -> CostBenefit {
        let mean_disconnected_seconds = self.disconnected.mean_disconnected_seconds();
        let mean_lifetime_seconds = self.connections.mean_lifetime_seconds(now);
        CostBenefit {
            pressure,
            mean_lifetime_seconds,
            client_cost: self.rate.client_cost(mean_disconnected_seconds, mean_lifetime_seconds),
            min_gain_over_cost: self.config.min_gain_over_cost,
        }
    }

    /// Records the migrated clients until they reconnect, and the server to which they are expected to
    /// reconnect.
    fn record_migrations(&mut self, now: Time, migrations: &[Migration], spare: &[SpareCapacity]) {
        let emptiest = spare.iter().max_by(|a, b| a.slots.total_cmp(&b.slots));
        if let (false, Some(target)) = (migrations.is_empty(), emptiest) {
            self.history.on_filled(now, target.server);
        }
        self.metrics.migrated += migrations.len() as u64;
        for migration in migrations {
            let Some(connection) = self.connections.get(migration.connection) else { continue };
            let slots = self.connections.slots_of(&connection.properties);
            self.disconnected.on_migrated(now, connection.properties.key, slots);
        }
    }
}
