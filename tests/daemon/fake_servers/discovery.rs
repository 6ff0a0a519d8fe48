//! A discovery service for any number of daemons, whose replies a test scripts or sends itself.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::MAX_WAIT;

/// Number of bytes of an interrupted reply that are sent: the head, and a part of the body.
const INTERRUPTED_REPLY_BYTES: usize = 60;

/// How the service replies to a call.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// The endpoint list or its changes, at once or when something changes.
    EndpointList,
    /// The same, later by this much than it could be.
    LateEndpointList(Duration),
    /// Status 200 with this body.
    Body(String),
    /// The same, after this delay.
    LateBody(String, Duration),
    /// This status without a body.
    Status(u16),
    /// The head and a part of this body; then the connection is closed.
    InterruptedBody(String),
    /// None: the connection stays open.
    Silence,
    /// What the test sends: [`Discovery::next_call`] returns the call.
    ByTest,
}

/// A call that was received: its request line and when it came.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedCall {
    pub at: Instant,
    pub request: String,
}

/// A call that the test replies to.
pub(crate) struct Call {
    pub request: String,
    pub stream: TcpStream,
}

impl Call {
    /// Replies with an endpoint list, or whatever this text is.
    pub(crate) fn send_endpoint_list(&self, list: &str) {
        self.send(&http_response(200, list));
    }

    /// Replies with this status and no body.
    pub(crate) fn send_status(&self, status: u16) {
        self.send(&http_response(status, ""));
    }

    fn send(&self, response: &str) {
        (&self.stream).write_all(response.as_bytes()).expect("written");
    }
}

struct State {
    /// Replies to the next calls, in order.
    script: VecDeque<Reply>,
    /// The reply to each call after the script's end.
    reply: Reply,
    is_listening: bool,
    generation: u32,
    /// Entries by name, each with the generation that changed it.
    entries: BTreeMap<String, (u32, String)>,
    /// Connections with a call that waits for a change, or that is not replied to.
    open_calls: Vec<TcpStream>,
    received_calls: Vec<ReceivedCall>,
    /// Number of calls that were replied to with a list or changes of it.
    lists_sent: usize,
}

impl State {
    fn is_open(&self, peer: SocketAddr) -> bool {
        self.open_calls.iter().any(|open| open.peer_addr().is_ok_and(|at| at == peer))
    }

    /// The list, or its changes since the generation that the call names.
    fn endpoint_list(&self, since: Option<u32>) -> String {
        let changed = self.entries.values().filter(|(at, _)| since.is_none_or(|since| *at > since));
        let entries: Vec<String> = changed.map(|(_, entry)| entry.clone()).collect();
        endpoint_list(self.generation, since.is_none(), &entries)
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    calls_for_test: Sender<Call>,
}

/// The discovery service. Its threads run until the test's process ends.
pub(crate) struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    calls: Receiver<Call>,
}

impl Discovery {
    /// A service whose every call the test replies to.
    pub(crate) fn by_test() -> Discovery {
        Discovery::start(Vec::new(), Reply::ByTest, &[])
    }

    /// A service that sends these replies, one for each call, and then is silent.
    pub(crate) fn scripted(script: Vec<Reply>) -> Discovery {
        Discovery::start(script, Reply::Silence, &[])
    }

    /// A service whose first list has these entries, by name.
    pub(crate) fn serving(entries: &[(&str, String)]) -> Discovery {
        Discovery::start(Vec::new(), Reply::EndpointList, entries)
    }

    fn start(script: Vec<Reply>, reply: Reply, entries: &[(&str, String)]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (calls_for_test, calls) = channel();
        let state = State {
            script: script.into(),
            reply,
            is_listening: true,
            generation: 1,
            entries: entries.iter().map(|(name, entry)| ((*name).to_owned(), (1, entry.clone()))).collect(),
            open_calls: Vec::new(),
            received_calls: Vec::new(),
            lists_sent: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new(), calls_for_test });
        let discovery = Discovery { address, shared: shared.clone(), calls };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !shared.lock().is_listening {
                    return;
                }
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve_connection(&stream));
            }
        });
        discovery
    }

    /// The next call that the test replies to.
    pub(crate) fn next_call(&self) -> Call {
        self.calls.recv_timeout(MAX_WAIT).expect("a call")
    }

    /// All calls so far.
    pub(crate) fn received_calls(&self) -> Vec<ReceivedCall> {
        self.shared.lock().received_calls.clone()
    }

    /// Number of calls that are open now.
    pub(crate) fn open_calls(&self) -> usize {
        self.shared.lock().open_calls.len()
    }

    /// Number of calls that were replied to with a list or changes of it.
    pub(crate) fn lists_sent(&self) -> usize {
        self.shared.lock().lists_sent
    }

    /// Sets the reply to later calls.
    pub(crate) fn set_reply(&self, reply: Reply) {
        self.shared.lock().reply = reply;
    }

    /// Never replies to the open calls, and sets the reply to later ones.
    pub(crate) fn silence_open_calls(&self, reply: Reply) {
        let mut state = self.shared.lock();
        state.reply = reply;
        // Connections that stay open and are never written to again.
        state.open_calls.drain(..).for_each(std::mem::forget);
        self.shared.changed.notify_all();
    }

    /// Resets the open calls, and sets the reply to later ones.
    pub(crate) fn reset_open_calls(&self, reply: Reply) {
        let mut state = self.shared.lock();
        state.reply = reply;
        state.open_calls.drain(..).for_each(super::reset_connection);
        self.shared.changed.notify_all();
    }

    /// Never replies to any call again, and refuses connections.
    pub(crate) fn stop_listening(&self) {
        self.shared.lock().is_listening = false;
        self.silence_open_calls(Reply::Silence);
        // The listener is closed when it has accepted this connection.
        drop(TcpStream::connect(self.address));
    }

    /// Replies to all open calls with a generation that changes nothing.
    pub(crate) fn publish_unchanged(&self) {
        self.shared.lock().generation += 1;
        self.shared.changed.notify_all();
    }

    /// Changes an entry.
    pub(crate) fn publish(&self, name: &str, entry: String) {
        let mut state = self.shared.lock();
        state.generation += 1;
        let generation = state.generation;
        state.entries.insert(name.to_owned(), (generation, entry));
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Replies to the calls of a connection, one after another.
    fn serve_connection(&self, stream: &TcpStream) {
        let reader = BufReader::new(stream.try_clone().expect("a clone"));
        let mut request = String::new();
        for line in reader.lines().map_while(Result::ok) {
            if line.starts_with("GET ") {
                request = line;
                let received_call = ReceivedCall { at: Instant::now(), request: request.clone() };
                self.lock().received_calls.push(received_call);
            } else if line.is_empty() && !self.reply_to_call(stream, &request) {
                return;
            }
        }
    }

    /// Replies to a call. Returns whether the connection's next call is read.
    fn reply_to_call(&self, stream: &TcpStream, request: &str) -> bool {
        let mut state = self.lock();
        let reply = state.script.pop_front().unwrap_or_else(|| state.reply.clone());
        let response = match reply {
            Reply::EndpointList | Reply::LateEndpointList(_) => self.await_list(state, stream, request),
            Reply::Body(body) => Some(http_response(200, &body)),
            Reply::LateBody(body, delay) => {
                drop(state);
                std::thread::sleep(delay);
                Some(http_response(200, &body))
            }
            Reply::Status(status) => Some(http_response(status, "")),
            Reply::InterruptedBody(body) => {
                let _ =
                    (&*stream).write_all(&http_response(200, &body).as_bytes()[..INTERRUPTED_REPLY_BYTES]);
                let _ = stream.shutdown(Shutdown::Both);
                return false;
            }
            Reply::Silence => {
                state.open_calls.push(stream.try_clone().expect("a clone"));
                return false;
            }
            Reply::ByTest => {
                let call = Call { request: request.to_owned(), stream: stream.try_clone().expect("a clone") };
                let _ = self.calls_for_test.send(call);
                return true;
            }
        };
        let Some(response) = response else { return false };
        let _ = (&*stream).write_all(response.as_bytes());
        true
    }

    /// Waits until there is a change or the call's time is over. Returns the response, or none if the call was silenced
    /// or reset meanwhile.
    fn await_list<'a>(
        &'a self,
        mut state: MutexGuard<'a, State>,
        stream: &TcpStream,
        request: &str,
    ) -> Option<String> {
        let since = parameter(request, "from=");
        let hold = Duration::from_millis(parameter(request, "hold_ms=").unwrap_or_default().into());
        let until = Instant::now() + hold;
        let peer = stream.peer_addr().expect("a peer");
        state.open_calls.push(stream.try_clone().expect("a clone"));
        while state.is_open(peer) && since == Some(state.generation) && Instant::now() < until {
            let wait = until.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
        if let Reply::LateEndpointList(delay) = state.reply {
            drop(state);
            std::thread::sleep(delay);
            state = self.lock();
        }
        if !state.is_open(peer) {
            return None;
        }
        state.open_calls.retain(|open| open.peer_addr().is_ok_and(|at| at != peer));
        state.lists_sent += 1;
        Some(http_response(200, &state.endpoint_list(since)))
    }
}

/// The value of a parameter in a request line.
fn parameter(request: &str, key: &str) -> Option<u32> {
    let (_, rest) = request.split_once(key)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

fn http_response(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// An endpoint as discovery writes it.
pub(crate) fn endpoint(name: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId": "{name}", "hostPort": "{address}", "zone": "a", "lifecycle": "{lifecycle}", "weight": 1.0}}"#
    )
}

/// An endpoint list as discovery writes it: a snapshot of the whole list, or changes.
pub(crate) fn endpoint_list(generation: u32, is_snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"generation": {generation}, "reset": {is_snapshot}, "instances": [{}]}}"#, entries.join(","))
}
