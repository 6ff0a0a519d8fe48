//! A fake discovery service for any number of daemons. A test scripts its replies or sends them itself.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::MAX_WAIT;

/// Number of bytes of an interrupted reply that are sent: the head and a part of the body.
const INTERRUPTED_REPLY_BYTES: usize = 60;

/// How the service replies to a call.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Sends the endpoint list, or its changes as soon as there are any.
    EndpointList,
    /// Replies as [`Reply::EndpointList`], with this additional delay.
    LateEndpointList(Duration),
    /// Sends status 200 with this body.
    Body(String),
    /// Sends status 200 with this body after this delay.
    LateBody(String, Duration),
    /// Sends this status without a body.
    Status(u16),
    /// Sends this status without a body after this delay.
    LateStatus(u16, Duration),
    /// Resets the connection after this delay.
    LateReset(Duration),
    /// Sends the head and a part of this body, then closes the connection.
    InterruptedBody(String),
    /// Sends nothing and keeps the connection open.
    Silence,
    /// Leaves the reply to the test, which gets the call from [`Discovery::next_call`].
    Manual,
}

/// Record of a received call.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedCall {
    pub received_at: Instant,
    /// The HTTP request line.
    pub request: String,
}

/// A call to which the test replies.
pub(crate) struct Call {
    /// The HTTP request line.
    pub request: String,
    pub stream: TcpStream,
}

impl Call {
    /// Replies with status 200 and this body, usually an endpoint list.
    pub(crate) fn send_body(&self, body: &str) {
        self.send(&http_response(200, body));
    }

    /// Replies with this status and an empty body.
    pub(crate) fn send_status(&self, status: u16) {
        self.send(&http_response(status, ""));
    }

    fn send(&self, response: &str) {
        (&self.stream).write_all(response.as_bytes()).expect("the response is written");
    }
}

struct State {
    /// Replies to the next calls, in order.
    script: VecDeque<Reply>,
    /// The reply to each call after the end of the script.
    reply: Reply,
    is_listening: bool,
    generation: u32,
    /// Entries by server name, each with the generation that last changed it.
    entries: BTreeMap<String, (u32, String)>,
    /// Connections whose call waits for a change or gets no reply.
    open_calls: Vec<TcpStream>,
    received_calls: Vec<ReceivedCall>,
    /// Number of replies with a list or changes of it.
    lists_sent: usize,
}

impl State {
    fn is_open(&self, peer: SocketAddr) -> bool {
        self.open_calls.iter().any(|open| open.peer_addr().is_ok_and(|at| at == peer))
    }

    /// Returns the list, or its changes since the generation that the call names.
    fn endpoint_list(&self, since: Option<u32>) -> String {
        let changed =
            self.entries.values().filter(|(changed_in, _)| since.is_none_or(|since| *changed_in > since));
        let entries: Vec<String> = changed.map(|(_, entry)| entry.clone()).collect();
        endpoint_list(self.generation, since.is_none(), &entries)
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    calls_for_test: Sender<Call>,
}

/// The fake discovery service. Its threads run until the test process ends.
pub(crate) struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    calls: Receiver<Call>,
}

impl Discovery {
    /// Starts a service whose calls the test replies to, each by [`Discovery::next_call`].
    pub(crate) fn manual() -> Discovery {
        Discovery::start(Vec::new(), Reply::Manual, &[])
    }

    /// Starts a service that sends these replies, one for each call, and leaves later calls without a reply.
    pub(crate) fn scripted(script: Vec<Reply>) -> Discovery {
        Discovery::start(script, Reply::Silence, &[])
    }

    /// Starts a service whose list initially has these entries, by server name.
    pub(crate) fn serving(entries: &[(&str, String)]) -> Discovery {
        Discovery::start(Vec::new(), Reply::EndpointList, entries)
    }

    fn start(script: Vec<Reply>, reply: Reply, entries: &[(&str, String)]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
        let address = listener.local_addr().expect("the listener has an address");
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

    /// Waits for the next call, to which the test replies.
    pub(crate) fn next_call(&self) -> Call {
        self.calls.recv_timeout(MAX_WAIT).expect("a call arrives")
    }

    /// Returns the records of all calls so far, in order of arrival.
    pub(crate) fn received_calls(&self) -> Vec<ReceivedCall> {
        self.shared.lock().received_calls.clone()
    }

    /// Returns the number of calls that currently wait for a change or get no reply.
    pub(crate) fn open_calls(&self) -> usize {
        self.shared.lock().open_calls.len()
    }

    /// Returns the number of replies with a list or changes of it.
    pub(crate) fn lists_sent(&self) -> usize {
        self.shared.lock().lists_sent
    }

    /// Sets the reply to later calls.
    pub(crate) fn set_reply(&self, reply: Reply) {
        self.shared.lock().reply = reply;
    }

    /// Leaves the open calls without a reply forever, and sets the reply to later ones.
    pub(crate) fn silence_open_calls(&self, reply: Reply) {
        let mut state = self.shared.lock();
        state.reply = reply;
        // A dropped stream would close its connection.
        state.open_calls.drain(..).for_each(std::mem::forget);
        self.shared.changed.notify_all();
    }

    /// Resets the connections of the open calls, and sets the reply to later ones.
    pub(crate) fn reset_open_calls(&self, reply: Reply) {
        let mut state = self.shared.lock();
        state.reply = reply;
        state.open_calls.drain(..).for_each(super::reset_connection);
        self.shared.changed.notify_all();
    }

    /// Sends this status to the open calls, and sets the reply to later ones.
    pub(crate) fn answer_open_calls(&self, status: u16, reply: Reply) {
        let mut state = self.shared.lock();
        state.reply = reply;
        let response = http_response(status, "");
        for mut stream in state.open_calls.drain(..) {
            stream.write_all(response.as_bytes()).expect("the response is written");
            // A dropped stream would close its connection.
            std::mem::forget(stream);
        }
        self.shared.changed.notify_all();
    }

    /// Leaves all calls without a reply from now on, and refuses connections.
    pub(crate) fn stop_listening(&self) {
        self.shared.lock().is_listening = false;
        self.silence_open_calls(Reply::Silence);
        // The accepting thread closes the listener once it has accepted this connection.
        drop(TcpStream::connect(self.address));
    }

    /// Replies to all open calls with a new generation without changes.
    pub(crate) fn publish_unchanged(&self) {
        self.shared.lock().generation += 1;
        self.shared.changed.notify_all();
    }

    /// Replaces an entry and replies to all open calls with the change.
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

    /// Replies to the calls of a connection in order.
    fn serve_connection(&self, stream: &TcpStream) {
        let reader = BufReader::new(stream.try_clone().expect("the stream is cloned"));
        let mut request = String::new();
        for line in reader.lines().map_while(Result::ok) {
            if line.starts_with("GET ") {
                request = line;
                let received_call = ReceivedCall { received_at: Instant::now(), request: request.clone() };
                self.lock().received_calls.push(received_call);
            } else if line.is_empty() && !self.reply_to_call(stream, &request) {
                return;
            }
        }
    }

    /// Replies to a call. Returns whether the next call is read from the connection.
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
            Reply::LateStatus(status, delay) => {
                drop(state);
                std::thread::sleep(delay);
                Some(http_response(status, ""))
            }
            Reply::LateReset(delay) => {
                drop(state);
                std::thread::sleep(delay);
                // The daemon may have closed the connection meanwhile.
                let _ = rustix::net::connect_unspec(stream);
                return false;
            }
            Reply::InterruptedBody(body) => {
                let _ =
                    (&*stream).write_all(&http_response(200, &body).as_bytes()[..INTERRUPTED_REPLY_BYTES]);
                let _ = stream.shutdown(Shutdown::Both);
                return false;
            }
            Reply::Silence => {
                state.open_calls.push(stream.try_clone().expect("the stream is cloned"));
                return false;
            }
            Reply::Manual => {
                let call = Call {
                    request: request.to_owned(),
                    stream: stream.try_clone().expect("the stream is cloned"),
                };
                let _ = self.calls_for_test.send(call);
                return true;
            }
        };
        let Some(response) = response else { return false };
        let _ = (&*stream).write_all(response.as_bytes());
        true
    }

    /// Waits until there is a change or the call's hold ends. Returns the response, or none if the call was
    /// silenced or reset meanwhile.
    fn await_list<'a>(
        &'a self,
        mut state: MutexGuard<'a, State>,
        stream: &TcpStream,
        request: &str,
    ) -> Option<String> {
        let since = parameter(request, "from=");
        let hold = Duration::from_millis(parameter(request, "hold_ms=").unwrap_or_default().into());
        let hold_end = Instant::now() + hold;
        let peer = stream.peer_addr().expect("the stream has a peer address");
        state.open_calls.push(stream.try_clone().expect("the stream is cloned"));
        while state.is_open(peer) && since == Some(state.generation) && Instant::now() < hold_end {
            let wait = hold_end.saturating_duration_since(Instant::now());
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

/// Returns the value of a numeric parameter in a request line. `key` includes the equals sign.
fn parameter(request: &str, key: &str) -> Option<u32> {
    let (_, rest) = request.split_once(key)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

fn http_response(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns an entry of a list in the JSON form of discovery.
pub(crate) fn endpoint(name: &str, address: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId": "{name}", "hostPort": "{address}", "zone": "a", "lifecycle": "{lifecycle}", "weight": 1.0}}"#
    )
}

/// Returns the body of a reply in the JSON form of discovery: a snapshot of the whole list, or its changes.
pub(crate) fn endpoint_list(generation: u32, is_snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"generation": {generation}, "reset": {is_snapshot}, "instances": [{}]}}"#, entries.join(","))
}
