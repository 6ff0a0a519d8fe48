//! Hot restart: a process exports its state to its successor, then transfers its established connections one
//! by one.
//!
//! The successor asks on a socket in the temporary directory ([`socket_path`]). It imports the state and the
//! listening sockets ([`import_state`]), begins to serve, and says so ([`run_as_successor`]); the predecessor
//! serves on if it never does ([`offer_state`]).

mod link;

use std::collections::HashMap;
use std::io::{self, Write};
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpStream, UnixListener};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout, Instant};

use super::commands::{ConnectionCommand, PeerProcessMessage, TransferredConnection};
use super::connection::{self, AdoptedSockets};
use super::driver::{Driver, NamedSocket};
use super::log_event::{log_event, LogEvent};
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

/// Opens a channel for messages to the peer process.
fn register_peer_process(driver: &Driver) -> mpsc::UnboundedReceiver<PeerProcessMessage> {
    let (sender, outgoing) = mpsc::unbounded_channel();
    driver.set_peer_process(Some(sender));
    outgoing
}

/// Closes the channel: the peer process is gone. This is no guard, for it must not happen when the runtime
/// drops its tasks at the end of this process.
fn deregister_peer_process(driver: &Driver) {
    driver.set_peer_process(None);
    driver.feed(Input::PeerProcessLost);
}

/// Tells the predecessor that this process serves, and takes its connections over.
pub(super) async fn run_as_successor(driver: Rc<Driver>, received: ReceivedState) {
    let outgoing = register_peer_process(&driver);
    if received.link.send(&HandoverMessage::Serving, &[]).await.is_ok() {
        exchange_messages(&driver, &received.link, outgoing).await;
    }
    deregister_peer_process(&driver);
}

/// Offers this process's state to its successors, for ever. What cannot be offered is logged.
pub(super) fn offer_state(driver: Rc<Driver>, path: &Path) {
    match link::listen(path) {
        Ok(listener) => drop(tokio::task::spawn_local(accept_successors(driver, listener))),
        Err(error) => log_event!(LogEvent::HotRestartUnavailable { socket: path, error: &error }),
    }
}

async fn accept_successors(driver: Rc<Driver>, listener: UnixListener) {
    loop {
        match listener.accept().await.and_then(|(socket, _)| Link::new(socket)) {
            Ok(link) => drop(tokio::task::spawn_local(serve_successor(driver.clone(), link))),
            Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}

/// Exports the state to a successor, and transfers the connections once it serves. If it never does, this
/// process goes on as before.
async fn serve_successor(driver: Rc<Driver>, link: Link) {
    let request = timeout(ANSWER_TIMEOUT, link.receive()).await;
    let is_request = matches!(request, Ok(Ok(Some(ReceivedMessage { message: HandoverMessage::Take, .. }))));
    if !is_request || driver.has_peer_process() {
        return;
    }
    let outgoing = register_peer_process(&driver);
    driver.feed(Input::SuccessorStarted);
    match timeout(SUCCESSOR_READY_TIMEOUT, export_state(&driver, &link)).await {
        Ok(Ok(())) => {
            driver.feed(Input::SuccessorReady);
            exchange_messages(&driver, &link, outgoing).await;
        }
        Ok(Err(error)) => log_event!(LogEvent::ExportFailed { error: &error }),
        Err(_) => log_event!(LogEvent::ExportTimedOut),
    }
    drop(link);
    deregister_peer_process(&driver);
    driver.reopen_files();
}

/// Sends the sockets and the state, and waits until the successor serves.
async fn export_state(driver: &Driver, link: &Link) -> io::Result<()> {
    for NamedSocket { name, socket } in driver.clone_sockets()? {
        link.send(&HandoverMessage::Socket(name), &[socket.as_fd()]).await?;
    }
    for part in hot_restart::split_state(driver.take_exported_state()) {
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
    driver: &Rc<Driver>,
    link: &Link,
    mut outgoing: mpsc::UnboundedReceiver<PeerProcessMessage>,
) {
    loop {
        let result = tokio::select! {
            received = link.receive() => match received {
                Ok(Some(received)) => handle_message(driver, link, received).await,
                Ok(None) => return,
                Err(error) => Err(error),
            },
            Some(message) = outgoing.recv() => send_message(driver, link, message).await,
        };
        if let Err(error) = result {
            log_event!(LogEvent::PeerProcessFailed { error: &error });
            return;
        }
    }
}

async fn handle_message(driver: &Rc<Driver>, link: &Link, received: ReceivedMessage) -> io::Result<()> {
    match received.message {
        HandoverMessage::Share { number, server, excluded } => {
            driver.feed(Input::ExclusionShared { server, excluded });
            link.send(&HandoverMessage::Shared { number }, &[]).await
        }
        HandoverMessage::Shared { number } => {
            driver.feed(Input::ExclusionAcknowledged { admin_client: AdminClientId(number) });
            Ok(())
        }
        HandoverMessage::EstablishedConnection { front, established, state } => {
            adopt_connection(driver, received.sockets, &front, &state, established)
        }
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

fn adopt_connection(
    driver: &Rc<Driver>,
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
    if let Some((pool, mut front)) = driver.new_front_connection(front) {
        front.import_state(front_state);
        connection::adopt(driver, pool, sockets, front, established);
    }
    Ok(())
}

fn to_stream(socket: OwnedFd) -> io::Result<TcpStream> {
    TcpStream::from_std(std::net::TcpStream::from(socket))
}

async fn send_message(driver: &Rc<Driver>, link: &Link, message: PeerProcessMessage) -> io::Result<()> {
    match message {
        PeerProcessMessage::ShareExclusion { admin_client, server, excluded } => {
            let message = HandoverMessage::Share { number: admin_client.0, server, excluded };
            link.send(&message, &[]).await
        }
        PeerProcessMessage::TransferConnection { connection, pool, established } => {
            transfer_connection(driver, link, connection, pool, *established).await
        }
    }
}

/// Transfers a connection if it is between two lines, or else tries again a little later.
async fn transfer_connection(
    driver: &Rc<Driver>,
    link: &Link,
    connection: ConnectionId,
    pool: PoolId,
    established: EstablishedConnection,
) -> io::Result<()> {
    let (sender, transferred) = oneshot::channel();
    driver.send_command(connection, ConnectionCommand::Transfer(sender));
    let Ok(transferred) = transferred.await else {
        if driver.has_connection(connection) {
            retry_transfer_later(driver, connection, pool, established);
        }
        return Ok(());
    };
    let TransferredConnection { client, attempt, front_state, migration_notice } = transferred;
    let front = driver.front_name(pool).unwrap_or_default();
    let message = HandoverMessage::EstablishedConnection { front, established, state: front_state };
    let sent = link.send(&message, &[client.as_fd(), attempt.as_fd()]).await;
    if sent.is_err() {
        // Nobody else holds it any more, and it must not be cut off without an answer.
        let _ = std::net::TcpStream::from(client).write(&migration_notice);
    }
    driver.feed(Input::ConnectionTransferred { connection });
    sent
}

fn retry_transfer_later(
    driver: &Rc<Driver>,
    connection: ConnectionId,
    pool: PoolId,
    established: EstablishedConnection,
) {
    let driver = driver.clone();
    let established = Box::new(established);
    tokio::task::spawn_local(async move {
        sleep(TRANSFER_RETRY_INTERVAL).await;
        driver.send_to_peer_process(PeerProcessMessage::TransferConnection { connection, pool, established });
    });
}
