//! Dispatches each effect of the reducer to the channel of its task, or to the consumer that the daemon has
//! registered for effects of its kind.

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
use crate::routing::store::{AddressedReplicaMessage, KeyedEntry};
use crate::routing::{Effect, HandoverState};

/// Dispatches effects to the tasks and consumers that carry them out.
///
/// Channels to tasks are unbounded, because [`EffectHandler::carry_out`] must not wait and a bounded channel
/// could be full. The reducer limits the number of commands that are pending in each channel.
pub(super) struct EffectDispatcher {
    /// Channels to the tasks of connections.
    pub connections: ConnectionRegistry,
    /// Whether the fronts accept connections.
    pub accepting: Accepting,
    /// Calls of admin clients that are waiting for replies.
    pub admin_calls: PendingAdminCalls,
    /// Channel to the peer process of a hot restart.
    pub peer_process: PeerProcess,
    /// Consumed by the task that watches endpoint lists. The reducer sends one command for each lost watch.
    pub watches: Outlet<WatchCommand>,
    /// Consumed by the task that probes servers. The reducer limits the number of probes in flight.
    pub probes: Outlet<ProbeCommand>,
    /// Consumed by the gossip socket.
    pub gossip: Outlet<GossipMessage>,
    /// Consumed by the replication socket.
    pub replica_messages: Outlet<AddressedReplicaMessage>,
    /// Consumed by the files of the replicated map.
    pub entries: Outlet<KeyedEntry>,
    /// Names of all servers that operators excluded. Consumed by the file that keeps them.
    pub exclusions: Outlet<Vec<String>>,
    /// Consumed by the hot restart, which sends this process's state to the successor.
    pub exported_state: Outlet<HandoverState>,
    /// Reports that the process can exit.
    exit: mpsc::UnboundedSender<()>,
}

impl EffectDispatcher {
    /// Returns a dispatcher, and the channel on which it reports that the process can exit.
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
    // This function is long because it has one arm for each effect. The arms only dispatch.
    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::OpenAttempt { connection, attempt, address, acceptance_timeout } => {
                log_event!(LogEvent::AttemptOpened { connection, attempt, address: &address });
                let command = ConnectionCommand::OpenAttempt { attempt, address, acceptance_timeout };
                self.connections.send(connection, command);
            }
            Effect::CloseAttempt { connection } => {
                log_event!(LogEvent::AttemptClosed { connection });
                self.connections.send(connection, ConnectionCommand::CloseAttempt);
            }
            Effect::AbortConnection { connection } => {
                self.connections.send(connection, ConnectionCommand::Abort);
            }
            Effect::CheckRequestArrival { connection } => {
                self.connections.send(connection, ConnectionCommand::CheckRequestArrival);
            }
            Effect::Answer { connection, answer } => {
                self.connections.send(connection, ConnectionCommand::SendAnswer(answer));
            }
            Effect::SetAccepting { open } => self.accepting.set(open),
            Effect::BroadcastGossip(message) => self.gossip.pass(message),
            Effect::ProbeServer { pool, server, address, load_report_fields, timeout } => {
                let timeout = Duration::from(timeout);
                self.probes.pass(ProbeCommand { pool, server, address, load_report_fields, timeout });
            }
            Effect::WatchEndpoints { pool } => self.watches.pass(WatchCommand::Resume { pool }),
            Effect::WatchEndpointsAt { pool, discovery } => {
                self.watches.pass(WatchCommand::Start { pool, discovery, generation: None });
            }
            Effect::SendReplicaMessage(message) => self.replica_messages.pass(message),
            Effect::PersistEntry { key, entry } => self.entries.pass(KeyedEntry { key, entry }),
            Effect::ExportState(state) => self.exported_state.pass(*state),
            Effect::TransferConnection { connection, pool, established } => {
                let established = Box::new(established);
                let message = PeerProcessMessage::TransferConnection { connection, pool, established };
                self.peer_process.send(message);
            }
            Effect::ShareRequestId { pool, id } => {
                self.peer_process.send(PeerProcessMessage::ShareRequestId { pool, id });
            }
            Effect::ShareExclusion { admin_call, server, excluded } => {
                let message = PeerProcessMessage::ShareExclusion { admin_call, server, excluded };
                self.peer_process.send(message);
            }
            Effect::PersistExclusions(excluded) => self.exclusions.pass(excluded),
            Effect::AdminReply { admin_call, reply } => self.admin_calls.reply(admin_call, reply),
            Effect::Log(event) => log_event!(event),
            Effect::Exit => self.request_exit(),
        }
    }
}
