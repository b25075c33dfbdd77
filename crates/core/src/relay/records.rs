//! Records of orders whose engines are gone.
//!
//! Failure guarded against: each engine's order leaves a record in the store for good. Fleets replace a hundred engines a
//! day; after a year every instance that starts reads forty thousand records, and every change of one copies them all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::time::Time;

/// Since when engines are not there that have a record.
#[derive(Debug, Clone, Default)]
pub struct AbsentEngines {
    since: BTreeMap<String, Time>,
}

impl AbsentEngines {
    /// None.
    pub fn new() -> AbsentEngines {
        AbsentEngines::default()
    }

    /// The engines of `recorded` that were not there for `forget`, `known` asked at each look.
    pub fn due<'r, R, K>(&mut self, now: Time, forget: Duration, recorded: R, known: K) -> Vec<String>
    where
        R: Iterator<Item = &'r str>,
        K: Fn(&str) -> bool,
    {
        let absent: BTreeSet<&str> = recorded.filter(|id| !known(id)).collect();
        self.since.retain(|id, _| absent.contains(id.as_str()));
        for id in absent {
            self.since.entry(id.to_string()).or_insert(now);
        }
        let due = self.since.iter().filter(|(_, at)| now.since(**at) >= forget);
        due.map(|(id, _)| id.clone()).collect()
    }
}
