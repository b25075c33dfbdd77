//! Entries in the store that another writer left, followed to what an instance makes of them.

use std::sync::Arc;

use bytes::Bytes;
use sequoiastream::ops::relay::crash_store;
use sequoiastream::ops::relay::known;
use sequoiastream::ops::relay::known::StoreReplica;
use sequoiastream::ops::relay::lead;
use sequoiastream::ops::relay::orders::OrderRecords;
use sequoiastream::ops::relay::register;
use sequoiastream::ops::relay::shared::Shared;
use sequoiastream::ops::relay::version_record;
use sequoiastream_core::poison::suspects::Note;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::version_history::VersionHistory;
use sequoiastream_core::relay::version_history::VersionRecord;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Item;

use super::entry;
use super::instance::options;
use super::instance::shared;
use super::rev;

/// Parts of entries; a few of them after one another are an entry now and then.
const PARTS: [&str; 20] = [
    "{",
    "}",
    "[",
    "]",
    ",",
    "\"services\":",
    "\"chat\":",
    "\"holder\":\"h\"",
    "\"reader\":true",
    "\"process\":\"p\"",
    "\"zone\":\"a\"",
    "\"front\":\"127.0.0.1:9\"",
    "\"peer\":\"127.0.0.1:0\"",
    "\"capacity\":4294967295",
    "18446744073709551615",
    "1e999",
    "-1",
    "null",
    "\u{e9}",
    "\0",
];

/// Ends of the keys under which entries are left.
const NAMES: [&str; 6] = ["", "a/b", "a/\u{e9}", "\n", "/", "a"];

fn new_shared() -> Arc<Shared> {
    shared(options())
}

fn item(key: String, value: Vec<u8>, number: u64) -> Item {
    Item {
        key,
        value: Bytes::from(value),
        revision: rev(number),
        created: rev(number),
    }
}

/// The values that some bytes stand for: as they are, as parts of entries, and as notes of crashes.
fn values(bytes: &[u8]) -> Vec<Vec<u8>> {
    let text: String = bytes
        .iter()
        .map(|b| PARTS[usize::from(*b) % PARTS.len()])
        .collect();
    let notes: Vec<Note> = postcard::from_bytes(bytes).unwrap_or_default();
    let notes = postcard::to_stdvec(&notes).expect("notes can be encoded");
    vec![bytes.to_vec(), text.into_bytes(), notes]
}

/// Makes of an item under each key what an instance makes of it.
fn use_items(shared: &Shared, value: &[u8], number: u64) {
    let now = Time::from_millis(1);
    let translate = shared.translate.as_ref();
    let keys = translate.keys();
    let single = [&keys.config, &keys.leader, &keys.versions, &keys.usage];
    let prefixes = [
        &keys.engines,
        &keys.instances,
        &keys.orders,
        &keys.crashes,
        &keys.streams,
    ];
    let prefixed = prefixes
        .into_iter()
        .flat_map(|prefix| NAMES.map(|name| format!("{prefix}{name}")));
    let names = single.into_iter().cloned().chain(prefixed);
    let items: Vec<Item> = names.map(|key| item(key, value.to_vec(), number)).collect();
    let mut orders = OrderRecords::default();
    let mut history = VersionHistory::new();
    let replica = StoreReplica::new();
    crash_store::on_items(shared, &items);
    let _ = register::listings(shared, &items);
    for item in &items {
        orders.on_item(now, translate, item);
        let _ = orders.is_changing(now, &entry("a/b", Stage::Decode));
        let _ = lead::record(translate, item).map(|record| record.revision.token());
        if let Some(record) = version_record::record(&keys.versions, item) {
            history.on_record(now, &record);
            let _ = history.next_record(now, Some(&record), true);
            let _ = history.only_version(now, "chat");
        }
        let _ = translate.engine(item);
        let _ = translate.config(&item.value);
        replica.on_change(keys, &Change::Put(item.clone()));
    }
    orders.on_snapshot(now, translate, rev(number), &items);
    let copied = replica.page(now, "").items.into_iter().map(known::from_message);
    let copy = StoreReplica::new();
    copy.on_snapshot(keys, rev(number), &copied.collect::<Vec<Item>>());
    let _ = copy.changes_since(now, Revision::ZERO);
    let traffic = shared.traffic();
    let _ = traffic.suspects.counts(now);
    let _ = traffic.suspects.durable_notes(now);
}

/// Guards against a task that ends because of any entry under any key that an instance reads, here or at a peer that it is
/// copied to.
#[test]
fn entries_any() {
    let shared = new_shared();
    for number in [1, u64::MAX] {
        use_items(&shared, b"", number);
    }
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let shared = new_shared();
        for value in values(bytes) {
            use_items(&shared, &value, 1);
        }
    });
}

/// Guards against a task of the leader that ends because the capacities of two instances add up to more than a number holds.
#[test]
fn odd_capacity_bounded() {
    let shared = new_shared();
    let prefix = &shared.translate.keys().instances;
    let instance = |name: &str| {
        let record = r#"{"zone":"a","front":"127.0.0.1:9","peer":"127.0.0.1:9","capacity":4294967295}"#;
        item(format!("{prefix}a/{name}"), record.into(), 1)
    };
    let items: Vec<Item> = (0..2_000).map(|number| instance(&format!("i{number}"))).collect();
    let listed = register::listings(&shared, &items);
    let sum = listed
        .iter()
        .try_fold(0_u32, |sum, instance| sum.checked_add(instance.capacity));
    assert!(sum.is_some_and(|sum| sum > 0), "{:?}", listed[0]);
}

/// Guards against the same for the notes of crashes with the highest age, and for a record of versions with many services.
#[test]
fn odd_notes_and_versions() {
    let shared = new_shared();
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let many: Vec<String> = (0..1_000).map(|number| format!("\"s{number}\":[]")).collect();
    let record = format!(r#"{{"services":{{{}}}}}"#, many.join(","));
    assert!(serde_json::from_str::<VersionRecord>(&record).is_ok(), "{record}");
    let lengths = [0xff; 64].to_vec();
    for value in [deep.into_bytes(), record.into_bytes(), lengths] {
        use_items(&shared, &value, 1);
    }
}
