//! Settings of the steps of a shutdown.

use std::time::Duration;

use clap::Arg;
use sequoiastream_core::shutdown::ShutdownTimes;

use crate::settings::Reader;
use crate::settings::number_arg;

/// Flags that [`times`] reads.
pub fn args() -> Vec<Arg> {
    vec![
        number_arg("keep-ms", "How long callers keep an address", "10000"),
        number_arg(
            "margin-ms",
            "How much longer a leaving instance serves new work",
            "2000",
        ),
        number_arg(
            "refuse-ms",
            "Shortest time for which it then refuses new work before it closes",
            "1000",
        ),
        number_arg(
            "drain-ms",
            "Longest time for which it awaits running work",
            "60000",
        ),
    ]
}

/// Times of a shutdown.
pub fn shutdown_times(reader: &mut Reader<'_>) -> ShutdownTimes {
    let mut millis = |name: &str| Duration::from_millis(reader.positive(name));
    ShutdownTimes {
        address_ttl: millis("keep-ms"),
        margin: millis("margin-ms"),
        refuse: millis("refuse-ms"),
        drain: millis("drain-ms"),
    }
}
