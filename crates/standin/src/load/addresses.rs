//! Which instances callers use: those that `/v1/addresses` names, or the given ones where nothing is named.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use serde::Deserialize;

/// How long an answer is kept that names no time, and until one is asked for again after a failure.
const DEFAULT_TTL: Duration = Duration::from_secs(5);

/// Time for the question.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The addresses in use.
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
    /// Uses the given addresses.
    pub fn new(configured: &[SocketAddr]) -> Addresses {
        Addresses {
            configured: configured.to_vec(),
            discovered: Vec::new(),
            fresh_until: None,
            attempts: 0,
        }
    }

    /// Base URL for the request `index`: callers spread over the addresses.
    pub fn choose(&self, index: usize) -> String {
        let known = match self.discovered.is_empty() {
            true => &self.configured,
            false => &self.discovered,
        };
        format!("http://{}", known[index % known.len()])
    }
}

/// Asks for the addresses again if the last answer is too old. The answer is taken when it comes.
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
