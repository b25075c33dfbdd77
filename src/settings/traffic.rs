//! Settings of routing, role changes and claims.

use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use sequoiastream_core::claims::OwnerSettings;

use crate::settings::number_arg;
use crate::settings::text_arg;

/// Values of `--policy`.
const POLICIES: [&str; 5] = ["adaptive", "fixed", "threshold", "least-load", "round-robin"];

/// Flags of routing, role changes and claims.
pub fn args() -> Vec<Arg> {
    vec![
        text_arg(
            "policy",
            "Policy of routing and role changes; all but `adaptive` are baselines for comparison",
        )
        .value_parser(POLICIES)
        .default_value("adaptive"),
        number_arg("load-ms", "Interval between load queries to an engine", "500"),
        number_arg(
            "away-ms",
            "How long an engine is unavailable during a role change; the planner derives its times from it",
            "3000",
        ),
        number_arg(
            "claim-pace-ms",
            "Minimum time between two writes of a claim bucket; 0 writes each claim separately",
            "80",
        ),
    ]
}

/// Reads how claims are grouped into writes.
pub fn claim_grouping(matches: &ArgMatches) -> OwnerSettings {
    match matches.get_one::<u64>("claim-pace-ms").copied() {
        Some(0) => OwnerSettings::ungrouped(),
        Some(millis) => OwnerSettings {
            write_interval: Duration::from_millis(millis),
            ..OwnerSettings::default()
        },
        None => OwnerSettings::default(),
    }
}
