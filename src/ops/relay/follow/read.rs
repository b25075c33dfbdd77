//! Reading the whole store, page by page.
//!
//! Guards against an instance that never reads a store of several pages that refuses most calls, as it does while a
//! whole fleet starts: the pages that were read before a refused call are kept.

use std::time::Duration;

use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Item;
use sequoiastream_kv::store::StoreError;

use crate::ops::relay::follow::ALL_KEYS;
use crate::ops::relay::follow::Follower;
use crate::ops::relay::follow::POLL_WAIT;
use crate::util::clock;

/// Maximum age of the first page at which a read is continued. The store keeps the changes since then for longer.
const MAX_READ_TIME: Duration = Duration::from_secs(10);

/// Age of the first page from which on the changes since then are fetched before anything is applied.
const MAX_UNCHECKED_TIME: Duration = Duration::from_millis(500);

/// Sorts after the names of all records of streams, which are hexadecimal numbers.
const AFTER_STREAMS: char = '~';

/// Pages of the store that were read one after the other.
#[derive(Debug)]
pub(super) struct PartialRead {
    items: Vec<Item>,
    /// Revision of the first page. The pages are not a snapshot: changes since then may be missing.
    revision: Option<Revision>,
    /// When the first page was requested.
    sent: Time,
    is_complete: bool,
}

impl PartialRead {
    fn new(now: Time) -> PartialRead {
        PartialRead {
            items: Vec::new(),
            revision: None,
            sent: now,
            is_complete: false,
        }
    }
}

impl Follower {
    /// Reads everything, page by page. Stops early if [`Startup::defer_large_read`] requires it. A read that fails is
    /// continued by the next call.
    ///
    /// [`Startup::defer_large_read`]: crate::ops::relay::follow::join::Startup::defer_large_read
    pub(super) async fn read_all(&mut self) -> Result<(), StoreError> {
        let mut read = self.resume_read();
        let result = self.read_pages(&mut read).await;
        if result.is_err() || !read.is_complete {
            self.partial = Some(read).filter(|read| !read.items.is_empty());
            return result;
        }
        match clock::now().since(read.sent) <= MAX_UNCHECKED_TIME {
            true => self.apply_read(&read),
            false => self.apply_checked(read).await?,
        }
        Ok(())
    }

    /// Returns the pages that were read before, or none if they are too old or a peer sent later contents.
    fn resume_read(&mut self) -> PartialRead {
        let now = clock::now();
        let known = self.known.revision();
        let partial = self.partial.take();
        partial
            .filter(|read| now.since(read.sent) < MAX_READ_TIME && read.revision >= Some(known))
            .unwrap_or_else(|| PartialRead::new(now))
    }

    async fn read_pages(&mut self, read: &mut PartialRead) -> Result<(), StoreError> {
        while !read.is_complete {
            let after = self.next_key(&read.items);
            let page = self.store.range(ALL_KEYS, &after).await?;
            self.unreadable.on_items(&page.unreadable);
            let first = *read.revision.get_or_insert(page.revision);
            if page.revision.epoch != first.epoch {
                // The store was restored meanwhile: the pages before are of contents that it no longer has.
                *read = PartialRead::new(clock::now());
                return Err(StoreError::Compacted);
            }
            read.revision = Some(first.min(page.revision));
            read.is_complete = !page.more || page.items.is_empty();
            read.items.extend(page.items);
            let is_large =
                !read.is_complete && !read.items.last().is_some_and(|item| self.is_stream_record(item));
            if is_large && self.startup.defer_large_read() {
                return Ok(());
            }
        }
        Ok(())
    }

    /// The key after which the page that follows `items` begins. Records of streams are skipped: there may be many, and they
    /// are read when they are needed.
    fn next_key(&self, items: &[Item]) -> String {
        match items.last() {
            None => String::new(),
            Some(item) if self.is_stream_record(item) => {
                format!("{}{AFTER_STREAMS}", self.shared.translate.keys().streams)
            }
            Some(item) => item.key.clone(),
        }
    }

    fn is_stream_record(&self, item: &Item) -> bool {
        item.key.starts_with(&self.shared.translate.keys().streams)
    }

    /// Applies all pages, unless they were read before a restoration of the store of which a peer has told.
    fn apply_read(&mut self, read: &PartialRead) {
        let Some(revision) = read.revision.filter(|r| r.epoch >= self.known.revision().epoch) else {
            return;
        };
        self.on_snapshot(clock::now(), revision, &read.items);
        self.known
            .on_store_answer(clock::now(), read.sent, Duration::ZERO, revision);
        self.known.on_proof(read.sent);
    }

    /// Applies the pages together with the changes since the first one, so that an instance that took long to read the
    /// store does not begin with an old configuration or with engines that have left.
    async fn apply_checked(&mut self, read: PartialRead) -> Result<(), StoreError> {
        let sent = clock::now();
        let Some(revision) = read.revision else {
            return Ok(());
        };
        let changes = match self.store.watch(ALL_KEYS, revision, POLL_WAIT).await {
            Ok(changes) => changes,
            // The changes are no longer available: all pages are read again.
            Err(StoreError::Compacted) => return Err(StoreError::Compacted),
            Err(error) => {
                self.partial = Some(read);
                return Err(error);
            }
        };
        if changes.revision.epoch != revision.epoch {
            return Err(StoreError::Compacted);
        }
        self.on_snapshot(clock::now(), revision, &read.items);
        self.on_poll_answer(sent, changes, revision)
    }
}
