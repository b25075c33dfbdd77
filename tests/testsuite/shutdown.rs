//! Graceful shutdown of entry instances and stand-ins.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use futures_util::StreamExt;
use futures_util::future::join_all;
use sequoiastream_caller::AddressBody;
use sequoiastream_core::shutdown::Phase;
use sequoiastream_core::shutdown::Shutdown;
use sequoiastream_core::shutdown::ShutdownTimes;
use sequoiastream_core::time::Time;
use sequoiastream_kv::ListedState;
use sequoiastream_standin::engine::expected_text;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::KEY;
use sequoiastream_testsupport::fleet::MODEL;
use sequoiastream_testsupport::http;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::support::quick_fleet;
use crate::support::quick_fleet_keeping;

#[test]
fn step_phases() {
    let times = ShutdownTimes {
        address_ttl: Duration::from_secs(10),
        margin: Duration::from_secs(2),
        refuse: Duration::from_secs(1),
        drain: Duration::from_secs(60),
    };
    let cases = [
        (0, 5, Phase::Unlisted),
        (11_999, 0, Phase::Unlisted),
        (12_000, 0, Phase::Refusing),
        (12_999, 0, Phase::Refusing),
        (13_000, 1, Phase::Refusing),
        (72_999, 1, Phase::Refusing),
        (73_000, 1, Phase::Drained),
    ];
    let mut shutdown = Shutdown::new(times);
    assert_eq!(shutdown.step(Time::from_millis(99_000), 0), Phase::Serving);
    shutdown.begin(Time::ZERO);
    for (at, running, expected) in cases {
        assert_eq!(shutdown.step(Time::from_millis(at), running), expected, "{at}");
    }
    let mut idle = Shutdown::new(times);
    idle.begin(Time::ZERO);
    assert_eq!(idle.step(Time::from_millis(13_000), 0), Phase::Drained);
}

/// Counts and faults that the callers of a test run observed.
#[derive(Debug, Default)]
struct Seen {
    streams: Cell<u32>,
    calls: Cell<u32>,
    orders: Cell<u32>,
    faults: RefCell<Vec<String>>,
    stop: Cell<bool>,
}

fn count(cell: &Cell<u32>) {
    cell.set(cell.get() + 1);
}

/// A caller that caches an address for as long as the answer allows.
struct Caller {
    client: Client,
    index: u64,
    addresses: Vec<SocketAddr>,
    until: Instant,
    seen: Rc<Seen>,
}

impl Caller {
    async fn run(mut self) {
        for turn in 0.. {
            if self.seen.stop.get() {
                return;
            }
            let to = self.address().await;
            let result = match turn % 3 {
                0 => self.stream(to, turn).await,
                1 => self.call(to).await,
                _ => self.order(to).await,
            };
            if let Err(fault) = result {
                // One fault is enough to fail the test; a caller that continued would only repeat it.
                self.seen.stop.set(true);
                let mut faults = self.seen.faults.borrow_mut();
                faults.push(format!("caller {} turn {turn} at {to}: {fault}", self.index));
            }
        }
    }

    /// Returns the address to use now, and requests it again once the cached answer has expired.
    async fn address(&mut self) -> SocketAddr {
        if Instant::now() < self.until {
            return self.addresses[0];
        }
        for known in self.addresses.clone() {
            let asked = Instant::now();
            let url = format!("http://{known}/v1/addresses?conversation={}", self.index);
            // The instance at an expired address may be gone; any other instance can answer the request as well.
            let Ok(mut answer) = self.client.get(url).bearer_auth(KEY).send().await else {
                continue;
            };
            let Ok(body) = answer.json::<AddressBody>().await else {
                continue;
            };
            if body.addresses.is_empty() {
                continue;
            }
            self.addresses = body.addresses;
            self.until = asked + Duration::from_secs_f64(body.keep);
            return self.addresses[0];
        }
        panic!("caller {}: nobody answers among {:?}", self.index, self.addresses);
    }

    async fn stream(&self, to: SocketAddr, turn: u64) -> Result<(), String> {
        let prompt = format!("how many kilos {}", self.index);
        let limit = 60 + (turn % 5) * 100;
        let body = json!({
            "model": MODEL, "prompt": prompt, "max_tokens": limit, "seed": turn, "stream": true,
        });
        let sent = self
            .client
            .post(format!("http://{to}/v1/completions"))
            .bearer_auth(KEY);
        let mut answer = sent.send_json(&body).await.map_err(|e| e.to_string())?;
        let mut bytes = Vec::new();
        while let Some(chunk) = answer.next().await {
            bytes.extend_from_slice(&chunk.map_err(|e| format!("cut after {} bytes: {e}", bytes.len()))?);
        }
        let text = String::from_utf8_lossy(&bytes);
        let events = text.lines().filter_map(|l| l.strip_prefix("data: "));
        let events: Vec<Value> = events.filter_map(|l| serde_json::from_str(l).ok()).collect();
        let whole: String = events
            .iter()
            .filter_map(|e| e["choices"][0]["text"].as_str())
            .collect();
        if whole != expected_text(turn, &prompt, 1, u32::try_from(limit).expect("small")) {
            return Err(format!("status {}, not whole: {text}", answer.status()));
        }
        count(&self.seen.streams);
        Ok(())
    }

    async fn call(&self, to: SocketAddr) -> Result<(), String> {
        let url = format!("http://{to}/services/ordini/lookup");
        let mut answer = self
            .client
            .get(url)
            .bearer_auth(KEY)
            .send()
            .await
            .map_err(|e| e.to_string())?;
        let body = answer.body().await.map_err(|e| e.to_string())?;
        count(&self.seen.calls);
        match answer.status().as_u16() {
            200 => Ok(()),
            status => Err(format!("lookup: status {status}: {body:?}")),
        }
    }

    async fn order(&self, to: SocketAddr) -> Result<(), String> {
        let key = Uuid::now_v7().to_string();
        let url = format!("http://{to}/services/ordini/orders");
        let sent = self
            .client
            .post(url)
            .bearer_auth(KEY)
            .insert_header(("idempotency-key", key));
        let mut answer = sent.send_body("two pellets").await.map_err(|e| e.to_string())?;
        let body = answer.body().await.map_err(|e| e.to_string())?;
        count(&self.seen.orders);
        match answer.status().as_u16() {
            200 => Ok(()),
            status => Err(format!("order: status {status}: {body:?}")),
        }
    }
}

async fn wait_until_named(fleet: &Fleet, count: usize) {
    for daemon in &fleet.daemons {
        let url = format!("{}/v1/addresses", daemon.url());
        http::until("all are named", || async {
            let key = format!("Bearer {KEY}");
            let reply = http::send("GET", &url, &[("authorization", &key)], "").await;
            let named = reply.json::<AddressBody>().addresses.len();
            (named == count).then_some(())
        })
        .await;
    }
}

/// Operators replace all eight instances one after another while callers stream, look up and order. No caller may see
/// a truncated stream, a closed connection or a lost order, as long as it caches an address only for the time that
/// the answer allows.
#[actix_web::test]
async fn replace_all_under_load() {
    let mut fleet = quick_fleet()
        .daemons(8)
        .engines(4)
        .plain(1)
        .start_configured()
        .await;
    // This product has the whole engine capacity as its share, so that admission refuses none of this light load.
    let version = fleet.apply(0, "alter product dispatch share 100").await;
    fleet.wait_for_version(version).await;
    wait_until_named(&fleet, 8).await;
    let seen = Rc::new(Seen::default());
    let addresses: Vec<SocketAddr> = fleet.daemons.iter().map(|d| d.address()).collect();
    let callers = (0..8).map(|index| {
        let caller = Caller {
            client: Client::builder().timeout(Duration::from_secs(20)).finish(),
            index,
            addresses: addresses.clone(),
            until: Instant::now(),
            seen: seen.clone(),
        };
        actix_web::rt::spawn(caller.run())
    });
    let callers: Vec<_> = callers.collect();
    for index in 0..8 {
        fleet.list_instance(index, ListedState::Leaving).await;
        fleet.daemons[index].signal("TERM");
        while fleet.daemons[index].is_running() {
            http::until("a request ends", || async { Some(()) }).await;
            actix_web::rt::task::yield_now().await;
        }
        assert!(
            fleet.daemons[index].wait().success(),
            "instance {index} exits with 0"
        );
        fleet.daemons[index] = fleet.start_daemon(index).await;
        fleet.wait_for_version(version).await;
        wait_until_named(&fleet, 8).await;
    }
    http::until("there was load enough", || async {
        let counts = [&seen.streams, &seen.calls, &seen.orders].map(Cell::get);
        (seen.stop.get() || counts.iter().all(|count| *count > 100)).then_some(())
    })
    .await;
    seen.stop.set(true);
    join_all(callers).await;
    let faults = seen.faults.take();
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
    let runs: BTreeMap<String, u32> = http::read(&format!("{}/control/runs", fleet.plain[0].url())).await;
    let doubled = runs
        .iter()
        .filter(|(key, runs)| *key != "-" && **runs > 1)
        .count();
    assert_eq!(doubled, 0, "orders ran twice");
}

/// A caller uses an address long after it expired. The instance, which is about to exit, must report correctly that
/// nothing ran and which instance accepts the request; the stream that it still serves must end complete.
#[actix_web::test]
async fn refuse_stopping() {
    let mut fleet = quick_fleet_keeping(100).daemons(2).start_configured().await;
    wait_until_named(&fleet, 2).await;
    let mut stream = fleet.stream(0, "a long stream", 1_500, 3).await;
    fleet.daemons[0].signal("TERM");
    let reply = http::until("it refuses", || async {
        let reply = fleet.complete(0, "which crossover", 3, 1).await;
        (reply.status != 200).then_some(reply)
    })
    .await;
    let body: Value = reply.json();
    assert_eq!((reply.status, reply.outcome.as_deref()), (503, Some("not-run")));
    assert_eq!(body["error"]["reason"], "stopping");
    let other = fleet.daemons[1].address().to_string();
    let message = body["error"]["message"].as_str().unwrap_or_default();
    assert!(message.contains(&other), "{message}");
    stream.read_all().await;
    assert_eq!((stream.outcome.as_deref(), stream.tokens), (Some("whole"), 1_500));
    assert!(fleet.daemons[0].wait().success());
}

/// An engine stand-in is told to exit while a stream runs and a daemon polls its load. The stream must end complete,
/// and the engine must not wait for the daemon's connection to close.
#[actix_web::test]
async fn standin_finishes_stream() {
    let mut fleet = quick_fleet().start_configured().await;
    let mut stream = fleet.stream(0, "a long stream", 600, 3).await;
    fleet.engines[0].signal("TERM");
    stream.read_all().await;
    assert_eq!((stream.outcome.as_deref(), stream.tokens), (Some("whole"), 600));
    assert!(fleet.engines[0].wait().success());
}

/// Requests `url` repeatedly over one persistent connection until a response announces that the connection closes.
async fn wait_for_close(client: &Client, url: &str) {
    http::until("the connection ends with an answer", || async {
        let answer = client
            .get(url)
            .send()
            .await
            .unwrap_or_else(|e| panic!("GET {url}: {e}"));
        let header = answer.headers().get("connection").cloned();
        header.is_some_and(|value| value == "close").then_some(())
    })
    .await;
}

/// A caller keeps a connection in constant use. An instance that shuts down must close it with a response: if it
/// waited for the connection to become idle, it would in the end close it with a request in flight.
#[actix_web::test]
async fn end_kept_connection() {
    let fleet = quick_fleet_keeping(20_000).start_configured().await;
    let client = Client::new();
    let url = format!("{}/healthz", fleet.daemons[0].url());
    client.get(&url).send().await.expect("an answer");
    fleet.daemons[0].signal("TERM");
    wait_for_close(&client, &url).await;
}

/// Guards against an instance that never exits because its log is no longer read. The reader of its standard error
/// ends, a line is to be written and SIGTERM arrives: the failed write would make the thread panic that handles the
/// shutdown.
#[actix_web::test]
async fn stop_log_unread() {
    let fixed = [
        "--name=i0",
        "--zone=lodi-a",
        "--listen=127.0.0.1:0",
        "--peer=127.0.0.1:0",
        "--keep-ms=100",
    ];
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_sequoiastreamd"))
        .args(fixed)
        .args([
            "--margin-ms=100",
            "--refuse-ms=100",
            "--platform=http://127.0.0.1:1",
        ])
        .args([
            "--operator-token=operator-token-for-tests",
            "--cluster-key=cluster-key-for-tests",
        ])
        .env("RUST_LOG", "info")
        .stderr(std::process::Stdio::piped())
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("it starts");
    drop(child.stderr.take());
    let mut line = String::new();
    let out = child.stdout.take().expect("it is piped");
    std::io::BufRead::read_line(&mut std::io::BufReader::new(out), &mut line).expect("it listens");
    let id = child.id().to_string();
    let sent = std::process::Command::new("kill").args(["-TERM", &id]).status();
    assert!(sent.expect("kill can be run").success());
    let ended = http::until("it ends", || {
        let status = child.try_wait().expect("it can be waited for");
        async move { status }
    })
    .await;
    assert!(ended.success(), "{ended}");
}
