//! How fast clients may be migrated, and what a migration costs, both learned from how migrations turn out.
//!
//! **Decided:** the clients that may be migrated now (tokens); holds of rebalancing; the cost of a client's migration.
//!
//! **Inputs:** the times of connection setups, rejections, reconnections of migrated clients, the largest excess of a
//! server at each evaluation, and the number of established connections.
//!
//! **Rule:**
//! - the rate rises while clients have been migrated within [`RECENT_MIGRATION`], enough of them reconnect
//!   (`reconnections.rs`), and there is no hold (`token_bucket.rs`);
//! - it is halved, with a hold (`hold_backoff.rs`), when a migrated client is rejected or fails, when too few reconnect,
//!   or when the excess does not fall (`migration_outcome.rs`);
//! - it is lowered to its minimum, with a hold as long as they last, when setups are slow (`setup_times.rs`).
//!
//! **Reason:** how much the session store and the other servers can take is not known in advance.

use super::cost_benefit::ClientCost;
use super::hold_backoff::{HoldBackoff, INITIAL_HOLD};
use super::migration_outcome::MigrationOutcome;
use super::reconnections::Reconnections;
use super::rejection_share::RejectionShare;
use super::setup_times::SetupTimes;
use super::token_bucket::TokenBucket;
use super::{HoldReason, RebalanceConfig, RebalanceContext};
use crate::{Micros, Time};

/// Time for which a migration counts as recent.
const RECENT_MIGRATION: Micros = Micros::from_secs(3);
/// Seconds of service that a rejection costs: rejected clients wait before they try again.
const REJECTION_COST_SECONDS: f64 = 5.0;

/// The rate, and the observations from which it is learned.
#[derive(Debug)]
pub(super) struct MigrationRate {
    bucket: TokenBucket,
    backoff: HoldBackoff,
    setup_times: SetupTimes,
    reconnections: Reconnections,
    rejection_share: RejectionShare,
    outcome: MigrationOutcome,
    last_migration: Option<Time>,
    updated: Time,
    /// Price of a migration, as a share of the value of a whole connection.
    migration_cost: f64,
}

// ---- Settings and results ----

impl MigrationRate {
    pub(super) fn new(now: Time, config: &RebalanceConfig, context: &RebalanceContext) -> MigrationRate {
        let mut rate = MigrationRate {
            bucket: TokenBucket::new(config.max_migrations_per_second),
            backoff: HoldBackoff::new(now),
            setup_times: SetupTimes::new(now),
            reconnections: Reconnections::new(),
            rejection_share: RejectionShare::default(),
            outcome: MigrationOutcome::default(),
            last_migration: None,
            updated: now,
            migration_cost: 0.0,
        };
        rate.configure(config, context);
        rate
    }

    pub(super) fn configure(&mut self, config: &RebalanceConfig, context: &RebalanceContext) {
        self.bucket.set_max_rate(config.max_migrations_per_second);
        self.reconnections.set_balancers(context.balancers);
        self.setup_times.set_objective(context.setup_objective);
        self.migration_cost = context.migration_cost;
    }

    /// Migrations that are allowed in a second now.
    pub(super) fn allowed_per_second(&self) -> f64 {
        if self.is_held() {
            0.0
        } else {
            self.bucket.rate_per_second()
        }
    }

    /// Clients that may be migrated now.
    pub(super) fn tokens(&self) -> f64 {
        self.bucket.tokens()
    }

    /// Clients that may be migrated at once after all tokens have been saved up.
    pub(super) fn max_tokens(&self) -> f64 {
        self.bucket.max_tokens()
    }

    /// Why nobody may be migrated now.
    pub(super) fn hold_reason(&self, now: Time) -> Option<HoldReason> {
        if self.setup_times.are_slow() {
            return Some(HoldReason::SlowSetups);
        }
        self.backoff.reason(now)
    }

    /// What the migration of a client of mean priority weight costs.
    pub(super) fn client_cost(
        &self,
        mean_disconnected_seconds: f64,
        mean_lifetime_seconds: f64,
    ) -> ClientCost {
        ClientCost {
            disconnected_seconds: mean_disconnected_seconds,
            setup_seconds: self.setup_times.recent_mean_seconds(),
            price_seconds: self.migration_cost * mean_lifetime_seconds,
            rejection_seconds: self.rejection_share.get() * REJECTION_COST_SECONDS,
        }
    }

    fn is_held(&self) -> bool {
        self.backoff.is_active() || self.setup_times.are_slow()
    }
}

// ---- Events ----

impl MigrationRate {
    /// A migrated client has reconnected here.
    pub(super) fn on_returned(&mut self) {
        self.reconnections.on_returned();
    }

    /// A client reconnected that another balancer migrated or lost.
    pub(super) fn on_returned_from_other(&mut self) {
        self.reconnections.on_returned_from_other();
    }

    /// A connection was established, this time after its request at the server.
    pub(super) fn on_setup(&mut self, now: Time, took: Micros) {
        self.rejection_share.on_established();
        let became_slow = self.setup_times.record(now, took);
        if became_slow {
            self.bucket.reset_rate();
        }
    }

    /// A client was rejected, or its connection failed.
    pub(super) fn on_rejected(&mut self) {
        self.rejection_share.on_rejected();
    }

    /// A client that had been migrated was rejected, or its connection failed.
    pub(super) fn on_migrated_rejected(&mut self, now: Time) {
        self.hold(now, HoldReason::ClientsRejected);
    }

    /// Judges past migrations by the largest excess of a server, in slots.
    pub(super) fn on_excess(&mut self, now: Time, excess_slots: f64) {
        if self.outcome.judge_excess(now, excess_slots) {
            self.hold(now, HoldReason::ExcessNotFalling);
        }
    }

    /// Clients are migrated now.
    pub(super) fn on_migrated(&mut self, now: Time, clients: usize) {
        self.bucket.spend(clients);
        self.outcome.on_migrated(clients);
        self.last_migration = Some(now);
    }

    /// Brings the rate up to date. `established`: number of connections; `timed_out`: number of migrated clients whose
    /// time to reconnect is over.
    pub(super) fn advance(&mut self, now: Time, established: usize, timed_out: usize) {
        let seconds = now.since(self.updated).as_f64() / 1e6;
        self.updated = now;
        self.backoff.advance(now);
        self.setup_times.expire_slowness(now, INITIAL_HOLD);
        if self.is_successful(now) {
            self.bucket.increase_rate(seconds);
        }
        self.bucket.refill(seconds, established);
        self.rejection_share.decay(seconds);
        self.reconnections.on_timed_out(timed_out);
        if self.reconnections.take_failure() {
            self.hold(now, HoldReason::ClientsNotReturning);
        }
        self.reconnections.decay(seconds);
    }

    /// Whether clients were migrated recently, with success as far as is seen.
    fn is_successful(&self, now: Time) -> bool {
        let migrated_recently = self.last_migration.is_some_and(|at| now.since(at) <= RECENT_MIGRATION);
        migrated_recently && self.reconnections.are_sufficient() && !self.is_held()
    }

    fn hold(&mut self, now: Time, reason: HoldReason) {
        self.bucket.decrease_rate();
        self.backoff.begin(now, reason);
    }
}
