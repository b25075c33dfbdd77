//! Proofs that nothing happened in the store that this instance does not know.
//!
//! Failure guarded against: a key is taken away, and an instance that is paused, cut off or turned away by the store lets
//! its holder in for longer than allowed, since a message that was held up made its knowledge seem new. An age counts from
//! when the question for it left, so that no time on the way is missed.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::name::Name;
use sequoiastream_core::relay::watchers::ProofPeers;
use sequoiastream_core::relay::watchers::SyncStatus;
use sequoiastream_core::time::Time;
use sequoiastream_peer::message::Datagram;
use sequoiastream_peer::message::StoreProof;

use crate::log_event;
use crate::ops::relay::peers::Fleet;
use crate::util::clock;

/// Time between two questions: several may be lost before the proof is too old.
const AGAIN: Duration = Duration::from_millis(250);

/// A question and when it left.
#[derive(Debug, Clone, Copy)]
struct Question {
    number: u64,
    sent: Time,
}

/// What was asked and told of proofs.
#[derive(Debug, Default)]
pub(super) struct Proofs {
    /// The last two questions: the answer to one may cross the next.
    questions: Cell<[Option<Question>; 2]>,
    /// Up to when each peer said that its knowledge is proven.
    told: RefCell<BTreeMap<Name, Time>>,
    /// Peers that watch the store.
    pub(super) watchers: RefCell<Vec<SocketAddr>>,
    /// The first peer of each zone in the order of watchers.
    pub(super) zone_peers: RefCell<Vec<SocketAddr>>,
    /// Whether requests with keys may be let in here, as last logged.
    proven: Cell<bool>,
}

impl Proofs {
    /// Takes the age of a peer's proof, in milliseconds.
    pub(super) fn on_told(&self, now: Time, peer: &Name, millis: u32) {
        let age = Duration::from_millis(u64::from(millis));
        if now.since(Time::ZERO) > age {
            self.told.borrow_mut().insert(peer.clone(), now - age);
        }
    }

    /// Whether a peer may let requests with keys in, as far as it said, if a proof may be `limit` old.
    pub(super) fn holds(&self, now: Time, peer: &Name, limit: Duration) -> bool {
        let told = self.told.borrow();
        told.get(peer).is_some_and(|until| now.since(*until) <= limit)
    }

    /// The number of a new question.
    fn ask(&self, now: Time) -> u64 {
        let number = rand::random();
        let [latest, _] = self.questions.get();
        let question = Question { number, sent: now };
        self.questions.set([Some(question), latest]);
        number
    }

    fn sent(&self, number: u64) -> Option<Time> {
        let questions = self.questions.get().into_iter().flatten();
        questions.filter(|q| q.number == number).map(|q| q.sent).next()
    }

    /// The watchers and the first peer of each zone, without duplicates.
    fn all(&self) -> BTreeSet<SocketAddr> {
        let (watchers, zone_peers) = (self.watchers.borrow(), self.zone_peers.borrow());
        watchers.iter().chain(zone_peers.iter()).copied().collect()
    }

    fn is_early(&self, now: Time) -> bool {
        let [latest, _] = self.questions.get();
        latest.is_some_and(|q| now.since(q.sent) < AGAIN)
    }
}

impl Fleet {
    /// Puts in force what is known of keys, and asks for a newer proof of it if the last grows old.
    pub(super) fn prove(&self, now: Time) {
        let shared = &self.0.shared;
        let known = &self.0.known;
        if let Some(age) = known.age(now) {
            shared.on_store_answer(now - age);
        }
        let Some(limit) = shared.max_proof_age() else {
            return;
        };
        if let Some(age) = known.proof_age(now) {
            shared.on_proof(now - age);
        }
        self.note_proven(shared.is_proven(now));
        let proofs = &self.0.proofs;
        if proofs.is_early(now) {
            return;
        }
        let peers: BTreeSet<SocketAddr> = match known.proof_peers(limit, now) {
            ProofPeers::Nobody => return,
            ProofPeers::Watchers => proofs.watchers.borrow().iter().copied().collect(),
            ProofPeers::All => proofs.all(),
        };
        let number = proofs.ask(now);
        for peer in peers {
            self.send(peer, Datagram::Prove(number));
        }
    }

    fn note_proven(&self, proven: bool) {
        if self.0.proofs.proven.replace(proven) != proven {
            let age = self
                .0
                .known
                .proof_age(clock::now())
                .map(|age| age.as_millis() as u64);
            log_event!(info, log_event::PROOF, proven, age);
            self.publish();
        }
    }

    /// Answers a peer's question for a proof.
    pub(super) fn on_prove(&self, name: &Name, question: u64) {
        let listed = self.0.listed.borrow();
        let Some(peer) = listed.get(name).map(|l| l.listing.peer_address) else {
            return;
        };
        if let Some(word) = self.0.known.proof_status(clock::now()) {
            let proof = StoreProof {
                question,
                revision: word.revision,
                // Rounded up: the age must not seem shorter than it is.
                age: word.age_millis().saturating_add(1),
            };
            self.send(peer, Datagram::Proof(proof));
        }
    }

    /// Takes the answer to a question of this instance.
    pub(super) fn on_proof(&self, proof: StoreProof) {
        let Some(sent) = self.0.proofs.sent(proof.question) else {
            return;
        };
        if self
            .0
            .known
            .on_peer_proof(sent, SyncStatus::new(proof.revision, proof.age))
        {
            self.0.news.notify_one();
        }
    }
}
