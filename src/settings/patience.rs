//! Timeouts for engines and callers.

use std::time::Duration;

use clap::Arg;

use crate::settings::Reader;
use crate::settings::number_arg;

/// Timeouts for engines and callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time for an engine to produce the first token of an attempt. On a timeout the attempt is abandoned and resumed
    /// on another engine.
    pub first_token: Duration,
    /// Time between two tokens of an engine, with the same consequence.
    pub between_tokens: Duration,
    /// Time for a caller to send the complete body of its request.
    pub body: Duration,
}

/// Flags read by [`timeouts`].
pub fn args() -> Vec<Arg> {
    vec![
        number_arg(
            "first-token-ms",
            "Maximum time until an engine produces the first token of an attempt",
            "15000",
        ),
        number_arg(
            "between-tokens-ms",
            "Maximum time between two tokens of an engine",
            "5000",
        ),
        number_arg(
            "body-ms",
            "Maximum time for a caller to send the body of a request",
            "10000",
        ),
    ]
}

/// Reads the timeouts.
pub fn timeouts(reader: &mut Reader<'_>) -> Timeouts {
    let mut millis = |name: &str| Duration::from_millis(reader.positive(name));
    Timeouts {
        first_token: millis("first-token-ms"),
        between_tokens: millis("between-tokens-ms"),
        body: millis("body-ms"),
    }
}
