//! Any order of events at one owner, and any bytes as a stored bucket.

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

/// Keys of one bucket.
const KEYS: usize = 4;

/// A call to the key-value service that was not answered yet.
enum Call {
    Read,
    Write(Revision, Bucket),
}

struct World {
    owner: Owner,
    now: u64,
    claims: Vec<ClaimRef>,
    stands: (Revision, Bucket),
    call: Option<Call>,
    late: Vec<(Revision, Bucket)>,
    marks: u64,
    /// Key and mark of each question.
    asked: BTreeMap<QueryId, (usize, ClaimToken)>,
    /// Marks that were granted and not given back, by key.
    granted: BTreeMap<usize, ClaimToken>,
}

/// Claims that fall into one bucket.
fn claims() -> Vec<ClaimRef> {
    let name = |text| Name::new(text).expect("a name");
    let uuid =
        |salt: u64| Uuid::from_u128((u128::from(WALL) << 80) | (7 << 76) | (2 << 62) | u128::from(salt));
    let key = |salt| uuid(salt).to_string().parse().expect("a UUIDv7");
    let all = (0..).map(|salt| ClaimRef::new(&name("dispatch"), &name("ordini"), &key(salt)));
    all.filter(|claim| claim.bucket.shard == 3).take(KEYS).collect()
}

impl World {
    fn new() -> World {
        World {
            owner: Owner::new(OwnerSettings::default()),
            now: 0,
            claims: claims(),
            stands: (Revision::default(), Bucket::default()),
            call: None,
            late: Vec::new(),
            marks: 0,
            asked: BTreeMap::new(),
            granted: BTreeMap::new(),
        }
    }

    fn mark(&mut self) -> ClaimToken {
        self.marks += 1;
        ClaimToken(Uuid::from_u128(u128::from(self.marks)))
    }

    fn step(&mut self, byte: u8) {
        let key = usize::from(byte >> 3) % KEYS;
        match byte & 7 {
            0 => self.ask(key),
            1 => self.edit(key, byte),
            2 => self.answer(),
            3 => self.fail(false, false),
            4 => self.fail(true, true),
            5 => self.fail(true, false),
            6 => self.interfere(key, byte),
            _ => {
                self.now += u64::from(byte >> 3) * 40;
                self.event(OwnerEvent::Tick);
            }
        }
    }

    fn ask(&mut self, key: usize) {
        let mark = self.mark();
        let ticket = QueryId(self.marks);
        self.asked.insert(ticket, (key, mark));
        let ask = ClaimRequest {
            claim: self.claims[key],
            token: mark,
            fingerprint: Fingerprint::new("POST", "/orders", b""),
            wall: WallTime(WALL + self.now),
            wait: Duration::from_secs(2),
            run: Duration::from_secs(2),
        };
        self.event(OwnerEvent::Claim(ticket, ask));
    }

    /// The entry that holds the grant tells what became of it.
    fn edit(&mut self, key: usize, byte: u8) {
        let Some(mark) = self.granted.get(&key).copied() else {
            return;
        };
        let change = match byte >> 6 {
            0 => Change::Finish(None),
            1 => Change::Unknown,
            _ => Change::Release,
        };
        if change == Change::Release {
            // It was not sent, so another may be granted.
            self.granted.remove(&key);
        }
        let claim = self.claims[key];
        let edit = Edit {
            id: claim.id,
            token: mark,
            change,
        };
        self.event(OwnerEvent::Edit(claim.bucket, edit));
    }

    fn apply(&mut self, expected: Revision, bucket: Bucket) -> bool {
        let fits = expected == self.stands.0;
        if fits {
            self.stands = (Revision(self.stands.0.0 + 1), bucket);
        }
        fits
    }

    fn answer(&mut self) {
        let bucket = self.claims[0].bucket;
        let written = match self.call.take() {
            None => return,
            Some(Call::Read) => false,
            Some(Call::Write(expected, content)) => self.apply(expected, content),
        };
        let (revision, content) = self.stands.clone();
        self.event(match written {
            true => OwnerEvent::Written(bucket, revision),
            false => OwnerEvent::Current(bucket, revision, content),
        });
    }

    fn fail(&mut self, unsure: bool, applied: bool) {
        let bucket = self.claims[0].bucket;
        match self.call.take() {
            None => return,
            Some(Call::Write(expected, content)) if applied => {
                self.apply(expected, content);
            }
            Some(Call::Write(expected, content)) if unsure => self.late.push((expected, content)),
            Some(_) => {}
        }
        self.event(OwnerEvent::Failed {
            bucket,
            maybe_written: unsure,
        });
    }

    /// A write of ours lands late, or another owner claims a key.
    fn interfere(&mut self, key: usize, byte: u8) {
        if byte >> 7 == 0
            && let Some((expected, content)) = self.late.pop()
        {
            self.apply(expected, content);
            return;
        }
        let mark = self.mark();
        let (revision, mut content) = self.stands.clone();
        let id = self.claims[key].id;
        if content.get(&id).is_none() {
            let record = Record {
                token: mark,
                fingerprint: Fingerprint::new("POST", "/orders", b""),
                state: State::Unknown,
            };
            content.add(id, record);
            self.apply(revision, content);
            self.grant(key, mark);
        }
    }

    fn grant(&mut self, key: usize, mark: ClaimToken) {
        let before = self.granted.insert(key, mark);
        assert!(
            before.is_none_or(|m| m == mark),
            "key {key} was granted to two requests"
        );
    }

    fn event(&mut self, event: OwnerEvent) {
        let clocks = Clocks {
            time: Time::from_millis(10_000 + self.now),
            wall: WallTime(WALL + self.now),
        };
        for action in self.owner.on(clocks, event) {
            match action {
                OwnerAction::Read(_) => self.call = Some(Call::Read),
                OwnerAction::Write(_, revision, bucket) => self.call = Some(Call::Write(revision, bucket)),
                OwnerAction::Answer(ticket, Verdict::Granted) => {
                    let (key, mark) = self.asked[&ticket];
                    self.grant(key, mark);
                }
                OwnerAction::Answer(..) | OwnerAction::Wake(_) => {}
                OwnerAction::InvariantBroken(rule) => panic!("{rule}"),
            }
        }
    }
}

/// Whatever comes in whatever order, a key is granted to one request at a time: to a second only after the first gave
/// it back unsent.
#[test]
fn owner_any_events() {
    bolero::check!()
        .with_iterations(4_000)
        .with_max_len(160)
        .for_each(|bytes: &[u8]| {
            let mut world = World::new();
            for byte in bytes {
                world.step(*byte);
            }
        });
}

#[test]
fn bucket_any_bytes() {
    bolero::check!().for_each(|bytes: &[u8]| {
        if let Ok(bucket) = postcard::from_bytes::<Bucket>(bytes) {
            let again = postcard::to_allocvec(&bucket).expect("a bucket can be stored");
            assert_eq!(postcard::from_bytes::<Bucket>(&again), Ok(bucket));
        }
    });
}
