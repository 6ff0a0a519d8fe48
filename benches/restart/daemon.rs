//! A daemon of the connection balancer in a separate process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A daemon's process and the folder with its settings.
pub(crate) struct Daemon {
    process: Child,
    folder: PathBuf,
    /// Address that clients connect to.
    pub front: String,
}

impl Daemon {
    /// Starts a daemon with a discovery service and an initial endpoint list, and waits until it listens.
    pub(crate) fn start(rebalance: bool, discovery: SocketAddr, endpoints: &str) -> Daemon {
        let folder_name = format!("connection-balancer-restart-{}-{rebalance}", std::process::id());
        let folder = std::env::temp_dir().join(folder_name);
        write_settings(&folder, rebalance, discovery, endpoints);
        let mut command = Command::new(env!("CARGO_BIN_EXE_connection-balancer"));
        command.arg("serve").arg("--config").arg(folder.join("config.json"));
        command.arg("--rebalance").arg(folder.join("moves.json")).env("TMPDIR", &folder);
        command.env_remove("NODE_MGMT").stderr(Stdio::piped());
        let mut process = command.spawn().expect("the daemon starts");
        let log = process.stderr.take().expect("standard error is piped");
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let front = lines
            .find_map(|line| line.split_once("listens on ").map(|(_, address)| address.to_owned()))
            .expect("the log has the line with the listening address");
        // Reads the remaining log lines, because the daemon would block on a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        Daemon { process, folder, front }
    }

    /// Kills the process and removes its settings.
    pub(crate) fn stop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn write_settings(folder: &Path, rebalance: bool, discovery: SocketAddr, endpoints: &str) {
    std::fs::create_dir_all(folder).expect("the folder is created");
    let config = format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "{discovery}", "seed": "5", "known": {endpoints},
            "limits": {{"sockets": 1000, "memory_mb": 64}},
            "settings": {{"discovery": "on_request", "zones": ["a"],
              "classes": [{{"name": "chat", "deadline": 3000, "objective": 800, "repeat": "repeatable"}}],
              "family-info": {{"tells-delay": true, "message-aim": [100]}},
              "invariants": {{"must-ask-in": 4000, "warm-up": 4000, "cold-share": 0.34, "tip-multiple": 4}},
              "limits": {{"connect-timeout": 500, "try-limit": 6, "cancel": true, "retry-after": true, "max-retry-after": 1500}}}}}}"#
    );
    std::fs::write(folder.join("config.json"), config).expect("the configuration is written");
    let rebalance_settings = format!(r#"{{"platform": {{"on": {rebalance}}}}}"#);
    std::fs::write(folder.join("moves.json"), rebalance_settings)
        .expect("the rebalancing settings are written");
}
