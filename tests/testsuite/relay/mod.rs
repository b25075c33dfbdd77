//! Tests of the relay: its decisions by themselves, and whole instances against engines that misbehave.

mod acts;
mod answers;
mod arrivals;
mod book;
mod budget;
mod chunked;
mod confirmations;
mod connections;
mod continued_empty;
mod crash_parts;
mod crashes;
mod cut_answers;
mod departures;
mod digest;
mod directory;
mod endless;
mod engine;
mod engines;
mod event_pace;
mod evidence;
mod fairness;
mod follow;
mod hedging;
mod instance;
mod keys;
mod killed_engines;
mod known;
mod lead;
mod limit_fleet;
mod limit_reports;
mod limits;
mod loopback;
mod metrics;
mod notices;
mod odd;
mod old_callers;
mod orders;
mod pace;
mod paced_streams;
mod parts;
mod pauses;
mod place;
mod prefills;
mod promises;
mod proofs;
mod rank;
mod reachability;
mod records;
mod repeated_events;
mod request_kinds;
mod requests;
mod restarts;
mod restores;
mod returns;
mod revisions;
mod routes;
mod scale;
mod seeded;
mod service_time;
mod share_instances;
mod silence;
mod stages;
mod starts;
mod stops;
mod store;
mod streams;
mod suspects;
mod told;
mod truth;
mod tunnel_peers;
mod tunnels;
mod unframed;
mod unproven;
mod usage;
mod version_history;
mod versions;
mod watchers;
mod withdrawals;
mod workspace_shares;
mod workspaces;

use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::revision::Revision;

/// The change `number` of a store that was never restored.
fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

/// The entry of a ready engine with 16 slots in zone `a`.
fn entry(id: &str, stage: Stage) -> Entry {
    Entry {
        id: id.to_string(),
        service: "chat".to_string(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "a".to_string(),
        slots: 16,
        leaving: false,
        stage,
        version: "v1".to_string(),
        spot: false,
        sequence: 1,
        create_revision: Revision::new(0, 1),
        started: None,
    }
}

/// Engines `e0`, `e1`, ... with these stages.
fn fleet(stages: &[Stage]) -> Vec<Engine> {
    let engines = stages.iter().enumerate().map(|(index, stage)| {
        let key = EngineKey(u32::try_from(index).expect("an index below 2^32"));
        Engine::new(key, entry(&format!("e{index}"), *stage))
    });
    engines.collect()
}

/// Maximum time for which a test waits. An order is sent to an engine only once the engines have not changed for two
/// seconds; everything else takes milliseconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until `holds` returns true; panics after [`WAIT_TIMEOUT`].
async fn wait_until<F>(holds: F)
where
    F: Fn() -> bool,
{
    let wait = async {
        while !holds() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("the condition holds within the time limit");
}
