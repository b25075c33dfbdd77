//! Which order an engine gets, and when.

use crate::authority::Action;
use crate::authority::Answer;
use crate::authority::Authority;
use crate::authority::CallId;
use crate::authority::Closing;
use crate::authority::Event;
use crate::authority::Fence;
use crate::authority::Order;
use crate::authority::OrderRecord;
use crate::authority::Phase;
use crate::authority::Send;
use crate::authority::Settlement;
use crate::authority::engine::Drain;
use crate::authority::engine::EngineState;
use crate::authority::engine::Fate;
use crate::authority::engine::Raise;
use crate::authority::engine::Weights;
use crate::config::Fencing;
use crate::engine::Target;
use crate::invariant::Violation;
use crate::invariant::check;
use crate::name::Name;
use crate::time::Time;

impl Authority {
    /// Takes an event that concerns one engine.
    pub(super) fn on_engine_event(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let timing = self.settings.timing.clone();
        match event {
            Event::Proposed { engine, target } => {
                self.with(&engine, |e| e.wish.proposal = Some(target));
            }
            Event::Reported { engine, report } => self.with(&engine, |e| {
                if e.report.as_ref().is_none_or(|r| r.taken <= report.taken) {
                    e.report = Some(report);
                }
            }),
            Event::Held {
                engine,
                asked,
                done,
                answers,
            } => self.with(&engine, |e| {
                if let Some(drain) = &mut e.drain {
                    drain.on_answers(asked, done, &answers, timing.absence);
                }
            }),
            Event::Weights { engine, ready } => self.with(&engine, |e| {
                e.weights = match ready {
                    true => Weights::Ready,
                    false => Weights::Ask(now + timing.retry),
                };
            }),
            Event::Settled {
                engine,
                sequence,
                settlement,
            } => self.with(&engine, |e| e.settled = Some((sequence, settlement))),
            Event::Answered { call, engine, answer } => self.on_answered(now, call, &engine, answer, actions),
            _ => {}
        }
    }

    fn with<F>(&mut self, name: &Name, change: F)
    where
        F: FnOnce(&mut EngineState),
    {
        if let Some(engine) = self.engines.get_mut(name) {
            change(engine);
        }
    }

    fn on_answered(
        &mut self,
        now: Time,
        call: CallId,
        name: &Name,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let retry = self.settings.timing.retry;
        self.with(name, |engine| {
            engine.on_answer(call, answer);
            match answer {
                Answer::Applied => engine.since = now,
                _ => engine.again = now + retry,
            }
        });
        if let Answer::Stale(seen) = answer {
            self.floor = self.floor.max(seen);
            if self.is_settled() {
                // Somebody may have taken over.
                self.check_record(now, actions);
            }
        }
    }

    /// Decides on all engines. Called only while the record is known and the lease is believed in.
    pub(super) fn decide(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.note_lost(now);
        if self.close_settled(now, actions) {
            return;
        }
        let names: Vec<Name> = self.engines.keys().cloned().collect();
        for name in &names {
            self.probe(now, name, actions);
            self.keep_hold(now, name, actions);
            match self.open_record(name).cloned() {
                Some(record) => self.pursue(now, name, &record, actions),
                None => self.consider(now, name, actions),
            }
            if !self.is_settled() {
                return;
            }
        }
    }

    fn open_record(&self, name: &Name) -> Option<&OrderRecord> {
        let record = self.record.engines.get(name)?;
        (record.phase == Phase::Open).then_some(record)
    }

    /// Takes answers that did not come as lost.
    fn note_lost(&mut self, now: Time) {
        let lost = self.settings.timing.lost;
        for engine in self.engines.values_mut() {
            if let Some(own) = &mut engine.own
                && let Fate::Sent(at) = own.fate
                && now >= at + lost
            {
                own.fate = Fate::Lost;
            }
            if let Raise::Sent(at, _) = engine.raise
                && now >= at + lost
            {
                engine.raise = Raise::Due;
            }
        }
    }

    /// Closes the records of all orders that are settled, in one write; `true` if there were any.
    fn close_settled(&mut self, now: Time, actions: &mut Vec<Action>) -> bool {
        let mut record = self.record.clone();
        let mut tell = Vec::new();
        for (name, order) in &mut record.engines {
            let Some(engine) = self.engines.get_mut(name) else {
                continue;
            };
            if order.phase != Phase::Open {
                continue;
            }
            let Some(closing) = closing(engine, order, self.tenure) else {
                continue;
            };
            order.phase = Phase::Closed(closing);
            engine.since = now;
            engine.weights = Weights::Ask(now);
            tell.push(Action::Closed {
                engine: name.clone(),
                sequence: order.order.sequence,
                closing,
            });
        }
        let any = !tell.is_empty();
        if any {
            self.write(now, record, None, tell, actions);
        }
        any
    }

    fn probe(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) {
        let timing = self.settings.timing.clone();
        let changing = self.changing.as_ref() == Some(name);
        let open = self.open_record(name).is_some();
        let model = self.model.clone();
        self.with(name, |engine| {
            let due = open
                || engine
                    .fresh()
                    .is_none_or(|r| engine.wish.target(&r.target, &model) != r.target);
            let every = match (changing, due) {
                (true, _) => timing.probe,
                (false, true) => timing.retry,
                (false, false) => timing.rest,
            };
            if engine.probed.is_none_or(|probed| now >= probed + every) {
                engine.probed = Some(now);
                actions.push(Action::Probe(name.clone()));
            }
        });
    }

    /// Goes on with an order whose record stands open.
    fn pursue(&mut self, now: Time, name: &Name, record: &OrderRecord, actions: &mut Vec<Action>) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let fencing = engine.fencing;
        match (engine.fate(record), fencing) {
            (Some(Fate::Unsent), _) => self.send_opened(now, name, record, actions),
            (Some(Fate::Sent(_) | Fate::Applied | Fate::Void), _) => {}
            (Some(Fate::Lost) | None, Fencing::Checked) => self.repeat(now, name, &record.order, actions),
            (Some(Fate::Lost) | None, Fencing::Ignored) => self.wait_settled(now, name, record, actions),
        }
    }

    /// Sends an order that was just opened, or that did not leave at a former try.
    fn send_opened(&mut self, now: Time, name: &Name, record: &OrderRecord, actions: &mut Vec<Action>) {
        let Some(until) = self.ready(now, name, actions) else {
            return;
        };
        let order = record.order.clone();
        let held = self.may_send(now, name, &order);
        self.guarded(held, actions, |authority, actions| {
            let call = authority.next_call();
            authority.with(name, |e| e.leave(now, call));
            actions.push(Action::Send(Send {
                call,
                engine: name.clone(),
                order,
                until,
            }));
        });
    }

    /// What must hold for an order to leave for the first time.
    fn may_send(&self, now: Time, name: &Name, order: &Order) -> Result<(), Violation> {
        let record = self.record.engines.get(name);
        let open = record.is_some_and(|r| r.phase == Phase::Open && r.order == *order);
        check(open, "an order leaves only while its record stands open")?;
        let ours = record.is_some_and(|r| r.incarnation == self.settings.incarnation);
        check(ours, "an order leaves only from the process that opened it")?;
        check(
            order.fence > self.tenure,
            "an order leaves only in the tenure that opened it",
        )?;
        check(
            self.belief.holds(now),
            "an order leaves only under a lease that is believed in",
        )?;
        let fate = self.engines.get(name).and_then(|e| e.own).map(|own| own.fate);
        check(
            fate == Some(Fate::Unsent),
            "an order leaves at most once per opening",
        )
    }

    /// Repeats the last order with the holder's own number, so that the engine refuses what a stale holder
    /// sends later. It is the same order, so it changes nothing that was not decided already.
    fn repeat(&mut self, now: Time, name: &Name, order: &Order, actions: &mut Vec<Action>) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        if engine.raise != Raise::Due || now < engine.again {
            return;
        }
        let Some(until) = self.ready(now, name, actions) else {
            return;
        };
        let fence = self.record.fence;
        let checked = self
            .engines
            .get(name)
            .is_some_and(|e| e.fencing == Fencing::Checked);
        let held = check(
            checked && fence >= order.fence && self.belief.holds(now),
            "an order is repeated only at an engine that checks the number, with one not lower",
        );
        let order = Order {
            fence,
            ..order.clone()
        };
        self.guarded(held, actions, |authority, actions| {
            let call = authority.next_call();
            authority.with(name, |e| e.raise = Raise::Sent(now, call));
            actions.push(Action::Send(Send {
                call,
                engine: name.clone(),
                order,
                until,
            }));
        });
    }

    /// Gives an engine that ignores fencing numbers no order while its last one may still be on its way.
    ///
    /// Failure guarded against: the former holder is paused between its check and its send. Whatever time the
    /// successor waits, the order may come later, and the engine would carry it out after the successor's.
    /// The guard holds because an order leaves once per opening: once it took effect, or its process says
    /// that it never left, it can't come.
    fn wait_settled(&mut self, now: Time, name: &Name, record: &OrderRecord, actions: &mut Vec<Action>) {
        if self.changing.as_ref() == Some(name) {
            self.finish(name, actions);
        }
        let ours = record.incarnation == self.settings.incarnation;
        let retry = self.settings.timing.retry;
        let sequence = record.order.sequence;
        self.with(name, |engine| {
            if engine.told != sequence {
                engine.told = sequence;
                actions.push(Action::Unsettled {
                    engine: name.clone(),
                    sequence,
                });
            }
            if !ours && now >= engine.again {
                engine.again = now + retry;
                actions.push(Action::Ask {
                    holder: record.holder.clone(),
                    incarnation: record.incarnation,
                    engine: name.clone(),
                    sequence,
                });
            }
        });
    }

    /// Decides whether an engine whose last order is settled needs another.
    fn consider(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let Some(report) = engine.fresh().cloned() else {
            return self.give_up_silent(now, name, actions);
        };
        if report.away {
            return;
        }
        let target = engine.wish.target(&report.target, &self.model);
        if target == report.target {
            return self.finish(name, actions);
        }
        if !self.take_slot(name) || !self.weights_ready(now, name, &report.target, &target, actions) {
            return;
        }
        if self.ready(now, name, actions).is_none() {
            return;
        }
        let last = self.record.engines.get(name).map(|r| r.order.clone());
        let checked = self
            .engines
            .get(name)
            .is_some_and(|e| e.fencing == Fencing::Checked);
        let raised = self.engines.get(name).is_some_and(|e| e.raise == Raise::Done);
        match last {
            // The number is raised first, and the state read after that; only then an order is decided on.
            Some(last)
                if checked && !raised && last.sequence == report.sequence && last.target == report.target =>
            {
                self.repeat(now, name, &last, actions);
            }
            last => self.open(now, name, last, target, actions),
        }
    }

    /// Opens the record of a new order.
    fn open(
        &mut self,
        now: Time,
        name: &Name,
        last: Option<Order>,
        target: Target,
        actions: &mut Vec<Action>,
    ) {
        let fence = self.record.fence.max(self.floor).next();
        let sequence = last.as_ref().map_or(0, |o| o.sequence) + 1;
        let held = self.may_open(name, fence, &target);
        let order = Order::new(&self.settings.service, name, fence, sequence, target);
        let mut record = self.record.clone();
        record.fence = fence;
        record.engines.insert(
            name.clone(),
            OrderRecord {
                order: order.clone(),
                phase: Phase::Open,
                holder: self.settings.name.clone(),
                incarnation: self.settings.incarnation,
            },
        );
        self.guarded(held, actions, |authority, actions| {
            let opened = Some((name.clone(), order));
            authority.write(now, record, opened, Vec::new(), actions);
        });
    }

    /// What must hold for an order to be opened.
    fn may_open(&self, name: &Name, fence: Fence, target: &Target) -> Result<(), Violation> {
        check(
            self.open_record(name).is_none(),
            "no order is opened while the last one is not settled",
        )?;
        check(fence > self.record.fence, "an opened order raises the number")?;
        let state = self.engines.get(name).and_then(|e| e.report.as_ref());
        check(
            state.is_some_and(|r| r.target != *target),
            "no order is opened for a state that the engine has",
        )
    }

    /// Keeps work from an engine; tells until when an order may leave once it is empty.
    fn ready(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) -> Option<Time> {
        if !self.take_slot(name) {
            return None;
        }
        let timing = self.settings.timing.clone();
        let engine = self.engines.get_mut(name)?;
        if !engine.answers(now, &timing) {
            self.finish(name, actions);
            return None;
        }
        engine.drain.get_or_insert_with(Drain::default);
        self.keep_hold(now, name, actions);
        let engine = self.engines.get(name)?;
        if now < engine.again {
            return None;
        }
        let until = engine.drained(&timing)?.min(self.belief.until());
        (now < until).then_some(until)
    }

    /// Asks again for the hold of an engine that is being changed, which lapses by itself.
    fn keep_hold(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) {
        let every = self.settings.timing.retry;
        let drain = self.engines.get_mut(name).and_then(|e| e.drain.as_mut());
        if drain.is_some_and(|drain| drain.ask(now, every)) {
            actions.push(Action::Hold(name.clone()));
        }
    }

    /// One engine of a service is changed at a time.
    fn take_slot(&mut self, name: &Name) -> bool {
        *self.changing.get_or_insert_with(|| name.clone()) == *name
    }

    /// An engine that reports nothing must not keep the others from being changed.
    fn give_up_silent(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) {
        let timing = &self.settings.timing;
        let silent = self.engines.get(name).is_some_and(|e| !e.answers(now, timing));
        if silent {
            self.finish(name, actions);
        }
    }

    fn weights_ready(
        &mut self,
        now: Time,
        name: &Name,
        from: &Target,
        to: &Target,
        actions: &mut Vec<Action>,
    ) -> bool {
        let lost = self.settings.timing.lost;
        let same = from.model == to.model && from.adapter == to.adapter && from.version == to.version;
        let Some(engine) = self.engines.get_mut(name) else {
            return false;
        };
        match engine.weights {
            _ if same => true,
            Weights::Ready => true,
            Weights::Ask(at) if now < at => false,
            Weights::Ask(_) => {
                engine.weights = Weights::Ask(now + lost);
                actions.push(Action::AskWeights {
                    engine: name.clone(),
                    model: to.model.clone(),
                });
                false
            }
        }
    }

    /// Ends the change of an engine: it gets work again, and another may be changed.
    pub(super) fn finish(&mut self, name: &Name, actions: &mut Vec<Action>) {
        if self.changing.as_ref() != Some(name) {
            return;
        }
        self.changing = None;
        self.with(name, |engine| {
            if engine.drain.take().is_some() {
                actions.push(Action::Unhold(name.clone()));
            }
        });
    }
}

/// What shows that the open order of `record` is settled, if anything does.
fn closing(engine: &EngineState, record: &OrderRecord, tenure: Fence) -> Option<Closing> {
    let order = &record.order;
    let reported = engine.report.as_ref();
    let fate = engine.fate(record);
    let said = engine.settled.filter(|(sequence, _)| *sequence == order.sequence);
    let repeated = engine.raise == Raise::Done && matches!(fate, None | Some(Fate::Lost));
    if fate == Some(Fate::Applied) || repeated {
        return Some(Closing::Answered);
    }
    if reported.is_some_and(|r| r.sequence == order.sequence && r.target == order.target) {
        return Some(Closing::Reported);
    }
    // Opened in a former tenure of this process and not sent: it won't be.
    let dropped = fate == Some(Fate::Unsent) && order.fence <= tenure;
    if dropped || fate == Some(Fate::Void) {
        return Some(Closing::Unsent);
    }
    if engine.released == order.sequence && !matches!(fate, Some(Fate::Sent(_))) {
        return Some(Closing::Released);
    }
    match said {
        Some((_, Settlement::Applied)) => Some(Closing::Acknowledged),
        Some((_, Settlement::Unsent)) => Some(Closing::Unsent),
        Some((_, Settlement::Unknown)) | None => None,
    }
}
