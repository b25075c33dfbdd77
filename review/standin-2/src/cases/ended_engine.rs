//! An engine crashes and is back while an instance stands still. The instance then reads the first parts of the engine's
//! answers and the end of their channels.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use crate::cases::Verdict;
use crate::client;
use crate::client::End;
use crate::world::Process;
use crate::world::Record;
use crate::world::World;

const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"bay-reply","Host":"desk.example","PathPrefix":"/bay/","Service":"assistente","Kind":"streaming","TimeoutMs":15000,"TargetLatencyMs":100,"GapTargetMs":150,"Priority":1,"MaxAttempts":1}],"Services":[{"Name":"assistente","HealthPath":"/healthz","MaxConnections":180}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":10000}}"#;

/// Events of a stream, and milliseconds between two.
const EVENTS: u64 = 91;
const EVENT_GAP: u64 = 20;

/// Streams that run when the trouble begins.
const STREAMS: usize = 12;

/// How long an instance stands still, and for which part of that an engine is down.
const FREEZE: Duration = Duration::from_millis(1_500);
const BEFORE_CRASH: Duration = Duration::from_millis(150);
const DOWN: Duration = Duration::from_millis(900);

/// Requesters abandon a stream after a gap of two seconds.
const PATIENCE: Duration = Duration::from_secs(2);

pub fn run(record: &str, trouble: bool) -> std::io::Result<Verdict> {
    let mut world = World::new(record)?;
    world.configure(CONFIG);
    let addresses = [world.address(8_080)?, world.address(8_080)?];
    let ids = ["i-7f3a91c2", "i-19b0d4e7"];
    let mut engines = Vec::new();
    for (id, address) in ids.into_iter().zip(addresses) {
        engines.push((
            start_engine(id, address, &world.record)?,
            world.register(id, "assistente", "lodi-a", address, 16),
        ));
    }
    let instances = [
        world.start_instance("lodi-a", "")?,
        world.start_instance("lodi-b", "")?,
    ];
    if !instances.iter().all(|instance| world.wait_ready(instance)) {
        return Ok(Verdict::NotRun);
    }
    thread::sleep(Duration::from_secs(4));
    let front = instances[0].front;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let record = world.record.clone();
        streams.push(thread::spawn(move || stream(front, number, &record)));
        thread::sleep(Duration::from_millis(15));
    }
    thread::sleep(Duration::from_millis(400));
    let mut returned = None;
    if trouble {
        instances[0].process.signal("STOP");
        world.record.note(&format!("{} stands still", instances[0].name));
        thread::sleep(BEFORE_CRASH);
        let (process, registration) = engines.remove(0);
        registration.crash();
        drop(process);
        world.record.note(&format!("engine {} crashes", ids[0]));
        thread::sleep(DOWN);
        let id = "i-44c8e21a";
        let process = start_engine(id, addresses[0], &world.record)?;
        returned = Some((
            process,
            world.register(id, "assistente", "lodi-a", addresses[0], 16),
        ));
        thread::sleep(FREEZE - BEFORE_CRASH - DOWN);
        instances[0].process.signal("CONT");
        world.record.note(&format!("{} goes on", instances[0].name));
    }
    let results: Vec<Option<bool>> = streams.into_iter().map(|s| s.join().unwrap_or(None)).collect();
    drop(returned);
    let whole = results.iter().filter(|r| **r == Some(true)).count();
    let cut = results.iter().filter(|r| **r == Some(false)).count();
    let broken = results.iter().filter(|r| r.is_none()).count();
    let summary = format!(
        "{STREAMS} streams: {whole} whole, {broken} broken off as such, {cut} ended as complete before their last piece"
    );
    world.record.note(&summary);
    println!("{summary}");
    Ok(match (cut > 0, trouble || whole == STREAMS) {
        (true, _) => Verdict::Broken,
        (false, true) => Verdict::Held,
        (false, false) => Verdict::NotRun,
    })
}

/// Asks for a stream. Whether one that ended as complete has all its pieces; `None` if it didn't end as complete.
fn stream(front: SocketAddr, number: usize, record: &Record) -> Option<bool> {
    let id = format!("b4{number:014x}");
    record.note(&format!("requester sends {id} to {front}"));
    let bytes = client::request("POST", "/bay/3", &id, 15_000, "", b"which bay?");
    let seen = client::exchange(front, &bytes, PATIENCE);
    let text = String::from_utf8_lossy(&seen.body).into_owned();
    let pieces = text.matches(&format!("data: {id} piece ")).count() as u64;
    let has_last = text.contains(&format!("id: {EVENTS}\n"));
    record.note(&format!(
        "requester gets {} for {id}, sealed {}, {pieces} of {EVENTS} pieces, end {:?}",
        seen.status,
        seen.is_sealed(),
        seen.end
    ));
    let is_success = seen.status == 200 && seen.is_sealed() && seen.end == End::Complete;
    is_success.then_some(pieces == EVENTS && has_last)
}

/// Starts an engine as a process of its own, whose runs are recorded.
fn start_engine(id: &str, address: SocketAddr, record: &Record) -> std::io::Result<Process> {
    let mut child = Command::new(std::env::current_exe()?)
        .args([
            "streams",
            &address.to_string(),
            id,
            &EVENTS.to_string(),
            &EVENT_GAP.to_string(),
        ])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    let output = child.stdout.take();
    let record = record.clone();
    thread::spawn(move || {
        for line in output
            .into_iter()
            .flat_map(|output| BufReader::new(output).lines())
            .map_while(Result::ok)
        {
            record.note(&line);
        }
    });
    Ok(Process(child))
}
