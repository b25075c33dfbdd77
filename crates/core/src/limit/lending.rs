//! Which capacity exists, and how much of it holders of shares leave unused for others to borrow.

use std::time::Duration;

/// How often the capacity that may be lent is computed.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Fraction of the capacity that may be in use before nothing more is lent.
const MAX_LENT: f64 = 0.9;

/// Minimum weight of a borrower.
const MIN_WEIGHT: f64 = 0.01;

/// Maximum number of times that unused capacity is lent again; each round leaves less.
const MAX_ROUNDS: u32 = 20;

/// Relative growth of a share in a round below which nothing is lent again.
const MIN_GROWTH: f64 = 0.001;

/// Factor applied to the capacity factor after each [`UPDATE_INTERVAL`] in which the service was congested.
const CAPACITY_DECREASE: f64 = 0.9;

/// Factor applied to it after each interval without congestion.
const CAPACITY_INCREASE: f64 = 1.03;

/// Use of capacity by the holder of a share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareUse {
    /// Engine seconds per second that it used recently.
    pub rate: f64,
    /// Engine seconds per second that it is entitled to.
    pub entitled: f64,
    /// Its weight among the borrowers.
    pub weight: f64,
}

/// Capacity that some leave unused of their shares, and that others may borrow.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Lending {
    spare: f64,
    borrowers: f64,
}

impl Lending {
    /// Computes what may be lent of `capacity` engine seconds per second.
    pub fn new<I>(capacity: f64, uses: I) -> Lending
    where
        I: Iterator<Item = ShareUse>,
    {
        let mut used = 0.0;
        let mut borrowers = 0.0;
        for holder in uses {
            used += holder.rate.min(holder.entitled);
            if holder.rate > holder.entitled * MAX_LENT {
                borrowers += holder.weight.max(MIN_WEIGHT);
            }
        }
        Lending {
            spare: (capacity * MAX_LENT - used).max(0.0),
            borrowers,
        }
    }

    /// Returns the engine seconds per second that a holder with `weight` may borrow: its part of the spare capacity,
    /// divided by weights among the borrowers.
    pub fn part(&self, weight: f64) -> f64 {
        let weight = weight.max(MIN_WEIGHT);
        match self.borrowers > 0.0 {
            true => self.spare * (weight / self.borrowers.max(weight)),
            false => self.spare,
        }
    }
}

/// Returns the engine seconds per second up to which each of several holders of equal shares may use `capacity`, if
/// they use `rates`: an equal part, and equal parts of what others leave unused. What a borrower leaves unused of its
/// part is lent again.
pub fn equal_share(capacity: f64, rates: &[f64], holders: usize) -> f64 {
    let mut share = capacity / holders.max(1) as f64;
    for _ in 0..MAX_ROUNDS {
        let entitled = share;
        let uses = rates.iter().map(|rate| ShareUse {
            rate: *rate,
            entitled,
            weight: 1.0,
        });
        share += Lending::new(capacity, uses).part(1.0);
        if share - entitled <= MIN_GROWTH * entitled || rates.iter().all(|rate| *rate <= share) {
            break;
        }
    }
    share
}

/// Factor from 0 to 1 on the nominal capacity of a service's engines, lowered while the service is congested.
///
/// Failure guarded against: the capacity is taken too high (engines lost, roles that don't fit the mix of requests,
/// costs estimated too low). All would then be within their shares, and the one with the most requests would take
/// capacity from the others. The guard lowers the assumed capacity until the admitted requests complete in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityFactor {
    value: f64,
    min: f64,
}

impl CapacityFactor {
    /// Creates a factor of 1 that never falls below `min`.
    pub fn new(min: f64) -> CapacityFactor {
        CapacityFactor { value: 1.0, min }
    }

    /// Returns the factor.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Adjusts the factor after an [`UPDATE_INTERVAL`] in which the service was `congested` or not, and returns it.
    pub fn update(&mut self, congested: bool) -> f64 {
        let change = match congested {
            true => CAPACITY_DECREASE,
            false => CAPACITY_INCREASE,
        };
        self.value = (self.value * change).clamp(self.min, 1.0);
        self.value
    }
}
