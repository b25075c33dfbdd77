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

/// Fraction of the slots of the fast engines below which their free slots are scarce. Streams with a lower priority get
/// at most three quarters of an engine's slots, so it must be larger than the rest.
const SCARCE_PART: f64 = 0.5;

/// Time from the end of a prefill to the step that generates the first event: a transfer and two calls.
const TRANSFER_TIME: f64 = 0.02;

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
        (slots * max_load - f64::from(self.requests)).max(0.0)
    }
}

impl StreamNeeds {
    /// Whether a pause of this length is too long for the stream. A stream of a few events may be sent to a slow engine
    /// on purpose, so this holds for long ones only.
    pub fn is_exceeded(&self, pause: Duration) -> bool {
        self.events > FEW_EVENTS && !self.gap_target.is_zero() && pause > self.gap_target
    }

    /// Returns the engines among which the one with the shortest wait is to be chosen. `None` if the pace makes no
    /// difference.
    pub fn suitable<'e>(
        &self,
        paces: ServicePaces<'_>,
        options: &[DecodeOption<'e>],
    ) -> Option<Vec<&'e Engine>> {
        let range = options.iter().fold(Range::default(), |r, o| r.with(o.alone));
        if range.is_alike() {
            return None;
        }
        let yields = self.yields(range, options);
        let free = with_room(options, self.max_load.min(1.0));
        if free.is_empty() {
            // A long stream waits at a fast engine rather than at a slow one. Short ones wait wherever it is shortest:
            // there are many of them, and all together they would fill the queues of the fast engines.
            let queue = with_room(options, self.max_load);
            return non_empty(self.in_target(paces, &queue)).filter(|_| !yields);
        }
        let yielding = free
            .iter()
            .filter(|o| range.is_slow(o.alone) && self.allows(paces, o));
        if let Some(yielding) = non_empty(yielding.map(|o| o.engine).collect()).filter(|_| yields) {
            return Some(yielding);
        }
        // The predicted pause is a percentile of single intervals, and a long stream has many: it goes to a fast engine
        // even where the pause at a slow one is just within the target.
        let mut fast = free.clone();
        fast.retain(|o| !range.is_slow(o.alone));
        if let Some(fast) = non_empty(self.in_target(paces, &fast)).filter(|_| self.events > FEW_EVENTS) {
            return Some(fast);
        }
        non_empty(self.in_target(paces, &free)).or_else(|| {
            let fastest = free
                .iter()
                .min_by(|a, b| pause(paces, a).total_cmp(&pause(paces, b)))?;
            Some(vec![fastest.engine])
        })
    }

    /// The engines at which the stream has to expect no longer pause than its target.
    fn in_target<'e>(&self, paces: ServicePaces<'_>, options: &[DecodeOption<'e>]) -> Vec<&'e Engine> {
        let target = self.gap_target.as_secs_f64();
        let in_target = options.iter().filter(|o| pause(paces, o) <= target);
        in_target.map(|o| o.engine).collect()
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
        interval + TRANSFER_TIME <= self.first_event.as_secs_f64()
            && (!has_pauses || interval <= self.gap_target.as_secs_f64())
    }
}

/// The engines with room for a request up to the fraction `max_load` of their slots.
fn with_room<'e>(options: &[DecodeOption<'e>], max_load: f64) -> Vec<DecodeOption<'e>> {
    let open = options.iter().filter(|o| o.room(max_load) > 0.0);
    open.copied().collect()
}

/// The pause to expect with one more request, in seconds.
fn pause(paces: ServicePaces<'_>, option: &DecodeOption<'_>) -> f64 {
    option.alone * paces.pause_factor(option.requests.saturating_add(1))
}

fn non_empty(engines: Vec<&Engine>) -> Option<Vec<&Engine>> {
    (!engines.is_empty()).then_some(engines)
}
