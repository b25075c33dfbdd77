//! The lease, the take-over and the writes of the record.

use std::collections::BTreeMap;

use crate::authority::Action;
use crate::authority::CallId;
use crate::authority::EngineConfig;
use crate::authority::Event;
use crate::authority::Fence;
use crate::authority::Incarnation;
use crate::authority::LocalLease;
use crate::authority::Order;
use crate::authority::Record;
use crate::authority::RecordVersion;
use crate::authority::Settings;
use crate::authority::Settlement;
use crate::authority::WriteOutcome;
use crate::authority::engine::EngineState;
use crate::authority::engine::FenceRaise;
use crate::authority::engine::OwnOrder;
use crate::authority::engine::SendState;
use crate::invariant::Violation;
use crate::invariant::check;
use crate::name::Name;
use crate::time::Time;

/// A call whose answer is awaited.
#[derive(Debug, Clone, Copy)]
struct PendingCall {
    call: CallId,
    since: Time,
    failed: bool,
}

/// Progress of this instance towards holding the authority.
#[derive(Debug, Clone, Copy)]
enum Stage {
    /// Another instance may hold the authority. The time is when the lease became vacant, if it is.
    Follower(Option<Time>),
    /// The lease was requested.
    Acquiring(PendingCall),
    /// The record is being read in order to take it over.
    Reading(PendingCall),
    /// The record is being written.
    Writing(PendingCall),
    /// The record is being read back, because its current state is not known.
    Verifying(PendingCall),
    /// The record was taken over and its state is known.
    Holding,
}

/// A write of the record that may take effect.
#[derive(Debug, Clone)]
struct PendingWrite {
    record: Record,
    opened: Option<(Name, Order)>,
    notices: Vec<Action>,
}

/// Progress of the lease's renewal.
#[derive(Debug, Clone, Copy, Default)]
struct Renewal {
    call: Option<CallId>,
    sent: Time,
    next: Time,
}

/// An engine whose change has ended.
#[derive(Debug, Clone)]
pub(super) struct Returning {
    pub(super) engine: Name,
    /// When it is no longer waited for; set by the next decision.
    pub(super) until: Option<Time>,
}

/// State machine of one instance for the authority of one service.
#[derive(Debug, Clone)]
pub struct Authority {
    pub(super) settings: Settings,
    pub(super) lease: LocalLease,
    pub(super) record: Record,
    pub(super) engines: BTreeMap<Name, EngineState>,
    pub(super) model: String,
    pub(super) changing: Option<Name>,
    /// The engine whose change has ended, until the instances use it again.
    pub(super) returning: Option<Returning>,
    /// Fencing token under which this tenure took over.
    pub(super) tenure_fence: Fence,
    /// Highest fencing token that an engine reported having seen.
    pub(super) fence_floor: Fence,
    stage: Stage,
    held: bool,
    resigned: bool,
    version: RecordVersion,
    pending_write: Option<PendingWrite>,
    renewal: Renewal,
    last_call: u64,
}

impl Authority {
    /// A follower that knows no engines.
    pub fn new(settings: Settings) -> Authority {
        let lease = LocalLease::new(settings.timing.ttl, settings.timing.clock_margin);
        let record = Record {
            holder: settings.instance.clone(),
            incarnation: settings.incarnation,
            fence: Fence::default(),
            engines: BTreeMap::new(),
        };
        Authority {
            settings,
            lease,
            record,
            engines: BTreeMap::new(),
            model: String::new(),
            changing: None,
            returning: None,
            tenure_fence: Fence::default(),
            fence_floor: Fence::default(),
            stage: Stage::Follower(None),
            held: false,
            resigned: false,
            version: RecordVersion::default(),
            pending_write: None,
            renewal: Renewal::default(),
            last_call: 0,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle_event(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Vacant => self.on_vacant(now),
            Event::Occupied => self.on_occupied(),
            Event::Acquired { call, sent } => self.on_acquired(now, call, sent, &mut actions),
            Event::NotAcquired { call } => self.on_not_acquired(call),
            Event::Renewed { call, sent } => self.on_renewed(call, sent),
            Event::RenewFailed { call } => self.on_renew_failed(now, call),
            Event::Expired { call } => self.on_lapsed(call, &mut actions),
            Event::Read {
                call,
                version,
                record,
            } => self.on_read(now, call, version, record, &mut actions),
            Event::ReadFailed { call } => self.on_read_failed(now, call),
            Event::Wrote { call, outcome } => self.on_wrote(now, call, outcome, &mut actions),
            Event::Configured { model, engines } => self.on_configured(model, engines, &mut actions),
            Event::Resign => self.on_resign(&mut actions),
            event => self.on_engine_event(now, event, &mut actions),
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Whether this instance holds the authority and its lease has not expired by the local view.
    pub fn is_holder(&self, now: Time) -> bool {
        self.held && self.lease.is_valid(now)
    }

    /// When this instance's lease expires by the local view; [`Time::ZERO`] if it holds none.
    pub fn lease_expiry(&self) -> Time {
        self.lease.expires_at()
    }

    /// Answers a successor's question about an order that `incarnation` opened. An order that was not sent
    /// before this answer is never sent after it.
    pub fn settlement(&mut self, incarnation: Incarnation, engine: &Name, sequence: u64) -> Settlement {
        let own = self.engines.get_mut(engine).and_then(|e| e.own.as_mut());
        match own {
            Some(own) if incarnation == self.settings.incarnation && own.sequence == sequence => {
                match own.state {
                    SendState::Applied => Settlement::Applied,
                    SendState::Unsent | SendState::Discarded => {
                        own.state = SendState::Discarded;
                        Settlement::Unsent
                    }
                    SendState::Sent(_) | SendState::Unanswered => Settlement::Unknown,
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
            Stage::Acquiring(pending) if pending.call == call => {
                self.lease.confirm(sent);
                self.renewal = Renewal {
                    next: sent + self.settings.timing.renew_interval,
                    ..Renewal::default()
                };
                self.pending_write = None;
                self.read_record(now, actions);
            }
            // Too late: the request was already given up.
            _ => {}
        }
    }

    fn on_not_acquired(&mut self, call: CallId) {
        if let Stage::Acquiring(pending) = self.stage
            && pending.call == call
        {
            self.stage = Stage::Follower(None);
        }
    }

    fn on_renewed(&mut self, call: CallId, sent: Time) {
        if self.renewal.call == Some(call) {
            self.renewal.call = None;
            self.lease.confirm(sent);
        }
    }

    fn on_renew_failed(&mut self, now: Time, call: CallId) {
        if self.renewal.call == Some(call) {
            self.renewal.call = None;
            self.renewal.next = now + self.settings.timing.retry_delay;
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
            Stage::Reading(pending) if pending.call == call => self.take_over(now, version, record, actions),
            Stage::Verifying(pending) if pending.call == call => {
                self.on_verified(now, version, record, actions)
            }
            _ => {}
        }
    }

    /// Resolves a write whose outcome is not known.
    ///
    /// Failure guarded against: the answer to a write is lost, and the writer acts as if the write had
    /// failed, or as if it had taken effect. Reading the record back shows either the version before the
    /// write, exactly the record that was written, or another writer's record; only in the first two cases
    /// does this instance remain the holder.
    fn on_verified(
        &mut self,
        now: Time,
        version: RecordVersion,
        record: Option<Record>,
        actions: &mut Vec<Action>,
    ) {
        let committed = match (&self.pending_write, &record) {
            (Some(write), Some(record)) => write.record == *record,
            _ => false,
        };
        if committed {
            self.on_committed(now, version, actions);
        } else if version == self.version && self.held {
            self.discard_write();
            self.stage = Stage::Holding;
        } else if version == self.version {
            self.take_over(now, version, record, actions);
        } else {
            self.step_down(actions);
        }
    }

    fn on_read_failed(&mut self, now: Time, call: CallId) {
        if let Stage::Reading(pending) | Stage::Verifying(pending) = &mut self.stage
            && pending.call == call
        {
            pending.failed = true;
            pending.since = now;
        }
    }

    fn on_wrote(&mut self, now: Time, call: CallId, written: WriteOutcome, actions: &mut Vec<Action>) {
        let Stage::Writing(pending) = self.stage else {
            return;
        };
        if pending.call != call {
            return;
        }
        match written {
            WriteOutcome::Done(version) => self.on_committed(now, version, actions),
            // Even a conflict may be caused by an earlier write of this instance that arrived late.
            WriteOutcome::Conflict | WriteOutcome::Unknown => self.verify_record(now, actions),
        }
    }

    fn on_committed(&mut self, now: Time, version: RecordVersion, actions: &mut Vec<Action>) {
        let Some(write) = self.pending_write.take() else {
            return;
        };
        self.version = version;
        self.record = write.record;
        self.stage = Stage::Holding;
        actions.extend(write.notices);
        if let Some((name, order)) = write.opened
            && let Some(engine) = self.engines.get_mut(&name)
        {
            engine.own = Some(OwnOrder::new(&order, SendState::Unsent));
            engine.fence_raise = FenceRaise::Due;
        }
        if !self.held {
            self.held = true;
            self.tenure_fence = self.record.fence;
            self.changing = None;
            self.returning = None;
            for engine in self.engines.values_mut() {
                engine.start_tenure(now);
            }
            actions.push(Action::TookOver(self.tenure_fence));
        }
    }

    fn on_configured(&mut self, model: String, configs: Vec<EngineConfig>, actions: &mut Vec<Action>) {
        self.model = model;
        let removed = self
            .changing
            .clone()
            .filter(|c| !configs.iter().any(|config| config.name == *c));
        if let Some(removed) = removed {
            self.finish_change(&removed, actions);
        }
        self.engines
            .retain(|name, _| configs.iter().any(|config| config.name == *name));
        for config in configs {
            let engine = self
                .engines
                .entry(config.name)
                .or_insert_with(|| EngineState::new(config.fencing));
            engine.fencing = config.fencing;
            engine.desired.role = config.role;
            engine.released_sequence = config.released_sequence;
        }
    }

    fn on_resign(&mut self, actions: &mut Vec<Action>) {
        self.resigned = true;
        if !matches!(self.stage, Stage::Follower(_)) {
            self.step_down(actions);
        }
    }

    /// Takes over the record with one compare-and-swap that raises the fencing token. From then on every
    /// write of the former holder fails, so it can open no further order.
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
            holder: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            fence: fence.max(self.fence_floor).next(),
            engines: before.map(|r| r.engines).unwrap_or_default(),
        };
        let invariant = check(record.fence > fence, "a take-over must raise the fencing token");
        self.run_checked(invariant, actions, |authority, actions| {
            authority.write(now, record, None, Vec::new(), actions);
        });
    }

    /// Writes the record; operators are notified (`notices`) only once the write has taken effect.
    pub(super) fn write(
        &mut self,
        now: Time,
        record: Record,
        opened: Option<(Name, Order)>,
        notices: Vec<Action>,
        actions: &mut Vec<Action>,
    ) {
        let pending = self.start_call(now);
        actions.push(Action::Write {
            call: pending.call,
            expect: self.version,
            record: record.clone(),
        });
        self.stage = Stage::Writing(pending);
        self.pending_write = Some(PendingWrite {
            record,
            opened,
            notices,
        });
    }

    /// Runs `action` if the invariant holds; otherwise drops it and reports the broken invariant.
    pub(super) fn run_checked<F>(
        &mut self,
        invariant: Result<(), Violation>,
        actions: &mut Vec<Action>,
        action: F,
    ) where
        F: FnOnce(&mut Authority, &mut Vec<Action>),
    {
        match invariant {
            Ok(()) => action(self, actions),
            Err(broken) => actions.push(Action::InvariantBroken(broken.rule)),
        }
    }

    /// Reads the record back before anything else is done.
    pub(super) fn verify_record(&mut self, now: Time, actions: &mut Vec<Action>) {
        let pending = self.start_call(now);
        actions.push(Action::Read(pending.call));
        self.stage = Stage::Verifying(pending);
    }

    /// Whether the record's state is known and no write of it is in progress.
    pub(super) fn is_record_known(&self) -> bool {
        matches!(self.stage, Stage::Holding)
    }

    fn read_record(&mut self, now: Time, actions: &mut Vec<Action>) {
        let pending = self.start_call(now);
        actions.push(Action::Read(pending.call));
        self.stage = Stage::Reading(pending);
    }

    fn start_call(&mut self, now: Time) -> PendingCall {
        PendingCall {
            call: self.next_call(),
            since: now,
            failed: false,
        }
    }

    pub(super) fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    fn step_down(&mut self, actions: &mut Vec<Action>) {
        self.discard_write();
        if let Some(name) = self.changing.clone() {
            self.finish_change(&name, actions);
        }
        if self.held {
            actions.push(Action::SteppedDown);
        }
        actions.push(Action::Release);
        self.held = false;
        self.lease.clear();
        self.renewal = Renewal::default();
        self.stage = Stage::Follower(None);
    }

    /// Gives up a pending write. It may still take effect late, but an order that it opens was never sent and
    /// never will be.
    fn discard_write(&mut self) {
        if let Some((name, order)) = self.pending_write.take().and_then(|a| a.opened)
            && let Some(engine) = self.engines.get_mut(&name)
        {
            engine.own = Some(OwnOrder::new(&order, SendState::Discarded));
        }
    }

    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        let timing = &self.settings.timing;
        let timed_out = |pending: PendingCall| now >= pending.since + timing.call_timeout;
        let retry_due = |pending: PendingCall| {
            timed_out(pending) || (pending.failed && now >= pending.since + timing.retry_delay)
        };
        match self.stage {
            Stage::Follower(Some(since)) if !self.resigned && now >= since + timing.acquire_delay => {
                let pending = self.start_call(now);
                actions.push(Action::Acquire(pending.call));
                self.stage = Stage::Acquiring(pending);
            }
            Stage::Acquiring(pending) if timed_out(pending) => self.stage = Stage::Follower(None),
            Stage::Reading(pending) if retry_due(pending) => self.read_record(now, actions),
            Stage::Writing(pending) if timed_out(pending) => self.verify_record(now, actions),
            Stage::Verifying(pending) if retry_due(pending) => self.verify_record(now, actions),
            _ => {}
        }
        self.renew(now, actions);
        if self.is_record_known() && self.lease.is_valid(now) {
            self.decide(now, actions);
        }
    }

    fn renew(&mut self, now: Time, actions: &mut Vec<Action>) {
        if matches!(self.stage, Stage::Follower(_) | Stage::Acquiring(_)) {
            return;
        }
        let timed_out = now >= self.renewal.sent + self.settings.timing.call_timeout;
        if self.renewal.call.is_some() && timed_out {
            self.renewal.call = None;
        }
        if self.renewal.call.is_none() && now >= self.renewal.next {
            let call = self.next_call();
            self.renewal = Renewal {
                call: Some(call),
                sent: now,
                next: now + self.settings.timing.renew_interval,
            };
            actions.push(Action::Renew(call));
        }
    }
}
