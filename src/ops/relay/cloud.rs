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
use http::StatusCode;
use http::header;
use http_body_util::Full;
use sequoiastream_core::log_event;
use sequoiastream_upstream::channel::Channel;
use sequoiastream_upstream::channel::ChannelError;
use thiserror::Error;

use crate::log_event;
use crate::ops::relay::lead::Leadership;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Timeout of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of an answer: the API may be very slow.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CloudError {
    /// This instance is not the leader, or its lease ends too soon for a call.
    #[error("this instance does not hold the lease of the leader")]
    NotLeader,
    /// The call may have arrived.
    #[error("no answer: {0}")]
    Unanswered(String),
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

    /// Makes a call, once.
    ///
    /// Guards against a call that waits for a connection while the lease ends, and arrives after the calls of the next
    /// leader. Whether the call may be sent is checked once the connection is open, and each call has a connection of
    /// its own.
    ///
    /// # Errors
    ///
    /// [`CloudError`] tells whether the call may have arrived.
    pub async fn post(&self, path: &str, body: String) -> Result<(), CloudError> {
        let unanswered = |e: &dyn std::fmt::Display| CloudError::Unanswered(e.to_string());
        if !self.is_leader() {
            return Err(CloudError::NotLeader);
        }
        let channel = Channel::connect(self.address, CONNECT_TIMEOUT).await;
        let channel = channel.map_err(|e| unanswered(&e))?;
        let fence = self.leadership.fence(clock::now()).ok_or(CloudError::NotLeader)?;
        let names = self.shared.translate.names();
        let holder = HeaderValue::from_str(self.shared.options.name.as_str());
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(&names.leader, holder.map_err(|e| unanswered(&e))?)
            .header(&names.fence, HeaderValue::from(fence))
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| unanswered(&e))?;
        let number = self.sent.get() + 1;
        self.sent.set(number);
        let sent = clock::now();
        log_event!(info, log_event::CLOUD_SENT, number, path, fence);
        let status = exchange(channel, request).await.map_err(|error| {
            let age = clock::now().since(sent).as_millis() as u64;
            log_event!(info, log_event::CLOUD_ABANDONED, number, path, fence, age, %error);
            unanswered(&error)
        })?;
        match status.is_success() {
            true => Ok(()),
            false => Err(CloudError::Refused(status.as_u16())),
        }
    }
}

/// Sends a request and reads the complete answer. Returns its status.
async fn exchange(channel: Channel, request: Request<Full<Bytes>>) -> Result<StatusCode, ChannelError> {
    let mut answer = channel.send(request, ANSWER_TIMEOUT).await?;
    answer.read(MAX_ANSWER_BYTES, ANSWER_TIMEOUT).await?;
    Ok(answer.head.status)
}
