//! Processes of the balancer: the daemon, and commands on its command line.

use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::fake_servers::{free_tcp_address, wait_until};

/// A temporary folder of one check, removed when it is dropped.
pub(crate) struct Folder(PathBuf);

impl Folder {
    pub(crate) fn create() -> Folder {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("connection-balancer-compatibility-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the folder is created");
        Folder(path)
    }

    /// Returns the path of a file in the folder.
    pub(crate) fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a settings file and returns its path.
    pub(crate) fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.file(name);
        std::fs::write(&path, text).expect("the settings are written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Listening addresses in a daemon's settings.
#[derive(Clone, Copy)]
pub(crate) struct Addresses {
    pub(crate) platform: SocketAddr,
    pub(crate) irc: SocketAddr,
    pub(crate) mgmt: SocketAddr,
}

impl Addresses {
    /// Returns addresses that no program listens on.
    pub(crate) fn free() -> Addresses {
        Addresses { platform: free_tcp_address(), irc: free_tcp_address(), mgmt: free_tcp_address() }
    }
}

/// A running daemon, killed when it is dropped.
pub(crate) struct Daemon {
    child: Child,
    pub(crate) addresses: Addresses,
}

impl Daemon {
    /// Starts a daemon with arguments of `serve`, and waits until its admin endpoint accepts connections. A
    /// daemon that already runs with the same temporary folder hands over to it by a hot restart.
    pub(crate) fn start(
        program: &Path,
        folder: &Folder,
        addresses: Addresses,
        arguments: &[&Path],
    ) -> Daemon {
        let log = File::create(folder.file("log")).expect("the log is created");
        let mut command = Command::new(program);
        command.arg("serve").args(arguments).env("TMPDIR", folder.file("."));
        command.env_remove("NODE_CONFIG").env_remove("NODE_MGMT").stdout(Stdio::null()).stderr(log);
        let child = command.spawn().expect("the daemon starts");
        let daemon = Daemon { child, addresses };
        wait_until("the admin endpoint is open", || TcpStream::connect(addresses.mgmt).is_ok());
        daemon
    }

    /// Sends SIGTERM and waits until the process exits.
    pub(crate) fn terminate(mut self) {
        let status = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
        wait_until("the daemon exits", || {
            self.child.try_wait().expect("the status of the daemon is known").is_some()
        });
    }

    /// Runs a command of `program` against this daemon's admin endpoint. Returns its standard output.
    pub(crate) fn admin_command(&self, program: &Path, arguments: &[&str]) -> String {
        let mgmt = self.addresses.mgmt.to_string();
        run(program, &[arguments, &["--mgmt", &mgmt]].concat())
    }

    /// Waits until the `readyz` command of `program` reports that the daemon is ready.
    pub(crate) fn wait_until_ready(&self, program: &Path) {
        let mgmt = self.addresses.mgmt.to_string();
        wait_until("the daemon is ready", || output(program, &["readyz", "--mgmt", &mgmt]).status.success());
    }

    /// Returns the value of a metric that is not split by class.
    pub(crate) fn metric(&self, program: &Path, name: &str) -> u64 {
        let metrics = self.admin_command(program, &["telemetry"]);
        let prefix = format!("edge_node.{name}:");
        let value =
            metrics.lines().find_map(|line| line.strip_prefix(&prefix)?.split('|').next()?.parse().ok());
        value.unwrap_or_else(|| panic!("no metric {name} in {metrics}"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a command and returns its output.
fn output(program: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(program);
    command.args(arguments).env_remove("NODE_CONFIG").env_remove("NODE_MGMT");
    command.output().expect("the command runs")
}

/// Runs a command and returns its standard output. Panics if the command fails.
pub(crate) fn run(program: &Path, arguments: &[&str]) -> String {
    let output = output(program, arguments);
    assert!(output.status.success(), "{arguments:?}: {output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}
