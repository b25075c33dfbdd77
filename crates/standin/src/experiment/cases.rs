//! The run sets: combinations of policies with traffic and faults.

use sequoiastream_core::config::Role;

use crate::experiment::fleet::ProductSpec;
use crate::load::mix::Phase;
use crate::load::mix::Traffic;

/// Number of engines in a run.
pub const ENGINE_COUNT: usize = 8;

/// Duration of a phase, in seconds.
const PHASE_SECONDS: f64 = 20.0;

/// Fault injected during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultCase {
    /// No fault.
    None,
    /// An engine is killed.
    EngineLost,
    /// An engine is withdrawn by an operator.
    EngineWithdrawn,
    /// Load reports arrive five seconds late.
    LateReports,
    /// The key-value service is unavailable for half of the run.
    PlatformOut,
    /// An entry instance is paused for three seconds.
    InstancePaused,
}

/// Description of a run, without its seed.
#[derive(Debug, Clone)]
pub struct Case {
    /// Name of the case in the table.
    pub name: String,
    /// Policy of the daemons.
    pub policy: String,
    /// Initial roles of the engines.
    pub roles: Vec<Role>,
    /// Products of the run.
    pub products: Vec<ProductSpec>,
    /// Traffic of the products.
    pub traffic: Vec<Traffic>,
    /// Fault injected during the run.
    pub fault: FaultCase,
}

/// Names of the run sets.
pub const SETS: [&str; 5] = ["shift", "splits", "dial", "faults", "greedy"];

/// Returns the cases of the run set `name`; an unknown name gives those of `shift`.
pub fn cases(name: &str) -> Vec<Case> {
    match name {
        "splits" => splits(),
        "dial" => dial(),
        "faults" => faults(),
        "greedy" => greedy(),
        _ => shift(),
    }
}

/// Gives role prefill to the first `prefill` engines and role decode to the others.
fn split(prefill: usize) -> Vec<Role> {
    let role = |index| match index < prefill {
        true => Role::Prefill,
        false => Role::Decode,
    };
    (0..ENGINE_COUNT).map(role).collect()
}

fn products(weight: u32) -> Vec<ProductSpec> {
    let product = |name: &str| ProductSpec {
        name: name.to_string(),
        share: 45,
        weight,
    };
    vec![product("assistente"), product("sauti")]
}

/// Phases of the changing mix: mainly chat, then mainly checks, then mainly chat, then both.
fn mix() -> Vec<Phase> {
    let phase = |checks, chats| Phase {
        seconds: PHASE_SECONDS,
        checks,
        chats,
        orders: 1.0,
    };
    vec![
        phase(2.0, 36.0),
        phase(40.0, 6.0),
        phase(2.0, 36.0),
        phase(25.0, 15.0),
    ]
}

fn traffic(products: &[ProductSpec], phases: &[Phase]) -> Vec<Traffic> {
    let of = |product: &ProductSpec| Traffic {
        product: product.name.clone(),
        key: product.key(),
        phases: phases.to_vec(),
    };
    products.iter().map(of).collect()
}

fn case(name: &str, policy: &str, roles: Vec<Role>, weight: u32) -> Case {
    let products = products(weight);
    Case {
        name: name.to_string(),
        policy: policy.to_string(),
        roles,
        traffic: traffic(&products, &mix()),
        products,
        fault: FaultCase::None,
    }
}

fn shift() -> Vec<Case> {
    let half = || split(ENGINE_COUNT / 2);
    vec![
        case("a: fixed split, round-robin", "round-robin", half(), 0),
        case("b: least load by reports", "least-load", half(), 0),
        case("c: role changes by threshold", "threshold", half(), 0),
        case("ours, no role changes", "fixed", half(), 0),
        case("ours", "adaptive", half(), 20),
    ]
}

fn splits() -> Vec<Case> {
    let mut cases: Vec<Case> = [1, 2, 3, 4, 5, 6]
        .into_iter()
        .map(|prefill| case(&format!("split {prefill} prefill"), "fixed", split(prefill), 0))
        .collect();
    cases.push(case(
        "split all mixed",
        "fixed",
        vec![Role::Mixed; ENGINE_COUNT],
        0,
    ));
    cases
}

fn dial() -> Vec<Case> {
    let half = || split(ENGINE_COUNT / 2);
    [0, 50, 100]
        .into_iter()
        .map(|weight| case(&format!("weight {weight:3}"), "adaptive", half(), weight))
        .collect()
}

fn faults() -> Vec<Case> {
    let faults = [
        ("no fault", FaultCase::None),
        ("engine lost", FaultCase::EngineLost),
        ("engine withdrawn", FaultCase::EngineWithdrawn),
        ("reports 5 s late", FaultCase::LateReports),
        ("KV out", FaultCase::PlatformOut),
        ("instance paused", FaultCase::InstancePaused),
    ];
    faults
        .into_iter()
        .map(|(name, fault)| Case {
            fault,
            ..case(name, "adaptive", split(ENGINE_COUNT / 2), 20)
        })
        .collect()
}

/// A product within its share, first alone, then beside a product that sends ten times its own share.
fn greedy() -> Vec<Case> {
    let steady = |chats: f64| {
        vec![Phase {
            seconds: PHASE_SECONDS,
            checks: chats / 8.0,
            chats,
            orders: 0.0,
        }]
    };
    let build = |name: &str, policy: &str, greedy: f64| {
        let products = vec![
            ProductSpec {
                name: "modest".to_string(),
                share: 40,
                weight: 0,
            },
            ProductSpec {
                name: "greedy".to_string(),
                share: 10,
                weight: 0,
            },
        ];
        let mut asked = traffic(&products, &steady(20.0));
        asked[1].phases = steady(greedy);
        Case {
            name: name.to_string(),
            policy: policy.to_string(),
            roles: vec![Role::Mixed; ENGINE_COUNT],
            products,
            traffic: asked,
            fault: FaultCase::None,
        }
    };
    vec![
        build("alone", "fixed", 0.0),
        build("greedy 10x, limits", "fixed", 60.0),
        build("greedy 10x, no limits", "least-load", 60.0),
    ]
}
