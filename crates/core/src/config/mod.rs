//! The configuration that operators decide: model, changes, and how a head of accepted changes evolves.
//!
//! The accepted order of changes is the order of compare-and-swaps on one key, `config/head`. A [`Head`]
//! carries the version, the last changes (the tail), and the snapshot they build on.

mod head;
mod model;
mod statement;

pub use head::Accepted;
pub use head::Change;
pub use head::CommandId;
pub use head::Head;
pub use head::Rejected;
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
pub use statement::AlterProduct;
pub use statement::Command;
pub use statement::PlaceEngine;
