//! Settings of calls to the platform and of the leases stored there.

use clap::Arg;

use crate::settings::number_arg;
use crate::settings::text_arg;

/// Flags of calls and leases.
pub fn args() -> Vec<Arg> {
    vec![
        text_arg("platform", "Base URL of the platform").default_value("http://127.0.0.1:7000"),
        number_arg(
            "kv-deadline-ms",
            "Time limit for one call to the platform",
            "1000",
        ),
        number_arg("watch-ms", "How long a watch call waits for a change", "30000"),
        number_arg(
            "kv-rate",
            "Maximum calls per second to the platform by this instance, with bursts of twice as many",
            "100",
        ),
        number_arg(
            "lease-ms",
            "Duration of the lease of a service's authority, from its last renewal",
            "10000",
        ),
    ]
}
