//! A small deployment on loopback addresses: the store, instances as separate processes, and what is recorded of them.

use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::store::Store;

/// Interval at which engines write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Longest time until an instance is ready.
const START_TIME: Duration = Duration::from_secs(10);

/// What differs between the deployments that cases are like: from their sheets and the settings of their machines.
#[derive(Clone, Copy)]
pub struct Site {
    pub region: &'static str,
    pub zones: [&'static str; 2],
    contracts: &'static str,
    limits: &'static str,
    bounds: &'static str,
    calls: &'static str,
    /// Whether engines say when they started.
    has_born: bool,
}

pub const GSP_DISPATCH: Site = Site {
    region: "padania",
    zones: ["lodi-a", "lodi-b"],
    contracts: r#"["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"]"#,
    limits: "CpuShare = 0.25\nCpus = 1\nMemoryMb = 260\nMaxFds = 4100\nBandwidthMbps = 1000.0",
    bounds: "StableWindowMs = 3000\nAckTimeoutMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nConfigApplyMs = 2000\nMaxSkewMs = 5000\nBudgetSlack = 56\nRecoveryS = 12\nTransitMs = 120\nReuseWindowS = 4.5",
    calls: "WritesPerS = 400\nReadsPerS = 2000",
    has_born: false,
};

pub const MWANGAZA_FARES: Site = Site {
    region: "dar-east",
    zones: ["dar-ubungo", "dar-kariakoo"],
    contracts: r#"["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "split", "stream", "engine", "platform"]"#,
    limits: "CpuShare = 0.5\nCpus = 1\nMemoryMb = 512\nMaxFds = 8192\nBandwidthMbps = 200.0",
    bounds: "StableWindowMs = 4000\nAckTimeoutMs = 6000\nCatchUpS = 6\nDrainMs = 3000\nConfigApplyMs = 3000\nMaxSkewMs = 6000\nBudgetSlack = 166\nRecoveryS = 15\nTransitMs = 200\nReuseWindowS = 3",
    calls: "WritesPerS = 1200\nReadsPerS = 6000",
    has_born: true,
};

/// Writes what happens, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn note(&self, text: &str) {
        let mut file = self.0.lock().expect("no thread panics with the lock");
        let _ = writeln!(file, "{:8.3} s  {text}", self.1.elapsed().as_secs_f64());
    }
}

/// A process that is killed when it is dropped.
pub struct Process(pub Child);

impl Process {
    pub fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An instance.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub process: Process,
}

/// An engine's entry in the store, which is written again in each interval until the engine has ended.
pub struct Registration {
    alive: Arc<AtomicBool>,
}

impl Registration {
    /// The engine has crashed: it says nothing any more.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
    }
}

pub struct World {
    pub record: Record,
    pub store: Store,
    pub store_address: SocketAddr,
    pub folder: PathBuf,
    pub site: Site,
    net: (u8, u8),
    next_host: u8,
}

impl World {
    /// Starts the store. `record` is the path of the record.
    pub fn new(record: &str) -> std::io::Result<World> {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seed = std::process::id() ^ time.subsec_nanos();
        let net = ((seed % 200 + 20) as u8, (seed / 200 % 250 + 2) as u8);
        let folder = std::env::temp_dir().join(format!("review-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let record = Record(Arc::new(Mutex::new(File::create(record)?)), Instant::now());
        let store_address = SocketAddr::from((Ipv4Addr::new(127, net.0, net.1, 1), 8_142));
        let store = Store::serve(store_address)?;
        record.note(&format!("store at {store_address}"));
        Ok(World {
            record,
            store,
            store_address,
            folder,
            site: GSP_DISPATCH,
            net,
            next_host: 10,
        })
    }

    /// A free address on a host of its own.
    pub fn address(&mut self, port: u16) -> std::io::Result<SocketAddr> {
        self.next_host += 1;
        let address = SocketAddr::from((Ipv4Addr::new(127, self.net.0, self.net.1, self.next_host), port));
        TcpListener::bind(address)?;
        Ok(address)
    }

    /// Writes the first configuration, or the next one.
    pub fn configure(&self, config: &str) {
        self.store.put("op/config", config);
        self.record.note(&format!("operator: configuration {config}"));
    }

    /// Starts an instance with the command of the deploy file and the settings of a small deployment. `more` is added to them.
    pub fn start_instance(&mut self, zone: &str, more: &str) -> std::io::Result<Instance> {
        let front = self.address(8_144)?;
        let ip = front.ip();
        let name = format!("edge-{zone}-{}", self.next_host);
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(
            &file,
            settings(
                &self.site,
                &name,
                zone,
                &ip.to_string(),
                &self.store_address.to_string(),
                more,
            ),
        )?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let root = PathBuf::from(std::env::var("REPOSITORY").unwrap_or_else(|_| ".".to_string()));
        let child = Command::new("target/release/sequoiastream-instance")
            .current_dir(root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env(
                "SEQUOIASTREAM_CLUSTER_KEY",
                "key of the instances of one deployment",
            )
            .env("SEQUOIASTREAM_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        self.record.note(&format!("{name} starts at {front}"));
        let ready = SocketAddr::new(ip, 8_140);
        Ok(Instance {
            name,
            front,
            ready,
            process: Process(child),
        })
    }

    /// Waits until an instance says that it is ready.
    pub fn wait_ready(&self, instance: &Instance) -> bool {
        let until = Instant::now() + START_TIME;
        while Instant::now() < until {
            let answer = crate::client::get(instance.ready, "/v1/readyz");
            if answer.is_some_and(|status| status == 200) {
                self.record.note(&format!("{} is ready", instance.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Registers an engine of `service` and keeps its entry up to date.
    pub fn register(
        &self,
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        slots: u32,
    ) -> Registration {
        let alive = Arc::new(AtomicBool::new(true));
        let registration = Registration { alive: alive.clone() };
        let (store, key) = (self.store.clone(), format!("servers/{id}"));
        let (service, zone) = (service.to_string(), zone.to_string());
        self.record
            .note(&format!("engine {id} of {service} at {address} registers"));
        let born = match self.site.has_born {
            true => format!(",\"born\":{}", unix_ms()),
            false => String::new(),
        };
        let entry = move |sequence: u64| {
            format!(
                "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":{slots},\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":{sequence}{born}}}"
            )
        };
        store.put(&key, &entry(1));
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                if !alive.load(Ordering::SeqCst) {
                    break;
                }
                store.put(&key, &entry(sequence));
            }
            // The entry ends after three intervals of silence.
            thread::sleep(HEARTBEAT * 2);
            store.remove(&key);
        });
        registration
    }
}

/// The time of day in milliseconds.
fn unix_ms() -> u128 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    time.as_millis()
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn settings(site: &Site, name: &str, zone: &str, ip: &str, store: &str, more: &str) -> String {
    let Site { region, zones: [first, second], contracts, limits, bounds, calls, .. } = site;
    format!(
        r#"Node = "{name}"
Role = "instance"
MachineClass = "edge"
Serves = ["edge", "registry"]
Ip = "{ip}"
Zone = "{zone}"
Region = "{region}"
PortRange = [7660, 7675]
Seeds = []
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "registry"
HeartbeatMs = 1200
Contracts = {contracts}
[Zones]
{first} = "{region}"
{second} = "{region}"
[Listen]
Front = "{ip}:8144"
Ready = "{ip}:8140"
Control = "{ip}:8146"
Directory = "{ip}:8143"
[Limits]
{limits}
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
{bounds}
SeedLagS = 3
ReuseAfterS = 2
GraceS = 8
LossSlackMs = 200
RollbackSlackMs = 250
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RequireFencing = false
LeaseMs = 3000
ThawMs = 300
ttl_max_s = 5
{more}
[Platform]
Address = "{store}"
form = "kv"
{calls}
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
"#
    )
}
