//! Compares policies: starts daemons and stand-ins as processes, sends the same load to each policy, and writes a
//! table, JSON and a chart.

pub mod cases;
pub mod cli;
pub mod entry;
pub mod fleet;
pub mod plot;
pub mod table;

use std::time::Duration;

use crate::engine::EngineFault;
use crate::experiment::cases::Case;
use crate::experiment::cases::FaultCase;
use crate::experiment::fleet::Fleet;
use crate::experiment::fleet::MODEL;
use crate::experiment::fleet::Plan;
use crate::experiment::fleet::put;
use crate::experiment::table::Row;
use crate::load;
use crate::load::LoadSettings;
use crate::load::mix::Deadlines;
use crate::load::mix::Phase;
use crate::load::report::LatencyTargets;
use crate::platform::Fault;

/// Wait after the start, so that the daemons have received load reports before the load begins.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// When a fault begins, as a fraction of the run.
const FAULT_START: f64 = 0.3;

/// When a temporary fault ends, as a fraction of the run.
const FAULT_END: f64 = 0.8;

/// How long an instance is paused.
const PAUSE_DURATION: Duration = Duration::from_secs(3);

/// Lag of delayed load reports, in milliseconds.
const REPORT_LAG_MS: u64 = 5_000;

/// Runs one case with one seed.
///
/// # Errors
///
/// If a process doesn't start, the configuration isn't accepted or in force in time, or the load or the fault
/// injection fails.
pub async fn run(set: &str, case: &Case, seed: u64, plan: &Plan) -> eyre::Result<Row> {
    let plan = Plan {
        policy: case.policy.clone(),
        roles: case.roles.clone(),
        products: case.products.clone(),
        ..plan.clone()
    };
    let mut fleet = Fleet::start(&plan).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let settings = LoadSettings {
        targets: fleet.daemon_addresses(),
        traffic: case.traffic.clone(),
        model: MODEL.to_string(),
        service: "ordini".to_string(),
        deadlines: Deadlines::default(),
        latency_targets: LatencyTargets::default(),
        seed,
        engines: fleet.engine_addresses(),
        plain: vec![fleet.plain.address()],
    };
    let length = run_length(&case.traffic[0].phases);
    let (report, fault) =
        futures_util::future::join(load::run(settings), inject_fault(&mut fleet, case.fault, length)).await;
    fault?;
    Ok(Row {
        set: set.to_string(),
        case: case.name.clone(),
        report: report?,
    })
}

fn run_length(phases: &[Phase]) -> Duration {
    Duration::from_secs_f64(phases.iter().map(|p| p.seconds).sum())
}

async fn inject_fault(fleet: &mut Fleet, fault: FaultCase, length: Duration) -> eyre::Result<()> {
    if fault == FaultCase::LateReports {
        let late = EngineFault {
            lag: REPORT_LAG_MS,
            ..EngineFault::default()
        };
        for engine in &fleet.engines {
            put(&format!("{}/control/fault", engine.url()), &late).await?;
        }
    }
    tokio::time::sleep(length.mul_f64(FAULT_START)).await;
    match fault {
        FaultCase::None | FaultCase::LateReports => Ok(()),
        FaultCase::EngineLost => {
            fleet.engines[0].kill();
            Ok(())
        }
        FaultCase::EngineWithdrawn => {
            fleet
                .submit_statement("drain engine e0; withdraw engine e0;")
                .await
        }
        FaultCase::PlatformOut => {
            let url = format!("{}/control/fault", fleet.platform.url());
            let down = Fault {
                outage: true,
                ..Fault::default()
            };
            put(&url, &down).await?;
            tokio::time::sleep(length.mul_f64(FAULT_END - FAULT_START)).await;
            put(&url, &Fault::default()).await
        }
        FaultCase::InstancePaused => {
            fleet.daemons[1].signal("STOP");
            tokio::time::sleep(PAUSE_DURATION).await;
            fleet.daemons[1].signal("CONT");
            Ok(())
        }
    }
}
