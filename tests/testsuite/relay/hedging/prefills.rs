//! Hedged calls for prefills: the decision by itself, and whole instances.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sequoiastream::util::clock;
use sequoiastream_core::attempt::End;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::hedging;
use sequoiastream_core::relay::hedging::PrefillTracker;
use sequoiastream_core::relay::load_tracker::LoadTracker;
use sequoiastream_core::relay::placement::EngineSelector;
use sequoiastream_core::relay::placement::PrefillPlan;
use sequoiastream_core::relay::prefill_time::PrefillWork;
use sequoiastream_core::relay::prompt::Part;
use sequoiastream_core::relay::prompt::Prompt;
use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::time::Time;
use tokio::sync::Notify;

use super::instances::hedges;
use super::instances::wait_for_hedge;
use super::millis;
use crate::relay::answers::event_stream;
use crate::relay::engine::Action;
use crate::relay::engine::ReceivedRequest;
use crate::relay::engine::ScriptedEngine;
use crate::relay::engine::answer;
use crate::relay::engine::decline;
use crate::relay::instance::Instance;
use crate::relay::instance::route;
use crate::relay::instance::status;
use crate::relay::metrics::samples;

/// Enough tokens for a separate prefill.
const LONG: &str = "x-tokens: 9000\r\n";

fn prompt() -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        model: "m".to_string(),
        input: 9_000,
        output: 2,
        expected: None,
        parts: vec![part(1, 6_000), part(0, 3_000)],
    }
}

/// An engine that computes prefills, on the machine with the number of its key.
fn engine(key: u32) -> Engine {
    let machine = u8::try_from(key).expect("few engines");
    let mut entry = crate::relay::entry(&format!("e{key}"), Stage::Prefill);
    entry.address = SocketAddr::from(([10, 0, 0, machine], 80));
    Engine::new(EngineKey(key), entry)
}

/// A call that is predicted to take 100 ms, after `queue_time`.
fn plan(queue_time: Duration) -> PrefillPlan {
    PrefillPlan {
        engine: engine(1),
        work: PrefillWork::new(&prompt(), 9_000),
        new_tokens: 9_000,
        busy_time: millis(80),
        queue_time,
        total_time: millis(100),
        fetch_from: None,
    }
}

fn nearest_milli(time: Duration) -> Duration {
    millis((time.as_secs_f64() * 1e3).round() as u64)
}

/// Guards against a limit that is right for one length of prompts only, and against one from too few calls or from
/// calls whose queue was predicted wrongly.
#[test]
fn slow_after_ratio() {
    let mut tracker = PrefillTracker::new();
    for number in 1..=29 {
        tracker.on_prefill(Time::ZERO, &plan(Duration::ZERO), millis(number));
    }
    (0..100).for_each(|_| tracker.on_prefill(Time::ZERO, &plan(millis(1)), millis(1)));
    assert_eq!(tracker.slow_after(Time::ZERO, &plan(Duration::ZERO)), None);
    for number in 30..=100 {
        tracker.on_prefill(Time::ZERO, &plan(Duration::ZERO), millis(number * 10));
    }
    let slow_after = |tracker: &mut PrefillTracker, total_time| {
        let plan = PrefillPlan {
            total_time,
            ..plan(Duration::ZERO)
        };
        tracker.slow_after(Time::ZERO, &plan).map(nearest_milli)
    };
    assert_eq!(slow_after(&mut tracker, millis(100)), Some(millis(950)));
    assert_eq!(slow_after(&mut tracker, millis(20)), Some(millis(190)));
}

fn second_of(engines: &[Engine], loads: &LoadTracker, tried: &[EngineKey]) -> Option<EngineKey> {
    let selector = EngineSelector {
        loads,
        now: Time::ZERO,
        zone: "a",
        tried,
        memory_tokens: None,
        report_turns: 1,
        tie_breaker: 0,
    };
    let second = hedging::second_prefill(&selector, engines, &prompt(), &engines[0], millis(50));
    second.map(|plan| plan.engine.key)
}

/// Guards against a second engine that delivers no earlier than the first one: it is on the same machine, not healthy, or
/// has a queue.
#[test]
fn second_prefill_free() {
    let mut same_machine = engine(2);
    same_machine.entry.address = SocketAddr::from(([10, 0, 0, 1], 81));
    let loads = LoadTracker::new();
    assert_eq!(second_of(&[engine(1), same_machine], &loads, &[]), None);
    let engines = [engine(1), engine(2)];
    assert_eq!(second_of(&engines, &loads, &[]), Some(EngineKey(2)));
    assert_eq!(second_of(&engines, &loads, &[EngineKey(2)]), None);
    for (queue, expected) in [(49, Some(EngineKey(2))), (50, None)] {
        let mut loads = LoadTracker::new();
        loads.begin(Time::ZERO, EngineKey(2), millis(queue));
        assert_eq!(second_of(&engines, &loads, &[]), expected);
    }
    for end in [End::Silent, End::Declined] {
        let mut loads = LoadTracker::new();
        loads.on_attempt_end(Time::ZERO, EngineKey(2), end);
        assert_eq!(second_of(&engines, &loads, &[]), None, "{end:?}");
    }
}

/// Guards against a prefill that is computed again for a route which was led elsewhere, and against one that is not
/// because the request may run only once.
#[test]
fn leads_prefill_to_current() {
    let old = route(RouteKind::Once, "/r/");
    let leads = |service: &str| {
        let mut current = route(RouteKind::Once, "/r/");
        current.targets[0].service = service.to_string();
        let table = RoutingTable::new(4, CallerLimits::default(), vec![current], Vec::new());
        hedging::leads_prefill_to(&table, &old, "/r/x", "chat")
    };
    assert!(leads("chat"));
    assert!(!leads("other"));
}

/// What an engine does on a call for a prefill.
type Script = Box<dyn Fn(&ReceivedRequest) -> Vec<Action>>;

/// An instance with two engines that compute prefills.
struct Fleet {
    instance: Instance,
    /// The engine that computes the prefill unless it is slow, and the other one.
    engines: [ScriptedEngine; 2],
    /// Their keys.
    keys: [EngineKey; 2],
    _decoder: ScriptedEngine,
}

impl Fleet {
    /// Engines that act by these scripts, after a first prefill that both would compute at once. A call counts as slow
    /// once it has taken as long as predicted if `ratio` is above 0.
    async fn start(kind: RouteKind, ratio: f64, scripts: [Script; 2]) -> Fleet {
        let roles: [Rc<RefCell<Option<Script>>>; 2] = Default::default();
        let mut engines = Vec::new();
        for (role, machine) in roles.iter().zip(["127.0.0.1", "127.0.0.2"]) {
            let role = role.clone();
            let script = move |_, request: &ReceivedRequest| match &*role.borrow() {
                Some(script) => script(request),
                None => vec![answer(request, "kept h7")],
            };
            engines.push(ScriptedEngine::start_on(machine, script).await);
        }
        let stream =
            |_, request: &ReceivedRequest| vec![Action::Send(event_stream(request, 1..=1) + "0\r\n\r\n")];
        let decoder = ScriptedEngine::start(stream).await;
        let stages = [
            (&engines[0], Stage::Prefill),
            (&engines[1], Stage::Prefill),
            (&decoder, Stage::Decode),
        ];
        let instance = Instance::start(kind, &stages, |_| {});
        let got = instance.get("/r/x", "q0", LONG).await;
        assert_eq!(status(&got), "200", "{got}");
        let mut keys = [EngineKey(0), EngineKey(1)];
        if calls(&engines[0]) == 0 {
            engines.swap(0, 1);
            keys.swap(0, 1);
        }
        for (key, script) in keys.iter().zip(scripts) {
            *roles[key.0 as usize].borrow_mut() = Some(script);
        }
        enable(&instance, ratio);
        Fleet {
            instance,
            engines: engines.try_into().expect("two engines"),
            keys,
            _decoder: decoder,
        }
    }

    async fn get(&self) -> String {
        self.instance.get("/r/x", "q1", LONG).await
    }

    async fn wait_for_second(&self) {
        self.engines[1].wait_for(|log| log.requests.len() == 1).await;
    }
}

/// Number of calls for a prefill that an engine has received.
fn calls(engine: &ScriptedEngine) -> usize {
    let requests = engine.log().requests;
    requests.iter().filter(|r| r.header("x-stage").is_some()).count()
}

fn enable(instance: &Instance, ratio: f64) {
    let mut options = (*instance.shared.reloadable()).clone();
    options.hedge_ratio = ratio;
    instance.shared.reload(options);
    let now = clock::now();
    let mut traffic = instance.shared.traffic();
    for _ in 0..40 {
        let plan = plan(Duration::ZERO);
        traffic.hedging.prefills.on_prefill(now, &plan, plan.total_time);
    }
    (0..100).for_each(|_| traffic.hedging.limiter.on_request(now, "chat"));
}

fn hold() -> Script {
    Box::new(|_| vec![Action::Hold])
}

fn quick() -> Script {
    Box::new(|request| vec![answer(request, "kept h8")])
}

/// The only action of an engine on a call.
type Act = fn(&ReceivedRequest) -> Action;

/// Acts once it is notified.
fn waiting(notify: &Rc<Notify>, act: Act) -> Script {
    let notify = notify.clone();
    Box::new(move |request| vec![Action::Await(notify.clone()), act(request)])
}

fn result(request: &ReceivedRequest) -> Action {
    answer(request, "kept h9")
}

async fn ends(instance: &Instance, end: &str) -> Vec<String> {
    let name = format!("sequoiastream_relay_attempts_total{{result=\"{end}\"}}");
    samples(instance, &[&name]).await
}

/// Guards against a stream that waits until an engine which hangs counts as silent, although another one would have
/// computed the prefill: also on a route whose requests may run only once. The call beyond the first accepted one must
/// be taken from the budget.
#[actix_web::test]
async fn second_computes_first() {
    for kind in [RouteKind::Stream, RouteKind::Resumable] {
        let fleet = Fleet::start(kind, 0.2, [hold(), quick()]).await;
        let got = fleet.get().await;
        assert!(got.contains("token 1"), "{kind:?} {got}");
        fleet.engines[0].wait_for(|log| log.disconnects == 1).await;
        assert_eq!(hedges(&fleet.instance).await, ["sent 1", "won 1"]);
        assert_eq!(ends(&fleet.instance, "silent").await, Vec::<String>::new());
        let arrivals = samples(&fleet.instance, &["sequoiastream_relay_arrivals_total"]).await;
        assert!(
            arrivals.iter().any(|a| a.ends_with("kind=\"extra\"} 1")),
            "{arrivals:?}"
        );
        let remaining = fleet
            .instance
            .shared
            .traffic()
            .budget
            .remaining(clock::now(), "chat");
        assert!((27.0..28.0).contains(&remaining), "{remaining}");
        let work = fleet.instance.shared.traffic().load.own_by_engine();
        assert!(work.is_empty(), "{work:?}");
    }
}

/// Guards against an engine that goes on computing a prefill after the first one has delivered it.
#[actix_web::test]
async fn first_computes_first() {
    let notify = Rc::new(Notify::new());
    let fleet = Fleet::start(RouteKind::Stream, 0.2, [waiting(&notify, result), hold()]).await;
    let resume = async {
        fleet.wait_for_second().await;
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(fleet.get(), resume);
    assert!(got.contains("token 1"), "{got}");
    fleet.engines[1].wait_for(|log| log.disconnects == 1).await;
    assert_eq!(hedges(&fleet.instance).await, ["lost 1", "sent 1"]);
}

/// Guards against a request that fails, or has its prefill computed a third time, because one of two engines fails while
/// the other one computes it.
#[actix_web::test]
async fn one_fails() {
    let failures: [(Act, &str); 2] = [(decline, "declined"), (|_| Action::Reset, "broken")];
    for (failure, end) in failures {
        for failing in [0, 1] {
            let notifies = [Rc::new(Notify::new()), Rc::new(Notify::new())];
            let act = |index| if index == failing { failure } else { result };
            let scripts = [0, 1].map(|index| waiting(&notifies[index], act(index)));
            let fleet = Fleet::start(RouteKind::Stream, 0.2, scripts).await;
            let resume = async {
                fleet.wait_for_second().await;
                notifies[failing].notify_one();
                while ends(&fleet.instance, end).await.is_empty() {
                    tokio::task::yield_now().await;
                }
                notifies[1 - failing].notify_one();
            };
            let (got, ()) = futures_util::join!(fleet.get(), resume);
            assert!(got.contains("token 1"), "{end} {got}");
            let expected = if failing == 0 { "won 1" } else { "lost 1" };
            let shown = hedges(&fleet.instance).await;
            assert!(shown.iter().any(|shown| shown == expected), "{end} {shown:?}");
            assert_eq!((calls(&fleet.engines[0]), calls(&fleet.engines[1])), (2, 1));
        }
    }
}

/// Guards against an engine that hangs and gets further calls, since others deliver before it counts as silent.
#[actix_web::test]
async fn hanging_prefill_engine_avoided() {
    let fleet = Fleet::start(RouteKind::Stream, 0.2, [hold(), quick()]).await;
    let first = fleet.keys[0];
    for _ in 0..2 {
        fleet.instance.shared.traffic().hedging.races.on_lost(first);
    }
    let got = fleet.get().await;
    assert!(got.contains("token 1"), "{got}");
    assert!(!ends(&fleet.instance, "silent").await.is_empty());
    assert!(
        fleet
            .instance
            .shared
            .traffic()
            .load
            .is_avoided(clock::now(), first)
    );
}

/// Guards against hedged calls for prefills that use up the budget or exceed the ratio.
#[actix_web::test]
async fn prefill_hedge_denied() {
    for reason in ["budget 1", "limit 1"] {
        let notify = Rc::new(Notify::new());
        let fleet = Fleet::start(RouteKind::Stream, 0.2, [waiting(&notify, result), quick()]).await;
        for _ in 0..21 {
            let now = clock::now();
            let mut traffic = fleet.instance.shared.traffic();
            match reason {
                "limit 1" => traffic.hedging.limiter.on_hedge(now, "chat"),
                // More than half of the 28 extra attempts that the settings allow.
                _ => assert!(traffic.budget.try_take(now, "chat")),
            }
        }
        let resume = async {
            wait_for_hedge(&fleet.instance, reason).await;
            notify.notify_one();
        };
        let (got, ()) = futures_util::join!(fleet.get(), resume);
        assert!(got.contains("token 1"), "{got}");
        assert_eq!(hedges(&fleet.instance).await, [reason]);
        assert_eq!(calls(&fleet.engines[1]), 0);
    }
}

/// Guards against an effect where hedges are off: the engine is replaced only once it counts as silent.
#[actix_web::test]
async fn prefill_off_by_default() {
    let fleet = Fleet::start(RouteKind::Stream, 0.0, [hold(), quick()]).await;
    let got = fleet.get().await;
    assert!(got.contains("token 1"), "{got}");
    assert!(!ends(&fleet.instance, "silent").await.is_empty());
    assert_eq!(hedges(&fleet.instance).await, Vec::<String>::new());
}

/// Guards against a stream that runs twice: of two calls for its prefill at the same time, the one that loses was run as the
/// request itself, and its answer is there.
#[actix_web::test]
async fn loser_ran() {
    let notifies = [Rc::new(Notify::new()), Rc::new(Notify::new())];
    let ran: Act = |request| Action::Send(event_stream(request, 1..=1) + "0\r\n\r\n");
    let scripts = [waiting(&notifies[0], result), waiting(&notifies[1], ran)];
    let fleet = Fleet::start(RouteKind::Stream, 0.2, scripts).await;
    let before = fleet._decoder.log().requests.len();
    let resume = async {
        fleet.wait_for_second().await;
        notifies[1].notify_one();
        notifies[0].notify_one();
    };
    let (got, ()) = futures_util::join!(fleet.get(), resume);
    let decoded = fleet._decoder.log().requests.len() - before;
    assert_eq!((status(&got), decoded), ("502", 0), "{got}");
}
