//! Metrics of the policy.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use sequoiastream_core::limit::Admission;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Reason;

/// Metrics of the policy.
#[derive(Debug, Clone, Default)]
pub struct PolicyMetrics {
    /// Load reports read from engines.
    pub polls: Counter,
    /// Load reports that could not be read.
    pub polls_failed: Counter,
    /// Gaps detected in the sequence of cache events.
    pub cache_gaps: Counter,
    /// Admission decisions, by product and verdict.
    pub admissions: Family<AdmissionLabels, Counter>,
    /// Retries denied by the retry budget.
    pub retries_denied: Counter,
    /// Role changes proposed by the planner.
    pub changes_proposed: Counter,
}

/// Labels of [`PolicyMetrics::admissions`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AdmissionLabels {
    /// The product.
    pub product: String,
    /// The verdict: `owed` (within the product's share), `lent` (borrowed capacity), `over-share` or `too-late`.
    pub verdict: String,
}

impl PolicyMetrics {
    /// Counts an admission decision.
    pub fn count_admission(&self, product: &Name, verdict: Admission) {
        let verdict = match verdict {
            Admission::WithinShare => "owed",
            Admission::Borrowed => "lent",
            Admission::Refused(Reason::TooLate, _) => "too-late",
            Admission::Refused(..) => "over-share",
        };
        let labels = AdmissionLabels {
            product: product.to_string(),
            verdict: verdict.to_string(),
        };
        self.admissions.get_or_create(&labels).inc();
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("load_polls", "Load reports read from engines", self.polls.clone());
        registry.register(
            "load_polls_failed",
            "Load reports that could not be read",
            self.polls_failed.clone(),
        );
        registry.register(
            "cache_gaps",
            "Gaps detected in the sequence of cache events",
            self.cache_gaps.clone(),
        );
        registry.register(
            "admissions",
            "Admission decisions, by product and verdict",
            self.admissions.clone(),
        );
        registry.register(
            "retries_denied",
            "Retries denied by the retry budget",
            self.retries_denied.clone(),
        );
        registry.register(
            "role_changes_proposed",
            "Role changes proposed by the planner",
            self.changes_proposed.clone(),
        );
    }
}
