//! The interface to the balancers: passes them events, and executes the actions that they return.
//!
//! A balancer (`src/policy/`) decides and has no side effects. This module translates its actions into
//! effects and calls of other handlers, in the order in which they were returned. Cancelling an attempt is an
//! event for the balancer, whose further actions are appended to the queue. A migration also causes an event;
//! the further actions are then executed at once, before those that are already queued.
//!
//! Where the balancer rejects or fails a request, this module counts the reason in the metrics and logs it.
//! No other module does either.
//!
//! This module owns no state.

use std::collections::VecDeque;

use super::{Answer, ConnectionId, Effect, LogEvent, PoolId, State};
use crate::peers::Observation;
use crate::{Action, Event, Outcome, RefusalReason, RequestId, Time};

impl State {
    /// Passes an event to a pool's balancer, and executes the returned actions in order.
    pub(super) fn dispatch(&mut self, now: Time, pool: PoolId, event: Event<'_>) {
        let mut actions = Vec::new();
        self.pools[pool.0].balancer.handle(now, event, &mut actions);
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            // Cancelling an attempt may cause further actions. They are executed after the actions that are
            // already queued.
            actions.extend(self.apply_action(now, pool, action));
        }
    }

    /// Executes one action, and returns the further actions that it causes.
    fn apply_action(&mut self, now: Time, pool: PoolId, action: Action) -> Vec<Action> {
        match action {
            Action::StartAttempt { request, server, acceptance_timeout, forwarding_timeout } => {
                self.open_attempt(
                    now,
                    connection_id(request),
                    server,
                    acceptance_timeout,
                    forwarding_timeout,
                );
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
            Action::ReportSlowSetup => self.broadcast_observation(now, pool, Observation::SlowSetups),
            Action::ReportDrop { server } => {
                self.broadcast_observation(now, pool, Observation::Dropped(server));
            }
            Action::WatchEndpoints => self.effects.push(Effect::WatchEndpoints { pool }),
            Action::SetTimer(delay) => self.pools[pool.0].set_balancer_timer(now.plus(delay)),
            Action::ProbeServer { server } => self.start_probe(pool, server),
        }
        Vec::new()
    }

    /// Rejects or fails a request for which the balancer has no server, and counts and logs the reason.
    fn answer_without_server(&mut self, now: Time, id: ConnectionId, reason: RefusalReason, answer: Answer) {
        let Some(pool) = self.connections.pool_of(id) else { return };
        self.pools[pool.0].count_refusal(reason);
        self.answer_and_remove(now, id, answer);
        self.effects.push(Effect::Log(LogEvent::RequestRefused { connection: id, reason }));
        if reason == RefusalReason::EndpointListExpired {
            self.log_endpoint_list_expiry(pool);
        }
    }

    /// Logs that a pool's endpoint list has expired, unless that is logged and the list was not confirmed
    /// since.
    fn log_endpoint_list_expiry(&mut self, pool: PoolId) {
        let pool = &mut self.pools[pool.0];
        if pool.record_expiry() {
            let pool = pool.config.name;
            self.effects.push(Effect::Log(LogEvent::EndpointListExpired { pool }));
        }
    }

    /// Closes an attempt in flight, and returns the balancer's actions on its end.
    fn cancel_attempt(&mut self, now: Time, pool: PoolId, request: RequestId, attempt: u32) -> Vec<Action> {
        let id = connection_id(request);
        if self.connections.attempt(id, attempt).is_some() {
            self.connections.remove_attempt(id);
            self.effects.push(Effect::CloseAttempt { connection: id });
        }
        let mut actions = Vec::new();
        let ended = Event::AttemptEnded { request, attempt, outcome: Outcome::Cancelled, answered: true };
        self.pools[pool.0].balancer.handle(now, ended, &mut actions);
        actions
    }
}

/// Returns the connection of a balancer's request. Both have the same number.
fn connection_id(request: RequestId) -> ConnectionId {
    ConnectionId(request.0)
}

/// Returns the balancer's request of a connection. Both have the same number.
pub(super) fn request_id(connection: ConnectionId) -> RequestId {
    RequestId(connection.0)
}
