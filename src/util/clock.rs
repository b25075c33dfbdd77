//! Reading clocks, so that decisions don't.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use sequoiastream_core::claims::Clocks;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;

/// The monotonic time of this process, counting the time for which its machine was suspended.
///
/// Failure guarded against: a machine is suspended for seconds, and what its processes know, hold or believe seems as
/// fresh as before. The clock that stops meanwhile can't tell.
pub fn now() -> Time {
    static ORIGIN: OnceLock<Duration> = OnceLock::new();
    let since_boot = since_boot();
    let origin = *ORIGIN.get_or_init(|| since_boot);
    let passed = since_boot.saturating_sub(origin);
    Time::from_micros(u64::try_from(passed.as_micros()).unwrap_or(u64::MAX))
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::try_from(time).expect("no time before the boot")
}

/// Waits until `time`, at once if it is past.
pub async fn sleep_until(time: Time) {
    tokio::time::sleep(time.since(now())).await;
}

/// The wall clock.
pub fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// The wall clock, in microseconds since the Unix epoch.
pub fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Both clocks.
pub fn clocks() -> Clocks {
    Clocks {
        time: now(),
        wall: wall_time(),
    }
}
