//! A server whose messages take longer the fuller it is.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Connections that fill a server.
const CAPACITY: f64 = 30.0;
/// Time of a message at an idle server.
const SERVICE_MILLIS: f64 = 5.0;
/// The most use of the capacity that message times are computed for.
const MAX_USE: f64 = 0.98;
/// A setup takes so many messages' time.
const SETUP_MESSAGES: f64 = 2.0;
/// A server reports message times above this: a third of the objective.
const REPORTED_MILLIS: f64 = 100.0 / 3.0;

/// A server at a port of this machine.
#[derive(Default)]
pub(crate) struct FakeServer {
    up: AtomicBool,
    address: Mutex<Option<SocketAddr>>,
    /// Unix time in milliseconds; 0 if it has run since before the bench.
    started_at_millis: Mutex<u128>,
    streams: Mutex<Vec<TcpStream>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds the lock")
}

impl FakeServer {
    /// The address that it listens on, while it is up.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        *lock(&self.address)
    }

    pub(crate) fn started_at_millis(&self) -> u128 {
        *lock(&self.started_at_millis)
    }

    /// Notes that its process starts now.
    pub(crate) fn record_start(&self) {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        *lock(&self.started_at_millis) = unix_time.map_or(0, |since| since.as_millis());
    }

    /// Number of established connections.
    pub(crate) fn connections(&self) -> usize {
        lock(&self.streams).len()
    }

    /// The time of a message, which grows with the use of the capacity as in a queue.
    pub(crate) fn message_millis(&self) -> f64 {
        let used = self.connections() as f64 / CAPACITY;
        SERVICE_MILLIS / (1.0 - used.min(MAX_USE))
    }

    /// Listens on a new port.
    pub(crate) fn start(self: &Arc<FakeServer>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        *lock(&self.address) = listener.local_addr().ok();
        self.up.store(true, Ordering::SeqCst);
        let server = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !server.up.load(Ordering::SeqCst) {
                    return;
                }
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let reader = BufReader::new(stream.try_clone().expect("a second handle of the socket"));
        let peer = stream.peer_addr().ok();
        for line in reader.lines().map_while(Result::ok) {
            if line.starts_with("OPEN ") {
                let setup_seconds = self.message_millis() * SETUP_MESSAGES / 1000.0;
                std::thread::sleep(Duration::from_secs_f64(setup_seconds));
                lock(&self.streams).push(stream.try_clone().expect("a second handle of the socket"));
                let _ = stream.write_all(b"UP 1\r\nLOAD 60000\r\n");
            }
        }
        let is_other = |other: &TcpStream| other.peer_addr().ok() != peer && other.peer_addr().is_ok();
        lock(&self.streams).retain(is_other);
    }

    /// Resets all connections and closes the port.
    pub(crate) fn die(&self) {
        self.up.store(false, Ordering::SeqCst);
        let address = lock(&self.address).take();
        let streams = std::mem::take(&mut *lock(&self.streams));
        streams.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        // Wakes the listener, which ends.
        address.map(TcpStream::connect);
    }

    /// Reports the message time on one connection, if messages are slow.
    pub(crate) fn report_message_time(&self) {
        let millis = self.message_millis();
        if millis <= REPORTED_MILLIS {
            return;
        }
        if let Some(mut stream) = lock(&self.streams).first() {
            let _ = stream.write_all(format!("LOAD {millis:.0}\r\n").as_bytes());
        }
    }
}
