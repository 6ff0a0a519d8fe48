//! A fake IRC server.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// How a fake IRC server answers a registration.
#[derive(Clone)]
pub(crate) enum Behaviour {
    /// `PING` first, and the welcome only after the right `PONG`.
    Welcome,
    /// This line, then it closes.
    Replies(&'static str),
    /// It closes without a reply.
    Closes,
    /// No reply.
    Silent,
}

/// A fake IRC server (RFC 2812): it keeps every line that it is sent.
pub(crate) struct Server {
    pub address: SocketAddr,
    pub lines: Arc<Mutex<Vec<String>>>,
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub(crate) fn start(behaviour: Behaviour) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (lines, streams) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let server = Server { address, lines: lines.clone(), streams: streams.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (behaviour, lines) = (behaviour.clone(), lines.clone());
                streams.lock().unwrap().push(stream.try_clone().expect("a clone"));
                std::thread::spawn(move || {
                    let end = stream.try_clone().expect("a clone");
                    Server::serve(stream, behaviour, &lines);
                    let _ = end.shutdown(Shutdown::Both);
                });
            }
        });
        server
    }

    fn serve(mut stream: TcpStream, behaviour: Behaviour, lines: &Mutex<Vec<String>>) {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        let (mut line, mut nick, mut welcome) = (String::new(), String::new(), false);
        while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
            let text = line.trim_end().to_owned();
            line.clear();
            lines.lock().unwrap().push(text.clone());
            let mut send = |text: &str| drop(stream.write_all(format!("{text}\r\n").as_bytes()));
            match text.split_once(' ').unwrap_or((&text, "")) {
                ("NICK", name) => nick = name.to_owned(),
                ("USER", _) => match &behaviour {
                    Behaviour::Welcome => {
                        send(":irc.test NOTICE * :*** Looking up your hostname");
                        send("PING :cookie-17");
                    }
                    Behaviour::Replies(line) => {
                        send(line);
                        return;
                    }
                    Behaviour::Closes => return,
                    Behaviour::Silent => {}
                },
                ("PONG", ":cookie-17") if !welcome => {
                    welcome = true;
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

    /// Whether it was sent this line.
    pub(crate) fn has(&self, line: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|l| l == line)
    }

    /// Number of lines that it was sent.
    pub(crate) fn count(&self) -> usize {
        self.lines.lock().unwrap().len()
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
