//! Access to the clocks of the system. The state machines of `sequoiastream-core` don't read clocks; they receive the
//! time as an argument.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use sequoiastream_core::claims::Clocks;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;

/// The monotonic time since this process first read the clock. Includes the time for which the machine was suspended.
///
/// Failure guarded against: after a suspension of seconds, a process treats its data and leases as being as recent as
/// before. A clock that stops during a suspension, such as `CLOCK_MONOTONIC`, can't reveal it.
pub fn now() -> Time {
    static ORIGIN: OnceLock<Duration> = OnceLock::new();
    let since_boot = since_boot();
    let origin = *ORIGIN.get_or_init(|| since_boot);
    let elapsed = since_boot.saturating_sub(origin);
    Time::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::try_from(time).expect("the time since boot is not negative")
}

/// Sleeps until `time`; returns at once if it has passed.
pub async fn sleep_until(time: Time) {
    tokio::time::sleep(time.since(now())).await;
}

/// The time of the wall clock, in milliseconds since the Unix epoch.
pub fn wall_time() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// The time of the wall clock, in microseconds since the Unix epoch.
pub fn wall_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// The times of the monotonic clock and of the wall clock.
pub fn clocks() -> Clocks {
    Clocks {
        time: now(),
        wall: wall_time(),
    }
}
