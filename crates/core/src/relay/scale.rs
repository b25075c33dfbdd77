//! Plans how many engines of a service are ordered in each availability zone, and of which kind.
//!
//! Spot engines cost a fraction of the price of reserved ones, and all spot engines of a zone may be reclaimed at once.
//! So most engines are spot engines, spread across the zones, and as many reserved ones are kept as are needed in
//! addition when any one zone has lost its spot engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::relay::engines::Entry;
use crate::time::Time;

/// Time beyond an engine's start-up time after which an engine that was ordered and has not appeared is ordered again.
const ARRIVAL_MARGIN: Duration = Duration::from_secs(3);

/// How long no engines are ordered of a kind that was refused in a zone.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// How long an order is not repeated after its answer was lost.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(1);

/// Limits and prices that operators set for a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalePolicy {
    /// Minimum number of engines of both kinds in a zone.
    pub min: u32,
    /// Maximum number of engines of both kinds in a zone.
    pub max: u32,
    /// How long a new engine takes to start.
    pub boot_time: Duration,
    /// Price of a spot engine relative to a reserved one, if there are spot engines.
    pub spot_price: Option<f64>,
    /// Price of an engine in each zone.
    pub zone_prices: BTreeMap<String, f64>,
}

impl ScalePolicy {
    /// Number of reserved engines that are kept in each zone.
    pub fn reserved(&self) -> u32 {
        self.min.max(1).min(self.max)
    }

    /// The same numbers in every zone.
    fn in_all_zones(&self, counts: EngineCounts) -> BTreeMap<String, EngineCounts> {
        let zones = self.zone_prices.keys();
        zones.map(|zone| (zone.clone(), counts)).collect()
    }
}

/// Number of engines of a service in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineCounts {
    /// Spot engines.
    pub spot: u32,
    /// Reserved engines.
    pub reserved: u32,
}

impl EngineCounts {
    /// The numbers of the engines that stay, by zone.
    pub fn by_zone<'e, I>(engines: I) -> BTreeMap<String, EngineCounts>
    where
        I: Iterator<Item = &'e Entry>,
    {
        let mut zones: BTreeMap<String, EngineCounts> = BTreeMap::new();
        for entry in engines {
            let zone = zones.entry(entry.zone.clone()).or_default();
            match entry.spot {
                true => zone.spot += 1,
                false => zone.reserved += 1,
            }
        }
        zones
    }

    /// Their number, of both kinds.
    pub fn total(self) -> u32 {
        self.spot + self.reserved
    }
}

/// Engines of one kind of a service in a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineGroup {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// Whether these are spot engines.
    pub spot: bool,
}

/// An order for engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The engines that are ordered.
    pub group: EngineGroup,
    /// Their total number after the order.
    pub count: u32,
}

/// The highest target numbers for a zone; `None` unless spot engines are the cheaper ones.
pub fn target_counts(scale: &ScalePolicy) -> Option<EngineCounts> {
    scale.spot_price.filter(|price| (0.0..1.0).contains(price))?;
    let reserved = scale.reserved();
    let spot = scale.max - reserved;
    Some(EngineCounts { spot, reserved })
}

/// The numbers to be ordered now in a zone that has `present`: the sum of both kinds never exceeds the maximum, and no
/// engine is given back before its replacement has appeared.
fn next_counts(scale: &ScalePolicy, target: EngineCounts, present: EngineCounts) -> EngineCounts {
    let spot = target.spot.min(scale.max.saturating_sub(present.reserved));
    // As many reserved engines may be given back as there are spot engines beyond those that would replace them.
    let kept = present.total().min(target.spot + target.reserved);
    let reserved = match present.spot >= spot {
        true => target.reserved,
        false => target.reserved.max(present.reserved.min(kept)),
    };
    EngineCounts { spot, reserved }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OrderState {
    count: u32,
    at: Time,
    accepted: bool,
    /// Whether the platform refused it.
    refused: bool,
    /// Nothing is ordered before.
    paused_until: Time,
}

/// The orders that this instance placed since it became the leader.
#[derive(Debug, Clone, Default)]
pub struct Planner(BTreeMap<EngineGroup, OrderState>);

impl Planner {
    /// The orders that are due for a service whose engines are `present`, if the maximum is wanted in every zone.
    pub fn due(
        &self,
        now: Time,
        service: &str,
        scale: &ScalePolicy,
        present: &BTreeMap<String, EngineCounts>,
    ) -> Vec<ScaleOrder> {
        let Some(target) = target_counts(scale) else {
            return Vec::new();
        };
        self.due_for(now, service, scale, &scale.in_all_zones(target), present)
    }

    /// The orders that are due for a service whose engines are `present`, if `targets` are wanted in each zone.
    pub fn due_for(
        &self,
        now: Time,
        service: &str,
        scale: &ScalePolicy,
        targets: &BTreeMap<String, EngineCounts>,
        present: &BTreeMap<String, EngineCounts>,
    ) -> Vec<ScaleOrder> {
        let orders = targets.iter().flat_map(|(zone, target)| {
            let present_here = present.get(zone).copied().unwrap_or_default();
            let target = *target;
            let next = next_counts(scale, target, present_here);
            let kinds = [
                (true, next.spot, present_here.spot),
                (false, next.reserved, present_here.reserved),
            ];
            kinds.into_iter().filter_map(move |(spot, count, existing)| {
                let group = EngineGroup {
                    service: service.to_string(),
                    zone: zone.clone(),
                    spot,
                };
                self.is_due(now, scale, &group, count, existing)
                    .then_some(ScaleOrder { group, count })
            })
        });
        orders.collect()
    }

    /// Whether an order is due. A number that is present already needn't be ordered; one that was ordered is ordered
    /// again only if the engines don't appear.
    fn is_due(&self, now: Time, scale: &ScalePolicy, group: &EngineGroup, count: u32, existing: u32) -> bool {
        let Some(last) = self.0.get(group) else {
            return count != existing;
        };
        if now < last.paused_until {
            return false;
        }
        let is_missing = existing < count && now.since(last.at) > scale.boot_time + ARRIVAL_MARGIN;
        last.count != count || !last.accepted || is_missing
    }

    /// The zones in which the platform refused the last order for spot engines of a service.
    pub fn refused_zones(&self, service: &str) -> BTreeSet<String> {
        let refused = self
            .0
            .iter()
            .filter(|(group, state)| state.refused && group.spot && group.service == service);
        refused.map(|(group, _)| group.zone.clone()).collect()
    }

    /// Notes that an order was accepted.
    pub fn on_accepted(&mut self, now: Time, order: ScaleOrder) {
        let ordered = OrderState {
            count: order.count,
            at: now,
            accepted: true,
            refused: false,
            paused_until: now,
        };
        self.0.insert(order.group, ordered);
    }

    /// Notes that an order was refused, or that its answer was lost.
    pub fn on_failed(&mut self, now: Time, order: ScaleOrder, refused: bool) {
        let pause = if refused { REFUSED_PAUSE } else { UNANSWERED_PAUSE };
        let ordered = OrderState {
            count: order.count,
            at: now,
            accepted: false,
            refused,
            paused_until: now + pause,
        };
        self.0.insert(order.group, ordered);
    }
}
