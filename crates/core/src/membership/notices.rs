//! Notices that upstreams are leaving, made by the instances that read the platform's list and passed on in heartbeats.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::membership::LeavingNotice;
use crate::membership::member_table::ago;
use crate::membership::member_table::millis;
use crate::time::Time;

/// How long an upstream counts as leaving after the platform's list last showed it as leaving.
const NOTICE_TTL: Duration = Duration::from_secs(30);

/// How long the last notice for an upstream is kept, so that an earlier one in a message that is read late is not taken
/// for a new one.
const NOTICE_RETENTION: Duration = Duration::from_secs(600);

/// How long a notice is sent to peers. One that no longer counts tells them that an earlier one doesn't count either.
/// It is shorter than the retention by more than messages are delayed, so that instances don't return to each other
/// what they have just removed.
const NOTICE_SHARED: Duration = Duration::from_secs(300);

/// Maximum number of notices in a heartbeat.
const MAX_NOTICES: usize = 12;

/// The last known notice that an upstream is leaving.
#[derive(Debug, Clone, Copy)]
struct Notice {
    /// Its number, see [`LeavingNotice::number`].
    number: u64,
    /// When the list showed the upstream as leaving, by our clock; `None` if that was before our clock started.
    at: Option<Time>,
    /// Whether this instance read that list itself.
    own: bool,
}

impl Notice {
    /// Whether the list showed the upstream as leaving no longer than `limit` ago.
    fn is_within(&self, now: Time, limit: Duration) -> bool {
        self.at.is_some_and(|at| now.since(at) <= limit)
    }

    /// Merges a notice received from a peer.
    ///
    /// Guards against notices that never end: the age in a message excludes its transit time, so a notice would become
    /// younger each time it is passed on, and one that is read late would be renewed for the whole fleet. A higher
    /// number replaces a lower one, and a notice with the same number can only become older. The numbers depend on wall
    /// clocks: a later reading of our own is therefore kept, under a number higher than the received one.
    fn merge(&mut self, received: Notice) {
        if received.number > self.number {
            match self.own && self.at > received.at {
                true => self.number = received.number.saturating_add(1),
                false => *self = received,
            }
        } else if received.number == self.number && !self.own {
            self.at = self.at.min(received.at);
        }
    }
}

/// The last known notice for each upstream.
#[derive(Debug, Default)]
pub(super) struct Notices(BTreeMap<SocketAddr, Notice>);

impl Notices {
    /// Records that the list shows the upstream as leaving, at the time `wall` by our wall clock in milliseconds. The
    /// notice gets a number higher than that of the last known one. An instance that knows none uses its wall clock,
    /// which exceeds the numbers that others may still know; if the clock is behind, it learns their number from their
    /// heartbeats.
    pub(super) fn on_listed(&mut self, now: Time, address: SocketAddr, wall: u64) {
        let known = self.0.get(&address).map_or(0, |notice| notice.number);
        let notice = Notice {
            number: wall.max(known.saturating_add(1)),
            at: Some(now),
            own: true,
        };
        self.0.insert(address, notice);
    }

    /// Records a notice received from a peer.
    pub(super) fn on_received(&mut self, now: Time, notice: LeavingNotice) {
        let received = Notice {
            number: notice.number,
            at: ago(now, notice.age),
            own: false,
        };
        let known = self.0.entry(notice.address).or_insert(received);
        known.merge(received);
    }

    /// Removes notices that are too old to be received again.
    pub(super) fn prune(&mut self, now: Time) {
        let age = |notice: &Notice| now.since(notice.at.unwrap_or_default());
        self.0.retain(|_, notice| age(notice) <= NOTICE_RETENTION);
    }

    /// The upstreams that are leaving.
    pub(super) fn leaving(&self, now: Time) -> BTreeSet<SocketAddr> {
        let current = self.0.iter().filter(|(_, n)| n.is_within(now, NOTICE_TTL));
        current.map(|(address, _)| *address).collect()
    }

    /// The most recent notices, up to [`MAX_NOTICES`].
    pub(super) fn to_send(&self, now: Time) -> Vec<LeavingNotice> {
        let shared = self.0.iter().filter(|(_, n)| n.is_within(now, NOTICE_SHARED));
        let mut notices: Vec<LeavingNotice> = shared
            .map(|(address, notice)| LeavingNotice {
                address: *address,
                age: notice.at.map_or(u32::MAX, |at| millis(now.since(at))),
                number: notice.number,
            })
            .collect();
        notices.sort_by_key(|notice| notice.age);
        notices.truncate(MAX_NOTICES);
        notices
    }
}
