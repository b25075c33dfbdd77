//! Calls that may not be repeated: each is claimed first, then sent at most once.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_caller::ForwardCall;
use sequoiastream_caller::ForwardReply;
use sequoiastream_caller::NotRun;
use sequoiastream_caller::Refusal;
use sequoiastream_caller::RequestState;
use sequoiastream_caller::StatusCall;
use sequoiastream_caller::Unsent;
use sequoiastream_core::claims::Change;
use sequoiastream_core::claims::ClaimRef;
use sequoiastream_core::claims::ClaimStatus;
use sequoiastream_core::claims::ClaimToken;
use sequoiastream_core::claims::Edit;
use sequoiastream_core::claims::EntryClaim;
use sequoiastream_core::claims::EntryEvent;
use sequoiastream_core::claims::EntryStep;
use sequoiastream_core::claims::Fingerprint;
use sequoiastream_core::claims::Grant;
use sequoiastream_core::claims::IdempotencyKey;
use sequoiastream_core::claims::KeyError;
use sequoiastream_core::claims::Refused;
use sequoiastream_core::claims::StoredAnswer;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::log_event;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Reason;
use sequoiastream_core::time::Time;
use sequoiastream_upstream::PlainCall;
use sequoiastream_upstream::PlainReply;
use sequoiastream_upstream::UpstreamError;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::log_event;
use crate::ops::dispatch::Dispatch;
use crate::ops::dispatch::plain::Upstream;
use crate::ops::dispatch::plain::forward_reply;
use crate::util::clock;

/// How long after the caller's deadline the service's answer is still awaited, so that a repeated call can be given it.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(60);

/// Maximum time for which a caller waits until the outcome of its call has been reported to the claim's owner.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry delay given to the caller if no upstream can take the call, and the maximum delay if the request is running.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Minimum retry delay given to the caller if the request is running.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call that is being claimed or sent.
struct ClaimedCall {
    dispatch: Dispatch,
    claim: ClaimRef,
    token: ClaimToken,
    deadline: Time,
    /// Instances that were asked for the claim. Each of them may store it, possibly with a delay.
    asked_owners: Vec<Name>,
}

/// Why a call's idempotency key can't be used.
#[derive(Debug, Clone, Copy)]
pub(super) enum InvalidKey {
    /// The call has no key.
    Missing,
    /// The key is rejected.
    Rejected(KeyError),
}

impl InvalidKey {
    /// Refuses the call for this reason.
    pub(super) fn refuse(self, unsent: Unsent) -> Refusal {
        let (reason, message) = match self {
            InvalidKey::Missing => (
                Reason::BadRequest,
                "this call may not be repeated: it needs the header `idempotency-key` with a UUIDv7"
                    .to_string(),
            ),
            InvalidKey::Rejected(error) => (rejection_reason(error), error.to_string()),
        };
        Refusal::not_run(unsent.refuse(reason), message)
    }
}

fn rejection_reason(error: KeyError) -> Reason {
    match error {
        KeyError::Malformed | KeyError::Future => Reason::BadRequest,
        KeyError::Old => Reason::KeyExpired,
        KeyError::ClockStepped => {
            log_event!(error, log_event::CLOCK_STEPPED);
            Reason::ClockStepped
        }
    }
}

/// Checks the idempotency key of a call.
///
/// # Errors
///
/// [`InvalidKey`] if there is no key, or it can't be used.
pub(super) fn check_key(dispatch: &Dispatch, key: Option<&str>) -> Result<IdempotencyKey, InvalidKey> {
    let key = key.ok_or(InvalidKey::Missing)?;
    let key: IdempotencyKey = key.parse().map_err(InvalidKey::Rejected)?;
    if !dispatch.shared.clock_watch().is_trusted() {
        return Err(InvalidKey::Rejected(KeyError::ClockStepped));
    }
    let checked = dispatch.shared.key_ages.check(&key, clock::clocks());
    checked.map(|()| key).map_err(InvalidKey::Rejected)
}

/// Claims the call's idempotency key and sends the call at most once.
pub(super) async fn run(
    dispatch: &Dispatch,
    service: &Name,
    call: ForwardCall,
    plain: PlainCall,
    deadline: Time,
) -> Result<ForwardReply, Refusal> {
    let key = match check_key(dispatch, call.idempotency_key.as_deref()) {
        Ok(key) => key,
        Err(invalid) => return Err(invalid.refuse(call.unsent)),
    };
    let mut claimed = ClaimedCall {
        dispatch: dispatch.clone(),
        claim: ClaimRef::new(&call.product, service, &key),
        token: ClaimToken(Uuid::new_v4()),
        deadline,
        asked_owners: Vec::new(),
    };
    let fingerprint = Fingerprint::new(&call.method, &call.path, &call.body);
    match claimed.claim(call.unsent, fingerprint).await {
        EntryStep::Granted(grant) => claimed.send(service, grant, plain).await,
        EntryStep::Held(status) => held_reply(status),
        EntryStep::Refused(unsent, refused, after) => {
            if !matches!(refused, Refused::Mismatch) {
                claimed.release();
            }
            let proof = unsent.refuse(refused.reason());
            let proof = after.map_or(proof, |after| proof.with_retry_after(after));
            Err(claim_refusal(proof, refused))
        }
        EntryStep::Ask(..) => Err(Refusal::unknown("the claim was lost")),
    }
}

impl ClaimedCall {
    /// Asks the owners in order until one decides on the claim.
    async fn claim(&mut self, unsent: Unsent, fingerprint: Fingerprint) -> EntryStep<Unsent> {
        let owners = self.dispatch.ranked_owners(self.claim.bucket.shard);
        let now = clock::now();
        let entry = EntryClaim::new(
            unsent,
            self.claim,
            self.token,
            fingerprint,
            owners,
            now,
            self.deadline,
        );
        let mut step = entry.begin(clock::clocks());
        while let EntryStep::Ask(entry, owner, request) = step {
            self.asked_owners.push(owner.clone());
            let event = self.dispatch.request_claim(&owner, request).await;
            if matches!(event, EntryEvent::NoAnswer) {
                log_event!(warn, log_event::OWNER_SILENT, %owner, shard = self.claim.bucket.shard);
            }
            step = entry.on(clock::clocks(), event);
        }
        step
    }

    /// Sends the call once, in its own task. The task continues if the caller disconnects or its deadline passes, so
    /// that the outcome can still be reported.
    async fn send(
        self,
        service: &Name,
        grant: Grant<Unsent>,
        plain: PlainCall,
    ) -> Result<ForwardReply, Refusal> {
        let Some(target) = self.dispatch.pick_upstream(service, &[]) else {
            self.release();
            let proof = grant
                .into_proof()
                .refuse(Reason::NoEngine)
                .with_retry_after(RETRY_AFTER);
            return Err(Refusal::not_run(proof, "no upstream can take work now"));
        };
        let left = self.deadline.since(clock::now());
        let (sender, answer) = oneshot::channel();
        let running = self.dispatch.shared.begin_work();
        actix::spawn(async move {
            let _running = running;
            let result = self
                .attempt(&target, grant, &plain, left + LATE_ANSWER_WAIT)
                .await;
            self.dispatch.shared.router().release(&target.name);
            // Fails if the caller has disconnected; then the answer is not needed.
            let _ = sender.send(result);
        });
        match tokio::time::timeout(left, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Refusal::unknown("the answer was lost")),
            Err(_) => Err(Refusal::unknown(
                "the service gave no answer in time: ask for the request's status by its key",
            )),
        }
    }

    async fn attempt(
        &self,
        target: &Upstream,
        grant: Grant<Unsent>,
        plain: &PlainCall,
        limit: Duration,
    ) -> Result<ForwardReply, Refusal> {
        let sent = grant.into_proof().send();
        match self
            .dispatch
            .plain_client
            .send_once(target.address, plain, limit)
            .await
        {
            Ok(reply) => {
                self.report(Change::Finish(stored_answer(&reply))).await;
                Ok(forward_reply(reply))
            }
            Err(error) if error.is_not_started() => {
                self.report(Change::Release).await;
                Err(Refusal::not_run(sent.upstream_refused(), error.to_string()))
            }
            Err(error) => {
                self.log_unknown(target.address, &error);
                self.report(Change::Unknown).await;
                let _ran = sent.lost();
                Err(Refusal::unknown(error.to_string()))
            }
        }
    }

    fn log_unknown(&self, address: SocketAddr, error: &UpstreamError) {
        log_event!(warn, log_event::CLAIM_UNKNOWN, %address, %error, request = %self.token.0);
    }

    fn release(&self) {
        // The caller gets its refusal without waiting for the owner.
        let _task = self.spawn_report(Change::Release);
    }

    /// Reports the outcome of the call to the owner before the caller gets its answer.
    ///
    /// Failure guarded against: a caller that has its answer repeats the call and is told that it is still running,
    /// since the owner doesn't know the outcome yet. An owner that doesn't answer delays the caller by at most
    /// [`REPORT_TIMEOUT`]; the report continues after that.
    async fn report(&self, change: Change) {
        let _ = tokio::time::timeout(REPORT_TIMEOUT, self.spawn_report(change)).await;
    }

    fn spawn_report(&self, change: Change) -> JoinHandle<()> {
        let dispatch = self.dispatch.clone();
        let bucket = self.claim.bucket;
        let edit = Edit {
            id: self.claim.id,
            token: self.token,
            change,
        };
        let asked_owners = match edit.change {
            Change::Release => self.asked_owners.clone(),
            Change::Finish(_) | Change::Unknown => Vec::new(),
        };
        // A shutdown waits until the report has ended.
        let running = dispatch.shared.begin_work();
        actix::spawn(async move {
            let accepted_by = dispatch.send_edit(bucket, &edit).await;
            let others = asked_owners
                .into_iter()
                .filter(|name| Some(name) != accepted_by.as_ref());
            for owner in others {
                let (dispatch, edit) = (dispatch.clone(), edit.clone());
                actix::spawn(async move { dispatch.retry_edit(&owner, bucket, &edit).await });
            }
            drop(running);
        })
    }
}

fn stored_answer(reply: &PlainReply) -> Option<StoredAnswer> {
    let stored = StoredAnswer {
        status: reply.status,
        content: reply.content.clone(),
        body: reply.body.to_vec(),
    };
    stored.is_small().then_some(stored)
}

fn held_reply(status: ClaimStatus) -> Result<ForwardReply, Refusal> {
    match status {
        ClaimStatus::Finished(Some(stored)) => Ok(ForwardReply {
            status: stored.status,
            content_type: stored.content,
            body: stored.body.into(),
        }),
        ClaimStatus::Finished(None) => Err(Refusal::unknown(
            "the request with this key has run; its answer was too large to be stored",
        )),
        ClaimStatus::Running(left) => Err(Refusal::key_running(left.clamp(MIN_RETRY_AFTER, RETRY_AFTER))),
        ClaimStatus::Unknown => Err(Refusal::unknown(
            "a request with this key was sent to the service, and it is not known whether it ran",
        )),
    }
}

fn claim_refusal(proof: NotRun, refused: Refused) -> Refusal {
    let message = match refused {
        Refused::Unavailable => {
            "the key-value service is unreachable, so this request can't be claimed and was not sent; \
             an earlier one with the same key may have been"
        }
        Refused::TooLate => "too little time is left for the request",
        Refused::ClockSkew => "the clocks of the instances differ too much to determine the key's age",
        Refused::Full => "too many requests have idempotency keys from the same period",
        Refused::Mismatch => "the idempotency key was used for another request",
    };
    log_event!(info, log_event::CLAIM_REFUSED, message);
    Refusal::not_run(proof, message)
}

/// Looks up the state of a request to the named service, or to any plain service if none is named.
pub(super) async fn status(dispatch: &Dispatch, call: StatusCall) -> Result<RequestState, Refusal> {
    let Ok(key) = call.idempotency_key.parse::<IdempotencyKey>() else {
        return Err(InvalidKey::Rejected(KeyError::Malformed).refuse(call.unsent));
    };
    let product = &call.product;
    let service = call.service.as_deref();
    if dispatch.shared.key_ages.check(&key, clock::clocks()) == Err(KeyError::Old) {
        return Ok(RequestState::Expired);
    }
    for name in plain_services(dispatch, service) {
        let verdict = dispatch.query_claim(ClaimRef::new(product, &name, &key)).await;
        match verdict {
            Verdict::Unclaimed => {}
            Verdict::Held(ClaimStatus::Running(_)) => return Ok(RequestState::Running),
            Verdict::Held(ClaimStatus::Unknown) => return Ok(RequestState::Unknown),
            Verdict::Held(ClaimStatus::Finished(stored)) => {
                return Ok(RequestState::Finished(stored.map(|s| ForwardReply {
                    status: s.status,
                    content_type: s.content,
                    body: s.body.into(),
                })));
            }
            _ => return Ok(RequestState::Unreachable),
        }
    }
    Ok(RequestState::NeverSeen)
}

fn plain_services(dispatch: &Dispatch, only: Option<&str>) -> Vec<Name> {
    let snapshot = dispatch.shared.snapshot.load();
    let plain = snapshot
        .services
        .iter()
        .filter(|(_, s)| matches!(s.kind, ServiceKind::Plain { .. }));
    let wanted = plain.filter(|(_, s)| only.is_none_or(|only| s.name.as_str() == only));
    wanted.map(|(_, s)| s.name.clone()).collect()
}
