//! Calls of the command line to a running balancer.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use thiserror::Error;

use crate::protocol::replica_messages;
use crate::routing::store::{Entry, ReplicaMessage};

/// Time-out of each read of an admin endpoint's answer.
const ADMIN_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// How often an entry is sent to a store, and the time-out of each answer.
const STORE_WRITE_ATTEMPTS: usize = 6;
const STORE_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Any port of this machine, for the answers of its stores.
const LOOPBACK: &str = "127.0.0.1:0";

/// Why a call failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The balancer cannot be reached, or its connection broke.
    #[error("{address}: {source}")]
    Socket {
        /// The address that was called.
        address: String,
        /// The system's error.
        source: io::Error,
    },
    /// The admin endpoint closed the connection without an answer.
    #[error("{address}: no answer")]
    NoAnswer {
        /// The address that was called.
        address: String,
    },
    /// The key and value do not fit a datagram.
    #[error("{key}: the name is too long")]
    KeyTooLong {
        /// The key.
        key: String,
    },
    /// No store answered.
    #[error("{store}: no node's store answers there")]
    NoStore {
        /// The address that was called.
        store: SocketAddr,
    },
}

impl ClientError {
    fn socket(address: impl ToString) -> impl Fn(io::Error) -> ClientError {
        let address = address.to_string();
        move |source| ClientError::Socket { address: address.clone(), source }
    }
}

/// Makes a call to an admin endpoint, and returns the answer.
///
/// # Errors
///
/// When the endpoint cannot be reached or gives no answer.
pub fn call_admin_endpoint(address: &str, call: &str) -> Result<String, ClientError> {
    let failed = ClientError::socket(address);
    let mut stream = TcpStream::connect(address).map_err(&failed)?;
    stream.set_read_timeout(Some(ADMIN_READ_TIMEOUT)).map_err(&failed)?;
    stream.write_all(format!("{call}\r\n").as_bytes()).map_err(&failed)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(&failed)?;
    if answer.is_empty() {
        return Err(ClientError::NoAnswer { address: address.to_owned() });
    }
    Ok(answer)
}

/// Writes a key to a node's store, or removes it, and returns the resulting entry.
///
/// # Errors
///
/// When the key is too long, or no store answers.
pub fn write_store_entry(store: SocketAddr, key: &str, value: Option<String>) -> Result<Entry, ClientError> {
    let failed = ClientError::socket(store);
    let socket = UdpSocket::bind(LOOPBACK).map_err(&failed)?;
    socket.connect(store).map_err(&failed)?;
    socket.set_read_timeout(Some(STORE_READ_TIMEOUT)).map_err(&failed)?;
    let write =
        replica_messages::encode(&ReplicaMessage::Write { key: key.to_owned(), value: value.clone() });
    let write = write.ok_or_else(|| ClientError::KeyTooLong { key: key.to_owned() })?;
    let mut bytes = [0; replica_messages::MAX_DATAGRAM_LENGTH];
    // Either datagram may be lost. The write is idempotent.
    for _ in 0..STORE_WRITE_ATTEMPTS {
        socket.send(&write).map_err(&failed)?;
        let Ok(length) = socket.recv(&mut bytes) else { continue };
        match replica_messages::decode(&bytes[..length]) {
            Some(ReplicaMessage::Entry { key: written, entry }) if written == key && entry.value == value => {
                return Ok(entry)
            }
            _ => {}
        }
    }
    Err(ClientError::NoStore { store })
}
