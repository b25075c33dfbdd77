//! Admission control: describes a request to the policies and decides whether it may run now.

use std::time::Duration;

use sequoiastream_caller::GenerateCall;
use sequoiastream_caller::Refusal;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::config::Share;
use sequoiastream_core::limit;
use sequoiastream_core::limit::Admission;
use sequoiastream_core::limit::RequestCost;
use sequoiastream_core::limit::ServiceShare;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Reason;
use sequoiastream_core::prefix::block_digests;
use sequoiastream_core::route::RouteRequest;
use sequoiastream_core::snapshot::ProductView;
use sequoiastream_core::snapshot::ServiceKey;
use sequoiastream_core::snapshot::Snapshot;

use crate::ops::dispatch::Dispatch;
use crate::ops::shared::Shared;
use crate::util::clock;

/// Deadline of a request if neither the request nor its product sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Priority at the engine of work on engine time borrowed from another product's share.
const BORROWED_PRIORITY: u8 = 4;

/// Builds the description of `call` that the router and the limits work with.
pub fn route_request(
    shared: &Shared,
    snapshot: &Snapshot,
    call: &GenerateCall,
    service: ServiceKey,
) -> RouteRequest {
    let limit = call.deadline.unwrap_or_else(|| default_deadline(snapshot, call));
    let output = match snapshot.services.get(service) {
        Some(view) => shared
            .policy
            .limits()
            .at(&view.name)
            .expected_output(&call.product, call.max_tokens),
        None => call.max_tokens,
    };
    let prompt = call.prompt.split_whitespace().count();
    RouteRequest {
        service,
        prompt: u32::try_from(prompt)
            .unwrap_or(u32::MAX)
            .saturating_add(call.resume.offset),
        output: output.saturating_sub(call.resume.offset),
        digests: block_digests(&call.prompt),
        deadline: clock::now() + limit,
    }
}

/// Deadline of a request that sets none: that of its product, or else [`DEFAULT_DEADLINE`].
pub fn default_deadline(snapshot: &Snapshot, call: &GenerateCall) -> Duration {
    match find_product(snapshot, &call.product) {
        Some(product) if product.deadline > 0 => Duration::from_millis(u64::from(product.deadline)),
        _ => DEFAULT_DEADLINE,
    }
}

/// Resolves the name in a request, which may be that of a model or of the service that serves it, to the service and
/// its model. Engines know only the model's name.
///
/// # Errors
///
/// A message for the caller if `name` is unknown or names a plain service.
pub fn resolve_service<'s>(snapshot: &'s Snapshot, name: &str) -> Result<(ServiceKey, &'s str), String> {
    let service = snapshot.service_of(name);
    let view = service.and_then(|key| Some((key, snapshot.services.get(key)?)));
    match view.map(|(key, view)| (key, &view.kind)) {
        Some((key, ServiceKind::Model { model })) => Ok((key, model)),
        Some((_, ServiceKind::Plain { .. })) => Err(format!(
            "`{name}` is a plain service and runs no model: call it under /services/{name}/"
        )),
        None => Err(format!("there is no model or service `{name}`")),
    }
}

/// Admits `call` if its product may use the engines now and its deadline can be met. A call that resumes an answer is
/// always admitted.
///
/// # Errors
///
/// A refusal, returned at once: nothing was sent.
pub fn admit(dispatch: &Dispatch, mut call: GenerateCall) -> Result<GenerateCall, Refusal> {
    let shared = &dispatch.shared;
    let snapshot = shared.snapshot.load();
    let service = match resolve_service(&snapshot, &call.model) {
        Ok((service, _)) => service,
        Err(why) => return Err(Refusal::not_run(call.unsent.refuse(Reason::UnknownService), why)),
    };
    shared.policy.retries().record_request(&call.product);
    let route = route_request(shared, &snapshot, &call, service);
    let now = clock::now();
    let Some(forecast) = shared.router().forecast(now, &snapshot, &route) else {
        return Ok(call);
    };
    let Some(view) = snapshot.services.get(service) else {
        return Ok(call);
    };
    shared
        .policy
        .add_demand(&view.name, f64::from(forecast.prefill), f64::from(route.output));
    if !shared.settings.policy.enforces_limits() || call.resume.offset > 0 {
        return Ok(call);
    }
    let share = ServiceShare {
        share: find_product(&snapshot, &call.product).map_or(Share::default(), |p| p.share),
        engines: view.engines.len(),
    };
    let cost = RequestCost {
        cost: limit::cost(forecast.speed, forecast.prefill, route.output),
        total: forecast.estimate.total(),
        left: route.deadline.since(now).as_secs_f64(),
    };
    let admission = shared
        .policy
        .limits()
        .at(&view.name)
        .admit(now, &call.product, share, cost);
    shared.metrics.policy.count_admission(&call.product, admission);
    match admission {
        Admission::WithinShare => Ok(call),
        Admission::Borrowed => {
            // Work on borrowed engine time runs after the work of products within their own share.
            call.priority = call.priority.max(BORROWED_PRIORITY);
            Ok(call)
        }
        Admission::Refused(reason, after) => {
            let proof = call.unsent.refuse(reason).with_retry_after(after);
            Err(Refusal::not_run(proof, refusal_message(reason)))
        }
    }
}

fn find_product<'a>(snapshot: &'a Snapshot, name: &Name) -> Option<&'a ProductView> {
    let mut products = snapshot.products.iter().map(|(_, product)| product);
    products.find(|product| product.name == *name)
}

fn refusal_message(reason: Reason) -> &'static str {
    match reason {
        Reason::TooLate => "no engine can finish the request before its deadline",
        _ => "the product's share of engine time is used up and no other product lends capacity",
    }
}
