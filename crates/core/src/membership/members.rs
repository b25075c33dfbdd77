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

/// How long an upstream counts as leaving after the platform's list last showed it so.
const NOTICE_LIMIT: Duration = Duration::from_secs(30);

/// Most notices in a heartbeat.
const MAX_NOTICES: usize = 12;

/// How long an instance that is on no list is remembered after it was last heard of.
const FORGET: Duration = Duration::from_secs(60);

/// Peers that are told at once of a new version or of leaving: all of a small fleet.
const EAGER: usize = 16;

/// Times the table must have gone round before a peer that was not heard of counts as silent.
const ROUNDS: u32 = 3;

/// Time limits and sizes of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time between two heartbeats.
    pub interval: Duration,
    /// Peers that get each heartbeat.
    pub fanout: usize,
    /// Rumors in a heartbeat.
    pub part: usize,
    /// A peer not heard of for so long counts as silent; longer in a fleet so large that its table takes
    /// longer to go round.
    pub silent: Duration,
    /// Longest time for which what is known of the configuration may go unconfirmed.
    pub stale: Duration,
    /// What a group cut off together does.
    pub rule: CutRule,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            interval: Duration::from_secs(1),
            fanout: 2,
            part: 8,
            silent: Duration::from_secs(5),
            stale: Duration::from_secs(15),
            rule: CutRule::Stop,
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
}

#[derive(Debug)]
struct Member {
    listing: Listing,
    /// What the platform's list shows, if it shows the instance.
    listed: Option<MemberState>,
    incarnation: u64,
    number: u64,
    version: Version,
    heard: Option<Time>,
    /// When it last had an answer of the key-value service, by our clock.
    contact: Option<Time>,
}

impl Member {
    fn new(listing: Listing) -> Member {
        Member {
            listing,
            listed: None,
            incarnation: 0,
            number: 0,
            version: Version::default(),
            heard: None,
            contact: None,
        }
    }

    /// Takes news of this member unless it knows later ones.
    fn update(&mut self, now: Time, news: &Rumor) -> bool {
        if (news.incarnation, news.number) <= (self.incarnation, self.number) {
            return false;
        }
        let restarted = news.incarnation > self.incarnation;
        self.incarnation = news.incarnation;
        self.number = news.number;
        self.listing.state = news.state;
        // A version never goes back, but a restarted instance begins anew.
        self.version = match restarted {
            true => news.version,
            false => self.version.max(news.version),
        };
        self.heard = Some(now);
        self.contact = self.contact.max(ago(now, news.silence));
        true
    }

    /// Leaving, if the instance or the list says so.
    fn state(&self) -> MemberState {
        self.listing.state.max(self.listed.unwrap_or(MemberState::Live))
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
        }
    }

    /// Works out what to do about `event`.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Listed(list) => self.on_list(list),
            Event::Leaving(addresses) => {
                for address in addresses {
                    self.note(address, now);
                }
            }
            Event::Heard(name, beat) => self.on_beat(now, name, beat),
            Event::Contact(at) => self.contact = self.contact.max(Some(at)),
            Event::InForce(version) => {
                self.myself.about.version = version;
                self.send(now, EAGER);
            }
            Event::Leave => {
                self.myself.about.state = MemberState::Leaving;
                self.send(now, EAGER);
            }
            Event::Tick => {
                self.forget(now);
                self.send(now, self.limits.fanout);
                self.actions.push(Action::Publish);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// The others, the upstreams that leave, and how this instance stands.
    pub fn roster(&self, now: Time) -> Roster {
        let peers = self.members.values().map(|member| Peer {
            name: member.listing.name.clone(),
            zone: member.listing.zone.clone(),
            address: member.listing.address,
            peer: member.listing.peer,
            state: member.state(),
            heard: self.is_heard(now, member),
            version: member.version,
        });
        Roster {
            peers: peers.collect(),
            leaving: self.leaving(now),
            standing: judge(&self.witness(now), self.limits.stale, self.limits.rule),
        }
    }

    /// A peer counts as heard for the silent limit, or for as long as the table takes to go round
    /// [`ROUNDS`] times if that is longer.
    fn is_heard(&self, now: Time, member: &Member) -> bool {
        let each = (self.limits.fanout * (self.limits.part + 1)).max(1);
        let round = u32::try_from(self.members.len().div_ceil(each)).unwrap_or(u32::MAX);
        let limit = self
            .limits
            .silent
            .max(self.limits.interval.saturating_mul(round.saturating_mul(ROUNDS)));
        member.heard.is_some_and(|at| now.since(at) <= limit)
    }

    fn witness(&self, now: Time) -> Witness {
        let heard = self.members.values().filter(|m| self.is_heard(now, m));
        let contacts = heard.clone().filter_map(|m| m.contact);
        let stays = |m: &&Member| m.listed.is_some() && m.state() == MemberState::Live;
        let missing = |m: &&Member| stays(m) && !self.is_heard(now, m);
        Witness {
            own: self.contact.map(|at| now.since(at)),
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

    fn on_list(&mut self, list: Vec<Listing>) {
        self.listed = true;
        for member in self.members.values_mut() {
            member.listed = None;
        }
        for listing in list {
            if listing.name == self.myself.name {
                continue;
            }
            let member = self
                .members
                .entry(listing.name.clone())
                .or_insert_with(|| Member::new(listing.clone()));
            member.listed = Some(listing.state);
            // Heartbeats are fresher than the list, but for an instance that was not heard of.
            if member.heard.is_none() {
                member.listing = listing;
            }
        }
        self.actions.push(Action::Publish);
    }

    fn on_beat(&mut self, now: Time, name: Name, beat: Beat) {
        if name == self.myself.name {
            return;
        }
        let before = (self.myself.about.version, self.notices.len());
        let about = &beat.about;
        let listing = Listing {
            name: name.clone(),
            zone: about.zone.clone(),
            address: about.address,
            peer: about.peer,
            state: about.state,
        };
        let news = Rumor {
            name: name.clone(),
            incarnation: about.incarnation,
            number: about.number,
            state: about.state,
            version: about.version,
            silence: about.silence,
        };
        let member = self
            .members
            .entry(name)
            .or_insert_with(|| Member::new(listing.clone()));
        let was = (member.state(), member.version, member.heard.is_some());
        if member.update(now, &news) {
            member.listing = listing;
        }
        let changed = was != (member.state(), member.version, true);
        if about.version > before.0 {
            self.actions.push(Action::Ahead(about.peer, about.version));
        }
        let rumored = self.on_rumors(now, &beat.rumors);
        for notice in beat.notices {
            self.note(notice.address, now - Duration::from_millis(u64::from(notice.age)));
        }
        if changed || rumored || self.notices.len() != before.1 {
            self.actions.push(Action::Publish);
        }
    }

    fn on_rumors(&mut self, now: Time, rumors: &[Rumor]) -> bool {
        let mut changed = false;
        for rumor in rumors {
            let Some(member) = self.members.get_mut(&rumor.name) else {
                continue;
            };
            let was = (member.state(), member.version);
            member.update(now, rumor);
            changed |= was != (member.state(), member.version);
        }
        changed
    }

    /// Takes note that the list showed the upstream as leaving at `at`. Ages only grow on their way from
    /// instance to instance, so that a notice ends when the list has stopped showing it.
    fn note(&mut self, address: SocketAddr, at: Time) {
        let known = self.notices.entry(address).or_insert(at);
        *known = (*known).max(at);
    }

    fn forget(&mut self, now: Time) {
        self.notices.retain(|_, at| now.since(*at) <= NOTICE_LIMIT);
        self.members
            .retain(|_, m| m.listed.is_some() || m.heard.is_some_and(|at| now.since(at) <= FORGET));
    }

    fn send(&mut self, now: Time, count: usize) {
        self.myself.about.number += 1;
        self.myself.about.silence = self.contact.map_or(u32::MAX, |at| millis(now.since(at)));
        let peers = self.members.values().map(|m| m.listing.peer);
        let chosen = peers.sample(&mut self.random, count);
        let beat = Beat {
            about: self.myself.about.clone(),
            rumors: self.rumors(now),
            notices: self.notices(now),
        };
        let sends = chosen.into_iter().map(|to| Action::Send(to, beat.clone()));
        self.actions.extend(sends);
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
        let known = after.chain(upto).filter(|(_, m)| self.is_heard(now, m));
        let rumors: Vec<Rumor> = known
            .take(self.limits.part)
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
        incarnation: member.incarnation,
        number: member.number,
        state: member.listing.state,
        version: member.version,
        silence: member.contact.map_or(u32::MAX, |at| millis(now.since(at))),
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
