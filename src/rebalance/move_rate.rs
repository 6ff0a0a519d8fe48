//! How fast clients may be moved: a token bucket whose rate is learned from how moves turn out.
//!
//! Additive increase, multiplicative decrease (Chiu and Jain, 1989): balancers that share servers and a store and cannot
//! see each other reach a fair and stable rate that way.

use super::effect::MoveEffect;
use super::returns::Returns;
use super::setup_times::SetupTimes;
use super::view::View;
use super::{HoldReason, RebalanceConfig, RebalanceContext};
use crate::{Micros, Time};

/// Moves a second that the rate begins with and is cut to.
const MIN_RATE_PER_S: f64 = 0.25;
/// Moves a second by which the rate increases in each second with successful moves.
const RATE_INCREASE_PER_S: f64 = 0.25;
/// A cut divides the rate by this.
const RATE_DECREASE_DIVISOR: f64 = 2.0;
/// Moves count as recent for so long.
const RECENT_MOVE: Micros = Micros::from_secs(3);
/// The most of all established connections that may be moved in a second.
const MAX_MOVED_SHARE_PER_S: f64 = 0.05;
/// The tokens of so many seconds may be saved up...
const MAX_SAVED_SECONDS: f64 = 4.0;
/// ...and at least so many.
const MIN_SAVED_TOKENS: f64 = 2.0;
/// The first hold lasts so long, and each that follows soon twice as long as the one before...
const INITIAL_HOLD: Micros = Micros::from_secs(2);
/// ...up to this.
const MAX_HOLD: Micros = Micros::from_secs(60);
/// After so long without a hold the next is short again.
const HOLD_RESET_AFTER: Micros = Micros::from_secs(30);
/// What a rejection costs at the most, in seconds of service: rejected clients stay away and try again.
const REJECTION_COST_SECONDS: f64 = 5.0;
/// Answers that the initial guess of no rejections counts for.
const PRIOR_ANSWERS: f64 = 4.0;
/// Answers fade over this time.
const ANSWERS_FADE_SECONDS: f64 = 20.0;

/// No moves are made until a time.
#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Time,
    reason: HoldReason,
}

/// Recent answers to clients, fading with time.
#[derive(Debug, Default)]
struct Answers {
    established: f64,
    /// Rejected or failed.
    rejected: f64,
}

impl Answers {
    fn rejected_share(&self) -> f64 {
        self.rejected / (self.established + self.rejected + PRIOR_ANSWERS)
    }

    fn fade(&mut self, seconds: f64) {
        let factor = (-seconds / ANSWERS_FADE_SECONDS).exp();
        self.established *= factor;
        self.rejected *= factor;
    }
}

/// The bucket, and what its rate is learned from.
#[derive(Debug)]
pub struct MoveRate {
    max_rate_per_s: f64,
    rate_per_s: f64,
    tokens: f64,
    updated: Time,
    last_move: Option<Time>,
    migration_cost: f64,
    setup_times: SetupTimes,
    returns: Returns,
    answers: Answers,
    effect: MoveEffect,
    hold: Option<Hold>,
    next_hold: Micros,
    last_hold: Time,
}

impl MoveRate {
    pub(super) fn new(now: Time, config: &RebalanceConfig, context: &RebalanceContext) -> MoveRate {
        let mut rate = MoveRate {
            max_rate_per_s: 0.0,
            rate_per_s: MIN_RATE_PER_S,
            tokens: 1.0,
            updated: now,
            last_move: None,
            migration_cost: 0.0,
            setup_times: SetupTimes::new(now),
            returns: Returns::new(),
            answers: Answers::default(),
            effect: MoveEffect::default(),
            hold: None,
            next_hold: INITIAL_HOLD,
            last_hold: now,
        };
        rate.configure(config, context);
        rate
    }

    pub(super) fn configure(&mut self, config: &RebalanceConfig, context: &RebalanceContext) {
        self.max_rate_per_s = config.max_moves_per_s;
        self.returns.set_balancers(context.balancers);
        self.migration_cost = context.migration_cost;
        self.setup_times.set_objective(context.setup_objective);
        self.rate_per_s = self.rate_per_s.min(self.max_rate_per_s);
    }

    /// Moves a second that are allowed now.
    pub fn allowed_per_s(&self) -> f64 {
        if self.hold.is_some() || self.setup_times.are_slow() {
            0.0
        } else {
            self.rate_per_s.min(self.max_rate_per_s)
        }
    }

    /// Clients that may be moved now.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Clients that may be moved at once when none was for a while.
    pub fn max_tokens(&self) -> f64 {
        (self.rate_per_s * MAX_SAVED_SECONDS).max(MIN_SAVED_TOKENS)
    }

    /// Brings everything up to date: `established` connections there are, and `expired` migrated clients have not come
    /// back in their time.
    pub(super) fn advance(&mut self, now: Time, established: usize, expired: usize) {
        let seconds = now.since(self.updated).as_f64() / 1e6;
        self.updated = now;
        self.expire_holds(now);
        self.refill(now, seconds, established);
        self.answers.fade(seconds);
        self.returns.on_expired(expired);
        if self.returns.take_failure() {
            self.cut(now, HoldReason::NotReturning);
        }
        self.returns.fade(seconds);
    }

    fn expire_holds(&mut self, now: Time) {
        if self.hold.is_some_and(|hold| hold.until <= now) {
            self.hold = None;
        }
        self.setup_times.expire_slowness(now, INITIAL_HOLD);
        if now.since(self.last_hold) > HOLD_RESET_AFTER {
            self.next_hold = INITIAL_HOLD;
        }
    }

    fn refill(&mut self, now: Time, seconds: f64, established: usize) {
        let moved_recently = self.last_move.is_some_and(|at| now.since(at) <= RECENT_MOVE);
        // Only what is seen to come back is reason to move more.
        let successful = moved_recently && self.returns.are_sufficient();
        if successful && self.hold.is_none() && !self.setup_times.are_slow() {
            self.rate_per_s += RATE_INCREASE_PER_S * seconds;
        }
        let share_limit = (established as f64 * MAX_MOVED_SHARE_PER_S).max(MIN_RATE_PER_S);
        self.rate_per_s = self.rate_per_s.min(self.max_rate_per_s.min(share_limit));
        self.tokens = (self.tokens + self.rate_per_s * seconds).min(self.max_tokens());
    }

    /// A migrated client is back here.
    pub(super) fn on_returned(&mut self) {
        self.returns.on_returned();
    }

    /// A client reconnected that another balancer migrated or lost.
    pub(super) fn on_returned_from_other(&mut self) {
        self.returns.on_returned_from_other();
    }

    /// A connection was established so long after its attempt was started.
    pub(super) fn on_setup(&mut self, now: Time, took: Micros) {
        self.answers.established += 1.0;
        if self.setup_times.record(now, took) {
            self.rate_per_s = MIN_RATE_PER_S.min(self.max_rate_per_s);
            self.tokens = 0.0;
        }
    }

    /// A client was rejected or failed.
    pub(super) fn on_rejected(&mut self) {
        self.answers.rejected += 1.0;
    }

    /// A migrated client was rejected or failed.
    pub(super) fn on_migrated_rejected(&mut self, now: Time) {
        self.cut(now, HoldReason::Rejected);
    }

    fn cut(&mut self, now: Time, reason: HoldReason) {
        self.rate_per_s =
            (self.rate_per_s / RATE_DECREASE_DIVISOR).max(MIN_RATE_PER_S).min(self.max_rate_per_s);
        self.tokens = 0.0;
        self.hold = Some(Hold { until: now.plus(self.next_hold), reason });
        self.next_hold = (self.next_hold * 2).min(MAX_HOLD);
        self.last_hold = now;
    }

    /// Takes in the worst excess that there is now, in slots.
    pub(super) fn on_excess(&mut self, now: Time, excess: f64) {
        if self.effect.judge_excess(now, excess) {
            self.cut(now, HoldReason::NoEffect);
        }
    }

    /// So many clients are moved now.
    pub(super) fn spend(&mut self, clients: usize) {
        self.tokens -= clients as f64;
        self.effect.on_moved(clients);
        self.last_move = Some(self.updated);
    }

    /// Why no move is allowed now.
    pub(super) fn hold_reason(&self, now: Time) -> Option<HoldReason> {
        if self.setup_times.are_slow() {
            return Some(HoldReason::SlowSetups);
        }
        self.hold.filter(|hold| now < hold.until).map(|hold| hold.reason)
    }

    /// What a move costs a client of mean priority weight, in seconds of good service: its absence, the setup, the price
    /// of a migration, and the risk of a rejection.
    pub(super) fn client_cost_seconds(&self, view: &View) -> f64 {
        let rejection = self.answers.rejected_share() * REJECTION_COST_SECONDS;
        let price = self.migration_cost * view.mean_lifetime_seconds(self.updated);
        view.mean_absence_seconds() + self.setup_times.recent_mean_seconds() + price + rejection
    }
}
