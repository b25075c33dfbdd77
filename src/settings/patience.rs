//! Settings of how long engines may be silent.

use std::time::Duration;

use clap::Arg;

use crate::settings::Reader;
use crate::settings::number;

/// How long an engine may be silent before its attempt is given up and resumed elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Until the first token of an attempt.
    pub first: Duration,
    /// Between two tokens.
    pub between: Duration,
}

/// Flags that [`patience`] reads.
pub fn args() -> Vec<Arg> {
    vec![
        number(
            "first-token-ms",
            "SEQUOIASTREAM_FIRST_TOKEN_MS",
            "How long an engine may take to an attempt's first token",
            "15000",
        ),
        number(
            "between-tokens-ms",
            "SEQUOIASTREAM_BETWEEN_TOKENS_MS",
            "How long an engine may be silent between two tokens",
            "5000",
        ),
    ]
}

/// How long engines may be silent.
pub fn patience(reader: &mut Reader<'_>) -> Patience {
    let mut millis = |name: &str| Duration::from_millis(reader.positive(name));
    Patience {
        first: millis("first-token-ms"),
        between: millis("between-tokens-ms"),
    }
}
