//! How fast clients may be moved: a token bucket whose rate is learned from how moves turn out.
//!
//! Additive rise, multiplicative fall (Chiu and Jain, 1989): balancers that share servers and a store and cannot see
//! each other come to a fair and stable rate that way.

use super::view::View;
use super::{Held, RebalanceConfig, RebalanceContext};
use crate::{Micros, Time};

/// Where the rate begins and what it is cut to, and by how much it rises in a second with sound moves.
const FLOOR: f64 = 0.25;
const STEP: f64 = 0.25;
/// Moves count as lately made for so long.
const LATELY: Micros = 3_000_000;
/// The most of what stands that may be moved in a second.
const PART_OF_ALL: f64 = 0.05;
/// Tokens for so many seconds may be saved, and at least so many.
const SAVED: f64 = 4.0;
const SAVED_LEAST: f64 = 2.0;
/// Set-ups: the late mean follows within a few, the usual within a hundred.
const QUICK: f64 = 1.0 / 4.0;
const USUAL: f64 = 1.0 / 128.0;
/// So many set-ups have to be known before there is a usual.
const KNOWN: u32 = 16;
/// Set-ups are slow at so many times the usual, or at this part of the tightest objective; again sound at 0.6 of that.
const SLOW: f64 = 2.0;
const SLOW_OF_AIM: f64 = 1.0 / 2.0;
/// Danger: usual times of a millisecond vary by more than that for no reason.
const SLOW_LEAST: f64 = 20_000.0;
/// Holds last so long, twice as long each time that one comes again soon, at most so long.
const HOLD: Micros = 2_000_000;
const HOLD_MOST: Micros = 60_000_000;
/// After so long without a hold the next is short again.
const FORGIVE: Micros = 30_000_000;
/// The excess has to fall by a tenth within so many moves.
const JUDGED: u32 = 8;
const FALLS: f64 = 0.9;
/// A refusal's wait, in seconds, where it costs most: refused clients stay away and try again.
const REFUSED_FOR: f64 = 5.0;

/// The bucket, and what its rate is learned from.
#[derive(Debug)]
pub struct Rate {
    most: f64,
    rate: f64,
    tokens: f64,
    at: Time,
    moved_at: Option<Time>,
    balancers: f64,
    migration_cost: f64,
    setup_objective: f64,
    /// Set-up times in microseconds: late, usual, and how many.
    quick: f64,
    usual: f64,
    set_ups: u32,
    slow: bool,
    last_set_up: Time,
    /// Clients with a key that were moved and whose time to come back is over or who are back; how many of
    /// them came here; and others' clients that came here again.
    due: f64,
    back: f64,
    others: f64,
    /// Answers lately: those that came to stand, and those refused or failed.
    answers: (f64, f64),
    /// Since the excess was last judged: moves, and the excess then.
    judged: (u32, f64),
    judge_at: Option<Time>,
    hold: Option<(Time, Held)>,
    hold_for: Micros,
    last_hold: Time,
}

impl Rate {
    pub(super) fn new(now: Time, config: &RebalanceConfig, terms: &RebalanceContext) -> Rate {
        let mut rate = Rate {
            most: 0.0,
            rate: FLOOR,
            tokens: 1.0,
            at: now,
            moved_at: None,
            balancers: 1.0,
            migration_cost: 0.0,
            setup_objective: 0.0,
            quick: 0.0,
            usual: 0.0,
            set_ups: 0,
            slow: false,
            last_set_up: now,
            due: 0.0,
            back: 0.0,
            others: 0.0,
            answers: (0.0, 0.0),
            judged: (0, 0.0),
            judge_at: None,
            hold: None,
            hold_for: HOLD,
            last_hold: now,
        };
        rate.configure(config, terms);
        rate
    }

    pub(super) fn configure(&mut self, config: &RebalanceConfig, terms: &RebalanceContext) {
        self.most = config.max_moves_per_s;
        self.balancers = f64::from(terms.balancers.max(1));
        self.migration_cost = terms.migration_cost;
        self.setup_objective = terms.setup_objective as f64;
        self.rate = self.rate.min(self.most);
    }

    /// Moves a second that are allowed now.
    pub fn now(&self) -> f64 {
        if self.hold.is_some() || self.slow {
            0.0
        } else {
            self.rate.min(self.most)
        }
    }

    /// Clients that may be moved now.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Clients that may be moved at once when none was for a while.
    pub fn saved(&self) -> f64 {
        (self.rate * SAVED).max(SAVED_LEAST)
    }

    /// Time passes; so many stand, and so many moved clients have not come back in their time.
    pub(super) fn pass(&mut self, now: Time, standing: usize, gone: usize) {
        let past = now.since(self.at) as f64 / 1e6;
        self.at = now;
        if self.hold.is_some_and(|(until, _)| until <= now) {
            self.hold = None;
        }
        // Danger: where nothing is set up nothing would ever say that the store is sound again.
        if self.slow && now.since(self.last_set_up) > HOLD {
            self.slow = false;
            self.quick = self.usual;
        }
        if now.since(self.last_hold) > FORGIVE {
            self.hold_for = HOLD;
        }
        let ceiling = self.most.min((standing as f64 * PART_OF_ALL).max(FLOOR));
        let moving = self.moved_at.is_some_and(|at| now.since(at) <= LATELY);
        // Only what is seen to come back is reason to move more.
        let back = self.due > 0.0 && self.seen() >= self.due / self.balancers / 2.0;
        if moving && back && self.hold.is_none() && !self.slow {
            self.rate += STEP * past;
        }
        self.rate = self.rate.min(ceiling);
        self.tokens = (self.tokens + self.rate * past).min(self.saved());
        let fade = (-past / 20.0).exp();
        self.answers = (self.answers.0 * fade, self.answers.1 * fade);
        self.due += gone as f64;
        self.judge_returns(now);
        let fade = (-past / 60.0).exp();
        (self.due, self.back, self.others) = (self.due * fade, self.back * fade, self.others * fade);
    }

    /// A moved client is back here.
    pub(super) fn returned(&mut self) {
        self.due += 1.0;
        self.back += 1.0;
    }

    /// A client came again that another balancer moved or lost.
    pub(super) fn others_returned(&mut self) {
        self.others += 1.0;
    }

    /// Clients that came again here: own ones, and of several balancers' others' as well.
    fn seen(&self) -> f64 {
        self.back + if self.balancers > 1.0 { self.others } else { 0.0 }
    }

    /// Of n balancers an n-th of the moved should come back here, and as many of the others'. Less than half of
    /// that, by more than chance, means that clients do not come back.
    fn judge_returns(&mut self, now: Time) {
        let here = self.due / self.balancers;
        // One balancer has nobody else to lose them to.
        let slack = if self.balancers > 1.0 { 2.0 * here.sqrt() } else { 0.0 };
        let seen = self.seen();
        if self.due >= 4.0 && seen < here / 2.0 && seen < here - slack {
            self.cut(now, Held::NotBack);
            (self.due, self.back, self.others) = (0.0, 0.0, 0.0);
        }
    }

    /// An attempt came to stand so long after it was written.
    pub(super) fn set_up(&mut self, now: Time, took: Micros) {
        self.answers.0 += 1.0;
        let took = took as f64;
        self.last_set_up = now;
        if self.set_ups == 0 {
            (self.quick, self.usual) = (took, took);
        }
        self.set_ups = self.set_ups.saturating_add(1);
        self.quick += (took - self.quick) * QUICK;
        // Danger: a slow store must not become the usual while it is slow.
        let counts = took.min(self.usual * SLOW + SLOW_LEAST);
        let weight = (1.0 / f64::from(self.set_ups)).max(USUAL);
        self.usual += (counts - self.usual) * weight;
        let (least, aim) = (self.usual * SLOW + SLOW_LEAST, self.setup_objective * SLOW_OF_AIM);
        let usual_known = self.set_ups >= KNOWN;
        let over =
            |part: f64| usual_known && self.quick > least * part || aim > 0.0 && self.quick > aim * part;
        if !self.slow && over(1.0) {
            self.slow = true;
            self.rate = FLOOR.min(self.most);
            self.tokens = 0.0;
        } else if self.slow && !over(0.6) {
            self.slow = false;
        }
    }

    /// Somebody was refused or failed.
    pub(super) fn declined(&mut self) {
        self.answers.1 += 1.0;
    }

    /// A moved client was refused or failed.
    pub(super) fn refused(&mut self, now: Time) {
        self.cut(now, Held::Refused);
    }

    fn cut(&mut self, now: Time, why: Held) {
        self.rate = (self.rate / 2.0).max(FLOOR).min(self.most);
        self.tokens = 0.0;
        self.hold = Some((now.plus(self.hold_for), why));
        self.hold_for = (self.hold_for * 2).min(HOLD_MOST);
        self.last_hold = now;
    }

    /// The worst excess that there is now, in slots.
    pub(super) fn excess(&mut self, now: Time, excess: f64) {
        let (moves, before) = self.judged;
        if excess == 0.0 || before == 0.0 {
            (self.judged, self.judge_at) = ((0, excess), None);
            return;
        }
        // Those who were moved last are still on their way: what came of them shows a little later.
        let enough = (moves >= JUDGED).then(|| now.plus(LATELY / 2));
        self.judge_at = self.judge_at.or(enough);
        if self.judge_at.is_some_and(|at| at <= now) {
            if excess > before * FALLS {
                self.cut(now, Held::NoUse);
            }
            (self.judged, self.judge_at) = ((0, excess), None);
        }
    }

    /// So many are moved now.
    pub(super) fn spend(&mut self, moved: usize) {
        self.tokens -= moved as f64;
        self.judged.0 += moved as u32;
        self.moved_at = Some(self.at);
    }

    /// Why the rate is nothing now.
    pub(super) fn held(&self, now: Time) -> Option<Held> {
        if self.slow {
            return Some(Held::SlowSetUps);
        }
        self.hold.filter(|(until, _)| now < *until).map(|(_, why)| why)
    }

    /// What a move costs a client of mean worth, in seconds of good service: the time away, the set-up, the price of
    /// a move, and the chance of a refusal.
    pub(super) fn client_cost(&self, view: &View) -> f64 {
        let refused = self.answers.1 / (self.answers.0 + self.answers.1 + 4.0);
        let price = self.migration_cost * view.life(self.at);
        view.away_for() + self.quick / 1e6 + price + refused * REFUSED_FOR
    }
}
