//! Servers behind the instances.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http::Head;

/// What a server does with a request: writes its answer. Returns whether the channel is kept.
pub type Answer = Arc<dyn Fn(&Head, &[u8], &mut TcpStream) -> bool + Send + Sync>;

/// Serves `answer` at `address`.
pub fn serve(address: SocketAddr, answer: Answer) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || accept(&listener, &answer));
    Ok(())
}

fn accept(listener: &TcpListener, answer: &Answer) {
    for stream in listener.incoming().flatten() {
        let answer = answer.clone();
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(stream);
            while let Ok(Some(head)) = Head::read(&mut reader) {
                let Ok(body) = head.read_body(&mut reader) else {
                    return;
                };
                if !answer(&head, &body, &mut writer) {
                    return;
                }
            }
        });
    }
}

/// Whether the request names another engine; if so, it is rejected.
pub fn rejects(id: &str, head: &Head, writer: &mut TcpStream) -> bool {
    let request = head.get("request-id").unwrap_or_default();
    let is_other = head.get("expect-instance").is_some_and(|expected| expected != id);
    if is_other {
        let answer = format!(
            "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        let _ = writer.write_all(answer.as_bytes());
    }
    is_other
}

/// Runs an engine of streams as a process of its own until it is killed: `events` events, one each `gap` milliseconds. The
/// answer has no length, and ends with its channel.
pub fn run_streams(address: SocketAddr, id: String, events: u64, gap: u64) -> std::io::Result<()> {
    let answer: Answer = Arc::new(move |head, _, writer| {
        if rejects(&id, head, writer) {
            return true;
        }
        let request = head.get("request-id").unwrap_or_default();
        println!("engine {id} runs {request}");
        let start = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: seal.{id}.{request}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        );
        if writer.write_all(start.as_bytes()).is_err() {
            return false;
        }
        for event in 1..=events {
            thread::sleep(Duration::from_millis(gap));
            let text = format!("id: {event}\ndata: {request} piece {event} of {events}\n\n");
            if writer.write_all(text.as_bytes()).is_err() {
                println!("engine {id} is broken off in {request} after {event} events");
                return false;
            }
        }
        println!("engine {id} has ended {request}");
        false
    });
    let listener = TcpListener::bind(address)?;
    accept(&listener, &answer);
    Ok(())
}
