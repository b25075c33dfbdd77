//! Settings of the calls to the platform and of the leases kept there.

use clap::Arg;

use crate::settings::number_arg;
use crate::settings::text_arg;

/// Flags of the calls and leases.
pub fn args() -> Vec<Arg> {
    vec![
        text_arg("platform", "Base address of the platform").default_value("http://127.0.0.1:7000"),
        number_arg("kv-deadline-ms", "Deadline of a call to the platform", "1000"),
        number_arg("watch-ms", "How long a watch waits", "30000"),
        number_arg(
            "kv-rate",
            "Calls a second to the platform that this instance may make, and twice as many at once",
            "100",
        ),
        number_arg(
            "lease-ms",
            "How long the lease of a service's authority lasts after its last renewal",
            "10000",
        ),
    ]
}
