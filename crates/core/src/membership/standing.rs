//! Whether an instance knows the configuration in force well enough to take new work.
//!
//! Failure guarded against: an instance is cut off, others accept a change (an engine is drained), and callers
//! that still reach the cut-off instance have their requests sent to the drained engine. The rule and the ways
//! that were weighed are in `docs/design/isolation.md`.

use std::time::Duration;

/// What a group that hears each other, but not the key-value service, does while an instance of the last
/// list is silent. That instance may have crashed, or it may be accepting changes on the far side of a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PartitionPolicy {
    /// Takes no new work: what was decided is in force wherever work is taken.
    #[default]
    Stop,
    /// Goes on: the fleet serves, perhaps by an old configuration.
    Serve,
}

/// How an instance stands towards the configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Standing {
    /// It hears the key-value service, or a peer that does.
    #[default]
    Current,
    /// Nobody whom it hears has the key-value service, and all of the last list are heard: nothing can have
    /// been accepted, since every change goes through an instance.
    Outage,
    /// As before, but an instance of the last list is silent and the rule is to go on.
    Guessing,
    /// As before, and the rule is to stop.
    Cut,
    /// It hears neither the key-value service nor a peer.
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

/// What a judgement rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reachability {
    /// Time since this instance had an answer of the key-value service, if it ever had one.
    pub own_contact: Option<Duration>,
    /// Least time since any peer that was heard of lately had one.
    pub peer_contact: Option<Duration>,
    /// Whether the list of instances was ever read.
    pub listed: bool,
    /// Peers heard of lately.
    pub heard: usize,
    /// Instances of the last list, or heard of since, that are silent; not counting this one and those that left.
    pub silent: usize,
}

/// How an instance with this evidence stands. `stale` is the longest time for which what is known of the
/// configuration may go unconfirmed.
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
    if reachability.listed && reachability.silent == 0 {
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
