//! Dispatches the reducer's effects: each goes to the channel of its task, or to the consumer that the daemon
//! has registered for its kind.

use std::time::Duration;

use tokio::sync::mpsc;

use super::accepting::Accepting;
use super::commands::{ConnectionCommand, PeerProcessMessage, ProbeCommand, WatchCommand};
use super::connection_registry::ConnectionRegistry;
use super::id_sequence::IdSequence;
use super::log_event::{log_event, LogEvent};
use super::outlet::Outlet;
use super::peer_process::PeerProcess;
use super::pending_admin_calls::PendingAdminCalls;
use super::reducer::EffectHandler;
use crate::peers::GossipMessage;

use crate::routing::store::{AddressedReplicaMessage, Entry};
use crate::routing::{Effect, HandoverState};

/// An entry of the replicated map that is to be persisted.
pub(super) struct EntryToPersist {
    /// Its key.
    pub key: String,
    /// The entry.
    pub entry: Entry,
}

/// Hands each effect to what carries it out.
///
/// Channels to tasks are unbounded, since a bounded one could be full when an effect comes. The reducer itself
/// limits what waits in them.
pub(super) struct EffectDispatcher {
    /// The tasks of connections.
    pub connections: ConnectionRegistry,
    /// Whether the fronts accept connections.
    pub accepting: Accepting,
    /// Admin clients that wait for their replies.
    pub admin_calls: PendingAdminCalls,
    /// The link to the peer process.
    pub peer_process: PeerProcess,
    /// The task of the watches. The reducer gives one command for each watch that is lost.
    pub watches: Outlet<WatchCommand>,
    /// The task of the probes. The reducer limits how many are in flight.
    pub probes: Outlet<ProbeCommand>,
    /// The socket for gossip.
    pub gossip: Outlet<GossipMessage>,
    /// The socket for replica messages.
    pub replica_messages: Outlet<AddressedReplicaMessage>,
    /// The files of the replicated map.
    pub entries: Outlet<EntryToPersist>,
    /// The file of the servers that operators excluded.
    pub exclusions: Outlet<Vec<String>>,
    /// What exports this process's state to a successor.
    pub exported_state: Outlet<HandoverState>,
    /// Reports that the process can exit.
    exit: mpsc::UnboundedSender<()>,
}

impl EffectDispatcher {
    /// A dispatcher, and the channel on which it reports that the process can exit.
    pub(super) fn new() -> (EffectDispatcher, mpsc::UnboundedReceiver<()>) {
        let ids = IdSequence::default();
        let (exit, exited) = mpsc::unbounded_channel();
        let dispatcher = EffectDispatcher {
            connections: ConnectionRegistry::new(ids.clone()),
            accepting: Accepting::on(),
            admin_calls: PendingAdminCalls::new(ids),
            peer_process: PeerProcess::default(),
            watches: Outlet::default(),
            probes: Outlet::default(),
            gossip: Outlet::default(),
            replica_messages: Outlet::default(),
            entries: Outlet::default(),
            exclusions: Outlet::default(),
            exported_state: Outlet::default(),
            exit,
        };
        (dispatcher, exited)
    }

    fn request_exit(&self) {
        // The receiver lives until the process exits.
        let _ = self.exit.send(());
    }
}

impl EffectHandler for EffectDispatcher {
    // Longer than other functions: it only dispatches, with one arm for each effect.
    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::OpenAttempt { connection, attempt, address, timeout: wait } => {
                log_event!(LogEvent::AttemptOpened { connection, attempt, address: &address });
                self.connections.send(connection, ConnectionCommand::OpenAttempt { attempt, address, wait });
            }
            Effect::CloseAttempt { connection } => {
                log_event!(LogEvent::AttemptClosed { connection });
                self.connections.send(connection, ConnectionCommand::CloseAttempt);
            }
            Effect::AbortConnection { connection } => {
                self.connections.send(connection, ConnectionCommand::Abort);
            }
            Effect::CheckHandshake { connection } => {
                self.connections.send(connection, ConnectionCommand::CheckHandshake);
            }
            Effect::Answer { connection, answer } => {
                self.connections.send(connection, ConnectionCommand::SendAnswer(answer));
            }
            Effect::SetAccepting { open } => self.accepting.set(open),
            Effect::BroadcastGossip(message) => self.gossip.pass(message),
            Effect::ProbeServer { pool, server, address, names, timeout: wait } => {
                let timeout = Duration::from(wait);
                self.probes.pass(ProbeCommand { pool, server, address, load_names: names, timeout });
            }
            Effect::WatchEndpoints { pool } => self.watches.pass(WatchCommand::Resume { pool }),
            Effect::WatchEndpointsAt { pool, discovery } => {
                self.watches.pass(WatchCommand::Start { pool, discovery, generation: None });
            }
            Effect::SendReplicaMessage(message) => self.replica_messages.pass(message),
            Effect::PersistEntry { key, entry } => self.entries.pass(EntryToPersist { key, entry }),
            Effect::ExportState(state) => self.exported_state.pass(*state),
            Effect::TransferConnection { connection, pool, established } => {
                let established = Box::new(established);
                let message = PeerProcessMessage::TransferConnection { connection, pool, established };
                self.peer_process.send(message);
            }
            Effect::ShareExclusion { admin_client, server, excluded } => {
                let message = PeerProcessMessage::ShareExclusion { admin_client, server, excluded };
                self.peer_process.send(message);
            }
            Effect::PersistExclusions(excluded) => self.exclusions.pass(excluded),
            Effect::AdminReply { admin_client, reply } => self.admin_calls.reply(admin_client, reply),
            Effect::Log(event) => log_event!(event),
            Effect::Exit => self.request_exit(),
        }
    }
}
