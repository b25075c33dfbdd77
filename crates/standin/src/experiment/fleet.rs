//! A deployment of processes for one run.

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

/// Token of the operator.
const TOKEN: &str = "operator-token-of-the-experiment";

/// Key of the messages between instances.
const CLUSTER: &str = "cluster-key-of-the-experiment";

/// Model of the engines.
pub const MODEL: &str = "ghiaccio-7b";

/// How long the configuration may take to be in force.
const IN_FORCE: Duration = Duration::from_secs(20);

/// Pause between questions for the version in force.
const PAUSE: Duration = Duration::from_millis(50);

/// A product of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owed {
    /// Its name.
    pub name: String,
    /// Its share in percent.
    pub share: u32,
    /// Its weight of role changes.
    pub weight: u32,
}

impl Owed {
    /// Its API key.
    pub fn key(&self) -> String {
        format!("key-of-{}", self.name)
    }
}

/// What to start.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Where the binaries are.
    pub binaries: PathBuf,
    /// Policy of the daemons.
    pub policy: String,
    /// Roles of the engines at first, one each.
    pub roles: Vec<Role>,
    /// Daemons.
    pub daemons: usize,
    /// Products.
    pub products: Vec<Owed>,
    /// Milliseconds that a role change takes an engine away.
    pub away: u64,
    /// Requests that an engine runs at once in role decode.
    pub slots: u32,
    /// Tokens a second of a request that runs alone.
    pub decode: u32,
}

/// The running processes; they end with it.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Process,
    /// Engines `e0`, `e1`, ...
    pub engines: Vec<Process>,
    /// A plain upstream.
    pub plain: Process,
    /// Daemons `i0`, `i1`, ...
    pub daemons: Vec<Process>,
}

impl Fleet {
    /// Starts the processes and waits until the configuration is in force.
    ///
    /// # Errors
    ///
    /// If the configuration isn't accepted or not in force in time.
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
                format!("--away={}", plan.away),
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
            format!("--operator-token={TOKEN}"),
            format!("--cluster-key={CLUSTER}"),
            format!("--policy={}", plan.policy),
            "--load-ms=250".to_string(),
            format!("--away-ms={}", plan.away),
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
        self.statement(&text).await?;
        for daemon in &self.daemons {
            self.wait_in_force(daemon).await?;
        }
        Ok(())
    }

    /// Gives statements to the first daemon.
    ///
    /// # Errors
    ///
    /// If they are refused.
    pub async fn statement(&self, text: &str) -> eyre::Result<()> {
        let body = json!({"id": Uuid::new_v4(), "who": "experiment", "text": text, "dry": false});
        let url = format!("{}/operator/statement", self.daemons[0].url());
        let sent = client().post(url).bearer_auth(TOKEN).send_json(&body).await;
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
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(IN_FORCE, waiting).await?;
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

/// Puts JSON, as to a stand-in's `/control`.
///
/// # Errors
///
/// If it can't be reached.
pub async fn put<B>(url: &str, body: &B) -> eyre::Result<()>
where
    B: Serialize,
{
    let sent = client().put(url).send_json(body).await;
    sent.map_err(|e| eyre::eyre!("could not put {url}: {e}"))?;
    Ok(())
}
