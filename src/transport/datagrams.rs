//! Datagrams between nodes: replica messages of the replicated map, and gossip between the balancers of a
//! tier.
//!
//! Both protocols tolerate lost datagrams, so a datagram that cannot be sent immediately is dropped.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::accepting::Accepting;
use super::log_event::{log_event, LogEvent};
use super::reducer::ReducerHandle;
use crate::peers::GossipMessage;
use crate::protocol::{gossip, replica_messages};
use crate::routing::store::ReplicaMessage;
use crate::routing::{Input, PoolId};

/// Delay after a failed receive. The system reports an unreachable peer as a failed receive, which requires
/// no action.
const RECEIVE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The socket for replica messages. Clones refer to the same socket.
#[derive(Clone)]
pub(super) struct ReplicationSocket(Rc<UdpSocket>);

impl ReplicationSocket {
    pub(super) fn new(socket: UdpSocket) -> ReplicationSocket {
        ReplicationSocket(Rc::new(socket))
    }

    /// Returns the underlying socket, whose descriptor a hot restart passes to the successor.
    pub(super) fn socket(&self) -> &UdpSocket {
        &self.0
    }

    /// Sends a message. A message that does not fit in a datagram is dropped.
    pub(super) fn send(&self, to: SocketAddr, message: &ReplicaMessage) {
        if let Some(bytes) = replica_messages::encode(message) {
            let _ = self.0.try_send_to(&bytes, to);
        }
    }

    /// Feeds received messages to the reducer. Never returns.
    pub(super) async fn receive(self, reducer: ReducerHandle, accepting: Accepting) {
        let mut bytes = [0; replica_messages::MAX_DATAGRAM_LENGTH + 1];
        loop {
            // While a successor uses the same socket, the successor must receive the messages.
            accepting.wait_until(true).await;
            match self.0.recv_from(&mut bytes).await {
                Ok((length, from)) => match replica_messages::decode(&bytes[..length]) {
                    Some(message) => reducer.feed(Input::ReplicaMessage { from, message }),
                    None => log_event!(LogEvent::ReplicaMessageUnreadable { from }),
                },
                Err(_) => tokio::time::sleep(RECEIVE_RETRY_INTERVAL).await,
            }
        }
    }
}

/// The socket for gossip, and the address on which all balancers of the tier listen. Clones refer to the same
/// socket.
#[derive(Clone)]
pub(super) struct GossipSocket {
    socket: Rc<UdpSocket>,
    broadcast: SocketAddr,
}

impl GossipSocket {
    pub(super) fn new(socket: UdpSocket, broadcast: SocketAddr) -> GossipSocket {
        GossipSocket { socket: Rc::new(socket), broadcast }
    }

    /// Sends a message to all balancers of the tier.
    pub(super) fn broadcast(&self, message: GossipMessage) {
        let _ = self.socket.try_send_to(&gossip::encode(message), self.broadcast);
    }

    /// Feeds messages from the addresses in `peers` to the reducer, and logs all others. Never returns.
    pub(super) async fn receive(self, reducer: ReducerHandle, pool: PoolId, peers: Vec<SocketAddr>) {
        let mut bytes = [0; gossip::MAX_DATAGRAM_LENGTH + 1];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, from)) => {
                    match gossip::decode(&bytes[..length]).filter(|_| peers.contains(&from)) {
                        Some(message) => reducer.feed(Input::GossipReceived { pool, message }),
                        None => log_event!(LogEvent::GossipUnreadable { from }),
                    }
                }
                Err(_) => tokio::time::sleep(RECEIVE_RETRY_INTERVAL).await,
            }
        }
    }
}
