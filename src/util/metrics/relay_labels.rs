//! Labels of the metrics of the forwarding of requests by route.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of a request: its service and the kind of its route.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RouteLabels {
    /// The service that the route leads to.
    pub service: String,
    /// The kind of the route.
    pub kind: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct RouteOutcomeLabels {
    pub(super) service: String,
    pub(super) kind: &'static str,
    pub(super) outcome: String,
}

/// Labels of a request with a prompt: what decides whether it is refused when capacity is short.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PromptLabels {
    /// The service that the route leads to.
    pub service: String,
    /// Priority of the request; 0 is served first.
    pub priority: u32,
    /// Largest power of two that is at most the number of tokens in the prompt.
    pub size: u32,
    /// The final answer.
    pub outcome: String,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ResultLabels {
    pub(super) result: String,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct CallLabels {
    pub(super) call: &'static str,
    pub(super) result: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ReasonLabels {
    pub(super) reason: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct SourceLabels {
    pub(super) source: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ServiceLabels {
    pub(super) service: String,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ArrivalLabels {
    pub(super) service: String,
    pub(super) kind: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ScopeLabels {
    pub(super) service: String,
    pub(super) scope: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct ScaleLabels {
    pub(super) service: String,
    pub(super) zone: String,
    pub(super) kind: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct StatusLabels {
    pub(super) status: u32,
}
