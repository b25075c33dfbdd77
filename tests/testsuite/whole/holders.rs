//! Carries out what the authorities decide.

use std::collections::BTreeMap;

use sequoiastream_core::authority::Action;
use sequoiastream_core::authority::CallId;
use sequoiastream_core::authority::EngineConfig;
use sequoiastream_core::authority::Event;
use sequoiastream_core::authority::HoldAnswer;
use sequoiastream_core::authority::Incarnation;
use sequoiastream_core::authority::Order;
use sequoiastream_core::authority::OrderAnswer;
use sequoiastream_core::authority::SendOrder;
use sequoiastream_core::name::Name;

use super::kv::Call;
use super::world::INSTANCES;
use super::world::Message;
use super::world::Process;
use super::world::World;
use super::world::name;

impl World {
    /// What the daemon tells an authority ten times a second, by the instance's own configuration in force.
    pub fn tick_authority(&mut self, index: usize) {
        let Some(wishes) = self.wishes(index) else {
            return;
        };
        let instance = &self.instances[index];
        let event = match self.now < self.kv.out || self.now < instance.cut {
            true => None,
            false if self.kv.is_held(self.now) => Some(Event::Occupied),
            false => Some(Event::Vacant),
        };
        for event in event.into_iter().chain([wishes, Event::Tick]) {
            self.tell_authority(index, event);
        }
    }

    fn wishes(&self, index: usize) -> Option<Event> {
        let config = &self.instances[index].keeper.state().config;
        if !config.services.contains_key(&name("model")) {
            return None;
        }
        let engines = config.engines.iter().filter(|(_, e)| e.service == name("model"));
        let wish = |(name, engine): (&Name, &sequoiastream_core::config::Engine)| EngineConfig {
            name: name.clone(),
            fencing: engine.fencing,
            role: engine.role,
            released_sequence: config.released.get(name).copied().unwrap_or_default(),
        };
        Some(Event::Configured {
            model: "m".to_string(),
            engines: engines.map(wish).collect(),
        })
    }

    pub fn tell_authority(&mut self, index: usize, event: Event) {
        let actions = self.instances[index].authority.handle_event(self.now, event);
        for action in actions {
            self.authority_acts(index, action);
        }
    }

    /// An answer on its way to an authority: delayed, sometimes lost, sometimes doubled.
    fn tell_later(&mut self, to: Process, event: Event) {
        if self.chance(2) {
            return;
        }
        let delay = self.delay();
        if self.chance(3) {
            let again = self.delay();
            self.post(again, Some(to), Message::Authority(event.clone()));
        }
        self.post(delay, Some(to), Message::Authority(event));
    }

    fn authority_acts(&mut self, index: usize, action: Action) {
        let to = self.process(index);
        match action {
            Action::Acquire(call) => self.call(index, Call::Acquire(call, self.now)),
            Action::Renew(call) => self.call(index, Call::Renew(call, self.now)),
            Action::Release => {
                let by = self.instances[index].incarnation;
                if self.now >= self.kv.out && self.now >= self.instances[index].cut {
                    self.kv.release(index, by);
                }
            }
            Action::Read(call) => self.call(index, Call::ReadRecord(call)),
            Action::Write { call, expect, record } => {
                self.call(index, Call::WriteRecord(call, expect, Box::new(record)));
            }
            Action::Probe(engine) => {
                let lag = self.millis(0..3_000);
                let report = self.engines[&engine].report(self.now, lag);
                self.tell_later(to, Event::Reported { engine, report });
            }
            Action::Hold(engine) => {
                let event = self.held(engine);
                self.tell_later(to, event);
            }
            Action::AskWeights { engine, .. } => {
                self.tell_later(to, Event::WeightsChecked { engine, ready: true });
            }
            Action::Send(send) => {
                assert!(self.now < send.deadline, "decided too late");
                self.send_order(index, send);
            }
            Action::AskSettlement {
                holder,
                incarnation,
                engine,
                sequence,
            } => self.ask_holder(to, &holder, incarnation, (engine, sequence)),
            Action::InvariantBroken(rule) => panic!("{rule}"),
            _ => {}
        }
    }

    /// An order leaves: mostly at once; now and then the connection is refused, or the order takes longer
    /// than its sender waits, or the whole instance is paused right between its check and its send.
    fn send_order(&mut self, index: usize, send: SendOrder) {
        let from = self.process(index);
        let answer = |answer| Event::Answered {
            call: send.call,
            engine: send.engine.clone(),
            answer,
        };
        if self.chance(10) {
            return self.tell_later(from, answer(OrderAnswer::Unsent));
        }
        let mut delay = self.delay();
        if self.chance(20) {
            delay = self.millis(3_000..60_000);
            match self.chance(50) {
                true => self.pause(index, 3_000..60_000),
                false => self.tell_later(from, answer(OrderAnswer::Unknown)),
            }
        }
        let message = Message::Order(from, send.call, send.engine, send.order);
        self.post(delay, None, message);
    }

    /// An order reaches its engine.
    pub fn order(&mut self, from: Process, call: CallId, engine: Name, order: Order) {
        let recorded = self.kv.record.as_ref().and_then(|r| r.engines.get(&engine));
        let recorded = recorded.expect("an order has a record").order.clone();
        let reached = self.engines.get_mut(&engine).expect("known");
        let (answer, changed) = reached.apply(self.now, order, &recorded);
        self.applied += u64::from(changed);
        let answer = if self.chance(10) {
            OrderAnswer::Unknown
        } else {
            answer
        };
        self.tell_later(from, Event::Answered { call, engine, answer });
    }

    fn held(&mut self, engine: Name) -> Event {
        let mut answers = BTreeMap::new();
        for index in 0..INSTANCES {
            let answer = match self.now < self.instances[index].paused {
                true => HoldAnswer::Missing,
                false => HoldAnswer::InFlight(u32::from(self.chance(20))),
            };
            answers.insert(name(&format!("i{index}")), answer);
        }
        Event::HoldAnswered {
            engine,
            asked: self.now,
            done: self.now,
            answers,
        }
    }

    fn ask_holder(&mut self, from: Process, holder: &Name, opened: Incarnation, order: (Name, u64)) {
        let (engine, sequence) = order;
        let other: usize = holder.as_str()[1..].parse().expect("an index");
        if self.now < self.instances[other].paused {
            return;
        }
        let authority = &mut self.instances[other].authority;
        let settlement = authority.settlement(opened, &engine, sequence);
        let event = Event::Settled {
            engine,
            sequence,
            settlement,
        };
        self.tell_later(from, event);
    }
}
