//! A fake IRC server.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// How a fake IRC server replies to a registration.
#[derive(Clone)]
pub(crate) enum RegistrationReply {
    /// Sends a `PING`, and the welcome only after the matching `PONG`.
    Welcome,
    /// Sends this line and closes the connection.
    ReplyAndClose(&'static str),
    /// Closes the connection without a reply.
    CloseWithoutReply,
    /// Sends no reply and keeps the connection open.
    Silent,
}

/// A fake IRC server (RFC 2812), which records every line that it receives.
pub(crate) struct FakeIrcServer {
    pub address: SocketAddr,
    /// The received lines of all connections, in order of arrival.
    pub received_lines: Arc<Mutex<Vec<String>>>,
    /// All accepted connections, including closed ones.
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl FakeIrcServer {
    pub(crate) fn start(reply: RegistrationReply) -> FakeIrcServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
        let address = listener.local_addr().expect("the listener has an address");
        let (lines, streams) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let server = FakeIrcServer { address, received_lines: lines.clone(), streams: streams.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (reply, lines) = (reply.clone(), lines.clone());
                streams.lock().unwrap().push(stream.try_clone().expect("the stream is cloned"));
                std::thread::spawn(move || {
                    let stream_to_close = stream.try_clone().expect("the stream is cloned");
                    FakeIrcServer::serve(stream, reply, &lines);
                    let _ = stream_to_close.shutdown(Shutdown::Both);
                });
            }
        });
        server
    }

    fn serve(mut stream: TcpStream, reply: RegistrationReply, lines: &Mutex<Vec<String>>) {
        let mut reader = BufReader::new(stream.try_clone().expect("the stream is cloned"));
        let (mut line, mut nick, mut is_welcomed) = (String::new(), String::new(), false);
        while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
            let text = line.trim_end().to_owned();
            line.clear();
            lines.lock().unwrap().push(text.clone());
            let mut send = |text: &str| drop(stream.write_all(format!("{text}\r\n").as_bytes()));
            match text.split_once(' ').unwrap_or((&text, "")) {
                ("NICK", name) => nick = name.to_owned(),
                ("USER", _) => match &reply {
                    RegistrationReply::Welcome => {
                        send(":irc.test NOTICE * :*** Looking up your hostname");
                        send("PING :cookie-17");
                    }
                    RegistrationReply::ReplyAndClose(line) => {
                        send(line);
                        return;
                    }
                    RegistrationReply::CloseWithoutReply => return,
                    RegistrationReply::Silent => {}
                },
                ("PONG", ":cookie-17") if !is_welcomed => {
                    is_welcomed = true;
                    send(&format!(":irc.test 001 {nick} :Welcome"));
                }
                ("PRIVMSG", rest) => send(&format!(":{nick}!u@h PRIVMSG {rest}")),
                ("QUIT", _) => {
                    send("ERROR :Closing Link: bye");
                    return;
                }
                _ => {}
            }
        }
    }

    /// Returns whether the server has received this line.
    pub(crate) fn received(&self, line: &str) -> bool {
        self.received_lines.lock().unwrap().iter().any(|l| l == line)
    }

    /// Returns the number of received lines.
    pub(crate) fn received_line_count(&self) -> usize {
        self.received_lines.lock().unwrap().len()
    }

    /// Sends a line over every connection.
    pub(crate) fn send_line(&self, line: &str) {
        for stream in self.streams.lock().unwrap().iter_mut() {
            let _ = stream.write_all(format!("{line}\r\n").as_bytes());
        }
    }

    /// Closes every connection.
    pub(crate) fn close_all(&self) {
        for stream in self.streams.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
