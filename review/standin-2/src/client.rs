//! Requesters.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::Head;
use crate::http::read_chunk;

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// It is complete, as its framing says.
    Complete,
    /// The channel broke before its end.
    Broken,
    /// There was no answer, or no more of it, in time.
    Late,
}

/// What a requester has seen.
#[derive(Debug, Clone)]
pub struct Seen {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn is_sealed(&self) -> bool {
        self.header("response-seal").is_some()
    }

    fn none(end: End) -> Seen {
        Seen {
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
            end,
        }
    }
}

/// The status of an answer to a call without a body.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let seen = exchange(address, request.as_bytes(), Duration::from_millis(500));
    (seen.status > 0).then_some(seen.status)
}

/// A request of the desk application's kind, as bytes.
pub fn request(method: &str, path: &str, id: &str, deadline: u64, more: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline}\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a channel of its own and reads its answer. `gap` is how long nothing may come.
pub fn exchange(address: SocketAddr, request: &[u8], gap: Duration) -> Seen {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Seen::none(End::Broken);
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(gap));
    if stream.write_all(request).is_err() {
        return Seen::none(End::Broken);
    }
    let mut reader = BufReader::new(stream);
    read_answer(&mut reader)
}

/// Reads an answer.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> Seen {
    let head = match Head::read(reader) {
        Ok(Some(head)) => head,
        Ok(None) => return Seen::none(End::Broken),
        Err(error) => return Seen::none(end_of(&error)),
    };
    let mut seen = Seen {
        status: head.status(),
        headers: head.headers.clone(),
        body: Vec::new(),
        end: End::Complete,
    };
    if head.is_chunked() {
        loop {
            match read_chunk(reader) {
                Ok(Some(chunk)) => seen.body.extend(chunk),
                Ok(None) => return seen,
                Err(error) => {
                    seen.end = end_of(&error);
                    return seen;
                }
            }
        }
    }
    let length = head
        .get("content-length")
        .and_then(|v| v.parse::<u64>().ok())
        .unwrap_or(0);
    let read = reader.take(length).read_to_end(&mut seen.body);
    if let Err(error) = read {
        seen.end = end_of(&error);
    } else if (seen.body.len() as u64) < length {
        seen.end = End::Broken;
    }
    seen
}

fn end_of(error: &std::io::Error) -> End {
    match error.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => End::Late,
        _ => End::Broken,
    }
}
