//! Middleware around every HTTP exchange of the daemon.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use actix_web::Error;
use actix_web::body::BodySize;
use actix_web::body::BoxBody;
use actix_web::body::MessageBody;
use actix_web::dev::ServiceRequest;
use actix_web::dev::ServiceResponse;
use actix_web::http::ConnectionType;
use actix_web::middleware::Next;
use actix_web::web::Bytes;
use actix_web::web::Data;

use crate::ops::shared::Running;
use crate::ops::shared::Shared;

/// Counts the exchange as running work until the last byte of its response has been sent, and closes the connection
/// after the response if this instance is shutting down.
///
/// This guards against connection resets: a caller may send a request on a keep-alive connection just as the instance
/// closes it. Callers that were sent `Connection: close` have no connection open by then.
///
/// # Errors
///
/// Returns the error of the wrapped service.
pub async fn track<B>(
    shared: Data<Arc<Shared>>,
    request: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<BoxBody>, Error>
where
    B: MessageBody + 'static,
{
    let running = shared.begin_work();
    let mut response = next.call(request).await?.map_into_boxed_body();
    if shared.is_leaving() {
        let head = response.response_mut().head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    let tracked = |_: &mut _, body| {
        BoxBody::new(TrackedBody {
            body,
            _running: running,
        })
    };
    Ok(response.map_body(tracked))
}

/// A response body that counts as running work until it is dropped.
struct TrackedBody {
    body: BoxBody,
    _running: Running,
}

impl MessageBody for TrackedBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}
