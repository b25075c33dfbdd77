//! Number of events that the streams of each route have.
//!
//! A request states the maximum number of tokens of its answer, which may be hundreds of times its number of events: one
//! event can carry many tokens, and most answers end before the maximum. What the streams of a route had before tells
//! more.

use std::collections::BTreeMap;

/// Number of streams from which the mean of a route is used.
const MIN_STREAMS: u32 = 8;

/// Weight of a new stream in the mean.
const GAIN: f64 = 0.05;

/// Number of events that a stream may have, as a multiple of the mean of its route. Answers twice as long as the mean are
/// usual, longer ones are rare.
const SPREAD: f64 = 2.0;

#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    streams: u32,
    events: f64,
}

/// Mean number of events of the complete streams of each route.
#[derive(Debug, Clone, Default)]
pub struct StreamLengths(BTreeMap<String, Mean>);

impl StreamLengths {
    /// Records that a stream of a route was complete after this number of events.
    pub fn on_end(&mut self, route: &str, events: u32) {
        if !self.0.contains_key(route) {
            self.0.insert(route.to_string(), Mean::default());
        }
        if let Some(mean) = self.0.get_mut(route) {
            mean.streams = mean.streams.saturating_add(1);
            // The first streams have equal weight.
            let gain = GAIN.max(1.0 / f64::from(mean.streams));
            mean.events += (f64::from(events) - mean.events) * gain;
        }
    }

    /// Returns the number of events that a stream of a route may have, at least two; `None` if too few streams of the
    /// route were complete.
    pub fn expected(&self, route: &str) -> Option<u32> {
        let mean = self.0.get(route).filter(|mean| mean.streams >= MIN_STREAMS)?;
        Some((mean.events * SPREAD).ceil().max(2.0) as u32)
    }

    /// Discards the routes for which `known` returns false.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(&str) -> bool,
    {
        self.0.retain(|route, _| known(route));
    }
}
