//! What the hub tells the tasks that carry things out. Only words: whoever carries them out imports this and the
//! hub, and the hub imports nobody who does.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::routing::{AdminClientId, Answer, ConnectionId, EstablishedConnection, PoolId};
use crate::{Micros, ServerId};

/// What a connection's task is to do.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Open an attempt.
    OpenAttempt { attempt: u32, address: String, wait: Micros },
    /// Close the attempt.
    CloseAttempt,
    /// Give the answer and end.
    Answer(Answer),
    /// Say whether the client has asked by now.
    Hear,
    /// End at once, whatever is left to write.
    Drop,
    /// Leave it to another process, if it is between two lines.
    Pass(oneshot::Sender<TransferredConnection>),
}

/// A connection on its way to another process.
#[derive(Debug)]
pub struct TransferredConnection {
    pub client: OwnedFd,
    pub attempt: OwnedFd,
    /// What its front has to know there.
    pub state: Vec<u8>,
    /// What its client is told should it not arrive.
    pub goodbye: Vec<u8>,
}

/// What is for the other process.
pub enum Outgoing {
    Share { admin_client: AdminClientId, server: String, out: bool },
    Pass { connection: ConnectionId, pool: PoolId, established: Box<EstablishedConnection> },
}

/// A server is to be asked for its load.
pub struct Probe {
    pub pool: PoolId,
    pub server: ServerId,
    pub address: String,
    /// Names under which its report may hold that.
    pub names: Vec<&'static str>,
    pub wait: Duration,
}

/// What is for the watches on routing tables.
pub enum WatchOrder {
    /// Watch this pool's again, telling what was missed first.
    Again { pool: PoolId },
    /// Watch at this address from this generation on, or else from the whole list; an old watch is let go.
    At { pool: PoolId, discovery: SocketAddr, generation: Option<u64> },
}
