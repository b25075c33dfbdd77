//! What identifies a request over all its repetitions.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// Identifies equal requests.
///
/// Request ids and seeds are left out, since most callers generate new ones with each repetition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// The fingerprint of a request for a model's answer: a hash of product, model, prompt and token limit.
    pub fn of(product: &Name, model: &str, prompt: &str, limit: u32) -> Fingerprint {
        let parts = [product.as_str(), model, prompt].map(str::as_bytes);
        Fingerprint::hash(&parts, &limit.to_be_bytes())
    }

    /// The fingerprint of a request that is forwarded unchanged: a hash of method, path and body.
    pub fn of_forwarded(method: &str, path: &str, body: &[u8]) -> Fingerprint {
        Fingerprint::hash(&[method.as_bytes(), path.as_bytes()], body)
    }

    /// This fingerprint together with the caller of the request.
    pub fn from_caller(self, caller: &[u8]) -> Fingerprint {
        Fingerprint::hash(&[&self.0], caller)
    }

    fn hash(parts: &[&[u8]], rest: &[u8]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(rest);
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
    }

    /// The first byte, by which suspects are spread over engines.
    pub fn first_byte(self) -> u8 {
        self.0[0]
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
