//! Learns the rate and the cost of migrations from the outcome of earlier migrations.
//!
//! **Decided:** the number of clients that may be migrated now (tokens); holds of rebalancing; the cost of
//! migrating a client.
//!
//! **Inputs:** the times of connection setups, rejections, reconnections of migrated clients, the largest
//! excess of a server at each evaluation, and the number of established connections.
//!
//! **Rule:**
//! - the rate (`token_bucket.rs`) increases while clients have been migrated within [`RECENT_MIGRATION`],
//!   enough of them reconnect (`reconnections.rs`), and there is no hold;
//! - the rate is halved and a hold begins (`hold_backoff.rs`) when a migrated client is rejected or its
//!   connection fails, when too few clients reconnect, or when the excess does not decrease
//!   (`migration_outcome.rs`);
//! - the rate is lowered to its minimum when setups become slow (`setup_times.rs`), with a hold until they
//!   are normal.
//!
//! **Reason:** the capacity of the session store and of the other servers is not known in advance.

use super::cost_benefit::ClientCost;
use super::hold_backoff::HoldBackoff;
use super::migration_outcome::MigrationOutcome;
use super::reconnections::Reconnections;
use super::rejection_share::RejectionShare;
use super::setup_times::SetupTimes;
use super::token_bucket::TokenBucket;
use super::{HoldReason, RebalanceConfig, RebalanceContext};
use crate::{Micros, Time};

/// Time without a connection setup after which setups count as normal again.
const SETUP_SILENCE_TIMEOUT: Micros = Micros::from_secs(2);
/// Time for which a migration counts as recent.
const RECENT_MIGRATION: Micros = Micros::from_secs(3);
/// Seconds of service lost by a rejection. Rejected clients wait before they retry.
const REJECTION_COST_SECONDS: f64 = 5.0;

/// Rate of migrations, and the observations from which it is learned.
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
    /// Price of a migration, as a share of the value that a connection delivers over its whole lifetime.
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

    /// Returns the number of migrations that are currently allowed per second.
    pub(super) fn allowed_per_second(&self) -> f64 {
        if self.is_on_hold() {
            0.0
        } else {
            self.bucket.rate_per_second()
        }
    }

    /// Returns the number of clients that may be migrated now.
    pub(super) fn tokens(&self) -> f64 {
        self.bucket.tokens()
    }

    /// Returns the number of clients that may be migrated at the same time when the token bucket is full.
    pub(super) fn max_tokens(&self) -> f64 {
        self.bucket.max_tokens()
    }

    /// Returns the reason for which no client may be migrated now, if any.
    pub(super) fn hold_reason(&self, now: Time) -> Option<HoldReason> {
        if self.setup_times.are_slow() {
            return Some(HoldReason::SlowSetups);
        }
        self.backoff.reason(now)
    }

    /// Returns the cost of migrating a client of mean priority weight.
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

    fn is_on_hold(&self) -> bool {
        self.backoff.is_active() || self.setup_times.are_slow()
    }
}

// ---- Events ----

impl MigrationRate {
    /// Records that a client migrated by this balancer has reconnected here.
    pub(super) fn on_reconnected(&mut self) {
        self.reconnections.on_reconnected();
    }

    /// Records a reported reconnection of a client that was not recognised by its key. In most cases another
    /// balancer migrated the client, or its connection there broke.
    pub(super) fn on_reconnected_from_other(&mut self) {
        self.reconnections.on_reconnected_from_other();
    }

    /// Records that a connection was established `setup_time` after its request at the server.
    pub(super) fn on_setup(&mut self, now: Time, setup_time: Micros) {
        self.rejection_share.on_established();
        let became_slow = self.setup_times.record(now, setup_time);
        if became_slow {
            self.bucket.reset_rate();
        }
    }

    /// Records that a client was rejected, or that its connection failed.
    pub(super) fn on_rejected(&mut self) {
        self.rejection_share.on_rejected();
    }

    /// Records that a migrated client was rejected, or that its connection failed. Begins a hold.
    pub(super) fn on_migrated_rejected(&mut self, now: Time) {
        self.hold(now, HoldReason::ClientsRejected);
    }

    /// Records the largest excess of a server, in slots. Begins a hold if past migrations had no effect on
    /// it.
    pub(super) fn on_excess(&mut self, now: Time, excess_slots: f64) {
        if self.outcome.compare_excess(now, excess_slots) {
            self.hold(now, HoldReason::ExcessNotFalling);
        }
    }

    /// Records the migration of clients, and spends their tokens.
    pub(super) fn on_migrated(&mut self, now: Time, clients: usize) {
        self.bucket.spend(clients);
        self.outcome.on_migrated(clients);
        self.last_migration = Some(now);
    }

    /// Updates the rate, the tokens and the holds to time `now`. `established` is the number of established
    /// connections, `timed_out` the number of migrated clients that did not reconnect in time since the last
    /// call.
    pub(super) fn advance(&mut self, now: Time, established: usize, timed_out: usize) {
        let seconds = now.since(self.updated).as_f64() / 1e6;
        self.updated = now;
        self.backoff.advance(now);
        self.setup_times.expire_slowness(now, SETUP_SILENCE_TIMEOUT);
        if self.is_successful(now) {
            self.bucket.increase_rate(seconds);
        }
        self.bucket.refill(seconds, established);
        self.rejection_share.decay(seconds);
        self.reconnections.on_timed_out(timed_out);
        if self.reconnections.detect_failure() {
            self.hold(now, HoldReason::ClientsNotReconnecting);
        }
        self.reconnections.decay(seconds);
    }

    /// Returns whether clients were migrated recently, without a sign of failure.
    fn is_successful(&self, now: Time) -> bool {
        let migrated_recently = self.last_migration.is_some_and(|at| now.since(at) <= RECENT_MIGRATION);
        migrated_recently && self.reconnections.are_sufficient() && !self.is_on_hold()
    }

    fn hold(&mut self, now: Time, reason: HoldReason) {
        self.bucket.decrease_rate();
        self.backoff.begin(now, reason);
    }
}
