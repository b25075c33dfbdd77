//! State machine of the instance that received a non-idempotent request.

use std::time::Duration;

use crate::claims::ClaimRef;
use crate::claims::ClaimRequest;
use crate::claims::ClaimStatus;
use crate::claims::ClaimToken;
use crate::claims::Clocks;
use crate::claims::Fingerprint;
use crate::claims::Verdict;
use crate::name::Name;
use crate::outcome::Reason;
use crate::time::Time;

/// Maximum time to wait for a claim. Long enough for a key-value service that is slow or whose answer was lost; not
/// for one that is unavailable.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// Minimum time that must be left for the call itself; with less, the request is not claimed.
const MIN_RUN: Duration = Duration::from_millis(100);

/// Retry delay for a refusal that gives no delay of its own.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Number of owners that must report the key-value service as unavailable before the claim is refused.
const MAX_UNAVAILABLE: u32 = 3;

/// The right to send a request once, with the proof `P` that it was not sent yet.
///
/// Created only by [`EntryClaim`], from a granted claim. In the daemon `P` is not `Clone`, so one grant can lead
/// neither to two sends nor to the answer `not-run` after a send.
#[derive(Debug)]
pub struct Grant<P> {
    proof: P,
}

impl<P> Grant<P> {
    /// Returns the proof, which is consumed by sending or refusing the request.
    pub fn into_proof(self) -> P {
        self.proof
    }
}

/// Why a claim was not granted although no other request holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The key-value service is unavailable.
    Unavailable,
    /// Too little time is left before the deadline.
    TooLate,
    /// The wall clocks of the instances differ too much.
    ClockSkew,
    /// The bucket is full.
    Full,
    /// The key was already used for a different request.
    Mismatch,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEvent {
    /// The owner answered.
    Answered(Verdict),
    /// The owner was unreachable or timed out. It may still write the claim.
    NoAnswer,
}

/// The next step, to be carried out by the caller of the state machine.
#[derive(Debug)]
pub enum EntryStep<P> {
    /// Send the claim request to this owner, and pass the result to the state machine.
    Ask(Box<EntryClaim<P>>, Name, ClaimRequest),
    /// The request may be sent, once.
    Granted(Grant<P>),
    /// Another request holds the claim.
    Held(ClaimStatus),
    /// The request is not sent. The duration is the retry delay, if a retry makes sense.
    Refused(P, Refused, Option<Duration>),
}

/// State machine of one claim. It carries the proof `P` that the request was not sent; each event consumes the
/// machine, so that a claim can be granted or refused only once.
#[derive(Debug)]
pub struct EntryClaim<P> {
    claim: ClaimRef,
    token: ClaimToken,
    fingerprint: Fingerprint,
    owners: std::vec::IntoIter<Name>,
    wait_until: Time,
    deadline: Time,
    unavailable_count: u32,
    proof: P,
}

impl<P> EntryClaim<P> {
    /// Prepares a claim for a request that must end by `deadline`. `owners` are tried in order.
    pub fn new(
        proof: P,
        claim: ClaimRef,
        token: ClaimToken,
        fingerprint: Fingerprint,
        owners: Vec<Name>,
        now: Time,
        deadline: Time,
    ) -> EntryClaim<P> {
        EntryClaim {
            claim,
            token,
            fingerprint,
            owners: owners.into_iter(),
            wait_until: (now + MAX_WAIT).min(deadline - MIN_RUN),
            deadline,
            unavailable_count: 0,
            proof,
        }
    }

    /// Returns the first step.
    pub fn begin(self, now: Clocks) -> EntryStep<P> {
        self.next(now, RETRY_AFTER)
    }

    /// Handles an event and returns the next step.
    pub fn on(self, now: Clocks, event: EntryEvent) -> EntryStep<P> {
        match event {
            EntryEvent::NoAnswer => self.next(now, RETRY_AFTER),
            EntryEvent::Answered(verdict) => self.on_verdict(now, verdict),
        }
    }

    fn on_verdict(mut self, now: Clocks, verdict: Verdict) -> EntryStep<P> {
        match verdict {
            Verdict::Granted => self.on_granted(now),
            Verdict::Held(status) => EntryStep::Held(status),
            Verdict::Mismatch => self.refuse(Refused::Mismatch, None),
            Verdict::ClockSkew => self.refuse(Refused::ClockSkew, None),
            Verdict::Full => self.refuse(Refused::Full, Some(RETRY_AFTER)),
            Verdict::Stopping | Verdict::Unclaimed => self.next(now, RETRY_AFTER),
            Verdict::Unavailable(after) => {
                self.unavailable_count += 1;
                match self.unavailable_count < MAX_UNAVAILABLE {
                    true => self.next(now, after),
                    false => self.refuse(Refused::Unavailable, Some(after)),
                }
            }
        }
    }

    /// Failure guarded against: a process that was paused after it sent the claim request resumes long after the
    /// deadline, when its claim may no longer be stored, and sends. The claim was requested within the deadline, so
    /// a grant that is used within the deadline is stored for at least as long as its key is accepted.
    fn on_granted(self, now: Clocks) -> EntryStep<P> {
        if now.time + MIN_RUN > self.deadline {
            return self.refuse(Refused::TooLate, None);
        }
        EntryStep::Granted(Grant { proof: self.proof })
    }

    fn next(mut self, now: Clocks, after: Duration) -> EntryStep<P> {
        if now.time >= self.wait_until {
            return self.refuse(Refused::Unavailable, Some(after));
        }
        match self.owners.next() {
            Some(owner) => {
                let request = self.request(now, !self.owners.as_slice().is_empty());
                EntryStep::Ask(Box::new(self), owner, request)
            }
            None => self.refuse(Refused::Unavailable, Some(after)),
        }
    }

    /// Failure guarded against: an owner that alone can't reach the key-value service uses up the whole wait, and
    /// the requests of its shards fail although other instances could claim for them. So each owner but the last
    /// gets half of the remaining wait.
    fn request(&self, now: Clocks, others: bool) -> ClaimRequest {
        let left = self.wait_until.since(now.time);
        ClaimRequest {
            claim: self.claim,
            token: self.token,
            fingerprint: self.fingerprint,
            wall: now.wall,
            wait: if others { left / 2 } else { left },
            run: self.deadline.since(self.wait_until),
        }
    }

    fn refuse(self, refused: Refused, after: Option<Duration>) -> EntryStep<P> {
        EntryStep::Refused(self.proof, refused, after)
    }
}

impl Refused {
    /// Returns the reason that is reported to the caller.
    pub fn reason(self) -> Reason {
        match self {
            Refused::Unavailable | Refused::Full => Reason::PlatformOut,
            Refused::TooLate => Reason::TooLate,
            Refused::ClockSkew => Reason::ClockStepped,
            Refused::Mismatch => Reason::KeyReused,
        }
    }
}
