//! Following the store through peers: changes are fetched from a peer that is ahead, instead of from the store.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::min_expiry_outage;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::watchers::ConfirmedStatus;
use sequoiastream_core::relay::watchers::ask_timeout;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Item;
use sequoiastream_peer::message::StoreChanges;
use sequoiastream_peer::message::StorePage;

use crate::log_event;
use crate::ops::relay::follow::Follower;
use crate::ops::relay::follow::batch_delay;
use crate::ops::relay::known;
use crate::ops::relay::peers::PeerAnswer;
use crate::ops::relay::peers::StoreParts;
use crate::util::clock;

impl Follower {
    /// Waits until `until` at the latest for a peer that is ahead, then fetches and applies its changes.
    pub(super) async fn listen(&mut self, until: Time) {
        self.wait_for_update(until.since(clock::now())).await;
        // Asks only once: while a fleet starts, some peer is always ahead, and a loop would ask without a pause.
        let is_updated = self.ask_peer(until).await;
        self.on_confirmed();
        if is_updated {
            // Later changes are fetched in one batch: the cost of applying changes grows with the size of the fleet,
            // however few they are.
            let delay = batch_delay(self.shared.view.load().instances);
            self.wait(delay.min(until.since(clock::now()))).await;
        }
    }

    /// Applies the changes of peers that are ahead until `until`, when the next call to the store is due.
    ///
    /// Guards against an instance that detects the recovery of the store seconds after its peers: it would send
    /// requests to engines that have left meanwhile, and keep engines whose entry is missing for longer than its peers
    /// do. The next call is not made earlier, to limit the load on a store that refuses calls.
    pub(super) async fn listen_during_pause(&mut self, until: Time) {
        while clock::now() < until {
            self.listen(until).await;
            self.on_tick();
            self.detect_recovery(clock::now());
        }
    }

    /// Waits until a peer is ahead or this instance becomes a watcher or stops being one, for at most `timeout`.
    pub(super) async fn wait_for_update(&mut self, timeout: Duration) {
        let fleet = self.fleet.clone();
        tokio::select! {
            () = fleet.wait_for_update() => {}
            () = self.wait(timeout) => {}
        }
    }

    /// Fetches and applies the changes of a peer that is ahead; this instance calls the store itself at `next_call`.
    /// Returns whether there was one and its changes were applied.
    pub(super) async fn ask_peer(&mut self, next_call: Time) -> bool {
        let now = clock::now();
        let timeout = ask_timeout(next_call.since(now));
        let answer = self
            .fleet
            .ask_for_changes(self.known.revision(), self.may_ask_other_zones(now), timeout)
            .await;
        let Some(PeerAnswer { peer, asked, parts }) = answer else {
            return false;
        };
        match parts {
            StoreParts::FirstPage(first) => self.on_first_page(peer, asked, first).await,
            StoreParts::Changes(changes) => self.on_peer_changes(peer, asked, changes).await,
        }
    }

    /// Fetches the pages that follow `first` and applies all of them; `false` if a page could not be fetched.
    async fn on_first_page(&mut self, peer: SocketAddr, asked: Time, first: StorePage) -> bool {
        let all = self.fleet.ask_remaining(peer, first).await;
        let is_complete = all.is_some();
        all.into_iter().for_each(|all| self.on_peer_snapshot(asked, all));
        is_complete
    }

    /// Applies the complete contents of the store as sent by a peer in answer to a request sent at `asked`.
    fn on_peer_snapshot(&mut self, asked: Time, page: StorePage) {
        let status = ConfirmedStatus::new(page.revision, page.age, page.confirmation);
        let revision = page.revision;
        let items: Vec<Item> = page.items.into_iter().map(known::from_message).collect();
        self.on_snapshot(as_of(asked, status), revision, &items);
        self.known.on_peer_changes(asked, status);
        self.complete = true;
        log_event!(info, log_event::PEER_TOLD, %revision, items = items.len());
    }

    /// Applies the changes since the known revision as sent by a peer in answer to a request sent at `asked`. Returns
    /// whether all of them could be fetched.
    async fn on_peer_changes(&mut self, peer: SocketAddr, asked: Time, news: StoreChanges) -> bool {
        let mut items: Vec<Item> = news.items.into_iter().map(known::from_message).collect();
        for (revision, key) in &news.large {
            match self.fetch_large(*revision, key).await {
                Some(item) => items.push(item),
                None => {
                    let asked = clock::now();
                    return match self.fleet.ask_first_page(peer).await {
                        Some(first) => self.on_first_page(peer, asked, first).await,
                        None => false,
                    };
                }
            }
        }
        let removed = news
            .removed
            .into_iter()
            .map(|(revision, key)| Change::Removed { key, revision });
        let mut changes: Vec<Change> = items.into_iter().map(Change::Put).chain(removed).collect();
        changes.sort_by_key(change_revision);
        let status = ConfirmedStatus::new(news.revision, news.age, news.confirmation);
        let latest = as_of(asked, status);
        let known = self.known.revision();
        if news.revision.epoch > known.epoch {
            let is_lost = |change: &&Change| matches!(change, Change::Removed { revision, .. } if revision.epoch > known.epoch);
            let lost = changes.iter().filter(is_lost).count();
            self.on_restored(latest, news.revision, lost);
        }
        self.on_changes(latest, changes);
        self.known.on_peer_changes(asked, status);
        self.complete = true;
        true
    }

    /// Makes removals of engine entries that the store or a peer reports not trusted, if the last calls of this
    /// instance to the store failed, nothing was confirmed since, and the store was out for long enough for entries to
    /// expire. What is applied next shows the state of the store as of `latest`.
    ///
    /// Guards against an instance that learns from a peer or from the store that the store is back after an outage, and
    /// drops engines whose entries expired during the outage. The time since the last failed call is no criterion,
    /// because a pause or an answer may take seconds. Only failures of this instance count, not those of the peer: the
    /// peer alone may have been partitioned from the store, and otherwise an engine that has left would continue to get
    /// work from all instances that learn of its removal from that peer.
    pub(super) fn distrust_removals(&mut self, latest: Time) {
        if self.failures == 0 {
            return;
        }
        let heartbeat = self.shared.reloadable().heartbeat;
        if let Some(at) = self.known.outage_end(latest, min_expiry_outage(heartbeat)) {
            self.engines.on_outage_end(at);
        }
    }

    /// Ends the failure state if peers have confirmed the state of the store since this instance's last failed call.
    pub(super) fn detect_recovery(&mut self, now: Time) {
        let confirmed = self.known.age(now).map(|age| now - age);
        if let Some(at) = confirmed.filter(|_| self.failures > 0 && confirmed > self.last_failure) {
            self.distrust_removals(at);
            self.on_success();
        }
    }

    /// Reads the item under a key from the store itself, at `revision` or later; `None` if it could not be read. An
    /// item that was removed meanwhile counts as not read: the caller then loads the peer's complete state, which shows
    /// the removal.
    async fn fetch_large(&self, revision: Revision, key: &str) -> Option<Item> {
        match self.store.range(key, "").await {
            Ok(page) => {
                let found = page.items.into_iter().find(|item| item.key == key);
                found.filter(|item| item.revision >= revision)
            }
            Err(error) => {
                log_event!(info, log_event::KV_FAILED, %error, call = "large");
                None
            }
        }
    }
}

/// The time whose state an answer shows that a peer gave to a request sent at `asked`: the store had confirmed it to the
/// peer before.
fn as_of(asked: Time, status: ConfirmedStatus) -> Time {
    status.status.as_of(asked).unwrap_or(asked)
}

fn change_revision(change: &Change) -> Revision {
    match change {
        Change::Put(item) => item.revision,
        Change::Removed { revision, .. } => *revision,
    }
}
