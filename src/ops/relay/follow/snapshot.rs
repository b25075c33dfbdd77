//! Applying the complete contents of the store, also those of a store that was restored from an older copy.

use std::collections::BTreeSet;

use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::EngineList;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Item;

use crate::log_event;
use crate::ops::relay::crash_store;
use crate::ops::relay::follow::Changed;
use crate::ops::relay::follow::Follower;
use crate::ops::relay::lead;
use crate::ops::relay::register;
use crate::ops::relay::shared::Restoration;
use crate::util::clock;

impl Follower {
    /// Applies the complete contents of the store as of `revision`, which show its state as of `latest`.
    pub(super) fn on_snapshot(&mut self, latest: Time, revision: Revision, items: &[Item]) {
        self.distrust_removals(latest);
        let now = clock::now();
        let known = self.known.revision();
        if revision < known {
            log_event!(info, log_event::CONTENTS_OLDER, %revision, %known);
            return;
        }
        if revision.epoch > known.epoch && !known.is_zero() {
            let keys: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
            let lost = self
                .known
                .keys()
                .iter()
                .filter(|key| !keys.contains(key.as_str()))
                .count();
            self.on_restored(latest, revision, lost);
        }
        if known.is_zero() {
            crash_store::on_items(&self.shared, items);
        }
        self.known
            .on_snapshot(self.shared.translate.keys(), revision, items);
        let list = self.engine_list(items);
        let engines = self.engines.on_snapshot(now, revision, list);
        self.ordered
            .on_snapshot(now, self.shared.translate.as_ref(), revision, items);
        for item in items {
            self.on_config(item);
        }
        self.on_version_snapshot(items);
        let translate = self.shared.translate.as_ref();
        self.lead = items.iter().find_map(|item| lead::record(translate, item));
        self.publish(&Changed {
            engines,
            orders: true,
            instances: false,
            lead: true,
        });
        self.fleet.on_listed(register::listings(&self.shared, items));
    }

    /// The entries of engines among all items of the store.
    fn engine_list(&mut self, items: &[Item]) -> EngineList {
        let mut list = EngineList::default();
        for item in items {
            match self.entry(item) {
                Some(entry) => list.entries.push(entry),
                None => {
                    let id = self.shared.translate.engine_id(&item.key);
                    list.unreadable.extend(id.map(str::to_string));
                }
            }
        }
        list
    }

    /// Handles the record of the versions of the engines, or its absence.
    fn on_version_snapshot(&self, items: &[Item]) {
        if items.iter().filter(|item| self.on_versions(item)).count() > 0 {
            return;
        }
        let is_unused = !self.shared.view.load().is_configured();
        self.shared
            .traffic()
            .history
            .on_no_record(clock::now(), is_unused);
        self.shared.on_history_changed();
    }

    /// Prepares for the contents as of `revision` of a store that was restored from a copy: `lost` keys that are known are not
    /// among them.
    ///
    /// Guards against refusing requests until the engines have registered again. What was acknowledged before still holds:
    /// no older configuration comes into force, and an engine that announced that it leaves gets no work.
    pub(super) fn on_restored(&mut self, latest: Time, revision: Revision, lost: usize) {
        self.engines.on_outage_end(latest);
        self.on_unseen_engine();
        let before = self.known.revision();
        let now = clock::now();
        let age = now.since(latest).as_millis() as u64;
        log_event!(warn, log_event::STORE_RESTORED, %before, after = %revision, lost, age);
        self.shared.metrics.store_restorations.inc();
        let restoration = Restoration {
            epoch: revision.epoch,
            noticed: now,
        };
        self.shared.publish(|view| view.restored = Some(restoration));
    }
}
