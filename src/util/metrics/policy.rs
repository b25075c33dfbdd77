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
    /// Load reports read.
    pub polls: Counter,
    /// Load reports that could not be read.
    pub polls_failed: Counter,
    /// Gaps seen in cache events.
    pub cache_gaps: Counter,
    /// Admissions by product and verdict.
    pub admissions: Family<AdmissionLabels, Counter>,
    /// Retries that the budget did not allow.
    pub retries_denied: Counter,
    /// Role changes proposed.
    pub changes_proposed: Counter,
}

/// How a request was admitted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AdmissionLabels {
    /// The product.
    pub product: String,
    /// `owed`, `lent`, `over-share` or `too-late`.
    pub verdict: String,
}

impl PolicyMetrics {
    /// Counts an admission.
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
        registry.register("load_polls", "Load reports read", self.polls.clone());
        registry.register(
            "load_polls_failed",
            "Load reports that could not be read",
            self.polls_failed.clone(),
        );
        registry.register("cache_gaps", "Gaps seen in cache events", self.cache_gaps.clone());
        registry.register(
            "admissions",
            "Admissions by product and verdict",
            self.admissions.clone(),
        );
        registry.register(
            "retries_denied",
            "Retries that the budget did not allow",
            self.retries_denied.clone(),
        );
        registry.register(
            "role_changes_proposed",
            "Role changes proposed by the planner",
            self.changes_proposed.clone(),
        );
    }
}
