//! How many engines of a service are bought in each availability zone, and of which kind.
//!
//! Spot engines cost a part of the price of the others, and all of a zone may be reclaimed at once. So most are spot, spread
//! over the zones, and as many others are kept as are needed besides when any one zone has lost its own.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::engines::Entry;
use crate::time::Time;

/// Time beyond an engine's start after which one that was ordered and has not come is ordered anew.
const ARRIVAL_MARGIN: Duration = Duration::from_secs(3);

/// How long nothing is ordered of a kind that was refused in a zone.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// How long an order whose answer was lost rests.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(1);

/// What operators allow and pay for a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalePolicy {
    /// Engines of both kinds in a zone, at least.
    pub min: u32,
    /// Engines of both kinds in a zone, at most.
    pub max: u32,
    /// How long a new engine takes to start.
    pub boot_time: Duration,
    /// What a spot engine costs against another, if there are any.
    pub spot_price: Option<f64>,
    /// What an engine costs in each zone.
    pub zone_prices: BTreeMap<String, f64>,
}

/// Engines of a service in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineCounts {
    /// Spot engines.
    pub spot: u32,
    /// The others.
    pub reserved: u32,
}

impl EngineCounts {
    /// The engines that stay, by zone.
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

    fn total(self) -> u32 {
        self.spot + self.reserved
    }
}

/// What is ordered: one kind of a service's engines in a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineGroup {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// Whether spot engines are meant.
    pub spot: bool,
}

/// An order for engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOrder {
    /// What is ordered.
    pub group: EngineGroup,
    /// How many there are to be.
    pub count: u32,
}

/// What is wanted in the end in a zone: nothing can be said unless spot engines are the cheaper ones.
pub fn target_counts(scale: &ScalePolicy) -> Option<EngineCounts> {
    scale.spot_price.filter(|price| (0.0..1.0).contains(price))?;
    let reserved = scale.min.max(1).min(scale.max);
    let spot = scale.max - reserved;
    Some(EngineCounts { spot, reserved })
}

/// The numbers to be ordered now in a zone that has `present`: both kinds together never pass what is allowed, and no engine
/// is given back before others have come in its place.
fn next_counts(scale: &ScalePolicy, wanted: EngineCounts, present: EngineCounts) -> EngineCounts {
    let spot = wanted.spot.min(scale.max.saturating_sub(present.reserved));
    // As many of the others may go as spot engines are there beyond those that would replace them.
    let kept = present.total().min(wanted.spot + wanted.reserved);
    let reserved = match present.spot >= spot {
        true => wanted.reserved,
        false => wanted.reserved.max(present.reserved.min(kept)),
    };
    EngineCounts { spot, reserved }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OrderState {
    count: u32,
    at: Time,
    accepted: bool,
    /// Nothing is ordered before.
    paused_until: Time,
}

/// What was ordered by this instance since it acts for all.
#[derive(Debug, Clone, Default)]
pub struct Planner(BTreeMap<EngineGroup, OrderState>);

impl Planner {
    /// The orders that are due for a service whose engines are `present`.
    pub fn due(
        &self,
        now: Time,
        service: &str,
        scale: &ScalePolicy,
        present: &BTreeMap<String, EngineCounts>,
    ) -> Vec<ScaleOrder> {
        let Some(wanted) = target_counts(scale) else {
            return Vec::new();
        };
        let orders = scale.zone_prices.keys().flat_map(|zone| {
            let here = present.get(zone).copied().unwrap_or_default();
            let next = next_counts(scale, wanted, here);
            let kinds = [
                (true, next.spot, here.spot),
                (false, next.reserved, here.reserved),
            ];
            kinds.into_iter().filter_map(move |(spot, count, there)| {
                let subject = EngineGroup {
                    service: service.to_string(),
                    zone: zone.clone(),
                    spot,
                };
                self.is_due(now, scale, &subject, count, there)
                    .then_some(ScaleOrder {
                        group: subject,
                        count,
                    })
            })
        });
        orders.collect()
    }

    /// A number that is there already needn't be ordered; one that was ordered is ordered again only if it doesn't come.
    fn is_due(&self, now: Time, scale: &ScalePolicy, subject: &EngineGroup, count: u32, there: u32) -> bool {
        let Some(last) = self.0.get(subject) else {
            return count != there;
        };
        if now < last.paused_until {
            return false;
        }
        let is_missing = there < count && now.since(last.at) > scale.boot_time + ARRIVAL_MARGIN;
        last.count != count || !last.accepted || is_missing
    }

    /// Notes that an order was accepted.
    pub fn on_accepted(&mut self, now: Time, order: ScaleOrder) {
        self.note(now, order, true, now);
    }

    /// Notes that an order was refused, or that its answer was lost.
    pub fn on_failed(&mut self, now: Time, order: ScaleOrder, refused: bool) {
        let paused_until = now + if refused { REFUSED_PAUSE } else { UNANSWERED_PAUSE };
        self.note(now, order, false, paused_until);
    }

    fn note(&mut self, at: Time, order: ScaleOrder, accepted: bool, paused_until: Time) {
        let count = order.count;
        let ordered = OrderState {
            count,
            at,
            accepted,
            paused_until,
        };
        self.0.insert(order.group, ordered);
    }
}
