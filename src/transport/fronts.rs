//! The active fronts, and the factories that create the protocol side of their connections.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::net::TcpListener;

use crate::protocol::{irc, platform, Front};
use crate::routing::PoolId;

/// Creates the protocol side of a front's connections.
pub(super) type ConnectionFactory = Rc<dyn Fn() -> Box<dyn Front>>;

/// Returns a factory for connections of the platform's protocol.
pub(super) fn platform_factory() -> ConnectionFactory {
    Rc::new(|| Box::<platform::Connection>::default())
}

/// Returns a factory for IRC connections.
pub(super) fn irc_factory(config: irc::IrcConfig) -> ConnectionFactory {
    let config = Rc::new(config);
    Rc::new(move || Box::new(irc::Connection::new(config.clone())))
}

/// A front that accepts connections.
#[derive(Clone)]
pub(super) struct ActiveFront {
    /// Pool of the servers that the front's connections are routed to.
    pub pool: PoolId,
    /// Creates the protocol side of the front's connections.
    pub factory: ConnectionFactory,
    /// Socket on which the front's connections arrive.
    pub listener: Rc<TcpListener>,
}

/// A new connection of a front.
pub(super) struct FrontConnection {
    /// Pool of the front.
    pub pool: PoolId,
    /// The protocol side of the connection.
    pub front: Box<dyn Front>,
}

/// The listener of a front, with the front's name.
pub(super) struct NamedListener {
    /// Name of the front, as registered with [`ActiveFronts::register`].
    pub name: &'static str,
    /// Socket on which the front's connections arrive.
    pub listener: Rc<TcpListener>,
}

/// The fronts that accept connections, by name. Clones refer to the same fronts.
#[derive(Clone, Default)]
pub(super) struct ActiveFronts(Rc<RefCell<BTreeMap<&'static str, ActiveFront>>>);

impl ActiveFronts {
    /// Registers a front under a name, and replaces an earlier front of the same name.
    pub(super) fn register(&self, name: &'static str, front: ActiveFront) {
        self.0.borrow_mut().insert(name, front);
    }

    /// Creates a connection of the front with the given name. Returns none if there is no such front.
    pub(super) fn new_connection(&self, name: &str) -> Option<FrontConnection> {
        let fronts = self.0.borrow();
        fronts.get(name).map(|front| FrontConnection { pool: front.pool, front: (front.factory)() })
    }

    /// Returns the name of a pool's front.
    pub(super) fn name_of(&self, pool: PoolId) -> Option<&'static str> {
        let fronts = self.0.borrow();
        fronts.iter().find(|(_, front)| front.pool == pool).map(|(name, _)| *name)
    }

    /// Returns the listeners of all fronts, in the order of the fronts' names.
    pub(super) fn listeners(&self) -> Vec<NamedListener> {
        let fronts = self.0.borrow();
        let listeners =
            fronts.iter().map(|(&name, front)| NamedListener { name, listener: front.listener.clone() });
        listeners.collect()
    }
}
