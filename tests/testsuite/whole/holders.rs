//! Drives the authority state machines of the instances and carries out their actions.

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

use super::kv::KvCall;
use super::world::INSTANCES;
use super::world::Message;
use super::world::Process;
use super::world::Simulation;
use super::world::name;

impl Simulation {
    /// Sends an authority the events that the daemon sends it ten times a second, according to the configuration that
    /// is in force on the instance.
    pub fn tick_authority(&mut self, index: usize) {
        let Some(config) = self.config_event(index) else {
            return;
        };
        let instance = &self.instances[index];
        let event = match self.now < self.kv.outage_until || self.now < instance.disconnected_until {
            true => None,
            false if self.kv.is_lease_held(self.now) => Some(Event::Occupied),
            false => Some(Event::Vacant),
        };
        for event in event.into_iter().chain([config, Event::Tick]) {
            self.on_authority_event(index, event);
        }
    }

    fn config_event(&self, index: usize) -> Option<Event> {
        let config = &self.instances[index].replicator.state().config;
        if !config.services.contains_key(&name("model")) {
            return None;
        }
        let engines = config.engines.iter().filter(|(_, e)| e.service == name("model"));
        let engine_config = |(name, engine): (&Name, &sequoiastream_core::config::Engine)| EngineConfig {
            name: name.clone(),
            fencing: engine.fencing,
            role: engine.role,
            released_sequence: config.released.get(name).copied().unwrap_or_default(),
        };
        Some(Event::Configured {
            model: "m".to_string(),
            engines: engines.map(engine_config).collect(),
        })
    }

    pub fn on_authority_event(&mut self, index: usize, event: Event) {
        let actions = self.instances[index].authority.handle_event(self.now, event);
        for action in actions {
            self.perform_authority_action(index, action);
        }
    }

    /// Sends an answer to an authority: delayed, sometimes lost, sometimes duplicated.
    fn send_authority_event(&mut self, to: Process, event: Event) {
        if self.chance(2) {
            return;
        }
        let delay = self.random_delay();
        if self.chance(3) {
            let again = self.random_delay();
            self.schedule(again, Some(to), Message::Authority(event.clone()));
        }
        self.schedule(delay, Some(to), Message::Authority(event));
    }

    fn perform_authority_action(&mut self, index: usize, action: Action) {
        let to = self.process(index);
        match action {
            Action::Acquire(call) => self.call_kv(index, KvCall::Acquire(call, self.now)),
            Action::Renew(call) => self.call_kv(index, KvCall::Renew(call, self.now)),
            Action::Release => {
                let by = self.instances[index].incarnation;
                if self.now >= self.kv.outage_until && self.now >= self.instances[index].disconnected_until {
                    self.kv.release_lease(index, by);
                }
            }
            Action::Read(call) => self.call_kv(index, KvCall::ReadRecord(call)),
            Action::Write { call, expect, record } => {
                self.call_kv(index, KvCall::WriteRecord(call, expect, Box::new(record)));
            }
            Action::Probe(engine) => {
                let lag = self.random_millis(0..3_000);
                let report = self.engines[&engine].report(self.now, lag);
                self.send_authority_event(to, Event::Reported { engine, report });
            }
            Action::Hold(engine) => {
                let event = self.hold_answers(engine);
                self.send_authority_event(to, event);
            }
            Action::Unhold(engine) => self.send_authority_event(to, Event::Unheld(engine)),
            Action::AskWeights { engine, .. } => {
                self.send_authority_event(to, Event::WeightsChecked { engine, ready: true });
            }
            Action::Send(send) => {
                assert!(self.now < send.deadline, "order sent after its deadline");
                self.send_order(index, send);
            }
            Action::AskSettlement {
                holder,
                incarnation,
                engine,
                sequence,
            } => self.ask_settlement(to, &holder, incarnation, (engine, sequence)),
            Action::InvariantBroken(rule) => panic!("{rule}"),
            _ => {}
        }
    }

    /// Sends an order: mostly at once; occasionally the connection is refused, or the order takes longer than its
    /// sender waits, or the whole instance is paused between its check and the send.
    fn send_order(&mut self, index: usize, send: SendOrder) {
        let from = self.process(index);
        let answer = |answer| Event::Answered {
            call: send.call,
            engine: send.engine.clone(),
            answer,
        };
        if self.chance(10) {
            return self.send_authority_event(from, answer(OrderAnswer::Unsent));
        }
        let mut delay = self.random_delay();
        if self.chance(20) {
            delay = self.random_millis(3_000..60_000);
            match self.chance(50) {
                true => self.pause(index, 3_000..60_000),
                false => self.send_authority_event(from, answer(OrderAnswer::Unknown)),
            }
        }
        let message = Message::Order(from, send.call, send.engine, send.order);
        self.schedule(delay, None, message);
    }

    /// Delivers an order to its engine.
    pub fn deliver_order(&mut self, from: Process, call: CallId, engine: Name, order: Order) {
        let recorded = self.kv.record.as_ref().and_then(|r| r.engines.get(&engine));
        let recorded = recorded
            .expect("each order is recorded before it is sent")
            .order
            .clone();
        let reached = self.engines.get_mut(&engine).expect("known");
        let (answer, changed) = reached.apply(self.now, order, &recorded);
        self.applied_orders += u64::from(changed);
        let answer = if self.chance(10) {
            OrderAnswer::Unknown
        } else {
            answer
        };
        self.send_authority_event(from, Event::Answered { call, engine, answer });
    }

    fn hold_answers(&mut self, engine: Name) -> Event {
        let mut answers = BTreeMap::new();
        for index in 0..INSTANCES {
            let answer = match self.now < self.instances[index].paused_until {
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

    fn ask_settlement(&mut self, from: Process, holder: &Name, opened: Incarnation, order: (Name, u64)) {
        let (engine, sequence) = order;
        let other: usize = holder.as_str()[1..].parse().expect("an index");
        if self.now < self.instances[other].paused_until {
            return;
        }
        let authority = &mut self.instances[other].authority;
        let settlement = authority.settlement(opened, &engine, sequence);
        let event = Event::Settled {
            engine,
            sequence,
            settlement,
        };
        self.send_authority_event(from, event);
    }
}
