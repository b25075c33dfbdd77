//! Seeded runs of what several instances believe of engines and of poisonous requests.
//!
//! Engines register, leave, lapse and come back under their id; what they write reaches the store late and out of order.
//! Instances watch the store or read all of it, lose answers and get the same changes twice, are cut off and told by a
//! peer, are paused and killed. Time is simulated. `SEQUOIASTREAM_SEEDS=1000..100000 cargo test --release --test testsuite
//! relay::seeded` runs others for as long as one likes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::EngineUpdate;
use sequoiastream_core::relay::engines::Engines;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::REREGISTRATION_GRACE;
use sequoiastream_core::relay::engines::STORE_FAILURE_WINDOW;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::suspects::CrashNote;
use sequoiastream_core::relay::suspects::MIN_CRASHES;
use sequoiastream_core::relay::suspects::Suspects;
use sequoiastream_core::time::Time;

use super::entry;
use crate::claims::client::PrintSeedOnPanic;
use crate::claims::client::seeds_or;

const SEEDS: std::ops::Range<u64> = 0..200;

const STEP: Duration = Duration::from_millis(50);

/// Steps with faults.
const FAULTY: u32 = 1_200;

/// Steps after them: a lapse in the last one, the store's absence, an engine's registration and its way take 150 (seed
/// 12548).
const QUIET: u32 = 200;

/// Seeds that showed something: the run was wrong each time, see docs/design/seeded-runs.md.
const SHOWED: [u64; 2] = [1_091, 12_548];

const INSTANCES: usize = 5;
const IDS: u32 = 8;

/// Time between two messages about load, which carry word of crashes too.
const MESSAGE: Duration = Duration::from_millis(25);

/// Messages for which an instance hears nothing: two seconds.
const DEAF: u32 = 80;

/// By when all must know of a crash, counted from the moment since which all have heard: the rules allow three seconds.
const KNOWN: Duration = Duration::from_millis(2_900);

/// Steps for which an engine's words are on their way to the store at most.
const LATE: u32 = 30;

type Truth = BTreeMap<String, (u64, Entry)>;

/// The store: what it holds, and all that happened there.
#[derive(Debug, Default)]
struct Store {
    revision: u64,
    items: Truth,
    log: Vec<(u64, EngineUpdate)>,
}

impl Store {
    fn put(&mut self, mut entry: Entry) {
        self.revision += 1;
        entry.create_revision = self
            .items
            .get(&entry.id)
            .map_or(self.revision, |(_, e)| e.create_revision);
        self.items
            .insert(entry.id.clone(), (self.revision, entry.clone()));
        self.log
            .push((self.revision, EngineUpdate::Entry(self.revision, entry)));
    }

    fn remove(&mut self, id: &str) {
        if self.items.remove(id).is_some() {
            self.revision += 1;
            self.log.push((
                self.revision,
                EngineUpdate::Removed(self.revision, id.to_string()),
            ));
        }
    }

    fn since(&self, revision: u64) -> Vec<EngineUpdate> {
        let later = self.log.iter().filter(|(at, _)| *at > revision);
        later.map(|(_, news)| news.clone()).collect()
    }

    fn all(&self) -> Vec<(u64, Entry)> {
        self.items.values().cloned().collect()
    }
}

/// What an engine does with its id: each word is counted, in all of its lives.
#[derive(Debug, Default)]
struct Words {
    sequence: u64,
    leaving: bool,
    alive: bool,
    due: Vec<(u32, Entry)>,
}

impl Words {
    fn say(&mut self, random: &mut ChaCha8Rng, step: u32, id: &str, leaving: bool) {
        self.sequence += 1;
        let said = Entry {
            sequence: self.sequence,
            leaving,
            ..entry(id, Stage::Whole)
        };
        let late = if random.random_bool(0.2) {
            random.random_range(1..LATE)
        } else {
            0
        };
        self.due.push((step + late, said));
    }
}

/// One instance, and what it can be held to.
#[derive(Debug, Default)]
struct Instance {
    engines: Engines,
    known: u64,
    items: Truth,
    /// Up to which revision each engine's news was taken in.
    seen: BTreeMap<String, u64>,
    /// The last word of each engine's that it leaves, of those that were taken in here.
    left: BTreeMap<String, u64>,
    /// When the removal of an id was taken in, and the last word before it.
    gone: BTreeMap<String, (Time, u64)>,
    keys: BTreeMap<EngineKey, (String, u64)>,
    paused: u32,
    cut: u32,
    started: bool,
}

impl Instance {
    fn note(&mut self, now: Time, news: &EngineUpdate) {
        let (EngineUpdate::Entry(at, Entry { id, .. }) | EngineUpdate::Removed(at, id)) = news;
        let seen = self.seen.entry(id.clone()).or_default();
        if *at <= *seen {
            return;
        }
        *seen = *at;
        match news {
            EngineUpdate::Entry(_, entry) if entry.leaving => {
                let left = self.left.entry(entry.id.clone()).or_default();
                *left = entry.sequence.max(*left);
            }
            EngineUpdate::Entry(..) => {}
            EngineUpdate::Removed(_, id) => {
                let last = self.items.get(id).map_or(0, |(_, e)| e.sequence);
                self.gone.insert(id.clone(), (now, last));
            }
        }
        match news {
            EngineUpdate::Entry(at, entry) => {
                self.items.insert(entry.id.clone(), (*at, entry.clone()));
            }
            EngineUpdate::Removed(_, id) => {
                self.items.remove(id);
            }
        }
    }

    fn on_watch(&mut self, now: Time, revision: u64, news: Vec<EngineUpdate>) {
        for news in news {
            self.note(now, &news);
            self.engines.on_update(now, news);
        }
        self.known = revision;
    }

    fn on_all(&mut self, now: Time, revision: u64, entries: Vec<(u64, Entry)>) {
        let named: BTreeSet<&String> = entries.iter().map(|(_, e)| &e.id).collect();
        let absent = self.items.keys().filter(|id| !named.contains(id));
        let gone: Vec<EngineUpdate> = absent
            .map(|id| EngineUpdate::Removed(revision, id.clone()))
            .collect();
        let put = entries
            .iter()
            .map(|(at, entry)| EngineUpdate::Entry(*at, entry.clone()));
        for news in gone.into_iter().chain(put) {
            self.note(now, &news);
        }
        self.engines.on_snapshot(now, revision, entries);
        self.known = revision;
        self.started = true;
    }

    fn open(&self) -> BTreeMap<String, (EngineKey, Entry)> {
        let services = self.engines.available();
        let engines = services.into_values().flatten();
        engines.map(|e| (e.entry.id.clone(), (e.key, e.entry))).collect()
    }

    fn check(&mut self, now: Time) {
        for (id, (key, entry)) in self.open() {
            let left = self.left.get(&id).copied().unwrap_or_default();
            assert!(
                entry.sequence > left,
                "{id} has left with word {left}, and gets work by {entry:?}"
            );
            if let Some((at, last)) = self.gone.get(&id) {
                let kept = now.since(*at) <= REREGISTRATION_GRACE + STEP;
                assert!(
                    kept || entry.sequence > *last,
                    "{id} is gone since {at}, and gets work at {now}"
                );
            }
            let life = self
                .keys
                .entry(key)
                .or_insert((id.clone(), entry.create_revision));
            assert_eq!(*life, (id, entry.create_revision), "a key of two engines");
        }
    }
}

struct World {
    random: ChaCha8Rng,
    store: Store,
    words: BTreeMap<String, Words>,
    instances: Vec<Instance>,
    out: u32,
    step: u32,
}

impl World {
    fn new(seed: u64) -> World {
        let ids = (0..IDS).map(|n| (format!("e{n}"), Words::default()));
        World {
            random: ChaCha8Rng::seed_from_u64(seed),
            store: Store::default(),
            words: ids.collect(),
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            out: 0,
            step: 0,
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + Duration::from_secs(60) + STEP * self.step
    }

    fn run(mut self) {
        for _ in 0..FAULTY {
            self.act();
            self.deliver();
            self.follow(true);
        }
        self.out = 0;
        for _ in 0..QUIET {
            self.deliver();
            self.follow(false);
        }
        let ready = self.store.items.values().filter(|(_, e)| !e.leaving);
        let expected: BTreeMap<String, u64> = ready.map(|(_, e)| (e.id.clone(), e.sequence)).collect();
        for (index, instance) in self.instances.iter().enumerate() {
            let open = instance.open().into_iter();
            let open: BTreeMap<String, u64> = open.map(|(id, (_, e))| (id, e.sequence)).collect();
            // An earlier word that came last shows an engine as ready that has said that it leaves.
            let believed = expected.iter().filter(|(id, sequence)| {
                let words = &self.words[*id];
                !(words.leaving && **sequence < words.sequence)
            });
            let believed: BTreeMap<String, u64> = believed.map(|(id, s)| (id.clone(), *s)).collect();
            let missing = believed.keys().find(|id| !open.contains_key(*id));
            assert_eq!(missing, None, "instance {index}: {open:?}, expected {believed:?}");
            let surplus = open.keys().find(|id| !expected.contains_key(*id));
            assert_eq!(surplus, None, "instance {index}: {open:?}, expected {expected:?}");
        }
    }

    /// What engines, the store and those who pull plugs do.
    fn act(&mut self) {
        self.out = self.out.saturating_sub(1);
        if self.random.random_bool(0.004) {
            self.out = self.random.random_range(5..80);
            // Leases lapse while the store is out.
            if self.random.random_bool(0.5) {
                self.lapse();
            }
        }
        let ids: Vec<String> = self.words.keys().cloned().collect();
        let id = &ids[self.random.random_range(0..ids.len())];
        let chance = self.random.random_range(0..100);
        let words = self.words.get_mut(id).expect("a known id");
        match chance {
            0..4 if !words.alive => {
                (words.alive, words.leaving) = (true, false);
                words.say(&mut self.random, self.step, id, false);
            }
            4..6 if words.alive && !words.leaving => {
                words.leaving = true;
                words.say(&mut self.random, self.step, id, true);
            }
            // Registered anew after its entry lapsed, or said once more.
            6..14 if words.alive => {
                let leaving = words.leaving;
                words.say(&mut self.random, self.step, id, leaving);
            }
            14..16 if words.alive => {
                words.alive = false;
                words.due.clear();
                self.store.remove(id);
            }
            _ => {}
        }
        let instance = self.random.random_range(0..INSTANCES);
        match self.random.random_range(0..400) {
            0 => self.instances[instance] = Instance::default(),
            1 => self.instances[instance].paused = self.random.random_range(10..100),
            2 => self.instances[instance].cut = self.random.random_range(10..200),
            _ => {}
        }
    }

    /// All leases end. Engines that live register anew within two seconds of the store's return, with a word of their own:
    /// seed 1091 showed that without it an earlier word, come last, is rightly not believed.
    fn lapse(&mut self) {
        let ids: Vec<String> = self.store.items.keys().cloned().collect();
        ids.iter().for_each(|id| self.store.remove(id));
        for (id, words) in self.words.iter_mut().filter(|(_, words)| words.alive) {
            let back = self.step + self.out + self.random.random_range(1..40);
            words.say(&mut self.random, back, id, words.leaving);
        }
    }

    /// Words that have arrived at the store. Every other time the later one comes first.
    fn deliver(&mut self) {
        self.step += 1;
        for words in self.words.values_mut() {
            let step = self.step;
            let (arrived, on_way): (Vec<_>, Vec<_>) = words.due.drain(..).partition(|(at, _)| *at <= step);
            words.due = on_way;
            for (_, entry) in arrived {
                self.store.put(entry);
            }
        }
    }

    fn follow(&mut self, faulty: bool) {
        let now = self.now();
        for index in 0..INSTANCES {
            let instance = &mut self.instances[index];
            if faulty && instance.paused > 0 {
                instance.paused -= 1;
                continue;
            }
            instance.cut = instance.cut.saturating_sub(1);
            let away = faulty && (self.out > 0 || instance.cut > 0 || self.random.random_bool(0.02));
            if away {
                instance.engines.on_store_failure(now);
                self.ask_peer(index, now);
            } else if !self.instances[index].started || self.random.random_bool(0.05) {
                let (revision, all) = (self.store.revision, self.store.all());
                self.instances[index].on_all(now, revision, all);
            } else {
                // An answer that was lost is asked for again: the same changes come twice.
                let again = faulty && self.random.random_bool(0.1);
                let instance = &mut self.instances[index];
                let back = if again { self.random.random_range(0..4) } else { 0 };
                let news = self.store.since(instance.known.saturating_sub(back));
                instance.on_watch(now, self.store.revision, news);
            }
            let instance = &mut self.instances[index];
            instance.engines.on_tick(now);
            instance.check(now);
        }
    }

    /// Takes what a peer knows that is further ahead.
    fn ask_peer(&mut self, index: usize, now: Time) {
        let peer = self.random.random_range(0..INSTANCES);
        if self.instances[peer].known <= self.instances[index].known || !self.instances[peer].started {
            return;
        }
        let revision = self.instances[peer].known;
        let all: Vec<(u64, Entry)> = self.instances[peer].items.values().cloned().collect();
        self.instances[index].on_all(now, revision, all);
    }
}

/// Requests reach an engine after an instance knew that it leaves, or an engine that serves is forgotten for good. Order:
/// any of what the module's words name, mixed by the seed.
#[test]
fn engines_as_the_store_says() {
    assert!(
        STORE_FAILURE_WINDOW < REREGISTRATION_GRACE,
        "the quiet time at the end covers both"
    );
    for seed in seeds_or(SEEDS).chain(SHOWED) {
        let _failing = PrintSeedOnPanic(seed);
        World::new(seed).run();
    }
}

/// A request crashes one engine after the other, since each instance saw fewer than three of its crashes; or a harmless
/// one is run no more. Order: instances lose two in five of each other's messages, get some twice, and are paused or cut
/// off for two seconds. Cause: a crash is told of for half a second only.
#[test]
fn poison_known_to_all() {
    for seed in seeds_or(SEEDS) {
        let _failing = PrintSeedOnPanic(seed);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut instances = vec![Suspects::new(); INSTANCES];
        let mut deaf = [0; INSTANCES];
        let mut heard = [Time::ZERO; INSTANCES];
        let mut broken: BTreeMap<u64, BTreeMap<u64, Time>> = BTreeMap::new();
        let mut now = Time::from_millis(1_000);
        for _ in 0..1_200 {
            now = now + MESSAGE;
            if random.random_bool(0.02) {
                let note = CrashNote {
                    request: random.random_range(0..6),
                    engine: random.random_range(0..8),
                };
                instances[random.random_range(0..INSTANCES)].on_engine_broke(now, note);
                let engines = broken.entry(note.request).or_default();
                engines.entry(note.engine).or_insert(now);
            }
            if random.random_bool(0.01) {
                deaf[random.random_range(0..INSTANCES)] = DEAF;
            }
            for from in 0..INSTANCES {
                let notes = instances[from].notes(now);
                for to in (0..INSTANCES).filter(|to| *to != from && deaf[*to] == 0 && deaf[from] == 0) {
                    for _ in 0..[0, 0, 1, 1, 2][random.random_range(0..5)] {
                        notes.iter().for_each(|note| instances[to].on_note(now, *note));
                    }
                }
            }
            for (index, deaf) in deaf.iter_mut().enumerate() {
                if *deaf > 0 {
                    heard[index] = now;
                }
                *deaf = deaf.saturating_sub(1);
            }
            let all_heard = heard.iter().max().copied().unwrap_or(Time::ZERO);
            for (request, engines) in &broken {
                let mut times: Vec<Time> = engines.values().copied().collect();
                times.sort();
                let third = times.get(MIN_CRASHES - 1).copied();
                for instance in &instances {
                    let is_convicted = instance.is_blocked(now, *request);
                    assert!(
                        third.is_some() || !is_convicted,
                        "request {request} has {engines:?}"
                    );
                    let told = third.is_some_and(|at| now.since(at.max(all_heard)) > KNOWN);
                    assert!(
                        !told || is_convicted,
                        "request {request} has {engines:?} at {now}"
                    );
                }
            }
        }
    }
}
