//! The desired state of an engine, combined from operators' statements, the planner and the configuration.

use crate::config::Role;
use crate::engine::Target;

/// What operators and the planner want an engine to be.
#[derive(Debug, Clone, Default)]
pub struct DesiredState {
    /// The role that an operator fixed; takes precedence over the planner's proposal.
    pub role: Option<Role>,
    /// The target that the planner proposes.
    pub proposal: Option<Target>,
}

impl DesiredState {
    /// The target of an engine whose current state is `current` and whose service serves `model`.
    ///
    /// Operators decide the service's model and may fix the engine's role; whatever nobody decided stays as
    /// it is.
    pub fn target(&self, current: &Target, model: &str) -> Target {
        let mut target = self.proposal.clone().unwrap_or_else(|| current.clone());
        if let Some(role) = self.role {
            target.role = role;
        }
        if target.model != model {
            target.model = model.to_string();
            target.adapter = None;
        }
        target
    }
}
