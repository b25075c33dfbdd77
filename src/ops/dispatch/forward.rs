//! Passing calls through to plain services.

use std::time::Duration;

use actix_web::http::Method;
use sequoiastream_caller::ForwardCall;
use sequoiastream_caller::ForwardReply;
use sequoiastream_caller::Refusal;
use sequoiastream_core::outcome::Reason;
use sequoiastream_upstream::PlainCall;

use crate::ops::dispatch::Dispatch;

/// How long a plain service may take.
const LIMIT: Duration = Duration::from_secs(30);

/// Passes `call` through, once.
pub async fn run(dispatch: &Dispatch, call: ForwardCall) -> Result<ForwardReply, Refusal> {
    let unsent = call.unsent;
    let snapshot = dispatch.shared.snapshot.load_full();
    let Some(service) = snapshot.service_of(&call.service) else {
        let proof = unsent.refuse(Reason::UnknownService);
        return Err(Refusal::not_run(
            proof,
            format!("there is no service `{}`", call.service),
        ));
    };
    let picked = dispatch.shared.router().pick(&snapshot, service, &[]);
    let Some(engine) = picked.and_then(|key| snapshot.engines.get(key)) else {
        let proof = unsent.refuse(Reason::NoEngine);
        return Err(Refusal::not_run(proof, "no upstream can take work now"));
    };
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        let proof = unsent.refuse(Reason::BadRequest);
        return Err(Refusal::not_run(proof, "the method is not known"));
    };
    let mut headers = Vec::new();
    headers.extend(call.key.map(|key| ("idempotency-key".to_string(), key)));
    headers.extend(call.content.map(|content| ("content-type".to_string(), content)));
    let plain = PlainCall {
        method,
        path: call.path,
        headers,
        body: call.body,
    };
    let sent = unsent.send();
    let result = dispatch.plain.send(engine.address, &plain, LIMIT).await;
    dispatch.shared.router().done(&engine.name);
    match result {
        Ok(reply) => Ok(ForwardReply {
            status: reply.status,
            content: reply.content,
            body: reply.body,
        }),
        Err(error) if error.is_not_started() => Err(Refusal::not_run(sent.vouched(), error.to_string())),
        Err(error) => Err(Refusal::unknown(error.to_string())),
    }
}
