//! The decision module: events go in, and the actions that it decides on are carried out.

use std::collections::VecDeque;

use super::{Answer, ConnectionId, Effect, LogEvent, PoolId, State};
use crate::peers::Observation;
use crate::{Action, Event, Micros, Outcome, RefusalReason, RequestId, Time};

impl State {
    /// Hands an event to a pool's balancer and carries out its actions in order.
    pub(super) fn dispatch(&mut self, now: Time, pool: PoolId, event: Event<'_>) {
        let mut actions = Vec::new();
        self.pools[pool].balancer.handle(now, event, &mut actions);
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            // A cancelled attempt may lead to more actions: those come after the ones that are left.
            actions.extend(self.apply_action(now, pool, action));
        }
    }

    /// Carries out one action, and returns the actions to which that leads.
    fn apply_action(&mut self, now: Time, pool: PoolId, action: Action) -> Vec<Action> {
        match action {
            Action::StartAttempt { request, server, timeout, within } => {
                self.open_attempt(now, connection_id(request), server, timeout, within);
            }
            Action::Reject { request, reason, retry_after } => {
                self.refuse(now, connection_id(request), reason, Answer::Rejected(retry_after));
            }
            Action::Fail { request, reason } => {
                self.refuse(now, connection_id(request), reason, Answer::Failed);
            }
            Action::CancelAttempt { request, attempt } => {
                return self.cancel_attempt(now, pool, request, attempt)
            }
            Action::Migrate { request } => self.migrate(now, connection_id(request), Outcome::Cancelled),
            Action::ReportSlowSetup => self.broadcast_observation(now, pool, Observation::SlowSetUps),
            Action::ReportDrop { server } => {
                self.broadcast_observation(now, pool, Observation::Dropped(server));
            }
            Action::WatchEndpoints => self.effects.push(Effect::WatchEndpoints { pool }),
            Action::SetTimer(wait) => self.set_balancer_timer(now, pool, wait),
            Action::ProbeServer { server } => self.probe_server(pool, server),
        }
        Vec::new()
    }

    /// Answers a client for whom there is no server, and records why.
    fn refuse(&mut self, now: Time, id: ConnectionId, reason: RefusalReason, answer: Answer) {
        let Some(pool) = self.connections.pool_of(id) else { return };
        self.pools[pool].count_refusal(reason);
        self.answer(now, id, answer);
        self.effects.push(Effect::Log(LogEvent::RequestRefused { connection: id, reason }));
        if reason == RefusalReason::EndpointListExpired {
            self.report_expired_endpoint_list(pool);
        }
    }

    /// Says once in the log that a pool's endpoint list is too old to be used.
    fn report_expired_endpoint_list(&mut self, pool: PoolId) {
        let pool = &mut self.pools[pool];
        if !std::mem::replace(&mut pool.reported_expiry, true) {
            let pool = pool.config.name;
            self.effects.push(Effect::Log(LogEvent::EndpointListExpired { pool }));
        }
    }

    fn cancel_attempt(&mut self, now: Time, pool: PoolId, request: RequestId, attempt: u32) -> Vec<Action> {
        let id = connection_id(request);
        if self.connections.attempt(id, attempt).is_some() {
            self.connections.take_attempt(id);
            self.effects.push(Effect::CloseAttempt { connection: id });
        }
        let mut actions = Vec::new();
        let ended = Event::AttemptEnded { request, attempt, outcome: Outcome::Cancelled, answered: true };
        self.pools[pool].balancer.handle(now, ended, &mut actions);
        actions
    }

    fn set_balancer_timer(&mut self, now: Time, pool: PoolId, wait: Micros) {
        self.pools[pool].set_balancer_timer(now.plus(wait));
    }
}

/// The connection to which a request of the decision module belongs: both have the same number.
fn connection_id(request: RequestId) -> ConnectionId {
    ConnectionId(request.0)
}

/// The request of a connection in the decision module.
pub(super) fn request_id(connection: ConnectionId) -> RequestId {
    RequestId(connection.0)
}
