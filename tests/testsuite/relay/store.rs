//! An in-memory store that loses answers, refuses writes and drops its history as a test demands.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Changes;
use sequoiastream_kv::store::Item;
use sequoiastream_kv::store::LeaseId;
use sequoiastream_kv::store::Page;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;
use sequoiastream_kv::store::Write;
use tokio::sync::watch;

/// A copy of the store's contents.
#[derive(Debug, Clone)]
pub struct Copy {
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is applied, and its answer is lost.
    AppliedUnanswered,
    /// It is not applied and gets no answer; the store stops answering.
    DroppedUnanswered,
    /// It is refused with status 429.
    Refused,
    /// It gets no answer, and arrives when [`FakeStore::deliver_delayed`] is called.
    Delayed,
}

#[derive(Debug, Default)]
struct State {
    items: RefCell<BTreeMap<String, Item>>,
    changes: RefCell<Vec<Change>>,
    outcomes: RefCell<VecDeque<WriteOutcome>>,
    delayed: RefCell<Vec<Write>>,
    down: Cell<bool>,
    unresponsive: Cell<bool>,
    compacted: Cell<u64>,
    page_size: Cell<Option<usize>>,
    refuse_alternate: Cell<bool>,
    refuse_ranges: Cell<bool>,
    refuse_watches: Cell<bool>,
    batch_size: Cell<Option<usize>>,
    calls: Cell<Calls>,
    epoch: Cell<u64>,
}

/// Number of calls to the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct Calls {
    /// Reads of ranges.
    pub ranges: u32,
    /// Writes.
    pub writes: u32,
    /// Watches.
    pub watches: u32,
}

/// The store. Cheap to clone; stays on one thread.
#[derive(Debug, Clone)]
pub struct FakeStore {
    state: Rc<State>,
    revision: Rc<watch::Sender<u64>>,
}

impl FakeStore {
    /// An empty store.
    pub fn new() -> FakeStore {
        FakeStore {
            state: Rc::default(),
            revision: Rc::new(watch::Sender::new(1)),
        }
    }

    /// Revision of its last change.
    pub fn revision(&self) -> Revision {
        self.at(*self.revision.borrow())
    }

    /// Puts a value, as another client would.
    pub fn put(&self, key: &str, value: &str) {
        self.put_bytes(key, Bytes::from(value.to_string()));
    }

    fn put_bytes(&self, key: &str, value: Bytes) {
        let number = *self.revision.borrow() + 1;
        let revision = self.at(number);
        let created = self
            .state
            .items
            .borrow()
            .get(key)
            .map_or(revision, |item| item.created);
        let item = Item {
            key: key.to_string(),
            value,
            revision,
            created,
        };
        self.state
            .items
            .borrow_mut()
            .insert(key.to_string(), item.clone());
        self.state.changes.borrow_mut().push(Change::Put(item));
        self.revision.send_replace(number);
    }

    /// Removes a key, as another client would.
    pub fn remove(&self, key: &str) {
        let number = *self.revision.borrow() + 1;
        let revision = self.at(number);
        self.state.items.borrow_mut().remove(key);
        let key = key.to_string();
        self.state
            .changes
            .borrow_mut()
            .push(Change::Removed { key, revision });
        self.revision.send_replace(number);
    }

    /// The revision with this number in the current epoch.
    fn at(&self, number: u64) -> Revision {
        Revision::new(self.state.epoch.get(), number)
    }

    /// Drops the history of changes up to now and ends the watches.
    pub fn compact(&self) {
        self.state.compacted.set(*self.revision.borrow());
        self.revision.send_modify(|_| {});
    }

    /// Drops the history of changes up to now and cuts the watches, as a store does that stops keeping them.
    pub async fn cut_watches(&self) {
        self.compact();
        self.state.down.set(true);
        self.set_unresponsive(false);
        // The watches that are pending see this before it ends.
        tokio::task::yield_now().await;
        self.state.down.set(false);
    }

    /// Copies the contents.
    pub fn copy(&self) -> Copy {
        Copy {
            items: self.state.items.borrow().clone(),
            revision: *self.revision.borrow(),
        }
    }

    /// Returns to a copy: what was written since is gone, and its revisions are given out again. Pending watches are cut.
    pub async fn restore(&self, copy: &Copy) {
        self.state.down.set(true);
        self.replace(copy);
        // The watches that are pending see this before it ends.
        tokio::task::yield_now().await;
        self.state.down.set(false);
    }

    /// Replaces the contents and the history by those of a copy, in a new epoch.
    fn replace(&self, copy: &Copy) {
        let epoch = self.state.epoch.get() + 1;
        self.state.epoch.set(epoch);
        let mut items = copy.items.clone();
        for item in items.values_mut() {
            (item.revision.epoch, item.created.epoch) = (epoch, epoch);
        }
        *self.state.items.borrow_mut() = items;
        let mut changes = self.state.changes.borrow_mut();
        changes.retain(|change| number_of(change) <= copy.revision);
        for change in changes.iter_mut() {
            match change {
                Change::Put(item) => (item.revision.epoch, item.created.epoch) = (epoch, epoch),
                Change::Removed { revision, .. } => revision.epoch = epoch,
            }
        }
        self.revision.send_replace(copy.revision);
    }

    /// Sets the maximum number of items per page.
    pub fn set_page_size(&self, limit: usize) {
        self.state.page_size.set(Some(limit));
    }

    /// Sets whether every second read of a range is refused with status 429.
    pub fn set_refuse_alternate(&self, refuse: bool) {
        self.state.refuse_alternate.set(refuse);
    }

    /// Sets whether reads of ranges are refused with status 429.
    pub fn set_refuse_ranges(&self, refuse: bool) {
        self.state.refuse_ranges.set(refuse);
    }

    /// Sets whether watches are refused with status 429.
    pub fn set_refuse_watches(&self, refuse: bool) {
        self.state.refuse_watches.set(refuse);
    }

    /// Sets the maximum number of changes per answer to a watch.
    pub fn set_batch_size(&self, limit: usize) {
        self.state.batch_size.set(Some(limit));
    }

    /// Sets whether the store is down: no call is answered.
    pub fn set_down(&self, down: bool) {
        self.state.down.set(down);
        self.revision.send_modify(|_| {});
    }

    /// Sets whether reads and watches get no answer. Pending calls are answered from the current state once this is
    /// reset.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.state.unresponsive.set(unresponsive);
        self.revision.send_modify(|_| {});
    }

    /// Sets the outcome of the next write. Several calls set those of successive writes.
    pub fn set_next_write(&self, outcome: WriteOutcome) {
        self.state.outcomes.borrow_mut().push_back(outcome);
    }

    /// Applies the delayed writes whose conditions hold now.
    pub fn deliver_delayed(&self) {
        for write in self.state.delayed.take() {
            // A write whose conditions don't hold any more has no effect.
            let _ = self.apply(write);
        }
    }

    /// Number of calls so far.
    pub fn calls(&self) -> Calls {
        self.state.calls.get()
    }

    /// The value under a key.
    pub fn value(&self, key: &str) -> Option<String> {
        let items = self.state.items.borrow();
        items
            .get(key)
            .map(|item| String::from_utf8_lossy(&item.value).into_owned())
    }

    /// Whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.state.items.borrow().contains_key(key)
    }

    /// The values under keys with this prefix.
    pub fn values(&self, prefix: &str) -> Vec<Bytes> {
        let items = self.state.items.borrow();
        let items = items.values().filter(|item| item.key.starts_with(prefix));
        items.map(|item| item.value.clone()).collect()
    }

    fn check(&self) -> Result<(), StoreError> {
        match self.state.down.get() {
            true => Err(StoreError::Unknown("the store is down".to_string())),
            false => Ok(()),
        }
    }

    /// Waits while the store is unresponsive.
    async fn wait_until_responsive(&self) {
        let mut revisions = self.revision.subscribe();
        while self.state.unresponsive.get() && revisions.changed().await.is_ok() {}
    }

    fn apply(&self, write: Write) -> Result<Revision, StoreError> {
        for (key, expected) in &write.expect {
            let found = self
                .state
                .items
                .borrow()
                .get(key)
                .map_or(0, |item| item.revision.number);
            if found != expected.number {
                return Err(StoreError::Conflict);
            }
        }
        for key in write.removes {
            self.remove(&key);
        }
        for put in write.puts {
            self.put_bytes(&put.key, put.value);
        }
        Ok(self.at(*self.revision.borrow()))
    }
}

impl Store for FakeStore {
    fn range<'a>(&'a self, prefix: &'a str, after: &'a str) -> LocalBoxFuture<'a, Result<Page, StoreError>> {
        async move {
            // A store is never as fast as to leave no time for anything else.
            tokio::task::yield_now().await;
            let calls = self.calls();
            self.state.calls.set(Calls {
                ranges: calls.ranges + 1,
                ..calls
            });
            self.wait_until_responsive().await;
            self.check()?;
            let is_alternate = self.state.refuse_alternate.get() && calls.ranges % 2 == 1;
            if is_alternate || self.state.refuse_ranges.get() {
                return Err(StoreError::Refused(429));
            }
            let items = self.state.items.borrow();
            let items = items.values().filter(|item| item.key.starts_with(prefix));
            let items: Vec<Item> = items.filter(|item| item.key.as_str() > after).cloned().collect();
            let limit = self.state.page_size.get().unwrap_or(items.len());
            Ok(Page {
                unreadable: Vec::new(),
                more: items.len() > limit,
                items: items.into_iter().take(limit).collect(),
                revision: self.at(*self.revision.borrow()),
            })
        }
        .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        _: &'a str,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes, StoreError>> {
        async move {
            tokio::task::yield_now().await;
            let calls = self.calls();
            self.state.calls.set(Calls {
                watches: calls.watches + 1,
                ..calls
            });
            let mut revisions = self.revision.subscribe();
            self.check()?;
            if self.state.refuse_watches.get() {
                return Err(StoreError::Refused(429));
            }
            if after.number < self.state.compacted.get() {
                return Err(StoreError::Compacted);
            }
            // Tests of peers have instances follow different stores, one of which is ahead; only a restored one lacks history.
            if self.state.epoch.get() > 0 && after.number > *revisions.borrow() {
                return Err(StoreError::Compacted);
            }
            if *revisions.borrow_and_update() <= after.number {
                // A watch without changes is answered when its wait time ends.
                let _ = tokio::time::timeout(wait, revisions.changed()).await;
            }
            self.wait_until_responsive().await;
            self.check()?;
            if after.number < self.state.compacted.get() {
                return Err(StoreError::Compacted);
            }
            let changes = self.state.changes.borrow();
            let newer: Vec<&Change> = changes
                .iter()
                .filter(|change| number_of(change) > after.number)
                .collect();
            let limit = self.state.batch_size.get().unwrap_or(newer.len());
            let revision = match newer.len() > limit {
                true => number_of(newer[limit - 1]),
                false => *self.revision.borrow(),
            };
            Ok(Changes {
                unreadable: Vec::new(),
                changes: newer.into_iter().take(limit).cloned().collect(),
                revision: self.at(revision),
            })
        }
        .boxed_local()
    }

    fn write<'a>(&'a self, write: Write) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        async move {
            let calls = self.calls();
            self.state.calls.set(Calls {
                writes: calls.writes + 1,
                ..calls
            });
            self.check()?;
            let unknown = || StoreError::Unknown("no answer".to_string());
            let outcome = self.state.outcomes.borrow_mut().pop_front();
            match outcome {
                None => self.apply(write),
                Some(WriteOutcome::AppliedUnanswered) => Err(self.apply(write).err().unwrap_or_else(unknown)),
                Some(WriteOutcome::DroppedUnanswered) => {
                    // From here on, no one can find out whether the write was applied.
                    self.state.down.set(true);
                    Err(unknown())
                }
                Some(WriteOutcome::Refused) => Err(StoreError::Refused(429)),
                Some(WriteOutcome::Delayed) => {
                    self.state.delayed.borrow_mut().push(write);
                    Err(unknown())
                }
            }
        }
        .boxed_local()
    }

    fn grant<'a>(&'a self, _: Duration) -> LocalBoxFuture<'a, Result<LeaseId, StoreError>> {
        async move {
            self.check()?;
            let epoch = self.state.epoch.get();
            Ok(LeaseId { epoch, number: 7 })
        }
        .boxed_local()
    }

    fn renew<'a>(&'a self, lease: LeaseId) -> LocalBoxFuture<'a, Result<LeaseId, StoreError>> {
        async move {
            self.check()?;
            let epoch = self.state.epoch.get();
            Ok(LeaseId { epoch, ..lease })
        }
        .boxed_local()
    }

    fn revoke<'a>(&'a self, _: LeaseId) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        async move { self.check() }.boxed_local()
    }
}

fn number_of(change: &Change) -> u64 {
    match change {
        Change::Put(item) => item.revision.number,
        Change::Removed { revision, .. } => revision.number,
    }
}
