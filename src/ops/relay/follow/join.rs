//! Startup in a fleet that is too large for every instance to read the whole store.
//!
//! Guards against overloading the store's link when a fleet of hundreds of instances with thousands of engines starts
//! or restarts, and each instance reads every page. An instance that finds more than one page lists the instances of
//! its zone and loads the rest from one of them; only watchers read everything.

use std::time::Duration;

use sequoiastream_core::time::Time;

use crate::ops::relay::follow::Follower;
use crate::ops::relay::register;
use crate::util::clock;

/// Time after the start by which instances that start together have registered and can be listed.
const REGISTRATION_TIME: Duration = Duration::from_millis(500);

/// Time after the start by which these instances have exchanged heartbeats and know which of them are watchers.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_000);

/// Longest wait between two attempts to find a peer that knows the store.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Progress of an instance's startup.
#[derive(Debug)]
pub(super) struct Startup {
    started: Time,
    stage: Stage,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The size of the store is unknown.
    Initial,
    /// The store holds more than one page; the instances of the zone are not listed yet.
    Large,
    /// The instances of the zone were listed; a peer is to send the contents of the store.
    Listed,
    /// This instance reads the whole store itself.
    Reading,
}

impl Startup {
    /// Startup of an instance that was started at `started`.
    pub(super) fn new(started: Time) -> Startup {
        let stage = Stage::Initial;
        Startup { started, stage }
    }

    /// Whether this instance waits for a peer to send the contents of the store.
    pub(super) fn is_joining(&self) -> bool {
        matches!(self.stage, Stage::Large | Stage::Listed)
    }

    /// Notes that the store holds more than one page. Returns whether to stop reading and load the rest from a peer.
    pub(super) fn defer_large_read(&mut self) -> bool {
        let is_initial = self.stage == Stage::Initial;
        if is_initial {
            self.stage = Stage::Large;
        }
        is_initial
    }
}

impl Follower {
    /// Loads the contents of the store from a peer, or reads the store if this instance is a watcher or no peer answers
    /// in time.
    pub(super) async fn join(&mut self, now: Time) {
        let rank = self.fleet.watch_rank();
        let age = now.since(self.startup.started);
        let fallback_age = self.shared.reloadable().apply_limit.fallback_age(rank);
        let must_read = self.startup.stage == Stage::Listed && age >= DISCOVERY_TIME && rank.is_watcher();
        if must_read || age >= fallback_age {
            self.startup.stage = Stage::Reading;
            let result = self.read_all().await;
            return self.on_result(result).await;
        }
        if self.startup.stage == Stage::Large && age >= REGISTRATION_TIME {
            let listed = register::list_zone(&self.shared, self.store.as_ref(), &self.fleet).await;
            self.startup.stage = Stage::Listed;
            if let Err(error) = listed {
                return self.on_failure(&error).await;
            }
        }
        self.wait_for_update(RETRY_INTERVAL).await;
        self.ask_peer(clock::now()).await;
    }

    /// Whether peers of other zones may be asked. During startup, peers of this zone are preferred because a full
    /// transfer between zones costs more.
    pub(super) fn may_ask_other_zones(&self, now: Time) -> bool {
        if !self.known.revision().is_zero() {
            return true;
        }
        let fallback_age = self
            .shared
            .reloadable()
            .apply_limit
            .fallback_age(self.fleet.watch_rank());
        !self.startup.is_joining() || now.since(self.startup.started) >= fallback_age / 2
    }
}
