//! The daemon as a child process of the test.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;

use super::{wait_until, Client, FakeIrcServer, MAX_WAIT};

/// A running daemon. Dropping it kills the process and removes its temporary folder.
pub(crate) struct Daemon {
    child: Child,
    log: Receiver<String>,
    /// Address of the IRC front, from the daemon's log.
    pub irc_address: String,
    /// Address of the platform's front; empty without a platform configuration.
    pub platform_address: String,
    /// Address on which the replicated map exchanges messages; empty without a `store` in the operator's
    /// file.
    pub replication_address: String,
    /// Address of the admin endpoint; empty without `mgmt` in the operator's file.
    pub admin_address: String,
    /// The daemon's temporary folder, which also holds its configuration files.
    pub folder: PathBuf,
}

impl Daemon {
    /// Starts a daemon with the contents of an operator's file and, if given, of a platform configuration.
    pub(crate) fn start(irc: &str, platform: Option<&str>) -> Daemon {
        Daemon::start_with_arguments(irc, platform, &[])
    }

    /// Starts a daemon as [`Daemon::start`] does, with additional arguments of the `serve` command.
    pub(crate) fn start_with_arguments(irc: &str, platform: Option<&str>, arguments: &[&str]) -> Daemon {
        static COUNT: Mutex<u32> = Mutex::new(0);
        let count = {
            let mut count = COUNT.lock().unwrap();
            *count += 1;
            *count
        };
        let folder = std::env::temp_dir().join(format!("sagemount-e2e-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder is created");
        std::fs::write(folder.join("irc.json"), irc).expect("the file is written");
        if let Some(platform) = platform {
            std::fs::write(folder.join("config.json"), platform).expect("the file is written");
        }
        Daemon::launch(folder, arguments)
    }

    /// Starts a successor, with the same configuration and temporary folder.
    pub(crate) fn start_successor(&self) -> Daemon {
        Daemon::launch(self.folder.clone(), &[])
    }

    /// Resumes this suspended daemon while a successor starts, whose request for the state races with the
    /// events that arrived during the suspension.
    pub(crate) fn resume_beside_successor(&self) -> Daemon {
        let folder = self.folder.clone();
        let successor = std::thread::spawn(|| Daemon::launch(folder, &[]));
        self.resume();
        successor.join().expect("the successor starts")
    }

    fn launch(folder: PathBuf, arguments: &[&str]) -> Daemon {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        command.arg("serve").arg("--irc").arg(folder.join("irc.json")).args(arguments);
        let config = folder.join("config.json");
        if config.exists() {
            command.arg("--config").arg(config);
        }
        // Daemons that share a temporary folder and listening addresses perform a hot restart, so each test
        // has its own.
        command.env("TMPDIR", &folder).env_remove("NODE_CONFIG").env_remove("NODE_MGMT");
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the daemon starts");
        let reader = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let (sender, log) = channel();
        std::thread::spawn(move || reader.lines().map_while(Result::ok).for_each(|l| drop(sender.send(l))));
        let mut daemon = Daemon {
            child,
            log,
            irc_address: String::new(),
            platform_address: String::new(),
            replication_address: String::new(),
            admin_address: String::new(),
            folder,
        };
        while daemon.irc_address.is_empty() {
            let line = daemon.log_line("");
            let address_after = |prefix: &str| {
                let (_, rest) = line.split_once(prefix)?;
                rest.split(' ').next().map(str::to_owned)
            };
            if let Some(address) = address_after("replicates on ") {
                daemon.replication_address = address;
            } else if let Some(address) = address_after("admin endpoint open on ") {
                daemon.admin_address = address;
            } else if let Some(address) = address_after("listens on ") {
                *if line.contains("for IRC") {
                    &mut daemon.irc_address
                } else {
                    &mut daemon.platform_address
                } = address;
            }
        }
        daemon
    }

    /// Waits for the next log line that contains `text`, and returns it. Skips the lines before it.
    pub(crate) fn log_line(&self, text: &str) -> String {
        loop {
            let line =
                self.log.recv_timeout(MAX_WAIT).unwrap_or_else(|_| panic!("no log line with '{text}'"));

            if line.contains(text) {
                return line;
            }
        }
    }

    /// Replaces a configuration file, `irc.json` or `config.json`, and sends SIGHUP.
    pub(crate) fn reload(&self, file: &str, text: &str) {
        std::fs::write(self.folder.join("next"), text).expect("the file is written");
        std::fs::rename(self.folder.join("next"), self.folder.join(file)).expect("the file is replaced");
        self.signal("-HUP");
    }

    /// Sends a call to the admin endpoint and returns the whole reply.
    pub(crate) fn admin_call(&self, call: &str) -> String {
        let mut admin_client = Client::connect(&self.admin_address);
        admin_client.send_line(call);
        admin_client.read_to_end()
    }

    /// Excludes a server by the `exclude` command.
    pub(crate) fn exclude(&self, server: &str) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        let output = command
            .args(["exclude", server, "--mgmt", &self.admin_address])
            .output()
            .expect("the command runs");
        assert!(output.status.success(), "{output:?}");
    }

    /// Runs a command of the command line on this daemon's replicated map.
    pub(crate) fn run_store_command(&self, arguments: &[&str]) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        let output = command
            .args(arguments)
            .args(["--store", &self.replication_address])
            .output()
            .expect("the command runs");
        assert!(output.status.success(), "{output:?}");
    }

    /// Sends a signal, such as `-TERM`, to the process.
    pub(crate) fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Stops the whole process by SIGSTOP. Events that follow wait in the kernel, and the event loop receives
    /// all of them in one wake-up when the process is resumed.
    pub(crate) fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let state = || std::fs::read_to_string(&stat).unwrap_or_default();
        wait_until("the process is stopped", || {
            state().rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        });
    }

    /// Resumes the process by SIGCONT.
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    /// Returns the value of a metric, summed over all keys that have `name` as a part, such as those of each
    /// class.
    pub(crate) fn metric(&self, name: &str) -> u64 {
        let lines = self.admin_call("telemetry");
        let matching_value = |line: &str| {
            let (key, value) = line.split_once(':')?;
            key.split('.').any(|part| part == name).then(|| value.split('|').next()?.parse::<f64>().ok())?
        };
        lines.lines().filter_map(matching_value).sum::<f64>() as u64
    }

    /// Returns the largest amount of memory that the process has used so far, in kilobytes.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the status of the process is read");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|peak| peak.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kilobytes.expect("the status has the peak of the memory")
    }

    /// Waits until the process exits. Returns whether its exit status is success.
    pub(crate) fn wait_for_exit(&mut self) -> bool {
        let mut status = None;
        wait_until("the daemon exits", || {
            status = self.child.try_wait().expect("the exit status is read");
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

/// Returns an operator's file that lists `servers` as `irc-0`, `irc-1` and so on. `more` is inserted as
/// further JSON members.
pub(crate) fn irc_config(servers: &[&FakeIrcServer], more: &str) -> String {
    let server = |(n, server): (usize, &&FakeIrcServer)| {
        format!("{{\"name\": \"irc-{n}\", \"address\": \"{}\"}}", server.address)
    };
    let servers: Vec<String> = servers.iter().enumerate().map(server).collect();
    format!(
        "{{\"listen\": \"127.0.0.1:0\", \"mgmt\": \"127.0.0.1:0\", \"name\": \"front.test\", \"store\": {{\"node\": \"n1\", \
         \"listen\": \"127.0.0.1:0\"}}, \"hosts\": [{}] {more}}}",
        servers.join(", ")
    )
}
