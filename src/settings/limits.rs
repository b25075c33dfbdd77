//! Settings of membership and of behavior during network partitions.

use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use sequoiastream_core::membership::Limits;
use sequoiastream_core::membership::PartitionPolicy;

use crate::settings::Reader;
use crate::settings::number_arg;
use crate::settings::text_arg;

/// Flags read by [`limits`] and [`list_interval`].
pub fn args() -> Vec<Arg> {
    vec![
        number_arg("heartbeat-ms", "Interval between heartbeats", "1000"),
        number_arg(
            "silent-ms",
            "An instance not heard from for this long is not listed to callers",
            "5000",
        ),
        number_arg(
            "stale-ms",
            "Maximum time since the configuration was last confirmed to be current",
            "15000",
        ),
        number_arg(
            "asleep-ms",
            "An instance that was paused for longer than this takes no new work until its standing is confirmed again",
            "2000",
        ),
        text_arg(
            "on-cut",
            "What instances do that hear each other, but neither the platform nor all other instances",
        )
        .value_parser(["stop", "serve"])
        .default_value("stop"),
        number_arg(
            "list-ms",
            "Interval between reads of the platform's lists in a small fleet",
            "1000",
        ),
    ]
}

/// Reads the limits of membership.
///
/// The silence and pause limits must be at least two heartbeat intervals, or instances would count as silent or paused
/// between two heartbeats.
pub fn limits(reader: &mut Reader<'_>) -> Limits {
    let mut millis = |name: &str| Duration::from_millis(reader.positive(name));
    let limits = Limits {
        interval: millis("heartbeat-ms"),
        silent_after: millis("silent-ms"),
        stale_after: millis("stale-ms"),
        pause_limit: millis("asleep-ms"),
        partition_policy: partition_policy(reader.matches),
        ..Limits::default()
    };
    if limits.silent_after < limits.interval * 2 {
        let fault =
            "--silent-ms must be at least twice --heartbeat-ms, or instances seem silent between heartbeats";
        reader.faults.push(fault.to_string());
    }
    if limits.pause_limit < limits.interval * 2 {
        let fault =
            "--asleep-ms must be at least twice --heartbeat-ms, or instances seem paused between heartbeats";
        reader.faults.push(fault.to_string());
    }
    if limits.stale_after < limits.silent_after {
        let fault = "--stale-ms must be at least --silent-ms";
        reader.faults.push(fault.to_string());
    }
    limits
}

/// Reads the interval between reads of the platform's lists.
pub fn list_interval(reader: &mut Reader<'_>) -> Duration {
    Duration::from_millis(reader.positive("list-ms"))
}

fn partition_policy(matches: &ArgMatches) -> PartitionPolicy {
    match matches.get_one::<String>("on-cut").map(String::as_str) {
        Some("serve") => PartitionPolicy::Serve,
        _ => PartitionPolicy::Stop,
    }
}
