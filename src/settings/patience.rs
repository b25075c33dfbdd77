//! Settings of how long engines and callers may be silent.

use std::time::Duration;

use clap::Arg;

use crate::settings::Reader;
use crate::settings::number_arg;

/// How long engines and callers may be silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// An engine until the first token of an attempt, which is then given up and resumed elsewhere.
    pub first_token: Duration,
    /// An engine between two tokens, likewise.
    pub between_tokens: Duration,
    /// A caller until the whole body of its request has arrived.
    pub body: Duration,
}

/// Flags that [`patience`] reads.
pub fn args() -> Vec<Arg> {
    vec![
        number_arg(
            "first-token-ms",
            "How long an engine may take to an attempt's first token",
            "15000",
        ),
        number_arg(
            "between-tokens-ms",
            "How long an engine may be silent between two tokens",
            "5000",
        ),
        number_arg(
            "body-ms",
            "How long a caller may take to send the body of a request",
            "10000",
        ),
    ]
}

/// How long engines and callers may be silent.
pub fn timeouts(reader: &mut Reader<'_>) -> Timeouts {
    let mut millis = |name: &str| Duration::from_millis(reader.positive(name));
    Timeouts {
        first_token: millis("first-token-ms"),
        between_tokens: millis("between-tokens-ms"),
        body: millis("body-ms"),
    }
}
