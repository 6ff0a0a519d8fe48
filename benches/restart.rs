//! A restart over real sockets, with rebalancing off and on side by side in one run: how a server that comes back is
//! filled, and how long messages take meanwhile. `cargo bench --bench restart`, 45 s.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SHOPS: usize = 5;
/// Connections that fill a shop, and clients in all: 0.8 of what the shops can do.
const CAPACITY: f64 = 30.0;
const CLIENTS: usize = 120;
/// Mean life of a connection, in seconds.
const LIFE: f64 = 15.0;
const SECONDS: u64 = 45;
/// The first shop dies then, and is back so much later.
const DIES: u64 = 12;
const DOWN: u64 = 2;

#[derive(Default)]
struct Shop {
    up: AtomicBool,
    address: Mutex<Option<SocketAddr>>,
    started: Mutex<u128>,
    streams: Mutex<Vec<TcpStream>>,
}

impl Shop {
    /// Messages take longer the fuller it is, as in a queue.
    fn message_ms(&self) -> f64 {
        let used = self.streams.lock().unwrap().len() as f64 / CAPACITY;
        5.0 / (1.0 - used.min(0.98))
    }

    fn start(self: &Arc<Shop>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        *self.address.lock().unwrap() = listener.local_addr().ok();
        self.up.store(true, Ordering::SeqCst);
        let shop = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !shop.up.load(Ordering::SeqCst) {
                    return;
                }
                let shop = shop.clone();
                std::thread::spawn(move || shop.serve(stream));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let copy = stream.try_clone().expect("a clone");
        let me = stream.peer_addr().ok();
        for line in BufReader::new(copy).lines().map_while(Result::ok) {
            if line.starts_with("OPEN ") {
                std::thread::sleep(Duration::from_secs_f64(self.message_ms() * 2e-3));
                self.streams.lock().unwrap().push(stream.try_clone().expect("a clone"));
                let _ = stream.write_all(b"UP 1\r\nLOAD 60000\r\n");
            }
        }
        self.streams
            .lock()
            .unwrap()
            .retain(|other| other.peer_addr().ok() != me && other.peer_addr().is_ok());
    }

    fn die(&self) {
        self.up.store(false, Ordering::SeqCst);
        let address = self.address.lock().unwrap().take();
        let streams = std::mem::take(&mut *self.streams.lock().unwrap());
        streams.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        // Wakes the listener, which ends.
        address.map(TcpStream::connect);
    }

    /// A shop that is slow says so on one connection, each second.
    fn tell(&self) {
        let took = self.message_ms();
        if took > 100.0 / 3.0 {
            if let Some(mut stream) = self.streams.lock().unwrap().first() {
                let _ = stream.write_all(format!("LOAD {took:.0}\r\n").as_bytes());
            }
        }
    }
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

fn list(shops: &[Arc<Shop>], generation: u64) -> String {
    let entry = |(n, shop): (usize, &Arc<Shop>)| {
        let address = (*shop.address.lock().unwrap())?;
        let started = *shop.started.lock().unwrap();
        Some(format!(
            r#"{{"instanceId": "s-{:08x}", "hostPort": "{address}", "zone": "a", "lifecycle": "ready", "weight": 1.0, "startedAtMs": {started}}}"#,
            n + 1
        ))
    };
    let servers: Vec<String> = shops.iter().enumerate().filter_map(entry).collect();
    format!(r#"{{"generation": {generation}, "reset": true, "instances": [{}]}}"#, servers.join(","))
}

/// Discovery: the whole list, a second late each time.
fn discovery(shops: Vec<Arc<Shop>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let shops = shops.clone();
            std::thread::spawn(move || {
                let reader = BufReader::new(stream.try_clone().expect("a clone"));
                let mut generation = 1;
                for line in reader.lines().map_while(Result::ok) {
                    if line.is_empty() {
                        generation += 1;
                        std::thread::sleep(Duration::from_secs(1));
                        let body = list(&shops, generation);
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                        let _ = stream.write_all((head + &body).as_bytes());
                    }
                }
            });
        }
    });
    address
}

/// One client: a connection for its life, then another; again at once after a move or a break.
fn client(front: String, n: usize, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(n as u64);
    let (mut life, mut again, mut count) = (Instant::now(), false, 0);
    while Instant::now() < end {
        if !again {
            let seconds = -LIFE * (1.0 - rng.random::<f64>()).ln();
            life = Instant::now() + Duration::from_secs_f64(seconds.clamp(0.5, 60.0));
        }
        count += 1;
        let wait = Duration::from_millis(rng.random_range(100..1300));
        let Ok(mut stream) = TcpStream::connect(&front) else { return };
        let more = if again { ",again=1" } else { "" };
        let _ = stream.write_all(format!("OPEN c{n}x{count} k{n} c=chat,d=3000{more}\r\n").as_bytes());
        again = true;
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        let mut line = String::new();
        loop {
            let left = life.min(end).saturating_duration_since(Instant::now());
            if left.is_zero() {
                again = false;
                break;
            }
            let _ = stream.set_read_timeout(Some(left));
            line.clear();
            match reader.read_line(&mut line) {
                Ok(1..) if line.starts_with("UP") || line.starts_with("LOAD") => {}
                Ok(_) => break,
                Err(_) if Instant::now() >= life => {}
                Err(_) => break,
            }
        }
        if again {
            std::thread::sleep(wait);
        }
    }
}

struct Side {
    shops: Vec<Arc<Shop>>,
    daemon: Child,
    folder: std::path::PathBuf,
    front: String,
}

fn side(on: bool) -> Side {
    let shops: Vec<Arc<Shop>> = (0..SHOPS).map(|_| Arc::new(Shop::default())).collect();
    shops.iter().for_each(Shop::start);
    let folder =
        std::env::temp_dir().join(format!("connection-balancer-restart-{}-{on}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let config = format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "{}", "seed": "5", "known": {},
            "limits": {{"sockets": 1000, "memory_mb": 64}},
            "settings": {{"discovery": "on_request", "zones": ["a"],
              "classes": [{{"name": "chat", "deadline": 3000, "objective": 800, "repeat": "repeatable"}}],
              "family-info": {{"tells-delay": true, "message-aim": [100]}},
              "invariants": {{"must-ask-in": 4000, "warm-up": 4000, "cold-share": 0.34, "tip-multiple": 4}},
              "limits": {{"connect-timeout": 500, "try-limit": 6, "cancel": true, "retry-after": true, "max-retry-after": 1500}}}}}}"#,
        discovery(shops.clone()),
        list(&shops, 1)
    );
    std::fs::write(folder.join("config.json"), config).expect("written");
    std::fs::write(folder.join("moves.json"), format!(r#"{{"platform": {{"on": {on}}}}}"#)).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
    command.arg("serve").arg("--config").arg(folder.join("config.json"));
    command.arg("--rebalance").arg(folder.join("moves.json")).env("TMPDIR", &folder);
    let mut daemon = command.env_remove("NODE_MGMT").stderr(Stdio::piped()).spawn().expect("starts");
    let mut lines = BufReader::new(daemon.stderr.take().expect("a log")).lines().map_while(Result::ok);
    let front =
        lines.find_map(|line| line.split_once("listens on ").map(|(_, at)| at.to_owned())).expect("listens");
    std::thread::spawn(move || lines.for_each(drop));
    Side { shops, daemon, folder, front }
}

fn main() {
    let mut sides = [side(false), side(true)];
    let begin = Instant::now();
    let end = begin + Duration::from_secs(SECONDS);
    for side in &sides {
        for n in 0..CLIENTS {
            let front = side.front.clone();
            std::thread::spawn(move || {
                // They come over three seconds.
                std::thread::sleep(Duration::from_millis(n as u64 * 3000 / CLIENTS as u64));
                client(front, n, end);
            });
        }
    }
    println!("second | off: held by each, share in time | on");
    let (mut filled, mut in_time) = ([None, None], [(0.0, 0.0), (0.0, 0.0)]);
    for second in 1..SECONDS {
        std::thread::sleep((begin + Duration::from_secs(second)).saturating_duration_since(Instant::now()));
        let mut row = format!("{second:6}");
        for (n, side) in sides.iter().enumerate() {
            if second == DIES {
                side.shops[0].die();
            }
            if second == DIES + DOWN {
                *side.shops[0].started.lock().unwrap() = unix_ms();
                side.shops[0].start();
            }
            side.shops.iter().for_each(|shop| shop.tell());
            let held: Vec<usize> = side.shops.iter().map(|shop| shop.streams.lock().unwrap().len()).collect();
            let mean = held.iter().sum::<usize>() as f64 / SHOPS as f64;
            if second > DIES + DOWN && held[0] as f64 >= 0.8 * mean && filled[n].is_none() {
                filled[n] = Some(second - DIES - DOWN);
            }
            let share = |shop: &Arc<Shop>| 1.0 - (-100.0 / shop.message_ms()).exp();
            let sound: f64 = side.shops.iter().zip(&held).map(|(shop, n)| share(shop) * *n as f64).sum();
            if second > DIES + DOWN {
                in_time[n] = (in_time[n].0 + sound, in_time[n].1 + CLIENTS as f64);
            }
            row += &format!(" | {held:?} {:.3}", sound / CLIENTS as f64);
        }
        println!("{row}");
    }
    for (n, name) in ["off", "on"].into_iter().enumerate() {
        let seconds = filled[n].map_or("not at all".to_owned(), |seconds| format!("after {seconds} s"));
        println!(
            "{name}: the shop that was back held 0.8 of the mean {seconds}; served {:.4}",
            in_time[n].0 / in_time[n].1
        );
    }
    for side in &mut sides {
        let _ = side.daemon.kill();
        let _ = side.daemon.wait();
        let _ = std::fs::remove_dir_all(&side.folder);
    }
}
