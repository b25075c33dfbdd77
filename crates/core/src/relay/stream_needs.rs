//! What a stream requires of the pace of its engine, and which engines suit it.
//!
//! A stream that is late at a slow engine is on time at a fast one, so the fast engines are for the streams that need
//! them. A stream without pauses needs none, and neither do short streams as much as long ones: each further pause is
//! another chance of being late.

use std::time::Duration;

use crate::relay::engines::Engine;
use crate::relay::event_pace::Range;
use crate::relay::event_pace::ServicePaces;

/// Maximum number of events of a stream that leaves the fast engines to others while they have few free slots.
const FEW_EVENTS: u32 = 8;

/// Fraction of the slots of the fast engines below which their free slots are scarce.
const SCARCE_PART: f64 = 0.25;

/// What a stream requires of the pace of its engine.
#[derive(Debug, Clone, Copy)]
pub struct StreamNeeds {
    /// Maximum pause between two events; zero if the route has no limit, so that the pace doesn't matter.
    pub gap_target: Duration,
    /// Number of events that the stream may have.
    pub events: u32,
    /// Time that is left until the first event is late.
    pub first_event: Duration,
    /// Fraction of an engine's slots up to which it may be sent the stream.
    pub max_load: f64,
}

impl Default for StreamNeeds {
    /// No requirements.
    fn default() -> StreamNeeds {
        StreamNeeds {
            gap_target: Duration::ZERO,
            events: u32::MAX,
            first_event: Duration::MAX,
            max_load: 1.0,
        }
    }
}

/// An engine that may be sent a stream.
#[derive(Debug, Clone, Copy)]
pub struct DecodeOption<'e> {
    /// The engine.
    pub engine: &'e Engine,
    /// Its expected interval between two events without other requests, in seconds.
    pub alone: f64,
    /// Number of its requests.
    pub requests: u32,
}

impl DecodeOption<'_> {
    /// Number of requests that may be added up to the fraction `max_load` of the slots.
    fn room(&self, max_load: f64) -> f64 {
        let slots = f64::from(self.engine.entry.slots.max(1));
        (slots * max_load.min(1.0) - f64::from(self.requests)).max(0.0)
    }
}

impl StreamNeeds {
    /// Returns the engines among which the one with the shortest wait is to be chosen. `None` if the paces make no
    /// difference: the engines are alike, or none has a free slot.
    pub fn suitable<'e>(
        &self,
        paces: ServicePaces<'_>,
        options: Vec<DecodeOption<'e>>,
    ) -> Option<Vec<&'e Engine>> {
        let range = options.iter().fold(Range::default(), |r, o| r.with(o.alone));
        if range.is_alike() {
            return None;
        }
        let mut open = options.clone();
        open.retain(|option| option.room(self.max_load) > 0.0);
        if self.yields(range, &options) {
            let yielding = open.iter().filter(|o| range.is_slow(o.alone));
            let yielding = yielding.filter(|o| self.allows(paces, o)).map(|o| o.engine);
            let yielding: Vec<&Engine> = yielding.collect();
            if !yielding.is_empty() {
                return Some(yielding);
            }
        }
        let pause = |o: &DecodeOption<'_>| o.alone * paces.pause_factor(o.requests.saturating_add(1));
        let target = self.gap_target.as_secs_f64();
        let in_target = open.iter().filter(|o| pause(o) <= target).map(|o| o.engine);
        let in_target: Vec<&Engine> = in_target.collect();
        if !in_target.is_empty() {
            return Some(in_target);
        }
        let fastest = open.iter().min_by(|a, b| pause(a).total_cmp(&pause(b)))?;
        Some(vec![fastest.engine])
    }

    /// Whether the stream leaves the fast engines to others if it can.
    fn yields(&self, range: Range, options: &[DecodeOption<'_>]) -> bool {
        match self.events {
            0 | 1 => true,
            2..=FEW_EVENTS => {
                let fast = || options.iter().filter(|o| !range.is_slow(o.alone));
                let slots: f64 = fast().map(|o| f64::from(o.engine.entry.slots.max(1))).sum();
                let free: f64 = fast().map(|o| o.room(1.0)).sum();
                free < slots * SCARCE_PART
            }
            _ => false,
        }
    }

    /// Whether the usual interval of an engine is short enough for the first event and, if the stream has more, for
    /// its pauses.
    fn allows(&self, paces: ServicePaces<'_>, option: &DecodeOption<'_>) -> bool {
        let interval = option.alone * paces.batch_factor(option.requests.saturating_add(1));
        let has_pauses = self.events > 1;
        interval <= self.first_event.as_secs_f64()
            && (!has_pauses || interval <= self.gap_target.as_secs_f64())
    }
}
