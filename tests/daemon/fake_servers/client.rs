//! One end of a TCP connection, which sends and reads lines.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

use super::MAX_WAIT;

/// One end of a TCP connection, which sends and reads lines: a client, or the server's end of an attempt.
pub(crate) struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub(crate) fn connect(address: &str) -> Client {
        Client::from_stream(TcpStream::connect(address).expect("the client connects"))
    }

    /// Wraps a connection that is already open.
    pub(crate) fn from_stream(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(MAX_WAIT)).expect("the timeout is set");
        Client { reader: BufReader::new(stream) }
    }

    /// Connects an IRC client and sends its registration as `nick`.
    pub(crate) fn register(address: &str, nick: &str) -> Client {
        let mut client = Client::connect(address);
        client.send_line(&format!("NICK {nick}\r\nUSER u 0 * :A tool"));
        client
    }

    /// Returns the connection for writes. Reads from it would miss bytes that are already buffered here.
    pub(crate) fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub(crate) fn into_stream(self) -> TcpStream {
        self.reader.into_inner()
    }

    pub(crate) fn send_line(&mut self, line: &str) {
        self.stream().write_all(format!("{line}\r\n").as_bytes()).expect("the line is written");
    }

    /// Returns whether there are bytes to read, or the stream has ended.
    pub(crate) fn has_input(&self) -> bool {
        let stream = self.stream();
        stream.set_nonblocking(true).expect("the mode is set");
        let has_input = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).expect("the mode is set");
        has_input
    }

    /// Reads the next line without its line end. Returns an empty line at the end of the stream or after a
    /// reset.
    pub(crate) fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(_) => line.trim_end().to_owned(),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => String::new(),
            Err(e) => panic!("no line was read: {e}"),
        }
    }

    /// Skips lines up to the next one that contains `text`, and returns it. Panics if the stream ends before.
    pub(crate) fn expect_line(&mut self, text: &str) -> String {
        loop {
            let line = self.read_line();
            assert!(!line.is_empty(), "the stream ended before a line with '{text}'");
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Reads up to the end of the stream or a reset.
    pub(crate) fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        match self.reader.read_to_end(&mut bytes) {
            Err(e) if e.kind() != std::io::ErrorKind::ConnectionReset => {
                panic!("the stream did not end: {e}")
            }
            _ => String::from_utf8_lossy(&bytes).into_owned(),
        }
    }
}
