//! The step model of continuous batching.
//!
//! A step takes a fixed time, plus a little for each running sequence, plus the time of the prompt tokens that
//! it processes. The role sets how many prompt tokens a step may process: many in an engine for prefill (so
//! its running sequences wait), few in one for decode (so its waiting prompts do). The memory that a long chunk
//! takes is not there for sequences, so the role sets too how many may run at once (`RoleProfile`).

use std::collections::VecDeque;
use std::time::Duration;

use sequoiastream_core::config::Role;
use sequoiastream_core::engine::RoleProfile;
use uuid::Uuid;

/// How fast an engine is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Prompt tokens per second.
    pub prefill_rate: f64,
    /// Tokens per second of a sequence that runs alone.
    pub decode_rate: f64,
    /// Part of a step's time that each further sequence adds.
    pub sequence_overhead: f64,
    /// Most sequences that run at once.
    pub slots: usize,
}

/// A request inside the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Sequence {
    /// The attempt.
    pub attempt: Uuid,
    /// Prompt tokens still to be processed.
    pub prefill: u32,
    /// Offset of the next token.
    pub offset: u32,
    /// Offset after the last token.
    pub limit: u32,
    /// 0 is the most urgent.
    pub priority: u8,
}

/// A token made by a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// The attempt.
    pub attempt: Uuid,
    /// Its offset.
    pub offset: u32,
    /// Whether it was the last.
    pub last: bool,
}

/// The sequences of an engine.
#[derive(Debug)]
pub struct Batch {
    rates: Rates,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
}

impl Batch {
    /// An idle batch.
    pub fn new(rates: Rates) -> Batch {
        Batch {
            rates,
            waiting: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Adds a sequence behind those of the same or a more urgent priority.
    pub fn push(&mut self, sequence: Sequence) {
        let at = self.waiting.partition_point(|s| s.priority <= sequence.priority);
        self.waiting.insert(at, sequence);
    }

    /// Removes a sequence.
    pub fn cancel(&mut self, attempt: Uuid) {
        self.waiting.retain(|s| s.attempt != attempt);
        self.running.retain(|s| s.attempt != attempt);
    }

    /// Whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Sequences that generate.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Sequences whose prompt is not processed yet.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Prompt tokens still to be processed.
    pub fn prefill_left(&self) -> u64 {
        self.waiting.iter().map(|s| u64::from(s.prefill)).sum()
    }

    /// Does one step; returns its time and the tokens it made.
    pub fn step(&mut self, role: Role) -> (Duration, Vec<Token>) {
        let profile = RoleProfile::of(role, self.rates.slots as u32);
        let processed = self.process_prompts(profile);
        let crowd = 1.0 + self.rates.sequence_overhead * self.running.len().saturating_sub(1) as f64;
        let decode = match self.running.is_empty() {
            true => 0.0,
            false => crowd / self.rates.decode_rate,
        };
        let seconds = decode + f64::from(processed) / self.rates.prefill_rate;
        (Duration::from_secs_f64(seconds), self.generate())
    }

    fn process_prompts(&mut self, profile: RoleProfile) -> u32 {
        let mut left = profile.chunk;
        while self.running.len() < profile.slots as usize {
            let Some(first) = self.waiting.front_mut() else {
                break;
            };
            let part = first.prefill.min(left);
            first.prefill -= part;
            left -= part;
            if first.prefill > 0 {
                break;
            }
            self.running.extend(self.waiting.pop_front());
        }
        profile.chunk - left
    }

    fn generate(&mut self) -> Vec<Token> {
        let mut tokens = Vec::with_capacity(self.running.len());
        for sequence in &mut self.running {
            if sequence.offset < sequence.limit {
                sequence.offset += 1;
                tokens.push(Token {
                    attempt: sequence.attempt,
                    offset: sequence.offset - 1,
                    last: sequence.offset == sequence.limit,
                });
            }
        }
        self.running.retain(|s| s.offset < s.limit);
        tokens
    }
}
