//! Passing calls through to plain services.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::Method;
use sequoiastream_caller::ForwardCall;
use sequoiastream_caller::ForwardReply;
use sequoiastream_caller::Refusal;
use sequoiastream_core::claims::MAX_DEADLINE;
use sequoiastream_core::config::Repeat;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::log_event;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Reason;
use sequoiastream_core::outcome::Unsent;
use sequoiastream_core::time::Time;
use sequoiastream_upstream::PlainCall;
use sequoiastream_upstream::PlainReply;

use crate::log_event;
use crate::ops::dispatch::Dispatch;
use crate::ops::dispatch::once;
use crate::util::clock;

/// Deadline of a call whose product is not in the configuration any more.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Attempts at a call that may be repeated.
const MAX_ATTEMPTS: usize = 3;

/// Time one attempt at a call that may be repeated leaves for another.
const SHARE: u32 = 2;

/// When to come back if no upstream can take work.
const COME_BACK: Duration = Duration::from_secs(1);

/// A picked upstream.
#[derive(Debug, Clone)]
pub(super) struct Target {
    /// Its name.
    pub(super) name: Name,
    /// Where it listens.
    pub(super) address: SocketAddr,
}

/// Passes `call` through: once if it may not be repeated, else with further attempts.
pub(super) async fn run(dispatch: &Dispatch, call: ForwardCall) -> Result<ForwardReply, Refusal> {
    let (service, repeat) = route(dispatch, &call)?;
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        let proof = Unsent::begin().refuse(Reason::BadRequest);
        return Err(Refusal::not_run(proof, "the method is not known"));
    };
    let mut headers = Vec::new();
    let key = call.key.clone();
    headers.extend(key.map(|key| ("idempotency-key".to_string(), key)));
    let content = call.content.clone();
    headers.extend(content.map(|content| ("content-type".to_string(), content)));
    let plain = PlainCall {
        method,
        path: call.path.clone(),
        headers,
        body: call.body.clone(),
    };
    let deadline = clock::now() + deadline(dispatch, &call);
    match repeat {
        Repeat::Never => once::run(dispatch, &service, call, plain, deadline).await,
        Repeat::Dedupes => {
            once::check_key(dispatch, &call)?;
            repeatable(dispatch, &service, &plain, deadline).await
        }
        Repeat::Safe => repeatable(dispatch, &service, &plain, deadline).await,
    }
}

/// The service of the call, and whether the call may be repeated.
fn route(dispatch: &Dispatch, call: &ForwardCall) -> Result<(Name, Repeat), Refusal> {
    let snapshot = dispatch.shared.snapshot.load();
    let service = snapshot.service_of(&call.service);
    let view = service.and_then(|key| snapshot.services.get(key));
    match view.map(|view| (&view.name, &view.kind)) {
        Some((name, ServiceKind::Plain { routes })) => Ok((
            name.clone(),
            sequoiastream_core::claims::repeat_of(routes, &call.method, &call.path),
        )),
        Some((_, ServiceKind::Model { .. })) | None => {
            let proof = Unsent::begin().refuse(Reason::UnknownService);
            let message = format!("there is no plain service `{}`", call.service);
            Err(Refusal::not_run(proof, message))
        }
    }
}

fn deadline(dispatch: &Dispatch, call: &ForwardCall) -> Duration {
    let snapshot = dispatch.shared.snapshot.load();
    let mut products = snapshot.products.iter();
    let product = products.find(|(_, p)| p.name == call.product);
    let default = product.map_or(DEFAULT_DEADLINE, |(_, p)| {
        Duration::from_millis(u64::from(p.deadline))
    });
    call.deadline.unwrap_or(default).min(MAX_DEADLINE)
}

/// Passes a call through that may be repeated, at further upstreams if one fails.
async fn repeatable(
    dispatch: &Dispatch,
    service: &Name,
    plain: &PlainCall,
    deadline: Time,
) -> Result<ForwardReply, Refusal> {
    let mut tried: Vec<Name> = Vec::new();
    let mut started = None;
    for attempt in 1..=MAX_ATTEMPTS {
        let left = deadline.since(clock::now());
        let target = dispatch.pick(service, &tried);
        let target = target.or_else(|| dispatch.pick(service, &[]).filter(|_| attempt > 1));
        let Some(target) = target.filter(|_| !left.is_zero()) else {
            break;
        };
        let limit = match attempt < MAX_ATTEMPTS {
            true => left / SHARE,
            false => left,
        };
        let result = dispatch.plain.send(target.address, plain, limit).await;
        dispatch.shared.router().done(&target.name);
        match result {
            Ok(reply) => return Ok(reply_of(reply)),
            Err(error) => {
                log_event!(warn, log_event::ATTEMPT_FAILED, engine = %target.name, %error);
                if !error.is_not_started() {
                    started = Some(error);
                }
                tried.push(target.name);
            }
        }
    }
    match started {
        Some(error) => Err(Refusal::unknown(error.to_string())),
        None => {
            // Every attempt ended before its upstream started, or there was none.
            let proof = Unsent::begin().refuse(Reason::NoEngine).come_back(COME_BACK);
            Err(Refusal::not_run(proof, "no upstream can take work now"))
        }
    }
}

impl Dispatch {
    /// Picks an upstream of `service` and counts the call there.
    pub(super) fn pick(&self, service: &Name, except: &[Name]) -> Option<Target> {
        let snapshot = self.shared.snapshot.load();
        let service = snapshot.service_of(service.as_str())?;
        let key = self.shared.router().pick(&snapshot, service, except)?;
        let engine = snapshot.engines.get(key)?;
        Some(Target {
            name: engine.name.clone(),
            address: engine.address,
        })
    }
}

/// The answer to the caller.
pub(super) fn reply_of(reply: PlainReply) -> ForwardReply {
    ForwardReply {
        status: reply.status,
        content: reply.content,
        body: reply.body,
    }
}
