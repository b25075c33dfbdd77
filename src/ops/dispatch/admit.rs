//! What the policy has to know of a request, and whether it may run now.

use std::time::Duration;

use sequoiastream_caller::GenerateCall;
use sequoiastream_core::arena::ServiceKey;
use sequoiastream_core::prefix::block_digests;
use sequoiastream_core::route::Ask;
use sequoiastream_core::snapshot::Snapshot;

use crate::util::clock;

/// Deadline of a request of a product that sets none.
const DEADLINE: Duration = Duration::from_secs(60);

/// Describes `call` to the router.
pub fn ask(snapshot: &Snapshot, call: &GenerateCall, service: ServiceKey) -> Ask {
    let limit = call.deadline.unwrap_or_else(|| default_deadline(snapshot, call));
    let prompt = call.prompt.split_whitespace().count();
    Ask {
        service,
        prompt: u32::try_from(prompt)
            .unwrap_or(u32::MAX)
            .saturating_add(call.offset),
        output: call.limit.saturating_sub(call.offset),
        digests: block_digests(&call.prompt),
        deadline: clock::now() + limit,
    }
}

fn default_deadline(snapshot: &Snapshot, call: &GenerateCall) -> Duration {
    let product = snapshot.products.iter().find(|(_, p)| p.name == call.product);
    match product {
        Some((_, product)) if product.deadline > 0 => Duration::from_millis(u64::from(product.deadline)),
        _ => DEADLINE,
    }
}
