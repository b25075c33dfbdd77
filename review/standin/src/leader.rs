//! A leader is cut off from the platform while a call of its duty is on the way.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::deployment::Instance;
use crate::deployment::Settings;
use crate::deployment::block;
use crate::deployment::wait_for;
use crate::engine::Engine;
use crate::engine::Run;
use crate::http;
use crate::http::Reader;
use crate::link::Cut;
use crate::link::Link;
use crate::link::Observer;
use crate::record::Record;
use crate::store::Store;

/// Length of the cut: that of the sites' entries for `core_cut` and `node_cut`.
const CUT_LENGTH: Duration = Duration::from_millis(5_500);

/// `ThawMs`: calls that arrive this long after their sender's link healed don't count.
const THAW: Duration = Duration::from_millis(300);

/// How long ago the leader's last renewal must have been sent when the cut begins. It renews once a second.
const MIN_RENEWAL_AGE: Duration = Duration::from_millis(400);

/// How long the whole run lasts at most.
const RUN_TIME: Duration = Duration::from_secs(90);

const KEY: &str = "h5mgjy5rcpihhacrudde";

/// A call of a duty, as it arrived at the platform.
#[derive(Debug, Clone)]
struct DutyCall {
    at: Duration,
    instant: Instant,
    subject: String,
    holder: String,
    fence: u64,
    body: String,
}

/// Runs the case; returns whether the rule held.
pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> io::Result<bool> {
    let record = Arc::new(Record::new());
    let calls = Arc::new(Mutex::new(Vec::new()));
    let block = block();
    let platform = format!("{block}.1");
    let (store, store_address) = Store::start(&platform)?;
    let api = start_api(&platform, record.clone(), calls.clone())?;
    store.put("op/config", &config());
    let runs = Arc::new(AtomicU64::new(0));
    let mut engines = Vec::new();
    for (number, zone) in ["a", "b"].into_iter().enumerate() {
        let runs = runs.clone();
        let engine = Engine::start(
            &platform,
            &format!("i-{number}"),
            "desk",
            zone,
            &store,
            move |_| {
                runs.fetch_add(1, Ordering::Relaxed);
                Run::Answer
            },
        )?;
        engines.push(engine);
    }
    let is_armed = Arc::new(AtomicBool::new(false));
    let (mut instances, mut links) = (Vec::new(), BTreeMap::new());
    for (number, zone) in ["a", "b", "a", "b"].into_iter().enumerate() {
        let name = format!("edge-{zone}-{number}");
        let ip = format!("{block}.{}", 10 + number);
        let link = Link::new(&name);
        let settings = Settings {
            name: &name,
            ip: &ip,
            zone,
            store: link.to(&platform, store_address, renewals())?,
            api: Some(link.to(&platform, api, trigger(is_armed.clone(), record.clone()))?),
        };
        instances.push(Instance::start(temporary, &settings)?);
        links.insert(name, link);
    }
    let outcomes = Arc::new(Mutex::new(BTreeMap::<u16, u64>::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = instances.iter().enumerate().map(|(number, instance)| {
        let (front, outcomes, is_over) = (instance.front, outcomes.clone(), is_over.clone());
        thread::spawn(move || call_on(number as u64, front, &outcomes, &is_over))
    });
    let callers: Vec<_> = callers.collect();
    // The first report of the first leader shows that the deployment works.
    let works = wait_for(Duration::from_secs(30), || {
        !calls.lock().expect("the calls").is_empty()
    });
    if !works {
        return Err(io::Error::other("no leader reported the usage"));
    }
    is_armed.store(trouble, Ordering::SeqCst);
    let is_cut =
        |links: &BTreeMap<String, Link>| links.values().find_map(|l| Some((l.machine.clone(), l.cut()?)));
    let left = || RUN_TIME.saturating_sub(record.now());
    if trouble {
        if !wait_for(left(), || is_cut(&links).is_some()) {
            return Err(io::Error::other(
                "no call was on its way as late after a renewal as is asked",
            ));
        }
        // Until the last retransmission and some more reports.
        thread::sleep(Duration::from_secs(14));
    } else {
        thread::sleep(Duration::from_secs(25));
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let running = instances.iter_mut().all(Instance::is_running);
    drop(instances);
    let cut = is_cut(&links);
    let broken = violations(&calls.lock().expect("the calls"), cut.as_ref());
    if let Some((machine, cut)) = &cut {
        let at = |instant: Instant| instant.saturating_duration_since(record.started).as_secs_f64();
        record.sum(format!(
            "{machine} was cut off from the platform from {:.3} s to {:.3} s",
            at(cut.begun),
            at(cut.healed)
        ));
    }
    let outcomes = outcomes.lock().expect("the outcomes");
    record.sum(format!(
        "requests by status (0: no answer): {outcomes:?}; run by engines: {}",
        runs.load(Ordering::SeqCst)
    ));
    record.write(folder, &broken)?;
    if !running {
        return Err(io::Error::other("an instance has ended by itself"));
    }
    Ok(broken.is_empty())
}

fn config() -> Value {
    json!({
        "Version": 1,
        "Routes": [{"Name": "r", "Host": "desk.example", "PathPrefix": "/lock/", "Kind": "non_idempotent", "TimeoutMs": 3000,
            "TargetLatencyMs": 300, "Priority": 0, "Service": "desk", "MaxAttempts": 1, "Public": false}],
        "Services": [{"Name": "desk", "HealthPath": "/healthz", "MaxConnections": 180, "Protocol": "h1", "Tls": false}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "t1", "ApiKeys": [KEY], "Priority": 1}],
    })
}

/// Notes when a machine renews its lease.
fn renewals() -> Observer {
    Arc::new(|link, bytes| {
        if bytes.starts_with(b"POST /v1/kv-keep/") {
            *link.renewed.lock().expect("the time") = Some(Instant::now());
        }
    })
}

/// Cuts the link of the leader as it has just sent a report, once.
fn trigger(is_armed: Arc<AtomicBool>, record: Arc<Record>) -> Observer {
    Arc::new(move |link, bytes| {
        let renewed = *link.renewed.lock().expect("the time");
        let is_due = renewed.is_some_and(|at| at.elapsed() >= MIN_RENEWAL_AGE);
        if bytes.starts_with(b"POST /usage") && is_due && is_armed.swap(false, Ordering::SeqCst) {
            link.begin_cut(CUT_LENGTH);
            record.note(format!(
                "{} has sent a report; its link to the platform is cut",
                link.machine
            ));
        }
    })
}

/// Starts the platform's API for duties, which checks nothing.
fn start_api(ip: &str, record: Arc<Record>, calls: Arc<Mutex<Vec<DutyCall>>>) -> io::Result<SocketAddr> {
    let address = format!("{ip}:0").parse().expect("an address");
    http::serve(address, move |mut stream: TcpStream| {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = Reader::new(reading);
        while let Ok(Some(request)) = reader.next() {
            let call = DutyCall {
                at: record.now(),
                instant: Instant::now(),
                subject: request.target().to_string(),
                holder: request.header("duty-holder").to_string(),
                fence: request.header("fencing-token").parse().unwrap_or_default(),
                body: String::from_utf8_lossy(&request.body).into_owned(),
            };
            record.note(format!(
                "arrives: {} holder {} token {} {}",
                call.subject, call.holder, call.fence, call.body
            ));
            calls.lock().expect("the calls").push(call);
            if http::write_answer(&mut stream, 200, &[], b"").is_err() {
                return;
            }
        }
    })
}

/// Sends requests to one instance, each on a connection of its own, until the run is over.
fn call_on(number: u64, front: SocketAddr, outcomes: &Mutex<BTreeMap<u16, u64>>, is_over: &AtomicBool) {
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        count += 1;
        let request = format!(
            "POST /lock/2f HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {:016x}\r\nDeadline-Ms: 3000\r\n\
             Credential: {KEY}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nlock",
            number << 32 | count
        );
        let answer = http::call(front, request.as_bytes(), Duration::from_secs(3));
        let status = answer.map_or(0, |answer| answer.status());
        *outcomes.lock().expect("the outcomes").entry(status).or_default() += 1;
        thread::sleep(Duration::from_millis(80));
    }
}

/// Calls with a lower fencing token than the platform had seen for that duty, except those that arrive within [`THAW`]
/// after the link of their sender healed.
fn violations(calls: &[DutyCall], cut: Option<&(String, Cut)>) -> Vec<String> {
    let mut highest: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    let mut broken = Vec::new();
    for call in calls.iter() {
        let is_excused = cut.is_some_and(|(machine, cut)| {
            *machine == call.holder && call.instant >= cut.begun && call.instant <= cut.healed + THAW
        });
        let seen = highest.entry(&call.subject).or_insert((call.fence, &call.holder));
        if call.fence < seen.0 && !is_excused {
            broken.push(format!(
                "ONE: {:.3} s: {} of {} has token {}, after token {} of {}",
                call.at.as_secs_f64(),
                call.subject,
                call.holder,
                call.fence,
                seen.0,
                seen.1
            ));
        }
        if call.fence >= seen.0 {
            *seen = (call.fence, &call.holder);
        }
    }
    broken
}
