//! Which instances run, what they know, and whether this one may take new work.
//!
//! The platform's list of instances lags, so instances send each other heartbeats ([`Beat`]). A [`Members`]
//! decides whom to send one, what to make of those that come in, and how this instance stands ([`Standing`]).
//! [`rank`] orders addresses for callers.

mod heartbeat;
mod member_table;
mod rank;
mod roster;
mod standing;

pub use heartbeat::About;
pub use heartbeat::Beat;
pub use heartbeat::MemberState;
pub use heartbeat::Notice;
pub use heartbeat::Rumor;
pub use member_table::Action;
pub use member_table::Event;
pub use member_table::Limits;
pub use member_table::Listing;
pub use member_table::Members;
pub use member_table::Myself;
pub use rank::Caller;
pub use rank::rank;
pub use roster::Peer;
pub use roster::Roster;
pub use standing::CutRule;
pub use standing::Standing;
pub use standing::Witness;
pub use standing::judge;
