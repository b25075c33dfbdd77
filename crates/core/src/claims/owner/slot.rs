//! One bucket in the hands of an owner.

use std::collections::VecDeque;
use std::time::Duration;

use crate::claims::Ask;
use crate::claims::Bucket;
use crate::claims::BucketId;
use crate::claims::Change;
use crate::claims::ClaimId;
use crate::claims::Clocks;
use crate::claims::Edit;
use crate::claims::MAX_BUCKET;
use crate::claims::OwnerAction;
use crate::claims::OwnerSettings;
use crate::claims::Record;
use crate::claims::Revision;
use crate::claims::Seen;
use crate::claims::State;
use crate::claims::Ticket;
use crate::claims::Verdict;
use crate::claims::window::millis;
use crate::invariant::check;
use crate::time::Time;
use crate::time::WallTime;

/// How old what was read of an unfinished claim may be when it is told.
const FRESH: Duration = Duration::from_secs(1);

/// How long a question for what is known waits.
const LOOK: Duration = Duration::from_secs(3);

/// How long a release is remembered after it was taken: a write that was sent before may land some seconds later.
const REMEMBER: Duration = Duration::from_secs(30);

/// Releases that are remembered; beyond, the oldest are forgotten, and their claims end with their time.
const MAX_RELEASES: usize = 64;

/// What is known of the key-value entry.
#[derive(Debug)]
enum View {
    /// Nothing yet. Most buckets are new, so the first write expects none.
    Unseen,
    /// A write may have taken effect; only reading tells.
    Lost,
    /// It stood so.
    Seen(Image),
}

#[derive(Debug)]
struct Image {
    revision: Revision,
    bucket: Bucket,
    at: Time,
}

#[derive(Debug)]
enum Busy {
    Read,
    Write {
        /// What is being written.
        bucket: Bucket,
        /// How many of the pending edits it holds.
        edits: usize,
    },
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    ask: Ask,
    until: Time,
}

#[derive(Debug)]
struct Look {
    ticket: Ticket,
    id: ClaimId,
    until: Time,
}

#[derive(Debug)]
pub(super) struct Slot {
    view: View,
    busy: Option<Busy>,
    asks: Vec<Waiting>,
    looks: Vec<Look>,
    edits: Vec<Edit>,
    /// Releases taken lately.
    released: VecDeque<(Time, Edit)>,
    edited: Time,
    wrote: Option<Time>,
    pause: Time,
    used: Time,
}

impl Slot {
    pub(super) fn new(now: Time) -> Slot {
        Slot {
            view: View::Unseen,
            busy: None,
            asks: Vec::new(),
            looks: Vec::new(),
            edits: Vec::new(),
            released: VecDeque::new(),
            edited: now,
            wrote: None,
            pause: Time::ZERO,
            used: now,
        }
    }

    pub(super) fn used(&self) -> Time {
        self.used
    }

    pub(super) fn is_idle(&self) -> bool {
        self.busy.is_none() && self.asks.is_empty() && self.looks.is_empty() && self.edits.is_empty()
    }

    pub(super) fn known(&self) -> Option<&Bucket> {
        match &self.view {
            View::Seen(image) => Some(&image.bucket),
            View::Unseen | View::Lost => None,
        }
    }

    /// The verdict on `ask` if the claim that stands has ended, however old the view is.
    pub(super) fn ended(&self, ask: &Ask, wall: WallTime) -> Option<Verdict> {
        let record = self.known()?.get(&ask.claim.id)?;
        judge(record, ask, &self.edits, wall, false)
    }

    /// How the claim that stands has ended, if it has, however old the view is.
    pub(super) fn end_of(&self, id: ClaimId, wall: WallTime) -> Option<Verdict> {
        told(self.known()?.get(&id)?, id, &self.edits, wall, false)
    }

    pub(super) fn ask(&mut self, ticket: Ticket, ask: Ask, now: Time) {
        let until = now + ask.wait;
        self.used = now;
        self.asks.push(Waiting { ticket, ask, until });
    }

    pub(super) fn look(&mut self, ticket: Ticket, id: ClaimId, now: Time) {
        let until = now + LOOK;
        self.used = now;
        self.looks.push(Look { ticket, id, until });
    }

    pub(super) fn edit(&mut self, edit: Edit, now: Time) {
        if self.edits.is_empty() {
            self.edited = now;
        }
        if edit.change == Change::Release {
            self.released.push_back((now, edit.clone()));
            if self.released.len() > MAX_RELEASES {
                self.released.pop_front();
            }
        }
        self.edits.push(edit);
    }

    /// Failure guarded against: a release finds nothing to free, since its claim's write is still on its way, and is
    /// forgotten; the write lands, and the key stays "running" until its time is over, though its caller was told that
    /// nothing runs. A claim bears the mark of one attempt, so that a release frees no other's.
    fn release_again(&mut self, now: Time) {
        self.released.retain(|(at, _)| now.since(*at) < REMEMBER);
        let View::Seen(image) = &self.view else { return };
        let stands = |edit: &Edit| {
            let record = image.bucket.get(&edit.id);
            record.is_some_and(|r| r.mark == edit.mark && matches!(r.state, State::Granted { .. }))
        };
        let late: Vec<Edit> = self
            .released
            .iter()
            .map(|(_, edit)| edit)
            .filter(|edit| stands(edit) && !self.edits.contains(edit))
            .cloned()
            .collect();
        if self.edits.is_empty() {
            self.edited = now;
        }
        self.edits.extend(late);
    }

    pub(super) fn written(&mut self, revision: Revision, now: Time) {
        if let Some(Busy::Write { bucket, edits }) = self.busy.take() {
            self.edits.drain(..edits);
            self.edited = now;
            self.view = View::Seen(Image {
                revision,
                bucket,
                at: now,
            });
        }
    }

    pub(super) fn stands(&mut self, revision: Revision, bucket: Bucket, now: Time) {
        self.busy = None;
        // The write was for nothing; the next one need not keep its distance.
        self.wrote = None;
        self.view = View::Seen(Image {
            revision,
            bucket,
            at: now,
        });
        self.release_again(now);
    }

    /// Failure guarded against: a write whose answer was lost is taken for one that took effect, its claim is
    /// granted, and another owner's claim stands there; it would show as two runs of one key. After an unsure
    /// write nothing but what is read, or written on top of that, says who holds a claim. (Keeping the old
    /// view would be safe too, since the next write compares with its version; reading saves that conflict.)
    pub(super) fn failed(&mut self, unsure: bool, until: Time) {
        let wrote = matches!(self.busy.take(), Some(Busy::Write { .. }));
        self.pause = until;
        if wrote && unsure {
            self.view = View::Lost;
        }
    }

    /// Answers what can be answered and starts the next call, if one is due.
    pub(super) fn advance(
        &mut self,
        now: Clocks,
        id: BucketId,
        settings: &OwnerSettings,
        actions: &mut Vec<OwnerAction>,
    ) {
        self.settle(now, actions);
        self.give_up(now.time, actions);
        if self.busy.is_none() {
            self.start(now, id, settings, actions);
        }
        let ends = self.asks.iter().map(|w| w.until);
        let ends = ends.chain(self.looks.iter().map(|l| l.until));
        actions.extend(ends.min().map(OwnerAction::Wake));
    }

    fn start(&mut self, now: Clocks, id: BucketId, settings: &OwnerSettings, actions: &mut Vec<OwnerAction>) {
        let Some(due) = self.due(settings) else { return };
        if due > now.time {
            actions.push(OwnerAction::Wake(due));
            return;
        }
        if self.must_read(now.time) {
            self.busy = Some(Busy::Read);
            actions.push(OwnerAction::Read(id));
            return;
        }
        match self.next_write(now.wall, settings, actions) {
            Ok(Some((revision, bucket))) => {
                self.wrote = Some(now.time);
                actions.push(OwnerAction::Write(id, revision, bucket));
            }
            Ok(None) => {}
            Err(rule) => actions.push(OwnerAction::Broken(rule)),
        }
    }

    /// When the next call is due; `None` if there is nothing to do.
    fn due(&self, settings: &OwnerSettings) -> Option<Time> {
        let paced = self.wrote.map_or(Time::ZERO, |at| at + settings.pace);
        let due = match () {
            () if !self.looks.is_empty() => Time::ZERO,
            () if !self.asks.is_empty() => paced,
            () if !self.edits.is_empty() => paced.max(self.edited + settings.linger),
            () => return None,
        };
        Some(due.max(self.pause))
    }

    fn must_read(&self, now: Time) -> bool {
        match &self.view {
            View::Lost => true,
            View::Unseen => !self.looks.is_empty() || !self.edits.is_empty(),
            View::Seen(image) => {
                let stale = now.since(image.at) > FRESH;
                let held = |id: &ClaimId| image.bucket.get(id).is_some();
                stale && (!self.looks.is_empty() || self.asks.iter().any(|w| held(&w.ask.claim.id)))
            }
        }
    }

    /// Works out the next write: pending edits and claims on top of what was last seen.
    fn next_write(
        &mut self,
        wall: WallTime,
        settings: &OwnerSettings,
        actions: &mut Vec<OwnerAction>,
    ) -> Result<Option<(Revision, Bucket)>, &'static str> {
        let (revision, mut bucket) = match &self.view {
            View::Seen(image) => (image.revision, image.bucket.clone()),
            View::Unseen | View::Lost => (Revision::default(), Bucket::default()),
        };
        let before = bucket.clone();
        for edit in &self.edits {
            bucket.edit(edit);
        }
        if bucket.size() > MAX_BUCKET {
            self.refuse_new(&before, actions);
        }
        for waiting in self.asks.iter().take(settings.batch) {
            bucket.add(waiting.ask.claim.id, record(&waiting.ask, wall));
        }
        if bucket == before {
            self.edits.clear();
            return Ok(None);
        }
        check(
            bucket.covers(&before, &self.edits),
            "a claim that stands is never replaced",
        )
        .map_err(|broken| broken.rule)?;
        self.busy = Some(Busy::Write {
            bucket: bucket.clone(),
            edits: self.edits.len(),
        });
        Ok(Some((revision, bucket)))
    }

    fn refuse_new(&mut self, bucket: &Bucket, actions: &mut Vec<OwnerAction>) {
        self.asks.retain(|waiting| {
            let known = bucket.get(&waiting.ask.claim.id).is_some();
            if !known {
                actions.push(OwnerAction::Answer(waiting.ticket, Verdict::Full));
            }
            known
        });
    }

    /// Answers what the last view, with the pending edits on top, decides.
    fn settle(&mut self, now: Clocks, actions: &mut Vec<OwnerAction>) {
        let View::Seen(image) = &self.view else { return };
        let fresh = now.time.since(image.at) <= FRESH;
        let edits = &self.edits;
        self.asks.retain(|waiting| {
            let Some(record) = image.bucket.get(&waiting.ask.claim.id) else {
                return true;
            };
            let Some(verdict) = judge(record, &waiting.ask, edits, now.wall, fresh) else {
                return true;
            };
            actions.push(OwnerAction::Answer(waiting.ticket, verdict));
            false
        });
        self.looks.retain(|look| {
            let verdict = match image.bucket.get(&look.id) {
                None => fresh.then_some(Verdict::Never),
                Some(record) => told(record, look.id, edits, now.wall, fresh),
            };
            actions.extend(verdict.clone().map(|v| OwnerAction::Answer(look.ticket, v)));
            verdict.is_none()
        });
    }

    /// Refuses what has waited as long as its entry waits. A write that holds the claim may be under way; its
    /// entry has given up by then and never sends, so the refusal stays true.
    fn give_up(&mut self, now: Time, actions: &mut Vec<OwnerAction>) {
        self.asks.retain(|waiting| {
            let keep = now < waiting.until;
            if !keep {
                actions.push(OwnerAction::Answer(waiting.ticket, Verdict::Out(FRESH)));
            }
            keep
        });
        self.looks.retain(|look| {
            let keep = now < look.until;
            if !keep {
                actions.push(OwnerAction::Answer(look.ticket, Verdict::Out(FRESH)));
            }
            keep
        });
    }
}

fn record(ask: &Ask, wall: WallTime) -> Record {
    Record {
        mark: ask.mark,
        print: ask.print,
        state: State::Granted {
            until: WallTime(wall.0 + millis(ask.wait + ask.run)),
        },
    }
}

/// The verdict on `ask` given the claim that stands; `None` if a fresher view is needed first.
fn judge(record: &Record, ask: &Ask, edits: &[Edit], wall: WallTime, fresh: bool) -> Option<Verdict> {
    let seen = told(record, ask.claim.id, edits, wall, fresh)?;
    match seen {
        // Released, but not yet written so: the next write frees the claim.
        Verdict::Never => None,
        // An entry that has sent or given up meanwhile drops the grant.
        _ if record.mark == ask.mark => match record.state {
            State::Granted { .. } => Some(Verdict::Granted),
            State::Finished { .. } | State::Unknown => Some(seen),
        },
        _ if record.print != ask.print => Some(Verdict::Mismatch),
        _ => Some(seen),
    }
}

/// What is known of a claim, with the pending edits on top.
fn told(record: &Record, id: ClaimId, edits: &[Edit], wall: WallTime, fresh: bool) -> Option<Verdict> {
    let mut one = Bucket::default();
    one.add(id, record.clone());
    for edit in edits.iter().filter(|e| e.id == id) {
        one.edit(edit);
    }
    let Some(record) = one.get(&id) else {
        return Some(Verdict::Never);
    };
    match &record.state {
        State::Finished { answer } => Some(Verdict::Seen(Seen::Finished(answer.clone()))),
        _ if !fresh => None,
        State::Granted { until } if until.0 > wall.0 => {
            let left = Duration::from_millis(until.0 - wall.0);
            Some(Verdict::Seen(Seen::Running(left)))
        }
        State::Granted { .. } | State::Unknown => Some(Verdict::Seen(Seen::Unknown)),
    }
}
