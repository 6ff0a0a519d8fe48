//! Hot restart: a process exports its state to its successor, then transfers its established connections one
//! by one.
//!
//! The successor connects to a socket in the temporary directory ([`socket_path`]). It imports the state and
//! the listening sockets ([`import_state`]), starts to serve, and notifies the predecessor
//! ([`join_predecessor`]).
//!
//! The predecessor ([`offer_state`]) stops accepting connections when its state is requested. From then on,
//! new clients wait in the listener's queue. The predecessor continues to serve the connections that it has
//! already accepted.

mod context;
mod error;
mod link;
mod transfer;

use std::collections::HashMap;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::net::UnixListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

use super::commands::PeerProcessMessage;
use super::log_event::{log_event, LogEvent};
use crate::program::config::Config;
use crate::protocol::hot_restart::{self, HandoverMessage, MAX_PARTS, REQUEST_IDS_FEATURE};
use crate::routing::{AdminCallId, HandoverState, Input};
use context::NamedSocket;
use error::LinkError;
use link::{Link, ReceivedMessage};
use transfer::{adopt_connection, transfer_connection};

pub(super) use context::{ExportedState, HotRestartContext, REPLICATION_SOCKET};

/// Timeout for a predecessor to export its state, and for a connected successor to request it. Without a
/// timeout this process would wait for a process that hangs.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a successor keeps requesting the state of a predecessor that is busy with another successor.
const BUSY_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between these requests.
const BUSY_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time from a successor's request within which it must serve. After that it counts as lost.
const SUCCESSOR_READY_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a successor's connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the path of the hot-restart socket for a configuration. The path depends on the names and
/// listening addresses of the fronts, and is the same for every version.
pub(super) fn socket_path(config: &Config) -> PathBuf {
    let platform = config.platform.iter().map(|platform| format!("{} {}", platform.name, platform.listen));
    let irc = config.irc.iter().map(|irc| format!("{} {}", irc.protocol.name, irc.listen));
    let fronts = platform.chain(irc).collect::<Vec<_>>().join("\n");
    std::env::temp_dir().join(format!("sagemount-{:08x}.sock", crc32fast::hash(fronts.as_bytes())))
}

/// Whether both processes accept messages about the requests that the other one has admitted. Processes of
/// earlier versions do not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RequestIdSharing {
    #[default]
    Unsupported,
    Supported,
}

/// The state and sockets that the predecessor exported, and the link to it.
pub(super) struct ReceivedState {
    link: Link,
    sockets: HashMap<String, OwnedFd>,
    request_id_sharing: RequestIdSharing,
    /// Exported state of the predecessor's reducer.
    pub state: HandoverState,
}

impl ReceivedState {
    /// Takes the socket with the given name. Returns none if the predecessor exported no such socket.
    pub(super) fn take_socket(&mut self, name: &str) -> Option<OwnedFd> {
        self.sockets.remove(name)
    }
}

/// Requests the state of the serving process.
///
/// Returns none if no process is serving, the request fails, the process does not answer within
/// [`ANSWER_TIMEOUT`], or it is busy with another successor for [`BUSY_RETRY_TIMEOUT`]. A failed or
/// unanswered request is logged; an absent or busy process is not.
pub(super) async fn import_state(path: &Path) -> Option<ReceivedState> {
    let started_at = Instant::now();
    loop {
        let received = match timeout(ANSWER_TIMEOUT, request_state(path)).await {
            Ok(Ok(received)) => received,
            Ok(Err(error)) if is_absent(&error) => return None,
            Ok(Err(error)) => {
                log_event!(LogEvent::ImportFailed { socket: path, error: &error });
                return None;
            }
            Err(_) => {
                log_event!(LogEvent::ImportTimedOut { socket: path, timeout: ANSWER_TIMEOUT });
                return None;
            }
        };
        if received.is_some() || started_at.elapsed() >= BUSY_RETRY_TIMEOUT {
            return received;
        }
        sleep(BUSY_RETRY_INTERVAL).await;
    }
}

/// Returns whether an error shows that no process listens on the socket.
fn is_absent(error: &LinkError) -> bool {
    use io::ErrorKind::{ConnectionRefused, NotFound};
    matches!(error, LinkError::Socket(error) if matches!(error.kind(), NotFound | ConnectionRefused))
}

/// Requests the state once. Returns none if the predecessor is busy with another successor.
async fn request_state(path: &Path) -> Result<Option<ReceivedState>, LinkError> {
    let link = Link::connect(path)?;
    link.send(&HandoverMessage::RequestState, &[]).await?;
    let mut state = HandoverState::default();
    let mut named_sockets = HashMap::new();
    let mut request_id_sharing = RequestIdSharing::default();
    for received_messages in 0..MAX_PARTS {
        let Some(ReceivedMessage { message, sockets }) = link.receive().await? else {
            return if received_messages == 0 { Ok(None) } else { Err(LinkError::Closed) };
        };
        match message {
            HandoverMessage::Done => {
                let sockets = named_sockets;
                return Ok(Some(ReceivedState { link, sockets, request_id_sharing, state }));
            }
            HandoverMessage::StatePart(part) => hot_restart::add_part(&mut state, part),
            HandoverMessage::Socket(name) if name == REQUEST_IDS_FEATURE => {
                request_id_sharing = RequestIdSharing::Supported;
            }
            HandoverMessage::Socket(name) => {
                named_sockets.extend(sockets.into_iter().map(|socket| (name.clone(), socket)));
            }
            _ => return Err(LinkError::UnexpectedMessage),
        }
    }
    Err(LinkError::TooManyParts)
}

/// Closes the channel to a lost peer process, and reports the loss to the reducer. This is not a drop guard,
/// because it must not run when the runtime drops its tasks at the end of this process.
fn disconnect_peer_process(context: &HotRestartContext) {
    context.peer_process.disconnect();
    context.reducer().feed(Input::PeerProcessLost);
}

/// Starts to exchange messages with the predecessor. Messages of the reducer are sent from now on.
pub(super) fn join_predecessor(context: HotRestartContext, received: ReceivedState) {
    let outgoing = context.peer_process.connect();
    tokio::task::spawn_local(run_as_successor(context, received, outgoing));
}

/// Notifies the predecessor that this process serves, and receives the connections that it transfers.
async fn run_as_successor(
    context: HotRestartContext,
    received: ReceivedState,
    outgoing: mpsc::UnboundedReceiver<PeerProcessMessage>,
) {
    let ReceivedState { link, request_id_sharing, .. } = received;
    if notify_predecessor(&link, request_id_sharing).await.is_ok() {
        exchange_messages(&context, &link, outgoing, request_id_sharing).await;
    }
    disconnect_peer_process(&context);
}

async fn notify_predecessor(link: &Link, request_id_sharing: RequestIdSharing) -> Result<(), LinkError> {
    if request_id_sharing == RequestIdSharing::Supported {
        link.send(&HandoverMessage::SharesRequestIds, &[]).await?;
    }
    link.send(&HandoverMessage::Serving, &[]).await
}

/// Starts to offer this process's state to successors. A failure to listen is logged.
pub(super) fn offer_state(context: HotRestartContext, path: &Path) {
    match link::listen(path) {
        Ok(listener) => drop(tokio::task::spawn_local(accept_successors(context, listener))),
        Err(error) => log_event!(LogEvent::HotRestartUnavailable { socket: path, error: &error }),
    }
}

async fn accept_successors(context: HotRestartContext, listener: UnixListener) {
    loop {
        match listener.accept().await.map_err(LinkError::from).and_then(|(socket, _)| Link::new(socket)) {
            Ok(link) => drop(tokio::task::spawn_local(serve_successor(context.clone(), link))),
            Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}

/// Exports the state to a successor, and transfers the connections when it serves. If the successor fails to
/// serve, this process continues to serve.
async fn serve_successor(context: HotRestartContext, link: Link) {
    let request = timeout(ANSWER_TIMEOUT, link.receive()).await;
    let is_request =
        matches!(request, Ok(Ok(Some(ReceivedMessage { message: HandoverMessage::RequestState, .. }))));
    if !is_request || context.peer_process.is_connected() {
        return;
    }
    let outgoing = context.peer_process.connect();
    context.reducer().feed(Input::SuccessorStarted);
    match timeout(SUCCESSOR_READY_TIMEOUT, export_state(&context, &link)).await {
        Ok(Ok(request_id_sharing)) => {
            context.reducer().feed(Input::SuccessorReady);
            exchange_messages(&context, &link, outgoing, request_id_sharing).await;
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

/// Sends the sockets and the state, and waits until the successor serves. Returns whether the successor accepts
/// messages about admitted requests.
async fn export_state(context: &HotRestartContext, link: &Link) -> Result<RequestIdSharing, LinkError> {
    link.send(&HandoverMessage::Socket(REQUEST_IDS_FEATURE.to_owned()), &[]).await?;
    for NamedSocket { name, socket } in context.clone_sockets()? {
        link.send(&HandoverMessage::Socket(name), &[socket.as_fd()]).await?;
    }
    for part in hot_restart::split_state(context.exported_state.take()) {
        let message = HandoverMessage::StatePart(part);
        // A part that does not fit in a message is dropped. No valid name or id is that long.
        if hot_restart::encode(&message).is_some() {
            link.send(&message, &[]).await?;
        }
    }
    link.send(&HandoverMessage::Done, &[]).await?;
    let mut request_id_sharing = RequestIdSharing::default();
    loop {
        match link.receive().await?.map(|received| received.message) {
            Some(HandoverMessage::SharesRequestIds) => request_id_sharing = RequestIdSharing::Supported,
            Some(HandoverMessage::Serving) => return Ok(request_id_sharing),
            Some(_) => return Err(LinkError::UnexpectedMessage),
            None => return Err(LinkError::Closed),
        }
    }
}

/// Exchanges messages with the peer process until the link is closed, fails, or delivers an invalid message.
async fn exchange_messages(
    context: &HotRestartContext,
    link: &Link,
    mut outgoing: mpsc::UnboundedReceiver<PeerProcessMessage>,
    request_id_sharing: RequestIdSharing,
) {
    loop {
        let result = tokio::select! {
            received = link.receive() => match received {
                Ok(Some(received)) => handle_message(context, link, received).await,
                Ok(None) => return,
                Err(error) => Err(error),
            },
            Some(message) = outgoing.recv() => {
                send_message(context, link, message, request_id_sharing).await
            }
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
) -> Result<(), LinkError> {
    match received.message {
        HandoverMessage::ShareExclusion { number, server, excluded } => {
            context.reducer().feed(Input::ExclusionShared { server, excluded });
            link.send(&HandoverMessage::ExclusionAcknowledged { number }, &[]).await
        }
        HandoverMessage::ExclusionAcknowledged { number } => {
            context.reducer().feed(Input::ExclusionAcknowledged { admin_call: AdminCallId(number) });
            Ok(())
        }
        HandoverMessage::RequestAdmitted { pool, id } => {
            context.reducer().feed(Input::RequestIdShared { pool, id });
            Ok(())
        }
        HandoverMessage::EstablishedConnection { front, established, state } => {
            adopt_connection(context, received.sockets, &front, &state, established)
        }
        _ => Err(LinkError::UnexpectedMessage),
    }
}

async fn send_message(
    context: &HotRestartContext,
    link: &Link,
    message: PeerProcessMessage,
    request_id_sharing: RequestIdSharing,
) -> Result<(), LinkError> {
    match message {
        PeerProcessMessage::ShareRequestId { .. } if request_id_sharing == RequestIdSharing::Unsupported => {
            Ok(())
        }
        PeerProcessMessage::ShareRequestId { pool, id } => {
            link.send(&HandoverMessage::RequestAdmitted { pool: pool.to_owned(), id }, &[]).await
        }
        PeerProcessMessage::ShareExclusion { admin_call, server, excluded } => {
            let message = HandoverMessage::ShareExclusion { number: admin_call.0, server, excluded };
            link.send(&message, &[]).await
        }
        PeerProcessMessage::TransferConnection { connection, pool, established } => {
            transfer_connection(context, link, connection, pool, *established).await
        }
    }
}
