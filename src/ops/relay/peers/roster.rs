//! What follows from who is heard: where callers may go, and who watches the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::membership::Peer;
use sequoiastream_core::membership::Roster;
use sequoiastream_core::name::Name;
use sequoiastream_core::relay::directory::Endpoint;
use sequoiastream_core::relay::watchers;
use sequoiastream_core::relay::watchers::Candidate;
use sequoiastream_core::relay::watchers::FleetRank;

use crate::log_event;
use crate::ops::relay::peers::Fleet;
use crate::ops::relay::peers::counts::STAND_BY;
use crate::ops::relay::register::ListedInstance;
use crate::util::clock;

/// How long after its start an instance takes those that the store lists for present: by then it has heard of all that
/// live.
const YOUNG: Duration = Duration::from_secs(3);

impl Fleet {
    pub(super) fn publish(&self) {
        let roster = self.0.members.borrow().roster(clock::now());
        let entrances = self.entrances(&roster);
        let instances = roster.peers.len() + 1;
        let before = roster
            .peers
            .iter()
            .filter(|p| p.accepts_work() && p.name < self.0.shared.options.name);
        let rank = u32::try_from(before.count()).unwrap_or(u32::MAX);
        self.sit(&roster);
        self.note_heard(&roster);
        let open = roster
            .peers
            .iter()
            .filter(|p| p.accepts_work())
            .map(|p| p.peer_address);
        self.note_stand_by(open.take(STAND_BY).collect());
        let view = self.0.shared.view.load();
        if view.endpoints != entrances || view.instances != instances || view.rank != rank {
            self.0.shared.publish(|view| {
                view.endpoints = entrances;
                view.instances = instances;
                view.rank = rank;
            });
        }
    }

    fn note_heard(&self, roster: &Roster) {
        let zone = &self.0.shared.options.zone;
        let heard = roster.peers.iter().filter(|p| p.heard);
        let (same_zone, other_zones): (Vec<&Peer>, Vec<&Peer>) = heard.partition(|p| p.zone == *zone);
        let addresses = |peers: Vec<&Peer>| peers.into_iter().map(|p| p.peer_address).collect();
        *self.0.heard.borrow_mut() = [addresses(same_zone), addresses(other_zones)];
    }

    /// Where callers may go, each address once.
    fn entrances(&self, roster: &Roster) -> Vec<Endpoint> {
        let listed = self.0.listed.borrow();
        let options = &self.0.shared.options;
        let own = self.0.shared.is_ready().then(|| Endpoint {
            address: options.front,
            zone: options.zone.clone(),
            capacity: options.capacity,
        });
        let now = clock::now();
        let limit = self.0.shared.max_proof_age();
        let holds = |p: &&Peer| limit.is_none_or(|limit| self.0.proofs.holds(now, &p.name, limit));
        let open: Vec<&Peer> = roster.peers.iter().filter(|p| p.accepts_work()).collect();
        let proven: Vec<&Peer> = open.iter().copied().filter(holds).collect();
        // Where nobody may let requests in, callers are told of all: those that come back first serve them.
        let named = match proven.is_empty() && own.is_none() {
            true => open,
            false => proven,
        };
        let open = named.into_iter().map(|p| Endpoint {
            address: p.address,
            zone: p.zone.clone(),
            capacity: listed.get(&p.name).map_or(0, |l| l.capacity),
        });
        let mut entrances: Vec<Endpoint> = open.chain(own).collect();
        entrances.sort();
        entrances.dedup_by_key(|e| e.address);
        entrances
    }

    /// Determines the rank of this instance among those that it hears, and which peers to ask for proofs.
    ///
    /// Failure guarded against: a fleet of hundreds starts, and until they hear each other all of its instances watch, each
    /// ended by every registration. Just after its start an instance takes those that the store lists for present; if
    /// they are not, what it knows grows old, and it watches by itself.
    fn sit(&self, roster: &Roster) {
        let options = &self.0.shared.options;
        let is_young = clock::now().since(self.0.started) < YOUNG;
        // Peers without a configuration count too: before the first one is installed, every instance would watch
        // otherwise.
        let is_present = |p: &&Peer| p.state == MemberState::Live && (p.heard || is_young);
        let present: Vec<&Peer> = roster.peers.iter().filter(is_present).collect();
        let listed = self.0.listed.borrow();
        let others = present.iter().map(|p| candidate(&listed, &p.name, &p.zone));
        // Its own capacity comes from the list too: with different sources, two instances could both rank themselves first.
        let own = candidate(&listed, &options.name, &options.zone);
        let ranked = watchers::rank_candidates(others.chain([own]).collect());
        let zones: BTreeSet<&str> = ranked.iter().map(|c| c.zone).collect();
        let watcher_count = watchers::watcher_count(ranked.len());
        let addresses: BTreeMap<&str, SocketAddr> = present
            .iter()
            .map(|p| (p.name.as_str(), p.peer_address))
            .collect();
        let top_addresses = |count: usize| {
            ranked
                .iter()
                .take(count)
                .filter_map(|c| addresses.get(c.name).copied())
        };
        *self.0.proofs.watchers.borrow_mut() = top_addresses(watcher_count).collect();
        *self.0.proofs.zone_peers.borrow_mut() = top_addresses(zones.len()).collect();
        self.update_seat(FleetRank::among(&ranked, options.name.as_str()));
    }

    fn update_seat(&self, seat: FleetRank) {
        let watches = seat.is_watcher();
        self.0.shared.metrics.watcher.set(i64::from(watches));
        let former = self.0.seat.replace(seat);
        if former.is_watcher() != watches {
            let (rank, members) = (seat.rank, seat.members);
            log_event!(info, log_event::WATCHER, watches, rank, members);
            self.0.news.notify_one();
        }
    }
}

fn candidate<'n>(listed: &BTreeMap<Name, ListedInstance>, name: &'n Name, zone: &'n Name) -> Candidate<'n> {
    Candidate {
        zone: zone.as_str(),
        capacity: listed.get(name).map_or(0, |l| l.capacity),
        name: name.as_str(),
    }
}
