//! Passes calls through to plain services.

use std::time::Duration;

use actix_web::http::Method;
use sequoiastream_caller::ForwardCall;
use sequoiastream_caller::ForwardReply;
use sequoiastream_caller::Refusal;
use sequoiastream_caller::Sent;
use sequoiastream_caller::Unsent;
use sequoiastream_core::attempt::AttemptLimit;
use sequoiastream_core::attempt::Attempts;
use sequoiastream_core::attempt::NextStep;
use sequoiastream_core::claims::MAX_DEADLINE;
use sequoiastream_core::claims::repeat_of;
use sequoiastream_core::config::Repeat;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::log_event;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Reason;
use sequoiastream_core::retry;
use sequoiastream_core::time::Time;
use sequoiastream_upstream::PlainCall;
use sequoiastream_upstream::PlainReply;
use sequoiastream_upstream::UpstreamError;

use crate::log_event;
use crate::ops::dispatch::Dispatch;
use crate::ops::dispatch::once;
use crate::ops::dispatch::plain::Upstream;
use crate::ops::dispatch::plain::forward_reply;
use crate::util::clock;

/// Deadline of a call that sets none and whose product is no longer in the configuration.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Retry delay given to the caller if no upstream can take the call.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Passes `call` through: at most once if its route may not be repeated, otherwise with retries at other upstreams.
pub(super) async fn run(dispatch: &Dispatch, call: ForwardCall) -> Result<ForwardReply, Refusal> {
    let Some(ResolvedService { service, repeat }) = resolve_service(dispatch, &call) else {
        let proof = call.unsent.refuse(Reason::UnknownService);
        let message = format!("there is no plain service `{}`", call.service);
        return Err(Refusal::not_run(proof, message));
    };
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        let proof = call.unsent.refuse(Reason::BadRequest);
        return Err(Refusal::not_run(proof, "the method is not known"));
    };
    let mut headers = Vec::new();
    let key = call.idempotency_key.clone();
    headers.extend(key.map(|key| ("idempotency-key".to_string(), key)));
    let content = call.content_type.clone();
    headers.extend(content.map(|content| ("content-type".to_string(), content)));
    let plain = PlainCall {
        method,
        path: call.path.clone(),
        headers,
        body: call.body.clone(),
    };
    let deadline = clock::now() + deadline(dispatch, &call);
    if repeat == Repeat::Never {
        return once::run(dispatch, &service, call, plain, deadline).await;
    }
    if repeat == Repeat::Dedupes
        && let Err(invalid) = once::check_key(dispatch, call.idempotency_key.as_deref())
    {
        return Err(invalid.refuse(call.unsent));
    }
    let repeated = RepeatableCall {
        dispatch,
        service: &service,
        product: &call.product,
        plain: &plain,
        deadline,
        attempts: Attempts::new(repeat, AttemptLimit::Sent(retry::MAX_ATTEMPTS)),
        tried: Vec::new(),
        retry_denied: false,
    };
    repeated.run(call.unsent).await
}

/// The service that a call goes to, and whether calls on its route may be repeated.
struct ResolvedService {
    service: Name,
    repeat: Repeat,
}

fn resolve_service(dispatch: &Dispatch, call: &ForwardCall) -> Option<ResolvedService> {
    let snapshot = dispatch.shared.snapshot.load();
    let view = snapshot.services.get(snapshot.service_of(&call.service)?)?;
    match &view.kind {
        ServiceKind::Plain { routes } => Some(ResolvedService {
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

/// A call that may be repeated: if one upstream fails, it is retried at another.
struct RepeatableCall<'a> {
    dispatch: &'a Dispatch,
    service: &'a Name,
    product: &'a Name,
    plain: &'a PlainCall,
    deadline: Time,
    attempts: Attempts,
    tried: Vec<Name>,
    /// Whether the retry budget denied another attempt, which decides the reason given to the caller.
    retry_denied: bool,
}

impl RepeatableCall<'_> {
    async fn run(mut self, unsent: Unsent) -> Result<ForwardReply, Refusal> {
        self.dispatch.shared.policy.retries().record_request(self.product);
        let mut proof = Some(unsent);
        let mut last = None;
        while self.may_attempt()
            && let Some(target) = self.pick()
        {
            let sent = proof.take().map(Unsent::send);
            let error = match self.send(&target).await {
                Ok(reply) => return Ok(forward_reply(reply)),
                Err(error) => error,
            };
            log_event!(warn, log_event::ATTEMPT_FAILED, engine = %target.name, %error);
            let end = error.end();
            proof = sent.filter(|_| end.proves_not_run()).map(Sent::not_started);
            last = Some(error);
            self.tried.push(target.name);
            if self.attempts.on_end(end) != NextStep::Retry {
                break;
            }
        }
        match (proof, last) {
            (Some(unsent), _) => Err(self.refuse(unsent)),
            (None, Some(error)) => Err(Refusal::unknown(error.to_string())),
            (None, None) => Err(Refusal::unknown("the call was lost")),
        }
    }

    fn refuse(&self, unsent: Unsent) -> Refusal {
        let (reason, message) = match self.retry_denied {
            true => (
                Reason::RetryBudget,
                "an upstream refused the call, and the product's retry budget is used up",
            ),
            false => (Reason::NoEngine, "no upstream can take work now"),
        };
        Refusal::not_run(unsent.refuse(reason).with_retry_after(RETRY_AFTER), message)
    }

    /// Whether the product's retry budget and the deadline allow another attempt. A retry is taken from the budget.
    fn may_attempt(&mut self) -> bool {
        let retry = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        self.retry_denied = retry > 0 && !self.dispatch.may_retry(self.product, retry);
        !self.retry_denied && !self.remaining().is_zero()
    }

    fn remaining(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// Picks an upstream that was not tried, or any if all were.
    fn pick(&self) -> Option<Upstream> {
        let untried = self.dispatch.pick_upstream(self.service, &self.tried);
        untried.or_else(|| self.dispatch.pick_upstream(self.service, &[]))
    }

    async fn send(&self, target: &Upstream) -> Result<PlainReply, UpstreamError> {
        let left = self.remaining();
        // The time that a service takes is unknown, so the whole time left is passed as the expected time.
        let limit = match self.attempts.allows_another() {
            true => retry::first_token_timeout(left, left, 0),
            false => left,
        };
        let result = self
            .dispatch
            .plain_client
            .send(target.address, self.plain, limit)
            .await;
        self.dispatch.shared.router().release(&target.name);
        result
    }
}
