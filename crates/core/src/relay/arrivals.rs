//! Counts the arrivals of one request at engines, in the way in which the fleet-wide limit on extra attempts counts
//! them.
//!
//! Each send of the request is an arrival, whether the engine accepts it or not, and so is each call for its prefill. Only
//! the first call for a prefill that an engine accepts is not one. All arrivals beyond the first must be taken from the
//! budget before they are sent.

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
    /// Number of extra attempts that were taken from the budget.
    taken: u32,
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

    /// Number of extra attempts to take from the budget before the request is sent once more.
    pub fn due_for_request(&self) -> u32 {
        self.due(1)
    }

    /// Number of extra attempts to take from the budget before a call for the prefill and the request that follows it. A
    /// call that is accepted is free if it is the first one.
    ///
    /// Guards against a prefill that is computed although no attempt is left for the request.
    pub fn due_for_prefill(&self) -> u32 {
        self.due(1 + u32::from(self.prefilled))
    }

    /// As [`Self::due_for_prefill`], for a call beside one that was begun at `before` and has no result yet. That one may
    /// still be connecting, so that its send is not counted.
    pub fn due_for_second_prefill(&self, before: Arrivals) -> u32 {
        let is_pending = self.counted == before.counted;
        self.due(1 + u32::from(self.prefilled) + u32::from(is_pending))
    }

    fn due(&self, arrivals: u32) -> u32 {
        let extras = (self.counted + arrivals).saturating_sub(1);
        extras.saturating_sub(self.taken)
    }

    /// Records that an extra attempt was taken from the budget.
    pub fn on_taken(&mut self) {
        self.taken += 1;
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
