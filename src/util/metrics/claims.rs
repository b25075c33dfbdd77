//! Metrics of claims.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use sequoiastream_core::claims::Verdict;

/// How a claim was answered.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct VerdictLabels {
    /// `granted`, `seen`, `mismatch`, `never`, `out`, `clock`, `full` or `stopping`.
    pub verdict: &'static str,
}

/// Metrics of claims, as owner.
#[derive(Debug, Clone, Default)]
pub struct ClaimMetrics {
    /// Answers to entries.
    pub verdicts: Family<VerdictLabels, Counter>,
    /// Writes of buckets begun.
    pub writes: Counter,
    /// Reads of buckets begun.
    pub reads: Counter,
    /// Writes that another owner's write came before.
    pub conflicts: Counter,
}

impl ClaimMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "claim_verdicts",
            "Answers to entries that asked for a claim or its state",
            self.verdicts.clone(),
        );
        registry.register("claim_writes", "Writes of claim buckets", self.writes.clone());
        registry.register("claim_reads", "Reads of claim buckets", self.reads.clone());
        registry.register(
            "claim_conflicts",
            "Writes of claim buckets that lost against another owner",
            self.conflicts.clone(),
        );
    }

    /// Counts an answer.
    pub fn count_verdict(&self, verdict: &Verdict) {
        let verdict = match verdict {
            Verdict::Granted => "granted",
            Verdict::Held(_) => "seen",
            Verdict::Mismatch => "mismatch",
            Verdict::Unclaimed => "never",
            Verdict::Unavailable(_) => "out",
            Verdict::ClockSkew => "clock",
            Verdict::Full => "full",
            Verdict::Stopping => "stopping",
        };
        self.verdicts.get_or_create(&VerdictLabels { verdict }).inc();
    }
}
