//! Records of streams and of the versions that began them.

use std::time::Duration;

use sequoiastream_core::relay::streams::SoftwareVersion;
use sequoiastream_core::relay::streams::StreamId;
use sequoiastream_core::relay::streams::StreamRecord;
use sequoiastream_core::relay::streams::Streams;
use sequoiastream_core::time::Time;

/// More than the maximum number of records.
const MANY: u64 = 33_000;

fn at(millis: u64) -> Time {
    Time::from_micros(1_000_000 + millis * 1_000)
}

fn stream(number: u64) -> StreamId {
    StreamId::of(&number.to_be_bytes())
}

/// Streams `first` to `first + count`, whose callers wait for as many milliseconds as their number says.
fn begin(streams: &mut Streams, first: u64, count: u64) {
    let version = SoftwareVersion::of("v1");
    for number in first..first + count {
        let record = StreamRecord::new(stream(number), version, Duration::from_millis(number));
        streams.on_begun(at(0), "chat", record);
    }
}

/// Guards against memory that grows with every stream. Those whose callers stop waiting first are removed first.
#[test]
fn begin_bounded() {
    let mut streams = Streams::new();
    begin(&mut streams, 1_000, MANY);
    assert_eq!(streams.len(), 32_768);
    let known = |number| streams.record(at(0), stream(number)).is_some();
    let removed = 1_000 + MANY - 32_768;
    assert!(!known(removed - 1) && known(removed) && known(1_000 + MANY - 1));
}

/// Guards against a record that is removed when its first caller stops waiting, although another instance has reported
/// that it waits for longer.
#[test]
fn expire_latest_time() {
    let mut streams = Streams::new();
    begin(&mut streams, 1_000, 2);
    let longer = streams.record(at(0), stream(1_001)).expect("a record");
    let longer = StreamRecord {
        left: 5_000,
        ..longer
    };
    streams.on_record(at(0), longer);
    streams.on_record(at(0), StreamRecord { left: 10, ..longer });
    streams.expire(at(999));
    assert_eq!(streams.len(), 2);
    streams.expire(at(1_001));
    assert_eq!(streams.len(), 1);
    assert!(streams.record(at(4_999), stream(1_001)).is_some());
    assert!(streams.record(at(5_000), stream(1_001)).is_none());
    streams.expire(at(5_000));
    assert!(streams.is_empty());
}
