//! One connection of a client, with the attempt that is open for it: a task that owns both sockets.
//!
//! [`SocketEnd`] is one socket with what is pending for it, [`Upstream`] the attempt. What comes from either
//! side goes through the front's protocol ([`Front`]), whose [`FrontEvent`]s become inputs of the reducer; its
//! effects come back as [`ConnectionCommand`]s.

mod client_side;
mod server_side;
mod socket_end;
mod upstream;

use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, Instant};

use super::commands::{ConnectionCommand, TransferredConnection};
use super::connection_registry::ConnectionRegistry;
use super::record::TrafficRecorder;
use super::reducer::ReducerHandle;
use crate::protocol::pcap::{Close, ConnectionRecorder, Direction};
use crate::protocol::{Front, FrontEvent};
use crate::routing::{Answer, ConnectionId, EstablishedConnection, Input, PoolId};
use crate::{Micros, Time};
use socket_end::{wait_readable, wait_writable, SocketEnd};
use upstream::{wait_connected, Upstream};

/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// How long a connection that is over stays open for its last lines to arrive...
const CLOSE_TIMEOUT: Duration = Duration::from_millis(700);
/// ...or until all of them are written and the client has sent nothing for so long: its descriptor is wanted
/// for other connections.
const QUIET_TIMEOUT: Duration = Duration::from_millis(100);
/// Bytes read and discarded from a client that has its answer. Closed over unread bytes the connection would
/// be reset, which may destroy the answer; but a client that sends on for ever must not be read for ever.
const MAX_DISCARDED_BYTES: usize = 128 << 10;

/// What the task of a connection needs.
#[derive(Clone)]
pub(super) struct ConnectionContext {
    /// The reducer, which is fed what happens.
    pub reducer: ReducerHandle,
    /// Where connections are registered.
    pub connections: ConnectionRegistry,
    /// Records the client's traffic.
    pub recorder: TrafficRecorder,
}

struct Connection {
    context: ConnectionContext,
    id: ConnectionId,
    front: Box<dyn Front>,
    client: SocketEnd,
    upstream: Upstream,
    /// Number of the latest attempt, from 0.
    attempt_number: u32,
    /// Whether a server accepted it. This stays so while the connection closes.
    established: bool,
    /// Set once the reducer holds nothing of it any more: the latest time at which its sockets are closed.
    close_deadline: Option<Instant>,
    /// Since when the client has sent nothing, while it closes.
    client_quiet_since: Instant,
    /// Bytes that the client has sent while it closes.
    discarded_bytes: usize,
    /// Whether the rest of the server's output is not for the client, which has its answer.
    discard_server_output: bool,
    /// Bytes held for a side that does not read; no more are read from the other side.
    buffer_limit: usize,
    /// For a recording.
    recorder: Option<ConnectionRecorder>,
    /// Set once the successor goes on with it.
    successor: Option<oneshot::Sender<TransferredConnection>>,
}

/// Serves a client that has just connected to a pool's front.
pub(super) fn start(
    context: &ConnectionContext,
    pool: PoolId,
    stream: TcpStream,
    front: Box<dyn Front>,
) -> ConnectionId {
    let (id, commands) = context.connections.register();
    let recorder = start_recording(&context.recorder, &stream);
    let mut connection = Connection::new(context, id, front, stream);
    if recorder.is_some() {
        connection.client.start_recording();
    }
    connection.recorder = recorder;
    context.reducer.feed(Input::ClientConnected { connection: id, pool });
    connection.spawn(commands);
    id
}

fn start_recording(traffic: &TrafficRecorder, stream: &TcpStream) -> Option<ConnectionRecorder> {
    let addresses = stream.peer_addr().ok().zip(stream.local_addr().ok());
    let mut started = None;
    traffic.record(|at| {
        let Some((client, front)) = addresses else { return Vec::new() };
        let (recorder, records) = ConnectionRecorder::start(at, client, front);
        started = Some(recorder);
        records
    });
    started
}

/// The sockets of a connection that a predecessor established.
pub(super) struct AdoptedSockets {
    /// The client's.
    pub client: TcpStream,
    /// The attempt's.
    pub attempt: TcpStream,
}

/// Goes on with a connection that a predecessor established.
pub(super) fn adopt(
    context: &ConnectionContext,
    pool: PoolId,
    sockets: AdoptedSockets,
    front: Box<dyn Front>,
    established: EstablishedConnection,
) {
    let (id, commands) = context.connections.register();
    let mut connection = Connection::new(context, id, front, sockets.client);
    connection.upstream = Upstream::adopt(sockets.attempt);
    connection.established = true;
    context.reducer.feed(Input::ConnectionReceived { connection: id, pool, established });
    connection.spawn(commands);
}

async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

impl Connection {
    fn new(
        context: &ConnectionContext,
        id: ConnectionId,
        front: Box<dyn Front>,
        stream: TcpStream,
    ) -> Connection {
        Connection {
            context: context.clone(),
            id,
            front,
            client: SocketEnd::new(stream, Vec::new()),
            upstream: Upstream::Idle,
            attempt_number: 0,
            established: false,
            close_deadline: None,
            client_quiet_since: Instant::now(),
            discarded_bytes: 0,
            discard_server_output: false,
            buffer_limit: context.reducer.buffer_limit(),
            recorder: None,
            successor: None,
        }
    }

    fn spawn(mut self, commands: UnboundedReceiver<ConnectionCommand>) {
        tokio::task::spawn_local(async move {
            self.run(commands).await;
            let (context, connection) = (self.context.clone(), self.id);
            match self.successor.take() {
                Some(successor) => self.transfer(successor),
                None => {
                    self.record(|recorder, at| {
                        recorder.record_close(at, Direction::ToClient, Close::Orderly)
                    });
                }
            }
            context.connections.deregister(connection);
            context.reducer.feed(Input::SocketsClosed { connection });
        });
    }

    /// Runs until the sockets are to be closed or transferred.
    ///
    /// Every branch of the `select!` is cancellation-safe: readiness and commands that are not taken stay
    /// where they are, a connect goes on in `upstream`, and all reading and writing is done after the choice,
    /// without waiting.
    async fn run(&mut self, mut commands: UnboundedReceiver<ConnectionCommand>) {
        loop {
            self.flush();
            let close_time = self.close_time();
            if self.successor.is_some() || close_time.is_some_and(|time| self.is_closed_by(time)) {
                return;
            }
            let reads_client = self.reads_client();
            let reads_attempt = self.client.pending_len() < self.buffer_limit;
            let (connecting, attempt) = self.upstream.waits();
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(command) => self.execute(command),
                    None => return,
                },
                stream = wait_connected(connecting) => self.on_connected(stream),
                () = wait_writable(Some(&self.client)) => {}
                () = wait_writable(attempt) => {}
                () = wait_readable(attempt), if reads_attempt => self.read_attempt(),
                () = wait_readable(Some(&self.client)), if reads_client => {
                    self.read_client(SocketEnd::read);
                }
                () = wait_until(close_time) => {}
            }
        }
    }

    /// When the sockets are to be closed, once the connection is over.
    fn close_time(&self) -> Option<Instant> {
        let deadline = self.close_deadline?;
        // A client that floods has more on the way: closed over that it might not see its answer.
        let all_written = self.client.is_write_finished() && self.upstream.is_write_finished();
        if all_written && self.discarded_bytes < MAX_DISCARDED_BYTES {
            Some(deadline.min(self.client_quiet_since + QUIET_TIMEOUT))
        } else {
            Some(deadline)
        }
    }

    /// Whether all sides are closed in order, or the time to close them has come.
    fn is_closed_by(&self, close_time: Instant) -> bool {
        let client_closed = self.client.is_write_finished() && self.client.is_read_ended();
        (client_closed && self.upstream.is_write_finished()) || Instant::now() >= close_time
    }

    /// Whether more is read from the client.
    fn reads_client(&self) -> bool {
        let pending = self.upstream.end().map_or(0, SocketEnd::pending_len) + self.front.buffered_bytes();
        // One that is not established is read whatever it sends: its front ends it when that is too much.
        let has_room = pending < self.buffer_limit || !self.established;
        has_room && self.discarded_bytes < MAX_DISCARDED_BYTES
    }

    fn is_closing(&self) -> bool {
        self.close_deadline.is_some()
    }

    fn record(&mut self, records: impl FnOnce(&mut ConnectionRecorder, Time) -> Vec<u8>) {
        if let Some(recorder) = &mut self.recorder {
            self.context.recorder.record(|at| records(recorder, at));
        }
    }

    fn execute(&mut self, command: ConnectionCommand) {
        match command {
            ConnectionCommand::Abort => self.close_deadline = Some(Instant::now()),
            ConnectionCommand::Transfer(successor) if self.is_transferable() => {
                self.successor = Some(successor);
            }
            // The sender is dropped, which rejects the transfer for now.
            ConnectionCommand::Transfer(_) => {}
            _ if self.is_closing() => {}
            ConnectionCommand::OpenAttempt { attempt, address, wait } => {
                self.open_attempt(attempt, address, wait);
            }
            ConnectionCommand::CloseAttempt => self.upstream = Upstream::Idle,
            ConnectionCommand::CheckHandshake => {
                self.read_client_until_asked();
                self.context.reducer.feed(Input::HandshakeTimedOut { connection: self.id });
            }
            ConnectionCommand::SendAnswer(answer) => self.send_answer(answer),
        }
    }

    fn open_attempt(&mut self, attempt: u32, address: String, wait: Micros) {
        // The old attempt's sockets are closed before the front begins the next.
        self.upstream = Upstream::Idle;
        self.attempt_number = attempt;
        let request = self.front.open_attempt(wait);
        self.upstream = Upstream::connect(address, request);
    }

    fn send_answer(&mut self, answer: Answer) {
        let bytes = self.front.encode_answer(answer);
        self.client.push(&bytes);
        self.discard_server_output = true;
        self.close_in_order();
        if bytes.is_empty() && answer == Answer::HandshakeTimedOut {
            self.close_deadline = Some(Instant::now());
        }
    }

    /// Closes both sides once all that is pending is written.
    fn close_in_order(&mut self) {
        self.client.close_when_written();
        match &mut self.upstream {
            Upstream::Connected(attempt) if attempt.request_forwarded => attempt.end.close_when_written(),
            // A request that is not written in full must not reach its server any more.
            upstream => *upstream = Upstream::Idle,
        }
        self.client_quiet_since = Instant::now();
        self.close_deadline.get_or_insert(self.client_quiet_since + CLOSE_TIMEOUT);
    }

    /// Whether the successor could go on with the connection as it is.
    fn is_transferable(&self) -> bool {
        let settled = self.client.is_settled() && self.upstream.end().is_some_and(SocketEnd::is_settled);
        self.established && !self.is_closing() && settled && self.front.export_state().is_some()
    }

    fn transfer(mut self, successor: oneshot::Sender<TransferredConnection>) {
        let (Some(front_state), Some(attempt)) = (self.front.export_state(), self.upstream.take_connected())
        else {
            return;
        };
        let migration_notice = self.front.encode_answer(Answer::Migrated);
        let client = self.client.into_stream().into_std();
        let attempt = attempt.into_stream().into_std();
        let (Ok(client), Ok(attempt)) = (client, attempt) else { return };
        // The receiver waits for nothing else.
        let _ = successor.send(TransferredConnection {
            client: client.into(),
            attempt: attempt.into(),
            front_state,
            migration_notice,
        });
    }

    /// Writes to both sides what can be written at once.
    fn flush(&mut self) {
        if self.upstream.is_request_pending() {
            self.drop_outdated_request();
        }
        if self.flush_attempt() {
            self.flush_client();
        }
    }

    /// Takes the events that the front made of what was read.
    fn apply_events(&mut self, events: Vec<FrontEvent>) {
        let connection = self.id;
        for event in events {
            match event {
                FrontEvent::ToClient(bytes) => self.client.push(&bytes),
                FrontEvent::ToServer(bytes) => self.forward_to_server(&bytes),
                _ if self.is_closing() => {}
                FrontEvent::Ping(pong) if self.context.reducer.is_serving() => self.client.push(&pong),
                // A client that this process took in could only be rejected.
                FrontEvent::Ping(_) => {
                    self.close_in_order();
                    self.context.reducer.feed(Input::ClientDisconnected { connection });
                }
                FrontEvent::ConnectionRequested(request) => {
                    self.context.reducer.feed(Input::ConnectionRequested { connection, request });
                }
                FrontEvent::Accepted => {
                    self.established = true;
                    self.context
                        .reducer
                        .feed(Input::AttemptAccepted { connection, attempt: self.attempt_number });
                }
                FrontEvent::Load(load) => self.context.reducer.feed(Input::LoadReported { connection, load }),
                FrontEvent::AttemptEnded(end) => self.on_attempt_ended(end),
                FrontEvent::Close => {
                    self.discard_server_output = true;
                    self.close_in_order();
                    self.context.reducer.feed(Input::ClientDisconnected { connection });
                }
            }
        }
    }
}
