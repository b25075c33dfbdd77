//! Owner of claims: writes the buckets of its shards to the key-value service.

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

/// How long one lease serves for the buckets that are written.
const LEASE_REUSE: Duration = Duration::from_secs(600);

/// How often clocks are compared with another instance.
const CLOCK_INTERVAL: Duration = Duration::from_secs(1);

/// How long another instance may take to say its time; far below the difference that counts.
const CLOCK_TIMEOUT: Duration = Duration::from_secs(1);

/// Most claims that a table shows.
const MAX_ROWS: usize = 500;

/// Asks for a claim.
#[derive(Debug)]
pub struct RequestClaim(pub ClaimRequest);

impl Message for RequestClaim {
    type Result = Verdict;
}

/// Asks what is known of a claim.
#[derive(Debug)]
pub struct QueryClaim(pub ClaimRef);

impl Message for QueryClaim {
    type Result = Verdict;
}

/// Tells what became of a claim.
#[derive(Debug)]
pub struct EditClaim(pub BucketId, pub Edit);

impl Message for EditClaim {
    type Result = ();
}

/// Asks for the table of the claims that this instance holds.
#[derive(Debug)]
pub struct ShowClaims;

impl Message for ShowClaims {
    type Result = TableBody;
}

/// Lease that removes buckets once they are old.
///
/// Failure guarded against: a bucket goes while its keys are still accepted, and a repeat runs twice. The
/// lease is never renewed nor released, not even at shutdown: only its time ends it.
#[derive(Debug, Clone, Copy)]
struct BucketLease {
    id: LeaseId,
    requested_at: Time,
}

/// Owner of claims.
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
    /// An owner that knows no bucket.
    pub fn new(shared: Arc<Shared>, kv: KvClient, calls: CallClient) -> ClaimsActor {
        let owner = Owner::new(shared.settings.grouping);
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
            call_client: calls,
            last_compared: None,
        }
    }

    /// Compares clocks with one other instance, and again after a while.
    fn compare_clocks(&mut self, context: &mut Context<Self>) {
        let roster = self.shared.roster();
        let peers: Vec<Name> = roster.peers.iter().map(|p| p.name.clone()).collect();
        let next = {
            let mut watch = self.shared.clocks();
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
            let calls = self.call_client.clone();
            let ask = async move { calls.call(address, &Request::Clock, CLOCK_TIMEOUT).await };
            context.spawn(ask.into_actor(self).map(move |answer, actor, _| {
                if let Ok(Response::Clock(theirs)) = answer {
                    actor.shared.clocks().on_time(&name, clock::wall(), theirs);
                }
            }));
        }
        context.run_later(CLOCK_INTERVAL, |actor, context| actor.compare_clocks(context));
    }

    fn new_query(&mut self) -> (QueryId, ResponseFuture<Verdict>) {
        self.query_count += 1;
        let ticket = QueryId(self.query_count);
        let (sender, answer) = oneshot::channel();
        self.pending.insert(ticket, sender);
        let answer = Box::pin(async move { answer.await.unwrap_or(Verdict::Stopping) });
        (ticket, answer)
    }

    fn handle_event(&mut self, event: OwnerEvent, context: &mut Context<Self>) {
        for action in self.owner.on(clock::both(), event) {
            match action {
                OwnerAction::Read(bucket) => self.read_bucket(bucket, context),
                OwnerAction::Write(bucket, revision, content) => {
                    self.write_bucket(bucket, revision, &content, context);
                }
                OwnerAction::Answer(ticket, verdict) => self.answer(ticket, verdict),
                OwnerAction::Wake(at) => self.schedule_wake(at, context),
                OwnerAction::InvariantBroken(rule) => log_event!(error, log_event::INVARIANT_BROKEN, rule),
            }
        }
        if self.owner.is_idle() {
            for waiting in self.stop_waiters.drain(..) {
                let _ = waiting.send(());
            }
        }
    }

    fn answer(&mut self, ticket: QueryId, verdict: Verdict) {
        self.shared.metrics.claims.count(&verdict);
        if let Some(sender) = self.pending.remove(&ticket) {
            // The entry may have given up; then it never sends.
            let _ = sender.send(verdict);
        }
    }

    fn schedule_wake(&mut self, at: Time, context: &mut Context<Self>) {
        if self.wake_at.is_some_and(|wake| wake <= at) {
            return;
        }
        self.wake_at = Some(at);
        let pause = at.since(clock::now());
        context.run_later(pause, move |actor, context| {
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
                // Reading changes nothing, whatever became of it.
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
        let keep = self.bucket_lease;
        let write = async move { swap_bucket(&kv, keep, bucket, revision, &value).await };
        context.spawn(write.into_actor(self).map(move |written, actor, context| {
            actor.bucket_lease = written.bucket_lease;
            let event = match written.result {
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

    fn on_success(&mut self) {
        if self.failing {
            log_event!(info, log_event::CLAIMS_BACK);
        }
        self.failing = false;
    }

    fn on_failure(&mut self, bucket: BucketId, error: &KvError, unsure: bool) -> OwnerEvent {
        if !self.failing {
            log_event!(warn, log_event::CLAIMS_OUT, %error, bucket = bucket.path());
        }
        self.failing = true;
        OwnerEvent::Failed {
            bucket,
            maybe_written: unsure,
        }
    }
}

/// How a write ended.
struct WriteResult {
    bucket_lease: Option<BucketLease>,
    result: Result<Swap, WriteError>,
}

/// A write that failed.
struct WriteError {
    error: KvError,
    /// Whether it may have taken effect, or may yet.
    maybe_written: bool,
}

/// Swaps a bucket in, bound to a lease that lapses [`BUCKET_TTL`] after this write at the earliest.
async fn swap_bucket(
    kv: &KvClient,
    keep: Option<BucketLease>,
    bucket: BucketId,
    revision: Revision,
    value: &[u8],
) -> WriteResult {
    let now = clock::now();
    let keep = match keep {
        Some(keep) if now.since(keep.requested_at) < LEASE_REUSE => keep,
        _ => match kv.grant(BUCKET_TTL + LEASE_REUSE).await {
            Ok(lease) => BucketLease {
                id: lease,
                requested_at: now,
            },
            // No write was begun, whatever became of the lease.
            Err(error) => {
                let unsure = false;
                let result = Err(WriteError {
                    error,
                    maybe_written: unsure,
                });
                return WriteResult {
                    bucket_lease: None,
                    result,
                };
            }
        },
    };
    let expect = Expect::from(KvVersion(revision.0));
    let result = kv.swap(&bucket.path(), expect, value, Some(keep.id)).await;
    let lapsed = matches!(result, Err(KvError::LeaseLapsed));
    WriteResult {
        bucket_lease: (!lapsed).then_some(keep),
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

    fn handle(&mut self, RequestClaim(ask): RequestClaim, context: &mut Context<Self>) -> Self::Result {
        let (ticket, answer) = self.new_query();
        self.handle_event(OwnerEvent::Claim(ticket, ask), context);
        answer
    }
}

impl Handler<QueryClaim> for ClaimsActor {
    type Result = ResponseFuture<Verdict>;

    fn handle(&mut self, QueryClaim(claim): QueryClaim, context: &mut Context<Self>) -> Self::Result {
        let (ticket, answer) = self.new_query();
        self.handle_event(OwnerEvent::Query(ticket, claim), context);
        answer
    }
}

impl Handler<EditClaim> for ClaimsActor {
    type Result = ();

    fn handle(&mut self, EditClaim(bucket, edit): EditClaim, context: &mut Context<Self>) {
        self.handle_event(OwnerEvent::Edit(bucket, edit), context);
    }
}

/// Writes what is pending and refuses new claims; answered once nothing is left to write.
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
