//! Proofs that this instance has read all changes of the store.
//!
//! Guards against an instance that is paused, partitioned or rejected by the store and admits the holder of a revoked
//! API key for longer than allowed, because a delayed message made its data seem recent. The age of a proof is
//! therefore counted from the time at which the request for it was sent, which includes all time in transit.

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

/// Minimum time between two requests for a proof: several may be lost before the last proof is too old.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// A request for a proof that was sent to peers.
#[derive(Debug, Clone, Copy)]
struct ProofRequest {
    /// Random number that the answers repeat.
    number: u64,
    sent: Time,
}

/// Requests for proofs, and the proofs of peers.
#[derive(Debug, Default)]
pub(super) struct ProofState {
    /// The latest request and the one before it: an answer to a request may arrive after the next one was sent.
    requests: Cell<[Option<ProofRequest>; 2]>,
    /// Time up to which each peer reported to have proven that it has read all changes.
    peer_proofs: RefCell<BTreeMap<Name, Time>>,
    /// Peers that watch the store.
    pub(super) watchers: RefCell<Vec<SocketAddr>>,
    /// The first peer of each zone, by rank as a watcher.
    pub(super) zone_peers: RefCell<Vec<SocketAddr>>,
    /// Whether this instance may admit requests with API keys, as last logged.
    proven: Cell<bool>,
}

impl ProofState {
    /// Handles the age of a peer's proof, in milliseconds, as reported by that peer.
    pub(super) fn on_proof_age(&self, now: Time, peer: &Name, millis: u32) {
        let age = Duration::from_millis(u64::from(millis));
        if now.since(Time::ZERO) > age {
            self.peer_proofs.borrow_mut().insert(peer.clone(), now - age);
        }
    }

    /// Whether a peer may admit requests with API keys according to its reports, if a proof may be `limit` old.
    pub(super) fn is_peer_proven(&self, now: Time, peer: &Name, limit: Duration) -> bool {
        let peer_proofs = self.peer_proofs.borrow();
        peer_proofs
            .get(peer)
            .is_some_and(|until| now.since(*until) <= limit)
    }

    /// Records a new request; returns its number.
    fn start_request(&self, now: Time) -> u64 {
        let number = rand::random();
        let [latest, _] = self.requests.get();
        let request = ProofRequest { number, sent: now };
        self.requests.set([Some(request), latest]);
        number
    }

    /// When the request of this number was sent; `None` if it is not one of the last two.
    fn sent_at(&self, number: u64) -> Option<Time> {
        let requests = self.requests.get().into_iter().flatten();
        requests.filter(|r| r.number == number).map(|r| r.sent).next()
    }

    /// The watchers and the first peer of each zone, without duplicates.
    fn all_peers(&self) -> BTreeSet<SocketAddr> {
        let (watchers, zone_peers) = (self.watchers.borrow(), self.zone_peers.borrow());
        watchers.iter().chain(zone_peers.iter()).copied().collect()
    }

    fn requested_recently(&self, now: Time) -> bool {
        let [latest, _] = self.requests.get();
        latest.is_some_and(|r| now.since(r.sent) < REQUEST_INTERVAL)
    }
}

impl Fleet {
    /// Publishes the ages of the last confirmation and of the last proof, and asks peers for a newer proof if the last
    /// one becomes old.
    pub(super) fn update_proof(&self, now: Time) {
        let shared = &self.0.shared;
        let known = &self.0.known;
        if let Some(age) = known.age(now) {
            shared.on_store_answer(now - age);
            self.set_outdated(age);
        }
        let Some(limit) = shared.max_proof_age() else {
            return;
        };
        if let Some(age) = known.proof_age(now) {
            shared.on_proof(now - age);
        }
        self.set_proven(shared.is_proven(now));
        let proofs = &self.0.proofs;
        if proofs.requested_recently(now) {
            return;
        }
        let peers: BTreeSet<SocketAddr> = match known.proof_peers(limit, now) {
            ProofPeers::Nobody => return,
            ProofPeers::Watchers => proofs.watchers.borrow().iter().copied().collect(),
            ProofPeers::All => proofs.all_peers(),
        };
        let number = proofs.start_request(now);
        for peer in peers {
            self.send(peer, Datagram::Prove(number));
        }
    }

    /// Sets whether the data of this instance, last confirmed `age` ago, is older than a change may take to apply; logs a
    /// change.
    fn set_outdated(&self, age: Duration) {
        let outdated = age > self.0.shared.reloadable().apply_limit.0;
        if self.0.outdated.replace(outdated) != outdated {
            let (age, revision) = (age.as_millis() as u64, self.0.known.revision());
            log_event!(info, log_event::OUTDATED, outdated, age, %revision);
        }
    }

    /// Sets whether this instance may admit requests with API keys; logs and publishes a change.
    fn set_proven(&self, proven: bool) {
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

    /// Answers a peer's request for a proof, if there is one.
    pub(super) fn on_proof_request(&self, name: &Name, number: u64) {
        let listed = self.0.listed.borrow();
        let Some(peer) = listed.get(name).map(|l| l.listing.peer_address) else {
            return;
        };
        if let Some(status) = self.0.known.proof_status(clock::now()) {
            let proof = StoreProof {
                question: number,
                revision: status.revision,
                age: status.age_millis(),
            };
            self.send(peer, Datagram::Proof(proof));
        }
    }

    /// Handles a peer's answer to a request of this instance; answers to older requests are ignored.
    pub(super) fn on_proof(&self, proof: StoreProof) {
        let Some(sent) = self.0.proofs.sent_at(proof.question) else {
            return;
        };
        if self
            .0
            .known
            .on_peer_proof(sent, SyncStatus::new(proof.revision, proof.age))
        {
            self.0.updates.notify_one();
        }
    }
}
