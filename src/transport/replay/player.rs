//! Plays single flows with their recorded timing.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Mutex};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::super::connection::{self, ConnectionContext};
use super::super::fronts::ConnectionFactory;
use super::report::FlowReport;
use crate::protocol::flows::{Flow, FlowChunk, FlowEnd};
use crate::protocol::pcap::CloseKind;
use crate::routing::{ConnectionId, PoolId};
use crate::Time;

/// How long a flow waits for the last answers after it has ended.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long bytes are delayed beyond their recorded time to wait for answers that were recorded before them.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after which a flow is ended whose end was not captured.
const UNCAPTURED_END_DELAY: Duration = Duration::from_secs(1);
const READ_BUFFER_BYTES: usize = 4096;
const MICROS_PER_SECOND: f64 = 1e6;

/// Why one flow was not played.
#[derive(Debug, Error)]
enum FlowError {
    #[error("not played, cannot connect to the front: {0}")]
    Connect(#[from] io::Error),
    #[error("not played, the front is not configured")]
    NoFront,
}

/// Counts of flows.
#[derive(Default)]
pub(super) struct FlowCounts {
    /// Flows that have ended, including flows that could not be played.
    pub(super) played: usize,
    /// Flows whose connection a server accepted.
    pub(super) served: usize,
}

/// The client of a flow, and the id of its connection at the front.
struct PlayedClient {
    stream: TcpStream,
    connection: ConnectionId,
}

/// State that all flows of a replay share.
pub(super) struct Replay {
    pub(super) context: ConnectionContext,
    /// Pool of the front; none if the front is not configured.
    pub(super) pool: Option<PoolId>,
    pub(super) factory: ConnectionFactory,
    /// The front's listener. Each flow holds the lock from its connect to its accept, so that the accepted
    /// stream belongs to this flow.
    pub(super) listener: Mutex<TcpListener>,
    pub(super) started_at: Instant,
    /// Recorded start of the earliest flow.
    pub(super) first_flow_start: Time,
    pub(super) counts: RefCell<FlowCounts>,
}

impl Replay {
    /// Plays a flow, and prints its outcome.
    pub(super) async fn play_and_print(self: Rc<Self>, flow: Flow) {
        let result = self.play(&flow).await;
        let mut counts = self.counts.borrow_mut();
        counts.played += 1;
        counts.served += usize::from(result.as_ref().is_ok_and(FlowReport::is_served));
        let at_seconds = flow.started_at.since(self.first_flow_start).as_f64() / MICROS_PER_SECOND;
        match result {
            Ok(report) => println!("{} at {at_seconds:.3} s: {report}", flow.from),
            Err(error) => println!("{} at {at_seconds:.3} s: {error}", flow.from),
        }
    }

    /// Returns the time in the replay that corresponds to a recorded time.
    fn replay_time(&self, recorded: Time) -> Instant {
        self.started_at + Duration::from(recorded.since(self.first_flow_start))
    }

    async fn play(&self, flow: &Flow) -> Result<FlowReport, FlowError> {
        sleep_until(self.replay_time(flow.started_at)).await;
        let PlayedClient { stream, connection } = self.connect().await?;
        let (reader, mut writer) = stream.into_split();
        let (lines, received_lines) = watch::channel(0);
        let reading = tokio::task::spawn_local(count_answers(reader, lines));
        let mut pacer = Pacer { replay: self, flow, received_lines, waits_for_answers: true };
        let sent = send_chunks(&mut pacer, &mut writer).await;
        // Dropping the writer closes the socket, so the writer is kept until the answers are counted.
        let _writer = end_flow(&mut pacer, writer).await;
        Ok(FlowReport {
            answered_bytes: wait_for_end(reading).await,
            observations: self.context.reducer.observations(connection),
            ended_early: sent.is_err(),
            gap_after_bytes: flow.gap_after_bytes,
            began_before_capture: flow.began_before_capture,
        })
    }

    /// Connects a client to the front.
    async fn connect(&self) -> Result<PlayedClient, FlowError> {
        let listener = self.listener.lock().await;
        let stream = TcpStream::connect(listener.local_addr()?).await?;
        let (accepted, _) = listener.accept().await?;
        let pool = self.pool.ok_or(FlowError::NoFront)?;
        let connection = connection::start(&self.context, pool, accepted, (self.factory)());
        Ok(PlayedClient { stream, connection })
    }
}

/// Counts the bytes that the front sends until the stream ends. Publishes the number of lines received so
/// far.
async fn count_answers(mut reader: OwnedReadHalf, lines: watch::Sender<usize>) -> usize {
    let mut buffer = [0; READ_BUFFER_BYTES];
    let mut count = 0;
    while let Ok(length) = reader.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        count += length;
        let new_lines = buffer[..length].iter().filter(|&&byte| byte == b'\n').count();
        lines.send_modify(|lines| *lines += new_lines);
    }
    count
}

/// Waits for the byte count of a reading task. Returns none if the task does not end within
/// [`LAST_ANSWER_TIMEOUT`].
async fn wait_for_end(reading: JoinHandle<usize>) -> Option<usize> {
    timeout(LAST_ANSWER_TIMEOUT, reading).await.ok().and_then(Result::ok)
}

/// Paces the bytes of a flow by the front's answers. The servers of a replay may be slower than the recorded
/// servers, and bytes that are sent before an answer instead of after it would have another meaning.
struct Pacer<'a> {
    replay: &'a Replay,
    flow: &'a Flow,
    received_lines: watch::Receiver<usize>,
    /// Whether the flow still waits for answers. False after the first answer that did not arrive within
    /// [`ANSWER_TIMEOUT`].
    waits_for_answers: bool,
}

impl Pacer<'_> {
    /// Waits for a recorded time, and for the answers that had been recorded by that time.
    async fn wait(&mut self, recorded: Time) {
        sleep_until(self.replay.replay_time(recorded)).await;
        let expected_lines = self.flow.answer_lines_until(recorded);
        if self.waits_for_answers {
            let answered = self.received_lines.wait_for(|lines| *lines >= expected_lines);
            self.waits_for_answers = timeout(ANSWER_TIMEOUT, answered).await.is_ok();
        }
    }
}

/// Sends the chunks of a flow, each at its paced time.
async fn send_chunks(pacer: &mut Pacer<'_>, writer: &mut OwnedWriteHalf) -> io::Result<()> {
    for FlowChunk { readable_at, bytes } in &pacer.flow.chunks {
        pacer.wait(*readable_at).await;
        writer.write_all(bytes).await?;
    }
    Ok(())
}

/// Ends a flow in the recorded way. Returns the writer unless the flow ends with a reset.
async fn end_flow(pacer: &mut Pacer<'_>, mut writer: OwnedWriteHalf) -> Option<OwnedWriteHalf> {
    match pacer.flow.end {
        Some(FlowEnd { ended_at, close: CloseKind::Orderly }) => {
            pacer.wait(ended_at).await;
            let _ = writer.shutdown().await;
            Some(writer)
        }
        Some(FlowEnd { ended_at, close: CloseKind::Reset }) => {
            pacer.wait(ended_at).await;
            // With a linger time of zero, dropping the socket resets the connection.
            let _ = socket2::SockRef::from(writer.as_ref()).set_linger(Some(Duration::ZERO));
            None
        }
        None => {
            sleep(UNCAPTURED_END_DELAY).await;
            let _ = writer.shutdown().await;
            Some(writer)
        }
    }
}
