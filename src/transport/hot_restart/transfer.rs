//! Transfers of established connections, from the predecessor to the successor.

use std::io::{self, Write};
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::super::commands::{ConnectionCommand, PeerProcessMessage, TransferredSockets};
use super::super::connection::{self, AdoptedSockets};
use super::super::fronts::FrontConnection;
use super::super::peer_process::PeerProcess;
use super::context::HotRestartContext;
use super::error::LinkError;
use super::link::Link;
use crate::protocol::hot_restart::HandoverMessage;
use crate::routing::{ConnectionId, Input, PoolId, TransferredConnection};

/// Interval at which the transfer of a connection is retried until the connection is between two lines.
const TRANSFER_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Starts to serve a connection that the predecessor has transferred.
///
/// # Errors
///
/// Returns an error if the message arrived without both sockets, or they cannot be used.
pub(super) fn adopt_connection(
    context: &HotRestartContext,
    sockets: Vec<OwnedFd>,
    front: &str,
    front_state: &[u8],
    established: TransferredConnection,
) -> Result<(), LinkError> {
    let received = sockets.len();
    let Ok([client, attempt]) = <[OwnedFd; 2]>::try_from(sockets) else {
        return Err(LinkError::WrongSocketCount { sockets: received });
    };
    let sockets = AdoptedSockets { client: to_stream(client)?, attempt: to_stream(attempt)? };
    // If this process has no such front, the sockets are closed and the client reconnects.
    if let Some(FrontConnection { pool, mut front }) = context.fronts.new_connection(front) {
        front.import_state(front_state);
        connection::adopt(&context.connections, pool, sockets, front, established);
    }
    Ok(())
}

fn to_stream(socket: OwnedFd) -> io::Result<TcpStream> {
    TcpStream::from_std(std::net::TcpStream::from(socket))
}

/// Transfers a connection if it is between two lines, and schedules a retry otherwise.
///
/// # Errors
///
/// Returns an error if the link to the successor is broken.
pub(super) async fn transfer_connection(
    context: &HotRestartContext,
    link: &Link,
    connection: ConnectionId,
    pool: PoolId,
    established: TransferredConnection,
) -> Result<(), LinkError> {
    let (sender, receiver) = oneshot::channel();
    context.connections.registry.send(connection, ConnectionCommand::Transfer(sender));
    let Ok(transferred) = receiver.await else {
        if context.connections.registry.contains(connection) {
            retry_transfer_later(&context.peer_process, connection, pool, established);
        }
        return Ok(());
    };
    let TransferredSockets { client, attempt, front_state, migration_notice } = transferred;
    let front = context.fronts.name_of(pool).unwrap_or_default().to_owned();
    let message = HandoverMessage::EstablishedConnection { front, established, state: front_state };
    let sent = link.send(&message, &[client.as_fd(), attempt.as_fd()]).await;
    if sent.is_err() {
        // Neither process serves the connection any more, so the client is asked to reconnect.
        let _ = std::net::TcpStream::from(client).write(&migration_notice);
    }
    context.reducer().feed(Input::ConnectionTransferred { connection });
    sent
}

fn retry_transfer_later(
    peer_process: &PeerProcess,
    connection: ConnectionId,
    pool: PoolId,
    established: TransferredConnection,
) {
    let peer_process = peer_process.clone();
    let established = Box::new(established);
    tokio::task::spawn_local(async move {
        sleep(TRANSFER_RETRY_INTERVAL).await;
        peer_process.send(PeerProcessMessage::TransferConnection { connection, pool, established });
    });
}
