//! Stand-in of the platform's metadata store: items, watches, transactions and leases, as PROTOCOL.md has them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::base64;
use crate::http;
use crate::http::Message;
use crate::http::Reader;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    length: Duration,
    until: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change, with its key.
    history: Vec<(u64, String, Value)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.history
            .push((self.revision, key.to_string(), body(key, &item)));
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({"Key": key, "Revision": self.revision, "Tombstone": true});
            self.history.push((self.revision, key.to_string(), event));
        }
    }

    /// Removes what hangs on a lease.
    fn end(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
        known
    }
}

fn body(key: &str, item: &Item) -> Value {
    json!({"Key": key, "Value": base64::encode(&item.value), "Revision": item.revision, "CreateRev": item.created,
        "Lease": item.lease})
}

/// The store; cheap to clone.
#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts it; returns its address.
    pub fn start(ip: &str) -> io::Result<(Store, SocketAddr)> {
        let store = Store(Arc::default());
        let served = store.clone();
        let address = format!("{ip}:0").parse().expect("an address");
        let address = http::serve(address, move |stream| served.connection(stream))?;
        let ending = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ending.end_leases();
            }
        });
        Ok((store, address))
    }

    /// Writes an item, as the operator and the engines do. The return is the store's acknowledgement.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        let mut state = self.0.0.lock().expect("the state");
        state.revision += 1;
        state.put(key, value.to_string().into_bytes(), 0);
        self.0.1.notify_all();
        state.revision
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.0.0.lock().expect("the state");
        state.revision += 1;
        state.remove(key);
        self.0.1.notify_all();
    }

    fn end_leases(&self) {
        let mut state = self.0.0.lock().expect("the state");
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, lease)| lease.until <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for lease in ended {
            state.end(lease);
            self.0.1.notify_all();
        }
    }

    fn connection(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = Reader::new(reading);
        while let Ok(Some(request)) = reader.next() {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if http::write_answer(&mut stream, status, &headers, body.to_string().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Value) {
        let path = request.target().split('?').next().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/v1/kv-key") => self.key(&request.query("Key")),
            ("GET", "/v1/kv-range") => self.range(&request.query("PathPrefix"), &request.query("after")),
            ("GET", "/v1/kv-watch") => {
                let after = request.query("after").parse().unwrap_or_default();
                let wait = request.query("WaitMs").parse().unwrap_or_default();
                self.watch(&request.query("PathPrefix"), after, Duration::from_millis(wait))
            }
            ("POST", "/v1/kv-txn") => self.write(&serde_json::from_slice(&request.body).unwrap_or_default()),
            ("POST", "/v1/kv-lease") => {
                self.grant(&serde_json::from_slice(&request.body).unwrap_or_default())
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.keep(number(path)),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let mut state = self.0.0.lock().expect("the state");
                let known = state.end(number(path));
                self.0.1.notify_all();
                (if known { 200 } else { 404 }, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn key(&self, key: &str) -> (u16, Value) {
        let state = self.0.0.lock().expect("the state");
        match state.items.get(key) {
            None => (404, json!({"AsOf": state.revision})),
            Some(item) => {
                let mut found = body(key, item);
                found["AsOf"] = json!(state.revision);
                (200, found)
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Value) {
        let state = self.0.0.lock().expect("the state");
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<Value> = items.map(|(key, item)| body(key, item)).collect();
        (
            200,
            json!({"items": items, "HasMore": false, "AsOf": state.revision}),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().expect("the state");
        loop {
            let new = state.history.iter();
            let new = new.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<Value> = new.map(|(_, _, event)| event.clone()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return (200, json!({"events": events, "AsOf": state.revision}));
            }
            state = self.0.1.wait_timeout(state, until - now).expect("the state").0;
        }
    }

    fn write(&self, call: &Value) -> (u16, Value) {
        let mut state = self.0.0.lock().expect("the state");
        let rows = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
        let holds = |row: &Value| {
            let known = state
                .items
                .get(&text(&row["Key"]))
                .map_or(0, |item| item.revision);
            row["Revision"].as_u64() == Some(known)
        };
        if !rows("Precondition").iter().all(holds) {
            return (412, json!({"items": []}));
        }
        let leases = rows("Puts");
        let mut leases = leases.iter().filter_map(|put| put["Lease"].as_u64());
        if leases.any(|lease| lease > 0 && !state.leases.contains_key(&lease)) {
            return (404, json!({}));
        }
        state.revision += 1;
        for put in rows("Puts") {
            let lease = put["Lease"].as_u64().unwrap_or_default();
            state.put(&text(&put["Key"]), base64::decode(&text(&put["Value"])), lease);
        }
        for key in rows("Remove") {
            state.remove(&text(&key));
        }
        self.0.1.notify_all();
        (200, json!({"Revision": state.revision}))
    }

    fn grant(&self, call: &Value) -> (u16, Value) {
        let mut state = self.0.0.lock().expect("the state");
        let millis = call["TtlMs"].as_u64().unwrap_or_default().max(1_000);
        let length = Duration::from_millis(millis);
        state.last_lease += 1;
        let id = state.last_lease;
        let until = Instant::now() + length;
        state.leases.insert(id, Lease { length, until });
        (200, json!({"Lease": id, "TtlMs": millis}))
    }

    fn keep(&self, id: u64) -> (u16, Value) {
        let mut state = self.0.0.lock().expect("the state");
        match state.leases.get_mut(&id) {
            None => (404, json!({})),
            Some(lease) => {
                lease.until = Instant::now() + lease.length;
                (200, json!({"TtlMs": lease.length.as_millis() as u64}))
            }
        }
    }
}

fn number(path: &str) -> u64 {
    let last = path.rsplit('/').next();
    last.and_then(|id| id.parse().ok()).unwrap_or_default()
}
