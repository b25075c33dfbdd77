//! Cluster membership: which instances run, what they know, and whether this one may take new work.
//!
//! The platform's list of instances lags, so instances exchange heartbeats ([`Heartbeat`]). A [`MemberTable`]
//! selects the recipients of heartbeats, processes those received, and determines the [`Standing`] of this instance:
//! whether its configuration is recent enough for new work. [`rank`] orders addresses for callers.

mod heartbeat;
mod member_table;
mod notices;
mod rank;
mod roster;
mod standing;

pub use heartbeat::Heartbeat;
pub use heartbeat::InstanceInfo;
pub use heartbeat::LeavingNotice;
pub use heartbeat::MemberState;
pub use heartbeat::Rumor;
pub use member_table::Action;
pub use member_table::Event;
pub use member_table::Limits;
pub use member_table::Listing;
pub use member_table::LocalInstance;
pub use member_table::MemberTable;
pub use rank::Caller;
pub use rank::rank;
pub use roster::Peer;
pub use roster::Roster;
pub use standing::PartitionPolicy;
pub use standing::Reachability;
pub use standing::Standing;
pub use standing::evaluate_standing;
