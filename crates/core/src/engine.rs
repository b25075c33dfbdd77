//! Engines as the decisions see them.

use serde::Deserialize;
use serde::Serialize;

use crate::config::Role;

/// What an order asks an engine to be. Orders are absolute, so that the same order twice is harmless.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target {
    /// The role to have.
    pub role: Role,
    /// The model to have loaded.
    pub model: String,
    /// The adapter to have loaded.
    pub adapter: Option<String>,
    /// Version of the model.
    pub version: u32,
}
