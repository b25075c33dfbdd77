//! Chooses engines for a request and records its jobs at them.

use std::borrow::Cow;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::load_message::turns;
use sequoiastream_core::relay::placement::EngineSelector;
use sequoiastream_core::relay::placement::PrefillPlan;
use sequoiastream_core::relay::prefill_time::PrefillWork;
use sequoiastream_core::relay::prompt::Prompt;
use sequoiastream_core::relay::rank::LEAST_URGENT_PART;
pub(super) use sequoiastream_core::relay::rank::MAX_LOAD_FACTOR;
use sequoiastream_core::relay::return_schedule::LimitedService;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::stream_needs::StreamNeeds;
use sequoiastream_core::time::Time;

use crate::log_event;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::job::JobGuard;
use crate::ops::relay::reading::ON_TIME_PART;
use crate::ops::relay::shared::TrafficState;
use crate::ops::relay::shared::View;
use crate::ops::relay::versions::StreamVersion;
use crate::util::clock;

/// Prompts with at most this many tokens are processed by the engine that generates the answer, which takes less time
/// than a handover.
const SHORT_PROMPT_TOKENS: u32 = 1_024;

/// How many times longer a prefill takes at an engine that generates for other requests. The prefill runs between the
/// steps that generate their tokens, at half the speed.
pub(super) const DECODE_PREFILL_SLOWDOWN: u32 = 2;

/// An engine whose load decided whether a request is refused.
#[derive(Debug, Clone)]
pub(super) struct JudgedEngine {
    /// Id of the engine.
    pub(super) engine: String,
    /// Requests there.
    pub(super) requests: u32,
    /// Time for which the request would wait there.
    pub(super) queue: Duration,
}

impl JudgedEngine {
    /// An engine, as known to `selector`, at which a request would wait for `queue`.
    fn new(selector: &EngineSelector<'_>, engine: &Engine, queue: Duration) -> JudgedEngine {
        JudgedEngine {
            engine: engine.entry.id.clone(),
            requests: selector.loads.work(selector.now, engine.key).requests,
            queue,
        }
    }
}

impl ForwardedRequest {
    /// Chooses the engine that both processes a long prompt and generates the answer, preferably one that has the
    /// shared parts cached. Returns it with the time for which the prefill occupies it; `None` if the request is fresh
    /// and its first event would be late.
    pub(super) fn choose_prefill_and_decode(&mut self, is_fresh: bool) -> Option<(Engine, Duration)> {
        let decode = self.choose_prefill(Stage::Decode);
        let plan = decode.or_else(|| self.choose_prefill(Stage::Whole))?;
        let slowdown = match plan.engine.entry.stage {
            Stage::Decode => DECODE_PREFILL_SLOWDOWN,
            Stage::Prefill | Stage::Whole => 1,
        };
        let overtaken = self.overtaken(plan.queue_time);
        let expected = (plan.total_time * slowdown).saturating_sub(overtaken);
        if is_fresh
            && (self.yields(&plan) || self.would_be_late(expected, plan.queue_time.saturating_sub(overtaken)))
        {
            return None;
        }
        self.record_prefill_sent(&plan);
        Some((plan.engine, plan.busy_time))
    }

    /// Chooses the engine at `stage` that computes the prefill.
    pub(super) fn choose_prefill(&mut self, stage: Stage) -> Option<PrefillPlan> {
        let prompt = self.incoming.prompt.as_ref()?;
        let (plan, judged) = self.select(|selector, engines| {
            let plan = selector.choose_prefill(engines, stage, prompt)?;
            let judged = JudgedEngine::new(selector, &plan.engine, plan.queue_time);
            Some((plan, judged))
        })?;
        self.judged = Some(judged);
        self.work_tokens = plan.work.tokens();
        Some(plan)
    }

    /// Chooses the engine that generates the answer, near the one that computed the prefill. Returns it with the time
    /// for which it is occupied by a prefill that is still to be computed.
    pub(super) fn choose_decode(&mut self, is_fresh: bool) -> Option<(Engine, Duration)> {
        let zone = self
            .prefilled
            .as_ref()
            .map(|prefilled| prefilled.engine.entry.zone.as_str());
        let is_bound = self.version != StreamVersion::Any;
        let part = match (
            &self.prefilled,
            self.view.table.is_outranked(&self.route, self.priority),
        ) {
            // Only some engines may continue a stream, and others can take the new ones.
            _ if is_bound => MAX_LOAD_FACTOR,
            (Some(_), _) => MAX_LOAD_FACTOR,
            (None, false) => 1.0,
            (None, true) => LEAST_URGENT_PART,
        };
        let part = self.ranked_part().unwrap_or(part);
        let overdue = self.overdue_part().filter(|_| self.prefilled.is_none());
        let part = overdue.map_or(part, |overdue| overdue.max(part));
        let needs = self.stream_needs(part, Duration::ZERO);
        let mut judged = None;
        let chosen = self.select_near(zone, |selector, engines| {
            let reserved = engines.iter().find(|e| self.reserved == Some(e.key));
            let engine = reserved.or_else(|| decode_engine(selector, engines, &needs))?;
            let queue = selector
                .loads
                .queue_time(selector.now, engine.key, engine.entry.slots);
            judged = Some(JudgedEngine::new(selector, engine, queue));
            let has_room = !is_fresh
                || !selector.is_full(engine, part)
                    && (is_bound || overdue.is_some() || self.waits_in_time(selector, engine));
            let prefill = match (&self.prefilled, &self.incoming.prompt) {
                (None, Some(prompt)) => {
                    let model = selector.loads.prefill_model(&engine.entry.service);
                    model.busy_time(PrefillWork::new(prompt, prompt.input)) * DECODE_PREFILL_SLOWDOWN
                }
                _ => Duration::ZERO,
            };
            let pause = selector.loads.predicted_pause(selector.now, engine);
            has_room.then(|| (engine.clone(), prefill, pause))
        });
        self.judged = judged;
        let (engine, prefill, pause) = chosen?;
        if let Some(pause) = pause.filter(|pause| needs.is_exceeded(*pause)) {
            self.on_pace_missed(&engine, pause);
        }
        Some((engine, prefill))
    }

    /// Counts and logs that a long stream is sent to an engine at which too long a pause is expected.
    fn on_pace_missed(&self, engine: &Engine, pause: Duration) {
        self.shared.metrics.count_slow_stream(&engine.entry.service);
        let (pause, target) = (pause.as_millis() as u64, self.route.gap_target.as_millis() as u64);
        log_event!(info, log_event::PACE_MISSED, request = self.id(), route = %self.route.name,
            engine = %engine.entry.id, pause, target);
    }

    /// What the stream requires of the pace of an engine that may be sent it up to the fraction `max_load` of its slots,
    /// once its prefill is complete after `prefill`.
    pub(super) fn stream_needs(&self, max_load: f64, prefill: Duration) -> StreamNeeds {
        let passed = clock::now().since(self.incoming.arrived) + prefill;
        let target = self.route.latency_target.mul_f64(ON_TIME_PART);
        let first_event = match target.is_zero() {
            true => Duration::MAX,
            false => target.saturating_sub(passed),
        };
        let tokens = self
            .incoming
            .prompt
            .as_ref()
            .map_or(u32::MAX, Prompt::answer_tokens);
        let usual = self
            .shared
            .traffic()
            .load
            .stream_lengths
            .expected(&self.route.name);
        StreamNeeds {
            gap_target: self.route.gap_target,
            events: usual.map_or(tokens, |usual| usual.min(tokens)),
            first_event,
            max_load,
        }
    }

    pub(super) fn prompt_tokens(&self) -> u64 {
        self.incoming.prompt.as_ref().map_or(0, |p| u64::from(p.input))
    }

    /// Whether the prompt is long enough for a separate prefill: a short one takes less time than the handover.
    pub(super) fn has_long_prompt(&self) -> bool {
        self.prompt_tokens() > u64::from(SHORT_PROMPT_TOKENS)
    }

    pub(super) fn select<T, F>(&self, choose: F) -> Option<T>
    where
        F: FnOnce(&EngineSelector<'_>, &[Engine]) -> Option<T>,
    {
        self.select_near(None, choose)
    }

    pub(super) fn select_near<T, F>(&self, zone: Option<&str>, choose: F) -> Option<T>
    where
        F: FnOnce(&EngineSelector<'_>, &[Engine]) -> Option<T>,
    {
        let service = self.service.as_ref()?;
        // Uses the current engines instead of those at the request's arrival: an engine that has left since gets no
        // more work.
        let view = self.shared.view.load();
        let engines = view.engines().get(service)?;
        let now = clock::now();
        let ledger = self.shared.traffic();
        let is_excluded = |e: &Engine| {
            is_unavailable(&view, &ledger, now, e)
                || !self.may_deliver(&ledger, now, e)
                || (self.reserved != Some(e.key) && !ledger.rate_limits.has_room(now, e.incarnation()))
        };
        // Engines are rarely excluded, so the list is copied only if one is.
        let may_exclude = view.orders.may_change(now)
            || ledger.notices.any_unavailable(now)
            || ledger.rate_limits.any()
            || self.route.kind == RouteKind::Resumable;
        let any = may_exclude && engines.iter().any(is_excluded);
        let staying: Cow<'_, [Engine]> = match any {
            true => engines.iter().filter(|e| !is_excluded(e)).cloned().collect(),
            false => Cow::Borrowed(engines),
        };
        let selector = EngineSelector {
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
        choose(&selector, &staying)
    }

    /// The limits of the engines that could generate the answer, if all of them are at their request limits.
    pub(super) fn limited_service(&self) -> Option<LimitedService> {
        let view = self.shared.view.load();
        let engines = view.engines().get(self.service.as_ref()?)?;
        let now = clock::now();
        let ledger = self.shared.traffic();
        let mut limited: Option<LimitedService> = None;
        for engine in engines {
            let incarnation = engine.incarnation();
            if engine.entry.stage == Stage::Prefill
                || self.tried.contains(&engine.key)
                || is_unavailable(&view, &ledger, now, engine)
                || !self.may_deliver(&ledger, now, engine)
            {
                continue;
            }
            if ledger.rate_limits.has_room(now, incarnation) {
                return None;
            }
            let (rate, wait) = ledger.rate_limits.wait(now, incarnation)?;
            limited = Some(limited.unwrap_or_default().with(rate, wait));
        }
        limited
    }

    /// Records that an engine is sent a prefill, and the shared parts of this prompt, which it will have cached.
    pub(super) fn record_prefill_sent(&self, plan: &PrefillPlan) {
        self.record_rank(plan);
        let part = self.incoming.prompt.as_ref().and_then(Prompt::shared);
        if let Some(part) = part {
            self.shared
                .traffic()
                .load
                .on_prefill_sent(clock::now(), plan, part.id);
        }
    }

    /// Chooses the engine that is to generate the answer, after a prefill that takes `prefill`, if it limits its
    /// requests, and counts this request there.
    ///
    /// Guards against several prompts that are prefilled at the same time although an engine may generate the answer to
    /// one of them only.
    pub(super) fn reserve_decode(&mut self, prefill: Duration) {
        if self.reserved.is_some() || !self.shared.traffic().rate_limits.any() {
            return;
        }
        let needs = self.stream_needs(MAX_LOAD_FACTOR, prefill);
        let engine = self.select(|selector, engines| decode_engine(selector, engines, &needs).cloned());
        let now = clock::now();
        let mut ledger = self.shared.traffic();
        let limited = engine.filter(|e| ledger.rate_limits.wait(now, e.incarnation()).is_some());
        if let Some(engine) = &limited {
            ledger.rate_limits.on_send(now, engine);
        }
        drop(ledger);
        self.reserved = limited.map(|engine| engine.key);
    }

    /// Records that an engine is sent this request.
    pub(super) fn begin_job(&mut self, engine: &Engine, prefill: Duration) -> JobGuard {
        let now = clock::now();
        let is_reserved = self.reserved.take_if(|key| *key == engine.key).is_some();
        let mut ledger = self.shared.traffic();
        if !is_reserved {
            ledger.rate_limits.on_send(now, engine);
        }
        let id = ledger.load.begin(now, engine.key, prefill);
        drop(ledger);
        JobGuard::new(self.shared.clone(), id)
    }
}

/// Whether an engine must get no requests, because it is being ordered to another stage, leaving, or paused.
fn is_unavailable(view: &View, ledger: &TrafficState, now: Time, engine: &Engine) -> bool {
    view.orders.is_changing(now, &engine.entry) || ledger.notices.is_unavailable(now, engine.incarnation())
}

/// The engine that generates the answer: one that only generates, otherwise one that also computes prefills.
pub(super) fn decode_engine<'e>(
    selector: &EngineSelector<'_>,
    engines: &'e [Engine],
    needs: &StreamNeeds,
) -> Option<&'e Engine> {
    let decode = selector.choose_decode(engines, Stage::Decode, needs);
    decode.or_else(|| selector.choose_decode(engines, Stage::Whole, needs))
}
