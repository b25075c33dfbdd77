//! Starts and configures the processes of one run.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;

use awc::Client;
use eyre::bail;
use sequoiastream_core::config::Role;
use sequoiastream_core::name::Name;
use sequoiastream_kv::ListEntry;
use sequoiastream_kv::ListedState;
use serde::Serialize;
use serde_json::json;
use uuid::Uuid;

use crate::process::Process;

/// Token for operator requests.
const OPERATOR_TOKEN: &str = "operator-token-of-the-experiment";

/// Key that authenticates messages between instances.
const CLUSTER_KEY: &str = "cluster-key-of-the-experiment";

/// Model that the engines serve.
pub const MODEL: &str = "ghiaccio-7b";

/// Maximum time for the configuration to come into force on a daemon.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval for polling the version in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A product of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProductSpec {
    /// Name of the product.
    pub name: String,
    /// Share in percent.
    pub share: u32,
    /// Weight of role changes.
    pub weight: u32,
}

impl ProductSpec {
    /// Returns the API key of the product.
    pub fn key(&self) -> String {
        format!("key-of-{}", self.name)
    }
}

/// Processes to start, and their settings.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Folder that contains the binaries.
    pub binaries: PathBuf,
    /// Policy of the daemons.
    pub policy: String,
    /// Initial role of each engine.
    pub roles: Vec<Role>,
    /// Number of daemons.
    pub daemons: usize,
    /// Products to configure.
    pub products: Vec<ProductSpec>,
    /// How long a role change makes an engine unavailable, in milliseconds.
    pub change_ms: u64,
    /// Number of requests that an engine in role decode runs concurrently.
    pub slots: u32,
    /// Tokens per second of a request that runs alone on an engine.
    pub decode: u32,
}

/// The running processes of a deployment. They are stopped when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The stand-in platform.
    pub platform: Process,
    /// Engines `e0`, `e1`, ...
    pub engines: Vec<Process>,
    /// The plain upstream.
    pub plain: Process,
    /// Daemons `i0`, `i1`, ...
    pub daemons: Vec<Process>,
}

impl Fleet {
    /// Starts the processes and waits until the configuration is in force on all daemons.
    ///
    /// # Errors
    ///
    /// If an address can't be bound, or the configuration isn't accepted or isn't in force in time.
    pub async fn start(plan: &Plan) -> eyre::Result<Fleet> {
        let standin = plan.binaries.join("sequoiastream-standin");
        let platform = Process::start(&standin, ["platform"]);
        let engines = plan.roles.iter().map(|role| {
            let args = [
                "engine".to_string(),
                "--prefill-rate=16000".to_string(),
                format!("--decode-rate={}", plan.decode),
                format!("--slots={}", plan.slots),
                "--cache=16000".to_string(),
                format!("--away={}", plan.change_ms),
                format!("--role={role}"),
                format!("--model={MODEL}"),
            ];
            Process::start(&standin, args)
        });
        let engines = engines.collect();
        let plain = Process::start(&standin, ["plain"]);
        let mut fleet = Fleet {
            platform,
            engines,
            plain,
            daemons: Vec::new(),
        };
        for index in 0..plan.daemons {
            fleet.start_daemon(plan, index).await?;
        }
        fleet.configure(plan).await?;
        Ok(fleet)
    }

    async fn start_daemon(&mut self, plan: &Plan, index: usize) -> eyre::Result<()> {
        let peer = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let args = [
            format!("--name=i{index}"),
            "--zone=lodi-a".to_string(),
            "--listen=127.0.0.1:0".to_string(),
            format!("--peer={peer}"),
            format!("--platform={}", self.platform.url()),
            format!("--operator-token={OPERATOR_TOKEN}"),
            format!("--cluster-key={CLUSTER_KEY}"),
            format!("--policy={}", plan.policy),
            "--load-ms=250".to_string(),
            format!("--away-ms={}", plan.change_ms),
        ];
        let daemon = Process::start(&plan.binaries.join("sequoiastreamd"), args);
        let listed = ListEntry {
            name: Name::new(&format!("i{index}"))?,
            zone: Name::new("lodi-a")?,
            address: daemon.address(),
            peer: Some(peer),
            state: ListedState::Live,
        };
        let url = format!("{}/control/list/instances", self.platform.url());
        put(&url, &listed).await?;
        self.daemons.push(daemon);
        Ok(())
    }

    async fn configure(&self, plan: &Plan) -> eyre::Result<()> {
        let mut text = String::new();
        for product in &plan.products {
            text.push_str(&format!(
                "create product {} key \"{}\" share {} weight {};\n",
                product.name,
                product.key(),
                product.share,
                product.weight
            ));
        }
        text.push_str(&format!("create service assistente model \"{MODEL}\";\n"));
        text.push_str("create service ordini plain route POST \"/orders\" never route GET \"/\" safe;\n");
        for (index, engine) in self.engines.iter().enumerate() {
            let address = engine.address();
            text.push_str(&format!(
                "place engine e{index} service assistente zone lodi-a address {address};\n"
            ));
        }
        let address = self.plain.address();
        text.push_str(&format!(
            "place engine p0 service ordini zone lodi-a address {address};\n"
        ));
        self.submit_statement(&text).await?;
        for daemon in &self.daemons {
            self.wait_in_force(daemon).await?;
        }
        Ok(())
    }

    /// Submits statements to the first daemon.
    ///
    /// # Errors
    ///
    /// If the daemon can't be reached or refuses the statements.
    pub async fn submit_statement(&self, text: &str) -> eyre::Result<()> {
        let body = json!({"id": Uuid::new_v4(), "who": "experiment", "text": text, "dry": false});
        let url = format!("{}/operator/statement", self.daemons[0].url());
        let sent = client()
            .post(url)
            .bearer_auth(OPERATOR_TOKEN)
            .send_json(&body)
            .await;
        let mut answer = sent.map_err(|e| eyre::eyre!("could not reach the daemon: {e}"))?;
        if !answer.status().is_success() {
            let body = answer.body().await?;
            bail!("the statement was refused: {}", String::from_utf8_lossy(&body));
        }
        Ok(())
    }

    async fn wait_in_force(&self, daemon: &Process) -> eyre::Result<()> {
        let url = format!("{}/version", daemon.url());
        let ready = format!("{}/readyz", daemon.url());
        let waiting = async {
            loop {
                if let Ok(mut answer) = client().get(&url).send().await
                    && answer.json::<u64>().await.is_ok_and(|version| version > 0)
                    && client()
                        .get(&ready)
                        .send()
                        .await
                        .is_ok_and(|a| a.status().is_success())
                {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(IN_FORCE_TIMEOUT, waiting).await?;
        Ok(())
    }

    /// Addresses of the engines.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(Process::address).collect()
    }

    /// Addresses of the daemons.
    pub fn daemon_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Process::address).collect()
    }
}

fn client() -> Client {
    Client::builder().disable_redirects().finish()
}

/// Sends a PUT request with a JSON body, for example to `/control` of a stand-in. Ignores the response's status.
///
/// # Errors
///
/// If the request can't be sent or gets no response.
pub async fn put<B>(url: &str, body: &B) -> eyre::Result<()>
where
    B: Serialize,
{
    let sent = client().put(url).send_json(body).await;
    sent.map_err(|e| eyre::eyre!("PUT {url} failed: {e}"))?;
    Ok(())
}
