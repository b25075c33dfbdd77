//! Settings of who this instance is and where it is reached.

use clap::Arg;

use crate::settings::number_arg;
use crate::settings::text_arg;

/// Flags of name, addresses, secrets and logs.
pub fn args() -> Vec<Arg> {
    vec![
        text_arg("name", "Name of this instance"),
        text_arg("zone", "Availability zone of this instance"),
        text_arg("listen", "Where callers and operators connect").default_value("127.0.0.1:8080"),
        text_arg("peer", "Where other instances connect, over UDP and TCP").default_value("127.0.0.1:8090"),
        text_arg("operator-token", "What operators authenticate with").hide_env_values(true),
        text_arg("cluster-key", "Key of the messages between instances").hide_env_values(true),
        number_arg("workers", "Threads for traffic", "2"),
        text_arg("log-format", "How log lines are written")
            .value_parser(["text", "json"])
            .default_value("text"),
    ]
}
