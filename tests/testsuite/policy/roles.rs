use std::time::Duration;

use sequoiastream_core::config::Role;
use sequoiastream_core::engine::Speed;
use sequoiastream_core::policy::Policy;
use sequoiastream_core::roles::Demand;
use sequoiastream_core::roles::EngineStatus;
use sequoiastream_core::roles::Planner;
use sequoiastream_core::roles::PlannerInput;
use sequoiastream_core::roles::RoleChange;
use sequoiastream_core::time::Time;

use super::name;

const AWAY: Duration = Duration::from_secs(3);

/// With `speed`, one engine in role prefill processes about 7,000 tokens per second of prompts alone.
const HEAVY: Demand = Demand {
    prefill: 50_000.0,
    decode: 500.0,
};

const LIGHT: Demand = Demand {
    prefill: 2_000.0,
    decode: 300.0,
};

fn evidence(weight: u32) -> PlannerInput {
    let seen = |index: u32| EngineStatus {
        name: name(&format!("e{index}")),
        role: if index < 2 { Role::Prefill } else { Role::Decode },
        fixed: false,
        away: false,
        requests: index,
        speed: Speed::default(),
        age: Duration::from_millis(300),
    };
    PlannerInput {
        engines: (0..8).map(seen).collect(),
        change_weight: weight,
        max_age: Duration::from_secs(1),
        platform_reachable: true,
    }
}

/// Returns a planner that observed `demand` for three minutes, and the time at the end of them.
fn planner(demand: Demand) -> (Planner, Time) {
    let mut planner = Planner::new(Policy::Adaptive, AWAY);
    for second in 1..=180 {
        planner.observe(Time::from_millis(second * 1_000), demand);
    }
    (planner, Time::from_millis(180_000))
}

fn plan(demand: Demand, evidence: &PlannerInput) -> Option<RoleChange> {
    let (mut planner, now) = planner(demand);
    planner.plan(now, evidence)
}

#[test]
fn plan_gain_beats_price() {
    let change = plan(HEAVY, &evidence(0)).expect("a change pays");
    assert_eq!((change.engine, change.role), (name("e2"), Role::Prefill));
    assert!(change.gain > change.price);
}

#[test]
fn plan_price_beats_gain() {
    assert_eq!(plan(LIGHT, &evidence(0)), None);
    // With the highest weight on the cost of changes, the same shift does not justify a change.
    assert_eq!(plan(HEAVY, &evidence(100)), None);
}

// Guards against decisions based on load reports that are older than the lag that is allowed for. Reports that are
// five seconds late show the roles before the last change; engines would change back and forth although the mix
// shifted once.
#[test]
fn plan_late_reports() {
    let mut late = evidence(0);
    for engine in &mut late.engines {
        engine.age = Duration::from_secs(5);
    }
    assert_eq!(plan(HEAVY, &late), None);
}

#[test]
fn plan_platform_out() {
    let out = PlannerInput {
        platform_reachable: false,
        ..evidence(0)
    };
    assert_eq!(plan(HEAVY, &out), None);
}

#[test]
fn plan_one_at_a_time() {
    let (mut planner, now) = planner(HEAVY);
    let mut seen = evidence(0);
    let first = planner.plan(now, &seen).expect("a change pays");
    assert_eq!(planner.plan(now + Duration::from_secs(1), &seen), None);
    let engine = seen.engines.iter_mut().find(|e| e.name == first.engine);
    engine.expect("the engine is there").role = first.role;
    // The change took effect; the service waits before the next one.
    assert_eq!(planner.plan(now + Duration::from_secs(4), &seen), None);
    let next = planner.plan(now + Duration::from_secs(11), &seen);
    assert_ne!(next.expect("another change pays").engine, first.engine);
}

#[test]
fn plan_fixed_role_kept() {
    let mut seen = evidence(0);
    for engine in &mut seen.engines {
        engine.fixed = true;
    }
    assert_eq!(plan(HEAVY, &seen), None);
}
