//! Reading clocks, so that decisions don't.

use std::sync::OnceLock;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sequoiastream_core::claims::Clocks;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;

/// The monotonic time of this process.
pub fn now() -> Time {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    let origin = *ORIGIN.get_or_init(Instant::now);
    Time::from_micros(u64::try_from(origin.elapsed().as_micros()).unwrap_or(u64::MAX))
}

/// Waits until `time`, at once if it is past.
pub async fn until(time: Time) {
    tokio::time::sleep(time.since(now())).await;
}

/// The wall clock.
pub fn wall() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Both clocks.
pub fn both() -> Clocks {
    Clocks {
        time: now(),
        wall: wall(),
    }
}
