//! One socket of a connection, with its pending output.

use std::io::{self, Read};
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// What can still be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadSide {
    Open,
    /// The other end sends nothing more.
    Ended,
}

/// What can still be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteSide {
    Open,
    /// Shut down as soon as all pending bytes are written.
    Closing,
    /// Shut down in order.
    ShutDown,
    /// A write failed. Bytes that the other end sent before can still be read.
    Broken,
}

/// A socket, and the bytes that are pending for it.
pub(super) struct SocketEnd {
    stream: TcpStream,
    pending: Vec<u8>,
    /// Bytes written since they were last taken; none while the traffic is not recorded.
    recorded: Option<Vec<u8>>,
    read_side: ReadSide,
    write_side: WriteSide,
}

impl SocketEnd {
    pub(super) fn new(stream: TcpStream, pending: Vec<u8>) -> SocketEnd {
        // A failure only costs latency.
        let _ = stream.set_nodelay(true);
        SocketEnd { stream, pending, recorded: None, read_side: ReadSide::Open, write_side: WriteSide::Open }
    }

    pub(super) fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Records what is written from now on.
    pub(super) fn start_recording(&mut self) {
        self.recorded = Some(Vec::new());
    }

    /// Takes what was written since the last call, if anything was.
    pub(super) fn take_recorded(&mut self) -> Option<Vec<u8>> {
        let recorded = self.recorded.as_mut().filter(|recorded| !recorded.is_empty())?;
        Some(std::mem::take(recorded))
    }

    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    pub(super) fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Writes without waiting. Shuts the write side down if it is closing and nothing is pending.
    ///
    /// # Errors
    ///
    /// When the socket is broken.
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
    /// When the socket is broken.
    pub(super) fn read(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        match self.stream.try_read(buffer) {
            Ok(length) => Ok(Some(length)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// As [`SocketEnd::read`], but by a system call that ignores the runtime's readiness. The runtime updates
    /// readiness only between tasks; after a pause of the whole process its timers run first.
    ///
    /// # Errors
    ///
    /// When the socket is broken.
    pub(super) fn read_from_system(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        use io::ErrorKind::{Interrupted, WouldBlock};
        match (&*SockRef::from(&self.stream)).read(buffer) {
            Ok(length) => Ok(Some(length)),
            Err(error) if matches!(error.kind(), WouldBlock | Interrupted) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Shuts the write side down once all pending bytes are written.
    pub(super) fn close_when_written(&mut self) {
        if self.write_side == WriteSide::Open {
            self.write_side = WriteSide::Closing;
        }
    }

    /// Marks the read side as ended.
    pub(super) fn set_read_ended(&mut self) {
        self.read_side = ReadSide::Ended;
    }

    /// Stops writing after a failed write, and drops the pending bytes. Reading continues.
    pub(super) fn set_write_broken(&mut self) {
        self.pending.clear();
        self.write_side = WriteSide::Broken;
    }

    /// Makes the drop of the socket reset the connection, in place of an orderly close.
    pub(super) fn reset_on_drop(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    pub(super) fn is_read_ended(&self) -> bool {
        self.read_side == ReadSide::Ended
    }

    /// Whether nothing more will be written.
    pub(super) fn is_write_finished(&self) -> bool {
        matches!(self.write_side, WriteSide::ShutDown | WriteSide::Broken)
    }

    /// Whether the write side is closed in order or closing.
    pub(super) fn is_write_closing(&self) -> bool {
        matches!(self.write_side, WriteSide::Closing | WriteSide::ShutDown)
    }

    pub(super) fn is_write_broken(&self) -> bool {
        self.write_side == WriteSide::Broken
    }

    /// Whether nothing is pending and neither side has ended or is closing.
    pub(super) fn is_settled(&self) -> bool {
        self.pending.is_empty() && !self.is_read_ended() && !self.is_write_closing()
    }
}

/// Waits until the socket is readable, or for ever if there is none. Cancellation-safe: nothing is read here.
pub(super) async fn wait_readable(end: Option<&SocketEnd>) {
    match end.filter(|end| !end.is_read_ended()) {
        // An error is seen again by the read that follows.
        Some(end) => drop(end.stream.readable().await),
        None => std::future::pending().await,
    }
}

/// Waits until pending bytes can be written, or for ever if there are none. Cancellation-safe: nothing is
/// written here.
pub(super) async fn wait_writable(end: Option<&SocketEnd>) {
    match end.filter(|end| !end.pending.is_empty()) {
        // An error is seen again by the write that follows.
        Some(end) => drop(end.stream.writable().await),
        None => std::future::pending().await,
    }
}
