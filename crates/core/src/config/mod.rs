//! The configuration that operators decide: model, changes, and how accepted changes are made and followed.
//!
//! The accepted order of changes is the order of compare-and-swaps on one key, `config/head`. A [`Head`]
//! carries the version, the last changes (the tail), and the snapshot they build on. A [`State`] is the
//! configuration at one version; a [`Follower`] keeps it and never goes back; a [`Keeper`] accepts changes.

mod follow;
mod head;
mod keeper;
mod model;
mod share;
mod state;
mod statement;
mod touch;

pub use follow::Follower;
pub use follow::Progress;
pub use follow::Revision;
pub use follow::Stored;
pub use follow::Update;
pub use head::Base;
pub use head::Change;
pub use head::CommandId;
pub use head::Head;
pub use head::Proposal;
pub use head::Rejected;
pub use head::Version;
pub use keeper::Action;
pub use keeper::Event;
pub use keeper::Keeper;
pub use keeper::Outcome;
pub use keeper::Refused;
pub use keeper::Swapped;
pub use keeper::Ticket;
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
pub use share::Share;
pub use share::ShareError;
pub use state::ApplyError;
pub use state::Known;
pub use state::PastChange;
pub use state::State;
pub use statement::AlterProduct;
pub use statement::Command;
pub use statement::PlaceEngine;
pub use touch::Thing;
pub use touch::touched;
