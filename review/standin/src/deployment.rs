//! A small deployment: instances as the deploy file starts them, and their settings files.

use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

/// Key of the instances of one deployment, as in the deploy file.
const CLUSTER_KEY: &str = "key of the instances of one deployment";

/// A running instance.
pub struct Instance {
    pub front: SocketAddr,
    process: Child,
}

/// What an instance is started with.
pub struct Settings<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    /// The API for duties; `None` if there is none.
    pub api: Option<SocketAddr>,
}

fn free_port(ip: &str) -> io::Result<u16> {
    loop {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let port = listener.local_addr()?.port();
        if UdpSocket::bind((ip, port)).is_ok() {
            return Ok(port);
        }
    }
}

impl Instance {
    /// Writes the settings into `folder` and starts the instance; its log goes there too.
    pub fn start(folder: &Path, settings: &Settings<'_>) -> io::Result<Instance> {
        let Settings {
            name,
            ip,
            zone,
            store,
            api,
        } = settings;
        let [front, ready, directory, control, peer] = [(); 5].map(|()| free_port(ip));
        let (front, peer) = (front?, peer?);
        let duties = api.map_or_else(String::new, |api| {
            format!("[Cloud]\nAddress = \"{api}\"\nRatePerS = 50.0\nDuties = [\"usage_reporter\"]\nDutyPerS = 50.0\n")
        });
        let text = format!(
            r#"Node = "{name}"
Role = "instance"
MachineClass = "edge"
Serves = ["edge","registry"]
Ip = "{ip}"
Zone = "{zone}"
Region = "r"
PortRange = [{peer},{peer}]
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "registry"
HeartbeatMs = 1200
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{}"
Control = "{ip}:{}"
Directory = "{ip}:{}"
[Limits]
CpuShare = 0.25
Cpus = 1
MemoryMb = 260
MaxFds = 4100
BandwidthMbps = 1000.0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 4000
AckTimeoutMs = 6000
CatchUpS = 6
DrainMs = 3000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxSkewMs = 6000
StrictRevocation = true
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 56
RequireFencing = false
LeaseMs = 3000
ThawMs = 300
WindowS = 5
UsageTolerance = 0.05
UsageLateS = 10
RecoveryS = 15
TransitMs = 200
ttl_max_s = 5
[Platform]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
{duties}"#,
            ready?, control?, directory?
        );
        let file = folder.join(format!("{name}.toml"));
        fs::write(&file, text)?;
        let process = spawn(&file)?;
        Ok(Instance {
            front: format!("{ip}:{front}").parse().expect("an address"),
            process,
        })
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }
}

fn spawn(file: &Path) -> io::Result<Child> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(file.with_extension("log"))?;
    Command::new(program()?)
        .env("SEQUOIASTREAM_CLUSTER_KEY", CLUSTER_KEY)
        .env("SEQUOIASTREAM_NODE_FILE", file)
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A block of loopback addresses that other runs hardly use: the port of the metrics is fixed.
pub fn block() -> String {
    let id = std::process::id();
    format!("127.{}.{}", 20 + id % 200, (id / 200) % 250)
}

/// The program of the deploy file, from the repository's root.
fn program() -> io::Result<PathBuf> {
    let path = PathBuf::from("target/release/sequoiastream-instance");
    match path.exists() {
        true => Ok(path),
        false => Err(io::Error::other(
            "target/release/sequoiastream-instance is missing: build as in deploy/system.toml",
        )),
    }
}

/// Waits until `condition` holds, for `limit` at most.
pub fn wait_for<F>(limit: Duration, mut condition: F) -> bool
where
    F: FnMut() -> bool,
{
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
