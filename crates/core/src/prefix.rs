//! Digests of prompt prefixes, used to recognize cached prompts.
//!
//! A prompt is divided into blocks of [`BLOCK_TOKENS`] words. The digest of a block covers the whole prompt up to the
//! end of the block, so that equal digests mean equal prefixes.

/// Tokens per block. A word counts as one token.
pub const BLOCK_TOKENS: u32 = 32;

/// Computes the digests of the full blocks of `prompt`, in order.
pub fn block_digests(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let mut digests = Vec::new();
    for (i, word) in prompt.split_whitespace().enumerate() {
        hasher.update(word.as_bytes());
        hasher.update(b" ");
        if (i + 1) % BLOCK_TOKENS as usize == 0 {
            digests.push(leading_u64(&hasher.finalize()));
        }
    }
    digests
}

fn leading_u64(hash: &blake3::Hash) -> u64 {
    let (head, _) = hash
        .as_bytes()
        .split_first_chunk::<8>()
        .expect("a hash has 32 bytes");
    u64::from_be_bytes(*head)
}
