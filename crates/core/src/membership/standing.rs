//! Whether an instance's configuration is recent enough for it to take new work.
//!
//! Failure guarded against: an instance is partitioned from the others, these accept a change (an engine is drained),
//! and requests of callers that still reach the partitioned instance are sent to the drained engine. The rule and its
//! alternatives are described in `docs/design/isolation.md`.

use std::time::Duration;

/// What a group of instances does that hear each other, but not the key-value service, while an instance on the last
/// list is silent. That instance may have crashed, or it may be accepting changes on the other side of a network
/// partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PartitionPolicy {
    /// Take no new work, so that accepted changes are in force wherever work is taken.
    #[default]
    Stop,
    /// Continue to serve, possibly with an outdated configuration.
    Serve,
}

/// How certain an instance is to have the current configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Standing {
    /// The key-value service is reachable, directly or for a peer that is heard from.
    #[default]
    Current,
    /// Neither this instance nor any peer it hears from reaches the key-value service, but all instances on the last
    /// list are heard from and no peer has a later version: no change can have been accepted, since every change goes
    /// through an instance.
    Outage,
    /// As for `Outage`, but an instance on the last list is silent or an instance has a later version, and the policy
    /// is [`PartitionPolicy::Serve`].
    Guessing,
    /// As for `Guessing`, but the policy is [`PartitionPolicy::Stop`].
    Cut,
    /// Neither the key-value service nor any peer is heard from.
    Isolated,
}

impl Standing {
    /// Whether new work may be taken.
    pub fn accepts_work(self) -> bool {
        match self {
            Standing::Current | Standing::Outage | Standing::Guessing => true,
            Standing::Cut | Standing::Isolated => false,
        }
    }
}

/// What an instance knows about its contact with the key-value service and its peers; determines its [`Standing`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reachability {
    /// Time since this instance last had a response from the key-value service; `None` if it never had one.
    pub own_contact: Option<Duration>,
    /// Shortest time since a peer that was heard from recently had such a response.
    pub peer_contact: Option<Duration>,
    /// Whether the platform's list of instances was ever read.
    pub listed: bool,
    /// Number of peers heard from recently.
    pub heard: usize,
    /// Number of silent instances among those on the last list or heard from since; this instance and those that are
    /// leaving are not counted.
    pub silent: usize,
    /// Number of peers heard from recently whose configuration version is later than the local one.
    pub ahead: usize,
}

/// Determines the standing of an instance. `stale_after` is the maximum time since the configuration was last
/// confirmed to be current.
pub fn evaluate_standing(
    reachability: &Reachability,
    stale_after: Duration,
    policy: PartitionPolicy,
) -> Standing {
    let confirmed = [reachability.own_contact, reachability.peer_contact]
        .into_iter()
        .flatten()
        .min();
    if confirmed.is_some_and(|since| since <= stale_after) {
        return Standing::Current;
    }
    if reachability.listed && reachability.silent == 0 && reachability.ahead == 0 {
        return Standing::Outage;
    }
    if reachability.heard == 0 {
        return Standing::Isolated;
    }
    match policy {
        PartitionPolicy::Serve => Standing::Guessing,
        PartitionPolicy::Stop => Standing::Cut,
    }
}
