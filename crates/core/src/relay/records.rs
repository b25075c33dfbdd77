//! Finds records of orders whose engines are gone.
//!
//! Guards against each engine's order leaving a record in the store forever. Fleets replace a hundred engines a day;
//! after a year every instance that starts would read forty thousand records, and every change of one would copy them
//! all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::time::Time;

/// Engines that have a record but are absent, and since when.
#[derive(Debug, Clone, Default)]
pub struct AbsentEngines {
    since: BTreeMap<String, Time>,
}

impl AbsentEngines {
    /// No absent engines.
    pub fn new() -> AbsentEngines {
        AbsentEngines::default()
    }

    /// The engines of `recorded` that were absent for at least `retention`; `known` tells whether an engine is present.
    pub fn due<'r, R, K>(&mut self, now: Time, retention: Duration, recorded: R, known: K) -> Vec<String>
    where
        R: Iterator<Item = &'r str>,
        K: Fn(&str) -> bool,
    {
        let absent: BTreeSet<&str> = recorded.filter(|id| !known(id)).collect();
        self.since.retain(|id, _| absent.contains(id.as_str()));
        for id in absent {
            self.since.entry(id.to_string()).or_insert(now);
        }
        let due = self.since.iter().filter(|(_, at)| now.since(**at) >= retention);
        due.map(|(id, _)| id.clone()).collect()
    }
}
