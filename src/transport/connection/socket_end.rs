//! One socket of a connection, with the bytes that are pending to be written to it.

use std::io::{self, Read};
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Maximum number of bytes that a queue without pending bytes keeps allocated.
const MAX_IDLE_CAPACITY: usize = 1 << 10;

/// State of a socket's read side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadSide {
    Open,
    /// The other end has closed its write side, or the socket has failed.
    Ended,
}

/// State of a socket's write side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteSide {
    Open,
    /// Open until all pending bytes are written, then shut down.
    Closing,
    /// Shut down after all pending bytes were written.
    ShutDown,
    /// A write failed. Bytes that the other end sent before the failure can still be read.
    Broken,
}

/// A socket, and the bytes that are pending to be written to it.
pub(super) struct SocketEnd {
    stream: TcpStream,
    pending: Vec<u8>,
    /// Bytes written since the last call of [`SocketEnd::take_recorded`]; none if the traffic is not
    /// recorded.
    recorded: Option<Vec<u8>>,
    read_side: ReadSide,
    write_side: WriteSide,
}

impl SocketEnd {
    pub(super) fn new(stream: TcpStream, pending: Vec<u8>) -> SocketEnd {
        // A failure only increases latency.
        let _ = stream.set_nodelay(true);
        SocketEnd { stream, pending, recorded: None, read_side: ReadSide::Open, write_side: WriteSide::Open }
    }

    pub(super) fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Starts to record the bytes that are written.
    pub(super) fn start_recording(&mut self) {
        self.recorded = Some(Vec::new());
    }

    /// Takes the bytes that were written since the last call. Returns none if there are none.
    pub(super) fn take_recorded(&mut self) -> Option<Vec<u8>> {
        let recorded = self.recorded.as_mut().filter(|recorded| !recorded.is_empty())?;
        Some(std::mem::take(recorded))
    }

    /// Queues bytes to be written. The queue grows by their number only: the usual growth by a factor would
    /// take twice the memory that the limits of the process provide for.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.pending.reserve_exact(bytes.len());
        self.pending.extend_from_slice(bytes);
    }

    pub(super) fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Writes pending bytes without waiting. Shuts down the write side if it is closing and all bytes are
    /// written.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket is broken.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        while !self.pending.is_empty() {
            match self.stream.try_write(&self.pending) {
                Ok(length) => {
                    let written = self.pending.drain(..length);
                    if let Some(recorded) = &mut self.recorded {
                        recorded.extend(written);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        self.pending.shrink_to(MAX_IDLE_CAPACITY);
        if self.write_side == WriteSide::Closing {
            self.write_side = WriteSide::ShutDown;
            return SockRef::from(&self.stream).shutdown(Shutdown::Write);
        }
        Ok(())
    }

    /// Reads without waiting. Returns none if there is nothing to read, and 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket is broken.
    pub(super) fn read(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        match self.stream.try_read(buffer) {
            Ok(length) => Ok(Some(length)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads like [`SocketEnd::read`], but by a system call that ignores the runtime's readiness. The runtime
    /// updates readiness only between tasks. After a pause of the whole process, timers run before readiness
    /// is updated.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket is broken.
    pub(super) fn read_from_system(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        use io::ErrorKind::{Interrupted, WouldBlock};
        match (&*SockRef::from(&self.stream)).read(buffer) {
            Ok(length) => Ok(Some(length)),
            Err(error) if matches!(error.kind(), WouldBlock | Interrupted) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Shuts down the write side as soon as all pending bytes are written.
    pub(super) fn close_when_written(&mut self) {
        if self.write_side == WriteSide::Open {
            self.write_side = WriteSide::Closing;
        }
    }

    /// Marks the read side as ended.
    pub(super) fn set_read_ended(&mut self) {
        self.read_side = ReadSide::Ended;
    }

    /// Stops writing after a failed write, and drops the pending bytes. The socket can still be read.
    pub(super) fn set_write_broken(&mut self) {
        self.pending.clear();
        self.write_side = WriteSide::Broken;
    }

    /// Makes the drop of the socket reset the connection instead of closing it in order.
    pub(super) fn reset_on_drop(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    pub(super) fn is_read_ended(&self) -> bool {
        self.read_side == ReadSide::Ended
    }

    /// Returns whether no more bytes will be written.
    pub(super) fn is_write_finished(&self) -> bool {
        matches!(self.write_side, WriteSide::ShutDown | WriteSide::Broken)
    }

    /// Returns whether the write side is closing or shut down in order.
    pub(super) fn is_write_closing(&self) -> bool {
        matches!(self.write_side, WriteSide::Closing | WriteSide::ShutDown)
    }

    pub(super) fn is_write_broken(&self) -> bool {
        self.write_side == WriteSide::Broken
    }

    /// Returns whether no bytes are pending, the read side has not ended and the write side is not closing.
    pub(super) fn is_settled(&self) -> bool {
        self.pending.is_empty() && !self.is_read_ended() && !self.is_write_closing()
    }
}

/// Waits until the socket is readable. Never returns if there is no socket or its read side has ended.
/// Cancellation-safe: this function reads no bytes.
pub(super) async fn wait_readable(socket: Option<&SocketEnd>) {
    match socket.filter(|socket| !socket.is_read_ended()) {
        // The read that follows returns the same error.
        Some(socket) => drop(socket.stream.readable().await),
        None => std::future::pending().await,
    }
}

/// Waits until pending bytes can be written. Never returns if there is no socket or no pending bytes.
/// Cancellation-safe: this function writes no bytes.
pub(super) async fn wait_writable(socket: Option<&SocketEnd>) {
    match socket.filter(|socket| !socket.pending.is_empty()) {
        // The write that follows returns the same error.
        Some(socket) => drop(socket.stream.writable().await),
        None => std::future::pending().await,
    }
}
