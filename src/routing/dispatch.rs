//! The interface to the balancers: events go in, and the actions that a balancer returns are executed.
//!
//! A balancer (`src/policy/`) decides and has no side effects. This module translates its actions into
//! effects and calls of other handlers, in the order in which they were returned. An action may lead to
//! further events and so to further actions, which are appended.
//!
//! Where the balancer rejects or fails a request, its reason is counted in the metrics and logged, both here
//! alone.
//!
//! This module owns no state.

use std::collections::VecDeque;

use super::{Answer, ConnectionId, Effect, LogEvent, PoolId, State};
use crate::peers::Observation;
use crate::{Action, Event, Outcome, RefusalReason, RequestId, Time};

impl State {
    /// Hands an event to a pool's balancer, and executes its actions in order.
    pub(super) fn dispatch(&mut self, now: Time, pool: PoolId, event: Event<'_>) {
        let mut actions = Vec::new();
        self.pools[pool].balancer.handle(now, event, &mut actions);
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            // A cancelled attempt may lead to further actions. They are executed after those that were
            // returned first.
            actions.extend(self.apply_action(now, pool, action));
        }
    }

    /// Executes one action, and returns the actions to which that leads.
    fn apply_action(&mut self, now: Time, pool: PoolId, action: Action) -> Vec<Action> {
        match action {
            Action::StartAttempt { request, server, timeout, forwarding_timeout } => {
                self.open_attempt(now, connection_id(request), server, timeout, forwarding_timeout);
            }
            Action::Reject { request, reason, retry_after } => {
                self.answer_without_server(
                    now,
                    connection_id(request),
                    reason,
                    Answer::Rejected(retry_after),
                );
            }
            Action::Fail { request, reason } => {
                self.answer_without_server(now, connection_id(request), reason, Answer::Failed);
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
            Action::SetTimer(delay) => self.pools[pool].set_balancer_timer(now.plus(delay)),
            Action::ProbeServer { server } => self.start_probe(pool, server),
        }
        Vec::new()
    }

    /// Rejects or fails a request for which the balancer has no server, and records its reason.
    fn answer_without_server(&mut self, now: Time, id: ConnectionId, reason: RefusalReason, answer: Answer) {
        let Some(pool) = self.connections.pool_of(id) else { return };
        self.pools[pool].count_refusal(reason);
        self.answer(now, id, answer);
        self.effects.push(Effect::Log(LogEvent::RequestRefused { connection: id, reason }));
        if reason == RefusalReason::EndpointListExpired {
            self.log_endpoint_list_expiry(pool);
        }
    }

    /// Logs that a pool's endpoint list has expired, once until it is confirmed.
    fn log_endpoint_list_expiry(&mut self, pool: PoolId) {
        let pool = &mut self.pools[pool];
        if pool.record_expiry() {
            let pool = pool.config.name;
            self.effects.push(Effect::Log(LogEvent::EndpointListExpired { pool }));
        }
    }

    /// Closes an attempt in flight, and returns the actions to which its end leads.
    fn cancel_attempt(&mut self, now: Time, pool: PoolId, request: RequestId, attempt: u32) -> Vec<Action> {
        let id = connection_id(request);
        if self.connections.attempt(id, attempt).is_some() {
            self.connections.remove_attempt(id);
            self.effects.push(Effect::CloseAttempt { connection: id });
        }
        let mut actions = Vec::new();
        let ended = Event::AttemptEnded { request, attempt, outcome: Outcome::Cancelled, answered: true };
        self.pools[pool].balancer.handle(now, ended, &mut actions);
        actions
    }
}

/// The connection of a balancer's request. Both have the same number.
fn connection_id(request: RequestId) -> ConnectionId {
    ConnectionId(request.0)
}

/// The balancer's request of a connection.
pub(super) fn request_id(connection: ConnectionId) -> RequestId {
    RequestId(connection.0)
}
