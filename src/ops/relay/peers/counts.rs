//! Counts of requests by workspace, as this instance sends them to its peers and receives them, and the estimate of
//! true time that assigns requests to windows.

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

/// Time between two messages: an instance that is killed loses what it counted since the last one.
const SEND_INTERVAL: Duration = Duration::from_millis(500);

/// Number of windows that each message covers: the current one, and those that may not have been decided yet.
const REPORTED_WINDOWS: u64 = 3;

/// Maximum number of workspaces in a message: with names of twenty bytes, it has the maximum length of a datagram.
const MAX_WORKSPACES: usize = 48;

/// Number of instances that add up the counts besides the lease holder, which reports them: the next holder is most
/// likely one of them.
pub(super) const STANDBY_COUNT: usize = 3;

/// Counts of this instance and its peers, and what is needed to send them.
#[derive(Debug, Default)]
pub(super) struct UsageState {
    /// Counts of all instances.
    totals: RefCell<FleetCounts>,
    /// Wall clocks of all instances.
    true_time: RefCell<TrueTime>,
    /// Instances that add up the counts besides the lease holder.
    standbys: RefCell<Vec<SocketAddr>>,
    /// The first window that may still be decided, as far as this instance or a peer that told it knows.
    decided_until: Cell<Window>,
    /// When counts were last sent.
    last_sent: Cell<Time>,
    /// Identifies this start of the instance; random.
    process: u64,
}

impl UsageState {
    /// Creates the empty state of a newly started instance.
    pub(super) fn new() -> UsageState {
        UsageState {
            process: rand::random(),
            ..UsageState::default()
        }
    }
}

impl Fleet {
    /// Handles the reading of an instance's wall clock, in microseconds since the epoch.
    pub(super) fn on_clock(&self, now: Time, name: &Name, wall: u64) {
        let mut true_time = self.0.usage.true_time.borrow_mut();
        true_time.on_clock(now, name.as_str(), wall);
    }

    /// Handles the counts of an instance.
    pub(super) fn on_counts(&self, name: &Name, message: CountsMessage) {
        let source = CountSource {
            instance: name.to_string(),
            process: message.process,
        };
        self.0.usage.totals.borrow_mut().on_counts(source, message.tally);
    }

    /// Handles that all windows before `next` are decided, as this instance or a peer did.
    pub fn on_decided(&self, next: Window) {
        let known = &self.0.usage.decided_until;
        known.set(known.get().max(next));
    }

    /// The first window that may still be decided. The record in the store may name an earlier one if the store was restored
    /// from a copy.
    pub fn decided_until(&self) -> Window {
        self.0.usage.decided_until.get()
    }

    /// Sets the standbys: the first of the live instances.
    pub(super) fn set_standbys(&self, standbys: Vec<SocketAddr>) {
        *self.0.usage.standbys.borrow_mut() = standbys;
    }

    /// Sends the counts of this instance to the aggregators, if [`SEND_INTERVAL`] has passed. Also updates the estimate
    /// of true time.
    pub(super) fn send_counts(&self, now: Time) {
        let shared = &self.0.shared;
        let Some(acts) = &shared.options.leader else {
            return;
        };
        let usage = &self.0.usage;
        if now.since(usage.last_sent.get()) < SEND_INTERVAL {
            return;
        }
        usage.last_sent.set(now);
        self.on_clock(now, &shared.options.name, clock::wall_micros());
        if let Some(offset) = usage.true_time.borrow_mut().offset(now) {
            shared.on_true_offset(offset);
        }
        let aggregators = self.aggregators();
        let decided = usage.decided_until.get();
        if decided > Window::default() {
            for peer in &aggregators {
                self.send(*peer, Datagram::Decided(decided));
            }
        }
        let current = Window::at(shared.true_micros(now), acts.window);
        let first = Window((current.0 + 1).saturating_sub(REPORTED_WINDOWS));
        let tally = shared.traffic().tally.since(first);
        if tally.is_empty() {
            return;
        }
        let messages = tally
            .chunks(MAX_WORKSPACES)
            .into_iter()
            .map(|tally| CountsMessage {
                process: usage.process,
                tally,
            });
        for message in messages {
            self.on_counts(&shared.options.name, message.clone());
            for peer in &aggregators {
                self.send(*peer, Datagram::Counts(message.clone()));
            }
        }
    }

    /// Peers that add up the counts: the lease holder and the standbys.
    fn aggregators(&self) -> BTreeSet<SocketAddr> {
        let view = self.0.shared.view.load();
        let listed = self.0.listed.borrow();
        let holder = view.leader.as_ref().and_then(|lead| Name::new(&lead.holder).ok());
        let holder = holder.and_then(|name| Some(listed.get(&name)?.listing.peer_address));
        let standbys = self.0.usage.standbys.borrow();
        let all = holder.into_iter().chain(standbys.iter().copied());
        all.filter(|peer| *peer != self.0.shared.options.peer).collect()
    }

    /// The first window with known counts.
    pub fn first_counted_window(&self) -> Option<Window> {
        self.0.usage.totals.borrow().first_window()
    }

    /// The sum of a window over all instances.
    pub fn total_counts(&self, window: Window) -> Counts {
        self.0.usage.totals.borrow().total(window)
    }
}
