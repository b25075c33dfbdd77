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
        thread::spawn(move || serve_stream(stream, &answer));
    }
}

/// Answers the requests on a channel.
fn serve_stream(stream: TcpStream, answer: &Answer) {
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

/// Ends the process when the one that started it has ended, which closes its standard input.
fn end_with_parent() {
    thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}

/// Runs an engine of streams as a process of its own until it is killed: `events` events, one each `gap` milliseconds. The
/// answer has no length, and ends with its channel.
pub fn run_streams(address: SocketAddr, id: String, events: u64, gap: u64) -> std::io::Result<()> {
    end_with_parent();
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

/// How an engine crashes under the request that crashes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crash {
    /// Its process ends, and its kernel closes its channels.
    Ends,
    /// Its machine falls silent: nothing is answered and nothing closed until it is back.
    Dark,
    /// It doesn't: the request is answered like any other.
    Not,
}

/// Part of the path of the request that crashes engines.
const POISON: &str = "/orders/poison";

/// Runs an engine of the order desk as a process of its own until it is killed or crashes. It prints what it runs.
pub fn run_orders(address: SocketAddr, id: String, crash: Crash, work: Duration) -> std::io::Result<()> {
    end_with_parent();
    let dark = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let is_dark = dark.clone();
    let wait_if_dark = move || {
        while is_dark.load(std::sync::atomic::Ordering::SeqCst) {
            thread::sleep(Duration::from_secs(60));
        }
    };
    let accepting = wait_if_dark.clone();
    let answer: Answer = Arc::new(move |head, _, writer| {
        wait_if_dark();
        if rejects(&id, head, writer) {
            return true;
        }
        let request = head.get("request-id").unwrap_or_default();
        println!("engine {id} runs {request} {}", head.part(1));
        if head.part(1) == POISON && crash != Crash::Not {
            println!("engine {id} crashes under {request}");
            if crash == Crash::Ends {
                std::process::exit(1);
            }
            dark.store(true, std::sync::atomic::Ordering::SeqCst);
        }
        thread::sleep(work);
        wait_if_dark();
        let body = format!("done by {id} for {request}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: seal.{id}.{request}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(answer.as_bytes()).is_ok()
    });
    let listener = TcpListener::bind(address)?;
    for stream in listener.incoming().flatten() {
        accepting();
        let answer = answer.clone();
        thread::spawn(move || serve_stream(stream, &answer));
    }
    Ok(())
}
