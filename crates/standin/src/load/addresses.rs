//! Selects the instances that callers use: those that `/v1/addresses` returns, or the configured ones as long as it
//! returns none.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use serde::Deserialize;

/// Time to live of a response that gives none itself, and the delay before the next attempt after a failure.
const DEFAULT_TTL: Duration = Duration::from_secs(5);

/// Timeout of an address request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The known addresses of instances.
#[derive(Debug)]
pub struct Addresses {
    configured: Vec<SocketAddr>,
    discovered: Vec<SocketAddr>,
    fresh_until: Option<Instant>,
    attempts: usize,
}

#[derive(Debug, Deserialize)]
struct AddressesBody {
    addresses: Vec<SocketAddr>,
    #[serde(alias = "seconds", alias = "keep_seconds", alias = "ttl")]
    keep: Option<u64>,
}

impl Addresses {
    /// Starts with the configured addresses.
    pub fn new(configured: &[SocketAddr]) -> Addresses {
        Addresses {
            configured: configured.to_vec(),
            discovered: Vec::new(),
            fresh_until: None,
            attempts: 0,
        }
    }

    /// Returns the base URL for request number `index`. Requests are spread over the addresses in turn.
    pub fn choose(&self, index: usize) -> String {
        let known = match self.discovered.is_empty() {
            true => &self.configured,
            false => &self.discovered,
        };
        format!("http://{}", known[index % known.len()])
    }
}

/// Requests the addresses again if the last response has expired. Does not wait: a background task applies the response
/// when it arrives.
pub fn refresh(addresses: &Rc<RefCell<Addresses>>, client: &Client, key: &str) {
    let now = Instant::now();
    let mut known = addresses.borrow_mut();
    if known.fresh_until.is_some_and(|until| now < until) {
        return;
    }
    known.fresh_until = Some(now + DEFAULT_TTL);
    known.attempts += 1;
    let to = known.configured[known.attempts % known.configured.len()];
    let request = client
        .get(format!("http://{to}/v1/addresses"))
        .bearer_auth(key)
        .timeout(REQUEST_TIMEOUT);
    let addresses = addresses.clone();
    actix_rt::spawn(async move {
        let Ok(mut answer) = request.send().await else {
            return;
        };
        if !answer.status().is_success() {
            return;
        }
        let Ok(body) = answer.json::<AddressesBody>().await else {
            return;
        };
        let mut known = addresses.borrow_mut();
        known.fresh_until = Some(Instant::now() + body.keep.map_or(DEFAULT_TTL, Duration::from_secs));
        known.discovered = body.addresses;
    });
}
