//! The body of a long answer, which is held until its caller has read it.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use actix_web::body::BodySize;
use actix_web::body::MessageBody;
use bytes::Bytes;

use crate::ops::relay::connections::Reservation;

/// Length from which an answer is a long one, in bytes.
pub(super) const MIN_LENGTH: usize = 64 << 10;

/// Bytes that are handed to the connection at once, which copies them.
const PIECE_BYTES: usize = 16 << 10;

/// The body of a long answer.
#[derive(Debug)]
pub(super) struct LongAnswer {
    rest: Bytes,
    memory: Reservation,
}

impl LongAnswer {
    /// A body that is held in `memory`.
    pub(super) fn new(body: Bytes, memory: Reservation) -> LongAnswer {
        memory.caller().on_answer();
        LongAnswer { rest: body, memory }
    }
}

impl MessageBody for LongAnswer {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let count = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(count);
        self.memory.caller().on_moved(count);
        Poll::Ready(Some(Ok(piece)))
    }
}

impl Drop for LongAnswer {
    fn drop(&mut self) {
        self.memory.caller().on_answered();
    }
}
