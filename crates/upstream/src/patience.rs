//! Time limits that look at what has arrived before they are over.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::timeout;

/// Waits for `future` for `limit`; `None` if it is not ready by then.
///
/// Failure guarded against: the process was stopped or busy until after the limit, and an answer that waits in its connection
/// is dropped, because the timer is looked at before the connection. May be nested: the future goes on during the turns.
pub async fn within<F>(limit: Duration, future: F) -> Option<F::Output>
where
    F: Future,
{
    let mut future = pin!(future);
    if let Ok(output) = timeout(limit, &mut future).await {
        return Some(output);
    }
    tokio::select! {
        biased;
        output = future => Some(output),
        () = take_turns() => None,
    }
}

/// Lets the runtime learn what has arrived, and then the connections read it.
pub(crate) async fn take_turns() {
    for _ in 0..2 {
        yield_now().await;
    }
}
