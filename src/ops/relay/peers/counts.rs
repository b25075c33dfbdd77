//! Telling peers what this instance counted, and what its wall clock shows.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_core::name::Name;
use sequoiastream_core::relay::true_time::TrueTime;
use sequoiastream_core::relay::usage::CountSource;
use sequoiastream_core::relay::usage::Counts;
use sequoiastream_core::relay::usage::CountsMessage;
use sequoiastream_core::relay::usage::FleetCounts;
use sequoiastream_core::relay::usage::Window;
use sequoiastream_core::time::Time;
use sequoiastream_peer::message::Datagram;

use crate::ops::relay::peers::Fleet;
use crate::util::clock;

/// Time between two messages: an instance that is killed loses what it counted since the last.
const INTERVAL: Duration = Duration::from_millis(500);

/// Windows of which each message tells: the current one, and those that may not be decided on yet.
const WINDOWS: u64 = 3;

/// Workspaces of a message: with names of twenty bytes it is as long as a datagram may be.
const MOST: usize = 48;

/// Instances that sum up besides the one that reports: whoever acts next is most probably one of them.
pub(super) const STAND_BY: usize = 3;

/// What is counted here and heard of others.
#[derive(Debug, Default)]
pub(super) struct Tallies {
    sums: RefCell<FleetCounts>,
    truth: RefCell<TrueTime>,
    /// Instances that sum up, besides the holder of the lease.
    stand_by: RefCell<Vec<SocketAddr>>,
    told: Cell<Time>,
    /// This start of the instance.
    process: u64,
}

impl Tallies {
    /// Nothing yet, of a new start.
    pub(super) fn new() -> Tallies {
        Tallies {
            process: rand::random(),
            ..Tallies::default()
        }
    }
}

impl Fleet {
    /// Takes what a peer's wall clock showed.
    pub(super) fn on_clock(&self, now: Time, name: &Name, wall: u64) {
        let mut truth = self.0.tallies.truth.borrow_mut();
        truth.on_clock(now, name.as_str(), wall);
    }

    /// Takes what a peer counted.
    pub(super) fn on_counts(&self, name: &Name, told: CountsMessage) {
        let source = CountSource {
            instance: name.to_string(),
            process: told.process,
        };
        self.0.tallies.sums.borrow_mut().on_counts(source, told.tally);
    }

    /// Notes who sums up: those who come first among the live instances.
    pub(super) fn note_stand_by(&self, first: Vec<SocketAddr>) {
        *self.0.tallies.stand_by.borrow_mut() = first;
    }

    /// Tells the instances that sum up what was counted here.
    pub(super) fn count(&self, now: Time) {
        let shared = &self.0.shared;
        let Some(acts) = &shared.options.leader else {
            return;
        };
        let tallies = &self.0.tallies;
        if now.since(tallies.told.get()) < INTERVAL {
            return;
        }
        tallies.told.set(now);
        self.on_clock(now, &shared.options.name, clock::wall_micros());
        if let Some(lead) = tallies.truth.borrow_mut().offset(now) {
            shared.on_true_offset(lead);
        }
        let current = Window::at(shared.true_micros(now), acts.window);
        let first = Window((current.0 + 1).saturating_sub(WINDOWS));
        let tally = shared.traffic().tally.since(first);
        if tally.is_empty() {
            return;
        }
        let counters = self.counters();
        let parts = tally.chunks(MOST).into_iter().map(|tally| CountsMessage {
            process: tallies.process,
            tally,
        });
        for told in parts {
            self.on_counts(&shared.options.name, told.clone());
            for peer in &counters {
                self.send(*peer, Datagram::Counts(told.clone()));
            }
        }
    }

    /// Who sums up: the holder of the lease and those that stand by.
    fn counters(&self) -> BTreeSet<SocketAddr> {
        let view = self.0.shared.view.load();
        let listed = self.0.listed.borrow();
        let holder = view.leader.as_ref().and_then(|lead| Name::new(&lead.holder).ok());
        let holder = holder.and_then(|name| Some(listed.get(&name)?.listing.peer_address));
        let stand_by = self.0.tallies.stand_by.borrow();
        let all = holder.into_iter().chain(stand_by.iter().copied());
        all.filter(|peer| *peer != self.0.shared.options.peer).collect()
    }

    /// The first window of which something was counted.
    pub fn first_counted(&self) -> Option<Window> {
        self.0.tallies.sums.borrow().first_window()
    }

    /// What all instances counted in a window.
    pub fn counted(&self, window: Window) -> Counts {
        self.0.tallies.sums.borrow().total(window)
    }
}
