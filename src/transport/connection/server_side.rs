//! The server's side of a connection: its attempt.

use std::io;

use tokio::net::TcpStream;
use tokio::time::Instant;

use super::upstream::{is_local_shortage, Upstream};
use super::{Connection, READ_BUFFER_BYTES};
use crate::protocol::pcap::{Close, Direction};
use crate::routing::{AttemptOutcome, Input};
use crate::transport::log_event::{log_event, LogEvent};

impl Connection {
    pub(super) fn on_connected(&mut self, stream: io::Result<TcpStream>) {
        let Some(request) = self.upstream.take_request() else { return };
        match stream {
            Ok(stream) => self.upstream = Upstream::send_request(stream, request),
            Err(error) if is_local_shortage(&error) => self.on_attempt_ended(AttemptOutcome::OutOfSockets),
            Err(_) => self.on_attempt_ended(AttemptOutcome::ConnectFailed),
        }
    }

    /// Closes an attempt whose request is pending if nobody waits for its outcome any more.
    pub(super) fn drop_outdated_request(&mut self) {
        // The client's end may have come together with the connect.
        self.read_client_until_asked();
        // The connect may be seen before the timer that gives it up: then it is too late for the request.
        if self.context.reducer.is_overdue(self.id) {
            self.upstream.close_connected();
        }
    }

    /// Writes to the server what can be written at once. Returns whether the client may be written to: not
    /// when the attempt failed with this write.
    pub(super) fn flush_attempt(&mut self) -> bool {
        let Some(attempt) = self.upstream.attempt_mut() else { return true };
        if attempt.end.flush().is_err() {
            if !attempt.request_forwarded {
                self.on_server_ended(true);
                return false;
            }
            // The server's last lines may be there to be read: they are delivered before the attempt ends.
            attempt.end.set_write_broken();
        }
        if !attempt.request_forwarded && attempt.end.pending_len() == 0 {
            attempt.request_forwarded = true;
            let (connection, attempt) = (self.id, self.attempt_number);
            self.context.reducer.feed(Input::RequestForwarded { connection, attempt });
        }
        true
    }

    pub(super) fn forward_to_server(&mut self, bytes: &[u8]) {
        if let Some(attempt) = self.upstream.end_mut() {
            attempt.push(bytes);
        }
        if self.established {
            self.context.reducer.feed(Input::LineForwarded { connection: self.id });
        }
    }

    /// Reads once from the server.
    pub(super) fn read_attempt(&mut self) {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let Some(attempt) = self.upstream.end() else { return };
        match attempt.read(&mut buffer) {
            Ok(None) => {}
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
    }

    /// The server ended its side, or its TCP connection broke.
    fn on_server_ended(&mut self, broken: bool) {
        let Some(attempt) = self.upstream.attempt_mut() else { return };
        attempt.end.set_read_ended();
        let request_forwarded = attempt.request_forwarded;
        if self.is_closing() {
            return self.finish_server_output();
        }
        if self.established {
            return self.on_established_ended(broken);
        }
        let end =
            if request_forwarded { self.front.server_ended(broken) } else { AttemptOutcome::ConnectFailed };
        self.on_attempt_ended(end);
    }

    /// The server ended a connection that is closing: the client has the rest of its output.
    fn finish_server_output(&mut self) {
        self.upstream.close_connected();
        let rest = self.front.take_partial_line();
        if !self.discard_server_output {
            self.client.push(&rest);
        }
        self.client.close_when_written();
    }

    /// The server ended an established connection: the client's side ends in the same way.
    fn on_established_ended(&mut self, broken: bool) {
        let end = self.front.server_ended(broken);
        let rest = self.front.take_partial_line();
        self.client.push(&rest);
        if broken {
            // What was read before the break still goes out; the reset follows whether it does or not.
            let _ = self.client.flush();
            self.client.reset_on_drop();
            self.client.set_read_ended();
            self.record(|recorder, at| recorder.record_close(at, Direction::ToClient, Close::Reset));
        }
        self.upstream.close_connected();
        self.close_in_order();
        if broken {
            self.close_deadline = Some(Instant::now());
        }
        self.report_attempt_end(end);
    }

    /// An attempt ended before its connection was established.
    pub(super) fn on_attempt_ended(&mut self, end: AttemptOutcome) {
        self.upstream = Upstream::Idle;
        if end == AttemptOutcome::VerdictForwarded {
            self.close_in_order();
        }
        self.report_attempt_end(end);
    }

    fn report_attempt_end(&self, end: AttemptOutcome) {
        let (connection, attempt) = (self.id, self.attempt_number);
        log_event!(LogEvent::AttemptEnded { connection, attempt, end });
        self.context.reducer.feed(Input::AttemptEnded { connection, attempt, end });
    }
}
