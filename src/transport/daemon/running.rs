//! The running daemon: what its reloads change, and what its end waits for.

use super::super::assembly::Assembly;
use super::super::error::TransportError;
use super::super::fronts::{ActiveFront, ActiveFronts};
use super::super::listener::{AcceptGate, ConnectionStarter};
use super::super::{admin_server, connection};
use crate::program::config::{Config, Sources, StoreConfig};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Names of the fronts, under which a successor is given their listeners.
pub(super) const PLATFORM_FRONT: &str = "platform";
pub(super) const IRC_FRONT: &str = "irc";

/// Reads and checks all configuration files.
pub(super) fn read_configuration(sources: &Sources) -> Result<Config, TransportError> {
    sources.read().map_err(|error| TransportError::Configuration(error.into()))
}

/// The daemon, with what a reload can change.
pub(super) struct Daemon {
    /// The reducer, and what carries out its effects.
    pub(super) assembly: Assembly,
    /// The fronts that accept connections.
    pub(super) fronts: ActiveFronts,
    pub(super) sources: Sources,
    pub(super) store: Option<StoreConfig>,
    pub(super) platform: Option<AcceptGate>,
    pub(super) irc: Option<AcceptGate>,
    pub(super) mgmt: Option<AcceptGate>,
}

impl Daemon {
    /// Waits until the last answers are written, those to connections that are still queued included.
    pub(super) async fn wait_for_last_answers(&self) {
        let accept_queued = || {
            for gate in [&self.platform, &self.irc].into_iter().flatten() {
                gate.accept_queued();
            }
        };
        self.assembly.effects.connections.wait_until_empty(accept_queued).await;
    }

    /// Registers a front and accepts its connections.
    pub(super) fn open_front(
        &self,
        name: &'static str,
        wanted: SocketAddr,
        front: ActiveFront,
    ) -> AcceptGate {
        self.fronts.register(name, front.clone());
        let ActiveFront { pool, factory, listener } = front;
        let context = self.assembly.connection_context();
        let start_connection: ConnectionStarter = Rc::new(move |stream| {
            connection::start(&context, pool, stream, factory());
        });
        AcceptGate::open_front(&self.assembly.effects.accepting, wanted, listener, start_connection)
    }
}

/// Accepts admin clients.
pub(super) fn open_admin_endpoint(
    assembly: &Assembly,
    wanted: SocketAddr,
    listener: Rc<TcpListener>,
) -> AcceptGate {
    let accept_clients = admin_server::accept_clients(assembly.admin_context(), listener.clone());
    AcceptGate::open_admin_endpoint(wanted, listener, accept_clients)
}
