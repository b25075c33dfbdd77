//! Passing calls through to plain services.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::Method;
use sequoiastream_caller::ForwardCall;
use sequoiastream_caller::ForwardReply;
use sequoiastream_caller::Refusal;
use sequoiastream_caller::Sent;
use sequoiastream_caller::Unsent;
use sequoiastream_core::claims::MAX_DEADLINE;
use sequoiastream_core::claims::repeat_of;
use sequoiastream_core::config::Repeat;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::log_event;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Reason;
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
    let Some(Served { service, repeat }) = serve(dispatch, &call) else {
        let proof = call.unsent.refuse(Reason::UnknownService);
        let message = format!("there is no plain service `{}`", call.service);
        return Err(Refusal::not_run(proof, message));
    };
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        let proof = call.unsent.refuse(Reason::BadRequest);
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
        Repeat::Dedupes => match once::check_key(dispatch, call.key.as_deref()) {
            Ok(_) => repeatable(dispatch, &service, &plain, call.unsent, deadline).await,
            Err(fault) => Err(fault.refuse(call.unsent)),
        },
        Repeat::Safe => repeatable(dispatch, &service, &plain, call.unsent, deadline).await,
    }
}

/// The service that a call goes to.
struct Served {
    service: Name,
    repeat: Repeat,
}

fn serve(dispatch: &Dispatch, call: &ForwardCall) -> Option<Served> {
    let snapshot = dispatch.shared.snapshot.load();
    let view = snapshot.services.get(snapshot.service_of(&call.service)?)?;
    match &view.kind {
        ServiceKind::Plain { routes } => Some(Served {
            service: view.name.clone(),
            repeat: repeat_of(routes, &call.method, &call.path),
        }),
        ServiceKind::Model { .. } => None,
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
    unsent: Unsent,
    deadline: Time,
) -> Result<ForwardReply, Refusal> {
    let mut proof = Some(unsent);
    let mut tried: Vec<Name> = Vec::new();
    let mut last = None;
    for attempt in 1..=MAX_ATTEMPTS {
        let left = deadline.since(clock::now());
        if left.is_zero() {
            break;
        }
        let fresh = dispatch.pick_plain(service, &tried);
        let Some(target) = fresh.or_else(|| dispatch.pick_plain(service, &[])) else {
            break;
        };
        let limit = match attempt < MAX_ATTEMPTS {
            true => left / SHARE,
            false => left,
        };
        let sent = proof.take().map(Unsent::send);
        let result = dispatch.plain.send(target.address, plain, limit).await;
        dispatch.shared.router().done(&target.name);
        match result {
            Ok(reply) => return Ok(reply_of(reply)),
            Err(error) => {
                log_event!(warn, log_event::ATTEMPT_FAILED, engine = %target.name, %error);
                proof = sent.filter(|_| error.is_not_started()).map(Sent::returned);
                last = Some(error);
                tried.push(target.name);
            }
        }
    }
    match (proof, last) {
        (Some(unsent), _) => {
            let proof = unsent.refuse(Reason::NoEngine).come_back(COME_BACK);
            Err(Refusal::not_run(proof, "no upstream can take work now"))
        }
        (None, Some(error)) => Err(Refusal::unknown(error.to_string())),
        (None, None) => Err(Refusal::unknown("the call was lost")),
    }
}

impl Dispatch {
    /// Picks an upstream of `service` and counts the call there.
    pub(super) fn pick_plain(&self, service: &Name, except: &[Name]) -> Option<Target> {
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
