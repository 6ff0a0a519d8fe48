//! A server whose message time grows with its number of connections.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Number of connections at which a server is fully used.
const CAPACITY: f64 = 30.0;
/// Message time of an idle server.
const SERVICE_MILLIS: f64 = 5.0;
/// Upper bound of the utilisation from which message times are computed. It avoids a division by zero.
const MAX_UTILISATION: f64 = 0.98;
/// Duration of a connection setup, in message times.
const SETUP_MESSAGES: f64 = 2.0;
/// A server reports message times above this threshold, a third of the objective.
const REPORTED_MILLIS: f64 = 100.0 / 3.0;

/// A server that listens on a loopback port.
#[derive(Default)]
pub(crate) struct FakeServer {
    up: AtomicBool,
    /// `None` while the server is down.
    address: Mutex<Option<SocketAddr>>,
    /// Unix time of the start in milliseconds; 0 if the server has run since before the bench.
    started_at_millis: Mutex<u128>,
    /// Established connections.
    streams: Mutex<Vec<TcpStream>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds the lock")
}

impl FakeServer {
    /// Returns the address that the server listens on, or `None` while it is down.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        *lock(&self.address)
    }

    pub(crate) fn started_at_millis(&self) -> u128 {
        *lock(&self.started_at_millis)
    }

    /// Sets the time of the start to the present time.
    pub(crate) fn record_start(&self) {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        *lock(&self.started_at_millis) = unix_time.map_or(0, |since| since.as_millis());
    }

    /// Returns the number of established connections.
    pub(crate) fn connections(&self) -> usize {
        lock(&self.streams).len()
    }

    /// Returns the message time, which grows with the utilisation as in a queue.
    pub(crate) fn message_millis(&self) -> f64 {
        let utilisation = self.connections() as f64 / CAPACITY;
        SERVICE_MILLIS / (1.0 - utilisation.min(MAX_UTILISATION))
    }

    /// Starts to listen on a new port and to serve connections.
    pub(crate) fn start(self: &Arc<FakeServer>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
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
        let reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        let peer = stream.peer_addr().ok();
        for line in reader.lines().map_while(Result::ok) {
            if line.starts_with("OPEN ") {
                let setup_seconds = self.message_millis() * SETUP_MESSAGES / 1000.0;
                std::thread::sleep(Duration::from_secs_f64(setup_seconds));
                lock(&self.streams).push(stream.try_clone().expect("the socket can be cloned"));
                let _ = stream.write_all(b"UP 1\r\nLOAD 60000\r\n");
            }
        }
        let is_other_open = |other: &TcpStream| other.peer_addr().ok() != peer && other.peer_addr().is_ok();
        lock(&self.streams).retain(is_other_open);
    }

    /// Closes all connections and the port.
    pub(crate) fn die(&self) {
        self.up.store(false, Ordering::SeqCst);
        let address = lock(&self.address).take();
        let streams = std::mem::take(&mut *lock(&self.streams));
        streams.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        // The listener's thread blocks until the next connection. This connection lets it end.
        address.map(TcpStream::connect);
    }

    /// Reports the message time on one connection if it is above the threshold.
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
