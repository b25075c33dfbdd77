//! Accepts overdue requests beyond the limits on queues and slots: those whose kind or class of work has been refused
//! more often than it may be.

use sequoiastream_core::relay::fairness::OVERDUE;
use sequoiastream_core::relay::fairness::PromptTokens;
use sequoiastream_core::relay::fairness::RequestGroups;
use sequoiastream_core::relay::rank::MAX_LOAD_FACTOR;

use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::rank::is_rank_reason;
use crate::ops::relay::reply::Reply;
use crate::util::clock;

impl ForwardedRequest {
    /// The groups to which a stream belongs that has not been sent to any engine.
    fn groups(&self) -> Option<RequestGroups> {
        let service = self.service.as_ref()?;
        let is_undecided = self.route.kind.is_stream() && !self.is_bound() && self.attempts.sent() == 0;
        let tokens = PromptTokens {
            size: self.incoming.prompt.as_ref().map_or(0, |prompt| prompt.input),
            work: self.work_tokens,
        };
        is_undecided.then(|| RequestGroups::new(service, &self.route.name, tokens))
    }

    /// The number of acceptances that requests like this one lack; `None` if it isn't overdue.
    pub(super) fn overdue(&self) -> Option<f64> {
        let groups = self.groups()?;
        let overdue = self.shared.traffic().fairness.overdue(groups);
        (overdue > 0.0).then_some(overdue)
    }

    /// Fraction of an engine's slots up to which it is sent this stream if it is overdue: any free slot, and a place in
    /// the engine's queue only once that didn't suffice, since a long answer that waits delays all that wait behind it.
    pub(super) fn overdue_part(&self) -> Option<f64> {
        let overdue = self.overdue()?;
        Some((1.0 + overdue - OVERDUE).min(MAX_LOAD_FACTOR))
    }

    /// Counts a stream that is sent to an engine.
    pub(super) fn count_accepted(&self) {
        self.count_decision(true);
    }

    /// Counts a stream that was refused for lack of capacity.
    pub(super) fn count_refused(&self, reply: Reply) {
        let is_outranked = self.refusal.is_some_and(|refusal| is_rank_reason(refusal.reason));
        if matches!(reply, Reply::Refused(_) | Reply::Expired) && (self.lacks_capacity() || is_outranked) {
            self.count_decision(false);
        }
    }

    fn count_decision(&self, is_accepted: bool) {
        let Some(groups) = self.groups() else {
            return;
        };
        let is_overdue = self.overdue().is_some();
        let mut traffic = self.shared.traffic();
        traffic.fairness.on_decision(clock::now(), groups, is_accepted);
        drop(traffic);
        if is_overdue {
            self.shared.metrics.count_overdue(is_accepted);
        }
    }
}
