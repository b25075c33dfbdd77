//! Chooses how many engines of a service are wanted in each availability zone, from the predicted need.
//!
//! Fewer engines must not make anyone wait. The number therefore rises at once, and falls only after a lower number has
//! been enough for a few seconds. A new leader knows neither the recent load nor the earlier orders: it starts from the
//! engines that are present and doesn't lower their number until it has observed a whole swing of demand.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::relay::scale::EngineCounts;
use crate::relay::scale::ScalePolicy;
use crate::relay::scale_need::NEED_WINDOW;
use crate::relay::scale_need::NeedTracker;
use crate::relay::scale_need::RecentMax;
use crate::relay::scale_need::ServiceLoad;
use crate::time::Time;

/// How long a lower number must have been enough before it is ordered.
const LOWER_DELAY: Duration = Duration::from_secs(5);

/// Fraction by which the number must fall before a lower one is ordered: an engine that is given back and ordered again
/// starts with an empty cache.
const LOWER_STEP: f64 = 0.1;

/// How long a new leader doesn't lower the number of engines.
const LEARNING_TIME: Duration = NEED_WINDOW;

/// The wanted engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleTarget {
    /// Engines that the load needs.
    pub need: f64,
    /// The wanted numbers in each zone.
    pub zones: BTreeMap<String, EngineCounts>,
}

/// What the wanted engines of a service depend on.
#[derive(Debug, Clone, Copy)]
pub struct ScaleInput<'a> {
    /// Limits and prices.
    pub scale: &'a ScalePolicy,
    /// Engines beyond the need, as a fraction of it.
    pub headroom: f64,
    /// Load of the engines.
    pub load: &'a ServiceLoad,
    /// Engines that are present in each zone.
    pub present: &'a BTreeMap<String, EngineCounts>,
    /// Zones in which the last order for spot engines was refused.
    pub refused: &'a BTreeSet<String>,
}

/// What a leader knows of a service when it starts.
#[derive(Debug, Clone)]
struct Learning {
    /// Engines that were present in each zone.
    floor: BTreeMap<String, u32>,
    /// Since when the reports of all instances are known; `None` while some are missing.
    since: Option<Time>,
}

/// Chooses the wanted engines of one service while this instance is the leader.
#[derive(Debug, Clone)]
pub struct ServiceScaler {
    need: NeedTracker,
    recent: RecentMax,
    /// Wanted engines in all zones.
    total: f64,
    learning: Option<Learning>,
    /// Zones in which spot engines were refused and that don't have all of theirs yet.
    short_zones: BTreeSet<String>,
}

impl ServiceScaler {
    /// Starts from the engines that are `present`.
    pub fn new(present: &BTreeMap<String, EngineCounts>) -> ServiceScaler {
        let floor: BTreeMap<String, u32> = present
            .iter()
            .map(|(zone, counts)| (zone.clone(), counts.total()))
            .collect();
        let total = f64::from(floor.values().sum::<u32>());
        ServiceScaler {
            need: NeedTracker::default(),
            recent: RecentMax::new(LOWER_DELAY),
            total,
            learning: Some(Learning { floor, since: None }),
            short_zones: BTreeSet::new(),
        }
    }

    /// Returns the wanted engines.
    pub fn target(&mut self, now: Time, input: &ScaleInput<'_>) -> ScaleTarget {
        let ScaleInput {
            scale, load, present, ..
        } = *input;
        self.learn(now, load.is_complete);
        let need = self.need.observe(now, load);
        let floors = self
            .learning
            .as_ref()
            .map(|l| l.floor.clone())
            .unwrap_or_default();
        let spread = |total: f64, caps: BTreeMap<&str, u32>| {
            let (scale, floors) = (scale, &floors);
            let spread = Spread {
                scale,
                total,
                need,
                floors,
                caps,
            };
            let counts = spread.counts().into_iter();
            counts
                .map(|(zone, count)| (zone.to_string(), count))
                .collect::<BTreeMap<_, _>>()
        };
        let wanted = (need * (1.0 + input.headroom)).max(load.shortage());
        let wanted: u32 = spread(wanted, BTreeMap::new()).values().sum();
        let total = self.limit_change(now, f64::from(wanted), load.is_complete);
        let all = spread(total, BTreeMap::new());
        self.update_short_zones(input, &all);
        let here = |zone: &str| present.get(zone).copied().unwrap_or_default();
        let caps = self
            .short_zones
            .iter()
            .map(|zone| (zone.as_str(), here(zone).total()));
        let others = spread(total, caps.collect());
        let zones = all.into_iter().map(|(zone, count)| {
            // A zone without spot engines keeps its order, and the others are given what it lacks.
            let count = match self.short_zones.contains(&zone) {
                true => count,
                false => others.get(&zone).copied().unwrap_or(count),
            };
            let target = self.zone_target(scale, count, here(&zone));
            (zone, target)
        });
        ScaleTarget {
            need,
            zones: zones.collect(),
        }
    }

    /// Ends the learning time once the reports of all instances have been known for that long.
    fn learn(&mut self, now: Time, is_complete: bool) {
        let Some(learning) = &mut self.learning else {
            return;
        };
        learning.since = is_complete.then(|| learning.since.unwrap_or(now));
        if learning
            .since
            .is_some_and(|since| now.since(since) >= LEARNING_TIME)
        {
            self.learning = None;
        }
    }

    /// Raises the number of engines at once; lowers it only once a lower one has been enough for [`LOWER_DELAY`].
    fn limit_change(&mut self, now: Time, wanted: f64, is_complete: bool) -> f64 {
        let recent = self.recent.push(now, wanted);
        let may_lower = is_complete && self.learning.is_none();
        if wanted > self.total || (may_lower && recent < self.total * (1.0 - LOWER_STEP)) {
            self.total = recent;
        }
        self.total
    }

    fn update_short_zones(&mut self, input: &ScaleInput<'_>, all: &BTreeMap<String, u32>) {
        self.short_zones.extend(input.refused.iter().cloned());
        let reserved = input.scale.reserved();
        self.short_zones.retain(|zone| {
            let wanted = all.get(zone).copied().unwrap_or_default();
            let spot = input.present.get(zone).map_or(0, |counts| counts.spot);
            spot < wanted.saturating_sub(reserved)
        });
    }

    /// The engines of both kinds in a zone. While a leader is new, engines that the last one ordered may still appear.
    fn zone_target(&self, scale: &ScalePolicy, count: u32, present: EngineCounts) -> EngineCounts {
        let reserved = scale.reserved();
        let spot = count.saturating_sub(reserved);
        let spot = match self.learning.is_some() {
            true => spot.max(present.spot).min(scale.max - reserved),
            false => spot,
        };
        EngineCounts { spot, reserved }
    }
}

/// How engines are spread over the zones.
struct Spread<'a> {
    scale: &'a ScalePolicy,
    /// Number of engines in all zones.
    total: f64,
    /// Number of engines that must be left when any zone loses its spot engines.
    need: f64,
    /// Engines that a zone keeps.
    floors: &'a BTreeMap<String, u32>,
    /// Zones that can get no more engines than these.
    caps: BTreeMap<&'a str, u32>,
}

impl<'a> Spread<'a> {
    /// Returns the number for each zone. The zone with the fewest engines gets the next one; among equals, the cheapest.
    ///
    /// If all zones but one are capped, no spread protects against the loss of the spot engines there, and only the
    /// total counts.
    fn counts(&self) -> BTreeMap<&'a str, u32> {
        let zones = self.scale.zone_prices.keys().map(String::as_str);
        let mut counts: BTreeMap<&str, u32> = zones.map(|zone| (zone, self.first(zone))).collect();
        while !self.is_enough(&counts) {
            let next = counts
                .iter_mut()
                .filter(|(zone, count)| **count < self.limit(zone))
                .min_by(|a, b| a.1.cmp(&b.1).then(self.price(a.0).total_cmp(&self.price(b.0))));
            let Some((_, count)) = next else {
                break;
            };
            *count += 1;
        }
        counts
    }

    fn first(&self, zone: &str) -> u32 {
        let floor = self.floors.get(zone).copied().unwrap_or_default();
        floor.max(self.scale.reserved()).min(self.limit(zone))
    }

    fn limit(&self, zone: &str) -> u32 {
        let cap = self.caps.get(zone).copied().unwrap_or(self.scale.max);
        cap.min(self.scale.max)
    }

    fn price(&self, zone: &str) -> f64 {
        self.scale.zone_prices.get(zone).copied().unwrap_or_default()
    }

    fn is_enough(&self, counts: &BTreeMap<&str, u32>) -> bool {
        let reserved = self.scale.reserved();
        let sum: u32 = counts.values().sum();
        let spot = counts.values().map(|count| count.saturating_sub(reserved));
        let remaining = sum - spot.max().unwrap_or_default();
        let is_protected = counts.len() < self.caps.len() + 2 || f64::from(remaining) >= self.need;
        f64::from(sum) >= self.total && is_protected
    }
}
