//! Accepts connections from peers, and answers their requests and relays their tunnels.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::channel::Channel;
use crate::channel::Side;
use crate::error::PeerError;
use crate::message::Request;
use crate::message::Response;
use crate::responder::Responder;
use crate::seal::ClusterKey;
use crate::tunnel;
use crate::tunnel::TunnelSlots;

/// Maximum number of connections that have not shown yet that they are a peer's. Further ones wait to be accepted.
const MAX_UNPROVEN: usize = 64;

/// Time limit for the first request, which shows that a connection is a peer's.
const PROOF_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a connection that could not be accepted, such as for lack of descriptors.
const ACCEPT_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from peers for as long as this runs. Must run inside a `LocalSet`.
///
/// Failures guarded against: strangers open connections and say nothing, until no descriptor is left; one connection can't be
/// accepted, and no peer is answered any more.
pub async fn serve<R>(listener: TcpListener, key: ClusterKey, responder: R)
where
    R: Responder,
{
    let slots = TunnelSlots::new(responder.tunnel_limit());
    let unproven = Arc::new(Semaphore::new(MAX_UNPROVEN));
    while let Ok(permit) = unproven.clone().acquire_owned().await {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "could not accept a connection of a peer");
                sleep(ACCEPT_DELAY).await;
                continue;
            }
        };
        let key = key.clone();
        let responder = responder.clone();
        let slots = slots.clone();
        spawn_local(async move {
            if let Err(error) = handle_connection(stream, &key, responder, slots, permit).await {
                tracing::debug!(%peer, %error, "peer connection closed");
            }
        });
    }
}

/// Opens the channel and receives the first request, which only a peer can seal.
async fn receive_first(stream: TcpStream, key: &ClusterKey) -> Result<(Channel, Request), PeerError> {
    let mut channel = Channel::open(stream, key, Side::Server).await?;
    let request = channel.receiver.receive().await?;
    Ok((channel, request))
}

async fn handle_connection<R>(
    stream: TcpStream,
    key: &ClusterKey,
    responder: R,
    slots: TunnelSlots,
    unproven: OwnedSemaphorePermit,
) -> Result<(), PeerError>
where
    R: Responder,
{
    let first = timeout(PROOF_TIMEOUT, receive_first(stream, key)).await;
    let (mut channel, mut request) = first.map_err(|_| PeerError::Timeout)??;
    drop(unproven);
    loop {
        let response = match request {
            Request::Connect(upstream) => {
                match tunnel::connect(&channel, &responder, &slots, upstream).await? {
                    Some(connection) => return tunnel::relay(channel, connection).await,
                    None => Response::Unreachable,
                }
            }
            request => responder.respond(request).await,
        };
        channel.sender.send(&response).await?;
        request = channel.receiver.receive().await?;
    }
}
