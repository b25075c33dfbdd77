//! The table of instances: heartbeats out, heartbeats and lists in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::config::Version;
use crate::membership::Heartbeat;
use crate::membership::InstanceInfo;
use crate::membership::LeavingNotice;
use crate::membership::MemberState;
use crate::membership::PartitionPolicy;
use crate::membership::Peer;
use crate::membership::Reachability;
use crate::membership::Roster;
use crate::membership::Rumor;
use crate::membership::evaluate_standing;
use crate::name::Name;
use crate::time::Time;

/// Bytes that rumors may take in a heartbeat, by estimate. With the longest names for all, and with everything else that
/// a datagram carries, it stays below what crosses an ordinary network unfragmented.
const MAX_RUMOR_BYTES: usize = 720;

/// Estimated bytes of a rumor besides its names.
const RUMOR_BASE_BYTES: usize = 72;

/// How long an upstream counts as leaving after the platform's list last showed it so.
const NOTICE_TTL: Duration = Duration::from_secs(30);

/// Most notices in a heartbeat.
const MAX_NOTICES: usize = 12;

/// Peers that are told at once of a new version or of leaving: all of a small fleet.
const URGENT_FANOUT: usize = 16;

/// Times the table must have gone round before a peer that was not heard of counts as silent.
const SILENT_ROUNDS: u32 = 6;

/// Time limits and sizes of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time between two heartbeats.
    pub interval: Duration,
    /// Peers that get each heartbeat.
    pub fanout: usize,
    /// Number of these that are in other zones, if there are more than [`Self::fanout`] peers. More are chosen from
    /// other zones only if the instance's own zone has too few peers.
    pub cross_zone: usize,
    /// Rumors in a heartbeat.
    pub max_rumors: usize,
    /// A peer not heard of for so long counts as silent; longer in a fleet so large that its table takes
    /// longer to go round.
    pub silent_after: Duration,
    /// Longest time for which what is known of the configuration may go unconfirmed.
    pub stale_after: Duration,
    /// What a group cut off together does.
    pub partition_policy: PartitionPolicy,
    /// An instance that did not run for so long takes no new work until it knows anew how things stand.
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
    /// What it says of itself; number, version and silence are filled in.
    pub info: InstanceInfo,
    /// Seed of the choice of peers.
    pub seed: u64,
}

/// An entry of the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Its name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other instances connect.
    pub peer_address: SocketAddr,
    /// Whether it stays.
    pub state: MemberState,
}

impl Listing {
    /// What the instance would say of itself, as far as the list tells.
    fn into_info(self) -> InstanceInfo {
        InstanceInfo::new(0, self.zone, self.address, self.peer_address)
    }
}

/// What membership is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The platform's list of instances.
    Listed(Vec<Listing>),
    /// Addresses of the upstreams that the platform's list shows as leaving.
    Leaving(Vec<SocketAddr>),
    /// A heartbeat of this instance.
    Heartbeat(Name, Heartbeat),
    /// An answer of the key-value service showed the configuration as it stood at this time.
    KvContact(Time),
    /// This version is in force here.
    InForce(Version),
    /// This instance begins to shut down.
    Leave,
    /// The interval is over.
    Tick,
}

/// What membership wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat.
    Send(SocketAddr, Heartbeat),
    /// The peer has this version, higher than ours.
    PeerAhead(SocketAddr, Version),
    /// The roster may have changed.
    Publish,
    /// This instance did not run for a while: ask the key-value service at once.
    Resumed,
}

#[derive(Debug)]
struct Member {
    /// What it last said of itself, or what the list shows of one that was not heard of lately.
    info: InstanceInfo,
    /// What the platform's list shows, if it shows the instance.
    listed: Option<MemberState>,
    /// When it said so, by our clock.
    heard: Option<Time>,
    /// When it last had an answer of the key-value service, by our clock.
    kv_contact: Option<Time>,
}

impl Member {
    fn new(info: InstanceInfo) -> Member {
        Member {
            info: info,
            listed: None,
            heard: None,
            kv_contact: None,
        }
    }

    /// Takes what the member said of itself at `at`, unless it has said something later. Whether anything that
    /// matters to others changed.
    fn update(&mut self, at: Time, info: InstanceInfo) -> bool {
        let order = |a: &InstanceInfo| (a.incarnation, a.number);
        if self.heard.is_some() && order(&info) <= order(&self.info) {
            return false;
        }
        self.kv_contact = self.kv_contact.max(ago(at, info.silence));
        let matters = |a: &InstanceInfo| (a.state, a.version, a.address);
        let changed = self.heard.is_none() || matters(&info) != matters(&self.info);
        self.heard = self.heard.max(Some(at));
        self.info = info;
        changed
    }

    /// Leaving, if the instance or the list says so.
    fn state(&self) -> MemberState {
        self.info.state.max(self.listed.unwrap_or(MemberState::Live))
    }
}

/// The table of instances as one of them sees it.
#[derive(Debug)]
pub struct MemberTable {
    local: LocalInstance,
    limits: Limits,
    members: BTreeMap<Name, Member>,
    notices: BTreeMap<SocketAddr, Time>,
    kv_contact: Option<Time>,
    listed: bool,
    cursor: Option<Name>,
    rng: ChaCha8Rng,
    actions: Vec<Action>,
    /// When the last event came.
    last_event: Option<Time>,
    /// When this instance last went on after it had not run for a while.
    resumed_at: Option<Time>,
}

impl MemberTable {
    /// A table that knows of nobody else.
    pub fn new(local: LocalInstance, limits: Limits) -> MemberTable {
        MemberTable {
            rng: ChaCha8Rng::seed_from_u64(local.seed),
            local: local,
            limits,
            members: BTreeMap::new(),
            notices: BTreeMap::new(),
            kv_contact: None,
            listed: false,
            cursor: None,
            actions: Vec::new(),
            last_event: None,
            resumed_at: None,
        }
    }

    /// Works out what to do about `event`.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.detect_pause(now);
        match event {
            Event::Listed(list) => self.on_list(now, list),
            Event::Leaving(addresses) => {
                for address in addresses {
                    self.record_notice(address, now);
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
                self.notices.retain(|_, at| now.since(*at) <= NOTICE_TTL);
                self.send(now, self.limits.fanout);
                self.actions.push(Action::Publish);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Notices that this instance did not run for a while; ticks come far more often.
    ///
    /// Failure guarded against: an instance is paused, operators drain an engine meanwhile, and when the instance
    /// goes on it takes the requests that waited in its sockets by the configuration from before. What it knew
    /// before it woke proves nothing any more, see [`Self::reachability`].
    fn detect_pause(&mut self, now: Time) {
        let latest = self.last_event.replace(now);
        if latest.is_some_and(|at| now.since(at) > self.limits.pause_limit) {
            self.resumed_at = Some(now);
            self.actions.push(Action::Resumed);
            self.actions.push(Action::Publish);
        }
    }

    /// The others, the upstreams that leave, and how this instance stands.
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
            leaving: self.leaving(now),
            standing: evaluate_standing(
                &self.reachability(now),
                self.limits.stale_after,
                self.limits.partition_policy,
            ),
            evaluated_at: now,
        }
    }

    /// The address at which an instance receives messages from its peers, if the instance is known.
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.members.get(name).map(|m| m.info.peer_address)
    }

    /// A peer counts as heard for the silent limit, or for as long as the table takes to go round
    /// [`SILENT_ROUNDS`] times if that is longer.
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

    /// What the standing rests on: of what was known before this instance woke, nothing. Heartbeats that waited
    /// in the socket meanwhile are read at once after waking, so they count only an interval later.
    fn reachability(&self, now: Time) -> Reachability {
        let fresh = |at: Time| {
            self.resumed_at
                .is_none_or(|resumed| at > resumed + self.limits.interval)
        };
        let is_heard = |m: &Member| self.is_heard(now, m.heard) && m.heard.is_some_and(fresh);
        let heard = self.members.values().filter(|m| is_heard(m));
        let contacts = heard.clone().filter_map(|m| m.kv_contact);
        let contacts = contacts.filter(|at| self.resumed_at.is_none_or(|resumed| *at > resumed));
        let missing = |m: &&Member| m.state() == MemberState::Live && !is_heard(m);
        let own = self
            .kv_contact
            .filter(|at| self.resumed_at.is_none_or(|resumed| *at >= resumed));
        Reachability {
            own_contact: own.map(|at| now.since(at)),
            listed: self.listed,
            peer_contact: contacts.max().map(|at| now.since(at)),
            heard: heard.count(),
            silent: self.members.values().filter(missing).count(),
        }
    }

    fn leaving(&self, now: Time) -> BTreeSet<SocketAddr> {
        let fresh = self
            .notices
            .iter()
            .filter(|(_, at)| now.since(**at) <= NOTICE_TTL);
        fresh.map(|(address, _)| *address).collect()
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
            // Heartbeats are fresher than the list. One that is silent may have been replaced under its name by one
            // that listens elsewhere, and that can't reach the platform to find us.
            if !heard {
                member.info.zone = info.zone;
                member.info.address = info.address;
                member.info.peer_address = info.peer_address;
            }
        }
        // Only a list takes an instance out: one that was heard and fell silent while no list can be read may be
        // on the far side of a cut.
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
        let (version, notices) = (self.local.info.version, self.notices.len());
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
            if let Some(at) = ago(now, notice.age) {
                self.record_notice(notice.address, at);
            }
        }
        if changed || self.notices.len() != notices {
            self.actions.push(Action::Publish);
        }
    }

    fn record_info(&mut self, at: Time, name: Name, info: InstanceInfo) -> bool {
        let member = self.members.entry(name);
        let member = member.or_insert_with(|| Member::new(info.clone()));
        member.update(at, info)
    }

    /// Takes note that the list showed the upstream as leaving at `at`. Ages only grow on their way from
    /// instance to instance, so that a notice ends when the list has stopped showing it.
    fn record_notice(&mut self, address: SocketAddr, at: Time) {
        let known = self.notices.entry(address).or_insert(at);
        *known = (*known).max(at);
    }

    fn send(&mut self, now: Time, count: usize) {
        self.local.info.number += 1;
        self.local.info.silence = self.kv_contact.map_or(u32::MAX, |at| millis(now.since(at)));
        let chosen = self.sample_peers(count);
        let heartbeat = Heartbeat {
            info: self.local.info.clone(),
            rumors: self.rumors(now),
            notices: self.notices(now),
        };
        let sends = chosen.into_iter().map(|to| Action::Send(to, heartbeat.clone()));
        self.actions.extend(sends);
    }

    /// Samples `count` peers, limiting those in other zones to [`Limits::cross_zone`] if the own zone has enough peers.
    ///
    /// Guards against nearly all heartbeats of a large fleet crossing zones, where traffic is expensive. Peers of the
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
        // If the own zone has too few peers, the rest come from other zones.
        chosen.extend(
            other_zones
                .into_iter()
                .sample(&mut self.rng, count - chosen.len()),
        );
        chosen.into_iter().map(|m| m.info.peer_address).collect()
    }

    /// The next part of the table, going round by name.
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

    /// The freshest notices.
    fn notices(&self, now: Time) -> Vec<LeavingNotice> {
        let mut notices: Vec<LeavingNotice> = self
            .notices
            .iter()
            .map(|(address, at)| LeavingNotice {
                address: *address,
                age: millis(now.since(*at)),
            })
            .collect();
        notices.sort_by_key(|notice| notice.age);
        notices.truncate(MAX_NOTICES);
        notices
    }
}

fn rumor(now: Time, name: &Name, member: &Member) -> Rumor {
    Rumor {
        name: name.clone(),
        info: member.info.clone(),
        age: member.heard.map_or(u32::MAX, |at| millis(now.since(at))),
    }
}

/// The time `age` milliseconds before `now`; `None` if our clock didn't run yet, or if there is none.
fn ago(now: Time, age: u32) -> Option<Time> {
    let age = Duration::from_millis(u64::from(age));
    (now.since(Time::ZERO) >= age).then(|| now - age)
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
