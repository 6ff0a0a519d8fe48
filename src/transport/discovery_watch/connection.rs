//! The connection to discovery, and the HTTP calls on it.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use super::error::DiscoveryError;
use super::failed_call::{Exchange, FailedCall, MAX_IMMEDIATE_FAILURE_TIME};
use crate::protocol::http::{self, EndpointListUpdate};

/// Timeout of a connect. It is short, so that an unreachable discovery is noticed several times within the
/// lease of the endpoint list.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// HTTP status of an answer that contains an endpoint list.
const STATUS_OK: u16 = 200;

/// Parameters of a call for the changes since a generation.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChangesSince {
    /// Generation of the endpoint list that the caller has.
    pub(super) generation: u64,
    /// How long discovery holds the call while the list does not change.
    pub(super) hold: Duration,
}

/// A connection to discovery that is reused for consecutive calls. Discovery counts a call that arrives more
/// than 200 ms after its last answer as a new watch.
pub(super) struct DiscoveryConnection {
    discovery: SocketAddr,
    /// Length of the longest response that is read, in bytes.
    max_response_bytes: usize,
    open: Option<OpenConnection>,
    /// Whether the last exchange delivered a list or its changes.
    has_list: bool,
    /// The last exchange that was started.
    last_exchange: Exchange,
}

struct OpenConnection {
    stream: TcpStream,
    /// Bytes that have been read and not parsed yet.
    received: Vec<u8>,
}

/// The result of a call, and the connection for the next call.
pub(super) struct FinishedCall {
    pub(super) connection: DiscoveryConnection,
    /// Time at which the call was started.
    pub(super) called_at: Instant,
    pub(super) result: Result<EndpointListUpdate, FailedCall>,
}

impl DiscoveryConnection {
    /// Creates a connection that is opened by its first call.
    pub(super) fn new(discovery: SocketAddr, max_response_bytes: usize) -> DiscoveryConnection {
        let last_exchange = Exchange::start(false);
        DiscoveryConnection { discovery, max_response_bytes, open: None, has_list: false, last_exchange }
    }

    /// Makes a call that fails if it takes longer than `call_timeout`.
    pub(super) async fn call_with_timeout(
        mut self,
        since: Option<ChangesSince>,
        call_timeout: Duration,
    ) -> FinishedCall {
        let called_at = Instant::now();
        let result = match timeout(call_timeout, self.call(since)).await {
            Ok(result) => result,
            Err(_) if self.open.is_none() => Err(DiscoveryError::NotConnected { timeout: call_timeout }),
            Err(_) => Err(DiscoveryError::TimedOut { call_timeout }),
        };
        let exchange = self.last_exchange;
        let failed = |error| FailedCall { error, exchange, waited: exchange.started_at.elapsed() };
        FinishedCall { called_at, result: result.map_err(failed), connection: self }
    }

    /// Requests the changes since a generation, or a snapshot if `since` is none. Not cancellation-safe: the
    /// connection of a cancelled call must be closed.
    async fn call(&mut self, since: Option<ChangesSince>) -> Result<EndpointListUpdate, DiscoveryError> {
        let was_open = self.open.is_some();
        let mut answer = match self.exchange(since).await {
            // Discovery may have closed the reused connection between two calls, so an error is retried once
            // on a new connection. An answer is never retried, whatever its status, because a retry would
            // double the load of an overloaded discovery.
            Err(_) if was_open => {
                self.open = None;
                self.has_list = false;
                self.exchange(since).await
            }
            result => result,
        }?;
        if answer.status != STATUS_OK {
            return Err(DiscoveryError::Status { status: answer.status });
        }
        let update = http::parse_endpoint_list(&mut answer.body).map_err(DiscoveryError::InvalidList)?;
        if !update.is_snapshot && since.is_none() {
            return Err(DiscoveryError::UnexpectedDelta { generation: update.generation });
        }
        self.has_list = true;
        Ok(update)
    }

    /// Sends one request and reads the answer.
    async fn exchange(&mut self, since: Option<ChangesSince>) -> Result<http::Response, DiscoveryError> {
        let is_held = since.is_some_and(|since| !since.hold.is_zero());
        let continues_watch = is_held && self.has_list;
        self.last_exchange = Exchange::start(continues_watch);
        let open = match self.open.take() {
            Some(open) => open,
            None => OpenConnection::connect(self.discovery).await?,
        };
        let open = self.open.insert(open);
        let since = since.map(|since| http::ChangesQuery {
            generation: since.generation,
            max_delay_ms: since.hold.as_millis() as u64,
        });
        let request = http::encode_request(&self.discovery.to_string(), since);
        open.stream.write_all(&request).await?;
        let has_waited = &mut self.last_exchange.has_waited;
        let answer = open.await_answer(self.max_response_bytes, has_waited).await?;
        if answer.closes_connection {
            self.open = None;
        }
        Ok(answer)
    }
}

impl OpenConnection {
    async fn connect(discovery: SocketAddr) -> Result<OpenConnection, DiscoveryError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(discovery)).await;
        let connected = connected.map_err(|_| DiscoveryError::NotConnected { timeout: CONNECT_TIMEOUT })?;
        let stream = connected.map_err(DiscoveryError::Connect)?;
        let _ = stream.set_nodelay(true);
        Ok(OpenConnection { stream, received: Vec::new() })
    }

    /// Reads an answer, and sets `has_waited` if it has not arrived after [`MAX_IMMEDIATE_FAILURE_TIME`].
    async fn await_answer(
        &mut self,
        max_response_bytes: usize,
        has_waited: &mut bool,
    ) -> Result<http::Response, DiscoveryError> {
        let mut answer = pin!(self.read_answer(max_response_bytes));
        tokio::select! {
            // Both are ready if this process was held up. The answer has then arrived in time.
            biased;
            answer = &mut answer => return answer,
            () = sleep(MAX_IMMEDIATE_FAILURE_TIME) => *has_waited = true,
        }
        answer.await
    }

    async fn read_answer(&mut self, max_response_bytes: usize) -> Result<http::Response, DiscoveryError> {
        loop {
            let read = self.stream.read_buf(&mut self.received).await;
            let received = self.received.len();
            let ended = read.map_err(|error| DiscoveryError::reading(error, received))? == 0;
            if received > max_response_bytes {
                return Err(DiscoveryError::TooLong { received, limit: max_response_bytes });
            }
            let answer = http::parse_response(&self.received, ended).map_err(DiscoveryError::Malformed)?;
            if let Some(answer) = answer {
                // The remaining bytes are moved to a buffer of their size, so that a long answer releases its memory.
                self.received = self.received.split_off(answer.consumed);
                return Ok(answer);
            }
            if ended {
                return Err(DiscoveryError::Closed { received: self.received.len() });
            }
        }
    }
}
