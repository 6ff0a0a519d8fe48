//! Hot restart: a process exports its state to its successor, then transfers its established connections one
//! by one.
//!
//! The successor asks on a socket in the temporary directory ([`socket_path`]). It imports the state and the
//! listening sockets ([`import_state`]), begins to serve, and says so ([`run_as_successor`]); the predecessor
//! serves on if it never does ([`offer_state`]).

mod link;

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{self, Write};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpStream, UnixListener};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout, Instant};

use super::commands::{ConnectionCommand, PeerProcessMessage, TransferredConnection};
use super::connection::{self, AdoptedSockets, ConnectionContext};
use super::datagrams::ReplicationSocket;
use super::files::SharedFiles;
use super::fronts::{ActiveFronts, FrontConnection};
use super::log_event::{log_event, LogEvent};
use super::peer_process::PeerProcess;
use super::reducer::ReducerHandle;
use crate::program::config::Config;
use crate::protocol::hot_restart::{self, HandoverMessage, MAX_PARTS};
use crate::routing::{AdminClientId, ConnectionId, EstablishedConnection, HandoverState, Input, PoolId};
use link::{Link, ReceivedMessage};

/// How long a predecessor has to export its state, and a successor to ask for it. The other process may hang,
/// and a start waits for nobody.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a predecessor is asked again that is busy with another successor, and how often.
const BUSY_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
const BUSY_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long a successor has to serve after it has asked; then it is taken to be lost.
const SUCCESSOR_READY_TIMEOUT: Duration = Duration::from_secs(2);
/// After this time a transfer is tried again of a connection that was not between two lines.
const TRANSFER_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Wait after a successor could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Name of the replication socket among those that a successor is given.
pub(super) const REPLICATION_SOCKET: &str = "store";

/// The state that the reducer has exported for a successor. Clones are handles of the same state.
#[derive(Clone, Default)]
pub(super) struct ExportedState(Rc<RefCell<HandoverState>>);

impl ExportedState {
    /// Keeps the state until it is sent.
    pub(super) fn set(&self, state: HandoverState) {
        *self.0.borrow_mut() = state;
    }

    fn take(&self) -> HandoverState {
        std::mem::take(&mut self.0.borrow_mut())
    }
}

/// What the two sides of a hot restart need.
#[derive(Clone)]
pub(super) struct HotRestartContext {
    /// What adopted connections need, and the connections that are transferred.
    pub connections: ConnectionContext,
    /// The fronts, whose listeners a successor goes on with.
    pub fronts: ActiveFronts,
    /// The channel to the peer process.
    pub peer_process: PeerProcess,
    /// The state for a successor.
    pub exported_state: ExportedState,
    /// The files of the replicated map, where it has any.
    pub files: Option<SharedFiles>,
    /// The socket for replica messages, where the replicated map is on.
    pub replication: Option<ReplicationSocket>,
}

impl HotRestartContext {
    fn reducer(&self) -> &ReducerHandle {
        &self.connections.reducer
    }

    /// Copies of the sockets that a successor goes on with.
    ///
    /// # Errors
    ///
    /// When a descriptor cannot be copied.
    fn clone_sockets(&self) -> io::Result<Vec<NamedSocket>> {
        let clone = |name: &str, socket: BorrowedFd<'_>| {
            Ok(NamedSocket { name: name.to_owned(), socket: socket.try_clone_to_owned()? })
        };
        let listeners = self.fronts.listeners();
        let listeners = listeners.iter().map(|front| clone(front.name, front.listener.as_fd()));
        let replication =
            self.replication.iter().map(|socket| clone(REPLICATION_SOCKET, socket.socket().as_fd()));
        listeners.chain(replication).collect()
    }
}

/// A socket that a successor goes on with.
struct NamedSocket {
    /// Name of its front, or [`REPLICATION_SOCKET`].
    name: String,
    /// A copy of its descriptor.
    socket: OwnedFd,
}

/// The path of the socket on which a process that serves this configuration is asked for its state. It
/// depends on what is listened on, and is the same for every version.
pub(super) fn socket_path(config: &Config) -> PathBuf {
    let platform = config.platform.iter().map(|platform| format!("{} {}", platform.name, platform.listen));
    let irc = config.irc.iter().map(|irc| format!("{} {}", irc.setup.name, irc.listen));
    let fronts = platform.chain(irc).collect::<Vec<_>>().join("\n");
    std::env::temp_dir().join(format!("sagemount-{:08x}.sock", crc32fast::hash(fronts.as_bytes())))
}

/// What the predecessor exported, and the link to it.
pub(super) struct ReceivedState {
    link: Link,
    sockets: HashMap<String, OwnedFd>,
    /// State for the reducer.
    pub state: HandoverState,
}

impl ReceivedState {
    /// Takes the socket of that name, if the predecessor exported one.
    pub(super) fn take_socket(&mut self, name: &str) -> Option<OwnedFd> {
        self.sockets.remove(name)
    }
}

/// Asks the process that serves to export its state. None where no process serves, or it does not answer.
pub(super) async fn import_state(path: &Path) -> Option<ReceivedState> {
    let since = Instant::now();
    loop {
        let received = match timeout(ANSWER_TIMEOUT, request_state(path)).await {
            Ok(Ok(received)) => received,
            Ok(Err(error)) if is_nobody_there(&error) => return None,
            Ok(Err(error)) => {
                log_event!(LogEvent::ImportFailed { socket: path, error: &error });
                return None;
            }
            Err(_) => {
                log_event!(LogEvent::ImportTimedOut { socket: path });
                return None;
            }
        };
        if received.is_some() || since.elapsed() >= BUSY_RETRY_TIMEOUT {
            return received;
        }
        sleep(BUSY_RETRY_INTERVAL).await;
    }
}

/// Whether no process has ever served here, or the one that did is gone.
fn is_nobody_there(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused)
}

/// Asks once. None where the predecessor is busy with another successor.
async fn request_state(path: &Path) -> io::Result<Option<ReceivedState>> {
    let link = Link::connect(path)?;
    link.send(&HandoverMessage::Take, &[]).await?;
    let mut state = HandoverState::default();
    let mut named_sockets = HashMap::new();
    for received_messages in 0..MAX_PARTS {
        let Some(ReceivedMessage { message, sockets }) = link.receive().await? else {
            return if received_messages == 0 { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        };
        match message {
            HandoverMessage::Done => return Ok(Some(ReceivedState { link, sockets: named_sockets, state })),
            HandoverMessage::Part(part) => hot_restart::add_part(&mut state, part),
            HandoverMessage::Socket(name) => {
                named_sockets.extend(sockets.into_iter().map(|socket| (name.clone(), socket)));
            }
            _ => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
    Err(io::ErrorKind::InvalidData.into())
}

/// Closes the channel: the peer process is gone. This is no guard, for it must not happen when the runtime
/// drops its tasks at the end of this process.
fn disconnect_peer_process(context: &HotRestartContext) {
    context.peer_process.disconnect();
    context.reducer().feed(Input::PeerProcessLost);
}

/// Tells the predecessor that this process serves, and takes its connections over.
pub(super) async fn run_as_successor(context: HotRestartContext, received: ReceivedState) {
    let outgoing = context.peer_process.connect();
    if received.link.send(&HandoverMessage::Serving, &[]).await.is_ok() {
        exchange_messages(&context, &received.link, outgoing).await;
    }
    disconnect_peer_process(&context);
}

/// Offers this process's state to its successors, for ever. What cannot be offered is logged.
pub(super) fn offer_state(context: HotRestartContext, path: &Path) {
    match link::listen(path) {
        Ok(listener) => drop(tokio::task::spawn_local(accept_successors(context, listener))),
        Err(error) => log_event!(LogEvent::HotRestartUnavailable { socket: path, error: &error }),
    }
}

async fn accept_successors(context: HotRestartContext, listener: UnixListener) {
    loop {
        match listener.accept().await.and_then(|(socket, _)| Link::new(socket)) {
            Ok(link) => drop(tokio::task::spawn_local(serve_successor(context.clone(), link))),
            Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}

/// Exports the state to a successor, and transfers the connections once it serves. If it never does, this
/// process goes on as before.
async fn serve_successor(context: HotRestartContext, link: Link) {
    let request = timeout(ANSWER_TIMEOUT, link.receive()).await;
    let is_request = matches!(request, Ok(Ok(Some(ReceivedMessage { message: HandoverMessage::Take, .. }))));
    if !is_request || context.peer_process.is_connected() {
        return;
    }
    let outgoing = context.peer_process.connect();
    context.reducer().feed(Input::SuccessorStarted);
    match timeout(SUCCESSOR_READY_TIMEOUT, export_state(&context, &link)).await {
        Ok(Ok(())) => {
            context.reducer().feed(Input::SuccessorReady);
            exchange_messages(&context, &link, outgoing).await;
        }
        Ok(Err(error)) => log_event!(LogEvent::ExportFailed { error: &error }),
        Err(_) => log_event!(LogEvent::ExportTimedOut),
    }
    drop(link);
    disconnect_peer_process(&context);
    if let Some(files) = &context.files {
        context.reducer().with_replicated_map(|store| files.reopen(store));
    }
}

/// Sends the sockets and the state, and waits until the successor serves.
async fn export_state(context: &HotRestartContext, link: &Link) -> io::Result<()> {
    for NamedSocket { name, socket } in context.clone_sockets()? {
        link.send(&HandoverMessage::Socket(name), &[socket.as_fd()]).await?;
    }
    for part in hot_restart::split_state(context.exported_state.take()) {
        let message = HandoverMessage::Part(part);
        // What does not fit a message is left out: no valid name or id is so long.
        if hot_restart::encode(&message).is_some() {
            link.send(&message, &[]).await?;
        }
    }
    link.send(&HandoverMessage::Done, &[]).await?;
    match link.receive().await? {
        Some(ReceivedMessage { message: HandoverMessage::Serving, .. }) => Ok(()),
        _ => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Exchanges messages with the peer process until it is gone or sends what cannot be read.
async fn exchange_messages(
    context: &HotRestartContext,
    link: &Link,
    mut outgoing: mpsc::UnboundedReceiver<PeerProcessMessage>,
) {
    loop {
        let result = tokio::select! {
            received = link.receive() => match received {
                Ok(Some(received)) => handle_message(context, link, received).await,
                Ok(None) => return,
                Err(error) => Err(error),
            },
            Some(message) = outgoing.recv() => send_message(context, link, message).await,
        };
        if let Err(error) = result {
            log_event!(LogEvent::PeerProcessFailed { error: &error });
            return;
        }
    }
}

async fn handle_message(
    context: &HotRestartContext,
    link: &Link,
    received: ReceivedMessage,
) -> io::Result<()> {
    match received.message {
        HandoverMessage::Share { number, server, excluded } => {
            context.reducer().feed(Input::ExclusionShared { server, excluded });
            link.send(&HandoverMessage::Shared { number }, &[]).await
        }
        HandoverMessage::Shared { number } => {
            context.reducer().feed(Input::ExclusionAcknowledged { admin_client: AdminClientId(number) });
            Ok(())
        }
        HandoverMessage::EstablishedConnection { front, established, state } => {
            adopt_connection(context, received.sockets, &front, &state, established)
        }
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

fn adopt_connection(
    context: &HotRestartContext,
    sockets: Vec<OwnedFd>,
    front: &str,
    front_state: &[u8],
    established: EstablishedConnection,
) -> io::Result<()> {
    let Ok([client, attempt]) = <[OwnedFd; 2]>::try_from(sockets) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let sockets = AdoptedSockets { client: to_stream(client)?, attempt: to_stream(attempt)? };
    // Where there is no such front here any more the sockets are closed, which tells the client.
    if let Some(FrontConnection { pool, mut front }) = context.fronts.new_connection(front) {
        front.import_state(front_state);
        connection::adopt(&context.connections, pool, sockets, front, established);
    }
    Ok(())
}

fn to_stream(socket: OwnedFd) -> io::Result<TcpStream> {
    TcpStream::from_std(std::net::TcpStream::from(socket))
}

async fn send_message(
    context: &HotRestartContext,
    link: &Link,
    message: PeerProcessMessage,
) -> io::Result<()> {
    match message {
        PeerProcessMessage::ShareExclusion { admin_client, server, excluded } => {
            let message = HandoverMessage::Share { number: admin_client.0, server, excluded };
            link.send(&message, &[]).await
        }
        PeerProcessMessage::TransferConnection { connection, pool, established } => {
            transfer_connection(context, link, connection, pool, *established).await
        }
    }
}

/// Transfers a connection if it is between two lines, or else tries again a little later.
async fn transfer_connection(
    context: &HotRestartContext,
    link: &Link,
    connection: ConnectionId,
    pool: PoolId,
    established: EstablishedConnection,
) -> io::Result<()> {
    let (sender, transferred) = oneshot::channel();
    context.connections.connections.send(connection, ConnectionCommand::Transfer(sender));
    let Ok(transferred) = transferred.await else {
        if context.connections.connections.contains(connection) {
            retry_transfer_later(&context.peer_process, connection, pool, established);
        }
        return Ok(());
    };
    let TransferredConnection { client, attempt, front_state, migration_notice } = transferred;
    let front = context.fronts.name_of(pool).unwrap_or_default().to_owned();
    let message = HandoverMessage::EstablishedConnection { front, established, state: front_state };
    let sent = link.send(&message, &[client.as_fd(), attempt.as_fd()]).await;
    if sent.is_err() {
        // Nobody else holds it any more, and it must not be cut off without an answer.
        let _ = std::net::TcpStream::from(client).write(&migration_notice);
    }
    context.reducer().feed(Input::ConnectionTransferred { connection });
    sent
}

fn retry_transfer_later(
    peer_process: &PeerProcess,
    connection: ConnectionId,
    pool: PoolId,
    established: EstablishedConnection,
) {
    let peer_process = peer_process.clone();
    let established = Box::new(established);
    tokio::task::spawn_local(async move {
        sleep(TRANSFER_RETRY_INTERVAL).await;
        peer_process.send(PeerProcessMessage::TransferConnection { connection, pool, established });
    });
}
