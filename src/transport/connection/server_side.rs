//! The server's side of a connection: reads and writes of the attempt's socket.

use std::io;

use tokio::net::TcpStream;
use tokio::time::Instant;

use super::upstream::{is_local_shortage, Upstream};
use super::{Connection, READ_BUFFER_BYTES};
use crate::protocol::pcap::{CloseKind, Direction};
use crate::routing::{AttemptOutcome, Input};
use crate::transport::log_event::{log_event, LogEvent};

impl Connection {
    /// Handles the result of a connect: sends the request, or reports the outcome of the failed attempt.
    pub(super) fn on_connected(&mut self, stream: io::Result<TcpStream>) {
        let Some(request) = self.upstream.take_request() else { return };
        match stream {
            Ok(stream) => self.upstream = Upstream::send_request(stream, request),
            Err(error) if is_local_shortage(&error) => self.on_attempt_ended(AttemptOutcome::OutOfSockets),
            Err(_) => self.on_attempt_ended(AttemptOutcome::ConnectFailed),
        }
    }

    /// Closes an attempt whose request is not yet written in full, if the client has disconnected or its
    /// deadline has passed.
    pub(super) fn drop_outdated_request(&mut self) {
        // The client may have disconnected at the moment at which the connect succeeded.
        self.read_pending_request();
        // The task may handle the connect before the timer task handles the deadline, although the deadline
        // has passed.
        if self.context.reducer.is_overdue(self.id) {
            self.upstream.close_connected();
        }
    }

    /// Writes to the server without waiting. Returns false if this write made the attempt fail; the caller
    /// must then not write to the client.
    pub(super) fn flush_attempt(&mut self) -> bool {
        let Some(attempt) = self.upstream.attempt_mut() else { return true };
        if attempt.socket.flush().is_err() {
            if !attempt.request_forwarded {
                self.on_server_ended(true);
                return false;
            }
            // Lines that the server sent before the failure are still read and delivered.
            attempt.socket.set_write_broken();
        }
        if !attempt.request_forwarded && attempt.socket.pending_len() == 0 {
            attempt.request_forwarded = true;
            let (connection, attempt) = (self.id, self.attempt_number);
            self.context.reducer.feed(Input::RequestForwarded { connection, attempt });
        }
        true
    }

    /// Queues bytes for the server. On an established connection, also reports a forwarded line to the
    /// reducer.
    pub(super) fn forward_to_server(&mut self, bytes: &[u8]) {
        if let Some(attempt) = self.upstream.socket_mut() {
            attempt.push(bytes);
        }
        if self.established {
            self.context.reducer.feed(Input::LineForwarded { connection: self.id });
        }
    }

    /// Reads once from the server. Returns false if there was nothing to read, and true if bytes, the end of
    /// the stream or an error were read.
    pub(super) fn read_attempt(&mut self) -> bool {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let Some(attempt) = self.upstream.socket() else { return false };
        match attempt.read(&mut buffer) {
            Ok(None) => return false,
            Ok(Some(0)) => self.on_server_ended(attempt.is_write_broken()),
            Ok(Some(_)) if self.discard_server_output => {}
            Ok(Some(length)) => {
                if self.established && !self.is_closing() {
                    self.context.reducer.feed(Input::ServerActivity { connection: self.id });
                }
                let mut events = Vec::new();
                self.front.server_sent(&buffer[..length], &mut events);
                self.apply_events(events);
            }
            Err(_) => self.on_server_ended(true),
        }
        true
    }

    /// Handles the end of the server's stream, or a failure of its socket if `broken` is true.
    fn on_server_ended(&mut self, broken: bool) {
        let Some(attempt) = self.upstream.attempt_mut() else { return };
        attempt.socket.set_read_ended();
        let request_forwarded = attempt.request_forwarded;
        if self.is_closing() {
            return self.finish_server_output();
        }
        if self.established {
            return self.on_established_ended(broken);
        }
        let outcome =
            if request_forwarded { self.front.server_ended(broken) } else { AttemptOutcome::ConnectFailed };
        self.on_attempt_ended(outcome);
    }

    /// Handles the end of the server's stream on a closing connection: forwards the server's last partial
    /// line to the client, unless the client already has its final answer.
    fn finish_server_output(&mut self) {
        self.upstream.close_connected();
        let rest = self.front.take_partial_line();
        if !self.discard_server_output {
            self.client.push(&rest);
        }
        self.client.close_when_written();
    }

    /// Handles a server that ended an established connection. The client's side is reset if the server's side
    /// broke, and closed in order otherwise.
    fn on_established_ended(&mut self, broken: bool) {
        let outcome = self.front.server_ended(broken);
        let rest = self.front.take_partial_line();
        self.client.push(&rest);
        if broken {
            // Output that was read earlier is written before the reset. The reset follows even if the write
            // fails.
            let _ = self.client.flush();
            self.client.reset_on_drop();
            self.client.set_read_ended();
            self.record(|recorder, at| recorder.record_close(at, Direction::ToClient, CloseKind::Reset));
        }
        self.upstream.close_connected();
        self.close_in_order();
        if broken {
            self.close_deadline = Some(Instant::now());
        }
        self.report_attempt_end(outcome);
    }

    /// Handles an attempt that ended before its connection was established.
    pub(super) fn on_attempt_ended(&mut self, outcome: AttemptOutcome) {
        self.upstream = Upstream::Idle;
        if outcome == AttemptOutcome::VerdictForwarded {
            self.close_in_order();
        }
        self.report_attempt_end(outcome);
    }

    fn report_attempt_end(&self, outcome: AttemptOutcome) {
        let (connection, attempt) = (self.id, self.attempt_number);
        log_event!(LogEvent::AttemptEnded { connection, attempt, outcome });
        self.context.reducer.feed(Input::AttemptEnded { connection, attempt, outcome });
    }
}
