//! Type-level proofs that a request did not run.
//!
//! Callers act on the outcome: after `not-run` a caller may safely send a non-idempotent request again. A wrong
//! `not-run` can make an order run twice. Reporting `not-run` therefore consumes an [`Unsent`], and there is exactly
//! one for each request: this package creates it when the request arrives, and no other package can. Sending the
//! request consumes it, and it is returned only if the upstream confirms that the request did not start.
//!
//! No proof can be created outside of this package, so a refusal after a lost attempt can't claim `not-run`:
//!
//! ```compile_fail,E0624
//! # use sequoiastream_caller::Unsent;
//! let unsent = Unsent::begin();
//! ```
//!
//! A lost attempt leaves [`MayHaveRun`], which can't be turned back into a proof, whatever the number of attempts:
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
//! A request that was sent can't be refused as unsent:
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
//! A refusal after the upstream confirmed that the request did not start compiles:
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

/// Proof that no upstream has started the request.
///
/// Neither `Clone` nor `Copy`, and created only by this package, once for each request.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Creates the only proof for a request that has just arrived.
    pub(crate) fn begin() -> Unsent {
        Unsent(())
    }

    /// Refuses the request.
    pub fn refuse(self, reason: Reason) -> NotRun {
        NotRun { reason, after: None }
    }

    /// Marks the first byte as sent. From here on only the upstream can confirm that nothing ran.
    pub fn send(self) -> Sent {
        Sent(())
    }
}

/// A request with one attempt that may have reached an upstream.
#[derive(Debug)]
pub struct Sent(());

impl Sent {
    /// The upstream confirms that the attempt did not start, or no byte was sent: another attempt may be sent.
    pub fn not_started(self) -> Unsent {
        Unsent(())
    }

    /// Like [`not_started`](Sent::not_started), and refuses the request.
    pub fn upstream_refused(self) -> NotRun {
        self.not_started().refuse(Reason::UpstreamRefused)
    }

    /// Nothing confirms that the attempt did not start: it may have run.
    pub fn lost(self) -> MayHaveRun {
        MayHaveRun(())
    }
}

/// A request that may have run. It can't be turned into a [`NotRun`].
#[derive(Debug)]
pub struct MayHaveRun(());

/// A refusal with the guarantee that no upstream started the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    reason: Reason,
    after: Option<Duration>,
}

impl NotRun {
    /// Why the request was refused.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Delay after which a retry makes sense, if it does.
    pub fn retry_after(&self) -> Option<Duration> {
        self.after
    }

    /// Sets the delay after which a retry makes sense.
    pub fn with_retry_after(mut self, after: Duration) -> NotRun {
        self.after = Some(after);
        self
    }
}
