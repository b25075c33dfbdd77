//! Sets the gauges on the page of metrics to their values at the time of the request.

use std::time::Duration;

use sequoiastream_core::relay::load_tracker::Work;

use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Returns the page of metrics.
pub fn page(shared: &Shared) -> String {
    let now = clock::now();
    let view = shared.view.load();
    let metrics = &shared.metrics;
    metrics.running.set(count(shared.running()));
    metrics
        .engines
        .set(count(view.engines().values().map(Vec::len).sum()));
    metrics.instances.set(count(view.endpoints.len()));
    metrics
        .config_version
        .set(i64::try_from(view.table.version).unwrap_or(i64::MAX));
    let mut traffic = shared.traffic();
    metrics.store_age.set(shared.store_age(now).as_secs_f64());
    let proven = shared.ages(now).proven;
    let proven = (proven < Duration::MAX).then_some(proven.as_secs_f64());
    metrics.proof_age.set(proven.unwrap_or(-1.0));
    metrics
        .peers_age
        .set(traffic.load.oldest_report_age(now).as_secs_f64());
    metrics.limited_engines.set(count(traffic.rate_limits.count()));
    metrics
        .detached_engines
        .set(count(traffic.reachability.detached_count(now)));
    let suspects = traffic.suspects.counts(now);
    metrics.suspect_requests.set(count(suspects.suspect));
    metrics.blocked_requests.set(count(suspects.blocked));
    metrics.blocked_parts.set(count(suspects.parts));
    metrics
        .workspaces_over_share
        .set(count(traffic.shares.over_count(now)));
    metrics.clear_services();
    for (service, engines) in view.engines() {
        let own = sum(engines.iter().map(|e| traffic.load.own_work(e.key)));
        let fleet = sum(engines.iter().map(|e| traffic.load.work(now, e.key)));
        let slots: u32 = engines.iter().map(|e| e.entry.slots).sum();
        let remaining = traffic.budget.remaining(now, service);
        metrics.set_work(service, "own", own.requests);
        metrics.set_work(service, "fleet", fleet.requests);
        metrics.set_work(service, "slots", slots);
        metrics.set_retry_budget(service, remaining);
        let keys = engines.iter().map(|e| e.key);
        if let Some(usual) = traffic.load.service_times.usual(now, keys) {
            metrics.set_service_time(service, usual);
        }
        let slow = traffic.load.event_pace.slow_count(now, service);
        metrics.set_slow_engines(service, count(slow));
    }
    drop(traffic);
    metrics.render()
}

fn sum<I>(work: I) -> Work
where
    I: Iterator<Item = Work>,
{
    work.fold(Work::default(), Work::plus)
}

fn count(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
