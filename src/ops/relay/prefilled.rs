//! Results of prefills, which engines hold until they are fetched or freed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http_body_util::Full;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_upstream::channel;
use sequoiastream_upstream::channel::Pool;

use crate::log_event;
use crate::ops::relay::connect;
use crate::ops::relay::failure::AttemptFailure;
use crate::ops::relay::send::MAX_ANSWER_BYTES;
use crate::ops::relay::shared::AnswerHead;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time limit for the call that frees the result of a prefill.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time for which that call waits because the engine is at its request limit.
const MAX_RELEASE_WAIT: Duration = Duration::from_secs(5);

/// The result of a prefill, held by the engine that computed it; freed when this is dropped, unless the engine that
/// generates the answer may have fetched it.
pub(super) struct PrefilledPrompt {
    shared: Arc<Shared>,
    pool: Pool,
    pub(super) engine: Engine,
    name: String,
    pub(super) taken: bool,
}

impl PrefilledPrompt {
    /// The result that `engine` holds as `name`.
    pub(super) fn new(shared: Arc<Shared>, pool: Pool, engine: Engine, name: String) -> PrefilledPrompt {
        PrefilledPrompt {
            shared,
            pool,
            engine,
            name,
            taken: false,
        }
    }

    pub(super) fn source(&self) -> String {
        format!("{}/{}", self.engine.entry.address, self.name)
    }
}

impl Drop for PrefilledPrompt {
    /// Failure guarded against: the caller disconnects, or no engine accepts the request, and the result occupies
    /// memory of its engine until it expires.
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let path = self.shared.translate.release_path(&self.name);
        let pool = self.pool.clone();
        let engine = self.engine.clone();
        let shared = self.shared.clone();
        actix_rt::spawn(async move {
            // The engine discards the result itself after a while.
            let reason = match shared.wait_for_call(&engine, MAX_RELEASE_WAIT).await {
                true => release(&shared, &pool, &engine, &path, RELEASE_TIMEOUT)
                    .await
                    .err()
                    .map(|failure| failure.reason().to_string()),
                false => Some("the engine is at its request limit".to_string()),
            };
            if let Some(why) = reason {
                log_event!(debug, log_event::ATTEMPT_FAILED, engine = %engine.entry.id, why, call = "release");
            }
        });
    }
}

/// Asks an engine to free the result of a prefill that no other engine will fetch.
async fn release(
    shared: &Shared,
    pool: &Pool,
    engine: &Engine,
    path: &str,
    limit: Duration,
) -> Result<(), AttemptFailure> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::DELETE;
    *request.uri_mut() = path
        .parse()
        .map_err(|e: http::uri::InvalidUri| AttemptFailure::unsent(e))?;
    let address = engine.entry.address;
    let host = HeaderValue::from_str(&address.to_string()).map_err(AttemptFailure::unsent)?;
    request.headers_mut().insert(http::header::HOST, host);
    // Before the connection is there, so that no other call is allowed meanwhile.
    shared.on_send(engine);
    let begun = clock::now();
    let channel = connect::take(shared, pool, engine, limit).await?;
    let sent = clock::now();
    let left = limit.saturating_sub(sent.since(begun));
    let answer = channel::exchange(pool, address, channel, request, MAX_ANSWER_BYTES, left).await?;
    shared.on_engine_answer(engine, &AnswerHead::of_call(sent, &answer));
    Ok(())
}
