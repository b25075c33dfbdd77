//! Choosing engines for a request, and noting what it has there.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::load_message::turns;
use sequoiastream_core::relay::load_tracker::JobId;
use sequoiastream_core::relay::placement::EngineSelector;
use sequoiastream_core::relay::placement::PrefillPlan;
use sequoiastream_core::relay::prefill_time::PrefillWork;
use sequoiastream_core::relay::prompt::Prompt;

use crate::ops::relay::forward::Forward;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Prompts up to so many tokens are read by the engine that generates: it takes less than the hand-over.
const SHORT_PROMPT: u32 = 1_024;

/// How much longer an engine that generates for others takes to read a prompt: it reads between their tokens, at half
/// the speed.
const DECODE_READING: u32 = 2;

/// Work that an engine may have, against what it does at once: as much again may wait.
pub(super) const QUEUE: f64 = 2.0;

/// Part of an engine's slots that requests may fill which others of the service outrank. Long answers hold a slot for
/// seconds; without a rest for the others, these would wait behind them.
const UNRESERVED: f64 = 0.75;

/// Work noted at an engine; ends when dropped.
pub struct Held {
    shared: Arc<Shared>,
    ticket: JobId,
}

impl Held {
    /// Notes that the prompt is read.
    pub fn read(&self) {
        self.shared.traffic().load.finish_prefill(self.ticket);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shared.traffic().load.finish(clock::now(), self.ticket);
    }
}

impl Forward {
    /// The engine that reads a long prompt itself and generates, and how long that reading keeps it: one that knows the
    /// shared parts and is in time.
    pub(super) fn pick_reading_generator(&mut self, is_fresh: bool) -> Option<(Engine, Duration)> {
        let decode = self.pick_reader(Stage::Decode);
        let reading = decode.or_else(|| self.pick_reader(Stage::Whole))?;
        let slower = match reading.engine.entry.stage {
            Stage::Decode => DECODE_READING,
            Stage::Prefill | Stage::Whole => 1,
        };
        let takes = reading.total_time * slower;
        if is_fresh && self.would_be_late(takes, reading.queue_time) {
            return None;
        }
        self.note_sent(&reading);
        Some((reading.engine, reading.busy_time))
    }

    /// The engine at `stage` that reads the prompt.
    pub(super) fn pick_reader(&self, stage: Stage) -> Option<PrefillPlan> {
        let prompt = self.ask.prompt.as_ref()?;
        self.pick(|chooser, engines| chooser.choose_prefill(engines, stage, prompt))
    }

    /// The engine that generates, near the one that has read the prompt, and how long reading it keeps that engine.
    pub(super) fn pick_generator(&self, is_fresh: bool) -> Option<(Engine, Duration)> {
        let zone = self.kept.as_ref().map(|kept| kept.engine.entry.zone.as_str());
        let part = match (
            &self.kept,
            self.view.table.is_outranked(&self.route, self.priority),
        ) {
            (Some(_), _) => QUEUE,
            (None, false) => 1.0,
            (None, true) => UNRESERVED,
        };
        self.pick_near(zone, |chooser, engines| {
            let engine = generator(chooser, engines)?;
            let is_open = !is_fresh || !chooser.is_full(engine, part);
            let unread = match (&self.kept, &self.ask.prompt) {
                (None, Some(prompt)) => {
                    let pace = chooser.loads.prefill_model(&engine.entry.service);
                    pace.busy_time(PrefillWork::new(prompt, prompt.input)) * DECODE_READING
                }
                _ => Duration::ZERO,
            };
            is_open.then(|| (engine.clone(), unread))
        })
    }

    pub(super) fn prompt_tokens(&self) -> u64 {
        self.ask.prompt.as_ref().map_or(0, |p| u64::from(p.input))
    }

    /// Whether reading the prompt counts: shorter ones take less than the hand-over.
    pub(super) fn has_long_prompt(&self) -> bool {
        self.prompt_tokens() > u64::from(SHORT_PROMPT)
    }

    pub(super) fn pick<T, F>(&self, choose: F) -> Option<T>
    where
        F: FnOnce(&EngineSelector<'_>, &[Engine]) -> Option<T>,
    {
        self.pick_near(None, choose)
    }

    pub(super) fn pick_near<T, F>(&self, zone: Option<&str>, choose: F) -> Option<T>
    where
        F: FnOnce(&EngineSelector<'_>, &[Engine]) -> Option<T>,
    {
        let service = self.service.as_ref()?;
        // The engines of now: one that left since the request came gets no work any more.
        let view = self.shared.view.load();
        let engines = view.engines().get(service)?;
        let now = clock::now();
        let is_changing = |e: &Engine| view.orders.is_changing(now, &e.entry);
        // Seldom does any change its stage; only then is a copy made.
        let any = view.orders.may_change(now) && engines.iter().any(is_changing);
        let staying: Cow<'_, [Engine]> = match any {
            true => engines.iter().filter(|e| !is_changing(e)).cloned().collect(),
            false => Cow::Borrowed(engines),
        };
        let ledger = self.shared.traffic();
        let chooser = EngineSelector {
            loads: &ledger.load,
            now,
            zone: zone.unwrap_or(self.shared.options.zone.as_str()),
            tried: &self.tried,
            memory_tokens: view
                .table
                .services
                .get(service)
                .and_then(|s| Some(s.engine_spec.as_ref()?.cache_tokens)),
            report_turns: turns(view.instances.saturating_sub(1)),
            tie_breaker: self.draw,
        };
        choose(&chooser, &staying)
    }

    /// Notes which shared parts an engine is sent to read.
    pub(super) fn note_sent(&self, reading: &PrefillPlan) {
        let part = self.ask.prompt.as_ref().and_then(Prompt::shared);
        if let Some(part) = part {
            self.shared
                .traffic()
                .load
                .on_prefill_sent(clock::now(), reading, part.id);
        }
    }

    pub(super) fn hold(&self, engine: &Engine, reading: Duration) -> Held {
        let ticket = self
            .shared
            .traffic()
            .load
            .begin(clock::now(), engine.key, reading);
        Held {
            shared: self.shared.clone(),
            ticket,
        }
    }
}

/// The engine that generates: one that does only that, else one that does everything.
pub(super) fn generator<'e>(chooser: &EngineSelector<'_>, engines: &'e [Engine]) -> Option<&'e Engine> {
    let decode = chooser.choose_decode(engines, Stage::Decode);
    decode.or_else(|| chooser.choose_decode(engines, Stage::Whole))
}
