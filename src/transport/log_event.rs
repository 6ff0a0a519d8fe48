//! All log lines of the transport. Each line has one variant and one text.
//!
//! On-call staff search for these texts, so each text is written here in one piece.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tracing::Level;

use super::error::TransportError;
use crate::routing::{AttemptOutcome, ConnectionId};
use crate::WatchFailure;

/// An event that is written to the log as one line.
#[derive(Debug)]
pub(super) enum LogEvent<'a> {
    /// The admin endpoint accepts clients.
    AdminEndpointOpen { address: SocketAddr },
    /// The replicated map exchanges messages with other nodes.
    ReplicationOpen { node: &'a str, address: SocketAddr },
    /// The platform's front accepts connections.
    PlatformListening { name: &'a str, address: SocketAddr },
    /// The platform's front was reconfigured by a reload.
    PlatformReconfigured { name: &'a str, address: SocketAddr },
    /// The IRC front accepts connections.
    IrcListening { name: &'a str, address: SocketAddr },
    /// The IRC front was reconfigured by a reload.
    IrcReconfigured { name: &'a str, address: SocketAddr },
    /// A reload was rejected before it changed anything.
    ReloadFailed { error: &'a TransportError },
    /// A graceful shutdown is complete.
    ShutDown,
    /// A connection cannot be accepted. Logged once, and again only after another connection was accepted.
    AcceptFailed { error: &'a io::Error },
    /// Gossip cannot be exchanged.
    GossipUnavailable { error: &'a io::Error },
    /// A datagram for the replicated map cannot be decoded.
    ReplicaMessageUnreadable { from: SocketAddr },
    /// A datagram for gossip cannot be decoded, or was sent from an unknown address.
    GossipUnreadable { from: SocketAddr },
    /// Discovery sent an endpoint list, or a delta of it. `age` is the time since discovery's previous
    /// answer.
    EndpointListUpdated { generation: u64, entries: usize, draining: usize, age: Duration },
    /// Discovery did not answer a call for the time `waited`, and is polled again.
    EndpointListRetried { waited: Duration, age: Duration },
    /// Discovery sent a delta whose generation is older than the current endpoint list.
    EndpointListOutdated { generation: u64, current: u64 },
    /// A call to discovery failed after the time `waited`.
    EndpointListFailed { error: &'a dyn Error, failure: WatchFailure, waited: Duration, age: Duration },
    /// An attempt of a request is started.
    AttemptOpened { connection: ConnectionId, attempt: u32, address: &'a str },
    /// An attempt is cancelled by this process.
    AttemptClosed { connection: ConnectionId },
    /// An attempt ended at its server or in the network.
    AttemptEnded { connection: ConnectionId, attempt: u32, outcome: AttemptOutcome },
    /// The recording has reached its maximum size.
    RecordingFull { file: &'a Path },
    /// The recording cannot be written.
    RecordingFailed { file: &'a Path, error: &'a io::Error },
    /// The journal ended in an incomplete record.
    JournalTruncated { journal: &'a Path, offset: usize, removed: usize },
    /// An entry of the replicated map could not be written to disk.
    EntryNotPersisted { folder: &'a Path, key: &'a str, error: &'a io::Error },
    /// The store's files cannot be reopened after a hot restart was aborted.
    StoreNotReopened { error: &'a TransportError },
    /// The list of excluded servers could not be written to disk.
    ExclusionsNotPersisted { file: &'a Path, error: &'a io::Error },
    /// The list of excluded servers cannot be read.
    ExclusionsUnreadable { file: &'a Path, error: &'a io::Error },
    /// The socket on which successors request the state could not be opened.
    HotRestartUnavailable { socket: &'a Path, error: &'a io::Error },
    /// A predecessor did not export its state.
    ImportFailed { socket: &'a Path, error: &'a dyn Error },
    /// A predecessor did not answer in time.
    ImportTimedOut { socket: &'a Path, timeout: Duration },
    /// The state could not be exported to a successor.
    ExportFailed { error: &'a dyn Error },
    /// The successor did not start to serve in time.
    ExportTimedOut,
    /// The link to the peer process failed.
    PeerProcessFailed { error: &'a dyn Error },
}

impl LogEvent<'_> {
    /// Returns the level at which the line is logged.
    pub(super) fn level(&self) -> Level {
        match self {
            LogEvent::AdminEndpointOpen { .. }
            | LogEvent::ReplicationOpen { .. }
            | LogEvent::PlatformListening { .. }
            | LogEvent::PlatformReconfigured { .. }
            | LogEvent::IrcListening { .. }
            | LogEvent::IrcReconfigured { .. }
            | LogEvent::EndpointListUpdated { .. }
            | LogEvent::ShutDown => Level::INFO,
            LogEvent::AttemptOpened { .. }
            | LogEvent::AttemptClosed { .. }
            | LogEvent::AttemptEnded { .. } => Level::DEBUG,
            LogEvent::AcceptFailed { .. }
            | LogEvent::GossipUnavailable { .. }
            | LogEvent::ReplicaMessageUnreadable { .. }
            | LogEvent::GossipUnreadable { .. }
            | LogEvent::EndpointListRetried { .. }
            | LogEvent::EndpointListOutdated { .. }
            | LogEvent::EndpointListFailed { .. }
            | LogEvent::RecordingFull { .. }
            | LogEvent::JournalTruncated { .. }
            | LogEvent::HotRestartUnavailable { .. }
            | LogEvent::ImportFailed { .. }
            | LogEvent::ImportTimedOut { .. }
            | LogEvent::ExportFailed { .. }
            | LogEvent::ExportTimedOut
            | LogEvent::PeerProcessFailed { .. } => Level::WARN,
            LogEvent::ReloadFailed { .. }
            | LogEvent::RecordingFailed { .. }
            | LogEvent::EntryNotPersisted { .. }
            | LogEvent::StoreNotReopened { .. }
            | LogEvent::ExclusionsNotPersisted { .. }
            | LogEvent::ExclusionsUnreadable { .. } => Level::ERROR,
        }
    }
}

impl fmt::Display for LogEvent<'_> {
    #[expect(clippy::too_many_lines, reason = "a pure dispatcher with one text for each event")]
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::AdminEndpointOpen { address } => {
                write!(formatter, "admin endpoint open on {address}")
            }
            LogEvent::ReplicationOpen { node, address } => {
                write!(formatter, "{node} replicates on {address}")
            }
            LogEvent::PlatformListening { name, address } => {
                write!(formatter, "{name} listens on {address}")
            }
            LogEvent::PlatformReconfigured { name, address } => {
                write!(formatter, "{name} listens on {address}, reconfigured")
            }
            LogEvent::IrcListening { name, address } => {
                write!(formatter, "{name} listens on {address} for IRC")
            }
            LogEvent::IrcReconfigured { name, address } => {
                write!(formatter, "{name} listens on {address} for IRC, reconfigured")
            }
            LogEvent::ReloadFailed { error } => {
                write!(formatter, "the old configuration stays in force: {error}")
            }
            LogEvent::ShutDown => write!(formatter, "shut down"),
            LogEvent::AcceptFailed { error } => write!(formatter, "cannot accept connections: {error}"),
            LogEvent::GossipUnavailable { error } => {
                write!(formatter, "cannot exchange gossip with the tier's other balancers: {error}")
            }
            LogEvent::ReplicaMessageUnreadable { from } => {
                write!(formatter, "a datagram from {from} is not a replica message")
            }
            LogEvent::GossipUnreadable { from } => {
                write!(formatter, "a datagram from {from} is not gossip of the tier")
            }
            LogEvent::EndpointListUpdated { generation, entries, draining, age } => {
                write!(
                    formatter,
                    "endpoint list: generation {generation}, {entries} entries, {draining} draining, {} ms \
                     after the last answer",
                    age.as_millis()
                )
            }
            LogEvent::EndpointListRetried { waited, age } => {
                write!(
                    formatter,
                    "endpoint list: no answer within {} ms, polled again, {} ms after the last answer",
                    waited.as_millis(),
                    age.as_millis()
                )
            }
            LogEvent::EndpointListOutdated { generation, current } => {
                write!(
                    formatter,
                    "endpoint list: generation {generation} is older than generation {current}, snapshot \
                     requested"
                )
            }
            LogEvent::EndpointListFailed { error, failure, waited, age } => {
                write!(
                    formatter,
                    "endpoint list: {error}, failed after {} ms, {}, {} ms after the last answer",
                    waited.as_millis(),
                    state_of_discovery(*failure),
                    age.as_millis()
                )
            }
            LogEvent::AttemptOpened { connection, attempt, address } => {
                write!(formatter, "connection {}: attempt {attempt} at {address}", connection.0)
            }
            LogEvent::AttemptClosed { connection } => {
                write!(formatter, "connection {}: attempt cancelled", connection.0)
            }
            LogEvent::AttemptEnded { connection, attempt, outcome } => {
                write!(formatter, "connection {}: attempt {attempt} ended: {outcome}", connection.0)
            }
            LogEvent::RecordingFull { file } => {
                write!(formatter, "{}: the recording is full", file.display())
            }
            LogEvent::RecordingFailed { file, error } => {
                write!(formatter, "{}: the recording failed: {error}", file.display())
            }
            LogEvent::JournalTruncated { journal, offset, removed } => {
                write!(
                    formatter,
                    "{}: torn write at byte {offset}, {removed} bytes truncated",
                    journal.display()
                )
            }
            LogEvent::EntryNotPersisted { folder, key, error } => {
                write!(formatter, "{}: {key} is not persisted: {error}", folder.display())
            }
            LogEvent::StoreNotReopened { error } => {
                write!(formatter, "the store's files cannot be reopened: {error}")
            }
            LogEvent::ExclusionsNotPersisted { file, error } => {
                write!(formatter, "{}: excluded servers are not persisted: {error}", file.display())
            }
            LogEvent::ExclusionsUnreadable { file, error } => {
                write!(formatter, "{}: excluded servers cannot be read: {error}", file.display())
            }
            LogEvent::HotRestartUnavailable { socket, error } => {
                write!(formatter, "{}: cannot offer hot restarts: {error}", socket.display())
            }
            LogEvent::ImportFailed { socket, error } => {
                write!(formatter, "{}: cannot import the predecessor's state: {error}", socket.display())
            }
            LogEvent::ImportTimedOut { socket, timeout } => {
                write!(
                    formatter,
                    "{}: cannot import the predecessor's state: no answer within {} ms",
                    socket.display(),
                    timeout.as_millis()
                )
            }
            LogEvent::ExportFailed { error } => write!(formatter, "hot restart aborted: {error}"),
            LogEvent::ExportTimedOut => {
                write!(formatter, "hot restart aborted: the successor does not serve in time")
            }
            LogEvent::PeerProcessFailed { error } => {
                write!(formatter, "link to the peer process failed: {error}")
            }
        }
    }
}

/// Logs an event. Its target is the calling module, so that log levels can be configured per module.
macro_rules! log_event {
    ($event:expr) => {{
        let event = $event;
        match event.level() {
            ::tracing::Level::ERROR => $crate::log!(error, "{event}"),
            ::tracing::Level::WARN => $crate::log!(warn, "{event}"),
            ::tracing::Level::DEBUG => $crate::log!(debug, "{event}"),
            _ => $crate::log!(info, "{event}"),
        }
    }};
}
pub(super) use log_event;

/// Returns the text that names the state of discovery which a failed call indicates.
fn state_of_discovery(failure: WatchFailure) -> &'static str {
    match failure {
        WatchFailure::Unreachable => "discovery is unreachable",
        WatchFailure::Unavailable => "discovery is down unless it was silent before",
        WatchFailure::WatchEnded => "the watch has ended",
        WatchFailure::Unanswered => "discovery is silent",
        WatchFailure::Rejected => "discovery runs and changes may be missing",
    }
}
