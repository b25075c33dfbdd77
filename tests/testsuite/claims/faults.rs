//! Orders through real processes while instances are killed or paused and the key-value service fails.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::claims::Bucket;
use sequoiastream_core::claims::Candidate;
use sequoiastream_core::claims::ClaimRef;
use sequoiastream_core::claims::Owners;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use sequoiastream_kv::EntryBody;
use sequoiastream_standin::platform::Fault;
use sequoiastream_standin::platform::Stats;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::KEY;
use sequoiastream_testsupport::http;
use sequoiastream_testsupport::http::Reply;
use tokio::sync::watch;

use super::client::PrintSeedOnPanic;
use super::client::new_key;
use super::client::order;
use super::client::order_at;
use super::client::runs;
use super::client::seeds_or;
use super::client::start_fleet;
use super::client::start_three_daemons;
use super::client::status;
use crate::support::fleet;

const CALLERS: usize = 8;
const ORDERS_PER_CALLER: usize = 10;
const ATTEMPTS: usize = 4;
const FAULTS: usize = 6;

/// Maximum time between two steps of fault injection, for when no caller gets an answer.
const MAX_FAULT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Outcomes that a caller received for one key, in order; `None` for a broken connection.
type Outcomes = Vec<Option<String>>;

/// State shared between the callers and the fault injection.
struct SharedState {
    urls: Rc<RefCell<Vec<String>>>,
    outcomes: Rc<RefCell<BTreeMap<String, Outcomes>>>,
    answers: watch::Sender<usize>,
}

/// Sends ten orders, and repeats those with an unknown outcome through randomly chosen entry instances.
async fn caller(shared: &SharedState, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..ORDERS_PER_CALLER {
        let key = new_key();
        for _ in 0..ATTEMPTS {
            let url = {
                let urls = shared.urls.borrow();
                urls[rng.random_range(0..urls.len())].clone()
            };
            let reply: Option<Reply> = order_at(&url, &key, "pellets").await.ok();
            let outcome = reply.and_then(|r| r.outcome);
            let done = matches!(outcome.as_deref(), Some("whole" | "not-run"));
            shared
                .outcomes
                .borrow_mut()
                .entry(key.clone())
                .or_default()
                .push(outcome);
            shared.answers.send_modify(|count| *count += 1);
            if done {
                break;
            }
        }
    }
}

async fn wait_for_answers(answers: &mut watch::Receiver<usize>, more: usize) {
    let until = *answers.borrow() + more;
    // The fault itself may block all callers; the time-out then ends the wait.
    let _ = tokio::time::timeout(MAX_FAULT_INTERVAL, answers.wait_for(|count| *count >= until)).await;
}

/// Injects one fault after another, each for a random number of answers.
async fn inject_faults(fleet: &mut Fleet, shared: &SharedState, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut answers = shared.answers.subscribe();
    for _ in 0..FAULTS {
        wait_for_answers(&mut answers, rng.random_range(1..8)).await;
        let index = rng.random_range(0..fleet.daemons.len());
        let length = rng.random_range(2..10);
        match rng.random_range(0..6) {
            0 | 1 => {
                fleet.daemons[index].kill();
                wait_for_answers(&mut answers, length).await;
                fleet.daemons[index] = fleet.start_daemon(index).await;
                shared.urls.borrow_mut()[index] = fleet.daemons[index].url();
            }
            2 | 3 => {
                fleet.daemons[index].signal("STOP");
                wait_for_answers(&mut answers, length).await;
                fleet.daemons[index].signal("CONT");
            }
            4 => {
                let lose = rng.random_range(1..4);
                let fault = Fault {
                    lose,
                    delay: 20,
                    ..Fault::default()
                };
                fleet.platform_fault(&fault).await;
                wait_for_answers(&mut answers, length).await;
                fleet.platform_fault(&Fault::default()).await;
            }
            _ => {
                let fault = Fault {
                    outage: true,
                    ..Fault::default()
                };
                fleet.platform_fault(&fault).await;
                wait_for_answers(&mut answers, length).await;
                fleet.platform_fault(&Fault::default()).await;
            }
        }
    }
}

async fn orders_through_faults(seed: u64) {
    let mut fleet = start_three_daemons().await;
    let urls = fleet.daemons.iter().map(|d| d.url()).collect();
    let shared = SharedState {
        urls: Rc::new(RefCell::new(urls)),
        outcomes: Rc::default(),
        answers: watch::Sender::new(0),
    };
    let callers = (0..CALLERS).map(|i| caller(&shared, seed * 100 + i as u64));
    let callers = futures_util::future::join_all(callers);
    futures_util::join!(inject_faults(&mut fleet, &shared, seed), callers);
    let after = http::until("orders go through again", || async {
        let reply = order_at(&fleet.daemons[0].url(), &new_key(), "pellets")
            .await
            .ok()?;
        (reply.outcome.as_deref() == Some("whole")).then_some(reply)
    })
    .await;
    assert_eq!(after.status, 200);
    check_outcomes(&runs(&fleet).await, &shared.outcomes.borrow());
}

fn check_outcomes(runs: &BTreeMap<String, u32>, outcomes: &BTreeMap<String, Outcomes>) {
    let duplicates: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(duplicates.is_empty(), "ran more than once: {duplicates:?}");
    let mut whole = 0;
    for (key, key_outcomes) in outcomes {
        let count = runs.get(key).copied().unwrap_or_default();
        let key_outcomes: Vec<&str> = key_outcomes.iter().map(|t| t.as_deref().unwrap_or("-")).collect();
        if key_outcomes.contains(&"whole") {
            whole += 1;
            assert_eq!(count, 1, "{key} was told {key_outcomes:?}");
        }
        if key_outcomes == ["not-run"] {
            assert_eq!(count, 0, "{key} was told {key_outcomes:?}");
        }
    }
    assert!(whole > CALLERS, "only {whole} orders were answered in full");
}

/// Callers send and repeat orders through several entry instances while daemons are killed, paused and resumed, and
/// while the key-value service is unavailable or applies writes without answering. An order that runs twice, or runs
/// after "not run", means that a claim was granted without being stored in the key-value service, or that a request was
/// sent after it was refused.
#[actix_web::test]
async fn orders_faults_seed_1() {
    for seed in seeds_or(1..2) {
        let _seed = PrintSeedOnPanic(seed);
        orders_through_faults(seed).await;
    }
}

#[actix_web::test]
async fn orders_faults_seed_2() {
    orders_through_faults(2).await;
}

#[actix_web::test]
async fn orders_faults_seed_3() {
    orders_through_faults(3).await;
}

/// An instance is paused after the claim that it requested was stored and before it sent the order. Repeats through
/// other entry instances must not run in the meantime, or the order runs twice once the instance resumes.
#[actix_web::test]
async fn order_entry_paused() {
    let fleet = start_three_daemons().await;
    // After this, every owner has written once and holds what it needs for the next write.
    for _ in 0..32 {
        order(&fleet, 0, &new_key(), "pellets").await;
    }
    let lost = Fault {
        lose: u32::MAX,
        ..Fault::default()
    };
    fleet.platform_fault(&lost).await;
    let key = new_key();
    let url = fleet.daemons[0].url();
    let first = order_at(&url, &key, "pellets");
    let repeats = async {
        http::until("the claim is stored", || async {
            is_claim_stored(&fleet, &key).await.then_some(())
        })
        .await;
        fleet.daemons[0].signal("STOP");
        fleet.platform_fault(&Fault::default()).await;
        for index in [1, 2, 1, 2] {
            let reply = order(&fleet, index, &key, "pellets").await;
            assert_eq!(reply.outcome.as_deref(), Some("unknown"), "{}", reply.body);
        }
        assert_eq!(runs(&fleet).await.get(&key), None);
        fleet.daemons[0].signal("CONT");
    };
    let (first, ()) = futures_util::join!(first, repeats);
    let outcome = first.expect("an answer").outcome;
    let count = runs(&fleet).await.get(&key).copied().unwrap_or_default();
    match outcome.as_deref() {
        Some("whole") => assert_eq!(count, 1),
        other => assert_eq!((other, count), (Some("not-run"), 0)),
    }
}

/// A client's connection breaks just after its order was claimed. The order must not stay claimed without being sent:
/// the client repeats it, and would be told for an hour that its outcome is unknown.
#[actix_web::test]
async fn order_caller_left() {
    let fleet = start_three_daemons().await;
    let slow = Fault {
        delay: 400,
        ..Fault::default()
    };
    fleet.platform_fault(&slow).await;
    let key = new_key();
    let url = fleet.daemons[0].url();
    let before = kv_write_count(&fleet).await;
    let claim_sent = http::until("the claim is being written", || async {
        (kv_write_count(&fleet).await > before).then_some(())
    });
    let order_first = Box::pin(order_at(&url, &key, "pellets"));
    let left = futures_util::future::select(order_first, Box::pin(claim_sent)).await;
    // Dropping `left` below drops the order and closes its connection.
    assert!(
        matches!(left, futures_util::future::Either::Right(_)),
        "the order was answered before its claim was written"
    );
    drop(left);
    fleet.platform_fault(&Fault::default()).await;
    let reply = http::until("the repeat is answered", || async {
        let reply = order(&fleet, 1, &key, "pellets").await;
        (reply.outcome.as_deref() == Some("whole")).then_some(reply)
    })
    .await;
    assert_eq!(reply.status, 200);
    assert_eq!(runs(&fleet).await.get(&key), Some(&1));
}

/// Number of PUT calls that the platform has received.
async fn kv_write_count(fleet: &Fleet) -> u64 {
    let stats: Stats = http::read(&format!("{}/control/stats", fleet.platform.url())).await;
    stats.calls.get("put").copied().unwrap_or_default()
}

/// Two of three instances lose their connection to the key-value service, and only that. Orders of their shards are
/// claimed by the third instance.
#[actix_web::test]
async fn order_owners_cut() {
    let fleet = start_three_daemons().await;
    let cut = Fault {
        cut: vec!["i1".to_string(), "i2".to_string()],
        ..Fault::default()
    };
    fleet.platform_fault(&cut).await;
    let keys: Vec<String> = (0..6).map(|_| new_key()).collect();
    let orders = keys.iter().map(|key| order(&fleet, 0, key, "pellets"));
    for reply in futures_util::future::join_all(orders).await {
        assert_eq!(reply.outcome.as_deref(), Some("whole"), "{}", reply.body);
    }
    let runs = runs(&fleet).await;
    assert!(keys.iter().all(|key| runs.get(key) == Some(&1)), "{runs:?}");
}

/// The key-value service is slow. This must not count as a failure of the owners: orders take longer but succeed.
#[actix_web::test]
async fn order_platform_slow() {
    let fleet = start_three_daemons().await;
    let slow = Fault {
        delay: 600,
        ..Fault::default()
    };
    fleet.platform_fault(&slow).await;
    let keys: Vec<String> = (0..6).map(|_| new_key()).collect();
    let orders = keys.iter().map(|key| order(&fleet, 0, key, "pellets"));
    for reply in futures_util::future::join_all(orders).await {
        assert_eq!(reply.outcome.as_deref(), Some("whole"), "{}", reply.body);
    }
}

/// Whether the claim on `key` is stored in the key-value service.
async fn is_claim_stored(fleet: &Fleet, key: &str) -> bool {
    let name = |text| Name::new(text).expect("a name");
    let claim = ClaimRef::new(
        &name("dispatch"),
        &name("ordini"),
        &key.parse().expect("a UUIDv7"),
    );
    let url = format!("{}/v1/kv/{}", fleet.platform.url(), claim.bucket.path());
    let Ok(body) = http::client()
        .get(&url)
        .send()
        .await
        .expect("an answer")
        .json()
        .await
    else {
        return false;
    };
    let body: EntryBody = body;
    let value = BASE64_STANDARD
        .decode(body.value.unwrap_or_default())
        .expect("base64");
    // The clients of the key-value service prefix each value with 24 bytes that identify the write.
    let bucket: Bucket = postcard::from_bytes(value.get(24..).unwrap_or_default()).unwrap_or_default();
    bucket.get(&claim.id).is_some()
}

/// The key-value service becomes unavailable. New orders are refused immediately as not run, with a retry delay, since
/// waiting does not help; repeats of orders with a known answer still get it.
#[actix_web::test]
async fn order_platform_out() {
    let fleet = start_three_daemons().await;
    let answered_key = new_key();
    order(&fleet, 0, &answered_key, "pellets").await;
    let outage = Fault {
        outage: true,
        ..Fault::default()
    };
    fleet.platform_fault(&outage).await;
    let refused_key = new_key();
    for _ in 0..3 {
        let reply = order(&fleet, 1, &refused_key, "pellets").await;
        assert_eq!((reply.status, reply.outcome.as_deref()), (503, Some("not-run")));
        assert!(reply.retry_after.is_some(), "{}", reply.body);
    }
    let repeated = order(&fleet, 2, &answered_key, "pellets").await;
    assert_eq!(
        (repeated.status, repeated.outcome.as_deref()),
        (200, Some("whole"))
    );
    fleet.platform_fault(&Fault::default()).await;
    assert_eq!(runs(&fleet).await.get(&refused_key), None);
    let reply = http::until("orders go through again", || async {
        let reply = order(&fleet, 2, &refused_key, "pellets").await;
        (reply.outcome.as_deref() == Some("whole")).then_some(reply)
    })
    .await;
    assert_eq!(reply.status, 200);
    assert_eq!(runs(&fleet).await.get(&refused_key), Some(&1));
}

/// Guards against a claim that outlives its refused order: the owner that was asked first is paused, and stores the
/// claim when it resumes, after another instance has accepted the release. Repeats of the order, which was answered
/// "not run", would be refused because the key is in use.
#[actix_web::test]
async fn order_owner_resumes_after_refusal() {
    // With a single traffic thread, the connection used for the claim request is open before the pause.
    let fleet = start_fleet(fleet().daemons(2).plain(1).daemon_arg("--workers=1")).await;
    order(&fleet, 1, &new_key_owned_by("i0"), "pellets").await;
    let outage = Fault {
        outage: true,
        ..Fault::default()
    };
    let key = new_key_owned_by("i0");
    let verdicts = claim_verdict_count(&fleet, 0).await;
    fleet.platform_fault(&outage).await;
    fleet.daemons[0].signal("STOP");
    let refused = order(&fleet, 1, &key, "pellets").await;
    assert_eq!(
        (refused.status, refused.outcome.as_deref()),
        (503, Some("not-run"))
    );
    fleet.platform_fault(&Fault::default()).await;
    http::until("the other instance has read the bucket", || async {
        let state = status(&fleet, 1, &key, KEY).await["state"].clone();
        (state == "never-seen").then_some(())
    })
    .await;
    fleet.daemons[0].signal("CONT");
    http::until("the paused owner has answered", || async {
        (claim_verdict_count(&fleet, 0).await > verdicts).then_some(())
    })
    .await;
    http::until("the repeated order succeeds", || async {
        let reply = order(&fleet, 0, &key, "pellets").await;
        (reply.outcome.as_deref() == Some("whole")).then_some(())
    })
    .await;
    assert_eq!(runs(&fleet).await.get(&key), Some(&1));
}

/// Creates an idempotency key in a shard owned by instance `owner` in a fleet of `i0` and `i1`.
fn new_key_owned_by(owner: &str) -> String {
    let name = |text| Name::new(text).expect("a name");
    let names = ["i0", "i1"].map(name);
    let is_owned = |key: &String| {
        let key = key.parse().expect("a UUIDv7");
        let shard = ClaimRef::new(&name("dispatch"), &name("ordini"), &key)
            .bucket
            .shard;
        let candidates = names.iter().map(|name| Candidate { name, heard: true });
        let ranked = Owners::default().ranked(candidates, shard, Time::ZERO);
        ranked[0].as_str() == owner
    };
    let keys = std::iter::repeat_with(new_key);
    keys.into_iter().find(is_owned).expect("the sequence is endless")
}

/// Number of claim requests that daemon `index` has granted or refused as owner.
async fn claim_verdict_count(fleet: &Fleet, index: usize) -> f64 {
    let metric = |verdict| format!("sequoiastream_claim_verdicts_total{{verdict=\"{verdict}\"}}");
    fleet.metric(index, &metric("granted")).await + fleet.metric(index, &metric("out")).await
}

/// The write of a claim takes effect, but its answer is lost. The order must nevertheless run, and run once: the owner
/// reads the bucket and finds the claim that it wrote.
#[actix_web::test]
async fn order_claim_answer_lost() {
    let fleet = start_three_daemons().await;
    let lost = Fault {
        lose: 1,
        ..Fault::default()
    };
    fleet.platform_fault(&lost).await;
    let key = new_key();
    let reply = order(&fleet, 0, &key, "pellets").await;
    assert_eq!(reply.outcome.as_deref(), Some("whole"), "{}", reply.body);
    assert_eq!(runs(&fleet).await.get(&key), Some(&1));
}

/// The owner of an order's shard is killed between two attempts of the client. Its successor must find the claim.
#[actix_web::test]
async fn order_owner_killed() {
    let mut fleet = start_three_daemons().await;
    let keys: Vec<String> = (0..12).map(|_| new_key()).collect();
    for key in &keys {
        order(&fleet, 0, key, "pellets").await;
    }
    // Two of three instances are killed, so most claims get a new owner, whichever instance owned their shard.
    fleet.daemons[1].kill();
    fleet.daemons[2].kill();
    for key in &keys {
        let reply = order(&fleet, 0, key, "pellets").await;
        let outcome = reply.outcome.as_deref();
        assert!(matches!(outcome, Some("whole" | "unknown")), "{}", reply.body);
    }
    let runs = runs(&fleet).await;
    assert!(keys.iter().all(|key| runs.get(key) == Some(&1)), "{runs:?}");
}

/// An instance is stopped right after it forwarded orders. It must store their outcomes first; otherwise repeats are
/// answered `unknown` without need.
#[actix_web::test]
async fn order_outcome_kept_at_stop() {
    let quick = ["--keep-ms=100", "--margin-ms=50", "--refuse-ms=50"];
    let builder = fleet().daemons(3).plain(1);
    let builder = quick.iter().fold(builder, |builder, arg| builder.daemon_arg(arg));
    let mut fleet = start_fleet(builder).await;
    let keys: Vec<String> = (0..12).map(|_| new_key()).collect();
    for key in &keys {
        order(&fleet, 0, key, "pellets").await;
    }
    for index in [1, 2] {
        fleet.daemons[index].signal("TERM");
        assert!(fleet.daemons[index].wait().success());
    }
    for key in &keys {
        let reply = order(&fleet, 0, key, "pellets").await;
        assert_eq!(reply.outcome.as_deref(), Some("whole"), "{}", reply.body);
    }
}
