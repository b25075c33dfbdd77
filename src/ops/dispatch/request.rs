//! The parameters of a generation request.

use sequoiastream_core::name::Name;
use sequoiastream_core::poison::Fingerprint;
use sequoiastream_core::route::RouteRequest;
use sequoiastream_core::snapshot::ServiceKey;
use sequoiastream_core::time::Time;
use uuid::Uuid;

/// A generation request, without the proof that it has not run.
#[derive(Debug, Clone)]
pub struct Request {
    /// ID of the request.
    pub id: Uuid,
    /// The product that sent the request.
    pub product: Name,
    /// Name of the model, as engines know it.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub limit: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The service that runs the model.
    pub service: ServiceKey,
    /// Identifies equal requests.
    pub fingerprint: Fingerprint,
    /// Time by which the answer must be complete.
    pub deadline: Time,
    /// Description of the request for the router.
    pub route: RouteRequest,
}
