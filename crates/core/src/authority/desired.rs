//! What an engine shall be, out of what operators, the planner and the configuration say.

use crate::config::Role;
use crate::engine::Target;

/// What is wished of an engine.
#[derive(Debug, Clone, Default)]
pub struct DesiredState {
    /// The role that an operator fixed; goes before the planner's.
    pub role: Option<Role>,
    /// What the planner proposes.
    pub proposal: Option<Target>,
}

impl DesiredState {
    /// The target of an engine that reports `now` and serves `model`.
    ///
    /// Operators decide the service's model and may fix the role; what nobody decided stays as it is.
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
