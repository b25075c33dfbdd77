//! Property tests: arbitrary orders of events at one owner, and arbitrary bytes as a stored bucket.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiastream_core::claims::Bucket;
use sequoiastream_core::claims::Change;
use sequoiastream_core::claims::ClaimRef;
use sequoiastream_core::claims::ClaimRequest;
use sequoiastream_core::claims::ClaimToken;
use sequoiastream_core::claims::Clocks;
use sequoiastream_core::claims::Edit;
use sequoiastream_core::claims::Fingerprint;
use sequoiastream_core::claims::Owner;
use sequoiastream_core::claims::OwnerAction;
use sequoiastream_core::claims::OwnerEvent;
use sequoiastream_core::claims::OwnerSettings;
use sequoiastream_core::claims::QueryId;
use sequoiastream_core::claims::Record;
use sequoiastream_core::claims::Revision;
use sequoiastream_core::claims::State;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;
use uuid::Uuid;

const WALL: u64 = 1_764_700_000_000;

/// Number of keys; all belong to one bucket.
const KEYS: usize = 4;

/// A call to the key-value service that has not been answered yet.
enum PendingCall {
    Read,
    Write(Revision, Bucket),
}

struct Simulation {
    owner: Owner,
    now: u64,
    claims: Vec<ClaimRef>,
    stored: (Revision, Bucket),
    pending: Option<PendingCall>,
    delayed: Vec<(Revision, Bucket)>,
    last_token: u64,
    /// Key and token of each claim request.
    queries: BTreeMap<QueryId, (usize, ClaimToken)>,
    /// Tokens that were granted and not released, by key.
    granted: BTreeMap<usize, ClaimToken>,
}

/// Returns claims that belong to one bucket.
fn claims() -> Vec<ClaimRef> {
    let name = |text| Name::new(text).expect("a name");
    let uuid =
        |salt: u64| Uuid::from_u128((u128::from(WALL) << 80) | (7 << 76) | (2 << 62) | u128::from(salt));
    let key = |salt| uuid(salt).to_string().parse().expect("a UUIDv7");
    let all = (0..).map(|salt| ClaimRef::new(&name("dispatch"), &name("ordini"), &key(salt)));
    all.filter(|claim| claim.bucket.shard == 3).take(KEYS).collect()
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            owner: Owner::new(OwnerSettings::default()),
            now: 0,
            claims: claims(),
            stored: (Revision::default(), Bucket::default()),
            pending: None,
            delayed: Vec::new(),
            last_token: 0,
            queries: BTreeMap::new(),
            granted: BTreeMap::new(),
        }
    }

    fn new_token(&mut self) -> ClaimToken {
        self.last_token += 1;
        ClaimToken(Uuid::from_u128(u128::from(self.last_token)))
    }

    fn step(&mut self, byte: u8) {
        let key = usize::from(byte >> 3) % KEYS;
        match byte & 7 {
            0 => self.claim(key),
            1 => self.edit(key, byte),
            2 => self.complete_call(),
            3 => self.fail_call(false, false),
            4 => self.fail_call(true, true),
            5 => self.fail_call(true, false),
            6 => self.concurrent_write(key, byte),
            _ => {
                self.now += u64::from(byte >> 3) * 40;
                self.on_event(OwnerEvent::Tick);
            }
        }
    }

    fn claim(&mut self, key: usize) {
        let token = self.new_token();
        let query = QueryId(self.last_token);
        self.queries.insert(query, (key, token));
        let request = ClaimRequest {
            claim: self.claims[key],
            token,
            fingerprint: Fingerprint::new("POST", "/orders", b""),
            wall: WallTime(WALL + self.now),
            wait: Duration::from_secs(2),
            run: Duration::from_secs(2),
        };
        self.on_event(OwnerEvent::Claim(query, request));
    }

    /// The entry instance that holds the grant reports the outcome.
    fn edit(&mut self, key: usize, byte: u8) {
        let Some(token) = self.granted.get(&key).copied() else {
            return;
        };
        let change = match byte >> 6 {
            0 => Change::Finish(None),
            1 => Change::Unknown,
            _ => Change::Release,
        };
        if change == Change::Release {
            // The request was not sent, so the claim may be granted to another.
            self.granted.remove(&key);
        }
        let claim = self.claims[key];
        let edit = Edit {
            id: claim.id,
            token,
            change,
        };
        self.on_event(OwnerEvent::Edit(claim.bucket, edit));
    }

    fn compare_and_swap(&mut self, expected: Revision, bucket: Bucket) -> bool {
        let matches = expected == self.stored.0;
        if matches {
            self.stored = (Revision(self.stored.0.0 + 1), bucket);
        }
        matches
    }

    fn complete_call(&mut self) {
        let bucket = self.claims[0].bucket;
        let written = match self.pending.take() {
            None => return,
            Some(PendingCall::Read) => false,
            Some(PendingCall::Write(expected, content)) => self.compare_and_swap(expected, content),
        };
        let (revision, content) = self.stored.clone();
        self.on_event(match written {
            true => OwnerEvent::Written(bucket, revision),
            false => OwnerEvent::Current(bucket, revision, content),
        });
    }

    fn fail_call(&mut self, maybe_written: bool, applied: bool) {
        let bucket = self.claims[0].bucket;
        match self.pending.take() {
            None => return,
            Some(PendingCall::Write(expected, content)) if applied => {
                self.compare_and_swap(expected, content);
            }
            Some(PendingCall::Write(expected, content)) if maybe_written => {
                self.delayed.push((expected, content))
            }
            Some(_) => {}
        }
        self.on_event(OwnerEvent::Failed {
            bucket,
            maybe_written,
        });
    }

    /// Applies a delayed write of this owner, or a claim that another owner writes.
    fn concurrent_write(&mut self, key: usize, byte: u8) {
        if byte >> 7 == 0
            && let Some((expected, content)) = self.delayed.pop()
        {
            self.compare_and_swap(expected, content);
            return;
        }
        let token = self.new_token();
        let (revision, mut content) = self.stored.clone();
        let id = self.claims[key].id;
        if content.get(&id).is_none() {
            let record = Record {
                token,
                fingerprint: Fingerprint::new("POST", "/orders", b""),
                state: State::Unknown,
            };
            content.add(id, record);
            self.compare_and_swap(revision, content);
            self.record_grant(key, token);
        }
    }

    fn record_grant(&mut self, key: usize, token: ClaimToken) {
        let previous = self.granted.insert(key, token);
        assert!(
            previous.is_none_or(|t| t == token),
            "key {key} was granted to two requests"
        );
    }

    fn on_event(&mut self, event: OwnerEvent) {
        let clocks = Clocks {
            time: Time::from_millis(10_000 + self.now),
            wall: WallTime(WALL + self.now),
        };
        for action in self.owner.on(clocks, event) {
            match action {
                OwnerAction::Read(_) => self.pending = Some(PendingCall::Read),
                OwnerAction::Write(_, revision, bucket) => {
                    self.pending = Some(PendingCall::Write(revision, bucket))
                }
                OwnerAction::Answer(query, Verdict::Granted) => {
                    let (key, token) = self.queries[&query];
                    self.record_grant(key, token);
                }
                OwnerAction::Answer(..) | OwnerAction::Wake(_) => {}
                OwnerAction::InvariantBroken(rule) => panic!("{rule}"),
            }
        }
    }
}

/// In any order of events, a key is granted to one request at a time: to a second request only after the first released
/// it without having been sent.
#[test]
fn owner_any_events() {
    bolero::check!()
        .with_iterations(4_000)
        .with_max_len(160)
        .for_each(|bytes: &[u8]| {
            let mut simulation = Simulation::new();
            for byte in bytes {
                simulation.step(*byte);
            }
        });
}

#[test]
fn bucket_any_bytes() {
    bolero::check!().for_each(|bytes: &[u8]| {
        if let Ok(bucket) = postcard::from_bytes::<Bucket>(bytes) {
            let encoded = postcard::to_allocvec(&bucket).expect("a bucket can be stored");
            assert_eq!(postcard::from_bytes::<Bucket>(&encoded), Ok(bucket));
        }
    });
}
