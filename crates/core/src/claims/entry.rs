//! The machine of the instance at which a caller asked for something that may not be repeated.

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

/// Longest wait for a claim. A key-value service that is slow, or whose answer got lost, is waited for; one
/// that is out is not.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// Least time that must be left for the call itself, or it is not worth claiming.
const MIN_RUN: Duration = Duration::from_millis(100);

/// When to come back after a refusal that names no time.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Owners that may say that they can't reach the key-value service before they are believed.
const MAX_UNAVAILABLE: u32 = 3;

/// The right to send a request once, with the proof `P` that it was not sent yet.
///
/// Made only by [`EntryClaim`], out of a granted claim. `P` is no `Clone` in the daemon, so that one grant can't
/// lead to two sends, nor to a `not-run` after a send.
#[derive(Debug)]
pub struct Grant<P> {
    proof: P,
}

impl<P> Grant<P> {
    /// The proof, to be used up by sending or refusing.
    pub fn into_proof(self) -> P {
        self.proof
    }
}

/// Why a claim was not granted, though no other request holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The key-value service is out of reach.
    Unavailable,
    /// Too little time is left.
    TooLate,
    /// The clocks of the instances differ too much.
    ClockSkew,
    /// The bucket is full.
    Full,
    /// The key was used for another request.
    Mismatch,
}

/// What happens to a claim on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEvent {
    /// The asked owner answered.
    Answered(Verdict),
    /// The asked owner could not be reached, or showed no sign of life. It may still write the claim.
    NoAnswer,
}

/// What to do next.
#[derive(Debug)]
pub enum EntryStep<P> {
    /// Ask this owner, and give what comes of it to the machine.
    Ask(Box<EntryClaim<P>>, Name, ClaimRequest),
    /// The request may be sent, once.
    Granted(Grant<P>),
    /// Another request holds the claim.
    Held(ClaimStatus),
    /// The request is not sent. Come back after this time, if it makes sense.
    Refused(P, Refused, Option<Duration>),
}

/// One request's way to a grant. It carries the proof `P` that the request was not sent; each event consumes it,
/// so that nothing is left to grant or refuse once more.
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
    /// Prepares to claim for a request that must end by `deadline`. `owners` are asked in turn.
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

    /// The first step.
    pub fn begin(self, now: Clocks) -> EntryStep<P> {
        self.next(now, RETRY_AFTER)
    }

    /// Takes an event.
    pub fn on(self, now: Clocks, event: EntryEvent) -> EntryStep<P> {
        match event {
            EntryEvent::NoAnswer => self.next(now, RETRY_AFTER),
            EntryEvent::Answered(verdict) => self.on_verdict(now, verdict),
        }
    }

    fn on_verdict(mut self, now: Clocks, verdict: Verdict) -> EntryStep<P> {
        match verdict {
            Verdict::Granted => self.on_granted(now),
            Verdict::Held(seen) => EntryStep::Held(seen),
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

    /// Failure guarded against: a process that was paused after it asked sends long after its deadline, when
    /// its claim may no longer be kept. The claim was asked for within the deadline, so one that is used
    /// within it stands for at least as long as its key is accepted.
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
                let ask = self.ask(now, !self.owners.as_slice().is_empty());
                EntryStep::Ask(Box::new(self), owner, ask)
            }
            None => self.refuse(Refused::Unavailable, Some(after)),
        }
    }

    /// Failure guarded against: an owner that alone can't reach the key-value service uses up the whole wait, and
    /// orders of its shards fail while others could claim for them. So each owner gets half of what is left.
    fn ask(&self, now: Clocks, others: bool) -> ClaimRequest {
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
    /// The reason that the caller is told.
    pub fn reason(self) -> Reason {
        match self {
            Refused::Unavailable | Refused::Full => Reason::PlatformOut,
            Refused::TooLate => Reason::TooLate,
            Refused::ClockSkew => Reason::ClockStepped,
            Refused::Mismatch => Reason::KeyReused,
        }
    }
}
