//! Counts the calls to the store, by kind and result.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_kv::store::Changes;
use sequoiastream_kv::store::LeaseId;
use sequoiastream_kv::store::Page;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;
use sequoiastream_kv::store::Write;

use crate::ops::relay::shared::Shared;

/// Wraps a store and counts its calls in the metrics.
pub struct CountingStore {
    store: Rc<dyn Store>,
    shared: Arc<Shared>,
}

impl CountingStore {
    /// Wraps `store`.
    pub fn new(store: Rc<dyn Store>, shared: Arc<Shared>) -> CountingStore {
        CountingStore { store, shared }
    }

    fn count<'a, T>(
        &'a self,
        call: &'static str,
        answer: LocalBoxFuture<'a, Result<T, StoreError>>,
    ) -> LocalBoxFuture<'a, Result<T, StoreError>>
    where
        T: 'a,
    {
        async move {
            let answer = answer.await;
            let result = answer.as_ref().map_or_else(StoreError::label, |_| "answered");
            self.shared.metrics.count_store_call(call, result);
            answer
        }
        .boxed_local()
    }
}

impl Store for CountingStore {
    fn range<'a>(&'a self, prefix: &'a str, after: &'a str) -> LocalBoxFuture<'a, Result<Page, StoreError>> {
        self.count("range", self.store.range(prefix, after))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes, StoreError>> {
        self.count("watch", self.store.watch(prefix, after, wait))
    }

    fn write<'a>(&'a self, write: Write) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        self.count("write", self.store.write(write))
    }

    fn grant<'a>(&'a self, ttl: Duration) -> LocalBoxFuture<'a, Result<LeaseId, StoreError>> {
        self.count("grant", self.store.grant(ttl))
    }

    fn renew<'a>(&'a self, lease: LeaseId) -> LocalBoxFuture<'a, Result<LeaseId, StoreError>> {
        self.count("renew", self.store.renew(lease))
    }

    fn revoke<'a>(&'a self, lease: LeaseId) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        self.count("revoke", self.store.revoke(lease))
    }
}
