//! Legs: from their opening until their connection stands, or they come to nothing.

use super::established::LEAVING_FROM;
use super::{Answer, AuthId, Effect, Leg, LegEnd, Phase, State};
use crate::{Event, Micros, Outcome, RequestId, ServerId, Time};

/// A connection that stood before the start is tried again after so long.
const ADOPT_GAP: Micros = 500_000;
/// The list from before the start may be old: a host that it does not name may be listed within this time.
const ADOPT_UNLISTED: Micros = 2_000_000;

impl State {
    pub(super) fn open_leg(
        &mut self,
        now: Time,
        id: AuthId,
        host: ServerId,
        wait: Micros,
        write_by: Option<Time>,
    ) {
        let Some(auth) = self.auths.get_mut(&id) else { return };
        let pool = &self.pools[auth.pool];
        let (number, connect) = (auth.legs, pool.setup.settings.connect_timeout);
        auth.legs += 1;
        let until = now.plus(wait);
        auth.leg = Some(Leg { number, host, written: false, since: now, until, write_by });
        self.at.entry((auth.pool, host)).or_default().insert(id);
        let address = pool.table.any(host).map_or(String::new(), |host| host.address.clone());
        self.effects.push(Effect::OpenLeg { auth: id, leg: number, address, wait });
        let due = until.min(now.plus(connect));
        self.set_due(id, Some(write_by.map_or(due, |by| by.min(due))));
    }

    /// The leg that is out, if it is this one. Danger: a late word of an ended leg must change nothing.
    pub(super) fn leg(&mut self, id: AuthId, number: u32) -> Option<&mut Leg> {
        self.auths.get_mut(&id)?.leg.as_mut().filter(|leg| leg.number == number)
    }

    pub(super) fn leg_written(&mut self, now: Time, id: AuthId, number: u32) {
        if let Some(leg) = self.leg(id, number).filter(|leg| !leg.written) {
            leg.written = true;
            leg.since = now;
            self.forwards += 1;
        }
        self.time_leg(id);
    }

    fn time_leg(&mut self, id: AuthId) {
        let Some(auth) = self.auths.get(&id).filter(|a| a.phase != Phase::Standing) else { return };
        if let Some(until) = auth.leg.filter(|leg| leg.written).map(|leg| leg.until) {
            self.set_due(id, Some(until));
        }
    }

    pub(super) fn leg_up(&mut self, now: Time, id: AuthId, number: u32) {
        if self.leg(id, number).is_none() {
            return;
        }
        let Some(auth) = self.auths.get_mut(&id).filter(|a| a.phase != Phase::Standing) else { return };
        let (pool, placed) = (auth.pool, auth.phase == Phase::Placing);
        let took = auth.leg.filter(|leg| placed && leg.written).map(|leg| now.since(leg.since));
        auth.phase = Phase::Standing;
        auth.move_at = self.leaving.map(|(_, at)| at.min(now.plus(LEAVING_FROM)));
        self.count(id, |counts| counts.succeeded += 1);
        self.watch_over(now, id);
        self.stood(now, id, took);
        if placed {
            self.pools[pool].peers.stood();
            self.tell(now, pool, Event::Started { request: RequestId(id.0), attempt: number });
        }
        self.pass(id);
    }

    pub(super) fn leg_ended(&mut self, now: Time, id: AuthId, number: u32, end: LegEnd) {
        if self.leg(id, number).is_none() {
            return;
        }
        let outcome = match end {
            // A verdict is an answer as good as any: the host is sound.
            LegEnd::Served | LegEnd::Verdict => Outcome::Ok,
            LegEnd::SentAway => Outcome::Cancelled,
            LegEnd::Error => Outcome::Error,
            LegEnd::TurnedAway => Outcome::Full,
            LegEnd::NoConnection => Outcome::ConnectFailed,
            LegEnd::NoSocket => Outcome::NotSent,
            LegEnd::Broken => Outcome::Reset,
        };
        match self.auths.get(&id).map(|a| a.phase) {
            Some(Phase::Adopting(until, _)) if now < until => {
                self.drop_leg(id);
                self.set_due(id, Some(now.plus(ADOPT_GAP)));
            }
            Some(Phase::Placing) if end != LegEnd::Verdict => self.leg_failed(now, id, outcome),
            Some(phase) => {
                if phase != Phase::Standing && end == LegEnd::Verdict {
                    self.count(id, |counts| counts.declined += 1);
                }
                if end == LegEnd::SentAway {
                    self.cut_short(now, id);
                }
                self.end(now, id, outcome)
            }
            None => {}
        }
    }

    /// A leg of an authorisation that is still owed its answer has come to nothing.
    pub(super) fn leg_failed(&mut self, now: Time, id: AuthId, outcome: Outcome) {
        let Some((pool, leg)) = self.auths.get(&id).and_then(|a| Some((a.pool, a.leg?))) else { return };
        self.drop_leg(id);
        self.set_due(id, None);
        let (request, attempt, answered) = (RequestId(id.0), leg.number, false);
        self.tell(now, pool, Event::Ended { request, attempt, outcome, answered });
    }

    pub(super) fn drop_leg(&mut self, id: AuthId) -> Option<Leg> {
        let auth = self.auths.get_mut(&id)?;
        let leg = auth.leg.take()?;
        if let Some(there) = self.at.get_mut(&(auth.pool, leg.host)) {
            there.remove(&id);
            if there.is_empty() {
                self.at.remove(&(auth.pool, leg.host));
            }
        }
        Some(leg)
    }

    /// The leg of a connection that stood before the start is over, or the pause after it is.
    pub(super) fn adopt_again(&mut self, now: Time, id: AuthId, until: Time, host: ServerId) {
        let Some(auth) = self.auths.get(&id) else { return };
        let pool = &self.pools[auth.pool];
        let (most, listed) = (pool.setup.settings.max_attempts, pool.table.any(host).is_some());
        // Danger: a client may name a host that there never was; it is owed its error soon.
        if now < until && auth.legs < most && (listed || now.since(auth.met) < ADOPT_UNLISTED) {
            if self.drop_leg(id).is_some() {
                self.effects.push(Effect::CloseLeg { auth: id });
            }
            match listed {
                true => self.open_leg(now, id, host, until.since(now), None),
                false => self.set_due(id, Some(now.plus(ADOPT_GAP))),
            }
        } else {
            self.give(now, id, Answer::Failed);
            self.end(now, id, Outcome::Reset);
        }
    }
}
