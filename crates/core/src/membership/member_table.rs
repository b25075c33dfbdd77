//! The table of known instances, updated from heartbeats and the platform's lists; the source of outgoing heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::config::Version;
use crate::membership::Heartbeat;
use crate::membership::InstanceInfo;
use crate::membership::MemberState;
use crate::membership::PartitionPolicy;
use crate::membership::Peer;
use crate::membership::Reachability;
use crate::membership::Roster;
use crate::membership::Rumor;
use crate::membership::evaluate_standing;
use crate::membership::notices::Notices;
use crate::name::Name;
use crate::time::Time;

/// Estimated bytes that rumors may take up in a heartbeat. Even if all names have the maximum length, the datagram with
/// everything else that it carries stays below the size that an ordinary network delivers unfragmented.
const MAX_RUMOR_BYTES: usize = 720;

/// Estimated size of a rumor without its names, in bytes.
const RUMOR_BASE_BYTES: usize = 72;

/// Number of peers that are notified at once of a new version or of a shutdown: all peers in a small fleet.
const URGENT_FANOUT: usize = 16;

/// Number of full rotations of the table through heartbeats before a peer that was not heard from counts as silent.
const SILENT_ROUNDS: u32 = 6;

/// Time limits and sizes of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Interval between heartbeats.
    pub interval: Duration,
    /// Number of peers to which each heartbeat is sent.
    pub fanout: usize,
    /// Number of these that are in other zones, if there are more than [`Self::fanout`] peers. More are selected from
    /// other zones only if the instance's own zone has too few peers.
    pub cross_zone: usize,
    /// Maximum number of rumors in a heartbeat.
    pub max_rumors: usize,
    /// A peer not heard from for this long counts as silent. The limit is longer in a fleet so large that its table
    /// takes longer to rotate.
    pub silent_after: Duration,
    /// Maximum time since the configuration was last confirmed to be current.
    pub stale_after: Duration,
    /// What a group of instances does that is partitioned from the key-value service.
    pub partition_policy: PartitionPolicy,
    /// An instance that was paused for longer than this takes no new work until its standing is confirmed again.
    pub pause_limit: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            interval: Duration::from_secs(1),
            fanout: 2,
            cross_zone: usize::MAX,
            max_rumors: 8,
            silent_after: Duration::from_secs(5),
            stale_after: Duration::from_secs(15),
            partition_policy: PartitionPolicy::Stop,
            pause_limit: Duration::from_secs(2),
        }
    }
}

/// This instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalInstance {
    /// Its name.
    pub name: Name,
    /// What it reports about itself; `number`, `version` and `silence` are filled in by the table.
    pub info: InstanceInfo,
    /// Seed for the random selection of peers.
    pub seed: u64,
}

/// An entry of the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Its name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Whether it is live or leaving.
    pub state: MemberState,
}

impl Listing {
    /// What the instance would report about itself, as far as the list shows.
    fn into_info(self) -> InstanceInfo {
        InstanceInfo::new(0, self.zone, self.address, self.peer_address)
    }
}

/// Input to the [`MemberTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The platform's list of instances was read.
    Listed(Vec<Listing>),
    /// The platform's list shows the upstreams at these addresses as leaving.
    Leaving(Vec<SocketAddr>),
    /// A heartbeat was received from the instance of this name.
    Heartbeat(Name, Heartbeat),
    /// A response from the key-value service showed the configuration as of this time.
    KvContact(Time),
    /// This version came into force here.
    InForce(Version),
    /// This instance begins to shut down.
    Leave,
    /// The heartbeat interval has elapsed.
    Tick,
}

/// Output of the [`MemberTable`], for its driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat.
    Send(SocketAddr, Heartbeat),
    /// The peer has this version in force, which is higher than ours.
    PeerAhead(SocketAddr, Version),
    /// The roster may have changed.
    Publish,
    /// This instance resumed after a pause: query the key-value service at once.
    Resumed,
}

#[derive(Debug)]
struct Member {
    /// What it last reported about itself; the list updates the zone and addresses of one not heard from recently.
    info: InstanceInfo,
    /// Its state on the platform's list; `None` if it is not listed.
    listed: Option<MemberState>,
    /// When it last reported about itself, by our clock.
    heard: Option<Time>,
    /// When it last had a response from the key-value service that confirmed the local version, by our clock.
    kv_contact: Option<Time>,
}

impl Member {
    fn new(info: InstanceInfo) -> Member {
        Member {
            info,
            listed: None,
            heard: None,
            kv_contact: None,
        }
    }

    /// Records what the member reported about itself at `at`, unless a later report is known; `local_version` is the
    /// version in force at this instance. Returns whether the state, version or address for callers changed, or the
    /// member was not heard from before.
    ///
    /// A member's contact with the key-value service confirms only the member's version. Guards against accepting it as
    /// a confirmation of an older local version, with which this instance would send work to an engine that was
    /// drained.
    fn update(&mut self, at: Time, info: InstanceInfo, local_version: Version) -> bool {
        let order = |a: &InstanceInfo| (a.incarnation, a.number);
        if self.heard.is_some() && order(&info) <= order(&self.info) {
            return false;
        }
        if info.version <= local_version {
            self.kv_contact = self.kv_contact.max(ago(at, info.silence));
        }
        let matters = |a: &InstanceInfo| (a.state, a.version, a.address);
        let changed = self.heard.is_none() || matters(&info) != matters(&self.info);
        self.heard = self.heard.max(Some(at));
        self.info = info;
        changed
    }

    /// Leaving if the instance or the list says so, otherwise live.
    fn state(&self) -> MemberState {
        self.info.state.max(self.listed.unwrap_or(MemberState::Live))
    }
}

/// The table of instances as known to one of them. This is a state machine without I/O.
#[derive(Debug)]
pub struct MemberTable {
    local: LocalInstance,
    limits: Limits,
    members: BTreeMap<Name, Member>,
    notices: Notices,
    kv_contact: Option<Time>,
    listed: bool,
    cursor: Option<Name>,
    rng: ChaCha8Rng,
    actions: Vec<Action>,
    /// When the last event was received.
    last_event: Option<Time>,
    /// When this instance last resumed after a pause.
    resumed_at: Option<Time>,
}

impl MemberTable {
    /// Creates a table that contains no other instances.
    pub fn new(local: LocalInstance, limits: Limits) -> MemberTable {
        MemberTable {
            rng: ChaCha8Rng::seed_from_u64(local.seed),
            local,
            limits,
            members: BTreeMap::new(),
            notices: Notices::default(),
            kv_contact: None,
            listed: false,
            cursor: None,
            actions: Vec::new(),
            last_event: None,
            resumed_at: None,
        }
    }

    /// Handles `event` and returns the actions to carry out.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.detect_pause(now);
        match event {
            Event::Listed(list) => self.on_list(now, list),
            Event::Leaving(addresses) => {
                let wall_millis = self
                    .local
                    .info
                    .incarnation
                    .saturating_add(now.as_micros() / 1_000);
                for address in addresses {
                    self.notices.on_listed(now, address, wall_millis);
                }
            }
            Event::Heartbeat(name, heartbeat) => self.on_heartbeat(now, name, heartbeat),
            Event::KvContact(at) => {
                self.kv_contact = self.kv_contact.max(Some(at));
                self.actions.push(Action::Publish);
            }
            Event::InForce(version) => {
                self.local.info.version = version;
                self.send(now, URGENT_FANOUT);
            }
            Event::Leave => {
                self.local.info.state = MemberState::Leaving;
                self.send(now, URGENT_FANOUT);
            }
            Event::Tick => {
                self.notices.prune(now);
                self.send(now, self.limits.fanout);
                self.actions.push(Action::Publish);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Detects that this instance was paused: ticks normally come far more often than the pause limit.
    ///
    /// Failure guarded against: an instance is paused, operators drain an engine meanwhile, and after resuming the
    /// instance processes the requests that waited in its sockets with the old configuration. What it knew before
    /// it resumed is no longer evidence, see [`Self::reachability`].
    fn detect_pause(&mut self, now: Time) {
        if self.was_paused(now) {
            self.resumed_at = Some(now);
            self.actions.push(Action::Resumed);
            self.actions.push(Action::Publish);
        }
        self.last_event = Some(now);
    }

    /// Whether this instance was paused between the last event and `now`.
    fn was_paused(&self, now: Time) -> bool {
        self.last_event
            .is_some_and(|at| now.since(at) > self.limits.pause_limit)
    }

    /// When this instance last resumed after a pause, as of `now`.
    ///
    /// Also detects a pause between an event and the roster computed for it. Guards against a roster with a current
    /// time that confirms the configuration by contacts from before the pause.
    fn resumed_at(&self, now: Time) -> Option<Time> {
        match self.was_paused(now) {
            true => Some(now),
            false => self.resumed_at,
        }
    }

    /// Returns the known instances, the upstreams that are leaving, and the standing of this instance.
    pub fn roster(&self, now: Time) -> Roster {
        let peers = self.members.iter().map(|(name, member)| Peer {
            name: name.clone(),
            zone: member.info.zone.clone(),
            address: member.info.address,
            peer_address: member.info.peer_address,
            state: member.state(),
            heard: self.is_heard(now, member.heard),
            version: member.info.version,
        });
        let info = &self.local.info;
        let local = Peer {
            name: self.local.name.clone(),
            zone: info.zone.clone(),
            address: info.address,
            peer_address: info.peer_address,
            state: info.state,
            heard: true,
            version: info.version,
        };
        Roster {
            local: Some(local),
            peers: peers.collect(),
            leaving: self.notices.leaving(now),
            standing: evaluate_standing(
                &self.reachability(now),
                self.limits.stale_after,
                self.limits.partition_policy,
            ),
            evaluated_at: now,
        }
    }

    /// The address on which an instance receives messages from its peers, if the instance is known.
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.members.get(name).map(|m| m.info.peer_address)
    }

    /// Whether a peer last heard from at `heard` still counts as heard from. It does for
    /// [`Limits::silent_after`], or for [`SILENT_ROUNDS`] full rotations of the table if that is longer.
    fn is_heard(&self, now: Time, heard: Option<Time>) -> bool {
        let each = (self.limits.fanout * (self.limits.max_rumors + 1)).max(1);
        let round = u32::try_from(self.members.len().div_ceil(each)).unwrap_or(u32::MAX);
        let limit = self.limits.silent_after.max(
            self.limits
                .interval
                .saturating_mul(round.saturating_mul(SILENT_ROUNDS)),
        );
        heard.is_some_and(|at| now.since(at) <= limit)
    }

    /// The evidence for the standing, which excludes everything known before this instance last resumed. Heartbeats
    /// that waited in the socket during a pause are read right after it, so only those received more than an
    /// interval after resuming count.
    fn reachability(&self, now: Time) -> Reachability {
        let resumed_at = self.resumed_at(now);
        let fresh = |at: Time| resumed_at.is_none_or(|resumed| at > resumed + self.limits.interval);
        let is_heard = |m: &Member| self.is_heard(now, m.heard) && m.heard.is_some_and(fresh);
        let heard = self.members.values().filter(|m| is_heard(m));
        let contacts = heard.clone().filter_map(|m| m.kv_contact);
        let contacts = contacts.filter(|at| resumed_at.is_none_or(|resumed| *at > resumed));
        let missing = |m: &&Member| m.state() == MemberState::Live && !is_heard(m);
        let ahead = |m: &&Member| is_heard(m) && m.info.version > self.local.info.version;
        let own = self
            .kv_contact
            .filter(|at| resumed_at.is_none_or(|resumed| *at >= resumed));
        Reachability {
            own_contact: own.map(|at| now.since(at)),
            listed: self.listed,
            peer_contact: contacts.max().map(|at| now.since(at)),
            heard: heard.count(),
            silent: self.members.values().filter(missing).count(),
            ahead: self.members.values().filter(ahead).count(),
        }
    }

    fn on_list(&mut self, now: Time, list: Vec<Listing>) {
        self.listed = true;
        for member in self.members.values_mut() {
            member.listed = None;
        }
        for listing in list {
            if listing.name == self.local.name {
                continue;
            }
            let member = self.members.get(&listing.name);
            let heard = member.is_some_and(|m| self.is_heard(now, m.heard));
            let state = listing.state;
            let name = listing.name.clone();
            let info = listing.into_info();
            let member = self.members.entry(name);
            let member = member.or_insert_with(|| Member::new(info.clone()));
            member.listed = Some(state);
            // Heartbeats are more recent than the list. A silent instance may have been replaced by one of the
            // same name that listens on another address and can't reach the platform to find us.
            if !heard {
                member.info.zone = info.zone;
                member.info.address = info.address;
                member.info.peer_address = info.peer_address;
            }
        }
        // Only a list removes an instance: one that has fallen silent while no list can be read may be on the
        // other side of a network partition.
        let gone = |m: &Member| m.listed.is_none() && !self.is_heard(now, m.heard);
        let gone: Vec<Name> = self
            .members
            .iter()
            .filter(|(_, m)| gone(m))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.members.remove(&name);
        }
        self.actions.push(Action::Publish);
    }

    fn on_heartbeat(&mut self, now: Time, name: Name, heartbeat: Heartbeat) {
        if name == self.local.name {
            return;
        }
        let (version, leaving) = (self.local.info.version, self.notices.leaving(now));
        if heartbeat.info.version > version {
            self.actions.push(Action::PeerAhead(
                heartbeat.info.peer_address,
                heartbeat.info.version,
            ));
        }
        let mut changed = self.record_info(now, name, heartbeat.info);
        for rumor in heartbeat.rumors {
            let Some(at) = ago(now, rumor.age) else { continue };
            let known = self.members.contains_key(&rumor.name);
            if rumor.name != self.local.name && (known || self.is_heard(now, Some(at))) {
                changed |= self.record_info(at, rumor.name, rumor.info);
            }
        }
        for notice in heartbeat.notices {
            self.notices.on_received(now, notice);
        }
        if changed || self.notices.leaving(now) != leaving {
            self.actions.push(Action::Publish);
        }
    }

    fn record_info(&mut self, at: Time, name: Name, info: InstanceInfo) -> bool {
        let member = self.members.entry(name);
        let member = member.or_insert_with(|| Member::new(info.clone()));
        member.update(at, info, self.local.info.version)
    }

    fn send(&mut self, now: Time, count: usize) {
        self.local.info.number += 1;
        self.local.info.silence = self.kv_contact.map_or(u32::MAX, |at| millis(now.since(at)));
        let chosen = self.sample_peers(count);
        let heartbeat = Heartbeat {
            info: self.local.info.clone(),
            rumors: self.rumors(now),
            notices: self.notices.to_send(now),
        };
        let sends = chosen.into_iter().map(|to| Action::Send(to, heartbeat.clone()));
        self.actions.extend(sends);
    }

    /// Samples `count` peers, limiting those in other zones to [`Limits::cross_zone`] if our own zone has enough peers.
    ///
    /// Guards against nearly all heartbeats in a large fleet crossing zones, where traffic is expensive. Peers in the
    /// same zone pass on what they receive.
    fn sample_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        if self.members.len() <= count || self.limits.cross_zone >= count {
            let all = self.members.values().map(|m| m.info.peer_address);
            return all.sample(&mut self.rng, count);
        }
        let zone = &self.local.info.zone;
        let (same_zone, other_zones): (Vec<&Member>, Vec<&Member>) =
            self.members.values().partition(|m| m.info.zone == *zone);
        let mut chosen = same_zone
            .into_iter()
            .sample(&mut self.rng, count - self.limits.cross_zone);
        // If our own zone has too few peers, the rest come from other zones.
        chosen.extend(
            other_zones
                .into_iter()
                .sample(&mut self.rng, count - chosen.len()),
        );
        chosen.into_iter().map(|m| m.info.peer_address).collect()
    }

    /// Returns the next part of the table, which rotates in the order of names.
    fn rumors(&mut self, now: Time) -> Vec<Rumor> {
        let cursor = self.cursor.clone();
        let after = self
            .members
            .iter()
            .filter(|(name, _)| cursor.as_ref().is_some_and(|c| *name > c));
        let upto = self
            .members
            .iter()
            .filter(|(name, _)| cursor.as_ref().is_none_or(|c| *name <= c));
        let known = after.chain(upto).filter(|(_, m)| self.is_heard(now, m.heard));
        let mut left = MAX_RUMOR_BYTES;
        let mut fits = |name: &Name, info: &InstanceInfo| {
            let size = RUMOR_BASE_BYTES + name.as_str().len() + info.zone.as_str().len();
            let rest = left.checked_sub(size);
            left = rest.unwrap_or_default();
            rest.is_some()
        };
        let rumors: Vec<Rumor> = known
            .take(self.limits.max_rumors)
            .take_while(|(name, m)| fits(name, &m.info))
            .map(|(name, m)| rumor(now, name, m))
            .collect();
        self.cursor = rumors.last().map(|r| r.name.clone());
        rumors
    }
}

fn rumor(now: Time, name: &Name, member: &Member) -> Rumor {
    Rumor {
        name: name.clone(),
        info: member.info.clone(),
        age: member.heard.map_or(u32::MAX, |at| millis(now.since(at))),
    }
}

/// The time `age` milliseconds before `now`; `None` if that is before our clock started. An age of `u32::MAX` means
/// never.
pub(super) fn ago(now: Time, age: u32) -> Option<Time> {
    let age = Duration::from_millis(u64::from(age));
    (now.since(Time::ZERO) >= age).then(|| now - age)
}

pub(super) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
