//! The table of instances: heartbeats out, heartbeats and lists in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::config::Version;
use crate::membership::About;
use crate::membership::Beat;
use crate::membership::CutRule;
use crate::membership::MemberState;
use crate::membership::Notice;
use crate::membership::Peer;
use crate::membership::Roster;
use crate::membership::Rumor;
use crate::membership::Witness;
use crate::membership::judge;
use crate::name::Name;
use crate::time::Time;

/// Bytes that rumors may take in a heartbeat, by estimate. With the longest names for all, and with everything else that
/// a datagram carries, it stays below what crosses an ordinary network unfragmented.
const MAX_RUMORS: usize = 720;

/// Estimated bytes of a rumor besides its names.
const RUMOR: usize = 72;

/// How long an upstream counts as leaving after the platform's list last showed it so.
const NOTICE_LIMIT: Duration = Duration::from_secs(30);

/// Most notices in a heartbeat.
const MAX_NOTICES: usize = 12;

/// Peers that are told at once of a new version or of leaving: all of a small fleet.
const EAGER: usize = 16;

/// Times the table must have gone round before a peer that was not heard of counts as silent.
const ROUNDS: u32 = 6;

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
    pub part: usize,
    /// A peer not heard of for so long counts as silent; longer in a fleet so large that its table takes
    /// longer to go round.
    pub silent: Duration,
    /// Longest time for which what is known of the configuration may go unconfirmed.
    pub stale: Duration,
    /// What a group cut off together does.
    pub rule: CutRule,
    /// An instance that did not run for so long takes no new work until it knows anew how things stand.
    pub asleep: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            interval: Duration::from_secs(1),
            fanout: 2,
            cross_zone: usize::MAX,
            part: 8,
            silent: Duration::from_secs(5),
            stale: Duration::from_secs(15),
            rule: CutRule::Stop,
            asleep: Duration::from_secs(2),
        }
    }
}

/// This instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Myself {
    /// Its name.
    pub name: Name,
    /// What it says of itself; number, version and silence are filled in.
    pub about: About,
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
    pub peer: SocketAddr,
    /// Whether it stays.
    pub state: MemberState,
}

impl Listing {
    /// What the instance would say of itself, as far as the list tells.
    fn into_about(self) -> About {
        About::new(0, self.zone, self.address, self.peer)
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
    Heard(Name, Beat),
    /// An answer of the key-value service showed the configuration as it stood at this time.
    Contact(Time),
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
    Send(SocketAddr, Beat),
    /// The peer has this version, higher than ours.
    Ahead(SocketAddr, Version),
    /// The roster may have changed.
    Publish,
    /// This instance did not run for a while: ask the key-value service at once.
    Woke,
}

#[derive(Debug)]
struct Member {
    /// What it last said of itself, or what the list shows of one that was not heard of lately.
    about: About,
    /// What the platform's list shows, if it shows the instance.
    listed: Option<MemberState>,
    /// When it said so, by our clock.
    heard: Option<Time>,
    /// When it last had an answer of the key-value service, by our clock.
    contact: Option<Time>,
}

impl Member {
    fn new(about: About) -> Member {
        Member {
            about,
            listed: None,
            heard: None,
            contact: None,
        }
    }

    /// Takes what the member said of itself at `at`, unless it has said something later. Whether anything that
    /// matters to others changed.
    fn update(&mut self, at: Time, about: About) -> bool {
        let order = |a: &About| (a.incarnation, a.number);
        if self.heard.is_some() && order(&about) <= order(&self.about) {
            return false;
        }
        self.contact = self.contact.max(ago(at, about.silence));
        let matters = |a: &About| (a.state, a.version, a.address);
        let changed = self.heard.is_none() || matters(&about) != matters(&self.about);
        self.heard = self.heard.max(Some(at));
        self.about = about;
        changed
    }

    /// Leaving, if the instance or the list says so.
    fn state(&self) -> MemberState {
        self.about.state.max(self.listed.unwrap_or(MemberState::Live))
    }
}

/// The table of instances as one of them sees it.
#[derive(Debug)]
pub struct Members {
    myself: Myself,
    limits: Limits,
    members: BTreeMap<Name, Member>,
    notices: BTreeMap<SocketAddr, Time>,
    contact: Option<Time>,
    listed: bool,
    cursor: Option<Name>,
    random: ChaCha8Rng,
    actions: Vec<Action>,
    /// When the last event came.
    latest: Option<Time>,
    /// When this instance last went on after it had not run for a while.
    woken: Option<Time>,
}

impl Members {
    /// A table that knows of nobody else.
    pub fn new(myself: Myself, limits: Limits) -> Members {
        Members {
            random: ChaCha8Rng::seed_from_u64(myself.seed),
            myself,
            limits,
            members: BTreeMap::new(),
            notices: BTreeMap::new(),
            contact: None,
            listed: false,
            cursor: None,
            actions: Vec::new(),
            latest: None,
            woken: None,
        }
    }

    /// Works out what to do about `event`.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.notice_pause(now);
        match event {
            Event::Listed(list) => self.on_list(now, list),
            Event::Leaving(addresses) => {
                for address in addresses {
                    self.note(address, now);
                }
            }
            Event::Heard(name, beat) => self.on_beat(now, name, beat),
            Event::Contact(at) => {
                self.contact = self.contact.max(Some(at));
                self.actions.push(Action::Publish);
            }
            Event::InForce(version) => {
                self.myself.about.version = version;
                self.send(now, EAGER);
            }
            Event::Leave => {
                self.myself.about.state = MemberState::Leaving;
                self.send(now, EAGER);
            }
            Event::Tick => {
                self.notices.retain(|_, at| now.since(*at) <= NOTICE_LIMIT);
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
    /// before it woke proves nothing any more, see [`Self::witness`].
    fn notice_pause(&mut self, now: Time) {
        let latest = self.latest.replace(now);
        if latest.is_some_and(|at| now.since(at) > self.limits.asleep) {
            self.woken = Some(now);
            self.actions.push(Action::Woke);
            self.actions.push(Action::Publish);
        }
    }

    /// The others, the upstreams that leave, and how this instance stands.
    pub fn roster(&self, now: Time) -> Roster {
        let peers = self.members.iter().map(|(name, member)| Peer {
            name: name.clone(),
            zone: member.about.zone.clone(),
            address: member.about.address,
            peer: member.about.peer,
            state: member.state(),
            heard: self.is_heard(now, member.heard),
            version: member.about.version,
        });
        let about = &self.myself.about;
        let myself = Peer {
            name: self.myself.name.clone(),
            zone: about.zone.clone(),
            address: about.address,
            peer: about.peer,
            state: about.state,
            heard: true,
            version: about.version,
        };
        Roster {
            myself: Some(myself),
            peers: peers.collect(),
            leaving: self.leaving(now),
            standing: judge(&self.witness(now), self.limits.stale, self.limits.rule),
            judged: now,
        }
    }

    /// The address at which an instance receives messages from its peers, if the instance is known.
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.members.get(name).map(|m| m.about.peer)
    }

    /// A peer counts as heard for the silent limit, or for as long as the table takes to go round
    /// [`ROUNDS`] times if that is longer.
    fn is_heard(&self, now: Time, heard: Option<Time>) -> bool {
        let each = (self.limits.fanout * (self.limits.part + 1)).max(1);
        let round = u32::try_from(self.members.len().div_ceil(each)).unwrap_or(u32::MAX);
        let limit = self
            .limits
            .silent
            .max(self.limits.interval.saturating_mul(round.saturating_mul(ROUNDS)));
        heard.is_some_and(|at| now.since(at) <= limit)
    }

    /// What the standing rests on: of what was known before this instance woke, nothing. Heartbeats that waited
    /// in the socket meanwhile are read at once after waking, so they count only an interval later.
    fn witness(&self, now: Time) -> Witness {
        let fresh = |at: Time| self.woken.is_none_or(|woken| at > woken + self.limits.interval);
        let is_heard = |m: &Member| self.is_heard(now, m.heard) && m.heard.is_some_and(fresh);
        let heard = self.members.values().filter(|m| is_heard(m));
        let contacts = heard.clone().filter_map(|m| m.contact);
        let contacts = contacts.filter(|at| self.woken.is_none_or(|woken| *at > woken));
        let missing = |m: &&Member| m.state() == MemberState::Live && !is_heard(m);
        let own = self
            .contact
            .filter(|at| self.woken.is_none_or(|woken| *at >= woken));
        Witness {
            own: own.map(|at| now.since(at)),
            listed: self.listed,
            peers: contacts.max().map(|at| now.since(at)),
            heard: heard.count(),
            silent: self.members.values().filter(missing).count(),
        }
    }

    fn leaving(&self, now: Time) -> BTreeSet<SocketAddr> {
        let fresh = self
            .notices
            .iter()
            .filter(|(_, at)| now.since(**at) <= NOTICE_LIMIT);
        fresh.map(|(address, _)| *address).collect()
    }

    fn on_list(&mut self, now: Time, list: Vec<Listing>) {
        self.listed = true;
        for member in self.members.values_mut() {
            member.listed = None;
        }
        for listing in list {
            if listing.name == self.myself.name {
                continue;
            }
            let member = self.members.get(&listing.name);
            let heard = member.is_some_and(|m| self.is_heard(now, m.heard));
            let state = listing.state;
            let name = listing.name.clone();
            let about = listing.into_about();
            let member = self.members.entry(name);
            let member = member.or_insert_with(|| Member::new(about.clone()));
            member.listed = Some(state);
            // Heartbeats are fresher than the list. One that is silent may have been replaced under its name by one
            // that listens elsewhere, and that can't reach the platform to find us.
            if !heard {
                member.about.zone = about.zone;
                member.about.address = about.address;
                member.about.peer = about.peer;
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

    fn on_beat(&mut self, now: Time, name: Name, beat: Beat) {
        if name == self.myself.name {
            return;
        }
        let (version, notices) = (self.myself.about.version, self.notices.len());
        if beat.about.version > version {
            self.actions
                .push(Action::Ahead(beat.about.peer, beat.about.version));
        }
        let mut changed = self.hear(now, name, beat.about);
        for rumor in beat.rumors {
            let Some(at) = ago(now, rumor.age) else { continue };
            let known = self.members.contains_key(&rumor.name);
            if rumor.name != self.myself.name && (known || self.is_heard(now, Some(at))) {
                changed |= self.hear(at, rumor.name, rumor.about);
            }
        }
        for notice in beat.notices {
            if let Some(at) = ago(now, notice.age) {
                self.note(notice.address, at);
            }
        }
        if changed || self.notices.len() != notices {
            self.actions.push(Action::Publish);
        }
    }

    fn hear(&mut self, at: Time, name: Name, about: About) -> bool {
        let member = self.members.entry(name);
        let member = member.or_insert_with(|| Member::new(about.clone()));
        member.update(at, about)
    }

    /// Takes note that the list showed the upstream as leaving at `at`. Ages only grow on their way from
    /// instance to instance, so that a notice ends when the list has stopped showing it.
    fn note(&mut self, address: SocketAddr, at: Time) {
        let known = self.notices.entry(address).or_insert(at);
        *known = (*known).max(at);
    }

    fn send(&mut self, now: Time, count: usize) {
        self.myself.about.number += 1;
        self.myself.about.silence = self.contact.map_or(u32::MAX, |at| millis(now.since(at)));
        let chosen = self.sample_peers(count);
        let beat = Beat {
            about: self.myself.about.clone(),
            rumors: self.rumors(now),
            notices: self.notices(now),
        };
        let sends = chosen.into_iter().map(|to| Action::Send(to, beat.clone()));
        self.actions.extend(sends);
    }

    /// Samples `count` peers, limiting those in other zones to [`Limits::cross_zone`] if the own zone has enough peers.
    ///
    /// Guards against nearly all heartbeats of a large fleet crossing zones, where traffic is expensive. Peers of the
    /// same zone pass on what they receive.
    fn sample_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        if self.members.len() <= count || self.limits.cross_zone >= count {
            let all = self.members.values().map(|m| m.about.peer);
            return all.sample(&mut self.random, count);
        }
        let zone = &self.myself.about.zone;
        let (same_zone, other_zones): (Vec<&Member>, Vec<&Member>) =
            self.members.values().partition(|m| m.about.zone == *zone);
        let mut chosen = same_zone
            .into_iter()
            .sample(&mut self.random, count - self.limits.cross_zone);
        // If the own zone has too few peers, the rest come from other zones.
        chosen.extend(
            other_zones
                .into_iter()
                .sample(&mut self.random, count - chosen.len()),
        );
        chosen.into_iter().map(|m| m.about.peer).collect()
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
        let mut left = MAX_RUMORS;
        let mut fits = |name: &Name, about: &About| {
            let size = RUMOR + name.as_str().len() + about.zone.as_str().len();
            let rest = left.checked_sub(size);
            left = rest.unwrap_or_default();
            rest.is_some()
        };
        let rumors: Vec<Rumor> = known
            .take(self.limits.part)
            .take_while(|(name, m)| fits(name, &m.about))
            .map(|(name, m)| rumor(now, name, m))
            .collect();
        self.cursor = rumors.last().map(|r| r.name.clone());
        rumors
    }

    /// The freshest notices.
    fn notices(&self, now: Time) -> Vec<Notice> {
        let mut notices: Vec<Notice> = self
            .notices
            .iter()
            .map(|(address, at)| Notice {
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
        about: member.about.clone(),
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
