//! State of one bucket at its owner.

use std::collections::VecDeque;
use std::time::Duration;

use crate::claims::Bucket;
use crate::claims::BucketId;
use crate::claims::Change;
use crate::claims::ClaimId;
use crate::claims::ClaimRequest;
use crate::claims::ClaimStatus;
use crate::claims::Clocks;
use crate::claims::Edit;
use crate::claims::MAX_BUCKET;
use crate::claims::OwnerAction;
use crate::claims::OwnerSettings;
use crate::claims::QueryId;
use crate::claims::Record;
use crate::claims::Revision;
use crate::claims::State;
use crate::claims::Verdict;
use crate::claims::window::millis;
use crate::invariant::check;
use crate::time::Time;
use crate::time::WallTime;

/// Maximum age of the last view of an unfinished claim for it to be reported.
const MAX_VIEW_AGE: Duration = Duration::from_secs(1);

/// How long a query waits for its answer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a release is remembered after it was received: a write that was sent before it may take effect some
/// seconds later.
const RELEASE_RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of remembered releases; beyond it the oldest are dropped, and their claims end at their deadlines.
const MAX_RELEASES: usize = 64;

/// What is known of the key-value entry.
#[derive(Debug)]
enum View {
    /// Nothing is known yet. Most buckets are new, so the first write expects an absent entry.
    Unread,
    /// A write may have taken effect; only a read can tell.
    Uncertain,
    /// The entry had this content.
    Known(Snapshot),
}

#[derive(Debug)]
struct Snapshot {
    revision: Revision,
    bucket: Bucket,
    seen_at: Time,
}

#[derive(Debug)]
enum Call {
    Read,
    Write {
        /// Content that is being written.
        bucket: Bucket,
        /// Number of pending edits that it includes.
        edits: usize,
    },
}

#[derive(Debug)]
struct PendingClaim {
    query_id: QueryId,
    request: ClaimRequest,
    until: Time,
}

#[derive(Debug)]
struct PendingQuery {
    query_id: QueryId,
    claim: ClaimId,
    until: Time,
}

#[derive(Debug)]
pub(super) struct OwnedBucket {
    view: View,
    call: Option<Call>,
    claims: Vec<PendingClaim>,
    queries: Vec<PendingQuery>,
    edits: Vec<Edit>,
    /// Releases received recently, with their times.
    released: VecDeque<(Time, Edit)>,
    edited_at: Time,
    last_write: Option<Time>,
    paused_until: Time,
    used_at: Time,
}

impl OwnedBucket {
    pub(super) fn new(now: Time) -> OwnedBucket {
        OwnedBucket {
            view: View::Unread,
            call: None,
            claims: Vec::new(),
            queries: Vec::new(),
            edits: Vec::new(),
            released: VecDeque::new(),
            edited_at: now,
            last_write: None,
            paused_until: Time::ZERO,
            used_at: now,
        }
    }

    pub(super) fn used_at(&self) -> Time {
        self.used_at
    }

    pub(super) fn is_idle(&self) -> bool {
        self.call.is_none() && self.claims.is_empty() && self.queries.is_empty() && self.edits.is_empty()
    }

    pub(super) fn known(&self) -> Option<&Bucket> {
        match &self.view {
            View::Known(snapshot) => Some(&snapshot.bucket),
            View::Unread | View::Uncertain => None,
        }
    }

    /// Returns the verdict on `request` if the stored claim is in a final state, however old the view is.
    pub(super) fn final_verdict(&self, request: &ClaimRequest, wall: WallTime) -> Option<Verdict> {
        let record = self.known()?.get(&request.claim.id)?;
        decide(record, request, &self.edits, wall, false)
    }

    /// Returns the status of the stored claim if that is final, however old the view is.
    pub(super) fn final_status(&self, id: ClaimId, wall: WallTime) -> Option<Verdict> {
        status_of(self.known()?.get(&id)?, id, &self.edits, wall, false)
    }

    pub(super) fn claim(&mut self, query_id: QueryId, request: ClaimRequest, now: Time) {
        let until = now + request.wait;
        self.used_at = now;
        self.claims.push(PendingClaim {
            query_id,
            request,
            until,
        });
    }

    pub(super) fn query(&mut self, query_id: QueryId, id: ClaimId, now: Time) {
        let until = now + QUERY_TIMEOUT;
        self.used_at = now;
        self.queries.push(PendingQuery {
            query_id,
            claim: id,
            until,
        });
    }

    pub(super) fn edit(&mut self, edit: Edit, now: Time) {
        if self.edits.is_empty() {
            self.edited_at = now;
        }
        if edit.change == Change::Release {
            self.released.push_back((now, edit.clone()));
            if self.released.len() > MAX_RELEASES {
                self.released.pop_front();
            }
        }
        self.edits.push(edit);
    }

    /// Failure guarded against: a release finds no claim to free, because the write of its claim is still in flight,
    /// and is forgotten; the write then takes effect, and the key is reported as running until its deadline,
    /// although its caller was told that nothing runs. A claim holds the token of one attempt, so a release never
    /// frees the claim of another attempt.
    fn release_again(&mut self, now: Time) {
        self.released.retain(|(at, _)| now.since(*at) < RELEASE_RETENTION);
        let View::Known(snapshot) = &self.view else { return };
        let stands = |edit: &Edit| {
            let record = snapshot.bucket.get(&edit.id);
            record.is_some_and(|r| r.token == edit.token && matches!(r.state, State::Granted { .. }))
        };
        let unwritten: Vec<Edit> = self
            .released
            .iter()
            .map(|(_, edit)| edit)
            .filter(|edit| stands(edit) && !self.edits.contains(edit))
            .cloned()
            .collect();
        if self.edits.is_empty() {
            self.edited_at = now;
        }
        self.edits.extend(unwritten);
    }

    pub(super) fn on_written(&mut self, revision: Revision, now: Time) {
        if let Some(Call::Write { bucket, edits }) = self.call.take() {
            self.edits.drain(..edits);
            self.edited_at = now;
            self.view = View::Known(Snapshot {
                revision,
                bucket,
                seen_at: now,
            });
        }
    }

    pub(super) fn on_current(&mut self, revision: Revision, bucket: Bucket, now: Time) {
        self.call = None;
        // The write had no effect, so the next one need not wait for the write interval.
        self.last_write = None;
        self.view = View::Known(Snapshot {
            revision,
            bucket,
            seen_at: now,
        });
        self.release_again(now);
    }

    /// Failure guarded against: a write whose answer was lost is taken for successful and its claim is granted,
    /// while the entry holds another owner's claim; it would show as two runs for one key. After a write with
    /// unknown result, only what is read, or written on top of that, says who holds a claim. (Keeping the old view
    /// would be safe too, since the next write compares with its version; reading avoids that conflict.)
    pub(super) fn on_failed(&mut self, maybe_written: bool, until: Time) {
        let wrote = matches!(self.call.take(), Some(Call::Write { .. }));
        self.paused_until = until;
        if wrote && maybe_written {
            self.view = View::Uncertain;
        }
    }

    /// Sends the answers that are due, and starts the next call if one is due.
    pub(super) fn advance(
        &mut self,
        now: Clocks,
        id: BucketId,
        settings: &OwnerSettings,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.answer_pending(now, actions);
        self.expire(now.time, actions);
        if self.call.is_none() {
            self.start_call(now, id, settings, actions);
        }
        let ends = self.claims.iter().map(|w| w.until);
        let ends = ends.chain(self.queries.iter().map(|l| l.until));
        actions.extend(ends.min().map(OwnerAction::Wake));
    }

    fn start_call(
        &mut self,
        now: Clocks,
        id: BucketId,
        settings: &OwnerSettings,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(due) = self.due(settings) else { return };
        if due > now.time {
            actions.push(OwnerAction::Wake(due));
            return;
        }
        if self.needs_read(now.time) {
            self.call = Some(Call::Read);
            actions.push(OwnerAction::Read(id));
            return;
        }
        match self.next_write(now.wall, settings, actions) {
            Ok(Some((revision, bucket))) => {
                self.last_write = Some(now.time);
                actions.push(OwnerAction::Write(id, revision, bucket));
            }
            Ok(None) => {}
            Err(rule) => actions.push(OwnerAction::InvariantBroken(rule)),
        }
    }

    /// Returns when the next call is due; `None` if there is nothing to do.
    fn due(&self, settings: &OwnerSettings) -> Option<Time> {
        let paced = self
            .last_write
            .map_or(Time::ZERO, |at| at + settings.write_interval);
        let due = match () {
            () if !self.queries.is_empty() => Time::ZERO,
            () if !self.claims.is_empty() => paced,
            () if !self.edits.is_empty() => paced.max(self.edited_at + settings.edit_delay),
            () => return None,
        };
        Some(due.max(self.paused_until))
    }

    fn needs_read(&self, now: Time) -> bool {
        match &self.view {
            View::Uncertain => true,
            View::Unread => !self.queries.is_empty() || !self.edits.is_empty(),
            View::Known(snapshot) => {
                let stale = now.since(snapshot.seen_at) > MAX_VIEW_AGE;
                let held = |id: &ClaimId| snapshot.bucket.get(id).is_some();
                stale && (!self.queries.is_empty() || self.claims.iter().any(|w| held(&w.request.claim.id)))
            }
        }
    }

    /// Prepares the next write: the pending edits and claims, applied to the last view.
    fn next_write(
        &mut self,
        wall: WallTime,
        settings: &OwnerSettings,
        actions: &mut Vec<OwnerAction>,
    ) -> Result<Option<(Revision, Bucket)>, &'static str> {
        let (revision, mut bucket) = match &self.view {
            View::Known(snapshot) => (snapshot.revision, snapshot.bucket.clone()),
            View::Unread | View::Uncertain => (Revision::default(), Bucket::default()),
        };
        let before = bucket.clone();
        for edit in &self.edits {
            bucket.apply(edit);
        }
        if bucket.size() > MAX_BUCKET {
            self.refuse_new(&before, actions);
        }
        for waiting in self.claims.iter().take(settings.max_batch) {
            bucket.add(waiting.request.claim.id, granted_record(&waiting.request, wall));
        }
        if bucket == before {
            self.edits.clear();
            return Ok(None);
        }
        check(
            bucket.preserves(&before, &self.edits),
            "a stored claim is never replaced",
        )
        .map_err(|broken| broken.rule)?;
        self.call = Some(Call::Write {
            bucket: bucket.clone(),
            edits: self.edits.len(),
        });
        Ok(Some((revision, bucket)))
    }

    fn refuse_new(&mut self, bucket: &Bucket, actions: &mut Vec<OwnerAction>) {
        self.claims.retain(|waiting| {
            let known = bucket.get(&waiting.request.claim.id).is_some();
            if !known {
                actions.push(OwnerAction::Answer(waiting.query_id, Verdict::Full));
            }
            known
        });
    }

    /// Answers the requests and queries that the last view, with the pending edits applied, decides.
    fn answer_pending(&mut self, now: Clocks, actions: &mut Vec<OwnerAction>) {
        let View::Known(snapshot) = &self.view else { return };
        let fresh = now.time.since(snapshot.seen_at) <= MAX_VIEW_AGE;
        let edits = &self.edits;
        self.claims.retain(|waiting| {
            let Some(record) = snapshot.bucket.get(&waiting.request.claim.id) else {
                return true;
            };
            let Some(verdict) = decide(record, &waiting.request, edits, now.wall, fresh) else {
                return true;
            };
            actions.push(OwnerAction::Answer(waiting.query_id, verdict));
            false
        });
        self.queries.retain(|query| {
            let verdict = match snapshot.bucket.get(&query.claim) {
                None => fresh.then_some(Verdict::Unclaimed),
                Some(record) => status_of(record, query.claim, edits, now.wall, fresh),
            };
            actions.extend(verdict.clone().map(|v| OwnerAction::Answer(query.query_id, v)));
            verdict.is_none()
        });
    }

    /// Refuses requests and queries that have timed out, and requests whose claim was released. A write with the claim
    /// may still be in flight; the entry instance has given up by then and never sends, so the refusal stays correct.
    ///
    /// Guards against writing a claim after its release, which would leave the key taken by a refused request. The
    /// release may arrive while the claim is queued for its write, or before the claim request.
    fn expire(&mut self, now: Time, actions: &mut Vec<OwnerAction>) {
        let released = &self.released;
        self.claims.retain(|waiting| {
            let waits = now < waiting.until && !is_released(released, &waiting.request);
            if !waits {
                actions.push(OwnerAction::Answer(
                    waiting.query_id,
                    Verdict::Unavailable(MAX_VIEW_AGE),
                ));
            }
            waits
        });
        self.queries.retain(|query| {
            let waits = now < query.until;
            if !waits {
                actions.push(OwnerAction::Answer(
                    query.query_id,
                    Verdict::Unavailable(MAX_VIEW_AGE),
                ));
            }
            waits
        });
    }
}

fn is_released(released: &VecDeque<(Time, Edit)>, request: &ClaimRequest) -> bool {
    released
        .iter()
        .any(|(_, edit)| edit.id == request.claim.id && edit.token == request.token)
}

fn granted_record(request: &ClaimRequest, wall: WallTime) -> Record {
    Record {
        token: request.token,
        fingerprint: request.fingerprint,
        state: State::Granted {
            until: WallTime(wall.0 + millis(request.wait + request.run)),
        },
    }
}

/// Returns the verdict on `request` given the stored claim; `None` if a newer view is needed first.
fn decide(
    record: &Record,
    request: &ClaimRequest,
    edits: &[Edit],
    wall: WallTime,
    fresh: bool,
) -> Option<Verdict> {
    let seen = status_of(record, request.claim.id, edits, wall, fresh)?;
    match seen {
        // Released, but the release is not yet written: the next write frees the claim.
        Verdict::Unclaimed => None,
        // An entry instance that has since sent the request or given up ignores the grant.
        _ if record.token == request.token => match record.state {
            State::Granted { .. } => Some(Verdict::Granted),
            State::Finished { .. } | State::Unknown => Some(seen),
        },
        _ if record.fingerprint != request.fingerprint => Some(Verdict::Mismatch),
        _ => Some(seen),
    }
}

/// Returns the status of a claim with the pending edits applied; `None` if a newer view is needed first.
fn status_of(record: &Record, id: ClaimId, edits: &[Edit], wall: WallTime, fresh: bool) -> Option<Verdict> {
    let mut single = Bucket::default();
    single.add(id, record.clone());
    for edit in edits.iter().filter(|e| e.id == id) {
        single.apply(edit);
    }
    let Some(record) = single.get(&id) else {
        return Some(Verdict::Unclaimed);
    };
    match &record.state {
        State::Finished { answer } => Some(Verdict::Held(ClaimStatus::Finished(answer.clone()))),
        _ if !fresh => None,
        State::Granted { until } if until.0 > wall.0 => {
            let left = Duration::from_millis(until.0 - wall.0);
            Some(Verdict::Held(ClaimStatus::Running(left)))
        }
        State::Granted { .. } | State::Unknown => Some(Verdict::Held(ClaimStatus::Unknown)),
    }
}
