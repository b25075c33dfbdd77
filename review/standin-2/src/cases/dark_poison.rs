//! A request crashes each engine that runs it: the engine's machine falls silent and is back some seconds later. The request
//! comes again and again.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cases::Verdict;
use crate::client;
use crate::client::End;
use crate::world::Process;
use crate::world::Record;
use crate::world::World;

const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"order-ack","Host":"desk.example","PathPrefix":"/orders/","Service":"ordini","Kind":"idempotent","TimeoutMs":1000,"TargetLatencyMs":100,"Priority":2,"MaxAttempts":2}],"Services":[{"Name":"ordini","HealthPath":"/healthz","MaxConnections":110}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":10000}}"#;

const ENGINES: usize = 6;

/// How long an engine is down.
const DOWN: Duration = Duration::from_millis(3_000);

/// How long requests are sent, and the pause between two arrivals of the one that crashes engines.
const TIME: Duration = Duration::from_secs(30);
const POISON_PAUSE: Duration = Duration::from_millis(1_500);

/// Requesters of harmless requests, and the pause between two of each.
const REQUESTERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(120);

/// `StableWindowMs`, and the retries that are allowed later than that after the third crash.
const STABLE: Duration = Duration::from_millis(3_000);
const ALLOWED: usize = 3;

#[derive(Default)]
struct Seen {
    /// When the request reached an engine, and when it crashed one.
    reached: Vec<Instant>,
    crashed: Vec<Instant>,
}

pub fn run(record: &str, trouble: bool) -> std::io::Result<Verdict> {
    let crash = match (trouble, std::env::var("CRASH")) {
        (false, _) => "not".to_string(),
        (true, Ok(crash)) => crash,
        (true, Err(_)) => "dark".to_string(),
    };
    let mut world = World::new(record)?;
    world.configure(CONFIG);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let instances = [world.start_instance("lodi-a", "")?, world.start_instance("lodi-b", "")?];
    let mut addresses = Vec::new();
    for _ in 0..ENGINES {
        addresses.push(world.address(8_080)?);
    }
    let world = Arc::new(world);
    for (index, address) in addresses.into_iter().enumerate() {
        let (world, crash, seen) = (world.clone(), crash.clone(), seen.clone());
        thread::spawn(move || keep_engine(&world, index, address, &crash, &seen));
    }
    if !instances.iter().all(|instance| world.wait_ready(instance)) {
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(4));
    let until = Instant::now() + TIME;
    let fronts: Vec<SocketAddr> = instances.iter().map(|instance| instance.front).collect();
    let harmless: Vec<_> = (0..REQUESTERS)
        .map(|requester| {
            let (front, record) = (fronts[requester % fronts.len()], world.record.clone());
            thread::spawn(move || ask(requester, front, until, &record))
        })
        .collect();
    let mut number = 0;
    while Instant::now() < until {
        let front = fronts[number % fronts.len()];
        let record = world.record.clone();
        thread::spawn(move || {
            let id = format!("dead{number:012x}");
            record.note(&format!("requester P sends {id} to {front}"));
            let bytes = client::request("POST", "/orders/poison", &id, 1_000, "", b"the same again");
            let seen = client::exchange(front, &bytes, Duration::from_millis(1_300));
            record.note(&format!("requester P gets {} for {id}", seen.status));
        });
        number += 1;
        thread::sleep(POISON_PAUSE);
    }
    let answers: Vec<bool> = harmless.into_iter().flat_map(|t| t.join().unwrap_or_default()).collect();
    let served = answers.iter().filter(|served| **served).count();
    let seen = seen.lock().expect("no thread panics with the lock");
    let third = seen.crashed.get(2).copied();
    let late = third.map_or(0, |third| seen.reached.iter().filter(|at| **at > third + STABLE).count());
    let summary = format!(
        "{number} times sent, reached engines {} times and crashed {}; {late} times later than {} ms after the third crash (BUDGET allows {ALLOWED}); {served} of {} harmless requests served",
        seen.reached.len(),
        seen.crashed.len(),
        STABLE.as_millis(),
        answers.len()
    );
    world.record.note(&summary);
    println!("{summary}");
    Ok(match (late > ALLOWED, trouble || served == answers.len()) {
        (true, _) => Verdict::Broken,
        (false, true) => Verdict::Held,
        (false, false) => Verdict::NotRun,
    })
}

/// Sends harmless requests until `until`. Whether each was served.
fn ask(requester: usize, front: SocketAddr, until: Instant, record: &Record) -> Vec<bool> {
    let mut answers = Vec::new();
    while Instant::now() < until {
        let id = format!("{requester:04x}{:012x}", answers.len());
        record.note(&format!("requester {requester} sends {id} to {front}"));
        let path = format!("/orders/{requester}");
        let bytes = client::request("POST", &path, &id, 1_000, "", id.as_bytes());
        let seen = client::exchange(front, &bytes, Duration::from_millis(1_300));
        record.note(&format!("requester {requester} gets {} for {id}", seen.status));
        answers.push(seen.status == 200 && seen.is_sealed() && seen.end == End::Complete);
        thread::sleep(PAUSE);
    }
    answers
}

/// Runs an engine, and starts it again, under a new id, some seconds after it has crashed.
fn keep_engine(world: &World, index: usize, address: SocketAddr, crash: &str, seen: &Arc<Mutex<Seen>>) {
    let zone = if index % 2 == 0 { "lodi-a" } else { "lodi-b" };
    for start in 0.. {
        let id = format!("i-{index:04x}{start:04x}");
        let Ok((process, crashes)) = start_engine(&id, address, crash, &world.record, seen) else {
            return;
        };
        let registration = world.register(&id, "ordini", zone, address, 6);
        if crashes.recv().is_err() {
            return;
        }
        registration.crash();
        thread::sleep(DOWN);
        drop(process);
    }
}

/// Starts an engine as a process of its own, whose runs are recorded. The channel tells of its crash.
fn start_engine(
    id: &str,
    address: SocketAddr,
    crash: &str,
    record: &Record,
    seen: &Arc<Mutex<Seen>>,
) -> std::io::Result<(Process, Receiver<()>)> {
    let mut child = Command::new(std::env::current_exe()?)
        .args(["orders", &address.to_string(), id, crash, "15"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    let output = child.stdout.take();
    let (crashed, crashes) = channel();
    let (record, seen) = (record.clone(), seen.clone());
    thread::spawn(move || {
        for line in output.into_iter().flat_map(|output| BufReader::new(output).lines()).map_while(Result::ok) {
            record.note(&line);
            let mut seen = seen.lock().expect("no thread panics with the lock");
            if line.ends_with("/orders/poison") {
                seen.reached.push(Instant::now());
            }
            if line.contains(" crashes under ") {
                seen.crashed.push(Instant::now());
                let _ = crashed.send(());
            }
        }
    });
    Ok((Process(child), crashes))
}
