//! Proofs that a request did not run.
//!
//! A caller acts on the outcome: after `not-run` it may safely send a non-idempotent request again. A wrong
//! `not-run` doubles an order. So `not-run` can be said only by giving up a [`Unsent`], and there is exactly one
//! for each request: this package makes it when the request arrives, and nobody else can. Sending consumes it,
//! and only an upstream's own word that the request did not start gives it back.
//!
//! Outside of this package no proof can be made anew, so a refusal after a lost attempt has nothing to show:
//!
//! ```compile_fail,E0624
//! # use sequoiastream_caller::Unsent;
//! let unsent = Unsent::begin();
//! ```
//!
//! An attempt that was lost leaves [`MayHaveRun`], from which there is no way back, over any number of attempts:
//!
//! ```compile_fail,E0599
//! # use sequoiastream_caller::NotRun;
//! # use sequoiastream_caller::Unsent;
//! # use sequoiastream_core::outcome::Reason;
//! fn refuse(unsent: Unsent) -> NotRun {
//!     let ran = unsent.send().lost();
//!     ran.refuse(Reason::NoEngine)
//! }
//! ```
//!
//! A request that was sent can't be refused as if it had not been:
//!
//! ```compile_fail,E0382
//! # use sequoiastream_caller::NotRun;
//! # use sequoiastream_caller::Unsent;
//! # use sequoiastream_core::outcome::Reason;
//! fn refuse(unsent: Unsent) -> NotRun {
//!     let sent = unsent.send();
//!     unsent.refuse(Reason::NoEngine)
//! }
//! ```
//!
//! What does compile is a refusal after an upstream vouched for it:
//!
//! ```
//! # use sequoiastream_caller::NotRun;
//! # use sequoiastream_caller::Unsent;
//! # use sequoiastream_core::outcome::Reason;
//! fn refuse(unsent: Unsent) -> NotRun {
//!     let unsent = unsent.send().not_started();
//!     unsent.refuse(Reason::UpstreamRefused)
//! }
//! ```

use std::time::Duration;

use sequoiastream_core::outcome::Reason;

/// A request of which no upstream has started anything.
///
/// Neither `Clone` nor `Copy`, and made by this package alone, once for each request.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// The one proof of a request that has just arrived.
    pub(crate) fn begin() -> Unsent {
        Unsent(())
    }

    /// Gives the request up.
    pub fn refuse(self, reason: Reason) -> NotRun {
        NotRun { reason, after: None }
    }

    /// Marks the first byte as sent. From here on only the upstream can vouch that nothing ran.
    pub fn send(self) -> Sent {
        Sent(())
    }
}

/// A request of which one attempt may have reached an upstream.
#[derive(Debug)]
pub struct Sent(());

impl Sent {
    /// The upstream vouches that the attempt did not start, or no byte left: another one may be sent.
    pub fn not_started(self) -> Unsent {
        Unsent(())
    }

    /// As [`not_started`](Sent::not_started), giving the request up.
    pub fn upstream_refused(self) -> NotRun {
        self.not_started().refuse(Reason::UpstreamRefused)
    }

    /// Nobody vouches for the attempt: it may have run.
    pub fn lost(self) -> MayHaveRun {
        MayHaveRun(())
    }
}

/// A request that may have run. Nothing leads back from here to a [`NotRun`].
#[derive(Debug)]
pub struct MayHaveRun(());

/// A refusal that vouches that no upstream started the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    reason: Reason,
    after: Option<Duration>,
}

impl NotRun {
    /// Why it was refused.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// When it makes sense to come back, if it does.
    pub fn retry_after(&self) -> Option<Duration> {
        self.after
    }

    /// Sets when to come back.
    pub fn with_retry_after(mut self, after: Duration) -> NotRun {
        self.after = Some(after);
        self
    }
}
