//! Metrics of claims.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use sequoiastream_core::claims::Verdict;

/// Labels of [`ClaimMetrics::verdicts`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct VerdictLabels {
    /// The verdict: `granted`, `seen`, `mismatch`, `never`, `out`, `clock`, `full` or `stopping`.
    pub verdict: &'static str,
}

/// Metrics of this instance as an owner of claim buckets.
#[derive(Debug, Clone, Default)]
pub struct ClaimMetrics {
    /// Verdicts sent to entry instances.
    pub verdicts: Family<VerdictLabels, Counter>,
    /// Bucket writes started.
    pub writes: Counter,
    /// Bucket reads started.
    pub reads: Counter,
    /// Bucket writes that failed because another owner had written the bucket first.
    pub conflicts: Counter,
}

impl ClaimMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "claim_verdicts",
            "Verdicts sent to entry instances that requested or queried a claim",
            self.verdicts.clone(),
        );
        registry.register("claim_writes", "Writes of claim buckets", self.writes.clone());
        registry.register("claim_reads", "Reads of claim buckets", self.reads.clone());
        registry.register(
            "claim_conflicts",
            "Writes of claim buckets that failed because another owner had written first",
            self.conflicts.clone(),
        );
    }

    /// Counts a verdict.
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
