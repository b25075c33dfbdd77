//! Decides how many engines of a service compute prefills for the others, and which engines change their stage for
//! that.
//!
//! An order to change stage may be lost or carried out seconds later, and an engine need not check who sends it. So an
//! engine gets at most one order in its life: whoever creates its record in the store sends the order, and no one else
//! ever does. There is no lease holder that could be superseded, and no order that a late one could conflict with. The
//! price is that the split follows the engines that join and leave rather than every change in the mix of requests.

use std::collections::BTreeMap;

use crate::relay::engines::Engine;
use crate::relay::engines::Stage;
use crate::relay::streams::SoftwareVersion;

/// Minimum number of engines of each version that generate: one may be lost.
const MIN_DECODE_ENGINES: usize = 2;

/// Deviation from the wanted number of prefill engines that is tolerated once a service has been split: an engine that
/// is lost for a moment isn't worth an order.
const TOLERANCE: usize = 1;

/// Number of prefill engines that one core of the instances can keep busy: a core forwards about 150 prompts per
/// second, and the slowest engines take 80 ms for a prefill.
const PREFILL_ENGINES_PER_CORE: f64 = 12.0;

/// An order for an engine to change its stage.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StageOrder {
    /// Id of the engine.
    pub engine: String,
    /// Stage that it changes to.
    pub stage: Stage,
}

/// Limits `prefill_fraction`, the fraction of a service's engines that compute prefills, to what the instances can
/// keep busy. `capacity` is their total capacity in thousandths of a core; 0 means unknown and leaves the fraction
/// unchanged. This limit never orders existing prefill engines back.
///
/// Guards against taking thousands of engines out of service for seconds, and loading the store, for prefill engines
/// that stay idle.
pub fn limit_prefill_fraction(
    engines: &[Engine],
    ordered: &BTreeMap<String, Stage>,
    prefill_fraction: f64,
    capacity: u32,
) -> f64 {
    if capacity == 0 {
        return prefill_fraction;
    }
    let staged = || engines.iter().filter(|e| e.entry.stage != Stage::Whole);
    let prefilling = staged()
        .filter(|e| target_stage(e, ordered) == Stage::Prefill)
        .count();
    let needed = (f64::from(capacity) / 1e3 * PREFILL_ENGINES_PER_CORE).ceil();
    let limit = needed.max(prefilling as f64);
    prefill_fraction.min(limit / staged().count().max(1) as f64)
}

/// Returns the stage of an engine after its order, if any, has been carried out.
fn target_stage(engine: &Engine, ordered: &BTreeMap<String, Stage>) -> Stage {
    let ordered = ordered.get(&engine.entry.id);
    ordered.copied().unwrap_or(engine.entry.stage)
}

/// Returns the orders that bring a service to the split in which `prefill_fraction` of its engines, 0 to 1, compute
/// prefills. `ordered` contains the orders that engines have been given already.
///
/// Engines of each version that can generate come first: a stream may go on only at the version that began it.
pub fn plan_orders(
    engines: &[Engine],
    ordered: &BTreeMap<String, Stage>,
    prefill_fraction: f64,
) -> Vec<StageOrder> {
    let staged: Vec<&Engine> = engines.iter().filter(|e| e.entry.stage != Stage::Whole).collect();
    let versions = count_by_version(&staged, ordered);
    let replacements = plan_replacements(&staged, ordered, &versions);
    if !replacements.is_empty() {
        return replacements;
    }
    let max_prefill = versions.values().map(|v| v.total() - v.min_generating()).sum();
    let wanted = ((staged.len() as f64 * prefill_fraction).round() as usize).min(max_prefill);
    let prefilling: usize = versions.values().map(|v| v.prefilling).sum();
    let generating = staged.len() - prefilling;
    let is_split = staged.iter().any(|e| ordered.contains_key(&e.entry.id));
    let tolerance = if is_split { TOLERANCE } else { 0 };
    let is_close = prefilling.abs_diff(wanted) <= tolerance;
    let is_operational =
        (prefilling > 0 || wanted == 0) && generating >= MIN_DECODE_ENGINES.min(staged.len());
    if is_close && is_operational {
        return Vec::new();
    }
    match prefilling.cmp(&wanted) {
        std::cmp::Ordering::Less => {
            let mut spare = versions;
            let is_spare = |engine: &Engine| {
                spare
                    .get_mut(&engine.version)
                    .is_some_and(StageCounts::take_generator)
            };
            choose(&staged, ordered, Stage::Prefill, wanted - prefilling, is_spare)
        }
        std::cmp::Ordering::Equal => Vec::new(),
        std::cmp::Ordering::Greater => choose(&staged, ordered, Stage::Decode, prefilling - wanted, |_| true),
    }
}

/// Orders that replace the engines that are missing for the minimum of each version.
fn plan_replacements(
    staged: &[&Engine],
    ordered: &BTreeMap<String, Stage>,
    versions: &BTreeMap<SoftwareVersion, StageCounts>,
) -> Vec<StageOrder> {
    let orders = versions.iter().flat_map(|(version, counts)| {
        let missing = counts.min_generating().saturating_sub(counts.generating);
        let engines: Vec<&Engine> = staged.iter().copied().filter(|e| e.version == *version).collect();
        choose(&engines, ordered, Stage::Decode, missing, |_| true)
    });
    orders.collect()
}

/// Orders for up to `count` of the engines to change to `stage`, of those that `may_change`.
fn choose<F>(
    engines: &[&Engine],
    ordered: &BTreeMap<String, Stage>,
    stage: Stage,
    count: usize,
    mut may_change: F,
) -> Vec<StageOrder>
where
    F: FnMut(&Engine) -> bool,
{
    let others = engines.iter().copied();
    let mut candidates = StageCandidates::new(others.filter(|e| target_stage(e, ordered) != stage), ordered);
    let next = std::iter::from_fn(|| candidates.next());
    let chosen = next.filter(|engine| may_change(engine)).take(count);
    let orders = chosen.map(|engine| StageOrder {
        engine: engine.entry.id.clone(),
        stage,
    });
    orders.collect()
}

/// Engines of one version at each stage; an engine with an order counts as what it will become.
#[derive(Debug, Clone, Copy, Default)]
struct StageCounts {
    prefilling: usize,
    generating: usize,
}

impl StageCounts {
    fn total(&self) -> usize {
        self.prefilling + self.generating
    }

    fn min_generating(&self) -> usize {
        MIN_DECODE_ENGINES.min(self.total())
    }

    /// Lets an engine that generates change its stage, if enough others do. Returns whether it may.
    fn take_generator(&mut self) -> bool {
        let is_spare = self.generating > self.min_generating();
        if is_spare {
            self.generating -= 1;
            self.prefilling += 1;
        }
        is_spare
    }
}

fn count_by_version(
    staged: &[&Engine],
    ordered: &BTreeMap<String, Stage>,
) -> BTreeMap<SoftwareVersion, StageCounts> {
    let mut versions: BTreeMap<SoftwareVersion, StageCounts> = BTreeMap::new();
    for engine in staged {
        let counts = versions.entry(engine.version).or_default();
        match target_stage(engine, ordered) {
            Stage::Prefill => counts.prefilling += 1,
            Stage::Decode | Stage::Whole => counts.generating += 1,
        }
    }
    versions
}

/// Engines that could change their stage, by availability zone.
struct StageCandidates<'e> {
    zones: BTreeMap<&'e str, ZoneCandidates<'e>>,
}

#[derive(Debug, Default)]
struct ZoneCandidates<'e> {
    /// Engines at the old stage, including those that were ordered to change to it.
    remaining: usize,
    /// Engines that have not been given an order, by id.
    without_order: BTreeMap<&'e str, &'e Engine>,
}

impl<'e> StageCandidates<'e> {
    fn new<I>(engines: I, ordered: &BTreeMap<String, Stage>) -> StageCandidates<'e>
    where
        I: Iterator<Item = &'e Engine>,
    {
        let mut zones: BTreeMap<&str, ZoneCandidates<'_>> = BTreeMap::new();
        for engine in engines {
            let zone = zones.entry(engine.entry.zone.as_str()).or_default();
            zone.remaining += 1;
            if !ordered.contains_key(&engine.entry.id) {
                zone.without_order.insert(engine.entry.id.as_str(), engine);
            }
        }
        StageCandidates { zones }
    }

    /// Returns the engine that changes next: from the zone with the most engines at the old stage, so that each zone
    /// keeps some.
    fn next(&mut self) -> Option<&'e Engine> {
        let rank =
            |zone: &ZoneCandidates<'e>| Some((zone.remaining, *zone.without_order.last_key_value()?.0));
        let zones = self.zones.values_mut();
        let zone = zones
            .filter(|zone| !zone.without_order.is_empty())
            .max_by_key(|zone| rank(zone))?;
        zone.remaining -= 1;
        zone.without_order.pop_last().map(|(_, engine)| engine)
    }
}
