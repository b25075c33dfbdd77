//! Client for request/response calls over TCP; a connection carries many calls in sequence.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::channel::Channel;
pub use crate::channel::MAX_FRAME;
use crate::error::PeerError;
use crate::message::Request;
use crate::message::Response;
use crate::seal::ClusterKey;

/// Maximum number of idle connections kept open to one peer.
const MAX_IDLE: usize = 4;

/// Sends requests to peers and keeps a few idle connections open. Cheap to clone; not `Send`.
#[derive(Debug, Clone)]
pub struct CallClient {
    key: ClusterKey,
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<Channel>>>>,
}

impl CallClient {
    /// Creates a client without connections.
    pub fn new(key: ClusterKey) -> CallClient {
        CallClient {
            key,
            idle: Rc::new(RefCell::new(BTreeMap::new())),
        }
    }

    /// Sends `request` to the peer at `to` and waits up to `limit` for the response. Never sends a request twice. If there
    /// is no response in time, all idle connections to the peer are closed.
    ///
    /// Failure guarded against: all open connections are silent, as after a partition, and each of the next calls waits
    /// in vain on another one of them although new connections work.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; [`PeerError::is_not_sent`] tells whether the peer cannot have acted on it.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, PeerError> {
        let sent = RefCell::new(false);
        let call = async {
            let mut channel = self.channel(to).await?;
            *sent.borrow_mut() = true;
            channel.sender.send(request).await?;
            let response = channel.receiver.receive().await?;
            self.keep(to, channel);
            Ok(response)
        };
        let result = timeout(limit, call).await;
        if result.is_err() {
            self.idle.borrow_mut().remove(&to);
        }
        match result {
            Ok(result) => result,
            Err(_) if *sent.borrow() => Err(PeerError::Timeout),
            Err(_) => Err(PeerError::Connect("timed out while connecting".to_string())),
        }
    }

    async fn channel(&self, to: SocketAddr) -> Result<Channel, PeerError> {
        while let Some(channel) = self.take(to) {
            if channel.is_open() {
                return Ok(channel);
            }
        }
        Channel::connect(to, &self.key).await
    }

    fn take(&self, to: SocketAddr) -> Option<Channel> {
        self.idle.borrow_mut().get_mut(&to)?.pop()
    }

    fn keep(&self, to: SocketAddr, channel: Channel) {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.entry(to).or_default();
        if channels.len() < MAX_IDLE {
            channels.push(channel);
        }
    }
}
