//! Deterministic output of the simulated model.

use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

/// The text of the token at `offset` of the answer to `prompt`.
pub fn token_text(seed: u64, prompt: &str, version: u32, offset: u32) -> String {
    let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one((seed, prompt, version, offset));
    format!("w{:04x} ", hash & 0xffff)
}

/// The whole text of an answer of `limit` tokens.
pub fn expected_text(seed: u64, prompt: &str, version: u32, limit: u32) -> String {
    (0..limit).map(|i| token_text(seed, prompt, version, i)).collect()
}

/// Number of tokens of a prompt; each word counts as one token.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}
