//! Stand-in of an engine of a plain service.

use std::io;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use serde_json::json;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::store::Store;

/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(15);

/// What comes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Run {
    /// It is answered.
    Answer,
    /// The engine ends as it begins to run it.
    Crash,
}

/// A running engine.
pub struct Engine {
    pub id: String,
    has_ended: Arc<AtomicBool>,
}

struct Served<H> {
    id: String,
    handle: H,
    has_ended: Arc<AtomicBool>,
    open: Mutex<Vec<TcpStream>>,
}

impl Engine {
    /// Starts an engine and registers it. `handle` tells what comes of each request that it begins to run.
    pub fn start<H>(
        ip: &str,
        id: &str,
        service: &str,
        zone: &str,
        store: &Store,
        handle: H,
    ) -> io::Result<Engine>
    where
        H: Fn(&Message) -> Run + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        listener.set_nonblocking(true)?;
        let address: SocketAddr = listener.local_addr()?;
        let has_ended = Arc::new(AtomicBool::new(false));
        let served = Arc::new(Served {
            id: id.to_string(),
            handle,
            has_ended: has_ended.clone(),
            open: Mutex::default(),
        });
        thread::spawn(move || accept(listener, &served));
        let born = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let entry = json!({
            "Service": service, "Address": address.to_string(), "Zone": zone, "Version": "v1", "Slots": 6,
            "State": "ready", "ColdRemainingMs": 0, "Seq": 1, "born": born.as_millis() as u64,
        });
        store.put(&format!("servers/{id}"), &entry);
        Ok(Engine {
            id: id.to_string(),
            has_ended,
        })
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }
}

/// Accepts connections until the engine ends; then all of them are closed and the address refuses new ones.
fn accept<H>(listener: TcpListener, served: &Arc<Served<H>>)
where
    H: Fn(&Message) -> Run + Send + Sync + 'static,
{
    while !served.has_ended.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => {
                let ready = stream
                    .set_nonblocking(false)
                    .and_then(|()| stream.set_nodelay(true));
                if let (Ok(()), Ok(copy)) = (ready, stream.try_clone()) {
                    served.open.lock().expect("the connections").push(copy);
                    let served = served.clone();
                    thread::spawn(move || serve(stream, &served));
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => thread::sleep(Duration::from_micros(500)),
            Err(_) => {}
        }
    }
    drop(listener);
    for stream in served.open.lock().expect("the connections").drain(..) {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn serve<H>(mut stream: TcpStream, served: &Served<H>)
where
    H: Fn(&Message) -> Run,
{
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = Reader::new(reading);
    while let Ok(Some(request)) = reader.next() {
        if served.has_ended.load(Ordering::SeqCst) {
            return;
        }
        let echo = ("Request-Id", request.header("request-id"));
        let id = served.id.as_str();
        let expected = request.header("expect-instance");
        let written = if !expected.is_empty() && expected != id {
            http::write_answer(&mut stream, 421, &[echo, ("Instance-Id", id)], b"")
        } else if request.target() == "/healthz" {
            http::write_answer(&mut stream, 200, &[("Instance-Id", id)], b"")
        } else if (served.handle)(&request) == Run::Crash {
            served.has_ended.store(true, Ordering::SeqCst);
            return;
        } else {
            thread::sleep(WORK_TIME);
            let headers = [echo, ("Response-Seal", "s.1"), ("Keep-Alive", "timeout=10")];
            http::write_answer(&mut stream, 200, &headers, b"done")
        };
        if written.is_err() {
            return;
        }
    }
}
