//! A request to generate, on its way to engines.

use sequoiastream_core::name::Name;
use sequoiastream_core::poison::Fingerprint;
use sequoiastream_core::route::RouteRequest;
use sequoiastream_core::snapshot::ServiceKey;
use sequoiastream_core::time::Time;
use uuid::Uuid;

/// What is asked, apart from the proof that it has not run.
#[derive(Debug, Clone)]
pub struct Request {
    /// Names the request.
    pub id: Uuid,
    /// The product that asks.
    pub product: Name,
    /// The model, as engines know it.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub limit: u32,
    /// Seed of the sampling.
    pub seed: u64,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The service.
    pub service: ServiceKey,
    /// By which two requests are known to be the same.
    pub fingerprint: Fingerprint,
    /// When the answer must be there.
    pub deadline: Time,
    /// The request as the router sees it.
    pub route: RouteRequest,
}
