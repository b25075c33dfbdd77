//! Decides which order an engine gets, and when.

use crate::authority::Action;
use crate::authority::Authority;
use crate::authority::CallId;
use crate::authority::CloseReason;
use crate::authority::Event;
use crate::authority::Fence;
use crate::authority::Order;
use crate::authority::OrderAnswer;
use crate::authority::OrderRecord;
use crate::authority::Phase;
use crate::authority::SendOrder;
use crate::authority::Settlement;
use crate::authority::engine::Drain;
use crate::authority::engine::EngineState;
use crate::authority::engine::FenceRaise;
use crate::authority::engine::SendState;
use crate::authority::engine::Weights;
use crate::authority::machine::Returning;
use crate::config::Fencing;
use crate::engine::Target;
use crate::invariant::Violation;
use crate::invariant::check;
use crate::name::Name;
use crate::time::Time;

impl Authority {
    /// Handles an event that concerns one engine.
    pub(super) fn on_engine_event(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let timing = self.settings.timing.clone();
        match event {
            Event::Proposed { engine, target } => {
                self.update_engine(&engine, |e| e.desired.proposal = Some(target));
            }
            Event::Reported { engine, report } => self.update_engine(&engine, |e| {
                if e.report.as_ref().is_none_or(|r| r.taken_at <= report.taken_at) {
                    e.report = Some(report);
                }
            }),
            Event::HoldAnswered {
                engine,
                asked,
                done,
                answers,
            } => self.update_engine(&engine, |e| {
                if let Some(drain) = &mut e.drain {
                    drain.on_answers(asked, done, &answers, timing.absence_timeout);
                }
            }),
            Event::Unheld(engine) => {
                self.returning.take_if(|returning| returning.engine == engine);
            }
            Event::WeightsChecked { engine, ready } => self.update_engine(&engine, |e| {
                e.weights = match ready {
                    true => Weights::Ready,
                    false => Weights::Ask(now + timing.retry_delay),
                };
            }),
            Event::Settled {
                engine,
                sequence,
                settlement,
            } => self.update_engine(&engine, |e| e.settlement = Some((sequence, settlement))),
            Event::Answered { call, engine, answer } => self.on_answered(now, call, &engine, answer, actions),
            _ => {}
        }
    }

    fn update_engine<F>(&mut self, name: &Name, change: F)
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
        answer: OrderAnswer,
        actions: &mut Vec<Action>,
    ) {
        let retry = self.settings.timing.retry_delay;
        self.update_engine(name, |engine| {
            engine.on_answer(call, answer);
            match answer {
                OrderAnswer::Applied => engine.fresh_since = now,
                _ => engine.retry_at = now + retry,
            }
        });
        if let OrderAnswer::Stale(seen) = answer {
            self.fence_floor = self.fence_floor.max(seen);
            if self.is_record_known() {
                // Another instance may have taken over.
                self.verify_record(now, actions);
            }
        }
    }

    /// Decides on all engines. Called only while the record is known and the lease is valid by the local
    /// view.
    pub(super) fn decide(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.mark_timed_out(now);
        self.expire_return(now);
        if self.close_settled(now, actions) {
            return;
        }
        let names: Vec<Name> = self.engines.keys().cloned().collect();
        for name in &names {
            self.probe(now, name, actions);
            self.refresh_hold(now, name, actions);
            match self.open_record(name).cloned() {
                Some(record) => self.continue_order(now, name, &record, actions),
                None => self.decide_engine(now, name, actions),
            }
            if !self.is_record_known() {
                return;
            }
        }
    }

    fn open_record(&self, name: &Name) -> Option<&OrderRecord> {
        let record = self.record.engines.get(name)?;
        (record.phase == Phase::Open).then_some(record)
    }

    /// Treats overdue answers as lost.
    fn mark_timed_out(&mut self, now: Time) {
        let timeout = self.settings.timing.call_timeout;
        for engine in self.engines.values_mut() {
            if let Some(own) = &mut engine.own
                && let SendState::Sent(at) = own.state
                && now >= at + timeout
            {
                own.state = SendState::Unanswered;
            }
            if let FenceRaise::Sent(at, _) = engine.fence_raise
                && now >= at + timeout
            {
                engine.fence_raise = FenceRaise::Due;
            }
        }
    }

    /// Closes the records of all settled orders in one write; returns `true` if there were any.
    fn close_settled(&mut self, now: Time, actions: &mut Vec<Action>) -> bool {
        let mut record = self.record.clone();
        let mut notices = Vec::new();
        for (name, order) in &mut record.engines {
            let Some(engine) = self.engines.get_mut(name) else {
                continue;
            };
            if order.phase != Phase::Open {
                continue;
            }
            let Some(reason) = close_reason(engine, order, self.tenure_fence) else {
                continue;
            };
            order.phase = Phase::Closed(reason);
            engine.fresh_since = now;
            engine.weights = Weights::Ask(now);
            notices.push(Action::Closed {
                engine: name.clone(),
                sequence: order.order.sequence,
                reason,
            });
        }
        let any = !notices.is_empty();
        if any {
            self.write(now, record, None, notices, actions);
        }
        any
    }

    fn probe(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) {
        let timing = self.settings.timing.clone();
        let changing = self.changing.as_ref() == Some(name);
        let open = self.open_record(name).is_some();
        let model = self.model.clone();
        self.update_engine(name, |engine| {
            let due = open
                || engine
                    .fresh_report()
                    .is_none_or(|r| engine.desired.target(&r.target, &model) != r.target);
            let interval = match (changing, due) {
                (true, _) => timing.probe_interval,
                (false, true) => timing.retry_delay,
                (false, false) => timing.idle_interval,
            };
            if engine
                .probed_at
                .is_none_or(|probed_at| now >= probed_at + interval)
            {
                engine.probed_at = Some(now);
                actions.push(Action::Probe(name.clone()));
            }
        });
    }

    /// Continues an order whose record is open.
    fn continue_order(&mut self, now: Time, name: &Name, record: &OrderRecord, actions: &mut Vec<Action>) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let fencing = engine.fencing;
        match (engine.send_state(record), fencing) {
            (Some(SendState::Unsent), _) => self.send_opened(now, name, record, actions),
            (Some(SendState::Sent(_) | SendState::Applied | SendState::Discarded), _) => {}
            (Some(SendState::Unanswered) | None, Fencing::Checked) => {
                self.repeat_order(now, name, &record.order, actions)
            }
            (Some(SendState::Unanswered) | None, Fencing::Ignored) => {
                self.await_settlement(now, name, record, actions)
            }
        }
    }

    /// Sends an order that was just opened, or that an earlier attempt did not send.
    fn send_opened(&mut self, now: Time, name: &Name, record: &OrderRecord, actions: &mut Vec<Action>) {
        let Some(deadline) = self.prepare_send(now, name, actions) else {
            return;
        };
        let order = record.order.clone();
        let invariant = self.may_send(now, name, &order);
        self.run_checked(invariant, actions, |authority, actions| {
            let call = authority.next_call();
            authority.update_engine(name, |e| e.mark_sent(now, call));
            actions.push(Action::Send(SendOrder {
                call,
                engine: name.clone(),
                order,
                deadline,
            }));
        });
    }

    /// Checks the conditions for sending an order for the first time.
    fn may_send(&self, now: Time, name: &Name, order: &Order) -> Result<(), Violation> {
        let record = self.record.engines.get(name);
        let open = record.is_some_and(|r| r.phase == Phase::Open && r.order == *order);
        check(open, "an order must be sent only while its record is open")?;
        let ours = record.is_some_and(|r| r.incarnation == self.settings.incarnation);
        check(ours, "an order must be sent only by the process that opened it")?;
        check(
            order.fence > self.tenure_fence,
            "an order must be sent only in the tenure that opened it",
        )?;
        check(
            self.lease.is_valid(now),
            "an order must be sent only while the holder's lease is valid",
        )?;
        let state = self.engines.get(name).and_then(|e| e.own).map(|own| own.state);
        check(
            state == Some(SendState::Unsent),
            "an order must be sent at most once per opening",
        )
    }

    /// Repeats the last order under the holder's own fencing token, so that the engine refuses whatever a
    /// stale holder sends later. As the order is the same, this changes nothing that was not decided before.
    fn repeat_order(&mut self, now: Time, name: &Name, order: &Order, actions: &mut Vec<Action>) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        if engine.fence_raise != FenceRaise::Due || now < engine.retry_at {
            return;
        }
        let Some(deadline) = self.prepare_send(now, name, actions) else {
            return;
        };
        let fence = self.record.fence;
        let checked = self
            .engines
            .get(name)
            .is_some_and(|e| e.fencing == Fencing::Checked);
        let invariant = check(
            checked && fence >= order.fence && self.lease.is_valid(now),
            "an order must be repeated only to an engine that checks fencing tokens, with a token not lower",
        );
        let order = Order {
            fence,
            ..order.clone()
        };
        self.run_checked(invariant, actions, |authority, actions| {
            let call = authority.next_call();
            authority.update_engine(name, |e| e.fence_raise = FenceRaise::Sent(now, call));
            actions.push(Action::Send(SendOrder {
                call,
                engine: name.clone(),
                order,
                deadline,
            }));
        });
    }

    /// Gives an engine that ignores fencing tokens no further order while its last one may still be in
    /// flight.
    ///
    /// Failure guarded against: the former holder is paused between its check and its send. However long the
    /// successor waits, the order may arrive later, and the engine would carry it out after the successor's
    /// order. This is safe because an order is sent at most once per opening: once it took effect, or the
    /// process that opened it states that it was never sent, it cannot arrive any more.
    fn await_settlement(&mut self, now: Time, name: &Name, record: &OrderRecord, actions: &mut Vec<Action>) {
        if self.changing.as_ref() == Some(name) {
            self.finish_change(name, actions);
        }
        let ours = record.incarnation == self.settings.incarnation;
        let retry = self.settings.timing.retry_delay;
        let sequence = record.order.sequence;
        self.update_engine(name, |engine| {
            if engine.notified_sequence != sequence {
                engine.notified_sequence = sequence;
                actions.push(Action::Unsettled {
                    engine: name.clone(),
                    sequence,
                });
            }
            if !ours && now >= engine.retry_at {
                engine.retry_at = now + retry;
                actions.push(Action::AskSettlement {
                    holder: record.holder.clone(),
                    incarnation: record.incarnation,
                    engine: name.clone(),
                    sequence,
                });
            }
        });
    }

    /// Decides whether an engine whose last order is settled needs another one.
    fn decide_engine(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let Some(report) = engine.fresh_report().cloned() else {
            return self.skip_unresponsive(now, name, actions);
        };
        if report.away {
            return;
        }
        let target = engine.desired.target(&report.target, &self.model);
        if target == report.target {
            return self.finish_change(name, actions);
        }
        if !self.claim_change_slot(name) || !self.weights_ready(now, name, &report.target, &target, actions) {
            return;
        }
        if self.prepare_send(now, name, actions).is_none() {
            return;
        }
        let last = self.record.engines.get(name).map(|r| r.order.clone());
        let checked = self
            .engines
            .get(name)
            .is_some_and(|e| e.fencing == Fencing::Checked);
        let raised = self
            .engines
            .get(name)
            .is_some_and(|e| e.fence_raise == FenceRaise::Done);
        match last {
            // The engine's fencing token is raised first and its state read afterwards; only then is an order
            // decided on.
            Some(last)
                if checked && !raised && last.sequence == report.sequence && last.target == report.target =>
            {
                self.repeat_order(now, name, &last, actions);
            }
            last => self.open_order(now, name, last, target, actions),
        }
    }

    /// Opens the record of a new order.
    fn open_order(
        &mut self,
        now: Time,
        name: &Name,
        last: Option<Order>,
        target: Target,
        actions: &mut Vec<Action>,
    ) {
        let fence = self.record.fence.max(self.fence_floor).next();
        let sequence = last.as_ref().map_or(0, |o| o.sequence) + 1;
        let invariant = self.may_open(name, fence, &target);
        let order = Order::new(&self.settings.service, name, fence, sequence, target);
        let mut record = self.record.clone();
        record.fence = fence;
        record.engines.insert(
            name.clone(),
            OrderRecord {
                order: order.clone(),
                phase: Phase::Open,
                holder: self.settings.instance.clone(),
                incarnation: self.settings.incarnation,
            },
        );
        self.run_checked(invariant, actions, |authority, actions| {
            let opened = Some((name.clone(), order));
            authority.write(now, record, opened, Vec::new(), actions);
        });
    }

    /// Checks the conditions for opening an order.
    fn may_open(&self, name: &Name, fence: Fence, target: &Target) -> Result<(), Violation> {
        check(
            self.open_record(name).is_none(),
            "an order must not be opened while the last one is not settled",
        )?;
        check(
            fence > self.record.fence,
            "an opened order must raise the fencing token",
        )?;
        let state = self.engines.get(name).and_then(|e| e.report.as_ref());
        check(
            state.is_some_and(|r| r.target != *target),
            "an order must not be opened for a state that the engine already has",
        )
    }

    /// Drains an engine; returns the time until which an order may be sent, once the engine is empty.
    fn prepare_send(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) -> Option<Time> {
        if !self.claim_change_slot(name) {
            return None;
        }
        let timing = self.settings.timing.clone();
        let engine = self.engines.get_mut(name)?;
        if !engine.is_responsive(now, &timing) {
            self.finish_change(name, actions);
            return None;
        }
        engine.drain.get_or_insert_with(Drain::default);
        self.refresh_hold(now, name, actions);
        let engine = self.engines.get(name)?;
        if now < engine.retry_at {
            return None;
        }
        let deadline = engine.send_deadline(&timing)?.min(self.lease.expires_at());
        (now < deadline).then_some(deadline)
    }

    /// Renews the hold on an engine that is being changed, because the hold expires by itself.
    fn refresh_hold(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) {
        let interval = self.settings.timing.retry_delay;
        let drain = self.engines.get_mut(name).and_then(|e| e.drain.as_mut());
        if drain.is_some_and(|drain| drain.start_round(now, interval)) {
            actions.push(Action::Hold(name.clone()));
        }
    }

    /// Ends the wait for the instances to use an engine again: their answers may be lost.
    fn expire_return(&mut self, now: Time) {
        let timeout = self.settings.timing.call_timeout;
        self.returning
            .take_if(|returning| now >= *returning.until.get_or_insert(now + timeout));
    }

    /// Claims the slot for changes: only one engine of a service is changed at a time.
    ///
    /// Guards against requests that are refused because their instance still considers the engine that was changed last
    /// unavailable when the next one is held.
    fn claim_change_slot(&mut self, name: &Name) -> bool {
        if self.returning.as_ref().is_some_and(|r| r.engine != *name) {
            return false;
        }
        *self.changing.get_or_insert_with(|| name.clone()) == *name
    }

    /// Ends the change of an engine that does not report, so that it does not keep the others from being
    /// changed.
    fn skip_unresponsive(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) {
        let timing = &self.settings.timing;
        let unresponsive = self
            .engines
            .get(name)
            .is_some_and(|e| !e.is_responsive(now, timing));
        if unresponsive {
            self.finish_change(name, actions);
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
        let timeout = self.settings.timing.call_timeout;
        let same = from.model == to.model && from.adapter == to.adapter && from.version == to.version;
        let Some(engine) = self.engines.get_mut(name) else {
            return false;
        };
        match engine.weights {
            _ if same => true,
            Weights::Ready => true,
            Weights::Ask(at) if now < at => false,
            Weights::Ask(_) => {
                engine.weights = Weights::Ask(now + timeout);
                actions.push(Action::AskWeights {
                    engine: name.clone(),
                    model: to.model.clone(),
                });
                false
            }
        }
    }

    /// Ends the change of an engine: it gets requests again, and another engine may be changed.
    pub(super) fn finish_change(&mut self, name: &Name, actions: &mut Vec<Action>) {
        if self.changing.as_ref() != Some(name) {
            return;
        }
        self.changing = None;
        let drain = self.engines.get_mut(name).and_then(|engine| engine.drain.take());
        if drain.is_some() {
            self.returning = Some(Returning {
                engine: name.clone(),
                until: None,
            });
            actions.push(Action::Unhold(name.clone()));
        }
    }
}

/// The evidence that the open order of `record` is settled, if there is any.
fn close_reason(engine: &EngineState, record: &OrderRecord, tenure_fence: Fence) -> Option<CloseReason> {
    let order = &record.order;
    let reported = engine.report.as_ref();
    let state = engine.send_state(record);
    let settlement = engine
        .settlement
        .filter(|(sequence, _)| *sequence == order.sequence);
    let repeated =
        engine.fence_raise == FenceRaise::Done && matches!(state, None | Some(SendState::Unanswered));
    if state == Some(SendState::Applied) || repeated {
        return Some(CloseReason::Answered);
    }
    if reported.is_some_and(|r| r.sequence == order.sequence && r.target == order.target) {
        return Some(CloseReason::Reported);
    }
    // Opened in an earlier tenure of this process and not sent: it never will be.
    let never_sent = state == Some(SendState::Unsent) && order.fence <= tenure_fence;
    if never_sent || state == Some(SendState::Discarded) {
        return Some(CloseReason::Unsent);
    }
    if engine.released_sequence == order.sequence && !matches!(state, Some(SendState::Sent(_))) {
        return Some(CloseReason::Released);
    }
    match settlement {
        Some((_, Settlement::Applied)) => Some(CloseReason::Acknowledged),
        Some((_, Settlement::Unsent)) => Some(CloseReason::Unsent),
        Some((_, Settlement::Unknown)) | None => None,
    }
}
