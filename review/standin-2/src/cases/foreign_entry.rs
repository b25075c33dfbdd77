//! Another writer leaves an entry with missing fields under `servers/`. Its address is that of a web server of theirs.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::cases::Verdict;
use crate::client;
use crate::client::End;
use crate::engine;
use crate::engine::Answer;
use crate::http::Head;
use crate::world::MWANGAZA_FARES;
use crate::world::World;

const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"wallet-debit","Host":"desk.example","PathPrefix":"/wallets/","Service":"fare-core","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"MaxAttempts":1}],"Services":[{"Name":"fare-core","HealthPath":"/healthz","MaxConnections":440}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":10000}}"#;

/// Debits of each of the requesters, and the pause between two.
const DEBITS: usize = 150;
const PAUSE: Duration = Duration::from_millis(150);

/// Requesters at each instance.
const REQUESTERS: usize = 8;

/// Work of a debit at an engine.
const WORK: Duration = Duration::from_millis(60);

pub fn run(record: &str, trouble: bool) -> std::io::Result<Verdict> {
    let mut world = World::new(record)?;
    world.site = MWANGAZA_FARES;
    world.configure(CONFIG);
    let runs = Arc::new(Mutex::new(Vec::<String>::new()));
    let mut engines = Vec::new();
    for (index, zone) in [0, 0, 1, 1].into_iter().enumerate() {
        let address = world.address(8_080)?;
        let id = format!("i-{:08x}", 0x5a10_0000 + index);
        engine::serve(
            address,
            wallet_engine(id.clone(), runs.clone(), world.record.clone()),
        )?;
        engines.push(world.register(&id, "fare-core", world.site.zones[zone], address, 6));
    }
    let foreign = world.address(8_090)?;
    let strays = Arc::new(AtomicUsize::new(0));
    engine::serve(foreign, web_server(strays.clone(), world.record.clone()))?;
    let instances = [
        world.start_instance(MWANGAZA_FARES.zones[0], "")?,
        world.start_instance(MWANGAZA_FARES.zones[1], "")?,
    ];
    if !instances.iter().all(|instance| world.wait_ready(instance)) {
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(4));
    if trouble {
        let entry =
            format!("{{\"Service\":\"fare-core\",\"Address\":\"{foreign}\",\"Slots\":6,\"State\":\"ready\"}}");
        world.store.put("servers/ticket-printer-7", &entry);
        world
            .record
            .note(&format!("another writer: servers/ticket-printer-7 = {entry}"));
    }
    // `StableWindowMs` later every machine is in touch again, whatever the entry counts as.
    thread::sleep(Duration::from_secs(5));
    let (sent, denied) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let served = Arc::new(AtomicUsize::new(0));
    let mut threads = Vec::new();
    for requester in 0..REQUESTERS * instances.len() {
        let front = instances[requester % instances.len()].front;
        let (sent, denied, served) = (sent.clone(), denied.clone(), served.clone());
        let record = world.record.clone();
        threads.push(thread::spawn(move || {
            for debit in 0..DEBITS {
                let id = format!("{requester:04x}{debit:012x}");
                let bytes = client::request("POST", "/wallets/7421/debit", &id, 3_000, "", b"fare 600");
                sent.fetch_add(1, Ordering::SeqCst);
                record.note(&format!("requester {requester} sends {id} to {front}"));
                let seen = client::exchange(front, &bytes, Duration::from_millis(3_200));
                let seal = if seen.is_sealed() { "sealed" } else { "no seal" };
                record.note(&format!(
                    "requester {requester} gets {} ({seal}, {:?}) for {id}",
                    seen.status, seen.end
                ));
                let is_own = !seen.is_sealed() && (300..500).contains(&seen.status);
                if is_own && ![408, 421, 429].contains(&seen.status) {
                    denied.fetch_add(1, Ordering::SeqCst);
                }
                if seen.status == 200 && seen.is_sealed() && seen.end == End::Complete {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(PAUSE);
            }
        }));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let (sent, denied) = (sent.load(Ordering::SeqCst), denied.load(Ordering::SeqCst));
    let served = served.load(Ordering::SeqCst);
    let strays = strays.load(Ordering::SeqCst);
    let runs = runs.lock().expect("no thread panics with the lock").len();
    let allowed = 5 + sent / 500;
    let summary = format!(
        "{sent} debits sent, {served} served, {runs} run by engines, {strays} reached the other writer's server, {denied} ended with an unsealed 3xx or 4xx (DENIED allows {allowed})"
    );
    world.record.note(&summary);
    println!("{summary}");
    drop(engines);
    Ok(match (denied > allowed, trouble || served == sent) {
        (true, _) => Verdict::Broken,
        (false, true) => Verdict::Held,
        (false, false) => Verdict::NotRun,
    })
}

/// An engine of the wallets.
fn wallet_engine(id: String, runs: Arc<Mutex<Vec<String>>>, record: crate::world::Record) -> Answer {
    Arc::new(move |head: &Head, _: &[u8], writer: &mut TcpStream| {
        if engine::rejects(&id, head, writer) {
            return true;
        }
        let request = head.get("request-id").unwrap_or_default().to_string();
        record.note(&format!("engine {id} runs {request}"));
        runs.lock()
            .expect("no thread panics with the lock")
            .push(request.clone());
        thread::sleep(WORK);
        let body = format!("debited by {id} for {request}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: seal.{id}.{request}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(answer.as_bytes()).is_ok()
    })
}

/// A web server that knows nothing of the platform: it has no page at such a path.
fn web_server(strays: Arc<AtomicUsize>, record: crate::world::Record) -> Answer {
    Arc::new(move |head: &Head, _: &[u8], writer: &mut TcpStream| {
        strays.fetch_add(1, Ordering::SeqCst);
        let request = head.get("request-id").unwrap_or_default();
        record.note(&format!(
            "the other writer's server gets {} of {request}",
            head.first
        ));
        let page = "<h1>Not Found</h1>";
        let answer = format!(
            "HTTP/1.1 404 Not Found\r\nContent-Type: text/html\r\nContent-Length: {}\r\n\r\n{page}",
            page.len()
        );
        writer.write_all(answer.as_bytes()).is_ok()
    })
}
