//! The configuration that operators set: its model, its changes, and how changes are accepted and followed.
//!
//! Changes are totally ordered by the compare-and-swaps on one key, `config/head`. A [`Head`] holds the version,
//! the latest changes (the tail), and the version of the snapshot that they build on. A [`State`] is the
//! configuration at one version. A [`Follower`] tracks the current state and never goes back to an older version.
//! A [`Replicator`] accepts proposed changes and follows those accepted by other instances.

mod command;
mod follower;
mod head;
mod model;
mod replicator;
mod resource;
mod share;
mod state;

pub use command::AlterProduct;
pub use command::Command;
pub use command::PlaceEngine;
pub use follower::Follower;
pub use follower::Progress;
pub use follower::Revision;
pub use follower::StoredHead;
pub use follower::Update;
pub use head::Base;
pub use head::Change;
pub use head::CommandId;
pub use head::Head;
pub use head::Proposal;
pub use head::ProposalError;
pub use head::Version;
pub use model::Config;
pub use model::ConfigError;
pub use model::Engine;
pub use model::EngineState;
pub use model::Fencing;
pub use model::KeyHash;
pub use model::Product;
pub use model::Repeat;
pub use model::Role;
pub use model::Route;
pub use model::Service;
pub use model::ServiceKind;
pub use replicator::Action;
pub use replicator::Event;
pub use replicator::Outcome;
pub use replicator::Replicator;
pub use replicator::SubmissionId;
pub use replicator::SubmitError;
pub use replicator::SwapResult;
pub use resource::Resource;
pub use resource::affected_resources;
pub use share::Share;
pub use share::ShareError;
pub use state::ApplyError;
pub use state::AuditEntry;
pub use state::CommandStatus;
pub use state::State;
