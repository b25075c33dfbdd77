//! The shape of a prompt: how long it is and which parts it shares with others, without its text.

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Part {
    /// Identity of its text.
    pub id: u64,
    /// Tokens in it.
    pub tokens: u32,
}

/// The shape of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model that is to answer.
    pub model: String,
    /// Prompt tokens.
    pub input: u32,
    /// Most tokens of the answer.
    pub output: u32,
    /// The parts in order; the last belongs to the request or its conversation alone.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// The last part that other requests may share: what affinity goes by.
    pub fn shared(&self) -> Option<Part> {
        let others = self.parts.len().checked_sub(2)?;
        self.parts.get(others).copied()
    }

    /// Tokens in the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        let own = self.parts.last().map_or(self.input, |part| part.tokens);
        self.input.saturating_sub(own)
    }

    /// Tokens that no other request shares.
    pub fn own_tokens(&self) -> u32 {
        self.input - self.shared_tokens()
    }
}
