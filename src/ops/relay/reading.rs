//! Having a prompt read by an engine that does nothing else, for another one that generates.

use std::sync::Arc;
use std::time::Duration;

use sequoiastream_core::attempt::End;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::placement::PrefillPlan;
use sequoiastream_core::retry;
use sequoiastream_upstream::channel::Pool;

use crate::log_event;
use crate::ops::relay::forward::Forward;
use crate::ops::relay::forward::Refusal;
use crate::ops::relay::pick::generator;
use crate::ops::relay::reply::Reply;
use crate::ops::relay::send::Extra;
use crate::ops::relay::send::Failure;
use crate::ops::relay::send::MAX_ANSWER;
use crate::ops::relay::send::release;
use crate::ops::relay::send::send;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// How long freeing a kept prompt may take.
const RELEASE: Duration = Duration::from_millis(500);

/// Engines that are asked in turn to read a prompt.
const MAX_READS: u32 = 2;

/// Part of a route's target by which an answer must be expected to begin: the rest is for the ways to and from the
/// caller.
const ON_TIME: f64 = 0.95;

/// Part of a route's target that is a short wait: a request that would be late all the same is let in by it. Long
/// enough for what is left of a reading that goes on, too short for a queue.
const SHORT_WAIT: f64 = 0.1;

/// A prompt that an engine has read and keeps; freed when dropped, unless it was taken.
pub(super) struct Kept {
    shared: Arc<Shared>,
    pool: Pool,
    pub(super) engine: Engine,
    name: String,
    pub(super) taken: bool,
}

impl Kept {
    pub(super) fn source(&self) -> String {
        format!("{}/{}", self.engine.entry.address, self.name)
    }
}

impl Drop for Kept {
    /// Failure guarded against: the caller leaves, or no engine takes the prompt, and it fills the memory of its
    /// engine until it expires.
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let path = self.shared.translate.release(&self.name);
        let pool = self.pool.clone();
        let engine = self.engine.clone();
        actix_rt::spawn(async move {
            if let Err(failure) = release(&pool, engine.entry.address, &path, RELEASE).await {
                log_event!(debug, log_event::ATTEMPT_FAILED, engine = %engine.entry.id, why = failure.why, call = "release");
            }
        });
    }
}

impl Forward {
    /// Whether another engine is to read the prompt: where some do nothing else, and it is so long that reading it
    /// there costs less than the hand-over.
    pub(super) fn wants_reader(&self) -> bool {
        let engines = self.service.as_ref().and_then(|s| self.view.engines().get(s));
        self.has_long_prompt() && engines.is_some_and(|e| e.iter().any(|e| e.entry.stage == Stage::Prefill))
    }

    /// Has the prompt read. Without an engine that could, the generating one reads it.
    pub(super) async fn read_prompt(&mut self, is_fresh: bool) -> Result<(), Option<Reply>> {
        for attempt in 0..MAX_READS {
            let Some(reading) = self.pick_reader(Stage::Prefill) else {
                return Ok(());
            };
            let handover = self.handover();
            let takes = reading.total_time + handover;
            let is_first = is_fresh && attempt == 0;
            if is_first {
                self.predicted = Some(clock::now().since(self.ask.arrived) + takes);
            }
            if is_first && self.would_be_late(takes, reading.queue_time) {
                break;
            }
            // Only the first call to read a prompt is free: one for another attempt draws on the budget as well.
            if !is_first && !self.take_extra() {
                break;
            }
            let may_repeat = attempt + 1 < MAX_READS;
            let patience =
                may_repeat.then(|| retry::first_token_timeout(self.ask.left(), reading.total_time, 0));
            match self.read_at(&reading, patience).await {
                Ok(()) => return Ok(()),
                Err(failure) => {
                    self.log_failure(&reading.engine, &failure, "read the prompt");
                    self.judge(reading.engine.key, failure.end);
                    self.tried.push(reading.engine.key);
                }
            }
            if self.ask.left().is_zero() {
                break;
            }
        }
        Err(Some(self.give_up()))
    }

    /// How long it takes from the prompt's being read to the first event, at the engine that is free first.
    pub(super) fn handover(&self) -> Duration {
        let wait = self.pick(|chooser, engines| {
            let engine = generator(chooser, engines)?;
            let queue = chooser
                .loads
                .queue_time(chooser.now, engine.key, engine.entry.slots);
            Some(queue + chooser.loads.handover(chooser.now, engine.key))
        });
        wait.unwrap_or_default()
    }

    pub(super) async fn read_at(
        &mut self,
        reading: &PrefillPlan,
        patience: Option<Duration>,
    ) -> Result<(), Failure> {
        self.note_sent(reading);
        let _held = self.hold(&reading.engine, reading.busy_time);
        let begun = clock::now();
        let name = self.call_reader(reading, patience).await?;
        let now = clock::now();
        let mut ledger = self.shared.traffic();
        ledger.load.on_attempt_end(now, reading.engine.key, End::Answered);
        ledger.load.on_prefill(now, reading, now.since(begun));
        drop(ledger);
        self.read = Some(now);
        self.kept = Some(Kept {
            shared: self.shared.clone(),
            pool: self.pool.clone(),
            engine: reading.engine.clone(),
            name,
            taken: false,
        });
        Ok(())
    }

    pub(super) async fn call_reader(
        &self,
        reading: &PrefillPlan,
        patience: Option<Duration>,
    ) -> Result<String, Failure> {
        let engine = &reading.engine;
        let names = self.shared.translate.names();
        let extra = Extra {
            prefill: true,
            fetch: reading.fetch_from,
            patience,
            ..Extra::default()
        };
        let mut answer = send(&self.pool, names, &self.ask, engine, &extra).await?;
        let status = answer.head.status;
        let body = answer.read(MAX_ANSWER, self.ask.left()).await?;
        self.pool.keep(engine.entry.address, answer);
        if !status.is_success() {
            return Err(Failure::new(End::Failed, format!("status {status}")));
        }
        let kept = self.shared.translate.kept(&body);
        kept.map_err(|e| Failure::new(End::Broken, e))
    }

    /// Whether an answer that begins after `takes` would be late; notes it as the reason of the refusal.
    ///
    /// Failure guarded against: the longest prompts take longer than their target on an engine that has nothing else to
    /// do, and are refused for ever. What waits for little besides itself is served, late if need be.
    pub(super) fn would_be_late(&mut self, takes: Duration, wait: Duration) -> bool {
        let is_late = !self.is_on_time(takes) && wait > self.route.latency_target.mul_f64(SHORT_WAIT);
        if is_late {
            let why = "it would be late";
            self.refusal = Some(Refusal { why, takes });
        }
        is_late
    }

    /// Whether an answer that begins after `takes` is in time for all that it is worth.
    ///
    /// Under overload this keeps the queues as long as what they hold is still of full worth: an engine that is
    /// never idle and never late serves the most. Whoever is refused knows at once.
    fn is_on_time(&self, takes: Duration) -> bool {
        let passed = clock::now().since(self.ask.arrived);
        self.route.latency_target.is_zero() || passed + takes <= self.route.latency_target.mul_f64(ON_TIME)
    }
}
