//! A client that sends and reads lines.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

use super::MAX_WAIT;

/// A client that sends and reads lines.
pub(crate) struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub(crate) fn connect(address: &str) -> Client {
        Client::over(TcpStream::connect(address).expect("connects"))
    }

    /// A client over a connection that is open already.
    pub(crate) fn over(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(MAX_WAIT)).expect("a socket");
        Client { reader: BufReader::new(stream) }
    }

    /// A client that registers as `nick`.
    pub(crate) fn register(address: &str, nick: &str) -> Client {
        let mut client = Client::connect(address);
        client.send_line(&format!("NICK {nick}\r\nUSER u 0 * :A tool"));
        client
    }

    /// The connection, to write to. Its lines are read by the methods below.
    pub(crate) fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub(crate) fn into_stream(self) -> TcpStream {
        self.reader.into_inner()
    }

    pub(crate) fn send_line(&mut self, line: &str) {
        self.stream().write_all(format!("{line}\r\n").as_bytes()).expect("written");
    }

    /// The next line; empty at the end.
    pub(crate) fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(_) => line.trim_end().to_owned(),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => String::new(),
            Err(e) => panic!("no line: {e}"),
        }
    }

    /// The next line that contains this; panics if there is none.
    pub(crate) fn expect_line(&mut self, part: &str) -> String {
        loop {
            let line = self.read_line();
            assert!(!line.is_empty(), "the end came before '{part}'");
            if line.contains(part) {
                return line;
            }
        }
    }

    /// All that comes up to the end.
    pub(crate) fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        match self.reader.read_to_end(&mut bytes) {
            Err(e) if e.kind() != std::io::ErrorKind::ConnectionReset => panic!("no end: {e}"),
            _ => String::from_utf8_lossy(&bytes).into_owned(),
        }
    }
}
