//! Settings of the instance itself: name, zone, addresses, secrets, threads and logs.

use clap::Arg;

use crate::settings::number_arg;
use crate::settings::text_arg;

/// Flags of the instance.
pub fn args() -> Vec<Arg> {
    vec![
        text_arg("name", "Name of this instance"),
        text_arg("zone", "Availability zone of this instance"),
        text_arg("listen", "Listen address for callers and operators").default_value("127.0.0.1:8080"),
        text_arg("peer", "Listen address for other instances, over UDP and TCP")
            .default_value("127.0.0.1:8090"),
        text_arg("operator-token", "Token that operators authenticate with").hide_env_values(true),
        text_arg("cluster-key", "Key that authenticates messages between instances").hide_env_values(true),
        number_arg("workers", "Number of worker threads for traffic", "2"),
        text_arg("log-format", "Format of log lines")
            .value_parser(["text", "json"])
            .default_value("text"),
    ]
}
