//! The machine of the instance that writes the buckets of a shard.
//!
//! Claims that wait at the same time go into one write (group commit), and what became of earlier ones rides
//! along. A bucket has at most one call to the key-value service under way.

mod slot;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::claims::Bucket;
use crate::claims::BucketId;
use crate::claims::ClaimRef;
use crate::claims::Clocks;
use crate::claims::Edit;
use crate::claims::Fingerprint;
use crate::claims::Mark;
use crate::claims::Stored;
use crate::claims::owner::slot::Slot;
use crate::claims::window;
use crate::time::Time;
use crate::time::WallTime;

/// Buckets held in memory; a bucket that was dropped is read again when it is asked for.
const MAX_SLOTS: usize = 256;

/// How long the key-value service may fail before new claims are refused at once.
const OUT_AFTER: Duration = Duration::from_secs(1);

/// First pause after a failed call; doubled by each further failure.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Spread of the times at which refused callers are told to come back.
const SPREAD: u64 = 4;

/// Version of a key-value entry as the service counts it; 0 stands for an absent entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Revision(pub u64);

/// Names a question, so that its answer finds back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Asks for a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The claim.
    pub claim: ClaimRef,
    /// The request that wants it. The same mark may ask again, of any owner.
    pub mark: Mark,
    /// What the request is.
    pub print: Fingerprint,
    /// Wall clock of the entry instance.
    pub wall: WallTime,
    /// How long the entry waits for the answer.
    pub wait: Duration,
    /// How long the request may take once granted.
    pub run: Duration,
}

/// What is known of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seen {
    /// It was granted, and its deadline is this far off.
    Running(Duration),
    /// It ran; the answer is there if it was small enough.
    Finished(Option<Stored>),
    /// It may have run.
    Unknown,
}

/// Answer to an [`Ask`] or to a question for what is known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The asking mark holds the claim; its entry may send once.
    Granted,
    /// Another request holds the claim.
    Seen(Seen),
    /// Another request holds the claim, and it asked for something else.
    Mismatch,
    /// Nobody holds the claim; only as answer to a question.
    Never,
    /// The key-value service is out of reach. Come back after this time.
    Out(Duration),
    /// The clocks of entry and owner differ too much.
    Clock,
    /// The bucket is full.
    Full,
    /// This instance is stopping; another owns the shard.
    Stopping,
}

/// What happens to an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerEvent {
    /// A claim is asked for.
    Ask(Ticket, Ask),
    /// Somebody asks what is known of a claim.
    Look(Ticket, ClaimRef),
    /// What became of a claim.
    Edit(BucketId, Edit),
    /// The write of the bucket took effect.
    Written(BucketId, Revision),
    /// The bucket stands so: the answer to a read, or to a write that did not take effect.
    Stands(BucketId, Revision, Bucket),
    /// The call for the bucket failed; `unsure` if a write may have taken effect or still may.
    Failed {
        /// The bucket.
        bucket: BucketId,
        /// Whether a write may have taken effect, or may yet.
        unsure: bool,
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
    Answer(Ticket, Verdict),
    /// Give [`OwnerEvent::Tick`] at this time.
    Wake(Time),
    /// An invariant broke; the action that would rest on it was dropped.
    Broken(&'static str),
}

/// How an owner groups writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Least time between two writes of a bucket; claims that come in between share the next one.
    pub pace: Duration,
    /// How long what became of a claim waits for a write to ride along with.
    pub linger: Duration,
    /// Most claims in one write.
    pub batch: usize,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        OwnerSettings {
            pace: Duration::from_millis(80),
            linger: Duration::from_secs(2),
            batch: 1024,
        }
    }
}

impl OwnerSettings {
    /// One write for each claim and one for each end, for comparison.
    pub fn ungrouped() -> OwnerSettings {
        OwnerSettings {
            pace: Duration::ZERO,
            linger: Duration::ZERO,
            batch: 1,
        }
    }
}

/// The machine. Holds buckets as the key-value service was last seen to hold them.
#[derive(Debug)]
pub struct Owner {
    settings: OwnerSettings,
    slots: BTreeMap<BucketId, Slot>,
    failing: Option<Time>,
    probe: Time,
    pause: Duration,
    stopping: bool,
}

impl Owner {
    /// An owner that knows no bucket.
    pub fn new(settings: OwnerSettings) -> Owner {
        Owner {
            settings,
            slots: BTreeMap::new(),
            failing: None,
            probe: Time::ZERO,
            pause: PAUSE,
            stopping: false,
        }
    }

    /// Takes an event.
    pub fn on(&mut self, now: Clocks, event: OwnerEvent) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        match event {
            OwnerEvent::Ask(ticket, ask) => self.on_ask(now, ticket, ask, &mut actions),
            OwnerEvent::Look(ticket, claim) => self.on_look(now, ticket, claim, &mut actions),
            OwnerEvent::Edit(bucket, edit) => {
                self.slot(bucket, now).edit(edit, now.time);
                self.advance(now, bucket, &mut actions);
            }
            OwnerEvent::Written(bucket, revision) => {
                self.recovered();
                self.slot(bucket, now).written(revision, now.time);
                self.advance(now, bucket, &mut actions);
            }
            OwnerEvent::Stands(bucket, revision, content) => {
                self.recovered();
                self.slot(bucket, now).stands(revision, content, now.time);
                self.advance(now, bucket, &mut actions);
            }
            OwnerEvent::Failed { bucket, unsure } => self.on_failed(now, bucket, unsure, &mut actions),
            OwnerEvent::Tick => self.advance_all(now, &mut actions),
            OwnerEvent::Stop => {
                self.stopping = true;
                self.advance_all(now, &mut actions);
            }
        }
        self.trim();
        actions
    }

    /// Whether nothing is left to be written.
    pub fn is_idle(&self) -> bool {
        self.slots.values().all(Slot::is_idle)
    }

    /// Buckets in memory, with their claims as last seen in the key-value service.
    pub fn buckets(&self) -> impl Iterator<Item = (BucketId, &Bucket)> {
        self.slots
            .iter()
            .filter_map(|(id, slot)| Some((*id, slot.known()?)))
    }

    fn on_ask(&mut self, now: Clocks, ticket: Ticket, ask: Ask, actions: &mut Vec<OwnerAction>) {
        let refusal = match () {
            () if self.stopping => Some(Verdict::Stopping),
            () if !window::agree(now.wall, ask.wall) => Some(Verdict::Clock),
            () if self.is_out(now.time) => Some(self.refuse_out(now, &ask)),
            () => None,
        };
        if let Some(refusal) = refusal {
            actions.push(OwnerAction::Answer(ticket, refusal));
            return;
        }
        let bucket = ask.claim.bucket;
        self.slot(bucket, now).ask(ticket, ask, now.time);
        self.advance(now, bucket, actions);
    }

    fn on_look(&mut self, now: Clocks, ticket: Ticket, claim: ClaimRef, actions: &mut Vec<OwnerAction>) {
        if self.is_out(now.time) {
            let slot = self.slots.get(&claim.bucket);
            let known = slot.and_then(|slot| slot.end_of(claim.id, now.wall));
            let after = self.probe.since(now.time).max(OUT_AFTER);
            let verdict = known.unwrap_or(Verdict::Out(after));
            actions.push(OwnerAction::Answer(ticket, verdict));
            return;
        }
        self.slot(claim.bucket, now).look(ticket, claim.id, now.time);
        self.advance(now, claim.bucket, actions);
    }

    fn on_failed(&mut self, now: Clocks, bucket: BucketId, unsure: bool, actions: &mut Vec<OwnerAction>) {
        self.failing.get_or_insert(now.time);
        self.probe = now.time + self.pause;
        let until = self.probe;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.slot(bucket, now).failed(unsure, until);
        self.advance(now, bucket, actions);
    }

    fn recovered(&mut self) {
        self.failing = None;
        self.pause = PAUSE;
    }

    /// Whether the key-value service has failed for so long that a new claim should not wait for it. Once the
    /// pause is over, the next claim is let through to try it.
    fn is_out(&self, now: Time) -> bool {
        let long = self.failing.is_some_and(|since| now.since(since) > OUT_AFTER);
        long && now < self.probe
    }

    /// What is said while the key-value service is out: the end of a claim if it is known, since it never changes.
    fn refuse_out(&self, now: Clocks, ask: &Ask) -> Verdict {
        let slot = self.slots.get(&ask.claim.bucket);
        let known = slot.and_then(|slot| slot.ended(ask, now.wall));
        known.unwrap_or_else(|| Verdict::Out(self.come_back(now.time, ask)))
    }

    /// When a refused caller should come back: after the next try, spread so that they don't come together.
    fn come_back(&self, now: Time, ask: &Ask) -> Duration {
        let spread = Duration::from_secs(1 + ask.mark.0.as_u64_pair().1 % SPREAD);
        self.probe.since(now) + spread
    }

    fn slot(&mut self, bucket: BucketId, now: Clocks) -> &mut Slot {
        self.slots.entry(bucket).or_insert_with(|| Slot::new(now.time))
    }

    fn advance(&mut self, now: Clocks, bucket: BucketId, actions: &mut Vec<OwnerAction>) {
        let mut settings = self.settings;
        if self.stopping {
            settings.linger = Duration::ZERO;
        }
        if let Some(slot) = self.slots.get_mut(&bucket) {
            slot.advance(now, bucket, &settings, actions);
        }
    }

    fn advance_all(&mut self, now: Clocks, actions: &mut Vec<OwnerAction>) {
        let buckets: Vec<BucketId> = self.slots.keys().copied().collect();
        for bucket in buckets {
            self.advance(now, bucket, actions);
        }
    }

    fn trim(&mut self) {
        while self.slots.len() > MAX_SLOTS {
            let idle = self.slots.iter().filter(|(_, slot)| slot.is_idle());
            let oldest = idle.min_by_key(|(_, slot)| slot.used()).map(|(id, _)| *id);
            let Some(oldest) = oldest else { return };
            self.slots.remove(&oldest);
        }
    }
}
