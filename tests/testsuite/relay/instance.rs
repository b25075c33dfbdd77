//! A relay instance in this process, between scripted engines and callers that send raw bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use sequoiastream::ops::relay::edge::Dialect;
use sequoiastream::ops::relay::edge::Directory;
use sequoiastream::ops::relay::edge::HeaderNames;
use sequoiastream::ops::relay::edge::Malformed;
use sequoiastream::ops::relay::edge::Paths;
use sequoiastream::ops::relay::edge::StoreKeys;
use sequoiastream::ops::relay::edge::Translate;
use sequoiastream::ops::relay::listen;
use sequoiastream::ops::relay::options::Options;
use sequoiastream::ops::relay::options::ReloadableOptions;
use sequoiastream::ops::relay::shared::Shared;
use sequoiastream::util::log_budget::LogBudget;
use sequoiastream_core::relay::budget::BudgetLimits;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::limit_report::RequestRate;
use sequoiastream_core::relay::prompt::Part;
use sequoiastream_core::relay::prompt::Prompt;
use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::Route;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RouteTarget;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::scale::ScaleOrder;
use sequoiastream_core::relay::usage::Counts;
use sequoiastream_core::relay::usage::Window;
use sequoiastream_core::relay::watchers::ApplyLimit;
use sequoiastream_core::relay::workspaces::KeyAgeLimits;
use sequoiastream_core::relay::workspaces::KeyDigest;
use sequoiastream_core::relay::workspaces::Workspace;
use sequoiastream_core::relay::workspaces::Workspaces;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Item;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::engine::ScriptedEngine;
use super::loopback::unique_address;

/// A dialect for tests: an engine is stored as `SERVICE ADDRESS STAGE SEQUENCE`, a configuration as `VERSION PREFIX`, with
/// ` KEYS` after it if callers need a key: then the workspace `huka` has these, separated by commas.
#[derive(Debug)]
pub struct TestDialect(Dialect);

impl TestDialect {
    /// Creates the dialect.
    pub fn new() -> TestDialect {
        let name = HeaderName::from_static;
        TestDialect(Dialect {
            names: HeaderNames {
                request: name("x-request"),
                deadline: name("x-deadline"),
                last_event: name("x-resume"),
                resumes: name("x-resumes"),
                signature: name("x-seal"),
                target_engine: name("x-expect"),
                declined: name("x-declined"),
                stage: name("x-stage"),
                prefill: "read",
                prompt_source: name("x-source"),
                fetch_from: name("x-fetch"),
                model: name("x-model"),
                tokens: name("x-tokens"),
                expected: name("x-expected"),
                parts: name("x-parts"),
                key: name("x-key"),
                workspace: name("x-workspace"),
                priority: name("x-priority"),
                leader: name("x-holder"),
                fence: name("x-fence"),
                reserved: [
                    "x-expect",
                    "x-stage",
                    "x-source",
                    "x-fetch",
                    "x-key",
                    "x-workspace",
                    "x-priority",
                ]
                .map(name)
                .to_vec(),
            },
            keys: StoreKeys {
                config: "config".to_string(),
                engines: "engines/".to_string(),
                instances: "own/".to_string(),
                orders: "orders/".to_string(),
                leader: "lead".to_string(),
                usage: "usage".to_string(),
                versions: "versions".to_string(),
                streams: "streams/".to_string(),
                crashes: "crashes/".to_string(),
            },
            paths: Paths {
                ready: "/ready".to_string(),
                resolve: "/addresses".to_string(),
                order: "/order".to_string(),
                usage: "/usage".to_string(),
                scale: "/scale".to_string(),
            },
            directory: Directory {
                zone: "zone".to_string(),
                max_addresses: 4,
            },
        })
    }
}

impl Translate for TestDialect {
    fn dialect(&self) -> &Dialect {
        &self.0
    }

    fn config(&self, value: &[u8]) -> Result<RoutingTable, Malformed> {
        let text = String::from_utf8_lossy(value);
        let mut fields = text.splitn(3, ' ');
        let (Some(version), Some(prefix)) = (fields.next(), fields.next()) else {
            return Err(Malformed::new("config", &text));
        };
        let version = version.parse().map_err(|e| Malformed::new("config", e))?;
        let route = route(RouteKind::Idempotent, prefix);
        let table = RoutingTable::new(version, CallerLimits::default(), vec![route], Vec::new());
        let workspaces = fields.next().map(|keys| {
            let keys = keys.split(',').map(|key| KeyDigest::of(key.as_bytes()));
            Workspaces::new(vec![Workspace {
                name: "huka".to_string(),
                priority: None,
                keys: keys.collect(),
            }])
        });
        let workspaces = workspaces
            .transpose()
            .map_err(|e| Malformed::new("config", format!("{e:?}")))?;
        Ok(table.with_workspaces(workspaces))
    }

    fn engine(&self, item: &Item) -> Result<Entry, Malformed> {
        let text = String::from_utf8_lossy(&item.value);
        let fields: Vec<&str> = text.split(' ').collect();
        let (&[service, address, stage, sequence] | &[service, address, stage, sequence, _]) =
            fields.as_slice()
        else {
            return Err(Malformed::new("engine", &text));
        };
        let version = fields.get(4).copied().unwrap_or("v1");
        Ok(Entry {
            id: item.key.replacen("engines/", "", 1),
            service: service.to_string(),
            address: address.parse().map_err(|e| Malformed::new("engine", e))?,
            zone: "a".to_string(),
            slots: 16,
            leaving: stage == "leaving",
            stage: if stage == "reads" {
                Stage::Prefill
            } else {
                Stage::Decode
            },
            version: version.to_string(),
            spot: false,
            sequence: sequence.parse().map_err(|e| Malformed::new("engine", e))?,
            create_revision: item.created,
            started: None,
        })
    }

    fn engine_id<'k>(&self, key: &'k str) -> Option<&'k str> {
        key.strip_prefix("engines/")
    }

    fn prompt(&self, model: &str, tokens: &str, parts: &str) -> Result<Prompt, Malformed> {
        let input: u32 = tokens.parse().map_err(|e| Malformed::new("prompt", e))?;
        let shared: Vec<u64> = parts.split(',').filter_map(|id| id.trim().parse().ok()).collect();
        let shared = if shared.is_empty() { vec![1] } else { shared };
        let tokens = input / 2 / u32::try_from(shared.len()).map_err(|e| Malformed::new("prompt", e))?;
        let mut parts: Vec<Part> = shared.into_iter().map(|id| Part { id, tokens }).collect();
        let own = input - parts.iter().map(|part| part.tokens).sum::<u32>();
        parts.push(Part { id: 0, tokens: own });
        Ok(Prompt {
            model: model.to_string(),
            input,
            output: 64,
            expected: None,
            parts,
        })
    }

    fn prefilled_name(&self, body: &[u8]) -> Result<String, Malformed> {
        let text = String::from_utf8_lossy(body);
        let name = text
            .strip_prefix("kept ")
            .ok_or_else(|| Malformed::new("kept", &text))?;
        Ok(name.to_string())
    }

    fn is_leaving(&self, headers: &HeaderMap) -> Result<bool, Malformed> {
        match headers.get("x-leaving").map(HeaderValue::as_bytes) {
            None => Ok(false),
            Some(b"1") => Ok(true),
            Some(other) => Err(Malformed::new("x-leaving", String::from_utf8_lossy(other))),
        }
    }

    fn requested_pause(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Option<Duration>, Malformed> {
        let value = headers.get(header::RETRY_AFTER).and_then(|v| v.to_str().ok());
        let Some(value) = value.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) else {
            return Ok(None);
        };
        let seconds: f64 = value.parse().map_err(|e| Malformed::new("retry-after", e))?;
        let pause = Duration::try_from_secs_f64(seconds).map_err(|e| Malformed::new("retry-after", e))?;
        Ok(Some(pause))
    }

    fn request_limit(&self, headers: &HeaderMap) -> Result<Option<RequestRate>, Malformed> {
        let Some(value) = headers.get("x-limit") else {
            return Ok(None);
        };
        let malformed = || Malformed::new("x-limit", format!("{value:?}"));
        let rate = value
            .to_str()
            .ok()
            .and_then(|v| v.parse().ok())
            .ok_or_else(malformed)?;
        RequestRate::per_second(rate).map(Some).ok_or_else(malformed)
    }

    fn release_path(&self, name: &str) -> String {
        format!("/release/{name}")
    }

    fn order(&self, stage: Stage, holder: &str, fence: u64) -> String {
        format!("{stage:?} {holder} {fence}")
    }

    fn usage(&self, window: Window, counts: &Counts) -> String {
        format!("{} {counts:?}", window.0)
    }

    fn scale(&self, order: &ScaleOrder) -> String {
        format!("{order:?}")
    }

    fn addresses(&self, addresses: &[SocketAddr], keep: Duration) -> String {
        format!("{addresses:?} {}", keep.as_millis())
    }
}

/// A route of this kind to the service `chat`.
pub fn route(kind: RouteKind, prefix: &str) -> Route {
    Route {
        name: "r".to_string(),
        host: "shop.example".to_string(),
        prefix: prefix.to_string(),
        kind,
        timeout: Duration::from_secs(20),
        latency_target: Duration::from_secs(10),
        gap_target: Duration::ZERO,
        priority: 0,
        max_attempts: 2,
        affine: false,
        public: false,
        targets: vec![RouteTarget {
            service: "chat".to_string(),
            weight: 1,
        }],
    }
}

/// Limits that allow request bodies of at most one mebibyte.
fn limits() -> CallerLimits {
    CallerLimits {
        max_body: 1 << 20,
        ..CallerLimits::default()
    }
}

/// Settings of an instance that listens on unique addresses.
pub fn options() -> Options {
    Options {
        name: "one".parse().expect("a name"),
        zone: "a".parse().expect("a name"),
        front: unique_address(7_001),
        ready: Some(unique_address(7_002)),
        directory: Some(unique_address(7_003)),
        metrics: Some(unique_address(7_005)),
        peer: unique_address(7_004),
        capacity: 250,
        descriptors: None,
        memory: None,
        cluster_key: "a secret of the tests".to_string(),
        leader: None,
        reloadable: ReloadableOptions {
            address_ttl: Duration::from_millis(50),
            grace_period: Duration::from_secs(8),
            budget_limits: BudgetLimits {
                ratio: 0.2,
                window: Duration::from_secs(10),
                slack: 56.0,
            },
            prefill_fraction: 0.5,
            hedge_ratio: 0.0,
            priority_admission: true,
            scale_headroom: None,
            apply_limit: ApplyLimit(Duration::from_millis(400)),
            heartbeat: Duration::from_millis(100),
            key_limits: KeyAgeLimits {
                change: Duration::from_millis(400),
                revoke: None,
            },
            retention: Duration::from_secs(600),
        },
    }
}

/// State of an instance that has not received any configuration or engines.
pub fn shared(options: Options) -> Arc<Shared> {
    let budget = Arc::new(Mutex::new(LogBudget::new(Time::ZERO)));
    Arc::new(Shared::new(options, Arc::new(TestDialect::new()), budget))
}

/// A running instance; its server stops when it is dropped.
pub struct Instance {
    /// Its shared state.
    pub shared: Arc<Shared>,
    server: ServerHandle,
}

impl Instance {
    /// Starts an instance with these engines and one route at `/r/`, which `change` may modify first.
    pub fn start<F>(kind: RouteKind, engines: &[(&ScriptedEngine, Stage)], change: F) -> Instance
    where
        F: FnOnce(&mut Route),
    {
        let engines: Vec<(SocketAddr, Stage)> = engines
            .iter()
            .map(|(engine, stage)| (engine.address(), *stage))
            .collect();
        Instance::start_before(kind, &engines, change)
    }

    /// As [`Instance::start`], with engines at these addresses.
    pub fn start_before<F>(kind: RouteKind, engines: &[(SocketAddr, Stage)], change: F) -> Instance
    where
        F: FnOnce(&mut Route),
    {
        let shared = shared(options());
        let mut route = route(kind, "/r/");
        change(&mut route);
        let engines = engines.iter().enumerate().map(|(index, (address, stage))| {
            let key = EngineKey(u32::try_from(index).expect("an index below 2^32"));
            let entry = Entry {
                address: *address,
                ..super::entry(&format!("e{index}"), *stage)
            };
            Engine::new(key, entry)
        });
        let engines: Vec<Engine> = engines.collect();
        shared.publish(|view| {
            view.table = Arc::new(RoutingTable::new(3, limits(), vec![route], Vec::new()));
            view.set_engines([("chat".to_string(), engines)].into());
            view.instances = 1;
        });
        Instance::serve(shared)
    }

    /// Starts the server of an instance with this state.
    pub fn serve(shared: Arc<Shared>) -> Instance {
        let server = listen::start(shared.clone()).expect("an unused address");
        Instance { shared, server }
    }

    /// Stops the server as at the end of a shutdown.
    pub async fn stop(&self, limit: Duration) {
        listen::stop(&self.server, limit).await;
    }

    /// Opens a connection of a caller.
    pub async fn connect(&self) -> Caller {
        Caller::connect(self.shared.options.front).await
    }

    /// Sends `raw` on a new connection and returns everything received until the connection is closed.
    pub async fn exchange(&self, raw: &str) -> String {
        let mut caller = self.connect().await;
        caller.send(raw).await;
        caller.read_to_end().await
    }

    /// As [`Instance::exchange`], from a caller that sends nothing after `raw`.
    pub async fn exchange_cut(&self, raw: &str) -> String {
        let mut caller = self.connect().await;
        caller.send(raw).await;
        caller.finish().await;
        caller.read_to_end().await
    }

    /// Sends a request for `path` with the request id `id` and the header lines `more` on a new connection, and returns
    /// everything received.
    pub async fn get(&self, path: &str, id: &str, more: &str) -> String {
        let raw = get_request(path, id, &format!("connection: close\r\n{more}"));
        self.exchange(&raw).await
    }

    /// As [`Instance::get`], for a POST request with this body.
    pub async fn post(&self, path: &str, id: &str, body: &str) -> String {
        let length = body.len();
        self.exchange(&format!(
            "POST {path} HTTP/1.1\r\nhost: shop.example\r\nx-request: {id}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        ))
        .await
    }
}

/// A GET request for `path` with the request id `id` and the header lines `more`.
pub fn get_request(path: &str, id: &str, more: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: shop.example\r\nx-request: {id}\r\n{more}\r\n")
}

impl Drop for Instance {
    fn drop(&mut self) {
        let server = self.server.clone();
        actix_web::rt::spawn(async move { server.stop(false).await });
    }
}

/// A caller's connection to an instance.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    /// Connects to `address`.
    pub async fn connect(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address).await.expect("a listening server");
        let buffer = Vec::new();
        Caller { stream, buffer }
    }

    /// Sends `raw` as it is.
    pub async fn send(&mut self, raw: &str) {
        self.stream
            .write_all(raw.as_bytes())
            .await
            .expect("an open connection");
    }

    /// Sends nothing more.
    pub async fn finish(&mut self) {
        // The instance may have closed the connection.
        let _ = self.stream.shutdown().await;
    }

    /// Returns everything received until the connection is closed or reset; panics if that takes more than 30 seconds.
    pub async fn read_to_end(&mut self) -> String {
        let limit = Duration::from_secs(30);
        let read = tokio::time::timeout(limit, self.stream.read_to_end(&mut self.buffer)).await;
        // A reset ends the answer as a regular close does.
        let _ = read.expect("the connection is closed within 30 s");
        String::from_utf8_lossy(&self.buffer).into_owned()
    }

    /// Reads until the received text contains `text`, and returns all of it; panics if the connection is closed before.
    pub async fn read_until(&mut self, text: &str) -> String {
        loop {
            let received = String::from_utf8_lossy(&self.buffer).into_owned();
            if received.contains(text) {
                return received;
            }
            let read = self
                .stream
                .read_buf(&mut self.buffer)
                .await
                .expect("an open connection");
            assert!(read > 0, "connection closed after {received:?}");
        }
    }
}

/// The status code of an answer; the whole text if it has no second word.
pub fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or(answer)
}
