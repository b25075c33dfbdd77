//! Counts the arrivals of one request at engines, in the way in which the fleet-wide limit on extra attempts counts
//! them.
//!
//! Each send of the request is an arrival, whether the engine accepts it or not, and so is each call for its prefill. Only
//! the first call for a prefill that an engine accepts is not one.

/// How an arrival counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalKind {
    /// The first arrival of the request.
    First,
    /// An arrival beyond the first.
    Extra,
    /// The first accepted call for a prefill, which doesn't count.
    Prefill,
}

impl ArrivalKind {
    /// The value of the label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            ArrivalKind::First => "first",
            ArrivalKind::Extra => "extra",
            ArrivalKind::Prefill => "prefill",
        }
    }
}

/// The arrivals of one request so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Arrivals {
    counted: u32,
    prefilled: bool,
}

impl Arrivals {
    /// Counts a send of the request, or of a call for its prefill, before its result is known. Returns how it counts
    /// unless [`Self::on_unsent`] or [`Self::on_prefilled`] follows.
    pub fn on_send(&mut self) -> ArrivalKind {
        self.counted += 1;
        match self.counted {
            1 => ArrivalKind::First,
            _ => ArrivalKind::Extra,
        }
    }

    /// Records that a send that was counted did not take place.
    pub fn on_unsent(&mut self) {
        self.counted = self.counted.saturating_sub(1);
    }

    /// Records that an engine accepted a call for the prefill that was counted. Returns how it counts, or `None` if it
    /// counts as when it was sent.
    pub fn on_prefilled(&mut self) -> Option<ArrivalKind> {
        if std::mem::replace(&mut self.prefilled, true) {
            return None;
        }
        self.counted = self.counted.saturating_sub(1);
        Some(ArrivalKind::Prefill)
    }
}
