//! Streams while engines of several software versions serve: a stream goes on only at the version that began it.

mod store;
mod unseen;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream::ops::relay::confirm;
use sequoiastream::ops::relay::known::StoreReplica;
use sequoiastream::ops::relay::peers;
use sequoiastream::ops::relay::peers::Fleet;
use sequoiastream::ops::relay::register::ListedInstance;
use sequoiastream::ops::relay::shared::Shared;
use sequoiastream_core::membership::Listing;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RouteTarget;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::streams::SoftwareVersion;
use sequoiastream_core::relay::version_history::VersionRecord;
use sequoiastream_core::relay::watchers::ApplyLimit;
use sequoiastream_kv::store::Store;
use tokio::sync::Notify;

use crate::relay::engine::Action;
use crate::relay::engine::ReceivedRequest;
use crate::relay::engine::ScriptedEngine;
use crate::relay::engine::chunk;
use crate::relay::engine::head;
use crate::relay::instance::Instance;
use crate::relay::instance::options;
use crate::relay::instance::route;
use crate::relay::instance::shared;
use crate::relay::instance::status;
use crate::relay::store::FakeStore;
use crate::relay::wait_until;

/// Longer than a test lasts: what an instance knows is always recent.
const APPLY_LIMIT: ApplyLimit = ApplyLimit(Duration::from_secs(60));

/// The head and the event `id` of a stream of an engine of `version`.
fn stream(request: &ReceivedRequest, version: &str, id: u64) -> String {
    let event = format!("id: {id}\ndata: {version}\n\n");
    head(request, "transfer-encoding: chunked\r\n") + &chunk(&event)
}

/// An engine that breaks off a new stream after its first event, and completes a stream that it is to continue.
async fn versioned_engine(version: &'static str) -> ScriptedEngine {
    ScriptedEngine::start(move |_, request| match request.header("x-resume") {
        None => vec![Action::Send(stream(request, version, 1)), Action::Close],
        Some(_) => vec![Action::Send(stream(request, version, 2) + "0\r\n\r\n")],
    })
    .await
}

/// Engines and their versions.
struct Engines(Vec<(ScriptedEngine, &'static str)>);

impl Engines {
    async fn start(versions: &[&'static str]) -> Engines {
        let mut engines = Vec::new();
        for version in versions {
            engines.push((versioned_engine(version).await, *version));
        }
        Engines(engines)
    }

    /// The registrations of all engines.
    fn listed(&self) -> Vec<Engine> {
        let engines = self.0.iter().zip(0..).map(|((engine, version), index)| {
            let entry = Entry {
                address: engine.address(),
                version: version.to_string(),
                started: Some(1),
                ..crate::relay::entry(&format!("e{index}"), Stage::Whole)
            };
            Engine::new(EngineKey(index), entry)
        });
        engines.collect()
    }

    /// Starts an instance with this name before the engines, which knows that no others have served. Each request has
    /// `attempts` attempts.
    fn instance(&self, name: &str, attempts: u32) -> Instance {
        let instance = self.new_instance(name, attempts);
        know_versions(&instance.shared, &[]);
        instance
    }

    /// Starts an instance that does not know which engines have served before it started.
    fn new_instance(&self, name: &str, attempts: u32) -> Instance {
        let mut options = options();
        options.name = name.parse().expect("a name");
        options.reloadable.apply_limit = APPLY_LIMIT;
        let shared = shared(options);
        let mut route = route(RouteKind::Resumable, "/r/");
        route.max_attempts = attempts;
        let limits = CallerLimits {
            max_body: 1 << 20,
            ..CallerLimits::default()
        };
        shared.publish(|view| {
            view.table = Arc::new(RoutingTable::new(3, limits, vec![route], Vec::new()));
            view.instances = 1;
        });
        list(&shared, self.listed());
        Instance::serve(shared)
    }
}

/// Tells an instance that engines of these versions have served, and gives it a store that confirms this.
pub(super) fn know_versions(shared: &Arc<Shared>, versions: &[&str]) {
    read_versions(shared, versions);
    confirm_by(shared, &FakeStore::new());
}

/// Tells an instance that the store, when it was read, showed that engines of these versions have served.
fn read_versions(shared: &Shared, versions: &[&str]) {
    let now = sequoiastream::util::clock::now();
    let versions = versions.iter().map(|version| SoftwareVersion::of(version));
    let record = VersionRecord {
        services: [("chat".to_string(), versions.collect())].into(),
    };
    shared.traffic().history.on_record(now, &record);
    shared.on_store_answer(now);
}

/// Has an instance, which knows what the store holds now, ask it for confirmations. Returns what it knows of the store.
fn confirm_by(shared: &Arc<Shared>, store: &FakeStore) -> StoreReplica {
    let known = StoreReplica::new();
    let now = sequoiastream::util::clock::now();
    known.on_store_answer(now, now, Duration::ZERO, store.revision());
    let store: Rc<dyn Store> = Rc::new(store.clone());
    confirm::start(shared, &store, known.clone());
    known
}

/// Replaces the engines that an instance knows.
fn list(shared: &Shared, engines: Vec<Engine>) {
    shared.publish(|view| view.set_engines([("chat".to_string(), engines)].into()));
}

/// Starts the exchange of messages of an instance with its peers.
async fn join(instance: &Instance) -> Fleet {
    let sockets = peers::Sockets::bind(&instance.shared)
        .await
        .expect("an unused address");
    let fleet = peers::start(instance.shared.clone(), sockets, StoreReplica::new());
    fleet.on_version(3);
    fleet
}

fn listing(instance: &Instance) -> ListedInstance {
    let options = &instance.shared.options;
    ListedInstance {
        listing: Listing {
            name: options.name.clone(),
            zone: options.zone.clone(),
            address: options.front,
            peer_address: options.peer,
            state: MemberState::Live,
        },
        capacity: 250,
    }
}

/// Starts the messages of all instances, and waits until each hears all others.
async fn link(instances: &[&Instance]) -> Vec<Fleet> {
    let mut fleets = Vec::new();
    for instance in instances {
        let fleet = join(instance).await;
        fleet.on_listed(instances.iter().map(|i| listing(i)).collect());
        fleets.push(fleet);
    }
    let hears_all = |i: &&Instance| i.shared.view.load().tunnel_peers.len() + 1 == instances.len();
    wait_until(|| instances.iter().all(hears_all)).await;
    fleets
}

fn ids(answer: &str) -> Vec<&str> {
    answer.lines().filter_map(|l| l.strip_prefix("id: ")).collect()
}

/// The versions of the engines that made the events.
fn versions(answer: &str) -> BTreeSet<&str> {
    let data = answer.lines().filter_map(|l| l.strip_prefix("data: "));
    data.collect()
}

/// Begins a stream that breaks off after its first event, and returns its version.
async fn begin(instance: &Instance, id: &str) -> String {
    let got = instance.get("/r/x", id, "").await;
    assert_eq!(ids(&got), ["1"], "{got}");
    versions(&got).into_iter().collect()
}

/// Takes up the stream that the attempt `first` began.
async fn take_up(instance: &Instance, id: &str, first: &str) -> String {
    let more = format!("x-resume: 1\r\nx-resumes: {first}\r\n");
    instance.get("/r/x", id, &more).await
}

/// Guards against a stream that holds events of two versions because it is continued by any engine, within one answer.
#[actix_web::test]
async fn continue_same_version() {
    let engines = Engines::start(&["v1", "v2", "v1", "v2"]).await;
    let instance = engines.instance("one", 3);
    for number in 0..12 {
        let got = instance.get("/r/x", &format!("q{number}"), "").await;
        assert_eq!(ids(&got), ["1", "2"], "{got}");
        assert_eq!(versions(&got).len(), 1, "{got}");
    }
}

/// Guards against a stream that holds events of two versions because a caller's next try goes to any engine.
#[actix_web::test]
async fn take_up_same_version() {
    let engines = Engines::start(&["v1", "v2", "v1", "v2"]).await;
    let instance = engines.instance("one", 1);
    for number in 0..12 {
        let version = begin(&instance, &format!("q{number}")).await;
        let got = take_up(&instance, &format!("r{number}"), &format!("q{number}")).await;
        assert_eq!(ids(&got), ["2"], "{got}");
        assert_eq!(versions(&got), BTreeSet::from([version.as_str()]));
    }
}

/// Guards against a stream that holds events of two versions because its caller takes it up at another instance.
#[actix_web::test]
async fn take_up_other_instance() {
    let engines = Engines::start(&["v1", "v2", "v1", "v2"]).await;
    let (one, two) = (engines.instance("one", 1), engines.instance("two", 1));
    link(&[&one, &two]).await;
    for number in 0..12 {
        let version = begin(&one, &format!("q{number}")).await;
        let got = take_up(&two, &format!("r{number}"), &format!("q{number}")).await;
        assert_eq!(ids(&got), ["2"], "{got}");
        assert_eq!(versions(&got), BTreeSet::from([version.as_str()]));
    }
}

/// Guards against a stream that holds events of two versions because the instance that began it is gone, and its caller
/// takes it up at one that started later.
#[actix_web::test]
async fn take_up_later_instance() {
    let engines = Engines::start(&["v1", "v2", "v1", "v2"]).await;
    let (one, two) = (engines.instance("one", 1), engines.instance("two", 1));
    let fleets = link(&[&one, &two]).await;
    let mut begun = Vec::new();
    for number in 0..12 {
        begun.push(begin(&one, &format!("q{number}")).await);
    }
    wait_until(|| two.shared.traffic().streams.len() == begun.len()).await;
    fleets[0].leave();
    let three = engines.instance("three", 1);
    let fleet = join(&three).await;
    for fleet in [&fleets[1], &fleet] {
        fleet.on_listed(vec![listing(&two), listing(&three)]);
    }
    let asked = two.shared.options.peer;
    let hears_two = || {
        let peers = three.shared.view.load().tunnel_peers.clone();
        peers.len() == 1 && peers[0].address == asked
    };
    wait_until(hears_two).await;
    for (number, version) in begun.iter().enumerate() {
        let got = take_up(&three, &format!("r{number}"), &format!("q{number}")).await;
        assert_eq!(ids(&got), ["2"], "{got}");
        assert_eq!(versions(&got), BTreeSet::from([version.as_str()]));
    }
}

/// Guards against a stream that goes on at another version once its own serves no longer, and against a caller that waits
/// for it in vain.
#[actix_web::test]
async fn take_up_version_gone() {
    let engines = Engines::start(&["v1", "v1", "v2", "v2"]).await;
    let instance = engines.instance("one", 1);
    let version = begin(&instance, "q0").await;
    let others = engines
        .listed()
        .into_iter()
        .filter(|e| e.entry.version != version);
    list(&instance.shared, others.collect());
    let asked = std::time::Instant::now();
    let got = take_up(&instance, "r0", "q0").await;
    assert_eq!(status(&got), "503", "{got}");
    assert!(asked.elapsed() < Duration::from_secs(1));
    // The version serves again.
    list(&instance.shared, engines.listed());
    let got = take_up(&instance, "r1", "q0").await;
    assert_eq!(versions(&got), BTreeSet::from([version.as_str()]), "{got}");
}

/// Guards against a stream of which nothing is known and that goes on at any of several versions, and against refusing one
/// where all engines have had the same version for as long as a stream may last.
#[actix_web::test]
async fn take_up_unknown() {
    let engines = Engines::start(&["v1", "v1"]).await;
    let instance = engines.instance("one", 1);
    let got = take_up(&instance, "r0", "elsewhere").await;
    assert_eq!(ids(&got), ["2"], "{got}");
    let both = Engines::start(&["v1", "v2"]).await;
    list(&instance.shared, both.listed());
    let got = take_up(&instance, "r1", "another").await;
    assert_eq!(status(&got), "503", "{got}");
    // The stream may be of the version that is gone.
    let newer = both.listed().into_iter().filter(|e| e.entry.version == "v2");
    list(&instance.shared, newer.collect());
    let got = take_up(&instance, "r2", "another").await;
    assert_eq!(status(&got), "503", "{got}");
}

/// Guards against a stream that is refused, or goes on at another version, because it was taken up without being recorded.
/// Sequence: nothing is known of the stream, and all engines have the same version, so that it is certain; later another
/// version serves as well, and the caller takes the stream up once more, at this or another instance.
#[actix_web::test]
async fn take_up_twice() {
    let engines = Engines::start(&["v1", "v1"]).await;
    let (one, two) = (engines.instance("one", 1), engines.instance("two", 1));
    link(&[&one, &two]).await;
    let got = take_up(&one, "r0", "elsewhere").await;
    assert_eq!(versions(&got), BTreeSet::from(["v1"]), "{got}");
    wait_until(|| two.shared.traffic().streams.len() == 1).await;
    let both = Engines::start(&["v2", "v1"]).await;
    for instance in [&one, &two] {
        list(&instance.shared, both.listed());
        let got = take_up(instance, "r1", "elsewhere").await;
        assert_eq!(versions(&got), BTreeSet::from(["v1"]), "{got}");
    }
}

/// Guards against a stream that is taken for one of an engine's former version: the engine started again under its id
/// with another version, and the first event came after that.
#[actix_web::test]
async fn begin_reborn() {
    let notify = Rc::new(Notify::new());
    let held = notify.clone();
    let reborn = ScriptedEngine::start(move |_, request| {
        vec![
            Action::Await(held.clone()),
            Action::Send(stream(request, "v2", 1)),
            Action::Close,
        ]
    });
    let engines = Engines(vec![(reborn.await, "v1")]);
    let instance = engines.instance("one", 1);
    let restart = async {
        engines.0[0].0.wait_for(|log| log.requests.len() == 1).await;
        let other = versioned_engine("v1").await;
        let mut listed = Engines(vec![(engines.0[0].0.clone(), "v2"), (other, "v1")]).listed();
        let entry = Entry {
            started: Some(2),
            ..listed[0].entry.clone()
        };
        listed[0] = Engine::new(EngineKey(7), entry);
        list(&instance.shared, listed);
        notify.notify_one();
    };
    let (version, ()) = futures_util::join!(begin(&instance, "q0"), restart);
    assert_eq!(version, "v2");
    let got = take_up(&instance, "r0", "q0").await;
    assert_eq!(status(&got), "503", "{got}");
}

/// Guards against a stream that goes on at an engine that has started again under its id with another version, before the
/// store says so: its former process is known to have ended.
#[actix_web::test]
async fn take_up_reborn() {
    let engines = Engines::start(&["v1"]).await;
    let instance = engines.instance("one", 1);
    let version = begin(&instance, "q0").await;
    let incarnation = engines.listed()[0].incarnation();
    let now = sequoiastream::util::clock::now();
    instance
        .shared
        .traffic()
        .suspects
        .on_ended(now, incarnation.hash());
    let got = take_up(&instance, "r0", "q0").await;
    assert_eq!(status(&got), "503", "{got}");
    // It has the same version after its start.
    let mut listed = engines.listed();
    listed[0].entry.started = Some(2);
    list(&instance.shared, listed);
    let got = take_up(&instance, "r1", "q0").await;
    assert_eq!(versions(&got), BTreeSet::from([version.as_str()]), "{got}");
}

/// Guards against a stream that goes on at another version because its own left, and all instances that knew of it ended,
/// before the one at which it is taken up started.
#[actix_web::test]
async fn take_up_restarted() {
    let before = Engines::start(&["v1", "v1"]).await;
    let one = before.instance("one", 1);
    assert_eq!(begin(&one, "q0").await, "v1");
    let after = Engines::start(&["v2", "v2"]).await;
    let two = after.new_instance("two", 1);
    let got = take_up(&two, "r0", "q0").await;
    assert_eq!(status(&got), "503", "{got}");
    know_versions(&two.shared, &["v1", "v2"]);
    let got = take_up(&two, "r1", "q0").await;
    assert_eq!(status(&got), "503", "{got}");
}

/// Guards against refusing streams after all instances ended, although their version has been the only one.
#[actix_web::test]
async fn take_up_restarted_one_version() {
    let engines = Engines::start(&["v1", "v1"]).await;
    let one = engines.instance("one", 1);
    assert_eq!(begin(&one, "q0").await, "v1");
    let two = engines.new_instance("two", 1);
    know_versions(&two.shared, &["v1"]);
    let got = take_up(&two, "r0", "q0").await;
    assert_eq!(versions(&got), BTreeSet::from(["v1"]), "{got}");
}

/// Guards against a stream that goes on at another version because its caller does not name the attempt that began it.
#[actix_web::test]
async fn take_up_unnamed() {
    let engines = Engines::start(&["v1", "v2"]).await;
    let instance = engines.instance("one", 1);
    let got = instance.get("/r/x", "r0", "x-resume: 1\r\n").await;
    assert_eq!(status(&got), "503", "{got}");
    let one_version = Engines::start(&["v1", "v1"]).await;
    let instance = one_version.instance("two", 1);
    let got = instance.get("/r/x", "r1", "x-resume: 1\r\n").await;
    assert_eq!(versions(&got), BTreeSet::from(["v1"]), "{got}");
}

/// Guards against a stream that goes on at the only version an instance knows, while it is cut off and another version has
/// begun to serve, however short a time ago the store confirmed what it knows.
#[actix_web::test]
async fn take_up_cut_off() {
    let engines = Engines::start(&["v1", "v1"]).await;
    let instance = engines.new_instance("one", 1);
    read_versions(&instance.shared, &["v1"]);
    let store = FakeStore::new();
    confirm_by(&instance.shared, &store);
    store.set_unresponsive(true);
    let asked = std::time::Instant::now();
    for attempt in ["r0", "r1"] {
        let got = take_up(&instance, attempt, "elsewhere").await;
        assert_eq!(status(&got), "503", "{got}");
    }
    assert!(asked.elapsed() < Duration::from_secs(4));
    store.set_unresponsive(false);
    let got = take_up(&instance, "r2", "elsewhere").await;
    assert_eq!(versions(&got), BTreeSet::from(["v1"]), "{got}");
}

/// Guards against a stream that goes on at the only version an instance knows, because its process stood still while another
/// version began to serve, which the store shows and the instance has not read yet.
#[actix_web::test]
async fn take_up_out_of_step() {
    for key in ["engines/e7", "versions"] {
        let engines = Engines::start(&["v1", "v1"]).await;
        let instance = engines.new_instance("one", 1);
        read_versions(&instance.shared, &["v1"]);
        let store = FakeStore::new();
        let known = confirm_by(&instance.shared, &store);
        store.put(key, "another version");
        let (first, second, both) = (
            take_up(&instance, "r0", "elsewhere"),
            take_up(&instance, "r1", "elsewhere"),
            Engines::start(&["v1", "v2"]),
        );
        let (first, second, both) = futures_util::join!(first, second, both);
        assert_eq!(
            [status(&first), status(&second)],
            ["503"; 2],
            "{key}: {first} {second}"
        );
        // The instance reads it: both versions are known, so that nothing is certain.
        list(&instance.shared, both.listed());
        let now = sequoiastream::util::clock::now();
        known.on_store_answer(now, now, Duration::ZERO, store.revision());
        let got = take_up(&instance, "r2", "elsewhere").await;
        assert_eq!(status(&got), "503", "{key}: {got}");
    }
}

/// Guards against refusing streams of the only version because of changes in the store that concern no engine, or engines
/// of the same version.
#[actix_web::test]
async fn take_up_other_change() {
    let engines = Engines::start(&["v1", "v1"]).await;
    let instance = engines.new_instance("one", 1);
    read_versions(&instance.shared, &["v1"]);
    let store = FakeStore::new();
    let known = confirm_by(&instance.shared, &store);
    store.put("orders/e0", "none");
    let got = take_up(&instance, "r0", "elsewhere").await;
    assert_eq!(versions(&got), BTreeSet::from(["v1"]), "{got}");
    store.put("engines/e7", "the same version");
    let revision = store.revision();
    let read = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now = sequoiastream::util::clock::now();
        known.on_store_answer(now, now, Duration::ZERO, revision);
    };
    let (got, ()) = futures_util::join!(take_up(&instance, "r1", "another"), read);
    assert_eq!(versions(&got), BTreeSet::from(["v1"]), "{got}");
}

/// Guards against a stream that goes on at the only version in the contents of the store that a peer sent which is cut off,
/// because an instance that started a moment ago takes its own age for that of the contents.
#[actix_web::test]
async fn take_up_unconfirmed() {
    let engines = Engines::start(&["v1", "v1"]).await;
    let instance = engines.instance("one", 1);
    let unconfirmed = engines.new_instance("two", 1);
    let got = take_up(&instance, "r0", "elsewhere").await;
    assert_eq!(versions(&got), BTreeSet::from(["v1"]), "{got}");
    let now = sequoiastream::util::clock::now();
    let record = VersionRecord {
        services: [("chat".to_string(), [SoftwareVersion::of("v1")].into())].into(),
    };
    unconfirmed.shared.traffic().history.on_record(now, &record);
    let store = FakeStore::new();
    confirm_by(&unconfirmed.shared, &store);
    store.set_down(true);
    let got = take_up(&unconfirmed, "r1", "elsewhere").await;
    assert_eq!(status(&got), "503", "{got}");
}

/// Guards against a stream that goes on at another service than the one that began it, or is refused because that has other
/// versions: its route is split over both, and each attempt draws one.
#[actix_web::test]
async fn take_up_split_route() {
    let engines = Engines::start(&["v1", "v1"]).await;
    let instance = engines.instance("one", 1);
    let mut listed = engines.listed();
    listed[1].entry.service = "talk".to_string();
    listed[1].entry.version = "v2".to_string();
    let (chat, talk) = (vec![listed[0].clone()], vec![listed[1].clone()]);
    let target = |service: &str| RouteTarget {
        service: service.to_string(),
        weight: 50,
    };
    let mut split = route(RouteKind::Resumable, "/r/");
    split.targets = vec![target("chat"), target("talk")];
    instance.shared.publish(|view| {
        let limits = CallerLimits::default();
        view.table = Arc::new(RoutingTable::new(4, limits, vec![split], Vec::new()));
        view.set_engines([("chat".to_string(), chat), ("talk".to_string(), talk)].into());
    });
    let requests = || [0, 1].map(|index: usize| engines.0[index].0.log().requests.len());
    for number in 0..24 {
        begin(&instance, &format!("first-{number}")).await;
        let got = take_up(&instance, &format!("again-{number}"), &format!("first-{number}")).await;
        assert_eq!(ids(&got), ["2"], "{number}: {got}");
        assert!(requests().iter().all(|count| count.is_multiple_of(2)));
    }
    assert!(requests().iter().all(|count| *count > 0));
}
