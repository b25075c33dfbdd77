//! The lease, the take-over and the writes of the record.

use std::collections::BTreeMap;

use crate::authority::Action;
use crate::authority::CallId;
use crate::authority::EngineWish;
use crate::authority::Event;
use crate::authority::Fence;
use crate::authority::Incarnation;
use crate::authority::LeaseBelief;
use crate::authority::Order;
use crate::authority::Record;
use crate::authority::RecordVersion;
use crate::authority::Settings;
use crate::authority::Settlement;
use crate::authority::Written;
use crate::authority::engine::EngineState;
use crate::authority::engine::Fate;
use crate::authority::engine::Own;
use crate::authority::engine::Raise;
use crate::invariant::Violation;
use crate::invariant::check;
use crate::name::Name;
use crate::time::Time;

/// A call whose answer is waited for.
#[derive(Debug, Clone, Copy)]
struct Wait {
    call: CallId,
    since: Time,
    failed: bool,
}

/// How far this instance is with the authority.
#[derive(Debug, Clone, Copy)]
enum Stage {
    /// Somebody else may have it; the lease is vacant since that time.
    Follower(Option<Time>),
    /// The lease is asked for.
    Acquiring(Wait),
    /// The record is read, to be taken over.
    Reading(Wait),
    /// The record is written.
    Writing(Wait),
    /// The record is read back, since it is not known how it stands.
    Checking(Wait),
    /// The record is taken over and known.
    Holding,
}

/// A write of the record that may take effect.
#[derive(Debug, Clone)]
struct Attempt {
    record: Record,
    opened: Option<(Name, Order)>,
    tell: Vec<Action>,
}

/// When the lease is renewed.
#[derive(Debug, Clone, Copy, Default)]
struct Renewal {
    call: Option<CallId>,
    sent: Time,
    next: Time,
}

/// One instance's decision on the authority of one service.
#[derive(Debug, Clone)]
pub struct Authority {
    pub(super) settings: Settings,
    pub(super) belief: LeaseBelief,
    pub(super) record: Record,
    pub(super) engines: BTreeMap<Name, EngineState>,
    pub(super) model: String,
    pub(super) changing: Option<Name>,
    /// Number under which this tenure took over.
    pub(super) tenure: Fence,
    /// Highest number that an engine said it has seen.
    pub(super) floor: Fence,
    stage: Stage,
    held: bool,
    resigned: bool,
    version: RecordVersion,
    attempt: Option<Attempt>,
    renewal: Renewal,
    calls: u64,
}

impl Authority {
    /// A follower that knows no engines.
    pub fn new(settings: Settings) -> Authority {
        let belief = LeaseBelief::new(settings.timing.ttl, settings.timing.margin);
        let record = Record {
            holder: settings.name.clone(),
            incarnation: settings.incarnation,
            fence: Fence::default(),
            engines: BTreeMap::new(),
        };
        Authority {
            settings,
            belief,
            record,
            engines: BTreeMap::new(),
            model: String::new(),
            changing: None,
            tenure: Fence::default(),
            floor: Fence::default(),
            stage: Stage::Follower(None),
            held: false,
            resigned: false,
            version: RecordVersion::default(),
            attempt: None,
            renewal: Renewal::default(),
            calls: 0,
        }
    }

    /// Takes an event; returns what to do.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Vacant => self.on_vacant(now),
            Event::Occupied => self.on_occupied(),
            Event::Acquired { call, sent } => self.on_acquired(now, call, sent, &mut actions),
            Event::NotAcquired { call } => self.on_not_acquired(call),
            Event::Renewed { call, sent } => self.on_renewed(call, sent),
            Event::RenewFailed { call } => self.on_renew_failed(now, call),
            Event::Lapsed { call } => self.on_lapsed(call, &mut actions),
            Event::Read {
                call,
                version,
                record,
            } => self.on_read(now, call, version, record, &mut actions),
            Event::ReadFailed { call } => self.on_read_failed(now, call),
            Event::Wrote { call, written } => self.on_wrote(now, call, written, &mut actions),
            Event::Configured { model, engines } => self.on_configured(model, engines, &mut actions),
            Event::Resign => self.on_resign(&mut actions),
            event => self.on_engine_event(now, event, &mut actions),
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Whether this instance holds the authority and believes in its lease.
    pub fn is_holder(&self, now: Time) -> bool {
        self.held && self.belief.holds(now)
    }

    /// Until when this instance believes in its lease.
    pub fn believes_until(&self) -> Time {
        self.belief.until()
    }

    /// What became of an order that `incarnation` opened, asked by a successor. An order that has not left
    /// never will after this answer.
    pub fn settlement(&mut self, incarnation: Incarnation, engine: &Name, sequence: u64) -> Settlement {
        let own = self.engines.get_mut(engine).and_then(|e| e.own.as_mut());
        match own {
            Some(own) if incarnation == self.settings.incarnation && own.sequence == sequence => {
                match own.fate {
                    Fate::Applied => Settlement::Applied,
                    Fate::Unsent | Fate::Void => {
                        own.fate = Fate::Void;
                        Settlement::Unsent
                    }
                    Fate::Sent(_) | Fate::Lost => Settlement::Unknown,
                }
            }
            _ => Settlement::Unknown,
        }
    }

    fn on_vacant(&mut self, now: Time) {
        if let Stage::Follower(vacant @ None) = &mut self.stage {
            *vacant = Some(now);
        }
    }

    fn on_occupied(&mut self) {
        if let Stage::Follower(vacant) = &mut self.stage {
            *vacant = None;
        }
    }

    fn on_acquired(&mut self, now: Time, call: CallId, sent: Time, actions: &mut Vec<Action>) {
        match self.stage {
            Stage::Acquiring(wait) if wait.call == call => {
                self.belief.confirm(sent);
                self.renewal = Renewal {
                    next: sent + self.settings.timing.renew,
                    ..Renewal::default()
                };
                self.attempt = None;
                self.read(now, actions);
            }
            // Too late: the answer was given up.
            _ => {}
        }
    }

    fn on_not_acquired(&mut self, call: CallId) {
        if let Stage::Acquiring(wait) = self.stage
            && wait.call == call
        {
            self.stage = Stage::Follower(None);
        }
    }

    fn on_renewed(&mut self, call: CallId, sent: Time) {
        if self.renewal.call == Some(call) {
            self.renewal.call = None;
            self.belief.confirm(sent);
        }
    }

    fn on_renew_failed(&mut self, now: Time, call: CallId) {
        if self.renewal.call == Some(call) {
            self.renewal.call = None;
            self.renewal.next = now + self.settings.timing.retry;
        }
    }

    fn on_lapsed(&mut self, call: CallId, actions: &mut Vec<Action>) {
        if self.renewal.call == Some(call) {
            self.step_down(actions);
        }
    }

    fn on_read(
        &mut self,
        now: Time,
        call: CallId,
        version: RecordVersion,
        record: Option<Record>,
        actions: &mut Vec<Action>,
    ) {
        match self.stage {
            Stage::Reading(wait) if wait.call == call => self.take_over(now, version, record, actions),
            Stage::Checking(wait) if wait.call == call => self.on_checked(now, version, record, actions),
            _ => {}
        }
    }

    /// Resolves a write whose end is not known.
    ///
    /// Failure guarded against: the answer to a write is lost, and the writer acts as if it had failed, or as
    /// if it had taken effect. Reading back shows the version before the write, the very record that was
    /// written, or another writer's; only the first two leave this instance the holder.
    fn on_checked(
        &mut self,
        now: Time,
        version: RecordVersion,
        record: Option<Record>,
        actions: &mut Vec<Action>,
    ) {
        let landed = match (&self.attempt, &record) {
            (Some(attempt), Some(record)) => attempt.record == *record,
            _ => false,
        };
        if landed {
            self.on_landed(now, version, actions);
        } else if version == self.version && self.held {
            self.drop_attempt();
            self.stage = Stage::Holding;
        } else if version == self.version {
            self.take_over(now, version, record, actions);
        } else {
            self.step_down(actions);
        }
    }

    fn on_read_failed(&mut self, now: Time, call: CallId) {
        if let Stage::Reading(wait) | Stage::Checking(wait) = &mut self.stage
            && wait.call == call
        {
            wait.failed = true;
            wait.since = now;
        }
    }

    fn on_wrote(&mut self, now: Time, call: CallId, written: Written, actions: &mut Vec<Action>) {
        let Stage::Writing(wait) = self.stage else { return };
        if wait.call != call {
            return;
        }
        match written {
            Written::Done(version) => self.on_landed(now, version, actions),
            // Even a conflict may be an earlier write of ours that came late.
            Written::Conflict | Written::Unknown => self.check_record(now, actions),
        }
    }

    fn on_landed(&mut self, now: Time, version: RecordVersion, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.version = version;
        self.record = attempt.record;
        self.stage = Stage::Holding;
        actions.extend(attempt.tell);
        if let Some((name, order)) = attempt.opened
            && let Some(engine) = self.engines.get_mut(&name)
        {
            engine.own = Some(Own::new(&order, Fate::Unsent));
            engine.raise = Raise::Due;
        }
        if !self.held {
            self.held = true;
            self.tenure = self.record.fence;
            self.changing = None;
            for engine in self.engines.values_mut() {
                engine.begin(now);
            }
            actions.push(Action::TookOver(self.tenure));
        }
    }

    fn on_configured(&mut self, model: String, wishes: Vec<EngineWish>, actions: &mut Vec<Action>) {
        self.model = model;
        let gone = self
            .changing
            .clone()
            .filter(|c| !wishes.iter().any(|w| w.name == *c));
        if let Some(gone) = gone {
            self.finish(&gone, actions);
        }
        self.engines
            .retain(|name, _| wishes.iter().any(|w| w.name == *name));
        for wish in wishes {
            let engine = self
                .engines
                .entry(wish.name)
                .or_insert_with(|| EngineState::new(wish.fencing));
            engine.fencing = wish.fencing;
            engine.wish.role = wish.role;
            engine.released = wish.released;
        }
    }

    fn on_resign(&mut self, actions: &mut Vec<Action>) {
        self.resigned = true;
        if !matches!(self.stage, Stage::Follower(_)) {
            self.step_down(actions);
        }
    }

    /// Takes the record over: one compare-and-swap that raises the number. From then on each write of the
    /// former holder fails, and so it can open no further order.
    fn take_over(
        &mut self,
        now: Time,
        version: RecordVersion,
        before: Option<Record>,
        actions: &mut Vec<Action>,
    ) {
        self.version = version;
        let fence = before.as_ref().map_or(Fence::default(), |r| r.fence);
        let record = Record {
            holder: self.settings.name.clone(),
            incarnation: self.settings.incarnation,
            fence: fence.max(self.floor).next(),
            engines: before.map(|r| r.engines).unwrap_or_default(),
        };
        let raised = check(record.fence > fence, "a take-over raises the fencing number");
        self.guarded(raised, actions, |authority, actions| {
            authority.write(now, record, None, Vec::new(), actions);
        });
    }

    /// Writes the record; what is told to operators is told once it has taken effect.
    pub(super) fn write(
        &mut self,
        now: Time,
        record: Record,
        opened: Option<(Name, Order)>,
        tell: Vec<Action>,
        actions: &mut Vec<Action>,
    ) {
        let wait = self.wait(now);
        actions.push(Action::Write {
            call: wait.call,
            expect: self.version,
            record: record.clone(),
        });
        self.stage = Stage::Writing(wait);
        self.attempt = Some(Attempt { record, opened, tell });
    }

    /// Runs `action` if the invariant holds; drops and reports it otherwise.
    pub(super) fn guarded<F>(&mut self, held: Result<(), Violation>, actions: &mut Vec<Action>, action: F)
    where
        F: FnOnce(&mut Authority, &mut Vec<Action>),
    {
        match held {
            Ok(()) => action(self, actions),
            Err(broken) => actions.push(Action::Broken(broken.rule)),
        }
    }

    /// Reads the record back before anything else is done.
    pub(super) fn check_record(&mut self, now: Time, actions: &mut Vec<Action>) {
        let wait = self.wait(now);
        actions.push(Action::Read(wait.call));
        self.stage = Stage::Checking(wait);
    }

    /// Whether the record is known and no write of it is under way.
    pub(super) fn is_settled(&self) -> bool {
        matches!(self.stage, Stage::Holding)
    }

    fn read(&mut self, now: Time, actions: &mut Vec<Action>) {
        let wait = self.wait(now);
        actions.push(Action::Read(wait.call));
        self.stage = Stage::Reading(wait);
    }

    fn wait(&mut self, now: Time) -> Wait {
        Wait {
            call: self.next_call(),
            since: now,
            failed: false,
        }
    }

    pub(super) fn next_call(&mut self) -> CallId {
        self.calls += 1;
        CallId(self.calls)
    }

    fn step_down(&mut self, actions: &mut Vec<Action>) {
        self.drop_attempt();
        if let Some(name) = self.changing.clone() {
            self.finish(&name, actions);
        }
        if self.held {
            actions.push(Action::SteppedDown);
        }
        actions.push(Action::Release);
        self.held = false;
        self.belief.clear();
        self.renewal = Renewal::default();
        self.stage = Stage::Follower(None);
    }

    /// Gives a write up. It may still take effect late; an order that it opens was never sent and never will
    /// be.
    fn drop_attempt(&mut self) {
        if let Some((name, order)) = self.attempt.take().and_then(|a| a.opened)
            && let Some(engine) = self.engines.get_mut(&name)
        {
            engine.own = Some(Own::new(&order, Fate::Void));
        }
    }

    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        let timing = &self.settings.timing;
        let lost = |wait: Wait| now >= wait.since + timing.lost;
        let again = |wait: Wait| lost(wait) || (wait.failed && now >= wait.since + timing.retry);
        match self.stage {
            Stage::Follower(Some(since)) if !self.resigned && now >= since + timing.delay => {
                let wait = self.wait(now);
                actions.push(Action::Acquire(wait.call));
                self.stage = Stage::Acquiring(wait);
            }
            Stage::Acquiring(wait) if lost(wait) => self.stage = Stage::Follower(None),
            Stage::Reading(wait) if again(wait) => self.read(now, actions),
            Stage::Writing(wait) if lost(wait) => self.check_record(now, actions),
            Stage::Checking(wait) if again(wait) => self.check_record(now, actions),
            _ => {}
        }
        self.renew(now, actions);
        if self.is_settled() && self.belief.holds(now) {
            self.decide(now, actions);
        }
    }

    fn renew(&mut self, now: Time, actions: &mut Vec<Action>) {
        if matches!(self.stage, Stage::Follower(_) | Stage::Acquiring(_)) {
            return;
        }
        let lost = now >= self.renewal.sent + self.settings.timing.lost;
        if self.renewal.call.is_some() && lost {
            self.renewal.call = None;
        }
        if self.renewal.call.is_none() && now >= self.renewal.next {
            let call = self.next_call();
            self.renewal = Renewal {
                call: Some(call),
                sent: now,
                next: now + self.settings.timing.renew,
            };
            actions.push(Action::Renew(call));
        }
    }
}
