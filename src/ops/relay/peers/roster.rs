//! What an instance derives from the peers that it hears: the endpoints for callers, its own rank as a watcher of the
//! store, and the peers to ask for proofs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::membership::Peer;
use sequoiastream_core::membership::Roster;
use sequoiastream_core::name::Name;
use sequoiastream_core::relay::directory;
use sequoiastream_core::relay::directory::Endpoint;
use sequoiastream_core::relay::limit_share::FleetPosition;
use sequoiastream_core::relay::tunnel_peers::TunnelPeer;
use sequoiastream_core::relay::watchers;
use sequoiastream_core::relay::watchers::Candidate;
use sequoiastream_core::relay::watchers::FleetRank;
use sequoiastream_core::time::Time;

use crate::log_event;
use crate::ops::relay::peers::Fleet;
use crate::ops::relay::peers::counts::STANDBY_COUNT;
use crate::ops::relay::register::ListedInstance;
use crate::util::clock;

/// Time after its start during which an instance counts all instances that the store lists as present. By the end of
/// it, it has heard of all live instances.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

impl Fleet {
    /// Updates everything that depends on the roster, and replaces the view of the traffic thread if it changed.
    pub(super) fn publish(&self) {
        let roster = self.0.members.borrow().roster(clock::now());
        self.retain_detached(&roster);
        let endpoints = self.caller_endpoints(&roster);
        let tunnel_peers = self.tunnel_peers(&roster);
        let instances = roster.peers.len() + 1;
        let before = roster
            .peers
            .iter()
            .filter(|p| p.accepts_work() && p.name < self.0.shared.options.name);
        let rank = u32::try_from(before.count()).unwrap_or(u32::MAX);
        let live = roster.peers.iter().filter(|p| p.accepts_work()).count() + 1;
        let position = FleetPosition {
            rank,
            live,
            known: instances,
        };
        let mut traffic = self.0.shared.traffic();
        traffic.rate_limits.set_position(position);
        traffic.budget.on_fleet_size(clock::now(), instances);
        drop(traffic);
        self.update_watchers(&roster);
        self.update_heard(&roster);
        let open = roster
            .peers
            .iter()
            .filter(|p| p.accepts_work())
            .map(|p| p.peer_address);
        self.set_standbys(open.take(STANDBY_COUNT).collect());
        let view = self.0.shared.view.load();
        let is_changed = view.endpoints != endpoints
            || view.instances != instances
            || view.rank != rank
            || *view.tunnel_peers != tunnel_peers;
        if is_changed {
            self.0.shared.publish(|view| {
                view.endpoints = endpoints;
                view.instances = instances;
                view.rank = rank;
                view.tunnel_peers = Arc::new(tunnel_peers);
            });
        }
    }

    fn update_heard(&self, roster: &Roster) {
        let zone = &self.0.shared.options.zone;
        let heard = roster.peers.iter().filter(|p| p.heard);
        let (same_zone, other_zones): (Vec<&Peer>, Vec<&Peer>) = heard.partition(|p| p.zone == *zone);
        let addresses = |peers: Vec<&Peer>| peers.into_iter().map(|p| p.peer_address).collect();
        *self.0.heard.borrow_mut() = [addresses(same_zone), addresses(other_zones)];
    }

    /// The endpoints that callers may use, without duplicate addresses.
    fn caller_endpoints(&self, roster: &Roster) -> Vec<Endpoint> {
        let listed = self.0.listed.borrow();
        let detached = self.0.detached_peers.borrow();
        let options = &self.0.shared.options;
        let own = self.0.shared.is_ready().then(|| directory::Candidate {
            endpoint: Endpoint {
                address: options.front,
                zone: options.zone.clone(),
                capacity: options.capacity,
            },
            proven: true,
            detached: self.0.detached.get(),
        });
        let now = clock::now();
        let limit = self.0.shared.max_proof_age();
        let is_proven =
            |p: &Peer| limit.is_none_or(|limit| self.0.proofs.is_peer_proven(now, &p.name, limit));
        let open = roster.peers.iter().filter(|p| p.accepts_work());
        let peers = open.map(|p| directory::Candidate {
            endpoint: Endpoint {
                address: p.address,
                zone: p.zone.clone(),
                capacity: listed.get(&p.name).map_or(0, |l| l.capacity),
            },
            proven: is_proven(p),
            detached: detached.contains(&p.name),
        });
        directory::offered(peers.chain(own).collect())
    }

    /// The peers that may be asked for a tunnel.
    fn tunnel_peers(&self, roster: &Roster) -> Vec<TunnelPeer> {
        let detached = self.0.detached_peers.borrow();
        let open = roster.peers.iter().filter(|p| p.accepts_work());
        let peers = open.map(|p| TunnelPeer {
            zone: p.zone.clone(),
            address: p.peer_address,
            detached: detached.contains(&p.name),
        });
        peers.collect()
    }

    /// Discards the detached state of peers that are no longer in the roster.
    fn retain_detached(&self, roster: &Roster) {
        let mut detached = self.0.detached_peers.borrow_mut();
        if !detached.is_empty() {
            let names: BTreeSet<&Name> = roster.peers.iter().map(|p| &p.name).collect();
            detached.retain(|name| names.contains(name));
        }
    }

    /// Determines whether this instance has lost its direct links to the engines; logs and publishes a change. Returns
    /// whether it changed.
    pub(super) fn update_detached(&self, now: Time) -> bool {
        let engines = self.0.shared.view.load().keys().len();
        let lost = self.0.shared.traffic().reachability.lost_engines(now, engines);
        if self.0.detached.replace(lost) == lost {
            return false;
        }
        let detached = self.0.shared.traffic().reachability.detached_count(now);
        match lost {
            true => log_event!(warn, log_event::ENGINES_LOST, detached, engines),
            false => log_event!(info, log_event::ENGINES_REGAINED, detached, engines),
        }
        self.publish();
        true
    }

    /// Handles a peer's report of whether it has lost its direct links to the engines; publishes a change.
    pub(super) fn on_peer_detached(&self, name: &Name, is_detached: bool) {
        let is_member = self.0.members.borrow().address(name).is_some();
        let changed = {
            let mut detached = self.0.detached_peers.borrow_mut();
            match is_detached && is_member {
                true => detached.insert(name.clone()),
                false => detached.remove(name),
            }
        };
        // In a large fleet, hundreds of peers may change at the same time: these changes are published at the next
        // tick.
        if changed && !self.is_large() {
            self.publish();
        }
    }

    /// Determines the rank of this instance among those that it hears, and which peers to ask for proofs.
    ///
    /// Guards against all instances of a starting fleet of hundreds watching the store until they hear each other, with
    /// every registration ending all these watches. Shortly after its start, an instance therefore counts all instances
    /// that the store lists as present. If they are not, its last confirmation becomes too old, and it watches the
    /// store itself.
    fn update_watchers(&self, roster: &Roster) {
        let options = &self.0.shared.options;
        let is_starting = clock::now().since(self.0.started) < STARTUP_PERIOD;
        // Peers without a configuration count too: otherwise every instance would watch until the first configuration
        // is installed.
        let is_present = |p: &&Peer| p.state == MemberState::Live && (p.heard || is_starting);
        let present: Vec<&Peer> = roster.peers.iter().filter(is_present).collect();
        let listed = self.0.listed.borrow();
        let others = present.iter().map(|p| candidate(&listed, &p.name, &p.zone));
        // The capacity of this instance is taken from the list too: with different sources, two instances could both
        // rank themselves first.
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
        self.set_watch_rank(FleetRank::among(&ranked, options.name.as_str()));
    }

    /// Replaces the rank, and wakes the follower of the store if this instance becomes a watcher or stops being one.
    fn set_watch_rank(&self, new_rank: FleetRank) {
        let watches = new_rank.is_watcher();
        self.0.shared.metrics.watcher.set(i64::from(watches));
        let previous = self.0.watch_rank.replace(new_rank);
        if previous.is_watcher() != watches {
            let (rank, members) = (new_rank.rank, new_rank.members);
            log_event!(info, log_event::WATCHER, watches, rank, members);
            self.0.updates.notify_one();
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
