//! The fronts: what makes their connections, and which of them accept.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::net::TcpListener;

use crate::protocol::{irc, platform, Front};
use crate::routing::PoolId;

/// Makes the protocol side of a front's connections.
pub(super) type ConnectionFactory = Rc<dyn Fn() -> Box<dyn Front>>;

/// Makes connections of the platform's protocol.
pub(super) fn platform_factory() -> ConnectionFactory {
    Rc::new(|| Box::<platform::Connection>::default())
}

/// Makes connections of IRC.
pub(super) fn irc_factory(config: irc::IrcConfig) -> ConnectionFactory {
    let config = Rc::new(config);
    Rc::new(move || Box::new(irc::Connection::new(config.clone())))
}

/// A front that accepts connections.
#[derive(Clone)]
pub(super) struct ActiveFront {
    /// Its pool.
    pub pool: PoolId,
    /// Makes its connections.
    pub factory: ConnectionFactory,
    /// Accepts them.
    pub listener: Rc<TcpListener>,
}

/// A connection that is new to a front.
pub(super) struct FrontConnection {
    /// The front's pool.
    pub pool: PoolId,
    /// The connection's protocol side.
    pub front: Box<dyn Front>,
}

/// A front's name, and its listener.
pub(super) struct NamedListener {
    /// The name.
    pub name: &'static str,
    /// The listener.
    pub listener: Rc<TcpListener>,
}

/// The fronts that accept connections, by name. Clones are handles of the same fronts.
#[derive(Clone, Default)]
pub(super) struct ActiveFronts(Rc<RefCell<BTreeMap<&'static str, ActiveFront>>>);

impl ActiveFronts {
    /// Registers a front, in the place of an earlier one of that name.
    pub(super) fn register(&self, name: &'static str, front: ActiveFront) {
        self.0.borrow_mut().insert(name, front);
    }

    /// A new connection of the front of that name, if there is one.
    pub(super) fn new_connection(&self, name: &str) -> Option<FrontConnection> {
        let fronts = self.0.borrow();
        fronts.get(name).map(|front| FrontConnection { pool: front.pool, front: (front.factory)() })
    }

    /// The name of a pool's front.
    pub(super) fn name_of(&self, pool: PoolId) -> Option<&'static str> {
        let fronts = self.0.borrow();
        fronts.iter().find(|(_, front)| front.pool == pool).map(|(name, _)| *name)
    }

    /// The listeners, in the order of their fronts' names.
    pub(super) fn listeners(&self) -> Vec<NamedListener> {
        let fronts = self.0.borrow();
        let listeners =
            fronts.iter().map(|(&name, front)| NamedListener { name, listener: front.listener.clone() });
        listeners.collect()
    }
}
