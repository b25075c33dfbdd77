//! Limits, retry budgets and recorded demand, shared by the threads of an instance.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use sequoiastream_core::limit::Limits;
use sequoiastream_core::name::Name;
use sequoiastream_core::retry::RetryBudgets;
use sequoiastream_core::roles::Demand;

use crate::settings::Settings;

/// Limits, retry budgets and demand of one daemon. Each lock is held for one decision, never across an await.
#[derive(Debug)]
pub struct PolicyState {
    limits: Mutex<Limits>,
    retries: Mutex<RetryBudgets>,
    demand: Mutex<BTreeMap<Name, Demand>>,
}

impl PolicyState {
    /// Returns the state before the first request.
    pub fn new(settings: &Settings) -> PolicyState {
        PolicyState {
            limits: Mutex::new(Limits::new(instance_seed(settings))),
            retries: Mutex::new(RetryBudgets::new(instance_seed(settings))),
            demand: Mutex::default(),
        }
    }

    /// Locks the limits on what products may use of each service.
    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits
            .lock()
            .expect("no thread panics while it holds the limits")
    }

    /// Locks the products' retry budgets.
    pub fn retries(&self) -> MutexGuard<'_, RetryBudgets> {
        self.retries
            .lock()
            .expect("no thread panics while it holds the retry budgets")
    }

    /// Adds the tokens of a request for `service` to its demand, whether or not the request is admitted.
    pub fn add_demand(&self, service: &Name, prefill: f64, decode: f64) {
        let mut demand = self.lock_demand();
        demand.entry(service.clone()).or_default().add(prefill, decode);
    }

    /// Returns the demand of each service since the last call, and resets it.
    pub fn take_demand(&self) -> BTreeMap<Name, Demand> {
        std::mem::take(&mut self.lock_demand())
    }

    fn lock_demand(&self) -> MutexGuard<'_, BTreeMap<Name, Demand>> {
        self.demand
            .lock()
            .expect("no thread panics while it holds the demand")
    }
}

/// Derives a seed from the instance's name, so that instances don't make the same random choices.
pub fn instance_seed(settings: &Settings) -> u64 {
    let hash = blake3::hash(settings.name.as_str().as_bytes());
    let mut seed = [0; 8];
    seed.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(seed)
}
