//! Settings of membership, isolation and shutdown.

use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use sequoiastream_core::membership::CutRule;
use sequoiastream_core::membership::Limits;
use sequoiastream_core::shutdown::Times;

use crate::settings::Reader;
use crate::settings::number;
use crate::settings::text;

/// Flags that [`limits`], [`times`] and [`lists`] read.
pub fn args() -> Vec<Arg> {
    vec![
        number(
            "heartbeat-ms",
            "SEQUOIASTREAM_HEARTBEAT_MS",
            "Time between two heartbeats",
            "1000",
        ),
        number(
            "silent-ms",
            "SEQUOIASTREAM_SILENT_MS",
            "An instance not heard of for so long is not named to callers",
            "5000",
        ),
        number(
            "stale-ms",
            "SEQUOIASTREAM_STALE_MS",
            "Longest time for which the configuration known here may go unconfirmed",
            "15000",
        ),
        number(
            "asleep-ms",
            "SEQUOIASTREAM_ASLEEP_MS",
            "An instance that did not run for so long takes no new work until it knows anew how things stand",
            "2000",
        ),
        text(
            "on-cut",
            "SEQUOIASTREAM_ON_CUT",
            "What instances do that hear each other, but neither the platform nor all others",
        )
        .value_parser(["stop", "serve"])
        .default_value("stop"),
        number(
            "list-ms",
            "SEQUOIASTREAM_LIST_MS",
            "Time between two looks at the platform's lists in a small fleet",
            "1000",
        ),
        number(
            "keep-ms",
            "SEQUOIASTREAM_KEEP_MS",
            "How long callers keep an address",
            "10000",
        ),
        number(
            "margin-ms",
            "SEQUOIASTREAM_MARGIN_MS",
            "How much longer a leaving instance serves new work",
            "2000",
        ),
        number(
            "refuse-ms",
            "SEQUOIASTREAM_REFUSE_MS",
            "Shortest time for which it then refuses new work before it closes",
            "1000",
        ),
        number(
            "drain-ms",
            "SEQUOIASTREAM_DRAIN_MS",
            "Longest time for which it awaits running work",
            "60000",
        ),
    ]
}

/// Limits of membership.
pub fn limits(reader: &mut Reader<'_>) -> Limits {
    let mut millis = |name: &str| Duration::from_millis(reader.positive(name));
    let limits = Limits {
        interval: millis("heartbeat-ms"),
        silent: millis("silent-ms"),
        stale: millis("stale-ms"),
        asleep: millis("asleep-ms"),
        rule: rule(reader.matches),
        ..Limits::default()
    };
    if limits.silent < limits.interval * 2 {
        let fault =
            "--silent-ms must be at least twice --heartbeat-ms, or instances seem silent between heartbeats";
        reader.faults.push(fault.to_string());
    }
    if limits.asleep < limits.interval * 2 {
        let fault =
            "--asleep-ms must be at least twice --heartbeat-ms, or instances seem paused between heartbeats";
        reader.faults.push(fault.to_string());
    }
    if limits.stale < limits.silent {
        let fault = "--stale-ms must be at least --silent-ms";
        reader.faults.push(fault.to_string());
    }
    limits
}

/// Times of a shutdown.
pub fn times(reader: &mut Reader<'_>) -> Times {
    let mut millis = |name: &str| Duration::from_millis(reader.positive(name));
    Times {
        keep: millis("keep-ms"),
        margin: millis("margin-ms"),
        refuse: millis("refuse-ms"),
        drain: millis("drain-ms"),
    }
}

/// Time between two looks at the platform's lists.
pub fn lists(reader: &mut Reader<'_>) -> Duration {
    Duration::from_millis(reader.positive("list-ms"))
}

fn rule(matches: &ArgMatches) -> CutRule {
    match matches.get_one::<String>("on-cut").map(String::as_str) {
        Some("serve") => CutRule::Serve,
        _ => CutRule::Stop,
    }
}
