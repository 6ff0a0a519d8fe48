//! The handle through which every task uses the reducer: it feeds inputs, reads the clock and queries the
//! reducer's state.
//!
//! The effects of an input are passed in order to an [`EffectHandler`] before the next input is fed. This
//! module depends only on the trait; [`assembly`](super::assembly) chooses the implementation.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::clock::Clock;
use super::observation::{Observation, Observer};
use crate::routing::store::ReplicatedMap;
use crate::routing::{reduce, ConnectionId, Effect, EndpointWatchTiming, Input, PoolId, State};
use crate::Time;

/// Carries out the reducer's effects.
pub(super) trait EffectHandler {
    /// Carries out one effect. Implementations must return without waiting and must not feed an input.
    fn carry_out(&self, effect: Effect);
}

/// A handle to the reducer. Clones refer to the same reducer.
#[derive(Clone)]
pub(super) struct ReducerHandle(Rc<Reducer>);

struct Reducer {
    state: RefCell<State>,
    clock: Clock,
    effects: Rc<dyn EffectHandler>,
    /// Collects observations of connections. Set only in replays.
    observer: RefCell<Option<Observer>>,
    /// Wakes the timer task when the reducer's next deadline has changed.
    deadline_changed: Notify,
}

impl ReducerHandle {
    /// Creates a reducer with an initial state. Its effects are passed to `effects`.
    pub(super) fn new(state: State, clock: Clock, effects: Rc<dyn EffectHandler>) -> ReducerHandle {
        ReducerHandle(Rc::new(Reducer {
            state: RefCell::new(state),
            clock,
            effects,
            observer: RefCell::default(),
            deadline_changed: Notify::new(),
        }))
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Time {
        self.0.clock.now()
    }

    /// Feeds an input to the reducer, and passes the resulting effects in order to the effect handler.
    pub(super) fn feed(&self, input: Input) {
        let Reducer { state, effects: handler, observer, deadline_changed, .. } = &*self.0;
        if let Some(observer) = observer.borrow_mut().as_mut() {
            observer.observe_input(self.now(), &input);
        }
        let (effects, next_deadline_differs) = {
            let mut state = state.borrow_mut();
            let previous_deadline = state.next_deadline();
            let effects = reduce(&mut state, self.now(), input);
            (effects, state.next_deadline() != previous_deadline)
        };
        for effect in effects {
            if let Some(observer) = observer.borrow_mut().as_mut() {
                observer.observe_effect(self.now(), &effect);
            }
            handler.carry_out(effect);
        }
        if next_deadline_differs {
            deadline_changed.notify_one();
        }
    }

    /// Feeds [`Input::TimerFired`] whenever one of the reducer's deadlines has passed. Never returns.
    pub(super) async fn run_timer(self) {
        loop {
            let next_deadline = self.0.state.borrow().next_deadline();
            let deadline_changed = self.0.deadline_changed.notified();
            match next_deadline {
                None => deadline_changed.await,
                Some(deadline) => {
                    let wait = Duration::from(deadline.since(self.now()));
                    tokio::select! {
                        () = deadline_changed => {}
                        () = tokio::time::sleep(wait) => self.feed(Input::TimerFired),
                    }
                }
            }
        }
    }
}

/// Queries of the reducer's state.
impl ReducerHandle {
    /// Returns whether this process can serve clients.
    pub(super) fn is_serving(&self) -> bool {
        self.0.state.borrow().is_serving()
    }

    /// Returns whether a deadline of a connection has passed and [`Input::TimerFired`] has not been fed
    /// since.
    pub(super) fn is_overdue(&self, connection: ConnectionId) -> bool {
        self.0.state.borrow().is_timer_expired(self.now(), connection)
    }

    /// Returns how many bytes a connection may buffer for a side that does not read.
    pub(super) fn buffer_limit(&self) -> usize {
        self.0.state.borrow().resource_limits().buffer_bytes
    }

    /// Returns the length of the longest response of discovery that is read, in bytes.
    pub(super) fn max_response_bytes(&self) -> usize {
        self.0.state.borrow().resource_limits().max_response_bytes
    }

    /// Returns whether a pool's endpoint list is watched at this address of discovery.
    pub(super) fn is_watched_at(&self, pool: PoolId, discovery: SocketAddr) -> bool {
        self.0.state.borrow().is_watched_at(pool, discovery)
    }

    /// Returns the timeouts and delays of a pool's watch on its endpoint list.
    pub(super) fn endpoint_watch_timing(&self, pool: PoolId) -> EndpointWatchTiming {
        self.0.state.borrow().endpoint_watch_timing(pool)
    }

    /// Calls a function with the replicated map. The function must not feed an input.
    pub(super) fn with_replicated_map(&self, read: impl FnOnce(&ReplicatedMap)) {
        read(self.0.state.borrow().replicated_map());
    }
}

/// Observations of connections, for the reports of replays.
impl ReducerHandle {
    /// Starts to observe all connections.
    pub(super) fn start_observing(&self) {
        *self.0.observer.borrow_mut() = Some(Observer::default());
    }

    /// Returns the observations of a connection so far, in order.
    pub(super) fn observations(&self, connection: ConnectionId) -> Vec<Observation> {
        let observer = self.0.observer.borrow();
        observer.as_ref().map(|observer| observer.observations(connection)).unwrap_or_default()
    }
}
