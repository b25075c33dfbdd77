//! The platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Head;
use crate::http::query;
use crate::json::Json;
use crate::json::quoted;

/// Items in one page or one answer to a watch.
const PAGE: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    /// As base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change: its revision, its key, and the item unless it was removed.
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// The store. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts to serve at `address`.
    pub fn serve(address: SocketAddr) -> std::io::Result<Store> {
        let store = Store::default();
        store.lock().revision = 100;
        let listener = TcpListener::bind(address)?;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.connection(stream));
            }
        });
        let ticking = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                ticking.lock().expire();
                ticking.0.1.notify_all();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.0.lock().expect("no thread panics with the lock")
    }

    /// Writes a key as an engine or the operator does. Returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        let revision = state.next();
        state.put(revision, key, &base64(value.as_bytes()), 0);
        drop(state);
        self.0.1.notify_all();
        revision
    }

    /// Removes a key as the platform does.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        let revision = state.next();
        state.remove(revision, key);
        drop(state);
        self.0.1.notify_all();
    }

    fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let Ok(body) = head.read_body(&mut reader) else {
                return;
            };
            let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
            let (status, text) = self.answer(head.part(0), head.part(1), &body);
            let answer = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, path: &str, body: &Json) -> (u16, String) {
        let plain = path.split('?').next().unwrap_or_default();
        match (method, plain) {
            ("GET", "/v1/kv-key") => self.lock().key(path),
            ("GET", "/v1/kv-range") => self.lock().range(path),
            ("GET", "/v1/kv-watch") => self.watch(path),
            ("POST", "/v1/kv-txn") => {
                let answer = self.lock().write(body);
                self.0.1.notify_all();
                answer
            }
            ("POST", "/v1/kv-lease") => self.lock().grant(body.get("TtlMs").number()),
            ("POST", _) if plain.starts_with("/v1/kv-keep/") => self.lock().keep(last(plain)),
            ("DELETE", _) if plain.starts_with("/v1/kv-lease-end/") => {
                let answer = self.lock().end(last(plain));
                self.0.1.notify_all();
                answer
            }
            _ => (404, "{}".to_string()),
        }
    }

    fn watch(&self, path: &str) -> (u16, String) {
        let prefix = query(path, "PathPrefix").unwrap_or_default();
        let number = |name| query(path, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), number("WaitMs").min(30_000));
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let events = state
                .events
                .iter()
                .filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<_> = events.take(PAGE).cloned().collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = match events.len() == PAGE {
                    true => events.last().map_or(after, |(at, _, _)| *at),
                    false => state.revision,
                };
                let texts: Vec<String> = events.iter().map(event).collect();
                return (
                    200,
                    format!("{{\"events\":[{}],\"AsOf\":{as_of}}}", texts.join(",")),
                );
            }
            state = self
                .0
                .1
                .wait_timeout(state, left)
                .expect("no thread panics with the lock")
                .0;
        }
    }
}

impl State {
    fn next(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    fn put(&mut self, revision: u64, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_string(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_string(), item.clone());
        self.events.push((revision, key.to_string(), Some(item)));
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((revision, key.to_string(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end(lease);
        }
    }

    fn key(&self, path: &str) -> (u16, String) {
        let key = query(path, "Key").unwrap_or_default();
        match self.items.get(&key) {
            Some(item) => (200, show(&key, item, Some(self.revision))),
            None => (404, format!("{{\"AsOf\":{}}}", self.revision)),
        }
    }

    fn range(&self, path: &str) -> (u16, String) {
        let prefix = query(path, "PathPrefix").unwrap_or_default();
        let after = query(path, "after").unwrap_or_default();
        let found = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let found: Vec<_> = found.take(PAGE + 1).collect();
        let more = found.len() > PAGE;
        let texts: Vec<String> = found
            .iter()
            .take(PAGE)
            .map(|(key, item)| show(key, item, None))
            .collect();
        let revision = self.revision;
        (
            200,
            format!(
                "{{\"items\":[{}],\"HasMore\":{more},\"AsOf\":{revision}}}",
                texts.join(",")
            ),
        )
    }

    fn write(&mut self, body: &Json) -> (u16, String) {
        let rows = body.get("Precondition").list();
        let is_met = |row: &Json| {
            let revision = self
                .items
                .get(row.get("Key").text())
                .map_or(0, |item| item.revision);
            revision == row.get("Revision").number()
        };
        if !rows.iter().all(is_met) {
            let items = rows
                .iter()
                .filter_map(|row| self.items.get_key_value(row.get("Key").text()));
            let items: Vec<String> = items.map(|(key, item)| show(key, item, None)).collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let leases: Vec<u64> = body
            .get("Puts")
            .list()
            .iter()
            .map(|put| put.get("Lease").number())
            .collect();
        if leases
            .iter()
            .any(|lease| *lease != 0 && !self.leases.contains_key(lease))
        {
            return (404, "{}".to_string());
        }
        let revision = self.next();
        for put in body.get("Puts").list() {
            self.put(
                revision,
                put.get("Key").text(),
                put.get("Value").text(),
                put.get("Lease").number(),
            );
        }
        for key in body.get("Remove").list() {
            self.remove(revision, key.text());
        }
        (200, format!("{{\"Revision\":{revision}}}"))
    }

    fn grant(&mut self, millis: u64) -> (u16, String) {
        self.next_lease += 1;
        let millis = millis.clamp(1_000, 600_000);
        let time = Duration::from_millis(millis);
        self.leases.insert(self.next_lease, (Instant::now() + time, time));
        (
            200,
            format!("{{\"Lease\":{},\"TtlMs\":{millis}}}", self.next_lease),
        )
    }

    fn keep(&mut self, lease: u64) -> (u16, String) {
        match self.leases.get_mut(&lease) {
            Some((until, time)) => {
                *until = Instant::now() + *time;
                (200, format!("{{\"TtlMs\":{}}}", time.as_millis()))
            }
            None => (404, "{}".to_string()),
        }
    }

    fn end(&mut self, lease: u64) -> (u16, String) {
        if self.leases.remove(&lease).is_none() {
            return (404, "{}".to_string());
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == lease)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            let revision = self.next();
            keys.iter().for_each(|key| self.remove(revision, key));
        }
        (200, "{}".to_string())
    }
}

fn last(path: &str) -> u64 {
    path.rsplit('/')
        .next()
        .and_then(|id| id.parse().ok())
        .unwrap_or(0)
}

fn event((revision, key, item): &(u64, String, Option<Item>)) -> String {
    match item {
        Some(item) => show(key, item, None),
        None => format!(
            "{{\"Key\":{},\"Revision\":{revision},\"Tombstone\":true}}",
            quoted(key)
        ),
    }
}

fn show(key: &str, item: &Item, as_of: Option<u64>) -> String {
    let as_of = as_of.map_or(String::new(), |at| format!(",\"AsOf\":{at}"));
    format!(
        "{{\"Key\":{},\"Value\":\"{}\",\"Revision\":{},\"CreateRev\":{},\"Lease\":{}{as_of}}}",
        quoted(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - group.len()));
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit)) as usize & 63;
            out.push(if digit <= group.len() {
                DIGITS[index] as char
            } else {
                '='
            });
        }
    }
    out
}
