//! Complete answers despite failing engines and instances, with real processes. The stand-in's text is a pure
//! function of seed, prompt, model version and offset, so each test compares byte for byte.

use sequoiastream_standin::engine::EngineFault;
use sequoiastream_standin::engine::expected_text;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::MODEL;
use sequoiastream_testsupport::http;
use sequoiastream_upstream::wire::LoadBody;
use serde_json::Value;
use serde_json::json;

use crate::support::fleet;

const PROMPT: &str = "which crates of dry ice for a truck to Cremona";

/// Tokens of a long answer: half a second at the stand-in's rate.
const LONG: u32 = 200;

async fn two_engines() -> Fleet {
    fleet()
        .engines(2)
        .daemon_arg("--between-tokens-ms=400")
        .daemon_arg("--first-token-ms=1000")
        .start_configured()
        .await
}

/// Guards against pieces that are forwarded unchecked and against an attempt that ends early but counts as complete.
/// An engine answers twice, with another request's text, from a closed attempt, with a gap, without an end, or not at
/// all; the caller would see text of another request, repeated or missing words, or half an answer.
#[actix_web::test]
async fn stream_faulty_engine() {
    let fleet = two_engines().await;
    let fault = EngineFault::default;
    let cases = [
        (
            "twice",
            EngineFault {
                twice: true,
                ..fault()
            },
        ),
        (
            "crossed",
            EngineFault {
                crossed: true,
                ..fault()
            },
        ),
        (
            "stale",
            EngineFault {
                stale: true,
                ..fault()
            },
        ),
        ("skip", EngineFault { skip: 7, ..fault() }),
        ("ends", EngineFault { ends: 9, ..fault() }),
        ("stall", EngineFault { stall: 11, ..fault() }),
    ];
    for (name, fault) in cases {
        fleet.engine_fault(0, &fault).await;
        let asked = |seed| {
            let fleet = &fleet;
            async move {
                let mut answer = fleet.stream(0, PROMPT, 30, seed).await;
                answer.read_all().await;
                (seed, answer)
            }
        };
        for (seed, answer) in futures_util::future::join_all((0..6).map(asked)).await {
            assert_eq!(
                answer.text,
                expected_text(seed, PROMPT, 1, 30),
                "{name}: {answer:?}"
            );
            assert_eq!(answer.outcome.as_deref(), Some("whole"), "{name}");
            assert!(answer.done, "{name}");
        }
    }
    assert!(fleet.metric(0, "sequoiastream_dropped_pieces_total").await > 0.0);
    assert!(fleet.metric(0, "sequoiastream_resumes_total").await > 0.0);
}

/// Guards against an answer that stops in the middle because it is not resumed on another engine at its offset, when
/// its engine is killed, or hangs with its connection open, while it streams.
#[actix_web::test]
async fn stream_engine_lost() {
    for signal in ["KILL", "STOP"] {
        let fleet = two_engines().await;
        let mut answer = fleet.stream(0, PROMPT, LONG, 5).await;
        answer.read(10).await;
        let serving = fleet.wait_for_serving().await;
        fleet.engines[serving].signal(signal);
        answer.read_all().await;
        assert_eq!(
            answer.text,
            expected_text(5, PROMPT, 1, LONG),
            "{signal}: {answer:?}"
        );
        assert_eq!(answer.outcome.as_deref(), Some("whole"), "{signal}");
    }
}

/// Guards against a planned change that takes effect on running streams instead of on new ones only: an operator
/// drains, withdraws or replaces the engine that streams an answer, which would be truncated.
#[actix_web::test]
async fn stream_planned_change() {
    for change in ["drain", "withdraw", "replace"] {
        let fleet = two_engines().await;
        let mut answer = fleet.stream(0, PROMPT, LONG, 6).await;
        answer.read(10).await;
        let serving = fleet.wait_for_serving().await;
        let new = fleet.start_engine();
        let statement = match change {
            "replace" => format!(
                "replace engine e{serving} with e9 service assistente zone lodi-a address {}",
                new.address()
            ),
            change => format!("{change} engine e{serving}"),
        };
        let version = fleet.apply(0, &statement).await;
        fleet.wait_for_version(version).await;
        let before = answer.tokens;
        answer.read_all().await;
        assert!(
            before < LONG as usize,
            "{change}: the change came too late to prove anything"
        );
        assert_eq!(
            answer.text,
            expected_text(6, PROMPT, 1, LONG),
            "{change}: {answer:?}"
        );
        assert_eq!(
            fleet.metric(0, "sequoiastream_resumes_total").await,
            0.0,
            "{change}: cut"
        );
        let served = fleet.attempts_served(serving).await;
        fleet.complete(0, PROMPT, 3, 1).await;
        assert_eq!(fleet.attempts_served(serving).await, served, "{change}: new work");
    }
}

/// An entry instance is killed in the middle of a stream, and the caller reconnects to another one. That instance
/// knows neither the seed nor what was delivered, so both must be in what the caller sends back; otherwise the caller
/// would get a different answer, or one with a gap.
#[actix_web::test]
async fn come_back_entry_killed() {
    for streamed in [true, false] {
        let mut fleet = fleet().engines(2).daemons(2).start_configured().await;
        let mut body = json!({
            "model": MODEL, "prompt": PROMPT, "max_tokens": LONG, "stream": true,
        });
        let mut first = fleet.ask(0, &[], &body).await.expect("streamed");
        first.read(20).await;
        fleet.daemons[0].kill();
        first.read_all().await;
        assert!(first.tokens < LONG as usize, "killed too late to prove anything");
        body["stream"] = json!(streamed);
        let rest = match fleet.ask(1, &[("last-event-id", &first.last_id)], &body).await {
            Ok(mut answer) => {
                answer.read_all().await;
                answer.text
            }
            Err(reply) => {
                let body: Value = reply.json();
                body["choices"][0]["text"].as_str().expect("text").to_string()
            }
        };
        let id = first.last_id.split(['.', '/']).next().expect("an id");
        let whole = fleet
            .ask(1, &[("last-event-id", &format!("{id}/0"))], &body)
            .await;
        let whole = match whole {
            Ok(mut answer) => {
                answer.read_all().await;
                answer.text
            }
            Err(reply) => {
                let body: Value = reply.json();
                body["choices"][0]["text"].as_str().expect("text").to_string()
            }
        };
        assert_eq!(format!("{}{rest}", first.text), whole, "streamed: {streamed}");
    }
}

/// Guards against an id that alone gives access to an answer: another product that learns a request id sends the
/// first product's `Last-Event-ID` and would read its answer.
#[actix_web::test]
async fn come_back_other_product() {
    let fleet = fleet().start_configured().await;
    let version = fleet
        .apply(0, "create product chama key \"key-of-chama\" share 20")
        .await;
    fleet.wait_for_version(version).await;
    let body = json!({"model": MODEL, "prompt": PROMPT, "max_tokens": 20, "stream": true});
    let mut first = fleet.ask(0, &[], &body).await.expect("streamed");
    first.read_all().await;
    let id = first.last_id.split('.').next().expect("an id");
    let url = format!("{}/v1/completions", fleet.daemons[0].url());
    let again = format!("{id}/0");
    let headers = [
        ("authorization", "Bearer key-of-chama"),
        ("last-event-id", &again),
    ];
    let mut second = sequoiastream_testsupport::answer::Answer::open(&url, &headers, &body)
        .await
        .expect("streamed");
    second.read_all().await;
    assert_ne!(first.text, second.text);
}

#[actix_web::test]
async fn come_back_refused() {
    let fleet = fleet().start_configured().await;
    let id = uuid::Uuid::now_v7();
    let body = json!({"model": MODEL, "prompt": PROMPT, "max_tokens": 20, "stream": true});
    let cases = [
        "nonsense".to_string(),
        format!("{id}.1/x"),
        format!("{id}.1/21"),
        format!("{id}/3"),
        format!("{id}.-1/3"),
    ];
    for last in cases {
        let reply = fleet.ask(0, &[("last-event-id", &last)], &body).await;
        let reply = reply.expect_err("refused");
        assert_eq!(
            (reply.status, reply.outcome.as_deref()),
            (400, Some("not-run")),
            "{last}"
        );
    }
}

/// Guards against a disconnect that is noticed only when the next token can't be delivered. If a caller disconnects
/// while its engine is silent, the engine would stay busy for it and waiting callers would get nothing.
#[actix_web::test]
async fn cancel_caller_gone() {
    let fleet = fleet()
        .daemon_arg("--between-tokens-ms=3600000")
        .start_configured()
        .await;
    let stall = EngineFault {
        stall: 5,
        ..EngineFault::default()
    };
    fleet.engine_fault(0, &stall).await;
    let headers = [("sequoiastream-deadline-ms", "3600000")];
    let body = json!({"model": MODEL, "prompt": PROMPT, "max_tokens": 32_000, "stream": true});
    let mut answer = fleet.ask(0, &headers, &body).await.expect("streamed");
    answer.read(5).await;
    drop(answer);
    let url = format!("{}/v1/load", fleet.engines[0].url());
    http::until("the engine runs nothing", || async {
        let load: LoadBody = http::read(&url).await;
        (load.running + load.queued == 0).then_some(())
    })
    .await;
    assert!(fleet.metric(0, "sequoiastream_cancels_total").await > 0.0);
}

async fn load_version(fleet: &Fleet, engine: usize, version: u32) {
    let url = format!("{}/v1/order", fleet.engines[engine].url());
    let order = json!({
        "fence": 1, "sequence": 1, "id": uuid::Uuid::new_v4(),
        "target": {"role": "mixed", "model": MODEL, "adapter": null, "version": version},
    });
    let reply = http::send("POST", &url, &[], &order).await;
    assert_eq!(reply.status, 200);
    let url = format!("{}/v1/load", fleet.engines[engine].url());
    http::until("the engine is back", || async {
        let load: LoadBody = http::read(&url).await;
        (!load.away).then_some(())
    })
    .await;
}

/// Guards against an answer whose second half is of another model version, because it is resumed by seed on any
/// engine. A version is rolled out engine by engine, and the last engine of the old version is killed in the middle
/// of a stream. The new engine must be given the text so far and confirm that it continues from it; a caller that
/// reconnects to an instance without that text is told that the answer failed.
#[actix_web::test]
async fn resume_other_version() {
    let mut fleet = fleet()
        .engines(2)
        .engine_arg("--away=50")
        .daemons(2)
        .start_configured()
        .await;
    let version = fleet.apply(0, "drain engine e1").await;
    fleet.wait_for_version(version).await;
    let mut answer = fleet.stream(0, PROMPT, LONG, 8).await;
    answer.read(10).await;
    let old = answer.last_id.clone();
    load_version(&fleet, 1, 2).await;
    let version = fleet.apply(0, "resume engine e1").await;
    fleet.wait_for_version(version).await;
    fleet.engines[0].kill();
    answer.read_all().await;
    assert_eq!(answer.outcome.as_deref(), Some("whole"), "{answer:?}");
    let (first, second) = (
        expected_text(8, PROMPT, 1, LONG),
        expected_text(8, PROMPT, 2, LONG),
    );
    let spliced = (1..LONG as usize).any(|at| {
        let width = first.len() / LONG as usize;
        answer.text == format!("{}{}", &first[..at * width], &second[at * width..])
    });
    assert!(spliced, "{}", answer.text);
    assert!(
        !answer.last_id.contains('.'),
        "continued text can't be resumed: {}",
        answer.last_id
    );
    let body = json!({"model": MODEL, "prompt": PROMPT, "max_tokens": LONG, "seed": 8, "stream": true});
    let reply = fleet.ask(1, &[("last-event-id", &old)], &body).await;
    let reply = reply.expect_err("no engine has version 1");
    assert_ne!(reply.outcome.as_deref(), Some("whole"), "{reply:?}");
}
