//! The structure of a prompt, without its text: its length, and the parts that it shares with other prompts.

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Part {
    /// Identifies the text of the part.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: u32,
}

/// The structure of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Model that is to answer.
    pub model: String,
    /// Number of tokens in the prompt.
    pub input: u32,
    /// Maximum number of tokens in the answer.
    pub output: u32,
    /// Number of tokens that the caller expects in the answer, if it sent an estimate.
    pub expected: Option<u32>,
    /// The parts in order; the last one is specific to the request or its conversation.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the number of tokens that the answer may have.
    pub fn answer_tokens(&self) -> u32 {
        self.expected
            .map_or(self.output, |expected| expected.min(self.output))
    }

    /// Returns the last part that other requests may share: the key for cache affinity.
    pub fn shared(&self) -> Option<Part> {
        let others = self.parts.len().checked_sub(2)?;
        self.parts.get(others).copied()
    }

    /// Returns the parts that other requests may share.
    pub fn shared_parts(&self) -> &[Part] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Returns the number of tokens in the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        let own = self.parts.last().map_or(self.input, |part| part.tokens);
        self.input.saturating_sub(own)
    }

    /// Returns the largest power of two that is at most the number of tokens in the prompt: prompts of the same size
    /// differ by less than a factor of two.
    pub fn size(&self) -> u32 {
        1 << self.input.max(1).ilog2()
    }

    /// Returns the number of tokens that no other request shares.
    pub fn own_tokens(&self) -> u32 {
        self.input - self.shared_tokens()
    }
}
