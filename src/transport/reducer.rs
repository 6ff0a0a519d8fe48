//! The handle of the reducer that every task holds: it feeds inputs, reads the clock and answers questions
//! about the reducer's state.
//!
//! The effects of an input are passed to an [`EffectHandler`], in their order and before the next input is
//! fed. This module knows the trait only; the daemon chooses who implements it.

use std::cell::RefCell;
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
    /// Carries out one effect. It returns without waiting, and feeds no input.
    fn carry_out(&self, effect: Effect);
}

/// A handle of the reducer. Clones are handles of the same one.
#[derive(Clone)]
pub(super) struct ReducerHandle(Rc<Reducer>);

struct Reducer {
    state: RefCell<State>,
    clock: Clock,
    effects: Rc<dyn EffectHandler>,
    /// Set in replays only.
    observer: RefCell<Option<Observer>>,
    /// Notified when the reducer's next deadline has changed.
    deadline_changed: Notify,
}

impl ReducerHandle {
    /// A reducer that begins with this state, and whose effects go to `effects`.
    pub(super) fn new(state: State, clock: Clock, effects: Rc<dyn EffectHandler>) -> ReducerHandle {
        ReducerHandle(Rc::new(Reducer {
            state: RefCell::new(state),
            clock,
            effects,
            observer: RefCell::default(),
            deadline_changed: Notify::new(),
        }))
    }

    /// The present time.
    pub(super) fn now(&self) -> Time {
        self.0.clock.now()
    }

    /// Hands an input to the reducer and has its effects carried out, in their order.
    pub(super) fn feed(&self, input: Input) {
        let Reducer { state, effects: handler, observer, deadline_changed, .. } = &*self.0;
        if let Some(observer) = observer.borrow_mut().as_mut() {
            observer.observe_input(self.now(), &input);
        }
        let (effects, is_deadline_changed) = {
            let mut state = state.borrow_mut();
            let deadline = state.next_deadline();
            let effects = reduce(&mut state, self.now(), input);
            (effects, state.next_deadline() != deadline)
        };
        for effect in effects {
            if let Some(observer) = observer.borrow_mut().as_mut() {
                observer.observe_effect(self.now(), &effect);
            }
            handler.carry_out(effect);
        }
        if is_deadline_changed {
            deadline_changed.notify_one();
        }
    }

    /// Feeds the reducer whenever one of its deadlines has passed, for ever.
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

/// Questions about the reducer's state.
impl ReducerHandle {
    /// Whether this process can serve.
    pub(super) fn is_serving(&self) -> bool {
        self.0.state.borrow().serves()
    }

    /// Whether a deadline of a connection has passed that the reducer has not been fed yet.
    pub(super) fn is_overdue(&self, connection: ConnectionId) -> bool {
        self.0.state.borrow().is_timer_expired(self.now(), connection)
    }

    /// Bytes that a connection may buffer for a side that does not read.
    pub(super) fn buffer_limit(&self) -> usize {
        self.0.state.borrow().budget().buffer
    }

    /// How a pool's watch on its endpoint list is to be timed.
    pub(super) fn endpoint_watch_timing(&self, pool: PoolId) -> EndpointWatchTiming {
        self.0.state.borrow().endpoint_watch_timing(pool)
    }

    /// Lends the replicated map to a function, which must feed no input.
    pub(super) fn with_replicated_map(&self, read: impl FnOnce(&ReplicatedMap)) {
        read(self.0.state.borrow().store());
    }
}

/// Observations, for replays.
impl ReducerHandle {
    /// Observes all connections from now on.
    pub(super) fn start_observing(&self) {
        *self.0.observer.borrow_mut() = Some(Observer::default());
    }

    /// What was observed of a connection so far.
    pub(super) fn observations(&self, connection: ConnectionId) -> Vec<Observation> {
        let observer = self.0.observer.borrow();
        observer.as_ref().map(|observer| observer.observations(connection)).unwrap_or_default()
    }
}
