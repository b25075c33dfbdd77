//! Child processes that are killed when their handle is dropped.

use std::ffi::OsStr;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

/// A child process that runs the product or a stand-in; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    /// Starts `binary` and waits until it has printed `listening ADDRESS`.
    ///
    /// # Panics
    ///
    /// If the process does not start or its first line is not `listening ADDRESS`.
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
            // The kernel resumes and hangs up stopped processes whose group loses its last link to the session, as when
            // the shell exits that started the tests in the background.
            .process_group(0)
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
            panic!(
                "{} did not print its listening address: {line:?}",
                binary.display()
            );
        };
        Process { child, address }
    }

    /// The address that the process listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The base URL of the process.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// The process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `STOP`, `CONT` or `TERM`, to this process but not to its children.
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

    /// Kills the process with SIGKILL and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process is still running.
    ///
    /// # Panics
    ///
    /// If the state of the process can't be read.
    pub fn is_running(&mut self) -> bool {
        let status = self.child.try_wait().expect("a child's state can be read");
        status.is_none()
    }

    /// Waits until the process has ended.
    ///
    /// # Panics
    ///
    /// If the process can't be waited for.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("a child can be waited for")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
