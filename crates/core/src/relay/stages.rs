//! How many engines of a service read prompts for the others, and which ones change their stage for that.
//!
//! An order to change stage may be lost, or carried out seconds later, and an engine need not check who gives it. So an
//! engine gets one order in its life at most: whoever creates its record in the store gives it, and nobody else ever
//! does. There is no holder to be overtaken, and no order that a late one could conflict with. What is paid for it: the
//! split follows the engines that come and go, not each swing of the mix.

use std::collections::BTreeMap;

use crate::relay::engines::Engine;
use crate::relay::engines::Stage;

/// Engines that generate, at least: one may be lost.
const MIN_DECODE_ENGINES: usize = 2;

/// Engines too many or too few that are left so once a service has been split: an engine that is lost for a moment
/// isn't worth an order.
const TOLERANCE: usize = 1;

/// Reading engines that one core of the instances can keep busy: a core forwards about 150 prompts per second, and the
/// slowest engines take 80 ms to read one.
const PREFILL_ENGINES_PER_CORE: f64 = 12.0;

/// An order that is to be given.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StageOrder {
    /// The engine's id.
    pub engine: String,
    /// What it is to be.
    pub stage: Stage,
}

/// Limits the fraction `readers` of a service's engines that read to what the instances can keep busy. `capacity` is their
/// total capacity in thousandths of a core; 0 means unknown and leaves `readers` unchanged. Engines that read already are
/// never ordered back by this limit.
///
/// Guards against taking thousands of engines out of service for seconds, and loading the store, for readers that stay idle.
pub fn limit_prefill_fraction(
    engines: &[Engine],
    ordered: &BTreeMap<String, Stage>,
    readers: f64,
    capacity: u32,
) -> f64 {
    if capacity == 0 {
        return readers;
    }
    let staged = || engines.iter().filter(|e| e.entry.stage != Stage::Whole);
    let reading = staged()
        .filter(|e| target_stage(e, ordered) == Stage::Prefill)
        .count();
    let needed = (f64::from(capacity) / 1e3 * PREFILL_ENGINES_PER_CORE).ceil();
    let limit = needed.max(reading as f64);
    readers.min(limit / staged().count().max(1) as f64)
}

/// The stage of an engine after its order, if any, has been carried out.
fn target_stage(engine: &Engine, ordered: &BTreeMap<String, Stage>) -> Stage {
    let ordered = ordered.get(&engine.entry.id);
    ordered.copied().unwrap_or(engine.entry.stage)
}

/// The orders that bring the engines of a service to the split in which `readers` of 1.0 read. `ordered` are those
/// that have had their order.
pub fn plan_orders(engines: &[Engine], ordered: &BTreeMap<String, Stage>, readers: f64) -> Vec<StageOrder> {
    let staged: Vec<&Engine> = engines.iter().filter(|e| e.entry.stage != Stage::Whole).collect();
    let most = staged.len().saturating_sub(MIN_DECODE_ENGINES);
    let wanted = ((staged.len() as f64 * readers).round() as usize).min(most);
    // An engine that was ordered to is counted as what it will be.
    let reading = staged
        .iter()
        .filter(|e| target_stage(e, ordered) == Stage::Prefill)
        .count();
    let generating = staged.len() - reading;
    let is_split = staged.iter().any(|e| ordered.contains_key(&e.entry.id));
    let tolerance = if is_split { TOLERANCE } else { 0 };
    let is_close = reading.abs_diff(wanted) <= tolerance;
    let is_able = (reading > 0 || wanted == 0) && generating >= MIN_DECODE_ENGINES.min(staged.len());
    if is_close && is_able {
        return Vec::new();
    }
    let (stage, count) = match reading.cmp(&wanted) {
        std::cmp::Ordering::Less => (Stage::Prefill, wanted - reading),
        std::cmp::Ordering::Equal => return Vec::new(),
        std::cmp::Ordering::Greater => (Stage::Decode, reading - wanted),
    };
    let mut zones = StageCandidates::new(
        staged.into_iter().filter(|e| target_stage(e, ordered) != stage),
        ordered,
    );
    let next = std::iter::from_fn(|| zones.next());
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
    /// Engines of the stage that is left, ordered to or not.
    remaining: usize,
    /// Those that had no order, by their ids.
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

    /// The engine that changes next: of the zone with most of its stage left, so that each zone keeps some.
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
