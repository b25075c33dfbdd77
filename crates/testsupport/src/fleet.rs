//! A small deployment as processes: platform, engines, plain services and daemons.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;

use sequoiastream_core::name::Name;
use sequoiastream_kv::ListEntry;
use sequoiastream_kv::ListedState;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::StatementBody;
use sequoiastream_standin::engine::EngineFault;
use sequoiastream_standin::platform::Fault;
use sequoiastream_upstream::wire::LoadBody;
use serde_json::Value;
use tokio::net::TcpSocket;
use uuid::Uuid;

use crate::answer::Answer;
use crate::http;
use crate::http::Reply;
use crate::process::Process;

/// Token of the operator in tests.
pub const TOKEN: &str = "operator-token-for-tests";

/// API key of the product in tests.
pub const KEY: &str = "key-of-dispatch";

/// Model of the engines in tests.
pub const MODEL: &str = "ghiaccio-7b";

/// Key that authenticates messages between instances in tests.
const CLUSTER: &str = "cluster-key-for-tests";

/// Paths of the workspace binaries.
#[derive(Debug, Clone)]
pub struct Binaries {
    /// The daemon.
    pub daemon: PathBuf,
    /// The command-line tool.
    pub tool: PathBuf,
    /// The stand-ins.
    pub standin: PathBuf,
}

/// Builds a [`Fleet`].
#[derive(Debug, Clone)]
pub struct FleetBuilder {
    binaries: Binaries,
    engines: usize,
    plain: usize,
    daemons: usize,
    engine_args: Vec<String>,
    daemon_args: Vec<String>,
    placement: String,
}

/// A small deployment. Its processes are stopped when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    binaries: Binaries,
    daemon_args: Vec<String>,
    engine_args: Vec<String>,
    placement: String,
    /// The platform.
    pub platform: Process,
    /// Engines `e0`, `e1`, ... of service `assistente`.
    pub engines: Vec<Process>,
    /// Plain upstreams `p0`, `p1`, ... of service `ordini`.
    pub plain: Vec<Process>,
    /// Daemons `i0`, `i1`, ...
    pub daemons: Vec<Process>,
    reserved: Mutex<Vec<TcpSocket>>,
}

impl FleetBuilder {
    /// Creates a builder for one daemon, one engine and no plain upstream.
    pub fn new(binaries: Binaries) -> FleetBuilder {
        FleetBuilder {
            binaries,
            engines: 1,
            plain: 0,
            daemons: 1,
            engine_args: Vec::new(),
            daemon_args: Vec::new(),
            placement: String::new(),
        }
    }

    /// Sets options appended to the `place engine` statements of engines, such as `fencing checked`.
    pub fn placement(mut self, words: &str) -> Self {
        self.placement = words.to_string();
        self
    }

    /// Sets the number of engines.
    pub fn engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    /// Sets the number of plain upstreams.
    pub fn plain(mut self, count: usize) -> Self {
        self.plain = count;
        self
    }

    /// Sets the number of daemons.
    pub fn daemons(mut self, count: usize) -> Self {
        self.daemons = count;
        self
    }

    /// Adds an argument of the engines, such as `--fencing=ignored`.
    pub fn engine_arg(mut self, arg: &str) -> Self {
        self.engine_args.push(arg.to_string());
        self
    }

    /// Adds an argument of the daemons, such as `--workers=1`.
    pub fn daemon_arg(mut self, arg: &str) -> Self {
        self.daemon_args.push(arg.to_string());
        self
    }

    /// Starts the processes without configuring them.
    pub async fn start(self) -> Fleet {
        let standin = &self.binaries.standin;
        let platform = Process::start(standin, ["platform"]);
        let engine = || {
            let args = ["engine".to_string(), "--decode-rate=400".to_string()];
            Process::start(standin, args.into_iter().chain(self.engine_args.clone()))
        };
        let engines = (0..self.engines).map(|_| engine()).collect();
        let plain = (0..self.plain)
            .map(|_| Process::start(standin, ["plain"]))
            .collect();
        let mut fleet = Fleet {
            binaries: self.binaries.clone(),
            daemon_args: self.daemon_args.clone(),
            engine_args: self.engine_args.clone(),
            placement: self.placement.clone(),
            platform,
            engines,
            plain,
            daemons: Vec::new(),
            reserved: Mutex::default(),
        };
        for index in 0..self.daemons {
            let daemon = fleet.start_daemon(index).await;
            fleet.daemons.push(daemon);
        }
        fleet
    }

    /// Starts the processes and configures product, services and engines.
    pub async fn start_configured(self) -> Fleet {
        let fleet = self.start().await;
        let version = fleet.apply(0, &fleet.statements()).await;
        fleet.wait_for_version(version).await;
        fleet.wait_until_ready().await;
        fleet
    }
}

impl Fleet {
    /// Starts a daemon named after `index` and registers it in the platform's instance list.
    pub async fn start_daemon(&self, index: usize) -> Process {
        let name = format!("i{index}");
        let peer = self.reserve();
        let fixed = [
            format!("--name={name}"),
            "--zone=lodi-a".to_string(),
            "--listen=127.0.0.1:0".to_string(),
            format!("--peer={peer}"),
            format!("--platform={}", self.platform.url()),
            format!("--operator-token={TOKEN}"),
            format!("--cluster-key={CLUSTER}"),
        ];
        let args = fixed.into_iter().chain(self.daemon_args.clone());
        let daemon = Process::start(&self.binaries.daemon, args);
        self.list(&name, daemon.address(), Some(peer), ListedState::Live)
            .await;
        daemon
    }

    /// Sets the state of daemon `index` in the platform's instance list.
    pub async fn list_instance(&self, index: usize, state: ListedState) {
        let listed: Vec<ListEntry> = http::read(&format!("{}/v1/list/instances", self.platform.url())).await;
        let name = format!("i{index}");
        let peer = listed
            .iter()
            .find(|l| l.name.as_str() == name)
            .and_then(|l| l.peer);
        self.list(&name, self.daemons[index].address(), peer, state).await;
    }

    async fn list(&self, name: &str, address: SocketAddr, peer: Option<SocketAddr>, state: ListedState) {
        let listed = ListEntry {
            name: Name::new(name).expect("a name"),
            zone: Name::new("lodi-a").expect("a name"),
            address,
            peer,
            state,
        };
        let url = format!("{}/control/list/instances", self.platform.url());
        http::send("PUT", &url, &[], &listed).await;
    }

    /// Restarts engine `index` on its address after it has exited.
    pub fn restart_engine(&mut self, index: usize) {
        let listen = format!("--listen={}", self.engines[index].address());
        let args = ["engine".to_string(), "--decode-rate=400".to_string(), listen];
        let args = args.into_iter().chain(self.engine_args.clone());
        self.engines[index] = Process::start(&self.binaries.standin, args);
    }

    /// Reserves a free port for a daemon's peers for the lifetime of the fleet.
    ///
    /// Without the reservation, a port found free could be assigned to another process before the daemon listens,
    /// and the daemon would exit with `Address already in use`. The kernel does not assign a bound port to others,
    /// but still lets the daemon listen on it, because both sockets set `SO_REUSEADDR` and this one never listens.
    fn reserve(&self) -> SocketAddr {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an option of sockets");
        let any = "127.0.0.1:0".parse().expect("an address");
        socket.bind(any).expect("a port is free");
        let address = socket.local_addr().expect("it is bound");
        let mut reserved = self.reserved.lock().expect("no thread panics with it");
        reserved.push(socket);
        address
    }

    /// Statements that create product `dispatch`, services `assistente` and `ordini`, and place the upstreams.
    pub fn statements(&self) -> String {
        let mut text = format!(
            "create product dispatch key \"{KEY}\" share 60;\n\
             create service assistente model \"{MODEL}\";\n\
             create service ordini plain route POST \"/orders\" never route GET \"/\" safe;\n"
        );
        for (index, engine) in self.engines.iter().enumerate() {
            let address = engine.address();
            let words = &self.placement;
            text.push_str(&format!(
                "place engine e{index} service assistente zone lodi-a address {address} {words};\n"
            ));
        }
        for (index, plain) in self.plain.iter().enumerate() {
            let address = plain.address();
            text.push_str(&format!(
                "place engine p{index} service ordini zone lodi-a address {address};\n"
            ));
        }
        text
    }

    /// Submits statements to daemon `index` and returns the accepted version.
    ///
    /// # Panics
    ///
    /// If they are not accepted.
    pub async fn apply(&self, index: usize, text: &str) -> u64 {
        let reply = self.statement(index, Uuid::new_v4(), text).await;
        match (reply.status, reply.status == 200) {
            (_, true) => match reply.json() {
                ReplyBody::Accepted(accepted) => accepted.version,
                _ => panic!("{text} is a query"),
            },
            (status, _) => panic!("{text}: status {status}: {}", reply.body),
        }
    }

    /// Submits statements to daemon `index` under the command id `id`.
    pub async fn statement(&self, index: usize, id: Uuid, text: &str) -> Reply {
        let body = StatementBody {
            id,
            who: "tester".to_string(),
            text: text.to_string(),
            base: None,
            dry_run: false,
            wait: false,
        };
        let url = format!("{}/operator/statement", self.daemons[index].url());
        let token = format!("Bearer {TOKEN}");
        http::send("POST", &url, &[("authorization", &token)], &body).await
    }

    /// Waits until every daemon has at least this version in force.
    pub async fn wait_for_version(&self, version: u64) {
        for daemon in &self.daemons {
            let url = format!("{}/version", daemon.url());
            http::until("the version is in force", || async {
                let in_force: u64 = http::read(&url).await;
                (in_force >= version).then_some(())
            })
            .await;
        }
    }

    /// Waits until every daemon is ready for new work.
    pub async fn wait_until_ready(&self) {
        for daemon in &self.daemons {
            let url = format!("{}/readyz", daemon.url());
            http::until("the daemon is ready", || async {
                let reply = http::send("GET", &url, &[], "").await;
                (reply.status == 200).then_some(())
            })
            .await;
        }
    }

    /// Injects a fault into the platform.
    pub async fn platform_fault(&self, fault: &Fault) {
        let url = format!("{}/control/fault", self.platform.url());
        http::send("PUT", &url, &[], fault).await;
    }

    /// Asks daemon `index` to complete `prompt` with `limit` tokens from `seed`, without streaming.
    pub async fn complete(&self, index: usize, prompt: &str, limit: u32, seed: u64) -> Reply {
        let url = format!("{}/v1/completions", self.daemons[index].url());
        let body = serde_json::json!({
            "model": MODEL, "prompt": prompt, "max_tokens": limit, "seed": seed,
        });
        let key = format!("Bearer {KEY}");
        http::send("POST", &url, &[("authorization", &key)], &body).await
    }

    /// Asks daemon `index` to stream a completion of `prompt` with `limit` tokens from `seed`.
    ///
    /// # Panics
    ///
    /// If the answer is not streamed.
    pub async fn stream(&self, index: usize, prompt: &str, limit: u32, seed: u64) -> Answer {
        let body = serde_json::json!({
            "model": MODEL, "prompt": prompt, "max_tokens": limit, "seed": seed, "stream": true,
        });
        let answer = self.ask(index, &[], &body).await;
        answer.unwrap_or_else(|reply| panic!("{reply:?}"))
    }

    /// Posts `body` to the completions endpoint of daemon `index`, with additional headers.
    ///
    /// # Errors
    ///
    /// The answer, if it is not streamed.
    pub async fn ask(&self, index: usize, headers: &[(&str, &str)], body: &Value) -> Result<Answer, Reply> {
        let url = format!("{}/v1/completions", self.daemons[index].url());
        let key = format!("Bearer {KEY}");
        let mut all = vec![("authorization", key.as_str())];
        all.extend_from_slice(headers);
        Answer::open(&url, &all, body).await
    }

    /// Injects a fault into engine `index`.
    pub async fn engine_fault(&self, index: usize, fault: &EngineFault) {
        let url = format!("{}/control/fault", self.engines[index].url());
        http::send("PUT", &url, &[], fault).await;
    }

    /// Number of attempts that engine `index` has accepted.
    pub async fn attempts_served(&self, index: usize) -> u64 {
        http::read(&format!("{}/control/served", self.engines[index].url())).await
    }

    /// Waits until an engine runs a request and returns its index.
    pub async fn wait_for_serving(&self) -> usize {
        http::until("an engine runs a request", || async {
            for (index, engine) in self.engines.iter().enumerate() {
                let load: LoadBody = http::read(&format!("{}/v1/load", engine.url())).await;
                if load.running > 0 {
                    return Some(index);
                }
            }
            None
        })
        .await
    }

    /// Value of a metric without labels on daemon `index`.
    pub async fn metric(&self, index: usize, name: &str) -> f64 {
        let url = format!("{}/metrics", self.daemons[index].url());
        let page = http::send("GET", &url, &[], "").await.body;
        let line = page.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|v| v.parse().ok()).unwrap_or(0.0)
    }

    /// Waits until each daemon knows all other daemons.
    pub async fn wait_for_peers(&self) {
        let others = (self.daemons.len() - 1) as f64;
        for index in 0..self.daemons.len() {
            http::until("the daemon knows its peers", || async {
                let known = self.metric(index, "sequoiastream_peers").await;
                (known >= others).then_some(())
            })
            .await;
        }
    }

    /// Number of engines that have exited.
    pub fn exited_engines(&mut self) -> usize {
        let running = |engine: &mut Process| engine.is_running();
        let running = self.engines.iter_mut().map(running).filter(|r| *r).count();
        self.engines.len() - running
    }

    /// Starts an additional engine with the fleet's engine arguments.
    pub fn start_engine(&self) -> Process {
        let args = ["engine".to_string(), "--decode-rate=400".to_string()];
        Process::start(&self.binaries.standin, args)
    }
}
