//! Engines send additional bytes after some of their answers, late: where the next answer on the channel is expected.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::cases::Verdict;
use crate::client;
use crate::client::End;
use crate::engine;
use crate::http::Head;
use crate::world::Record;
use crate::world::World;

const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"slot-lock","Host":"desk.example","PathPrefix":"/slots/","Service":"ordini","Kind":"non_idempotent","TimeoutMs":800,"TargetLatencyMs":100,"Priority":2,"MaxAttempts":1}],"Services":[{"Name":"ordini","HealthPath":"/healthz","MaxConnections":110}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":10000}}"#;

/// Orders of each of the requesters, and the pause between two.
const ORDERS: usize = 150;
const PAUSE: Duration = Duration::from_millis(150);
const REQUESTERS: usize = 12;

/// Work of an order at an engine.
const WORK: Duration = Duration::from_millis(15);

/// Two of the four engines spoil one in 33 of their answers: the share is at most 0.6, the part at most 0.05.
const SPOILING_ENGINES: usize = 2;
const SPOILT: usize = 33;

/// The bytes: an error page of the engine's HTTP server, which names no request and has no seal.
const EXTRA: &str = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 11\r\nConnection: close\r\n\r\nBad Request";

/// The requests that engines ran, by id.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

pub fn run(record: &str, trouble: bool) -> std::io::Result<Verdict> {
    let mut world = World::new(record)?;
    world.configure(CONFIG);
    let runs: Runs = Runs::default();
    let mut engines = Vec::new();
    for (index, zone) in ["lodi-a", "lodi-a", "lodi-b", "lodi-b"].into_iter().enumerate() {
        let address = world.address(8_080)?;
        let id = format!("i-{:08x}", 0x5a10_0000 + index);
        let spoils = trouble && index % 2 == 0 && index / 2 < SPOILING_ENGINES;
        serve(address, id.clone(), spoils, runs.clone(), world.record.clone())?;
        engines.push(world.register(&id, "ordini", zone, address, 6));
    }
    let instances = [
        world.start_instance("lodi-a", "")?,
        world.start_instance("lodi-b", "")?,
    ];
    if !instances.iter().all(|instance| world.wait_ready(instance)) {
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(4));
    let mut threads = Vec::new();
    for requester in 0..REQUESTERS {
        let front = instances[requester % instances.len()].front;
        let record = world.record.clone();
        threads.push(thread::spawn(move || order(requester, front, &record)));
    }
    let answers: Vec<(String, u16, bool, End)> = threads
        .into_iter()
        .flat_map(|t| t.join().unwrap_or_default())
        .collect();
    let runs = runs.lock().expect("no thread panics with the lock");
    let is_denied = |(_, status, sealed, _): &&(String, u16, bool, End)| {
        !sealed && (300..500).contains(status) && ![408, 421, 429].contains(status)
    };
    let denied: Vec<_> = answers.iter().filter(is_denied).collect();
    let denied_and_run = denied.iter().filter(|(id, ..)| runs.contains_key(id)).count();
    let served = answers
        .iter()
        .filter(|(_, status, sealed, end)| *status == 200 && *sealed && *end == End::Complete);
    let served = served.count();
    let (sent, allowed) = (answers.len(), 5 + answers.len() / 500);
    let summary = format!(
        "{sent} orders sent, {served} served, {} run by engines; {} ended with an unsealed 3xx or 4xx (DENIED allows {allowed}), {denied_and_run} of them had run",
        runs.len(),
        denied.len(),
    );
    world.record.note(&summary);
    println!("{summary}");
    drop(engines);
    Ok(match (denied.len() > allowed, trouble || served == sent) {
        (true, _) => Verdict::Broken,
        (false, true) => Verdict::Held,
        (false, false) => Verdict::NotRun,
    })
}

/// Sends orders, each on a channel of its own.
fn order(requester: usize, front: SocketAddr, record: &Record) -> Vec<(String, u16, bool, End)> {
    let mut answers = Vec::new();
    for order in 0..ORDERS {
        let id = format!("{requester:04x}{order:012x}");
        let bytes = client::request("POST", "/slots/bay", &id, 1_000, "", b"slot 14, truck 9");
        record.note(&format!("requester {requester} sends {id} to {front}"));
        let seen = client::exchange(front, &bytes, Duration::from_millis(1_200));
        let seal = if seen.is_sealed() { "sealed" } else { "no seal" };
        let text = String::from_utf8_lossy(&seen.body).into_owned();
        record.note(&format!(
            "requester {requester} gets {} ({seal}, {:?}) for {id}: {text}",
            seen.status, seen.end
        ));
        answers.push((id, seen.status, seen.is_sealed(), seen.end));
        thread::sleep(PAUSE);
    }
    answers
}

/// An engine of the order desk. One that spoils sends [`EXTRA`] after some answers, when the next request arrives.
fn serve(address: SocketAddr, id: String, spoils: bool, runs: Runs, record: Record) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let answered = Arc::new(Mutex::new(0usize));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs, record, answered) = (id.clone(), runs.clone(), record.clone(), answered.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                let mut owes_extra = false;
                while let Ok(Some(head)) = Head::read(&mut reader) {
                    if head.read_body(&mut reader).is_err() {
                        return;
                    }
                    if owes_extra {
                        record.note(&format!(
                            "engine {id} sends additional bytes after its last answer"
                        ));
                        let _ = writer.write_all(EXTRA.as_bytes());
                    }
                    if engine::rejects(&id, &head, &mut writer) {
                        continue;
                    }
                    let request = head.get("request-id").unwrap_or_default().to_string();
                    record.note(&format!("engine {id} runs {request}"));
                    *runs
                        .lock()
                        .expect("no thread panics with the lock")
                        .entry(request.clone())
                        .or_default() += 1;
                    thread::sleep(WORK);
                    let body = format!("reserved by {id} for {request}");
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: seal.{id}.{request}\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if writer.write_all(answer.as_bytes()).is_err() || owes_extra {
                        return;
                    }
                    let mut answered = answered.lock().expect("no thread panics with the lock");
                    *answered += 1;
                    owes_extra = spoils && *answered % SPOILT == 0;
                }
            });
        }
    });
    Ok(())
}
