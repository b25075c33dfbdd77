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

/// Minimum number of engines that generate: one may be lost.
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
pub fn plan_orders(
    engines: &[Engine],
    ordered: &BTreeMap<String, Stage>,
    prefill_fraction: f64,
) -> Vec<StageOrder> {
    let staged: Vec<&Engine> = engines.iter().filter(|e| e.entry.stage != Stage::Whole).collect();
    let max_prefill = staged.len().saturating_sub(MIN_DECODE_ENGINES);
    let wanted = ((staged.len() as f64 * prefill_fraction).round() as usize).min(max_prefill);
    // An engine with an order counts as what it will become.
    let prefilling = staged
        .iter()
        .filter(|e| target_stage(e, ordered) == Stage::Prefill)
        .count();
    let generating = staged.len() - prefilling;
    let is_split = staged.iter().any(|e| ordered.contains_key(&e.entry.id));
    let tolerance = if is_split { TOLERANCE } else { 0 };
    let is_close = prefilling.abs_diff(wanted) <= tolerance;
    let is_operational =
        (prefilling > 0 || wanted == 0) && generating >= MIN_DECODE_ENGINES.min(staged.len());
    if is_close && is_operational {
        return Vec::new();
    }
    let (stage, count) = match prefilling.cmp(&wanted) {
        std::cmp::Ordering::Less => (Stage::Prefill, wanted - prefilling),
        std::cmp::Ordering::Equal => return Vec::new(),
        std::cmp::Ordering::Greater => (Stage::Decode, prefilling - wanted),
    };
    let mut candidates = StageCandidates::new(
        staged.into_iter().filter(|e| target_stage(e, ordered) != stage),
        ordered,
    );
    let next = std::iter::from_fn(|| candidates.next());
    let orders = next.take(count).map(|engine| StageOrder {
        engine: engine.entry.id.clone(),
        stage,
    });
    orders.collect()
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
