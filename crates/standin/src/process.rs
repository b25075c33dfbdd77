//! Processes that end with their handle.

use std::ffi::OsStr;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

/// A running process of the product or a stand-in; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    /// Starts `binary` and waits until it says where it listens.
    ///
    /// # Panics
    ///
    /// If the process does not start.
    pub fn start<I, S>(binary: &Path, args: I) -> Process
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let level = std::env::var("RUST_LOG").unwrap_or_else(|_| "error".to_string());
        let mut child = Command::new(binary)
            .args(args)
            .env("RUST_LOG", level)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| {
                let hint = "the tests need all binaries: run `cargo build --workspace --bins` first";
                panic!("could not start {}: {e}; {hint}", binary.display())
            });
        let out = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(out)
            .read_line(&mut line)
            .expect("standard output can be read");
        let address = line
            .trim()
            .strip_prefix("listening ")
            .and_then(|a| a.parse().ok());
        let Some(address) = address else {
            let _ = child.kill();
            panic!("{} did not say where it listens: {line:?}", binary.display());
        };
        Process { child, address }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `STOP`, `CONT` or `TERM`, to this process alone.
    ///
    /// # Panics
    ///
    /// If the signal can't be sent.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status()
            .expect("kill can be run");
        assert!(status.success(), "kill -{name} {} failed", self.id());
    }

    /// Kills it without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it still runs.
    ///
    /// # Panics
    ///
    /// If its state can't be read.
    pub fn is_running(&mut self) -> bool {
        let status = self.child.try_wait().expect("a child's state can be read");
        status.is_none()
    }

    /// Waits until it has ended.
    ///
    /// # Panics
    ///
    /// If it can't be waited for.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("a child can be waited for")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
