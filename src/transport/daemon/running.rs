//! The running daemon: the state that a reload can change, and the wait for the last answers at shutdown.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;

use super::super::assembly::Assembly;
use super::super::error::TransportError;
use super::super::fronts::{ActiveFront, ActiveFronts};
use super::super::listener::{Acceptor, ConnectionStarter};
use super::super::{admin_server, connection};
use crate::program::config::{Config, Sources, StoreConfig};

/// Names of the fronts. A hot restart passes each front's listener to the successor under this name.
pub(super) const PLATFORM_FRONT: &str = "platform";
pub(super) const IRC_FRONT: &str = "irc";

/// Reads and validates all configuration files.
pub(super) fn read_configuration(sources: &Sources) -> Result<Config, TransportError> {
    sources.read().map_err(TransportError::Configuration)
}

/// The running daemon, including the listeners and settings that a reload can replace.
pub(super) struct Daemon {
    /// The reducer and the dispatcher of its effects.
    pub(super) assembly: Assembly,
    /// The fronts that accept connections.
    pub(super) fronts: ActiveFronts,
    /// Files from which a reload reads the configuration.
    pub(super) sources: Sources,
    /// Configuration of the replicated map's store. A reload can change only its peers.
    pub(super) store: Option<StoreConfig>,
    /// Accepts the platform's connections; none if the platform's front is not configured.
    pub(super) platform_acceptor: Option<Acceptor>,
    /// Accepts IRC connections; none if the IRC front is not configured.
    pub(super) irc_acceptor: Option<Acceptor>,
    /// Accepts admin clients; none if the admin endpoint is not configured.
    pub(super) admin_acceptor: Option<Acceptor>,
}

impl Daemon {
    /// Waits for a limited time until the last answers are written, including answers to connections that are
    /// still in a listener's queue.
    pub(super) async fn wait_for_last_answers(&self) {
        let accept_queued = || {
            for acceptor in [&self.platform_acceptor, &self.irc_acceptor].into_iter().flatten() {
                acceptor.accept_queued();
            }
        };
        self.assembly.effects.connections.wait_until_empty(accept_queued).await;
    }

    /// Registers a front, and starts to accept its connections.
    pub(super) fn open_front(
        &self,
        name: &'static str,
        configured: SocketAddr,
        front: ActiveFront,
    ) -> Acceptor {
        self.fronts.register(name, front.clone());
        let ActiveFront { pool, factory, listener } = front;
        let context = self.assembly.connection_context();
        let start_connection: ConnectionStarter = Rc::new(move |stream| {
            connection::start(&context, pool, stream, factory());
        });
        Acceptor::open_front(&self.assembly.effects.accepting, configured, listener, start_connection)
    }
}

/// Starts to accept admin clients.
pub(super) fn open_admin_endpoint(
    assembly: &Assembly,
    configured: SocketAddr,
    listener: Rc<TcpListener>,
) -> Acceptor {
    let accept_clients = admin_server::accept_clients(assembly.admin_context(), listener.clone());
    Acceptor::open_admin_endpoint(configured, listener, accept_clients)
}
