//! Which instances run, what they know, and whether this one may take new work.
//!
//! The platform's list of instances lags, so instances send each other heartbeats ([`Beat`]). A [`Members`]
//! decides whom to send one, what to make of those that come in, and how this instance stands ([`Standing`]).
//! [`rank`] orders addresses for callers.

mod beat;
mod members;
mod rank;
mod roster;
mod standing;

pub use beat::About;
pub use beat::Beat;
pub use beat::MemberState;
pub use beat::Notice;
pub use beat::Rumor;
pub use members::Action;
pub use members::Event;
pub use members::Limits;
pub use members::Listing;
pub use members::Members;
pub use members::Myself;
pub use rank::Caller;
pub use rank::rank;
pub use roster::Peer;
pub use roster::Roster;
pub use standing::CutRule;
pub use standing::Standing;
pub use standing::Witness;
pub use standing::judge;
