//! The task of one client connection. It owns the client's socket and the socket of the current attempt.
//!
//! [`SocketEnd`] is one socket with its pending bytes, and [`Upstream`] is the attempt. Bytes from both sides
//! pass through the front's protocol ([`Front`]). The protocol's [`FrontEvent`]s become inputs of the
//! reducer, and the reducer's effects arrive as [`ConnectionCommand`]s.

mod client_side;
mod closing;
mod flow_control;
mod server_side;
mod socket_end;
mod upstream;

use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, Instant};

use super::commands::{ConnectionCommand, TransferredSockets};
use super::connection_registry::{ConnectionRegistry, RegisteredConnection};
use super::record::TrafficRecorder;
use super::reducer::ReducerHandle;
use crate::protocol::pcap::{CloseKind, ConnectionRecorder, Direction};
use crate::protocol::{Front, FrontEvent};
use crate::routing::{Answer, ConnectionId, Input, PoolId, TransferredConnection};
use crate::{Micros, Time};
use socket_end::{wait_readable, wait_writable, SocketEnd};
use upstream::{wait_connected, Awaited, Upstream};

/// Size of the buffer for a single read.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// Shared handles that a connection's task is started with.
#[derive(Clone)]
pub(super) struct ConnectionContext {
    /// Reducer to which the connection's inputs are fed.
    pub reducer: ReducerHandle,
    /// Registry that assigns the connection's id and routes commands to its task.
    pub registry: ConnectionRegistry,
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
    /// Whether a server accepted the connection. Remains true while the connection is closing.
    established: bool,
    /// Time at which the sockets are closed at the latest. Set when the reducer forgets the connection and
    /// its sockets only remain open to deliver pending bytes.
    close_deadline: Option<Instant>,
    /// Time of the last bytes from the client, or of the start of the close. Used only while closing.
    client_quiet_since: Instant,
    /// Number of bytes that the client has sent while the connection was closing.
    discarded_bytes: usize,
    /// Whether a socket was read, or lines that the front had kept were processed, since the task last
    /// yielded.
    has_read: bool,
    /// Whether answers of the front itself may be among the bytes that are pending for the client.
    has_unread_answers: bool,
    /// Whether the client has its final answer, so that further output of the server is discarded.
    discard_server_output: bool,
    /// Number of bytes pending for one side at which reading from the other side pauses.
    buffer_limit: usize,
    /// Recorder of the client's traffic; none if the traffic is not recorded.
    recorder: Option<ConnectionRecorder>,
    /// Channel through which the sockets are sent to the successor. Set when a transfer is requested.
    successor: Option<oneshot::Sender<TransferredSockets>>,
}

/// Starts the task of a client that has just connected to a pool's front.
pub(super) fn start(
    context: &ConnectionContext,
    pool: PoolId,
    stream: TcpStream,
    front: Box<dyn Front>,
) -> ConnectionId {
    let RegisteredConnection { id, commands } = context.registry.register();
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

/// The sockets of a connection that the predecessor established.
pub(super) struct AdoptedSockets {
    /// Socket to the client.
    pub client: TcpStream,
    /// Socket to the server that accepted the attempt.
    pub attempt: TcpStream,
}

/// Starts the task of a connection that the predecessor established.
pub(super) fn adopt(
    context: &ConnectionContext,
    pool: PoolId,
    sockets: AdoptedSockets,
    front: Box<dyn Front>,
    established: TransferredConnection,
) {
    let RegisteredConnection { id, commands } = context.registry.register();
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
            has_read: false,
            has_unread_answers: false,
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
                        recorder.record_close(at, Direction::ToClient, CloseKind::Orderly)
                    });
                }
            }
            context.registry.deregister(connection);
            context.reducer.feed(Input::SocketsClosed { connection });
        });
    }

    /// Runs until the sockets must be closed or transferred.
    ///
    /// The task yields to the other tasks after each read. A wait for the readiness of a socket returns at
    /// once while the socket is ready, and is not limited by the runtime's budget of a task. Without the
    /// yield, a peer that sends without a pause would stop all other connections, timers and admin calls.
    ///
    /// Every branch of the `select!` is cancellation-safe. A dropped branch consumes neither readiness nor
    /// commands, and a pending connect continues in `upstream`. Reads and writes happen after a branch is
    /// selected and do not wait.
    async fn run(&mut self, mut commands: UnboundedReceiver<ConnectionCommand>) {
        loop {
            self.flush();
            if std::mem::take(&mut self.has_read) {
                // The flush precedes the yield, so that no other task runs between a connect's success and the
                // write of the request.
                tokio::task::yield_now().await;
            }
            let close_time = self.close_time();
            if self.successor.is_some() || close_time.is_some_and(|time| self.is_close_due(time)) {
                return;
            }
            let can_read_client = self.can_read_client();
            let can_process_lines = self.front.has_unprocessed_lines() && !self.is_closing();
            let can_read_attempt = self.can_read_attempt();
            let Awaited { connecting, socket: attempt } = self.upstream.awaited();
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(command) => self.execute(command),
                    None => return,
                },
                stream = wait_connected(connecting) => self.on_connected(stream),
                () = wait_writable(Some(&self.client)) => {}
                () = wait_writable(attempt) => {}
                () = wait_readable(attempt), if can_read_attempt => {
                    self.has_read = self.read_attempt();
                }
                () = std::future::ready(()), if can_read_client && can_process_lines => {
                    self.process_client_bytes(&[]);
                    self.has_read = true;
                }
                () = wait_readable(Some(&self.client)), if can_read_client => {
                    self.has_read = self.read_client(SocketEnd::read);
                }
                () = wait_until(close_time) => {}
            }
        }
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
            // Dropping the sender rejects the transfer, which is retried later.
            ConnectionCommand::Transfer(_) => {}
            _ if self.is_closing() => {}
            ConnectionCommand::OpenAttempt { attempt, address, acceptance_timeout } => {
                self.open_attempt(attempt, address, acceptance_timeout);
            }
            ConnectionCommand::CloseAttempt => self.upstream = Upstream::Idle,
            ConnectionCommand::CheckRequestArrival => {
                self.read_pending_request();
                self.context.reducer.feed(Input::RequestTimedOut { connection: self.id });
            }
            ConnectionCommand::SendAnswer(answer) => self.send_answer(answer),
        }
    }

    fn open_attempt(&mut self, attempt: u32, address: String, timeout: Micros) {
        // The old attempt's socket is closed before the front starts the next attempt.
        self.upstream = Upstream::Idle;
        self.attempt_number = attempt;
        let request = self.front.open_attempt(timeout);
        self.upstream = Upstream::connect(address, request);
    }

    fn send_answer(&mut self, answer: Answer) {
        let bytes = self.front.encode_answer(answer);
        self.client.push(&bytes);
        self.discard_server_output = true;
        self.close_in_order();
        if bytes.is_empty() && answer == Answer::RequestTimedOut {
            self.close_deadline = Some(Instant::now());
        }
    }

    /// Returns whether the connection is in a state from which the successor can continue it.
    fn is_transferable(&self) -> bool {
        let settled = self.client.is_settled() && self.upstream.socket().is_some_and(SocketEnd::is_settled);
        self.established && !self.is_closing() && settled && self.front.export_state().is_some()
    }

    fn transfer(mut self, successor: oneshot::Sender<TransferredSockets>) {
        let (Some(front_state), Some(attempt)) = (self.front.export_state(), self.upstream.take_connected())
        else {
            return;
        };
        let migration_notice = self.front.encode_answer(Answer::Migrated);
        let client = self.client.into_stream().into_std();
        let attempt = attempt.into_stream().into_std();
        let (Ok(client), Ok(attempt)) = (client, attempt) else { return };
        // The receiver waits only for this value, so it is not dropped before the send.
        let _ = successor.send(TransferredSockets {
            client: client.into(),
            attempt: attempt.into(),
            front_state,
            migration_notice,
        });
    }

    /// Writes pending bytes to both sides without waiting.
    fn flush(&mut self) {
        if self.upstream.is_request_pending() {
            self.drop_outdated_request();
        }
        if self.flush_attempt() {
            self.flush_client();
        }
    }

    /// Applies the events that the front has parsed from received bytes.
    fn apply_events(&mut self, events: Vec<FrontEvent>) {
        let connection = self.id;
        for event in events {
            match event {
                FrontEvent::ToClient(bytes) => self.client.push(&bytes),
                FrontEvent::ToServer(bytes) => self.forward_to_server(&bytes),
                _ if self.is_closing() => {}
                FrontEvent::Ping(pong) if self.context.reducer.is_serving() => self.client.push(&pong),
                // A client that gets a pong would send its request. While this process cannot serve, it could
                // only reject that request.
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
                FrontEvent::Load(value) => {
                    self.context.reducer.feed(Input::LoadReported { connection, value });
                }
                FrontEvent::AttemptEnded(outcome) => self.on_attempt_ended(outcome),
                FrontEvent::Close => {
                    self.discard_server_output = true;
                    self.close_in_order();
                    self.context.reducer.feed(Input::ClientDisconnected { connection });
                }
            }
        }
    }
}
