//! A discovery that serves several daemons by itself, and fails as a test tells it to.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What becomes of calls to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Service {
    /// They are answered, at once or when something changes.
    Answers,
    /// They are answered so much later than they could be.
    Slow(Duration),
    /// They are accepted and never answered.
    Silent,
    /// They are answered 503.
    Overloaded,
    /// Connections are refused.
    Down,
}

struct State {
    service: Service,
    generation: u32,
    /// Entries by name, each with the generation that changed it.
    entries: BTreeMap<String, (u32, String)>,
    /// Connections on which a call is held.
    held: Vec<TcpStream>,
    /// Calls that were answered with a list or changes of it.
    answers: usize,
}

/// A discovery for several daemons.
pub(crate) struct DiscoveryService {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl DiscoveryService {
    /// A service whose first list has these entries, by name.
    pub(crate) fn start(entries: &[(&str, String)]) -> DiscoveryService {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let entries = entries.iter().map(|(name, entry)| ((*name).to_owned(), (1, entry.clone()))).collect();
        let state = State { service: Service::Answers, generation: 1, entries, held: Vec::new(), answers: 0 };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let for_calls = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if for_calls.0.lock().unwrap().service == Service::Down {
                    return;
                }
                let shared = for_calls.clone();
                std::thread::spawn(move || serve_connection(&shared, &stream));
            }
        });
        DiscoveryService { address, shared }
    }

    /// The number of calls that are held now.
    pub(crate) fn held_calls(&self) -> usize {
        self.shared.0.lock().unwrap().held.len()
    }

    /// Makes all calls that are held fall silent, and has later ones served in this way.
    pub(crate) fn silence_held_calls(&self, service: Service) {
        let mut state = self.shared.0.lock().unwrap();
        state.service = service;
        // Connections that stay open and are never written to again.
        state.held.drain(..).for_each(std::mem::forget);
        self.shared.1.notify_all();
        drop(state);
        if service == Service::Down {
            // The listener is closed when it has accepted this connection.
            drop(TcpStream::connect(self.address));
        }
    }

    /// Resets all calls that are held, and has later ones served in this way.
    pub(crate) fn reset_held_calls(&self, service: Service) {
        let mut state = self.shared.0.lock().unwrap();
        state.service = service;
        state.held.drain(..).for_each(super::reset_connection);
        self.shared.1.notify_all();
    }

    /// Has calls from now on served in this way.
    pub(crate) fn set_service(&self, service: Service) {
        self.shared.0.lock().unwrap().service = service;
    }

    /// The number of calls that were answered with a list or changes of it.
    pub(crate) fn answers(&self) -> usize {
        self.shared.0.lock().unwrap().answers
    }

    /// Answers all calls that are held with a generation that changes nothing.
    pub(crate) fn publish_unchanged(&self) {
        self.shared.0.lock().unwrap().generation += 1;
        self.shared.1.notify_all();
    }

    /// Changes an entry.
    pub(crate) fn publish(&self, name: &str, entry: String) {
        let mut state = self.shared.0.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        state.entries.insert(name.to_owned(), (generation, entry));
        self.shared.1.notify_all();
    }
}

/// What a call asks for.
struct Call {
    since: Option<u32>,
    hold: Duration,
}

impl Call {
    fn parse(line: &str) -> Call {
        let number = |key: &str| {
            let (_, rest) = line.split_once(key)?;
            rest.split(['&', ' ']).next()?.parse::<u32>().ok()
        };
        Call {
            since: number("from="),
            hold: Duration::from_millis(number("hold_ms=").unwrap_or_default().into()),
        }
    }
}

fn serve_connection(shared: &(Mutex<State>, Condvar), stream: &TcpStream) {
    let reader = BufReader::new(stream.try_clone().expect("a clone"));
    for line in reader.lines().map_while(Result::ok).filter(|line| line.starts_with("GET ")) {
        match answer(shared, stream, &Call::parse(&line)) {
            Some(answer) => drop((&*stream).write_all(answer.as_bytes())),
            None => return,
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// The answer to a call; none if it fell silent.
fn answer(shared: &(Mutex<State>, Condvar), stream: &TcpStream, call: &Call) -> Option<String> {
    let until = Instant::now() + call.hold;
    let mut state = shared.0.lock().unwrap();
    match state.service {
        Service::Answers | Service::Slow(_) => {}
        Service::Overloaded => {
            return Some("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned());
        }
        Service::Silent | Service::Down => {
            state.held.push(stream.try_clone().expect("a clone"));
            return None;
        }
    }
    let peer = stream.peer_addr().expect("a peer");
    state.held.push(stream.try_clone().expect("a clone"));
    let is_held = |state: &State| state.held.iter().any(|held| held.peer_addr().is_ok_and(|at| at == peer));
    while is_held(&state) && call.since == Some(state.generation) && Instant::now() < until {
        let wait = until.saturating_duration_since(Instant::now());
        state = shared.1.wait_timeout(state, wait).unwrap().0;
    }
    if let Service::Slow(delay) = state.service {
        drop(state);
        std::thread::sleep(delay);
        state = shared.0.lock().unwrap();
    }
    if !is_held(&state) {
        return None;
    }
    state.held.retain(|held| held.peer_addr().is_ok_and(|at| at != peer));
    state.answers += 1;
    let changed = state.entries.values().filter(|(at, _)| call.since.is_none_or(|since| *at > since));
    let entries: Vec<String> = changed.map(|(_, entry)| entry.clone()).collect();
    let list = super::endpoint_list(state.generation, call.since.is_none(), &entries);
    Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()))
}
