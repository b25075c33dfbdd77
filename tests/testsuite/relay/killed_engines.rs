//! Engines whose process is killed amid an answer that has neither a length nor chunks: their kernel closes the connection
//! as if the answer were complete.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::thread;

use sequoiastream_core::relay::routes::RouteKind;

use super::engine::ReceivedRequest;
use super::engine::UnreachableAddress;
use super::engine::event;
use super::engine::head;
use super::instance::Instance;
use super::instance::status;
use super::tunnels::Peer;
use super::tunnels::detach;

/// The last chunk of an answer.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Set for the process that serves as the engine: what it sends after the head.
const ENGINE_BODY: &str = "SEQUOIASTREAM_TEST_ENGINE_BODY";

/// Number of engines that are killed for each case.
const KILLS: usize = 5;

/// A process that serves as an engine; killed when dropped.
struct EngineProcess {
    child: Child,
    lines: BufReader<ChildStdout>,
    address: SocketAddr,
}

impl EngineProcess {
    /// Starts an engine that sends the head of an answer and `body` after it, and then nothing more.
    fn start(body: &str) -> EngineProcess {
        let mut child = Command::new(std::env::current_exe().expect("the path of this test"))
            .args(["--exact", "relay::killed_engines::serve_as_engine", "--nocapture"])
            .env(ENGINE_BODY, body)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let mut lines = BufReader::new(child.stdout.take().expect("standard output is piped"));
        let address = read_line(&mut lines, "listens at ").parse().expect("an address");
        EngineProcess {
            child,
            lines,
            address,
        }
    }

    /// Kills it as soon as it has sent its part of the answer.
    fn kill_when_sent(mut self) {
        read_line(&mut self.lines, "sent");
        self.kill();
    }

    fn kill(&mut self) {
        self.child.kill().expect("a running process");
        self.child.wait().expect("the process ends");
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        // It may have been killed before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What follows `start` in the next line that has it.
fn read_line(lines: &mut BufReader<ChildStdout>, start: &str) -> String {
    loop {
        let mut line = String::new();
        let count = lines.read_line(&mut line).expect("a line");
        assert!(count > 0, "the engine ended before {start:?}");
        if let Some((_, rest)) = line.trim_end().split_once(start) {
            return rest.to_string();
        }
    }
}

/// Serves as an engine in a process of [`EngineProcess`]; does nothing otherwise.
#[test]
fn serve_as_engine() {
    let Ok(body) = std::env::var(ENGINE_BODY) else {
        return;
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    println!("listens at {}", listener.local_addr().expect("it is bound"));
    for stream in listener.incoming() {
        let (stream, body) = (stream.expect("a connection"), body.clone());
        thread::spawn(move || serve(stream, &body));
    }
}

fn serve(mut stream: TcpStream, body: &str) {
    let mut text = Vec::new();
    let mut buffer = [0; 4_096];
    while !text.ends_with(b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => text.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
    let request = ReceivedRequest {
        head: String::from_utf8_lossy(&text).into_owned(),
        body: String::new(),
        prior_requests: 0,
    };
    let answer = head(&request, "") + body;
    stream.write_all(answer.as_bytes()).expect("an open connection");
    println!("sent");
    // Nothing follows until the process is killed.
    let _ = stream.read(&mut buffer);
}

/// What a caller receives whose engine is killed after it has sent the head of its answer and `body`.
async fn get_from_killed(kind: RouteKind, body: &str, through_peer: bool) -> String {
    let engine = EngineProcess::start(body);
    let unreachable = UnreachableAddress::refusing();
    let instance = Instance::start(kind, &[], |route| route.max_attempts = 1);
    match through_peer {
        true => {
            let peer = Peer::new(Some(engine.address)).start(&instance).await;
            detach(&instance, unreachable.address, &[peer]);
        }
        false => detach(&instance, engine.address, &[]),
    }
    let killed = actix_web::rt::task::spawn_blocking(move || engine.kill_when_sent());
    let got = instance.get("/r/x", "q", "").await;
    killed.await.expect("it was killed");
    got
}

/// Guards against a body that looks complete though its engine was killed before it had sent all of it.
#[actix_web::test]
async fn body_not_whole() {
    for kind in [RouteKind::Once, RouteKind::Idempotent] {
        for body in ["", "half"] {
            for through_peer in [false, true] {
                for _ in 0..KILLS {
                    let got = get_from_killed(kind, body, through_peer).await;
                    assert_eq!(status(&got), "502", "{kind:?}, {body:?}, {through_peer}: {got}");
                }
            }
        }
    }
}

/// Guards against a stream that looks complete though its engine was killed before its last event.
#[actix_web::test]
async fn stream_not_whole() {
    for kind in [RouteKind::Stream, RouteKind::Resumable] {
        for events in [0, 1, 2] {
            let body: String = (1..=events).map(event).collect();
            for through_peer in [false, true] {
                for _ in 0..KILLS {
                    let got = get_from_killed(kind, &body, through_peer).await;
                    let case = format!("{kind:?}, {events} events, {through_peer}: {got}");
                    assert_eq!(status(&got) == "502", events == 0, "{case}");
                    assert_eq!(got.matches("token").count() as u64, events, "{case}");
                    assert!(!got.ends_with(LAST_CHUNK), "{case}");
                }
            }
        }
    }
}
