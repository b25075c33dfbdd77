//! The machine of the instance that writes the buckets of a shard.
//!
//! Claims that wait at the same time go into one write (group commit), and what became of earlier ones rides
//! along. A bucket has at most one call to the key-value service under way.

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

/// Buckets held in memory; a bucket that was dropped is read again when it is asked for.
const MAX_BUCKETS: usize = 256;

/// How long the key-value service may fail before new claims are refused at once.
const UNAVAILABLE_AFTER: Duration = Duration::from_secs(1);

/// First pause after a failed call; doubled by each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Longest pause after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Spread of the times at which refused callers are told to come back.
const RETRY_SPREAD_S: u64 = 4;

/// Version of a key-value entry as the service counts it; 0 stands for an absent entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Revision(pub u64);

/// Names a question, so that its answer finds back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryId(pub u64);

/// Asks for a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claim.
    pub claim: ClaimRef,
    /// The request that wants it. The same mark may ask again, of any owner.
    #[serde(rename = "mark")]
    pub token: ClaimToken,
    /// What the request is.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Wall clock of the entry instance.
    pub wall: WallTime,
    /// How long the entry waits for the answer.
    pub wait: Duration,
    /// How long the request may take once granted.
    pub run: Duration,
}

/// What is known of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// It was granted, and its deadline is this far off.
    Running(Duration),
    /// It ran; the answer is there if it was small enough.
    Finished(Option<StoredAnswer>),
    /// It may have run.
    Unknown,
}

/// Answer to an [`Ask`] or to a question for what is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The asking mark holds the claim; its entry may send once.
    Granted,
    /// Another request holds the claim.
    #[serde(rename = "Seen")]
    Held(ClaimStatus),
    /// Another request holds the claim, and it asked for something else.
    Mismatch,
    /// Nobody holds the claim; only as answer to a question.
    #[serde(rename = "Never")]
    Unclaimed,
    /// The key-value service is out of reach. Come back after this time.
    #[serde(rename = "Out")]
    Unavailable(Duration),
    /// The clocks of entry and owner differ too much.
    #[serde(rename = "Clock")]
    ClockSkew,
    /// The bucket is full.
    Full,
    /// This instance is stopping; another owns the shard.
    Stopping,
}

/// What happens to an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerEvent {
    /// A claim is asked for.
    Claim(QueryId, ClaimRequest),
    /// Somebody asks what is known of a claim.
    Query(QueryId, ClaimRef),
    /// What became of a claim.
    Edit(BucketId, Edit),
    /// The write of the bucket took effect.
    Written(BucketId, Revision),
    /// The bucket stands so: the answer to a read, or to a write that did not take effect.
    Current(BucketId, Revision, Bucket),
    /// The call for the bucket failed; `unsure` if a write may have taken effect or still may.
    Failed {
        /// The bucket.
        bucket: BucketId,
        /// Whether a write may have taken effect, or may yet.
        maybe_written: bool,
    },
    /// Time has passed.
    Tick,
    /// The instance is stopping.
    Stop,
}

/// What an owner does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerAction {
    /// Read the bucket.
    Read(BucketId),
    /// Write the bucket if it still has this version.
    Write(BucketId, Revision, Bucket),
    /// Answer a question.
    Answer(QueryId, Verdict),
    /// Give [`OwnerEvent::Tick`] at this time.
    Wake(Time),
    /// An invariant broke; the action that would rest on it was dropped.
    InvariantBroken(&'static str),
}

/// How an owner groups writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Least time between two writes of a bucket; claims that come in between share the next one.
    pub write_interval: Duration,
    /// How long what became of a claim waits for a write to ride along with.
    pub edit_delay: Duration,
    /// Most claims in one write.
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
    /// One write for each claim and one for each end, for comparison.
    pub fn ungrouped() -> OwnerSettings {
        OwnerSettings {
            write_interval: Duration::ZERO,
            edit_delay: Duration::ZERO,
            max_batch: 1,
        }
    }
}

/// The machine. Holds buckets as the key-value service was last seen to hold them.
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
    /// An owner that knows no bucket.
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

    /// Takes an event.
    pub fn on(&mut self, now: Clocks, event: OwnerEvent) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        match event {
            OwnerEvent::Claim(ticket, ask) => self.on_ask(now, ticket, ask, &mut actions),
            OwnerEvent::Query(ticket, claim) => self.on_query(now, ticket, claim, &mut actions),
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

    /// Whether nothing is left to be written.
    pub fn is_idle(&self) -> bool {
        self.buckets.values().all(OwnedBucket::is_idle)
    }

    /// Buckets in memory, with their claims as last seen in the key-value service.
    pub fn buckets(&self) -> impl Iterator<Item = (BucketId, &Bucket)> {
        self.buckets
            .iter()
            .filter_map(|(id, owned)| Some((*id, owned.known()?)))
    }

    fn on_ask(&mut self, now: Clocks, ticket: QueryId, ask: ClaimRequest, actions: &mut Vec<OwnerAction>) {
        let refusal = match () {
            () if self.stopping => Some(Verdict::Stopping),
            () if !window::clocks_agree(now.wall, ask.wall) => Some(Verdict::ClockSkew),
            () if self.is_unavailable(now.time) => Some(self.refuse_unavailable(now, &ask)),
            () => None,
        };
        if let Some(refusal) = refusal {
            actions.push(OwnerAction::Answer(ticket, refusal));
            return;
        }
        let bucket = ask.claim.bucket;
        self.bucket(bucket, now).ask(ticket, ask, now.time);
        self.advance(now, bucket, actions);
    }

    fn on_query(&mut self, now: Clocks, ticket: QueryId, claim: ClaimRef, actions: &mut Vec<OwnerAction>) {
        if self.is_unavailable(now.time) {
            let owned = self.buckets.get(&claim.bucket);
            let known = owned.and_then(|owned| owned.final_status(claim.id, now.wall));
            let after = self.next_try.since(now.time).max(UNAVAILABLE_AFTER);
            let verdict = known.unwrap_or(Verdict::Unavailable(after));
            actions.push(OwnerAction::Answer(ticket, verdict));
            return;
        }
        self.bucket(claim.bucket, now).query(ticket, claim.id, now.time);
        self.advance(now, claim.bucket, actions);
    }

    fn on_failed(&mut self, now: Clocks, bucket: BucketId, unsure: bool, actions: &mut Vec<OwnerAction>) {
        self.failing_since.get_or_insert(now.time);
        self.next_try = now.time + self.backoff;
        let until = self.next_try;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.bucket(bucket, now).on_failed(unsure, until);
        self.advance(now, bucket, actions);
    }

    fn on_recovered(&mut self) {
        self.failing_since = None;
        self.backoff = MIN_BACKOFF;
    }

    /// Whether the key-value service has failed for so long that a new claim should not wait for it. Once the
    /// pause is over, the next claim is let through to try it.
    fn is_unavailable(&self, now: Time) -> bool {
        let long = self
            .failing_since
            .is_some_and(|since| now.since(since) > UNAVAILABLE_AFTER);
        long && now < self.next_try
    }

    /// What is said while the key-value service is out: the end of a claim if it is known, since it never changes.
    fn refuse_unavailable(&self, now: Clocks, ask: &ClaimRequest) -> Verdict {
        let owned = self.buckets.get(&ask.claim.bucket);
        let known = owned.and_then(|owned| owned.final_verdict(ask, now.wall));
        known.unwrap_or_else(|| Verdict::Unavailable(self.retry_after(now.time, ask)))
    }

    /// When a refused caller should come back: after the next try, spread so that they don't come together.
    fn retry_after(&self, now: Time, ask: &ClaimRequest) -> Duration {
        let spread = Duration::from_secs(1 + ask.token.0.as_u64_pair().1 % RETRY_SPREAD_S);
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
