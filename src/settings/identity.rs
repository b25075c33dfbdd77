//! Settings of who this instance is and where it is reached.

use clap::Arg;

use crate::settings::number;
use crate::settings::text;

/// Flags of name, addresses, secrets and logs.
pub fn args() -> Vec<Arg> {
    vec![
        text("name", "Name of this instance"),
        text("zone", "Availability zone of this instance"),
        text("listen", "Where callers and operators connect").default_value("127.0.0.1:8080"),
        text("peer", "Where other instances connect, over UDP and TCP").default_value("127.0.0.1:8090"),
        text("operator-token", "What operators authenticate with").hide_env_values(true),
        text("cluster-key", "Key of the messages between instances").hide_env_values(true),
        number("workers", "Threads for traffic", "2"),
        text("log-format", "How log lines are written")
            .value_parser(["text", "json"])
            .default_value("text"),
    ]
}
