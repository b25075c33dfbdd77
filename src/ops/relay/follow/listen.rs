//! Hearing of changes from peers, instead of asking the store.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::relay::watchers::SyncStatus;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Item;
use sequoiastream_peer::message::StoreNews;
use sequoiastream_peer::message::StorePage;

use crate::log_event;
use crate::ops::relay::follow::Follower;
use crate::ops::relay::follow::rest;
use crate::ops::relay::known;
use crate::ops::relay::peers::Told;
use crate::util::clock;

impl Follower {
    /// Listens to the peers until `until`, and takes what they know more.
    pub(super) async fn listen(&mut self, until: Time) {
        self.wait_for_news(until.since(clock::now())).await;
        // Asks only once: while a fleet starts, some peer is always ahead, and a loop would ask without a pause.
        let is_told = self.ask_peer().await;
        self.on_confirmed();
        if is_told {
            // What follows is fetched together: taking changes in costs as much as the fleet is large, each time.
            self.pass(rest(self.shared.view.load().instances)).await;
        }
    }

    /// Waits until a peer knows more, for at most `timeout`.
    pub(super) async fn wait_for_news(&mut self, timeout: Duration) {
        let fleet = self.fleet.clone();
        tokio::select! {
            () = fleet.news() => {}
            () = self.pass(timeout) => {}
        }
    }

    /// Takes what a peer knows of the store, if one knows more; whether one did.
    pub(super) async fn ask_peer(&mut self) -> bool {
        match self
            .fleet
            .ask_ahead(self.known.revision(), self.may_ask_other_zones(clock::now()))
            .await
        {
            Some(Told::All(peer, first)) => self.on_first_page(peer, first).await,
            Some(Told::Since(peer, told)) => self.on_told(peer, told).await,
            None => false,
        }
    }

    /// Fetches the pages that follow `first` and takes them all; `false` if a page could not be fetched.
    async fn on_first_page(&mut self, peer: SocketAddr, first: StorePage) -> bool {
        let all = self.fleet.ask_remaining(peer, first).await;
        let is_told = all.is_some();
        all.into_iter().for_each(|all| self.on_state(all));
        is_told
    }

    /// Takes all that a peer knows of the store.
    fn on_state(&mut self, told: StorePage) {
        self.doubt();
        let word = SyncStatus::new(told.revision, told.age);
        let items: Vec<Item> = told.items.into_iter().map(known::from_message).collect();
        self.on_all(word.revision, &items);
        self.known.on_peer_changes(clock::now(), word);
        self.complete = true;
        log_event!(
            info,
            log_event::PEER_TOLD,
            revision = word.revision,
            items = items.len()
        );
    }

    /// Takes what happened in the store since, as a peer knows it; whether all of it could be had.
    async fn on_told(&mut self, peer: SocketAddr, told: StoreNews) -> bool {
        let mut items: Vec<Item> = told.items.into_iter().map(known::from_message).collect();
        for (revision, key) in &told.large {
            match self.large(*revision, key).await {
                Some(item) => items.push(item),
                None => {
                    return match self.fleet.ask_first_page(peer).await {
                        Some(first) => self.on_first_page(peer, first).await,
                        None => false,
                    };
                }
            }
        }
        self.doubt();
        let removed = told
            .removed
            .into_iter()
            .map(|(revision, key)| Change::Removed { key, revision });
        let mut changes: Vec<Change> = items.into_iter().map(Change::Put).chain(removed).collect();
        changes.sort_by_key(revision);
        self.on_changes(changes);
        self.known
            .on_peer_changes(clock::now(), SyncStatus::new(told.revision, told.age));
        self.complete = true;
        true
    }

    /// Doubts what a peer tells of entries that vanished, if the store failed this instance and nobody has confirmed
    /// anything since.
    ///
    /// Failure guarded against: the store was away, entries of engines lapsed meanwhile, and an instance that hears of its
    /// return from a peer takes their removal for their end. A peer's own failures say nothing: it may have been cut off
    /// alone, and an engine that has left would keep its work at all who hear of it from that peer.
    fn doubt(&mut self) {
        if self.failures > 0 {
            self.engines.on_store_failure(clock::now());
        }
    }

    /// Notes that peers have heard of the store again since it failed this instance.
    pub(super) fn on_heard(&mut self, now: Time) {
        let confirmed = self.known.age(now).map(|age| now - age);
        if self.failures > 0 && confirmed > self.failed {
            self.doubt();
            self.on_success();
        }
    }

    /// The item under a key from the store itself, as of a revision or later. One that is gone by then counts as not had:
    /// the peer's whole state says so.
    async fn large(&self, revision: u64, key: &str) -> Option<Item> {
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

fn revision(change: &Change) -> u64 {
    match change {
        Change::Put(item) => item.revision,
        Change::Removed { revision, .. } => *revision,
    }
}
