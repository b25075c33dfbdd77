//! Planning of orders for engines: the maximum, or as many as the load needs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream::ops::relay;
use sequoiastream::ops::relay::known::StoreReplica;
use sequoiastream::ops::relay::options::LeaderOptions;
use sequoiastream::ops::relay::peers;
use sequoiastream::ops::relay::shared::Shared;
use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::load_tracker::LoadTracker;
use sequoiastream_core::relay::load_tracker::Work;
use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::routes::Service;
use sequoiastream_core::relay::scale::EngineCounts;
use sequoiastream_core::relay::scale::EngineGroup;
use sequoiastream_core::relay::scale::Planner;
use sequoiastream_core::relay::scale::ScaleOrder;
use sequoiastream_core::relay::scale::ScalePolicy;
use sequoiastream_core::relay::scale::target_counts;
use sequoiastream_core::relay::scale_need::CapacityRefusals;
use sequoiastream_core::relay::scale_need::ServiceLoad;
use sequoiastream_core::relay::scale_need::StageSplit;
use sequoiastream_core::relay::scale_target::ScaleInput;
use sequoiastream_core::relay::scale_target::ScaleTarget;
use sequoiastream_core::relay::scale_target::ServiceScaler;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Store;

use super::engine::Action;
use super::engine::ScriptedEngine;
use super::instance::options;
use super::instance::shared;
use super::store::FakeStore;

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

fn policy() -> ScalePolicy {
    ScalePolicy {
        min: 1,
        max: 18,
        boot_time: Duration::from_secs(4),
        spot_price: Some(0.15),
        zone_prices: BTreeMap::from([("a".to_string(), 1.0)]),
    }
}

fn present(spot: u32, reserved: u32) -> BTreeMap<String, EngineCounts> {
    BTreeMap::from([("a".to_string(), EngineCounts { spot, reserved })])
}

fn order(spot: bool, count: u32) -> ScaleOrder {
    let (service, zone) = ("s".to_string(), "a".to_string());
    ScaleOrder {
        group: EngineGroup { service, zone, spot },
        count,
    }
}

fn due(planner: &Planner, now: Time, present: &BTreeMap<String, EngineCounts>) -> Vec<ScaleOrder> {
    planner.due(now, "s", &policy(), present)
}

/// Guards against buying a second set of engines at the full price when no lower price is known.
#[test]
fn wanted_without_price() {
    for spot in [None, Some(1.0), Some(-1.0), Some(f64::NAN)] {
        let unpriced = ScalePolicy {
            spot_price: spot,
            ..policy()
        };
        assert_eq!(target_counts(&unpriced), None, "{spot:?}");
        assert_eq!(Planner::default().due(at(0), "s", &unpriced, &present(0, 9)), []);
    }
    let (spot, reserved) = (17, 1);
    assert_eq!(target_counts(&policy()), Some(EngineCounts { spot, reserved }));
}

/// A zone never has more engines than allowed, and no engines are given back before their replacements have started.
#[test]
fn due_replaces_in_steps() {
    let mut planner = Planner::default();
    assert_eq!(due(&planner, at(0), &present(0, 9)), [order(true, 9)]);
    planner.on_accepted(at(0), order(true, 9));
    assert_eq!(due(&planner, at(4_000), &present(5, 9)), []);
    assert_eq!(due(&planner, at(4_500), &present(9, 9)), [order(false, 1)]);
    planner.on_accepted(at(4_500), order(false, 1));
    assert_eq!(due(&planner, at(5_000), &present(9, 1)), [order(true, 17)]);
    planner.on_accepted(at(5_000), order(true, 17));
    assert_eq!(due(&planner, at(9_500), &present(17, 1)), []);
}

/// All spot engines of a zone are reclaimed and no new ones are available: the order is repeated after a pause, no
/// other engines are bought instead, and an accepted order is not repeated while it is pending.
#[test]
fn due_reclaimed() {
    let mut planner = Planner::default();
    planner.on_accepted(at(0), order(true, 17));
    planner.on_accepted(at(0), order(false, 1));
    assert_eq!(due(&planner, at(5_000), &present(0, 1)), []);
    assert_eq!(due(&planner, at(7_100), &present(0, 1)), [order(true, 17)]);
    planner.on_failed(at(7_100), order(true, 17), true);
    assert_eq!(due(&planner, at(9_000), &present(0, 1)), []);
    assert_eq!(due(&planner, at(9_100), &present(0, 1)), [order(true, 17)]);
    planner.on_accepted(at(9_100), order(true, 17));
    assert_eq!(due(&planner, at(13_000), &present(3, 1)), []);
}

/// Another instance becomes the leader and knows of no earlier orders: engines that are already there are not ordered
/// again.
#[test]
fn due_after_restart() {
    assert_eq!(due(&Planner::default(), at(0), &present(17, 1)), []);
}

/// Time between two checks, in milliseconds.
const CHECK: u64 = 500;

/// Time from an order to the appearance of its engines, in milliseconds.
const BOOT: u64 = 4_000;

/// The four zones of a fleet with at most 24 engines in each.
fn fleet_policy() -> ScalePolicy {
    ScalePolicy {
        max: 24,
        zone_prices: ["a", "b", "c", "d"].map(|zone| (zone.to_string(), 1.0)).into(),
        ..policy()
    }
}

/// A load that fills the slots of `slots` engines.
fn load(slots: f64) -> ServiceLoad {
    ServiceLoad {
        engines: 48,
        slots,
        prefilling: 0.0,
        backlog: Duration::ZERO,
        split: None,
        refused: 0.0,
        latency: Duration::from_millis(100),
        is_complete: true,
    }
}

/// A leader and the platform that carries out its orders.
struct Fleet {
    scale: ScalePolicy,
    headroom: f64,
    scaler: ServiceScaler,
    planner: Planner,
    present: BTreeMap<String, EngineCounts>,
    /// Spot engines that start: when they appear, their zone, and the ordered number.
    starting: VecDeque<(u64, String, u32)>,
    /// Zones without spot engines.
    empty: BTreeSet<String>,
    accepted: usize,
    now: u64,
}

impl Fleet {
    /// A leader that starts with these engines in each zone.
    fn new(spot: u32, reserved: u32) -> Fleet {
        let scale = fleet_policy();
        let zones = scale.zone_prices.keys();
        let present: BTreeMap<String, EngineCounts> = zones
            .map(|zone| (zone.clone(), EngineCounts { spot, reserved }))
            .collect();
        Fleet {
            scale,
            headroom: 0.5,
            scaler: ServiceScaler::new(&present),
            planner: Planner::default(),
            present,
            starting: VecDeque::new(),
            empty: BTreeSet::new(),
            accepted: 0,
            now: 0,
        }
    }

    /// One check of the leader under this load.
    fn check(&mut self, load: &ServiceLoad) -> ScaleTarget {
        self.now += CHECK;
        while self.starting.front().is_some_and(|(due, ..)| *due <= self.now) {
            if let Some((_, zone, count)) = self.starting.pop_front()
                && !self.empty.contains(&zone)
            {
                let counts = self.present.entry(zone).or_default();
                counts.spot = counts.spot.max(count);
            }
        }
        let refused = self.planner.refused_zones("s");
        let input = ScaleInput {
            scale: &self.scale,
            headroom: self.headroom,
            load,
            present: &self.present,
            refused: &refused,
        };
        let target = self.scaler.target(at(self.now), &input);
        let due = self
            .planner
            .due_for(at(self.now), "s", &self.scale, &target.zones, &self.present);
        for order in due {
            self.carry_out(order);
        }
        target
    }

    fn carry_out(&mut self, order: ScaleOrder) {
        let ScaleOrder { group, count } = order.clone();
        if group.spot && self.empty.contains(&group.zone) {
            return self.planner.on_failed(at(self.now), order, true);
        }
        self.accepted += 1;
        self.planner.on_accepted(at(self.now), order);
        let counts = self.present.entry(group.zone.clone()).or_default();
        match group.spot {
            false => counts.reserved = count,
            true if count < counts.spot => counts.spot = count,
            true => self.starting.push_back((self.now + BOOT, group.zone, count)),
        }
    }

    /// Checks under this load for so many seconds; returns the last target.
    fn run(&mut self, seconds: u64, load: &ServiceLoad) -> ScaleTarget {
        let checks = seconds * 1_000 / CHECK;
        let targets: Vec<ScaleTarget> = (0..checks).map(|_| self.check(load)).collect();
        targets.last().cloned().expect("at least one check")
    }

    fn total(&self) -> u32 {
        self.present.values().map(|counts| counts.total()).sum()
    }
}

fn wanted(target: &ScaleTarget) -> u32 {
    target.zones.values().map(|counts| counts.total()).sum()
}

/// Guards against paying for engines that nobody needs: the load is steady at half of the engines. The reserved engines
/// are replaced by spot engines first, and no zone is ever left with fewer engines than it is to have.
#[test]
fn steady_load_lowers_orders() {
    let mut fleet = Fleet::new(0, 12);
    let steady = load(12.0);
    for _ in 0..20_000 / CHECK {
        fleet.check(&steady);
        assert!(fleet.total() >= 48, "{:?}", fleet.present);
    }
    // 12 engines at three quarters of their slots are 16, and half as many in reserve.
    let target = fleet.run(30, &steady);
    assert_eq!((target.need, wanted(&target), fleet.total()), (16.0, 24, 24));
    let each = EngineCounts { spot: 5, reserved: 1 };
    assert!(
        fleet.present.values().all(|counts| *counts == each),
        "{:?}",
        fleet.present
    );
    // Guards against orders that are made again and again.
    let accepted = fleet.accepted;
    fleet.run(60, &steady);
    assert_eq!(fleet.accepted, accepted);
}

/// Guards against engines that are given back in each trough of a swing and missing at its next peak.
#[test]
fn swing_keeps_peak() {
    let mut fleet = Fleet::new(11, 1);
    let swing = |millis: u64| {
        let phase = millis as f64 / 15_000.0 * std::f64::consts::TAU;
        load(10.0 * (1.0 + 0.55 * phase.sin()))
    };
    let mut accepted = 0;
    for _ in 0..180_000 / CHECK {
        let now = swing(fleet.now);
        fleet.check(&now);
        assert!(f64::from(fleet.total()) >= now.slots / 0.75, "at {}", fleet.now);
        if fleet.now == 60_000 {
            accepted = fleet.accepted;
        }
    }
    assert!(fleet.total() < 40, "{:?}", fleet.present);
    assert_eq!(fleet.accepted, accepted, "orders after the first swings");
}

/// Guards against a burst that waits for engines longer than they take to start: orders rise at the first check.
#[test]
fn burst_raises_at_once() {
    let mut fleet = Fleet::new(11, 1);
    fleet.run(60, &load(6.0));
    assert_eq!(fleet.total(), 12);
    let target = fleet.check(&load(12.0));
    assert_eq!(wanted(&target), 24);
    fleet.run(BOOT / 1_000 + 1, &load(12.0));
    assert_eq!(fleet.total(), 24);
    // The burst is over: its engines stay for the time in which the next one may come.
    fleet.run(14, &load(6.0));
    assert_eq!(fleet.total(), 24);
    fleet.run(20, &load(6.0));
    assert_eq!(fleet.total(), 12);
}

/// Guards against a shortage when a zone loses its spot engines: what is left is enough at once, even without headroom;
/// while the zone has none, the other zones get what it lacks; and they keep it until the zone's engines have started.
#[test]
fn zone_loses_spot_engines() {
    let mut fleet = Fleet::new(11, 1);
    fleet.headroom = 0.0;
    let steady = load(12.0);
    let target = fleet.run(60, &steady);
    assert_eq!((target.need, fleet.total()), (16.0, 20));
    fleet.empty.insert("b".to_string());
    fleet
        .present
        .insert("b".to_string(), EngineCounts { spot: 0, reserved: 1 });
    assert!(fleet.total() >= 16, "{:?}", fleet.present);
    fleet.run(2, &steady);
    fleet.run(BOOT / 1_000, &steady);
    assert!(fleet.total() >= 20, "{:?}", fleet.present);
    assert_eq!(fleet.present["b"], EngineCounts { spot: 0, reserved: 1 });
    fleet.empty.clear();
    for _ in 0..30_000 / CHECK {
        fleet.check(&steady);
        assert!(fleet.total() >= 20, "{:?}", fleet.present);
    }
    assert_eq!(fleet.total(), 20, "{:?}", fleet.present);
}

/// Guards against a new leader that gives back engines because it hasn't seen the load yet. It raises their number at
/// once, keeps what is present in each zone, and accepts engines that the last leader ordered.
#[test]
fn new_leader_does_not_lower() {
    let mut fleet = Fleet::new(9, 1);
    fleet
        .present
        .insert("d".to_string(), EngineCounts { spot: 3, reserved: 1 });
    fleet.scaler = ServiceScaler::new(&fleet.present);
    let before = fleet.present.clone();
    fleet.run(5, &load(0.0));
    assert_eq!((&fleet.present, fleet.accepted), (&before, 0));
    fleet
        .present
        .insert("d".to_string(), EngineCounts { spot: 7, reserved: 1 });
    fleet.run(6, &load(0.0));
    assert_eq!((fleet.total(), fleet.accepted), (38, 0));
    let target = fleet.check(&load(24.0));
    assert_eq!(wanted(&target), 48);
}

/// Guards against orders that fall because the load of others isn't known any more. They may still rise.
#[test]
fn missing_reports_do_not_lower() {
    let mut fleet = Fleet::new(11, 1);
    fleet.run(60, &load(12.0));
    assert_eq!(fleet.total(), 24);
    let unknown = ServiceLoad {
        is_complete: false,
        ..load(0.5)
    };
    let target = fleet.run(60, &unknown);
    assert_eq!((target.need, fleet.total()), (16.0, 24));
    let target = fleet.check(&ServiceLoad {
        slots: 18.0,
        ..unknown
    });
    assert_eq!(wanted(&target), 36);
    fleet.run(60, &load(3.0));
    assert_eq!(fleet.total(), 6);
}

/// Guards against a new leader that hears none of its peers: it keeps what is present for as long as that lasts.
#[test]
fn new_leader_without_reports() {
    let mut fleet = Fleet::new(11, 1);
    let unknown = ServiceLoad {
        is_complete: false,
        ..load(0.5)
    };
    fleet.run(60, &unknown);
    assert_eq!((fleet.total(), fleet.accepted), (48, 0));
}

/// Guards against numbers below the minimum, or above the maximum, of a zone.
#[test]
fn bounds_hold() {
    let mut fleet = Fleet::new(11, 1);
    fleet.scale.min = 3;
    fleet.run(60, &load(0.0));
    let each = EngineCounts { spot: 0, reserved: 3 };
    assert!(fleet.present.values().all(|counts| counts.total() >= 3));
    let target = fleet.check(&load(0.0));
    assert!(target.zones.values().all(|counts| *counts == each), "{target:?}");
    let target = fleet.check(&load(500.0));
    assert_eq!(wanted(&target), 96);
}

/// Guards against callers that are refused although more engines could be ordered, because the load of the engines looks
/// low. A single refused request at a leader that sees few requests isn't a shortage.
#[test]
fn refusals_raise_orders() {
    let mut refusals = CapacityRefusals::default();
    for _ in 0..10 {
        refusals.on_request(at(0), "s");
    }
    refusals.on_refused(at(0), "s");
    let few = refusals.fraction(at(0), "s");
    assert_eq!(
        (ServiceLoad {
            refused: few,
            ..load(3.0)
        })
        .shortage(),
        0.0
    );
    for _ in 0..9 {
        refusals.on_refused(at(0), "s");
    }
    let many = refusals.fraction(at(0), "s");
    assert!((0.3..0.4).contains(&many), "{many}");
    let mut fleet = Fleet::new(11, 1);
    let target = fleet.check(&ServiceLoad {
        refused: many,
        ..load(3.0)
    });
    assert_eq!(wanted(&target), 72);
    assert!(refusals.fraction(at(30_000), "s") < 0.01);
    assert_eq!(refusals.fraction(at(0), "other"), 0.0);
}

const HALVES: StageSplit = StageSplit {
    prefill: 0.5,
    decode: 0.5,
};

/// Guards against too few engines in a split service, where one stage is busy while the other is idle, and against a load
/// of which only the leader's own part is counted.
#[test]
fn load_of_split_service() {
    let stages = [[Stage::Prefill; 3], [Stage::Decode; 3]].concat();
    let engines = super::fleet(&stages);
    let mut loads = LoadTracker::new();
    loads.begin(at(0), EngineKey(0), Duration::from_millis(30));
    let prefill = Duration::from_millis(50);
    let work = BTreeMap::from([
        (EngineKey(1), Work { requests: 2, prefill }),
        (
            EngineKey(4),
            Work {
                requests: 24,
                prefill: Duration::ZERO,
            },
        ),
    ]);
    loads.on_peer_report(at(0), "two", work);
    let seen = ServiceLoad::of(at(0), &loads, &engines, 0.5);
    assert_eq!((seen.engines, seen.slots, seen.prefilling), (6, 1.5, 2.0));
    assert_eq!(
        (seen.backlog, seen.split),
        (Duration::from_millis(80), Some(HALVES))
    );
    let mut fleet = Fleet::new(0, 1);
    // Two engines that compute prefills need 3.3, which are to be half of all.
    let target = fleet.check(&seen);
    assert!((6.6..6.7).contains(&target.need), "{target:?}");
    // Prefills of 800 ms that are to be done within 100 ms.
    let backlog = ServiceLoad {
        backlog: Duration::from_millis(800),
        latency: Duration::from_millis(100),
        ..seen
    };
    let target = fleet.check(&backlog);
    assert_eq!(target.need, 16.0);
    // A new engine that still generates doesn't raise the need; missing ones that generate do.
    let started = super::fleet(&[stages.as_slice(), &[Stage::Decode; 6]].concat());
    let seen = ServiceLoad::of(at(0), &loads, &started, 0.5);
    assert_eq!(seen.split, Some(HALVES));
    let left = ServiceLoad::of(at(0), &loads, &engines[..4], 0.5);
    assert_eq!(left.split.map(|split| split.decode), Some(0.25));
}

/// Starts an instance that is the leader and orders engines as the load requires, with a reserved engine of 16 slots in
/// each of three zones.
async fn start_leader(api: &ScriptedEngine, headroom: Option<f64>) -> Arc<Shared> {
    let mut options = options();
    options.leader = Some(LeaderOptions {
        address: api.address(),
        usage: false,
        scale: true,
        lease: Duration::from_millis(300),
        window: Duration::from_secs(1),
    });
    options.reloadable.scale_headroom = headroom;
    let shared = shared(options);
    let scale = ScalePolicy {
        max: 8,
        zone_prices: ["a", "b", "c"].map(|zone| (zone.to_string(), 1.0)).into(),
        ..policy()
    };
    let service = Service {
        name: "chat".to_string(),
        connections: 0,
        engine_spec: None,
        scale: Some(scale),
    };
    let engines = ["a", "b", "c"].iter().enumerate().map(|(index, zone)| {
        let entry = Entry {
            zone: zone.to_string(),
            ..super::entry(&format!("e{index}"), Stage::Decode)
        };
        Engine::new(EngineKey(u32::try_from(index).expect("a small index")), entry)
    });
    let engines: Vec<Engine> = engines.collect();
    let limits = CallerLimits::default();
    shared.publish(|view| {
        view.table = Arc::new(RoutingTable::new(3, limits, Vec::new(), vec![service]));
        view.set_engines([("chat".to_string(), engines)].into());
    });
    let sockets = peers::Sockets::bind(&shared).await.expect("an unused address");
    let fleet = peers::start(shared.clone(), sockets, StoreReplica::new());
    let store: Rc<dyn Store> = Rc::new(FakeStore::new());
    relay::start_leader_tasks(&shared, &store, &fleet);
    shared
}

/// An API that has no spot engines in the zone `b`.
async fn short_api() -> ScriptedEngine {
    ScriptedEngine::start(|_, request| {
        let is_refused = request.body.contains("zone: \"b\", spot: true");
        let code = if is_refused { 409 } else { 200 };
        vec![Action::Send(format!(
            "HTTP/1.1 {code} X\r\ncontent-length: 0\r\n\r\n"
        ))]
    })
    .await
}

/// Guards against a load that waits although another zone has spot engines: 96 requests at 48 slots need 8 engines at
/// three quarters of their slots, which are ordered with half as many in reserve. The zone `b` has none of its three,
/// so the others get two more each, with which the loss of either would leave enough; and its order is made again.
#[actix_web::test]
async fn refused_zone_replaced() {
    let api = short_api().await;
    let shared = start_leader(&api, Some(0.5)).await;
    for job in 0..96 {
        let engine = EngineKey(job % 3);
        shared.traffic().load.begin(clock::now(), engine, Duration::ZERO);
    }
    let has = |log: &super::engine::Log, zone: &str, count: u32| {
        let (zone, count) = (
            format!("zone: \"{zone}\", spot: true"),
            format!("count: {count} "),
        );
        let orders = log.requests.iter().map(|r| &r.body);
        orders
            .filter(|body| body.contains(&zone) && body.contains(&count))
            .count()
    };
    api.wait_for(|log| has(log, "a", 5) == 1 && has(log, "c", 5) == 1 && has(log, "b", 3) >= 2)
        .await;
    let page = shared.metrics.render();
    for line in [
        "sequoiastream_relay_scale_need{service=\"chat\"} 8.0",
        "sequoiastream_relay_scale_target{service=\"chat\",zone=\"a\",kind=\"spot\"} 5",
        "sequoiastream_relay_scale_target{service=\"chat\",zone=\"b\",kind=\"reserved\"} 1",
    ] {
        assert!(page.contains(line), "{line} in {page}");
    }
}

/// Guards against orders that follow the load where no operator asked for it: the maximum is ordered.
#[actix_web::test]
async fn maximum_without_setting() {
    let api = short_api().await;
    let _shared = start_leader(&api, None).await;
    api.wait_for(|log| log.requests.len() >= 3).await;
    let bodies: Vec<String> = api.log().requests.iter().map(|r| r.body.clone()).collect();
    assert!(
        bodies
            .iter()
            .all(|body| body.contains("spot: true") && body.contains("count: 7 ")),
        "{bodies:?}"
    );
}
