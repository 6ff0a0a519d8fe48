//! Plays single flows at their recorded times.

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
use crate::protocol::pcap::Close;
use crate::routing::{ConnectionId, PoolId};
use crate::Time;

/// How long a flow waits, after its last recorded byte, for what still comes back.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long what was sent after an answer waits for one, beyond its recorded time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// A flow whose end was not captured is ended after this.
const UNCAPTURED_END_DELAY: Duration = Duration::from_secs(1);
const READ_BUFFER_BYTES: usize = 4096;
const MICROS_PER_SECOND: f64 = 1e6;

/// Why one flow was not played.
#[derive(Debug, Error)]
enum FlowError {
    #[error("not played: {0}")]
    Connect(#[from] io::Error),
    #[error("no such front")]
    NoFront,
}

/// Counts of flows.
#[derive(Default)]
pub(super) struct FlowCounts {
    pub(super) played: usize,
    pub(super) served: usize,
}

/// What all flows of a replay share.
pub(super) struct Replay {
    pub(super) context: ConnectionContext,
    pub(super) pool: Option<PoolId>,
    pub(super) factory: ConnectionFactory,
    /// The front's listener. Flows connect one after the other, so that each finds its own other end.
    pub(super) listener: Mutex<TcpListener>,
    pub(super) started: Instant,
    /// Recorded time of the first flow.
    pub(super) first_start: Time,
    pub(super) counts: RefCell<FlowCounts>,
}

impl Replay {
    /// Plays a flow, and prints what became of it.
    pub(super) async fn play_and_print(self: Rc<Self>, flow: Flow) {
        let result = self.play(&flow).await;
        let mut counts = self.counts.borrow_mut();
        counts.played += 1;
        counts.served += usize::from(result.as_ref().is_ok_and(FlowReport::is_served));
        let at_seconds = flow.start.since(self.first_start).as_f64() / MICROS_PER_SECOND;
        match result {
            Ok(report) => println!("{} at {at_seconds:.3} s: {report}", flow.from),
            Err(error) => println!("{} at {at_seconds:.3} s: {error}", flow.from),
        }
    }

    /// When a recorded time comes in the replay.
    fn replay_time(&self, recorded: Time) -> Instant {
        self.started + Duration::from(recorded.since(self.first_start))
    }

    async fn play(&self, flow: &Flow) -> Result<FlowReport, FlowError> {
        sleep_until(self.replay_time(flow.start)).await;
        let (stream, connection) = self.connect().await?;
        let (reader, mut writer) = stream.into_split();
        let (lines, received_lines) = watch::channel(0);
        let reading = tokio::task::spawn_local(count_answers(reader, lines));
        let mut pacer = Pacer { replay: self, flow, received_lines, in_step: true };
        let sent = send_pieces(&mut pacer, &mut writer).await;
        // Kept until the answers are counted: dropped, it would close the socket.
        let _writer = end_flow(&mut pacer, writer).await;
        Ok(FlowReport {
            answered_bytes: wait_for_end(reading).await,
            observations: self.context.reducer.observations(connection),
            cut: sent.is_err(),
            gap: flow.gap,
            headless: flow.began_before_capture,
        })
    }

    /// Connects a client to the front.
    async fn connect(&self) -> Result<(TcpStream, ConnectionId), FlowError> {
        let listener = self.listener.lock().await;
        let stream = TcpStream::connect(listener.local_addr()?).await?;
        let (accepted, _) = listener.accept().await?;
        let pool = self.pool.ok_or(FlowError::NoFront)?;
        let connection = connection::start(&self.context, pool, accepted, (self.factory)());
        Ok((stream, connection))
    }
}

/// Counts the bytes that the front sends until it ends, and reports the number of lines among them.
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

/// Waits until a reading task ends; none if it does not in time.
async fn wait_for_end(reading: JoinHandle<usize>) -> Option<usize> {
    timeout(LAST_ANSWER_TIMEOUT, reading).await.ok().and_then(Result::ok)
}

/// Times what a flow sends. Servers of a replay may be slower than those recorded: what was sent after an
/// answer, an end above all, would overtake it and mean something else.
struct Pacer<'a> {
    replay: &'a Replay,
    flow: &'a Flow,
    received_lines: watch::Receiver<usize>,
    /// Whether all answers came so far. One that answers with fewer lines is waited for once.
    in_step: bool,
}

impl Pacer<'_> {
    /// Waits for a recorded time, and for the answers that had come by then.
    async fn wait(&mut self, recorded: Time) {
        sleep_until(self.replay.replay_time(recorded)).await;
        let wanted = self.flow.answers_before(recorded);
        if self.in_step {
            let answered = self.received_lines.wait_for(|lines| *lines >= wanted);
            self.in_step = timeout(ANSWER_TIMEOUT, answered).await.is_ok();
        }
    }
}

async fn send_pieces(pacer: &mut Pacer<'_>, writer: &mut OwnedWriteHalf) -> io::Result<()> {
    for FlowChunk { at, bytes } in &pacer.flow.chunks {
        pacer.wait(*at).await;
        writer.write_all(bytes).await?;
    }
    Ok(())
}

/// Ends a flow as it was recorded. Returns the writer unless the connection is broken off.
async fn end_flow(pacer: &mut Pacer<'_>, mut writer: OwnedWriteHalf) -> Option<OwnedWriteHalf> {
    match pacer.flow.end {
        Some(FlowEnd { at, close: Close::Orderly }) => {
            pacer.wait(at).await;
            let _ = writer.shutdown().await;
            Some(writer)
        }
        Some(FlowEnd { at, close: Close::Reset }) => {
            pacer.wait(at).await;
            // Closed with no time to linger, the socket is reset.
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
