//! The daemon as a process of the test.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;

use super::{wait_until, Client, Server, MAX_WAIT};

/// A running daemon, killed at the end of the test.
pub(crate) struct Daemon {
    child: Child,
    log: Receiver<String>,
    pub irc: String,
    pub platform: String,
    pub store: String,
    pub mgmt: String,
    pub folder: PathBuf,
}

impl Daemon {
    /// Starts a daemon with the texts of an operator's file and, if given, of a platform configuration.
    pub(crate) fn start(irc: &str, platform: Option<&str>) -> Daemon {
        Daemon::start_with(irc, platform, &[])
    }

    /// The same with more arguments.
    pub(crate) fn start_with(irc: &str, platform: Option<&str>, more: &[&str]) -> Daemon {
        static COUNT: Mutex<u32> = Mutex::new(0);
        let count = {
            let mut count = COUNT.lock().unwrap();
            *count += 1;
            *count
        };
        let folder = std::env::temp_dir().join(format!("sagemount-e2e-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("irc.json"), irc).expect("written");
        if let Some(platform) = platform {
            std::fs::write(folder.join("config.json"), platform).expect("written");
        }
        Daemon::launch(folder, more)
    }

    /// Starts a successor, with the same configuration and temporary folder.
    pub(crate) fn start_successor(&self) -> Daemon {
        Daemon::launch(self.folder.clone(), &[])
    }

    /// Starts a successor whose request this daemon sees in the same wake-up in which it is resumed.
    pub(crate) fn resume_beside_successor(&self) -> Daemon {
        let folder = self.folder.clone();
        let successor = std::thread::spawn(|| Daemon::launch(folder, &[]));
        self.resume();
        successor.join().expect("it starts")
    }

    fn launch(folder: PathBuf, more: &[&str]) -> Daemon {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        command.arg("serve").arg("--irc").arg(folder.join("irc.json")).args(more);
        let config = folder.join("config.json");
        if config.exists() {
            command.arg("--config").arg(config);
        }
        // A temporary folder of its own: a daemon that serves in the same one would be its predecessor.
        command.env("TMPDIR", &folder).env_remove("NODE_CONFIG").env_remove("NODE_MGMT");
        let mut child = command.stderr(Stdio::piped()).spawn().expect("starts");
        let reader = BufReader::new(child.stderr.take().expect("a log"));
        let (sender, log) = channel();
        std::thread::spawn(move || reader.lines().map_while(Result::ok).for_each(|l| drop(sender.send(l))));
        let mut daemon = Daemon {
            child,
            log,
            irc: String::new(),
            platform: String::new(),
            store: String::new(),
            mgmt: String::new(),
            folder,
        };
        while daemon.irc.is_empty() {
            let line = daemon.log_line("");
            let address_after = |prefix: &str| {
                let (_, rest) = line.split_once(prefix)?;
                rest.split(' ').next().map(str::to_owned)
            };
            if let Some(at) = address_after("replicates on ") {
                daemon.store = at;
            } else if let Some(at) = address_after("admin endpoint open on ") {
                daemon.mgmt = at;
            } else if let Some(at) = address_after("listens on ") {
                *if line.contains("for IRC") { &mut daemon.irc } else { &mut daemon.platform } = at;
            }
        }
        daemon
    }

    /// The next log line that contains this.
    pub(crate) fn log_line(&self, part: &str) -> String {
        loop {
            let line =
                self.log.recv_timeout(MAX_WAIT).unwrap_or_else(|_| panic!("no log line with '{part}'"));

            if line.contains(part) {
                return line;
            }
        }
    }

    /// Replaces a configuration file, `irc.json` or `config.json`, and has it read again.
    pub(crate) fn reload(&self, file: &str, text: &str) {
        std::fs::write(self.folder.join("next"), text).expect("written");
        std::fs::rename(self.folder.join("next"), self.folder.join(file)).expect("replaced");
        self.signal("-HUP");
    }

    /// The reply of its admin endpoint.
    pub(crate) fn admin_call(&self, call: &str) -> String {
        let mut admin_client = Client::connect(&self.mgmt);
        admin_client.send_line(call);
        admin_client.read_to_end()
    }

    /// Excludes a server with the command line.
    pub(crate) fn exclude(&self, server: &str) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        let output = command.args(["exclude", server, "--mgmt", &self.mgmt]).output().expect("runs");
        assert!(output.status.success(), "{output:?}");
    }

    /// Runs a command of the command line at this daemon's store.
    pub(crate) fn run_store_command(&self, arguments: &[&str]) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        let output = command.args(arguments).args(["--store", &self.store]).output().expect("runs");
        assert!(output.status.success(), "{output:?}");
    }

    /// Sends the process a signal, such as `-TERM`.
    pub(crate) fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Stops the whole process: what happens from here on waits in the system, and comes to it in one wake-up when it
    /// is resumed.
    pub(crate) fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let state = || std::fs::read_to_string(&stat).unwrap_or_default();
        wait_until("the daemon is stopped", || {
            state().rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        });
    }

    /// Resumes the process.
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    /// A metric that it reports, summed over all its classes.
    pub(crate) fn metric(&self, name: &str) -> u64 {
        let lines = self.admin_call("telemetry");
        let of = |line: &str| {
            let (key, value) = line.split_once(':')?;
            key.split('.').any(|part| part == name).then(|| value.split('|').next()?.parse::<f64>().ok())?
        };
        lines.lines().filter_map(of).sum::<f64>() as u64
    }

    /// Waits for its exit. Returns whether it reported success.
    pub(crate) fn wait_for_exit(&mut self) -> bool {
        let mut status = None;
        wait_until("the daemon exits", || {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.is_some_and(|s| s.success())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An operator's file with these servers.
pub(crate) fn irc_config(servers: &[&Server], more: &str) -> String {
    let server = |(n, server): (usize, &&Server)| {
        format!("{{\"name\": \"irc-{n}\", \"address\": \"{}\"}}", server.address)
    };
    let servers: Vec<String> = servers.iter().enumerate().map(server).collect();
    format!(
        "{{\"listen\": \"127.0.0.1:0\", \"mgmt\": \"127.0.0.1:0\", \"name\": \"front.test\", \"store\": {{\"node\": \"n1\", \
         \"listen\": \"127.0.0.1:0\"}}, \"hosts\": [{}] {more}}}",
        servers.join(", ")
    )
}
