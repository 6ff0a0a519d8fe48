//! Datagrams between nodes: replica messages of the replicated map, and gossip between the balancers of a
//! tier.
//!
//! Both protocols live with lost datagrams, so what cannot be sent at once is dropped.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::driver::Driver;
use super::log_event::{log_event, LogEvent};
use crate::peers::GossipMessage;
use crate::program::config::PeersAt;
use crate::protocol::{gossip, peers};
use crate::routing::store::ReplicaMessage;
use crate::routing::Input;

/// Wait after a failed receive. Where a peer is down, its machine reports that on the next call: there is
/// nothing else to do about it.
const RECEIVE_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The socket for gossip, and the address that all balancers of the tier listen on.
pub(super) struct GossipSocket {
    socket: Rc<UdpSocket>,
    broadcast: SocketAddr,
}

impl Driver {
    /// Receives replica messages on this socket from now on, and sends them from there.
    pub(super) fn start_replication(self: &Rc<Self>, socket: UdpSocket) {
        let socket = Rc::new(socket);
        *self.replication.borrow_mut() = Some(socket.clone());
        tokio::task::spawn_local(receive_replica_messages(self.clone(), socket));
    }

    /// Receives gossip for a pool on this socket from now on, and sends it from there.
    pub(super) fn start_gossip(self: &Rc<Self>, pool: usize, socket: UdpSocket, at: &PeersAt) {
        let socket = Rc::new(socket);
        *self.gossip.borrow_mut() = Some(GossipSocket { socket: socket.clone(), broadcast: at.all });
        tokio::task::spawn_local(receive_gossip(self.clone(), pool, socket, at.from.clone()));
    }

    pub(super) fn send_replica_message(&self, to: SocketAddr, message: &ReplicaMessage) {
        if let (Some(socket), Some(bytes)) = (self.replication.borrow().as_ref(), gossip::encode(message)) {
            let _ = socket.try_send_to(&bytes, to);
        }
    }

    pub(super) fn broadcast_gossip(&self, message: GossipMessage) {
        if let Some(gossip) = self.gossip.borrow().as_ref() {
            let _ = gossip.socket.try_send_to(&peers::encode(message), gossip.broadcast);
        }
    }
}

async fn receive_replica_messages(driver: Rc<Driver>, socket: Rc<UdpSocket>) {
    let mut bytes = [0; gossip::MAX_DATAGRAM_LENGTH + 1];
    loop {
        // While a peer process serves, the messages are for that one.
        driver.wait_until_accepting(true).await;
        match socket.recv_from(&mut bytes).await {
            Ok((length, from)) => match gossip::decode(&bytes[..length]) {
                Some(message) => driver.feed(Input::ReplicaMessage { from, message }),
                None => log_event!(LogEvent::ReplicaMessageUnreadable { from }),
            },
            Err(_) => tokio::time::sleep(RECEIVE_RETRY_INTERVAL).await,
        }
    }
}

async fn receive_gossip(driver: Rc<Driver>, pool: usize, socket: Rc<UdpSocket>, known: Vec<SocketAddr>) {
    let mut bytes = [0; peers::MAX_DATAGRAM_LENGTH + 1];
    loop {
        match socket.recv_from(&mut bytes).await {
            Ok((length, from)) => match peers::decode(&bytes[..length]).filter(|_| known.contains(&from)) {
                Some(message) => driver.feed(Input::GossipReceived { pool, message }),
                None => log_event!(LogEvent::GossipUnreadable { from }),
            },
            Err(_) => tokio::time::sleep(RECEIVE_RETRY_INTERVAL).await,
        }
    }
}
