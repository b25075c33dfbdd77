//! Limits of all services of one instance.

use std::collections::BTreeMap;

use crate::limit::Limiter;
use crate::name::Name;

/// A [`Limiter`] for each service.
///
/// Failure guarded against: a product that uses its share of one service is refused at another, since what it used
/// was held against the other's engines; or the capacity is taken from whichever service was asked last. What a
/// product is owed is a share of each service's engine time, so each has accounts of its own.
#[derive(Debug, Clone)]
pub struct Limits {
    services: BTreeMap<Name, Limiter>,
    instances: usize,
    seed: u64,
}

impl Limits {
    /// Limits of an instance that has seen no requests. `seed` draws the jitter of times to come back.
    pub fn new(seed: u64) -> Limits {
        Limits {
            services: BTreeMap::new(),
            instances: 1,
            seed,
        }
    }

    /// The limits at `service`.
    pub fn at(&mut self, service: &Name) -> &mut Limiter {
        let (instances, seed) = (self.instances, self.seed);
        self.services.entry(service.clone()).or_insert_with(|| {
            let mut limiter = Limiter::new(seed);
            limiter.set_instances(instances);
            limiter
        })
    }

    /// Sets how many instances share the engines.
    pub fn set_instances(&mut self, count: usize) {
        self.instances = count;
        for limiter in self.services.values_mut() {
            limiter.set_instances(count);
        }
    }

    /// The services that were asked, with their limits, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Limiter)> {
        self.services.iter()
    }
}
