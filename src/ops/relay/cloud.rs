//! Calls to the cloud API, which the leader makes for all instances.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::header;
use http_body_util::Full;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::leader_lease::CallPermit;
use sequoiastream_core::time::Time;
use sequoiastream_upstream::channel;
use sequoiastream_upstream::delivery;
use sequoiastream_upstream::delivery::DeliveryError;
use sequoiastream_upstream::delivery::Permit;
use thiserror::Error;

use crate::log_event;
use crate::ops::relay::lead::Leadership;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Timeout of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of an answer while the lease is held: the API may be very slow.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CloudError {
    /// This instance is not the leader, or its lease ends too soon for a call.
    #[error("this instance does not hold the lease of the leader")]
    NotLeader,
    /// The request can't be built; nothing was sent.
    #[error("could not build the request: {0}")]
    Request(#[source] http::Error),
    /// Unless nothing was sent, the call may have arrived. Its connection is reset.
    #[error("no answer: {0}")]
    Unanswered(#[from] DeliveryError),
    /// The API refused the call with this status.
    #[error("refused with status {0}")]
    Refused(u16),
}

/// A client of the cloud API.
#[derive(Clone)]
pub struct CloudClient {
    shared: Arc<Shared>,
    address: SocketAddr,
    leadership: Leadership,
    /// Number of calls that were sent.
    sent: Rc<Cell<u64>>,
}

impl CloudClient {
    /// Creates a client of the API at `address`.
    pub fn new(shared: Arc<Shared>, address: SocketAddr, leadership: Leadership) -> CloudClient {
        CloudClient {
            shared,
            address,
            leadership,
            sent: Rc::default(),
        }
    }

    /// Whether this instance is the leader now.
    pub fn is_leader(&self) -> bool {
        self.leadership.fence(clock::now()).is_some()
    }

    /// Makes a call, once, on a connection of its own.
    ///
    /// Guards against a call that arrives after those of the next leader, because it waited for a connection or was not
    /// delivered while the lease ended. Whether it may be sent is checked once the connection is open, and it is given up
    /// when the lease ends or is lost.
    ///
    /// # Errors
    ///
    /// [`CloudError`] tells whether the call may have arrived. It doesn't arrive after the lease has ended.
    pub async fn post(&self, path: &str, body: String) -> Result<(), CloudError> {
        if !self.is_leader() {
            return Err(CloudError::NotLeader);
        }
        let stream = channel::open(self.address, CONNECT_TIMEOUT).await;
        let stream = stream.map_err(DeliveryError::from)?;
        let sent = clock::now();
        let permit = self.leadership.permit(sent).ok_or(CloudError::NotLeader)?;
        let fence = permit.fence;
        let request = self.request(path, body, fence);
        let request = request.map_err(CloudError::Request)?;
        let number = self.sent.get() + 1;
        self.sent.set(number);
        log_event!(info, log_event::CLOUD_SENT, number, path, fence);
        let permit = self.delivery_permit(permit, sent);
        let answered = delivery::call(stream, permit, request, MAX_ANSWER_BYTES, ANSWER_TIMEOUT).await;
        let answer = answered.map_err(|error| {
            let age = clock::now().since(sent).as_millis() as u64;
            log_event!(info, log_event::CLOUD_ABANDONED, number, path, fence, age, %error);
            error
        })?;
        match answer.status().is_success() {
            true => Ok(()),
            false => Err(CloudError::Refused(answer.status().as_u16())),
        }
    }

    fn request(&self, path: &str, body: String, fence: u64) -> Result<Request<Full<Bytes>>, http::Error> {
        let names = self.shared.translate.names();
        let holder = HeaderValue::from_str(self.shared.options.name.as_str())?;
        Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(&names.leader, holder)
            .header(&names.fence, HeaderValue::from(fence))
            .body(Full::new(Bytes::from(body)))
    }

    /// Permits the delivery of a call that is sent at `now` until the end of the lease, which renewals put off.
    fn delivery_permit(
        &self,
        permit: CallPermit,
        now: Time,
    ) -> Permit<impl Fn() -> bool + Clone + Unpin + use<>> {
        let leadership = self.leadership.clone();
        Permit {
            limit: permit.until.since(now),
            is_valid: move || leadership.is_valid(clock::now(), permit.fence),
        }
    }
}
