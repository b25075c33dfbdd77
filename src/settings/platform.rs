//! Settings of the calls to the platform and of the leases kept there.

use clap::Arg;

use crate::settings::number;

/// Flags of the calls and leases.
pub fn args() -> Vec<Arg> {
    vec![
        number(
            "kv-deadline-ms",
            "SEQUOIASTREAM_KV_DEADLINE_MS",
            "Deadline of a call to the platform",
            "1000",
        ),
        number(
            "watch-ms",
            "SEQUOIASTREAM_WATCH_MS",
            "How long a watch waits",
            "30000",
        ),
        number(
            "kv-rate",
            "SEQUOIASTREAM_KV_RATE",
            "Calls a second to the platform that this instance may make, and twice as many at once",
            "100",
        ),
        number(
            "lease-ms",
            "SEQUOIASTREAM_LEASE_MS",
            "How long the lease of a service's authority lasts after its last renewal",
            "10000",
        ),
    ]
}
