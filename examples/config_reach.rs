//! Measures how long an accepted configuration change takes to come into force on all of eight instances.
//!
//! `cargo build --workspace --bins && cargo run --example config_reach`
//!
//! Eight daemons with their default limits, a stand-in platform and an engine run as processes on this machine. Each
//! change drains or resumes the engine. The time is measured from just before the statement is sent until every daemon
//! reports that the version is in force.

use std::path::PathBuf;
use std::time::Instant;

use futures_util::future::join;
use futures_util::future::join_all;
use sequoiastream_standin::platform::Fault;
use sequoiastream_testsupport::fleet::Binaries;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::FleetBuilder;
use sequoiastream_testsupport::http;

/// Number of entry instances; as many as run today.
const DAEMONS: usize = 8;

/// Number of changes in each case.
const CHANGES: usize = 40;

async fn wait_in_force(fleet: &Fleet, version: u64) {
    let each = fleet.daemons.iter().map(|daemon| {
        let url = format!("{}/version", daemon.url());
        async move {
            http::until("the version is in force", || async {
                let known: u64 = http::read(&url).await;
                (known >= version).then_some(())
            })
            .await;
        }
    });
    join_all(each).await;
}

async fn measure(fleet: &Fleet, case: &str, fault: &Fault) {
    fleet.platform_fault(fault).await;
    let mut times = Vec::new();
    let mut version: u64 = http::read(&format!("{}/version", fleet.daemons[0].url())).await;
    for change in 0..CHANGES {
        let verb = if change % 2 == 0 { "drain" } else { "resume" };
        let begin = Instant::now();
        version += 1;
        let text = format!("{verb} engine e0");
        // The reply waits briefly for digests, so the version may be in force everywhere before the reply arrives.
        let reached = async {
            wait_in_force(fleet, version).await;
            begin.elapsed()
        };
        let (_, elapsed) = join(fleet.apply(0, &text), reached).await;
        times.push(elapsed);
    }
    times.sort();
    let at = |part: usize| times[(times.len() - 1) * part / 100];
    println!(
        "{case}: median {:?}, 95th percentile {:?}, maximum {:?}",
        at(50),
        at(95),
        at(100)
    );
}

#[actix_web::main]
async fn main() {
    let target = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("target/debug");
    let binaries = Binaries {
        daemon: target.join("sequoiastreamd"),
        tool: target.join("sequoiastream"),
        standin: target.join("sequoiastream-standin"),
    };
    let fleet = FleetBuilder::new(binaries)
        .daemons(DAEMONS)
        .start_configured()
        .await;
    let cut = |names: &[&str]| Fault {
        cut: names.iter().map(|name| name.to_string()).collect(),
        ..Fault::default()
    };
    let slow = Fault {
        delay: 500,
        ..Fault::default()
    };
    measure(&fleet, "no fault", &Fault::default()).await;
    measure(&fleet, "one instance partitioned from the service", &cut(&["i5"])).await;
    let all_but_one = ["i1", "i2", "i3", "i4", "i5", "i6", "i7"];
    measure(
        &fleet,
        "all but the accepting instance partitioned",
        &cut(&all_but_one),
    )
    .await;
    measure(&fleet, "each call to the service takes 500 ms", &slow).await;
}
