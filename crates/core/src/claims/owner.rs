//! State machine of the instance that writes the buckets of a shard.
//!
//! Claims that wait at the same time share one write (group commit), which also carries the edits of earlier claims.
//! Each bucket has at most one call to the key-value service in flight.

mod owned_bucket;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::claims::Bucket;
use crate::claims::BucketId;
use crate::claims::ClaimRef;
use crate::claims::ClaimToken;
use crate::claims::Clocks;
use crate::claims::Edit;
use crate::claims::Fingerprint;
use crate::claims::StoredAnswer;
use crate::claims::owner::owned_bucket::OwnedBucket;
use crate::claims::window;
use crate::time::Time;
use crate::time::WallTime;

/// Maximum number of buckets in memory; an evicted bucket is read again when it is needed.
const MAX_BUCKETS: usize = 256;

/// How long the key-value service may fail before new claims are refused immediately.
const UNAVAILABLE_AFTER: Duration = Duration::from_secs(1);

/// Delay after the first failed call; each further failure doubles it.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Range over which the retry delays of refused callers are spread, in seconds.
const RETRY_SPREAD_S: u64 = 4;

/// Version of a key-value entry as the service counts it; 0 stands for an absent entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Revision(pub u64);

/// Identifies a claim request or a query, so that its answer reaches the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryId(pub u64);

/// A request for a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claim that is requested.
    pub claim: ClaimRef,
    /// Token of the requesting request. The same token may ask again, and may ask any owner.
    #[serde(rename = "mark")]
    pub token: ClaimToken,
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Wall clock of the entry instance.
    pub wall: WallTime,
    /// How long the entry instance waits for the answer.
    pub wait: Duration,
    /// How long the request may run once the claim is granted.
    pub run: Duration,
}

/// Status of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The claim was granted; the duration is the time left until the deadline of the request.
    Running(Duration),
    /// The request ran; the answer is given if it was small enough to be stored.
    Finished(Option<StoredAnswer>),
    /// The request may have run.
    Unknown,
}

/// Answer to a [`ClaimRequest`], or to a query for the status of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The requesting token holds the claim; its entry instance may send once.
    Granted,
    /// Another request holds the claim.
    #[serde(rename = "Seen")]
    Held(ClaimStatus),
    /// Another request, with a different fingerprint, holds the claim.
    Mismatch,
    /// No request holds the claim; given only in answer to a query.
    #[serde(rename = "Never")]
    Unclaimed,
    /// The key-value service is unavailable. The duration is the retry delay.
    #[serde(rename = "Out")]
    Unavailable(Duration),
    /// The wall clocks of entry instance and owner differ too much.
    #[serde(rename = "Clock")]
    ClockSkew,
    /// The bucket is full.
    Full,
    /// This instance is stopping; another one owns the shard.
    Stopping,
}

/// An input of the [`Owner`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerEvent {
    /// A claim is requested.
    Claim(QueryId, ClaimRequest),
    /// The status of a claim is queried.
    Query(QueryId, ClaimRef),
    /// The state of a claim changes.
    Edit(BucketId, Edit),
    /// The write of the bucket took effect.
    Written(BucketId, Revision),
    /// Current content of the bucket: the result of a read, or of a write that did not take effect.
    Current(BucketId, Revision, Bucket),
    /// The call for the bucket failed; `maybe_written` if a write may have taken effect or still may.
    Failed {
        /// The bucket.
        bucket: BucketId,
        /// Whether a write may have taken effect, or may still take effect.
        maybe_written: bool,
    },
    /// Time has passed, as after [`OwnerAction::Wake`].
    Tick,
    /// The instance is stopping.
    Stop,
}

/// An output of the [`Owner`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerAction {
    /// Read the bucket.
    Read(BucketId),
    /// Write the bucket if it still has this version.
    Write(BucketId, Revision, Bucket),
    /// Answer a claim request or a query.
    Answer(QueryId, Verdict),
    /// Pass [`OwnerEvent::Tick`] at this time.
    Wake(Time),
    /// An invariant is violated; the action that depends on it was dropped.
    InvariantBroken(&'static str),
}

/// How an owner groups writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Minimum time between two writes of a bucket; claims that arrive in between share the next write.
    pub write_interval: Duration,
    /// How long an edit waits for a write that can carry it.
    pub edit_delay: Duration,
    /// Maximum number of new claims in one write.
    pub max_batch: usize,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        OwnerSettings {
            write_interval: Duration::from_millis(80),
            edit_delay: Duration::from_secs(2),
            max_batch: 1024,
        }
    }
}

impl OwnerSettings {
    /// Settings with one write for each claim and one for each edit, as a baseline for measurements.
    pub fn ungrouped() -> OwnerSettings {
        OwnerSettings {
            write_interval: Duration::ZERO,
            edit_delay: Duration::ZERO,
            max_batch: 1,
        }
    }
}

/// The state machine. Holds buckets as last seen in the key-value service.
#[derive(Debug)]
pub struct Owner {
    settings: OwnerSettings,
    buckets: BTreeMap<BucketId, OwnedBucket>,
    failing_since: Option<Time>,
    next_try: Time,
    backoff: Duration,
    stopping: bool,
}

impl Owner {
    /// Creates an owner with no bucket in memory.
    pub fn new(settings: OwnerSettings) -> Owner {
        Owner {
            settings,
            buckets: BTreeMap::new(),
            failing_since: None,
            next_try: Time::ZERO,
            backoff: MIN_BACKOFF,
            stopping: false,
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn on(&mut self, now: Clocks, event: OwnerEvent) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        match event {
            OwnerEvent::Claim(query_id, request) => self.on_claim(now, query_id, request, &mut actions),
            OwnerEvent::Query(query_id, claim) => self.on_query(now, query_id, claim, &mut actions),
            OwnerEvent::Edit(bucket, edit) => {
                self.bucket(bucket, now).edit(edit, now.time);
                self.advance(now, bucket, &mut actions);
            }
            OwnerEvent::Written(bucket, revision) => {
                self.on_recovered();
                self.bucket(bucket, now).on_written(revision, now.time);
                self.advance(now, bucket, &mut actions);
            }
            OwnerEvent::Current(bucket, revision, content) => {
                self.on_recovered();
                self.bucket(bucket, now).on_current(revision, content, now.time);
                self.advance(now, bucket, &mut actions);
            }
            OwnerEvent::Failed {
                bucket,
                maybe_written,
            } => self.on_failed(now, bucket, maybe_written, &mut actions),
            OwnerEvent::Tick => self.advance_all(now, &mut actions),
            OwnerEvent::Stop => {
                self.stopping = true;
                self.advance_all(now, &mut actions);
            }
        }
        self.evict();
        actions
    }

    /// Whether no write, answer or call is pending.
    pub fn is_idle(&self) -> bool {
        self.buckets.values().all(OwnedBucket::is_idle)
    }

    /// Iterates over the buckets in memory, with their claims as last seen in the key-value service.
    pub fn buckets(&self) -> impl Iterator<Item = (BucketId, &Bucket)> {
        self.buckets
            .iter()
            .filter_map(|(id, owned)| Some((*id, owned.known()?)))
    }

    fn on_claim(
        &mut self,
        now: Clocks,
        query_id: QueryId,
        request: ClaimRequest,
        actions: &mut Vec<OwnerAction>,
    ) {
        let refusal = match () {
            () if self.stopping => Some(Verdict::Stopping),
            () if !window::clocks_agree(now.wall, request.wall) => Some(Verdict::ClockSkew),
            () if self.is_unavailable(now.time) => Some(self.refuse_unavailable(now, &request)),
            () => None,
        };
        if let Some(refusal) = refusal {
            actions.push(OwnerAction::Answer(query_id, refusal));
            return;
        }
        let bucket = request.claim.bucket;
        self.bucket(bucket, now).claim(query_id, request, now.time);
        self.advance(now, bucket, actions);
    }

    fn on_query(&mut self, now: Clocks, query_id: QueryId, claim: ClaimRef, actions: &mut Vec<OwnerAction>) {
        if self.is_unavailable(now.time) {
            let owned = self.buckets.get(&claim.bucket);
            let known = owned.and_then(|owned| owned.final_status(claim.id, now.wall));
            let after = self.next_try.since(now.time).max(UNAVAILABLE_AFTER);
            let verdict = known.unwrap_or(Verdict::Unavailable(after));
            actions.push(OwnerAction::Answer(query_id, verdict));
            return;
        }
        self.bucket(claim.bucket, now).query(query_id, claim.id, now.time);
        self.advance(now, claim.bucket, actions);
    }

    fn on_failed(
        &mut self,
        now: Clocks,
        bucket: BucketId,
        maybe_written: bool,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.failing_since.get_or_insert(now.time);
        self.next_try = now.time + self.backoff;
        let until = self.next_try;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.bucket(bucket, now).on_failed(maybe_written, until);
        self.advance(now, bucket, actions);
    }

    fn on_recovered(&mut self) {
        self.failing_since = None;
        self.backoff = MIN_BACKOFF;
    }

    /// Whether the key-value service has failed for so long that new claims should not wait for it. After the
    /// backoff delay the next claim is let through as a probe.
    fn is_unavailable(&self, now: Time) -> bool {
        let long = self
            .failing_since
            .is_some_and(|since| now.since(since) > UNAVAILABLE_AFTER);
        long && now < self.next_try
    }

    /// Returns the answer while the key-value service is unavailable: the final state of a claim if it is known,
    /// since it never changes.
    fn refuse_unavailable(&self, now: Clocks, request: &ClaimRequest) -> Verdict {
        let owned = self.buckets.get(&request.claim.bucket);
        let known = owned.and_then(|owned| owned.final_verdict(request, now.wall));
        known.unwrap_or_else(|| Verdict::Unavailable(self.retry_after(now.time, request)))
    }

    /// Returns the retry delay of a refused caller: until the next attempt, plus a spread so that callers do not
    /// return all at once.
    fn retry_after(&self, now: Time, request: &ClaimRequest) -> Duration {
        let spread = Duration::from_secs(1 + request.token.0.as_u64_pair().1 % RETRY_SPREAD_S);
        self.next_try.since(now) + spread
    }

    fn bucket(&mut self, bucket: BucketId, now: Clocks) -> &mut OwnedBucket {
        self.buckets
            .entry(bucket)
            .or_insert_with(|| OwnedBucket::new(now.time))
    }

    fn advance(&mut self, now: Clocks, bucket: BucketId, actions: &mut Vec<OwnerAction>) {
        let mut settings = self.settings;
        if self.stopping {
            settings.edit_delay = Duration::ZERO;
        }
        if let Some(owned) = self.buckets.get_mut(&bucket) {
            owned.advance(now, bucket, &settings, actions);
        }
    }

    fn advance_all(&mut self, now: Clocks, actions: &mut Vec<OwnerAction>) {
        let buckets: Vec<BucketId> = self.buckets.keys().copied().collect();
        for bucket in buckets {
            self.advance(now, bucket, actions);
        }
    }

    fn evict(&mut self) {
        while self.buckets.len() > MAX_BUCKETS {
            let idle = self.buckets.iter().filter(|(_, owned)| owned.is_idle());
            let oldest = idle.min_by_key(|(_, owned)| owned.used_at()).map(|(id, _)| *id);
            let Some(oldest) = oldest else { return };
            self.buckets.remove(&oldest);
        }
    }
}
