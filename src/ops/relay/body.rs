//! Receives the body of a caller's request, within limits on its length, its time and the memory of all callers.

use std::time::Duration;

use actix_web::web::Payload;
use bytes::Bytes;
use futures_util::StreamExt;
use sequoiastream_core::log_event;
use sequoiastream_upstream::patience::within;

use crate::log_event;
use crate::ops::relay::connections::Caller;
use crate::ops::relay::connections::Reservation;
use crate::ops::relay::reply::RETRY_ELSEWHERE;
use crate::ops::relay::reply::Reply;

/// Maximum time for a body to arrive, whatever the caller's deadline.
pub(super) const MAX_BODY_TIME: Duration = Duration::from_secs(30);

/// Least number of bytes by which the memory of a body grows.
const MIN_GROWTH: usize = 4 << 10;

/// A body that has arrived, and the memory that is reserved for it until this is dropped.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The body.
    pub bytes: Bytes,
    /// Its memory.
    pub memory: Reservation,
}

/// Limits on one body.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyLimits {
    /// Maximum length, in bytes.
    pub(super) length: usize,
    /// Maximum time until it has arrived.
    pub(super) time: Duration,
}

/// Receives a body.
///
/// Failures guarded against: many bodies that stop short of their ends, or trickle, take all memory; a body is kept for as long as
/// its caller likes.
///
/// # Errors
///
/// [`Reply`] if it is too long, incomplete or has invalid framing, doesn't arrive in time, or is evicted because memory is short.
pub(super) async fn receive(
    caller: &Caller,
    payload: &mut Payload,
    limits: BodyLimits,
) -> Result<ReceivedBody, Reply> {
    caller.on_body();
    let received = tokio::select! {
        biased;
        received = within(limits.time, collect(caller, payload, limits.length)) => received.unwrap_or(Err(Reply::Incomplete)),
        () = caller.refused() => Err(Reply::Refused(RETRY_ELSEWHERE)),
    };
    caller.on_handle();
    received
}

async fn collect(caller: &Caller, payload: &mut Payload, max_length: usize) -> Result<ReceivedBody, Reply> {
    let mut memory = caller.reservation();
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            // The caller disconnected, or sent a body with invalid framing.
            log_event!(debug, log_event::REFUSED, %error, why = "the body is incomplete or has invalid framing");
            Reply::Bad
        })?;
        let length = body.len() + chunk.len();
        if length > max_length {
            return Err(Reply::TooLong);
        }
        if length > body.capacity() {
            let growth = (length - body.capacity())
                .max(body.capacity() / 4)
                .max(MIN_GROWTH);
            memory.grow(growth);
            if caller.is_refused() {
                return Err(Reply::Refused(RETRY_ELSEWHERE));
            }
            body.reserve_exact(body.capacity() + growth - body.len());
        }
        body.extend_from_slice(&chunk);
        caller.on_moved(chunk.len());
    }
    let bytes = Bytes::from(body);
    Ok(ReceivedBody { bytes, memory })
}
