//! The connection to discovery, and the calls that are made on it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use super::error::DiscoveryError;
use crate::protocol::http::{self, EndpointListUpdate};

/// The HTTP status of an answer that holds the list.
const STATUS_OK: u16 = 200;

/// A request for the changes since a generation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Since {
    /// The generation.
    pub(super) generation: u64,
    /// How long discovery holds the call while nothing changes.
    pub(super) hold: Duration,
}

/// The connection to discovery. It is reused for the next call. Discovery counts a call that comes over 200
/// ms after its last answer as a new watch.
pub(super) struct DiscoveryConnection {
    discovery: SocketAddr,
    open: Option<OpenConnection>,
}

struct OpenConnection {
    stream: TcpStream,
    /// Bytes that were read and are not parsed yet.
    received: Vec<u8>,
}

/// A call that has ended, and the connection for the next one.
pub(super) struct FinishedCall {
    pub(super) connection: DiscoveryConnection,
    /// When it was made.
    pub(super) called_at: Instant,
    pub(super) result: Result<EndpointListUpdate, DiscoveryError>,
}

impl DiscoveryConnection {
    /// A connection that is opened by its first call.
    pub(super) fn new(discovery: SocketAddr) -> DiscoveryConnection {
        DiscoveryConnection { discovery, open: None }
    }

    /// Makes a call that fails after the time limit.
    pub(super) async fn call_within(mut self, since: Option<Since>, limit: Duration) -> FinishedCall {
        let called_at = Instant::now();
        let result = match timeout(limit, self.call(since)).await {
            Ok(result) => result,
            Err(_) if self.open.is_none() => Err(DiscoveryError::NotConnected),
            Err(_) => Err(DiscoveryError::TimedOut),
        };
        FinishedCall { connection: self, called_at, result }
    }

    /// Requests the changes since a generation, or else a snapshot. Not cancellation-safe: the connection of
    /// a cancelled call must be closed.
    async fn call(&mut self, since: Option<Since>) -> Result<EndpointListUpdate, DiscoveryError> {
        let was_open = self.open.is_some();
        let answer = match self.exchange(since).await {
            // Discovery may have closed the reused connection between two calls. An answer is not retried,
            // whatever its status: that would double the load of an overloaded discovery.
            Err(_) if was_open => {
                self.open = None;
                self.exchange(since).await
            }
            result => result,
        }?;
        if answer.status != STATUS_OK {
            return Err(DiscoveryError::Status { status: answer.status });
        }
        let update = http::parse_endpoint_list(&answer.body).map_err(DiscoveryError::InvalidList)?;
        if !update.is_snapshot && since.is_none() {
            return Err(DiscoveryError::UnexpectedDelta);
        }
        Ok(update)
    }

    /// Sends one request, and reads its answer.
    async fn exchange(&mut self, since: Option<Since>) -> Result<http::Response, DiscoveryError> {
        let open = match self.open.take() {
            Some(open) => open,
            None => OpenConnection::connect(self.discovery).await?,
        };
        let open = self.open.insert(open);
        let since = since.map(|since| http::ChangesQuery {
            generation: since.generation,
            hold_ms: since.hold.as_millis() as u64,
        });
        let request = http::encode_request(&self.discovery.to_string(), since);
        open.stream.write_all(&request).await?;
        let answer = open.read_answer().await?;
        if answer.close {
            self.open = None;
        }
        Ok(answer)
    }
}

impl OpenConnection {
    async fn connect(discovery: SocketAddr) -> Result<OpenConnection, DiscoveryError> {
        let stream = TcpStream::connect(discovery).await.map_err(DiscoveryError::Connect)?;
        let _ = stream.set_nodelay(true);
        Ok(OpenConnection { stream, received: Vec::new() })
    }

    async fn read_answer(&mut self) -> Result<http::Response, DiscoveryError> {
        loop {
            let ended = self.stream.read_buf(&mut self.received).await? == 0;
            let answer = http::parse_response(&self.received, ended).map_err(DiscoveryError::Malformed)?;
            if let Some(answer) = answer {
                self.received.drain(..answer.taken);
                return Ok(answer);
            }
            if ended {
                return Err(DiscoveryError::Closed);
            }
        }
    }
}
