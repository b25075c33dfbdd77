//! Which instances callers use: those that `/v1/addresses` names, or the given ones where nothing is named.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use serde::Deserialize;

/// How long an answer is kept that names no time, and until one is asked for again after a failure.
const KEEP: Duration = Duration::from_secs(5);

/// Time for the question.
const LIMIT: Duration = Duration::from_secs(1);

/// The addresses in use.
#[derive(Debug)]
pub struct Addresses {
    given: Vec<SocketAddr>,
    named: Vec<SocketAddr>,
    until: Option<Instant>,
    asked: usize,
}

#[derive(Debug, Deserialize)]
struct AddressesBody {
    addresses: Vec<SocketAddr>,
    #[serde(alias = "seconds", alias = "keep_seconds", alias = "ttl")]
    keep: Option<u64>,
}

impl Addresses {
    /// Uses the given addresses.
    pub fn new(given: &[SocketAddr]) -> Addresses {
        Addresses {
            given: given.to_vec(),
            named: Vec::new(),
            until: None,
            asked: 0,
        }
    }

    /// Base URL for the request `index`: callers spread over the addresses.
    pub fn choose(&self, index: usize) -> String {
        let known = match self.named.is_empty() {
            true => &self.given,
            false => &self.named,
        };
        format!("http://{}", known[index % known.len()])
    }
}

/// Asks for the addresses again if the last answer is too old. The answer is taken when it comes.
pub fn refresh(addresses: &Rc<RefCell<Addresses>>, client: &Client, key: &str) {
    let now = Instant::now();
    let mut known = addresses.borrow_mut();
    if known.until.is_some_and(|until| now < until) {
        return;
    }
    known.until = Some(now + KEEP);
    known.asked += 1;
    let to = known.given[known.asked % known.given.len()];
    let asked = client
        .get(format!("http://{to}/v1/addresses"))
        .bearer_auth(key)
        .timeout(LIMIT);
    let addresses = addresses.clone();
    actix_rt::spawn(async move {
        let Ok(mut answer) = asked.send().await else {
            return;
        };
        if !answer.status().is_success() {
            return;
        }
        let Ok(body) = answer.json::<AddressesBody>().await else {
            return;
        };
        let mut known = addresses.borrow_mut();
        known.until = Some(Instant::now() + body.keep.map_or(KEEP, Duration::from_secs));
        known.named = body.addresses;
    });
}
