//! Blocking calls of the command line to a running balancer: its admin endpoint and its store.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use thiserror::Error;

use crate::protocol::replica_messages::{self, MAX_DATAGRAM_LENGTH};
use crate::routing::store::{Entry, ReplicaMessage};

/// Timeout of each read of an admin endpoint's answer.
const ADMIN_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// How many times a write is sent to a store before it fails.
const STORE_WRITE_ATTEMPTS: usize = 6;
/// Timeout of the store's answer to each of these attempts.
const STORE_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Local address for the answers of this machine's stores. The system chooses the port.
const LOOPBACK: &str = "127.0.0.1:0";

/// Why a call failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The balancer cannot be reached, or the connection to it failed.
    #[error("call to {address} failed: {source}")]
    Socket {
        /// Address of the admin endpoint or the store.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The admin endpoint closed the connection without an answer.
    #[error("{address}: the admin endpoint closed the connection without an answer")]
    NoAnswer {
        /// Address of the admin endpoint.
        address: String,
    },
    /// The key and value do not fit in a datagram.
    #[error(
        "{key}: a key of {} bytes and a value of {value_bytes} bytes exceed a datagram of \
         {MAX_DATAGRAM_LENGTH} bytes",
        .key.len()
    )]
    EntryTooLong {
        /// Key of the entry.
        key: String,
        /// Length of the value, in bytes.
        value_bytes: usize,
    },
    /// No store acknowledged the write.
    #[error(
        "{store}: no store acknowledged the write in {STORE_WRITE_ATTEMPTS} attempts of at most {} ms",
        STORE_READ_TIMEOUT.as_millis()
    )]
    NoStore {
        /// Address to which the write was sent.
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
/// Returns an error if the endpoint cannot be reached or sends no answer.
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

/// Writes a value to a key of a node's store, or removes the key if `value` is none. Returns the resulting
/// entry.
///
/// # Errors
///
/// Returns an error if the key and value are too long, or no store acknowledges the write.
pub fn write_store_entry(store: SocketAddr, key: &str, value: Option<String>) -> Result<Entry, ClientError> {
    let failed = ClientError::socket(store);
    let socket = UdpSocket::bind(LOOPBACK).map_err(&failed)?;
    socket.connect(store).map_err(&failed)?;
    socket.set_read_timeout(Some(STORE_READ_TIMEOUT)).map_err(&failed)?;
    let write =
        replica_messages::encode(&ReplicaMessage::Write { key: key.to_owned(), value: value.clone() });
    let value_bytes = value.as_ref().map_or(0, String::len);
    let write = write.ok_or_else(|| ClientError::EntryTooLong { key: key.to_owned(), value_bytes })?;
    let mut bytes = [0; MAX_DATAGRAM_LENGTH];
    // The write or its answer may be lost. Sending the write again is safe because it is idempotent.
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
