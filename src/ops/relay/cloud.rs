//! Calls to the platform's API that one instance makes for all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::header;
use http_body_util::Full;
use sequoiastream_upstream::channel::Channel;
use thiserror::Error;

use crate::ops::relay::lead::Leadership;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// How long a new connection is waited for.
const CONNECT: Duration = Duration::from_millis(400);

/// How long an answer is waited for: the API may be slow by much.
const ANSWER: Duration = Duration::from_secs(4);

/// Longest answer, in bytes.
const MAX_ANSWER: usize = 64 * 1024;

/// Why a call brought nothing.
#[derive(Debug, Error)]
pub enum CloudError {
    /// This instance does not act for all, or not for long enough any more.
    #[error("another instance acts")]
    NotHeld,
    /// It may have arrived.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// It was refused.
    #[error("refused with {0}")]
    Refused(u16),
}

/// The platform's API.
#[derive(Clone)]
pub struct Cloud {
    shared: Arc<Shared>,
    address: SocketAddr,
    leadership: Leadership,
}

impl Cloud {
    /// The API at `address`.
    pub fn new(shared: Arc<Shared>, address: SocketAddr, leadership: Leadership) -> Cloud {
        Cloud {
            shared,
            address,
            leadership,
        }
    }

    /// Whether this instance acts now.
    pub fn is_held(&self) -> bool {
        self.leadership.fence(clock::now()).is_some()
    }

    /// Makes a call, once.
    ///
    /// Failure guarded against: a call waits for a connection, the lease ends meanwhile, and it arrives after the next
    /// holder's. Whether it may leave is asked when the connection is there, and each call has a connection of its own.
    ///
    /// # Errors
    ///
    /// [`CloudError`] says whether it may have arrived.
    pub async fn post(&self, path: &str, body: String) -> Result<(), CloudError> {
        let unanswered = |e: &dyn std::fmt::Display| CloudError::Unanswered(e.to_string());
        if !self.is_held() {
            return Err(CloudError::NotHeld);
        }
        let channel = Channel::connect(self.address, CONNECT).await;
        let channel = channel.map_err(|e| unanswered(&e))?;
        let fence = self.leadership.fence(clock::now()).ok_or(CloudError::NotHeld)?;
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
        let mut answer = channel.send(request, ANSWER).await.map_err(|e| unanswered(&e))?;
        let status = answer.head.status;
        answer
            .read(MAX_ANSWER, ANSWER)
            .await
            .map_err(|e| unanswered(&e))?;
        match status.is_success() {
            true => Ok(()),
            false => Err(CloudError::Refused(status.as_u16())),
        }
    }
}
