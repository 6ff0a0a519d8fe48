//! The client's side of a connection: reads and writes of its socket.

use std::io;

use tokio::time::Instant;

use super::closing::CLOSE_TIMEOUT;
use super::socket_end::SocketEnd;
use super::{Connection, READ_BUFFER_BYTES};
use crate::protocol::pcap::{CloseKind, Direction};
use crate::protocol::FrontEvent;
use crate::routing::Input;

/// A function that reads a socket: [`SocketEnd::read`] or [`SocketEnd::read_from_system`].
type ReadSocket = fn(&SocketEnd, &mut [u8]) -> io::Result<Option<usize>>;

impl Connection {
    /// Reads once from the client. Returns false if there was nothing to read, and true if bytes, the end of
    /// the stream or an error were read.
    pub(super) fn read_client(&mut self, read: ReadSocket) -> bool {
        let mut buffer = [0; READ_BUFFER_BYTES];
        match read(&self.client, &mut buffer) {
            Ok(None) => return false,
            Ok(Some(0)) => self.on_client_ended(),
            Ok(Some(length)) if self.is_closing() => {
                self.client_quiet_since = Instant::now();
                self.discarded_bytes += length;
            }
            Ok(Some(length)) => {
                self.record(|recorder, at| {
                    recorder.record_data(at, Direction::FromClient, &buffer[..length])
                });
                self.process_client_bytes(&buffer[..length]);
            }
            Err(_) => self.on_client_broken(),
        }
        true
    }

    /// Passes bytes of the client, or none, to the front, which also processes the lines that it has kept.
    pub(super) fn process_client_bytes(&mut self, bytes: &[u8]) {
        let mut events = Vec::new();
        self.front.client_sent(bytes, &mut events);
        self.has_unread_answers |= events.iter().any(|event| matches!(event, FrontEvent::ToClient(_)));
        self.apply_events(events);
    }

    /// Reads all bytes that the client has sent so far, unless the connection is established or closing.
    pub(super) fn read_pending_request(&mut self) {
        while !self.is_closing() && !self.established && self.read_client(SocketEnd::read_from_system) {}
    }

    /// Writes to the client without waiting.
    pub(super) fn flush_client(&mut self) {
        let flushed = self.client.flush();
        self.has_unread_answers &= self.client.pending_len() > 0;
        if let Some(recorded) = self.client.take_recorded() {
            self.record(|recorder, at| recorder.record_data(at, Direction::ToClient, &recorded));
        }
        if self.client.is_write_finished() {
            self.record(|recorder, at| recorder.record_close(at, Direction::ToClient, CloseKind::Orderly));
        }
        if flushed.is_err() {
            self.on_client_broken();
        }
    }

    /// Handles the end of the client's stream. It counts as a disconnect, and the server's side is closed in
    /// order.
    fn on_client_ended(&mut self) {
        self.client.set_read_ended();
        self.record(|recorder, at| recorder.record_close(at, Direction::FromClient, CloseKind::Orderly));
        if self.is_closing() {
            return;
        }
        match self.upstream.socket_mut().filter(|_| self.established) {
            // The client may still read, so the server's last output is delivered until the deadline.
            Some(attempt) => {
                attempt.close_when_written();
                self.close_deadline = Some(Instant::now() + CLOSE_TIMEOUT);
            }
            None => self.close_in_order(),
        }
        self.context.reducer.feed(Input::ClientDisconnected { connection: self.id });
    }

    /// Handles a failed read or write of the client's socket. An established attempt is reset as well.
    fn on_client_broken(&mut self) {
        self.client.set_read_ended();
        self.record(|recorder, at| recorder.record_close(at, Direction::FromClient, CloseKind::Reset));
        let must_reset_attempt = self.established && !self.client.is_write_closing();
        if let Some(attempt) = self.upstream.take_connected().filter(|_| must_reset_attempt) {
            attempt.reset_on_drop();
        }
        if !self.is_closing() {
            self.context.reducer.feed(Input::ClientDisconnected { connection: self.id });
        }
        self.close_deadline = Some(Instant::now());
    }
}
