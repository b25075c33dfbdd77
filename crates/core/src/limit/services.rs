//! Limits of all services at one instance.

use std::collections::BTreeMap;

use crate::limit::Limiter;
use crate::name::Name;

/// A [`Limiter`] for each service.
///
/// Failure guarded against: a product that uses its share of one service is refused at another, because its usage
/// there was counted against the other service's engines; or the capacity is taken from whichever service was
/// requested last. A product is entitled to a share of each service's engine time, so each service has accounts of
/// its own.
#[derive(Debug, Clone)]
pub struct Limits {
    services: BTreeMap<Name, Limiter>,
    instances: usize,
    seed: u64,
}

impl Limits {
    /// Creates the limits of an instance that has received no requests. `seed` seeds the jitter of retry delays.
    pub fn new(seed: u64) -> Limits {
        Limits {
            services: BTreeMap::new(),
            instances: 1,
            seed,
        }
    }

    /// Returns the limits at `service`.
    pub fn at(&mut self, service: &Name) -> &mut Limiter {
        let (instances, seed) = (self.instances, self.seed);
        self.services.entry(service.clone()).or_insert_with(|| {
            let mut limiter = Limiter::new(seed);
            limiter.set_instances(instances);
            limiter
        })
    }

    /// Sets the number of instances that share the engines.
    pub fn set_instances(&mut self, count: usize) {
        self.instances = count;
        for limiter in self.services.values_mut() {
            limiter.set_instances(count);
        }
    }

    /// Iterates over the requested services and their limits, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Limiter)> {
        self.services.iter()
    }
}
