//! The time that prefills take, learned from completed prefills.

use std::time::Duration;

use sequoiastream_core::relay::prefill_time::PrefillModel;
use sequoiastream_core::relay::prefill_time::PrefillWork;
use sequoiastream_core::relay::prompt::Prompt;

/// Speed of an engine: milliseconds per prefill, per thousand tokens, and per million pairs of tokens.
type EngineSpeed = (f64, f64, f64);

/// Engines that process 112 tokens per millisecond, with long contexts.
const SLOW: EngineSpeed = (36.0, 10.5, 0.25);

/// Engines that process 409 tokens per millisecond.
const FAST: EngineSpeed = (8.0, 2.6, 0.04);

fn prompt(input: u32) -> Prompt {
    Prompt {
        model: "m".to_string(),
        input,
        output: 2,
        expected: None,
        parts: Vec::new(),
    }
}

/// Time for a prefill of the last `tokens` of `input` tokens.
fn prefill_time(speed: EngineSpeed, input: u32, tokens: u32) -> Duration {
    let (own, context) = (f64::from(tokens), f64::from(input - tokens));
    let pairs = own * context + own * own / 2.0;
    let (fixed, token, pair) = speed;
    Duration::from_secs_f64((fixed + token * own / 1e3 + pair * pairs / 1e6) / 1e3)
}

/// Input tokens, and those that aren't shared, of three kinds of requests in turn: with a long history, with a file,
/// with a question only.
fn size(turn: u32) -> (u32, u32) {
    let own = [3_720, 2_890, 1_110][turn as usize % 3] * (1 + turn % 5) / 2;
    let shared = [13_300, 6_300, 350][turn as usize % 3];
    (shared + own, own)
}

fn train(model: &mut PrefillModel, speed: EngineSpeed, count: u32) {
    for turn in 0..count {
        let (input, own) = size(turn);
        model.on_uncontended(
            PrefillWork::new(&prompt(input), own),
            prefill_time(speed, input, own),
        );
    }
}

/// Largest error of the expected time over all sizes, as a fraction of the true time.
fn max_error(model: &PrefillModel, speed: EngineSpeed) -> f64 {
    let sizes = (0..15).map(size).chain([(17_000, 17_000), (40_000, 20_000)]);
    let errors = sizes.map(|(input, own)| {
        let true_time = prefill_time(speed, input, own).as_secs_f64();
        let expected = model.fixed_latency() + model.busy_time(PrefillWork::new(&prompt(input), own));
        (expected.as_secs_f64() / true_time - 1.0).abs()
    });
    errors.fold(0.0, f64::max)
}

/// Guards against losing half of what a deployment could earn. Sequence: its engines process prompts four times as
/// slowly as others and take 36 ms for the shortest one; every prefill is expected to take a few milliseconds, so
/// queues grow until all answers are late. Cause: a speed that was measured elsewhere.
#[test]
fn pace_of_any_engine() {
    for speed in [SLOW, FAST] {
        let mut model = PrefillModel::default();
        train(&mut model, speed, 60);
        let error = max_error(&model, speed);
        assert!(error < 0.15, "{speed:?}: {error}");
    }
}

/// Guards against refusing every request forever. Sequence: the answer of one prefill is delayed in the network for
/// seconds, all prefills are then expected to take as long, and no request is admitted that could correct this. One
/// prefill changes the model only by a fraction of the expected time.
#[test]
fn pace_one_wild_reading() {
    let mut model = PrefillModel::default();
    train(&mut model, SLOW, 30);
    model.on_uncontended(PrefillWork::new(&prompt(17_020), 3_720), Duration::from_secs(9));
    let error = max_error(&model, SLOW);
    assert!(error < 0.5, "{error}");
    train(&mut model, SLOW, 60);
    assert!(max_error(&model, SLOW) < 0.15);
}

/// Guards against expecting prefills to take twice their time. Cause: one in seven had to compute shared parts that
/// were assumed to be cached, and this counts as a slow engine.
#[test]
fn pace_parts_lost_now_and_then() {
    let mut model = PrefillModel::default();
    for turn in 0..210 {
        let (input, own) = size(turn);
        let computed = if turn % 7 == 0 { input } else { own };
        model.on_uncontended(
            PrefillWork::new(&prompt(input), own),
            prefill_time(SLOW, input, computed),
        );
    }
    let (input, own) = size(0);
    let expected = model.fixed_latency() + model.busy_time(PrefillWork::new(&prompt(input), own));
    let true_time = prefill_time(SLOW, input, own);
    assert!(
        expected < true_time.mul_f64(1.5) && expected > true_time.mul_f64(0.8),
        "{expected:?} for {true_time:?}"
    );
}

#[test]
fn pace_follows_other_engines() {
    let mut model = PrefillModel::default();
    train(&mut model, FAST, 300);
    train(&mut model, SLOW, 600);
    let error = max_error(&model, SLOW);
    assert!(error < 0.25, "{error}");
}

/// A service whose requests all have the same size, for hours: the model stays where it is, and nothing grows without
/// limit.
#[test]
fn pace_one_size_for_hours() {
    let mut model = PrefillModel::default();
    for _ in 0..200_000 {
        model.on_uncontended(
            PrefillWork::new(&prompt(9_190), 2_890),
            prefill_time(SLOW, 9_190, 2_890),
        );
    }
    let expected = model.fixed_latency() + model.busy_time(PrefillWork::new(&prompt(9_190), 2_890));
    let true_time = prefill_time(SLOW, 9_190, 2_890).as_secs_f64();
    assert!(
        (expected.as_secs_f64() / true_time - 1.0).abs() < 0.02,
        "{expected:?}"
    );
    train(&mut model, SLOW, 90);
    let error = max_error(&model, SLOW);
    assert!(error < 0.25, "{error}");
}
