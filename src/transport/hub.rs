//! Where connections, watches and timers meet the reducer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, Notify};

use super::watch;
use crate::routing::{reduce, Answer, AuthId, Effect, Input, State};
use crate::{Micros, Time};

/// What a connection's task is to do.
#[derive(Debug)]
pub enum Order {
    /// Open a leg.
    OpenLeg { leg: u32, address: String, wait: Micros },
    /// Close the leg.
    CloseLeg,
    /// Give the answer and end.
    Answer(Answer),
}

/// The reducer's state and those who carry out its effects.
pub struct Hub {
    state: RefCell<State>,
    /// The system's clock at the start, and the steady one that goes on from there.
    origin: (Micros, Instant),
    /// Danger: a bounded channel could be full when an order comes; the reducer gives each connection at
    /// most two orders a leg and one answer, so these stay short by themselves.
    connections: RefCell<HashMap<AuthId, mpsc::UnboundedSender<Order>>>,
    watches: RefCell<HashMap<usize, mpsc::Sender<()>>>,
    next: Cell<u64>,
    exit: mpsc::UnboundedSender<()>,
    timer: Notify,
}

impl Hub {
    /// A hub, and what tells that the balancer may go.
    pub fn new(state: impl FnOnce(Time) -> State) -> (Rc<Hub>, mpsc::UnboundedReceiver<()>) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let origin = (since.as_micros() as Micros, Instant::now());
        let (exit, exited) = mpsc::unbounded_channel();
        let hub = Hub {
            state: RefCell::new(state(Time(origin.0))),
            origin,
            connections: RefCell::default(),
            watches: RefCell::default(),
            next: Cell::new(0),
            exit,
            timer: Notify::new(),
        };
        (Rc::new(hub), exited)
    }

    /// The time, which all machines share and which never runs backwards here.
    pub fn now(&self) -> Time {
        Time(self.origin.0 + self.origin.1.elapsed().as_micros() as Micros)
    }

    /// Hands an input to the reducer and sends its effects on their way.
    pub fn feed(self: &Rc<Self>, input: Input) {
        let (effects, changed) = {
            let mut state = self.state.borrow_mut();
            let before = state.next_due();
            let effects = reduce(&mut state, self.now(), input);
            (effects, state.next_due() != before)
        };
        for effect in effects {
            match effect {
                Effect::OpenLeg { auth, leg, address, wait } => {
                    self.order(auth, Order::OpenLeg { leg, address, wait })
                }
                Effect::CloseLeg { auth } => self.order(auth, Order::CloseLeg),
                Effect::Answer { auth, answer } => self.order(auth, Order::Answer(answer)),
                Effect::Watch { pool } => {
                    if let Some(watch) = self.watches.borrow().get(&pool) {
                        // A watch that is asked for already needs no second word.
                        let _ = watch.try_send(());
                    }
                }
                Effect::Log(text) => crate::log!(info, "{text}"),
                Effect::Exit => drop(self.exit.send(())),
            }
        }
        if changed {
            self.timer.notify_one();
        }
    }

    fn order(&self, auth: AuthId, order: Order) {
        if let Some(connection) = self.connections.borrow().get(&auth) {
            // One that has just ended needs no orders.
            let _ = connection.send(order);
        }
    }

    /// A new connection's number, and where its orders come.
    pub fn enter(&self) -> (AuthId, mpsc::UnboundedReceiver<Order>) {
        let auth = AuthId(self.next.replace(self.next.get() + 1));
        let (sender, orders) = mpsc::unbounded_channel();
        self.connections.borrow_mut().insert(auth, sender);
        (auth, orders)
    }

    /// A connection's task has ended.
    pub fn leave(&self, auth: AuthId) {
        self.connections.borrow_mut().remove(&auth);
    }

    /// Waits a little for answers that are still being written.
    pub async fn settle(&self) {
        for _ in 0..20 {
            if self.connections.borrow().is_empty() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Watches a routing table whenever the reducer asks for it.
    pub fn watch(self: &Rc<Self>, pool: usize, discovery: SocketAddr, generation: u64) {
        let (sender, wanted) = mpsc::channel(1);
        self.watches.borrow_mut().insert(pool, sender);
        tokio::task::spawn_local(watch::follow(self.clone(), pool, discovery, generation, wanted));
    }

    /// Tells the reducer whenever time has come to something.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().next_due();
            let changed = self.timer.notified();
            match next {
                None => changed.await,
                Some(at) => {
                    let wait = Duration::from_micros(at.since(self.now()));
                    tokio::select! {
                        () = changed => {}
                        () = tokio::time::sleep(wait) => self.feed(Input::Tick),
                    }
                }
            }
        }
    }
}
