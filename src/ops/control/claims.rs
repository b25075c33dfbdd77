//! The owner of claims: reads and writes the buckets of its shards in the key-value service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::ResponseFuture;
use actix::WrapFuture;
use sequoiastream_core::claims::BUCKET_TTL;
use sequoiastream_core::claims::Bucket;
use sequoiastream_core::claims::BucketId;
use sequoiastream_core::claims::ClaimRef;
use sequoiastream_core::claims::ClaimRequest;
use sequoiastream_core::claims::Edit;
use sequoiastream_core::claims::Owner;
use sequoiastream_core::claims::OwnerAction;
use sequoiastream_core::claims::OwnerEvent;
use sequoiastream_core::claims::QueryId;
use sequoiastream_core::claims::Revision;
use sequoiastream_core::claims::State;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::log_event;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use sequoiastream_kv::Entry;
use sequoiastream_kv::Expect;
use sequoiastream_kv::KvClient;
use sequoiastream_kv::KvError;
use sequoiastream_kv::KvVersion;
use sequoiastream_kv::LeaseId;
use sequoiastream_kv::Swap;
use sequoiastream_operator::wire::TableBody;
use sequoiastream_peer::call::CallClient;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use tokio::sync::oneshot;

use crate::log_event;
use crate::ops::control::Shutdown;
use crate::ops::shared::Shared;
use crate::util::clock;

/// How long one lease is reused for the buckets that are written.
const LEASE_REUSE: Duration = Duration::from_secs(600);

/// Interval between two comparisons of the clock with that of another instance.
const CLOCK_INTERVAL: Duration = Duration::from_secs(1);

/// How long another instance may take to report its time. Far below the clock difference that counts as disagreement,
/// so that the duration of the call cannot cause one.
const CLOCK_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of claims in a table.
const MAX_ROWS: usize = 500;

/// Requests a claim.
#[derive(Debug)]
pub struct RequestClaim(pub ClaimRequest);

impl Message for RequestClaim {
    type Result = Verdict;
}

/// Queries the status of a claim.
#[derive(Debug)]
pub struct QueryClaim(pub ClaimRef);

impl Message for QueryClaim {
    type Result = Verdict;
}

/// Changes the state of a claim.
#[derive(Debug)]
pub struct EditClaim(pub BucketId, pub Edit);

impl Message for EditClaim {
    type Result = ();
}

/// Requests the table of the claims in the buckets that this instance has in memory.
#[derive(Debug)]
pub struct ShowClaims;

impl Message for ShowClaims {
    type Result = TableBody;
}

/// Lease to which buckets are bound, so that the key-value service deletes them when it expires.
///
/// Failure guarded against: a bucket is deleted while its keys are still accepted, and a repeated request runs a second
/// time. The lease is therefore never released, not even at shutdown, and never renewed: it ends only by expiring.
#[derive(Debug, Clone, Copy)]
struct BucketLease {
    id: LeaseId,
    /// When the lease was requested, just before it was granted.
    requested_at: Time,
}

/// Runs the [`Owner`] of claims and carries out its actions.
#[derive(Debug)]
pub struct ClaimsActor {
    shared: Arc<Shared>,
    kv: KvClient,
    owner: Owner,
    pending: BTreeMap<QueryId, oneshot::Sender<Verdict>>,
    stop_waiters: Vec<oneshot::Sender<()>>,
    query_count: u64,
    wake_at: Option<Time>,
    bucket_lease: Option<BucketLease>,
    failing: bool,
    call_client: CallClient,
    last_compared: Option<Name>,
}

impl ClaimsActor {
    /// Creates an owner with no bucket in memory.
    pub fn new(shared: Arc<Shared>, kv: KvClient, call_client: CallClient) -> ClaimsActor {
        let owner = Owner::new(shared.settings.claim_grouping);
        ClaimsActor {
            shared,
            kv,
            owner,
            pending: BTreeMap::new(),
            stop_waiters: Vec::new(),
            query_count: 0,
            wake_at: None,
            bucket_lease: None,
            failing: false,
            call_client,
            last_compared: None,
        }
    }

    /// Compares clocks with one other instance, and schedules the next comparison.
    fn compare_clocks(&mut self, context: &mut Context<Self>) {
        let roster = self.shared.roster();
        let peers: Vec<Name> = roster.peers.iter().map(|p| p.name.clone()).collect();
        let next = {
            let mut watch = self.shared.clock_watch();
            watch.retain(|name| peers.contains(name));
            watch.next(&peers, self.last_compared.as_ref()).cloned()
        };
        let address = |name: &Name| {
            roster
                .peers
                .iter()
                .find(|p| p.name == *name)
                .map(|p| p.peer_address)
        };
        if let Some((name, address)) = next.and_then(|name| Some((name.clone(), address(&name)?))) {
            self.last_compared = Some(name.clone());
            let call_client = self.call_client.clone();
            let request = async move { call_client.call(address, &Request::Clock, CLOCK_TIMEOUT).await };
            context.spawn(request.into_actor(self).map(move |response, actor, _| {
                if let Ok(Response::Clock(theirs)) = response {
                    actor
                        .shared
                        .clock_watch()
                        .on_time(&name, clock::wall_time(), theirs);
                }
            }));
        }
        context.run_later(CLOCK_INTERVAL, |actor, context| actor.compare_clocks(context));
    }

    /// Registers a query; returns its id and a future of its verdict.
    fn new_query(&mut self) -> (QueryId, ResponseFuture<Verdict>) {
        self.query_count += 1;
        let query = QueryId(self.query_count);
        let (sender, answer) = oneshot::channel();
        self.pending.insert(query, sender);
        let answer = Box::pin(async move { answer.await.unwrap_or(Verdict::Stopping) });
        (query, answer)
    }

    /// Passes an event to the owner and carries out its actions.
    fn handle_event(&mut self, event: OwnerEvent, context: &mut Context<Self>) {
        for action in self.owner.on(clock::clocks(), event) {
            match action {
                OwnerAction::Read(bucket) => self.read_bucket(bucket, context),
                OwnerAction::Write(bucket, revision, content) => {
                    self.write_bucket(bucket, revision, &content, context);
                }
                OwnerAction::Answer(query, verdict) => self.answer(query, verdict),
                OwnerAction::Wake(at) => self.schedule_wake(at, context),
                OwnerAction::InvariantBroken(rule) => log_event!(error, log_event::INVARIANT_BROKEN, rule),
            }
        }
        if self.owner.is_idle() {
            for waiter in self.stop_waiters.drain(..) {
                let _ = waiter.send(());
            }
        }
    }

    fn answer(&mut self, query: QueryId, verdict: Verdict) {
        self.shared.metrics.claims.count_verdict(&verdict);
        if let Some(sender) = self.pending.remove(&query) {
            // This fails if the entry instance has given up waiting; it then never sends the request upstream.
            let _ = sender.send(verdict);
        }
    }

    /// Schedules a tick at `at`, unless an earlier one is scheduled.
    fn schedule_wake(&mut self, at: Time, context: &mut Context<Self>) {
        if self.wake_at.is_some_and(|scheduled| scheduled <= at) {
            return;
        }
        self.wake_at = Some(at);
        let delay = at.since(clock::now());
        context.run_later(delay, move |actor, context| {
            if actor.wake_at == Some(at) {
                actor.wake_at = None;
                actor.handle_event(OwnerEvent::Tick, context);
            }
        });
    }

    fn read_bucket(&mut self, bucket: BucketId, context: &mut Context<Self>) {
        self.shared.metrics.claims.reads.inc();
        let kv = self.kv.clone();
        let read = async move { kv.get(&bucket.path()).await };
        context.spawn(read.into_actor(self).map(move |result, actor, context| {
            let event = match result {
                Ok(entry) => actor.on_entry(bucket, &entry),
                // A read changes nothing, even if it failed after it was sent.
                Err(error) => actor.on_failure(bucket, &error, false),
            };
            actor.handle_event(event, context);
        }));
    }

    fn write_bucket(
        &mut self,
        bucket: BucketId,
        revision: Revision,
        content: &Bucket,
        context: &mut Context<Self>,
    ) {
        self.shared.metrics.claims.writes.inc();
        let value = match postcard::to_allocvec(content) {
            Ok(value) => value,
            Err(error) => {
                log_event!(error, log_event::CLAIMS_UNREADABLE, %error, bucket = bucket.path());
                return;
            }
        };
        let kv = self.kv.clone();
        let lease = self.bucket_lease;
        let write = async move { swap_bucket(&kv, lease, bucket, revision, &value).await };
        context.spawn(write.into_actor(self).map(move |outcome, actor, context| {
            actor.bucket_lease = outcome.bucket_lease;
            let event = match outcome.result {
                Err(WriteError { error, maybe_written }) => actor.on_failure(bucket, &error, maybe_written),
                Ok(Swap::Done(version)) => {
                    actor.on_success();
                    OwnerEvent::Written(bucket, Revision(version.0))
                }
                Ok(Swap::Conflict(entry)) => {
                    actor.shared.metrics.claims.conflicts.inc();
                    actor.on_entry(bucket, &entry)
                }
            };
            actor.handle_event(event, context);
        }));
    }

    /// Converts the current content of a bucket to an event.
    fn on_entry(&mut self, bucket: BucketId, entry: &Entry) -> OwnerEvent {
        self.on_success();
        let Some(value) = &entry.value else {
            return OwnerEvent::Current(bucket, Revision::default(), Bucket::default());
        };
        match postcard::from_bytes(value) {
            Ok(content) => OwnerEvent::Current(bucket, Revision(entry.version.0), content),
            Err(error) => {
                log_event!(error, log_event::CLAIMS_UNREADABLE, %error, bucket = bucket.path());
                OwnerEvent::Failed {
                    bucket,
                    maybe_written: true,
                }
            }
        }
    }

    /// Records that the key-value service answered, and logs the recovery after a failure.
    fn on_success(&mut self) {
        if self.failing {
            log_event!(info, log_event::CLAIMS_BACK);
        }
        self.failing = false;
    }

    /// Records a failed call, logs the first one after a success, and returns the event for the owner.
    fn on_failure(&mut self, bucket: BucketId, error: &KvError, maybe_written: bool) -> OwnerEvent {
        if !self.failing {
            log_event!(warn, log_event::CLAIMS_OUT, %error, bucket = bucket.path());
        }
        self.failing = true;
        OwnerEvent::Failed {
            bucket,
            maybe_written,
        }
    }
}

/// The result of a write, and the lease that later writes can reuse.
struct WriteResult {
    bucket_lease: Option<BucketLease>,
    result: Result<Swap, WriteError>,
}

/// A write that failed.
struct WriteError {
    error: KvError,
    /// Whether the write may have taken effect, or may still take effect.
    maybe_written: bool,
}

/// Writes a bucket if it still has `revision`, bound to a lease that expires [`BUCKET_TTL`] after this write at the
/// earliest.
async fn swap_bucket(
    kv: &KvClient,
    lease: Option<BucketLease>,
    bucket: BucketId,
    revision: Revision,
    value: &[u8],
) -> WriteResult {
    let now = clock::now();
    let lease = match lease {
        Some(lease) if now.since(lease.requested_at) < LEASE_REUSE => lease,
        _ => match kv.grant(BUCKET_TTL + LEASE_REUSE).await {
            Ok(id) => BucketLease {
                id,
                requested_at: now,
            },
            // No write was sent, whether or not the lease was granted.
            Err(error) => {
                let maybe_written = false;
                let result = Err(WriteError { error, maybe_written });
                return WriteResult {
                    bucket_lease: None,
                    result,
                };
            }
        },
    };
    let expect = Expect::from(KvVersion(revision.0));
    let result = kv.swap(&bucket.path(), expect, value, Some(lease.id)).await;
    let expired = matches!(result, Err(KvError::LeaseLapsed));
    WriteResult {
        bucket_lease: (!expired).then_some(lease),
        result: result.map_err(|error| WriteError {
            maybe_written: error.is_ambiguous(),
            error,
        }),
    }
}

impl Actor for ClaimsActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.compare_clocks(context);
    }
}

impl Handler<RequestClaim> for ClaimsActor {
    type Result = ResponseFuture<Verdict>;

    fn handle(&mut self, RequestClaim(request): RequestClaim, context: &mut Context<Self>) -> Self::Result {
        let (query, answer) = self.new_query();
        self.handle_event(OwnerEvent::Claim(query, request), context);
        answer
    }
}

impl Handler<QueryClaim> for ClaimsActor {
    type Result = ResponseFuture<Verdict>;

    fn handle(&mut self, QueryClaim(claim): QueryClaim, context: &mut Context<Self>) -> Self::Result {
        let (query, answer) = self.new_query();
        self.handle_event(OwnerEvent::Query(query, claim), context);
        answer
    }
}

impl Handler<EditClaim> for ClaimsActor {
    type Result = ();

    fn handle(&mut self, EditClaim(bucket, edit): EditClaim, context: &mut Context<Self>) {
        self.handle_event(OwnerEvent::Edit(bucket, edit), context);
    }
}

/// Refuses new claims and finishes the pending writes; answered when nothing is left to write.
impl Handler<Shutdown> for ClaimsActor {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Shutdown, context: &mut Context<Self>) -> Self::Result {
        let (sender, stopped) = oneshot::channel();
        self.stop_waiters.push(sender);
        self.handle_event(OwnerEvent::Stop, context);
        Box::pin(async move {
            let _ = stopped.await;
        })
    }
}

impl Handler<ShowClaims> for ClaimsActor {
    type Result = actix::MessageResult<ShowClaims>;

    fn handle(&mut self, _: ShowClaims, _: &mut Context<Self>) -> Self::Result {
        let mut rows = Vec::new();
        for (bucket, content) in self.owner.buckets() {
            for (_, record) in content.iter() {
                let state = match &record.state {
                    State::Granted { .. } => "granted",
                    State::Finished { answer: Some(_) } => "finished, answer kept",
                    State::Finished { answer: None } => "finished",
                    State::Unknown => "unknown",
                };
                rows.push(vec![
                    bucket.shard.to_string(),
                    bucket.slot.to_string(),
                    record.token.0.to_string(),
                    state.to_string(),
                ]);
            }
        }
        rows.reverse();
        rows.truncate(MAX_ROWS);
        actix::MessageResult(TableBody {
            columns: ["shard", "slot", "request", "state"].map(String::from).to_vec(),
            rows,
        })
    }
}
