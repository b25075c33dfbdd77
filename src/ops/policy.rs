//! Limits, retry budgets and demand, shared between the traffic threads.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use sequoiastream_core::limit::Limits;
use sequoiastream_core::name::Name;
use sequoiastream_core::retry::RetryBudgets;
use sequoiastream_core::roles::Demand;

use crate::settings::Settings;

/// The policy's state in one daemon. Each lock is held for one decision, never across an await.
#[derive(Debug)]
pub struct PolicyState {
    limits: Mutex<Limits>,
    retries: Mutex<RetryBudgets>,
    demand: Mutex<BTreeMap<Name, Demand>>,
}

impl PolicyState {
    /// The state before any request.
    pub fn new(settings: &Settings) -> PolicyState {
        PolicyState {
            limits: Mutex::new(Limits::new(instance_seed(settings))),
            retries: Mutex::new(RetryBudgets::new(instance_seed(settings))),
            demand: Mutex::default(),
        }
    }

    /// What products may use of each service.
    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits
            .lock()
            .expect("no thread panics while it holds the limits")
    }

    /// The retry budgets.
    pub fn retries(&self) -> MutexGuard<'_, RetryBudgets> {
        self.retries
            .lock()
            .expect("no thread panics while it holds the budgets")
    }

    /// Adds work that callers asked of `service`, whether it was admitted or not.
    pub fn add_demand(&self, service: &Name, prefill: f64, decode: f64) {
        let mut demand = self.lock_demand();
        demand.entry(service.clone()).or_default().add(prefill, decode);
    }

    /// Takes the work asked of each service since the last call.
    pub fn take_demand(&self) -> BTreeMap<Name, Demand> {
        std::mem::take(&mut self.lock_demand())
    }

    fn lock_demand(&self) -> MutexGuard<'_, BTreeMap<Name, Demand>> {
        self.demand
            .lock()
            .expect("no thread panics while it holds the demand")
    }
}

/// A seed that differs between instances, so that they don't draw alike.
pub fn instance_seed(settings: &Settings) -> u64 {
    let hash = blake3::hash(settings.name.as_str().as_bytes());
    let mut seed = [0; 8];
    seed.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(seed)
}
