//! Durations of the phases of a shutdown.

use std::time::Duration;

use clap::Arg;
use sequoiastream_core::shutdown::ShutdownTimes;

use crate::settings::Reader;
use crate::settings::number_arg;

/// Flags read by [`shutdown_times`].
pub fn args() -> Vec<Arg> {
    vec![
        number_arg("keep-ms", "How long callers cache an address", "10000"),
        number_arg(
            "margin-ms",
            "How much longer than that a stopping instance serves new work",
            "2000",
        ),
        number_arg(
            "refuse-ms",
            "Minimum time for which it then refuses new work before its listener closes",
            "1000",
        ),
        number_arg(
            "drain-ms",
            "Maximum time to wait for running work after that",
            "60000",
        ),
    ]
}

/// Reads the durations of the phases of a shutdown.
pub fn shutdown_times(reader: &mut Reader<'_>) -> ShutdownTimes {
    let mut millis = |name: &str| Duration::from_millis(reader.positive(name));
    ShutdownTimes {
        address_ttl: millis("keep-ms"),
        margin: millis("margin-ms"),
        refuse: millis("refuse-ms"),
        drain: millis("drain-ms"),
    }
}
