//! The fake key-value service that the state machines of all instances share.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiastream_core::authority;
use sequoiastream_core::authority::CallId;
use sequoiastream_core::authority::Incarnation;
use sequoiastream_core::authority::RecordVersion;
use sequoiastream_core::authority::WriteOutcome;
use sequoiastream_core::claims;
use sequoiastream_core::claims::Bucket;
use sequoiastream_core::claims::BucketId;
use sequoiastream_core::claims::OwnerEvent;
use sequoiastream_core::config;
use sequoiastream_core::config::CommandId;
use sequoiastream_core::config::Config;
use sequoiastream_core::config::Head;
use sequoiastream_core::config::State;
use sequoiastream_core::config::SwapResult;
use sequoiastream_core::config::Version;
use sequoiastream_core::time::Time;

use super::world::Message;

/// Time to live of the authority's lease.
pub const TTL: Duration = Duration::from_secs(10);

/// A call of a state machine to the key-value service.
#[derive(Debug, Clone)]
pub enum KvCall {
    Acquire(CallId, Time),
    Renew(CallId, Time),
    ReadRecord(CallId),
    WriteRecord(CallId, RecordVersion, Box<authority::Record>),
    ReadHead,
    ReadSnapshot(Version),
    StoreSnapshot(config::SubmissionId, Box<State>),
    SwapHead(config::SubmissionId, config::Revision, Box<Head>),
    RemoveSnapshot(Version),
    ReadBucket(BucketId),
    WriteBucket(BucketId, claims::Revision, Bucket),
}

impl KvCall {
    /// Whether the call is a compare-and-swap, so that a duplicate has no effect.
    pub fn is_compare_and_swap(&self) -> bool {
        matches!(
            self,
            KvCall::WriteRecord(..) | KvCall::SwapHead(..) | KvCall::WriteBucket(..)
        )
    }

    /// The message that the state machine gets if no answer arrived; `maybe_written` if the call may have taken effect.
    /// `None` if the state machine expects no answer.
    pub fn failure_message(&self, maybe_written: bool) -> Option<Message> {
        let message = match self {
            KvCall::Acquire(call, _) => Message::Authority(authority::Event::NotAcquired { call: *call }),
            KvCall::Renew(call, _) => Message::Authority(authority::Event::RenewFailed { call: *call }),
            KvCall::ReadRecord(call) => Message::Authority(authority::Event::ReadFailed { call: *call }),
            KvCall::WriteRecord(call, ..) => Message::Authority(authority::Event::Wrote {
                call: *call,
                outcome: WriteOutcome::Unknown,
            }),
            KvCall::ReadHead => Message::Replicator(config::Event::ReadFailed),
            KvCall::ReadSnapshot(_) => Message::Replicator(config::Event::Snapshot(None)),
            KvCall::StoreSnapshot(submission, state) => {
                Message::Replicator(config::Event::SnapshotStored(*submission, state.version, false))
            }
            KvCall::SwapHead(submission, ..) => {
                let swapped = match maybe_written {
                    true => SwapResult::Unknown,
                    false => SwapResult::Failed,
                };
                Message::Replicator(config::Event::Swapped(*submission, swapped))
            }
            KvCall::RemoveSnapshot(_) => return None,
            KvCall::ReadBucket(bucket) => Message::Owner(OwnerEvent::Failed {
                bucket: *bucket,
                maybe_written: false,
            }),
            KvCall::WriteBucket(bucket, ..) => Message::Owner(OwnerEvent::Failed {
                bucket: *bucket,
                maybe_written,
            }),
        };
        Some(message)
    }
}

/// An accepted change, and the configuration that results from it.
#[derive(Debug)]
pub struct AcceptedChange {
    pub id: CommandId,
    pub accepted_at: Time,
    pub config: Config,
}

#[derive(Debug, Default)]
pub struct Kv {
    /// End of the outage.
    pub outage_until: Time,
    /// End of the period in which calls are slow.
    pub slow_until: Time,
    pub record: Option<authority::Record>,
    version: u64,
    /// Instance and incarnation of the lease's holder, and when the lease expires.
    lease: Option<(usize, Incarnation, Time)>,
    pub stored: config::StoredHead,
    snapshots: BTreeMap<Version, State>,
    /// The accepted changes; version n is at index n - 1.
    pub accepted: Vec<AcceptedChange>,
    buckets: BTreeMap<BucketId, (claims::Revision, Bucket)>,
    revision: u64,
}

impl Kv {
    /// Whether any instance holds the lease.
    pub fn is_lease_held(&self, now: Time) -> bool {
        self.lease.is_some_and(|(.., end)| now < end)
    }

    /// Ends the lease if this incarnation of the instance holds it.
    pub fn release_lease(&mut self, index: usize, by: Incarnation) {
        if self.lease.is_some_and(|(i, b, _)| (i, b) == (index, by)) {
            self.lease = None;
        }
    }

    /// Carries out a call and returns the answer, if the call has one.
    pub fn serve(&mut self, now: Time, index: usize, by: Incarnation, call: KvCall) -> Option<Message> {
        match call {
            KvCall::Acquire(call, sent) => Some(self.acquire(now, (index, by), call, sent)),
            KvCall::Renew(call, sent) => Some(self.renew(now, (index, by), call, sent)),
            KvCall::ReadRecord(call) => Some(Message::Authority(authority::Event::Read {
                call,
                version: RecordVersion(self.version),
                record: self.record.clone(),
            })),
            KvCall::WriteRecord(call, expect, record) => Some(self.write_record(call, expect, *record)),
            KvCall::ReadHead => Some(Message::Replicator(config::Event::Read(self.stored.clone()))),
            KvCall::ReadSnapshot(version) => {
                let snapshot = self.snapshots.get(&version).cloned().map(Box::new);
                Some(Message::Replicator(config::Event::Snapshot(snapshot)))
            }
            KvCall::StoreSnapshot(submission, state) => {
                let version = state.version;
                self.snapshots.entry(version).or_insert(*state);
                let stored = config::Event::SnapshotStored(submission, version, true);
                Some(Message::Replicator(stored))
            }
            KvCall::SwapHead(submission, expect, head) => {
                let swapped = self.swap(now, expect, *head);
                Some(Message::Replicator(config::Event::Swapped(submission, swapped)))
            }
            KvCall::RemoveSnapshot(version) => {
                self.snapshots.remove(&version);
                None
            }
            KvCall::ReadBucket(bucket) => {
                let (revision, content) = self.buckets.get(&bucket).cloned().unwrap_or_default();
                Some(Message::Owner(OwnerEvent::Current(bucket, revision, content)))
            }
            KvCall::WriteBucket(bucket, expect, content) => Some(self.write_bucket(bucket, expect, content)),
        }
    }

    fn acquire(&mut self, now: Time, by: (usize, Incarnation), call: CallId, sent: Time) -> Message {
        if self.is_lease_held(now) {
            return Message::Authority(authority::Event::NotAcquired { call });
        }
        self.lease = Some((by.0, by.1, now + TTL));
        Message::Authority(authority::Event::Acquired { call, sent })
    }

    fn renew(&mut self, now: Time, by: (usize, Incarnation), call: CallId, sent: Time) -> Message {
        let owned = self.lease.is_some_and(|(i, b, end)| (i, b) == by && now < end);
        if !owned {
            return Message::Authority(authority::Event::Expired { call });
        }
        self.lease = Some((by.0, by.1, now + TTL));
        Message::Authority(authority::Event::Renewed { call, sent })
    }

    fn write_record(&mut self, call: CallId, expect: RecordVersion, record: authority::Record) -> Message {
        let written = match expect.0 == self.version {
            true => {
                self.version += 1;
                self.record = Some(record);
                WriteOutcome::Done(RecordVersion(self.version))
            }
            false => WriteOutcome::Conflict,
        };
        Message::Authority(authority::Event::Wrote {
            call,
            outcome: written,
        })
    }

    fn write_bucket(&mut self, bucket: BucketId, expect: claims::Revision, content: Bucket) -> Message {
        let (revision, current) = self.buckets.get(&bucket).cloned().unwrap_or_default();
        if revision != expect {
            return Message::Owner(OwnerEvent::Current(bucket, revision, current));
        }
        self.revision += 1;
        let revision = claims::Revision(self.revision);
        self.buckets.insert(bucket, (revision, content));
        Message::Owner(OwnerEvent::Written(bucket, revision))
    }

    /// Swaps the head of the configuration. The versions of accepted changes must be consecutive, and each id must be
    /// accepted only once.
    fn swap(&mut self, now: Time, expect: config::Revision, head: Head) -> SwapResult {
        if self.stored.revision != expect {
            return SwapResult::Conflict(self.stored.clone());
        }
        assert_eq!(
            head.version.0,
            self.accepted.len() as u64 + 1,
            "the versions of accepted changes are not consecutive"
        );
        let change = head
            .tail
            .back()
            .expect("the last entry of the head is the new change")
            .clone();
        assert!(
            self.accepted.iter().all(|a| a.id != change.id),
            "{:?} accepted twice",
            change.id
        );
        let mut config = self.accepted.last().map(|a| a.config.clone()).unwrap_or_default();
        for command in &change.commands {
            config.apply(command).expect("an accepted command can be applied");
        }
        self.accepted.push(AcceptedChange {
            id: change.id,
            accepted_at: now,
            config,
        });
        self.stored = config::StoredHead {
            revision: config::Revision(expect.0 + 1),
            head,
        };
        SwapResult::Done(self.stored.revision)
    }

    /// The last version accepted by the time `at`; 0 before the first.
    pub fn version_at(&self, at: Time) -> Version {
        Version(self.accepted.iter().filter(|a| a.accepted_at <= at).count() as u64)
    }
}
