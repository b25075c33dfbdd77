//! Positions in the history of a store.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Bits of a fencing token that hold the number of a revision.
const NUMBER_BITS: u32 = 36;

/// Bits of a fencing token: integers of this size are exact in every JSON implementation.
const TOKEN_BITS: u32 = 53;

/// A position in the history of a store.
///
/// Guards against the following failure: a store is restored from an older copy, its change counter goes back and counts
/// on, and a number that it gives out again is taken for the place, the age or the token that it stood for before.
/// Revisions are therefore ordered by the store's epoch first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// Rises each time the store is restored from a copy.
    pub epoch: u64,
    /// Number of the change within the store's history.
    pub number: u64,
}

impl Revision {
    /// The revision before all changes. As an expected revision of a key, it means that the key doesn't exist.
    pub const ZERO: Revision = Revision::new(0, 0);

    /// The change `number` of the store in `epoch`.
    pub const fn new(epoch: u64, number: u64) -> Revision {
        Revision { epoch, number }
    }

    /// Whether nothing is known of the store up to here.
    pub fn is_zero(self) -> bool {
        self.number == 0
    }

    /// The earliest revision after this one.
    pub fn next(self) -> Revision {
        Revision::new(self.epoch, self.number.saturating_add(1))
    }

    /// The fencing token of the change with this revision: that of a later change is higher, also if the store was restored
    /// in between. `None` if the revision is too large for a token.
    pub fn token(self) -> Option<u64> {
        let fits = self.number >> NUMBER_BITS == 0 && self.epoch >> (TOKEN_BITS - NUMBER_BITS) == 0;
        fits.then_some(self.epoch << NUMBER_BITS | self.number)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Revision { epoch, number } = self;
        write!(f, "{epoch}.{number}")
    }
}
