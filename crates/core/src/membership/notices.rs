//! Notices that upstreams are leaving, created by the instances that read the platform's list and relayed in
//! heartbeats.

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

/// How long the last notice for an upstream is kept, so that an earlier notice in a delayed message is not accepted as
/// a new one.
const NOTICE_RETENTION: Duration = Duration::from_secs(600);

/// How long a notice is sent to peers. An expired notice is still sent, so that peers discard earlier ones. This is
/// shorter than [`NOTICE_RETENTION`] by more than the delay of messages, so that peers don't send each other notices
/// that they have just removed.
const NOTICE_SEND_PERIOD: Duration = Duration::from_secs(300);

/// Maximum number of notices in a heartbeat.
const MAX_NOTICES: usize = 12;

/// The last known notice that an upstream is leaving.
#[derive(Debug, Clone, Copy)]
struct Notice {
    /// See [`LeavingNotice::number`].
    number: u64,
    /// When the list showed the upstream as leaving, by our clock; `None` if that was before our clock started.
    at: Option<Time>,
    /// Whether this instance read that list itself instead of receiving the notice from a peer.
    is_local: bool,
}

impl Notice {
    /// Whether the list showed the upstream as leaving at most `limit` ago.
    fn is_within(&self, now: Time, limit: Duration) -> bool {
        self.at.is_some_and(|at| now.since(at) <= limit)
    }

    /// Merges a notice received from a peer.
    ///
    /// Guards against notices that never expire: the age in a message excludes its transit time, so the age of a notice
    /// would decrease with each relay, and a delayed message would renew it for the whole fleet. A higher number
    /// replaces a lower one, and the age of a notice with the same number can only increase. Numbers depend on wall
    /// clocks that may differ, so a later local reading of the list is kept and gets a number above the received one.
    fn merge(&mut self, received: Notice) {
        if received.number > self.number {
            match self.is_local && self.at > received.at {
                true => self.number = received.number.saturating_add(1),
                false => *self = received,
            }
        } else if received.number == self.number && !self.is_local {
            self.at = self.at.min(received.at);
        }
    }
}

/// The last known notice for each upstream.
#[derive(Debug, Default)]
pub(super) struct Notices(BTreeMap<SocketAddr, Notice>);

impl Notices {
    /// Records that the list shows the upstream as leaving; `wall_millis` is the time by our wall clock. The notice
    /// gets a number above that of the last known notice. Without a known notice, the number is the wall clock time,
    /// which exceeds the numbers that peers may still know; if our clock is behind, their heartbeats report the higher
    /// number.
    pub(super) fn on_listed(&mut self, now: Time, address: SocketAddr, wall_millis: u64) {
        let known = self.0.get(&address).map_or(0, |notice| notice.number);
        let notice = Notice {
            number: wall_millis.max(known.saturating_add(1)),
            at: Some(now),
            is_local: true,
        };
        self.0.insert(address, notice);
    }

    /// Records a notice received from a peer.
    pub(super) fn on_received(&mut self, now: Time, notice: LeavingNotice) {
        let received = Notice {
            number: notice.number,
            at: ago(now, notice.age),
            is_local: false,
        };
        let known = self.0.entry(notice.address).or_insert(received);
        known.merge(received);
    }

    /// Removes notices that are older than [`NOTICE_RETENTION`].
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
        let sendable = self
            .0
            .iter()
            .filter(|(_, n)| n.is_within(now, NOTICE_SEND_PERIOD));
        let mut notices: Vec<LeavingNotice> = sendable
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
