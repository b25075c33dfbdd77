//! Whether an answer that ended with its connection is complete.
//!
//! An answer may have neither a length nor chunks; then its end is that of its connection. The kernel of an engine whose process
//! is killed closes the connections as the process would have done, so such an answer looks complete wherever it stopped. The
//! kernel also closes the address on which the engine listened, if only some time after the connections, and that is what is
//! checked: if the engine has ended, its answer counts as broken off.

use std::rc::Rc;
use std::sync::Arc;

use sequoiastream_core::relay::engines::Engine;
use sequoiastream_upstream::channel::Answer;
use sequoiastream_upstream::channel::Pool;

use crate::ops::relay::connect;
use crate::ops::relay::failure::AttemptFailure;
use crate::ops::relay::shared::Shared;

/// Checks the ends of one engine's answers.
pub(super) struct Ending {
    shared: Arc<Shared>,
    pool: Pool,
    engine: Rc<Engine>,
}

impl Ending {
    pub(super) fn new(shared: Arc<Shared>, pool: Pool, engine: Rc<Engine>) -> Ending {
        Ending { shared, pool, engine }
    }

    /// Checks an answer that was read to its end. An engine that can't be reached proves nothing. May be repeated if the future
    /// is dropped.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure`] with [`End::Broken`] if its engine has ended.
    pub(super) async fn check(&self, answer: &Answer) -> Result<(), AttemptFailure> {
        if !answer.ends_with_connection() {
            return Ok(());
        }
        match connect::has_ended(&self.shared, &self.pool, &self.engine).await {
            true => Err(AttemptFailure::broken("the engine ended with the connection")),
            false => Ok(()),
        }
    }
}
