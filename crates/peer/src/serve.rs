//! Accepts connections from peers, and answers their requests and relays their tunnels.

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::channel::Channel;
use crate::channel::Side;
use crate::error::PeerError;
use crate::message::Request;
use crate::message::Response;
use crate::responder::Responder;
use crate::seal::ClusterKey;
use crate::tunnel;
use crate::tunnel::TunnelSlots;

/// Accepts connections from peers until the listener fails. Must run inside a `LocalSet`.
pub async fn serve<R>(listener: TcpListener, key: ClusterKey, responder: R)
where
    R: Responder,
{
    let slots = TunnelSlots::new(responder.tunnel_limit());
    while let Ok((stream, peer)) = listener.accept().await {
        let key = key.clone();
        let responder = responder.clone();
        let slots = slots.clone();
        spawn_local(async move {
            if let Err(error) = handle_connection(stream, &key, responder, slots).await {
                tracing::debug!(%peer, %error, "peer connection closed");
            }
        });
    }
}

async fn handle_connection<R>(
    stream: TcpStream,
    key: &ClusterKey,
    responder: R,
    slots: TunnelSlots,
) -> Result<(), PeerError>
where
    R: Responder,
{
    let mut channel = Channel::open(stream, key, Side::Server).await?;
    loop {
        let response = match channel.receiver.receive().await? {
            Request::Connect(upstream) => {
                match tunnel::connect(&channel, &responder, &slots, upstream).await? {
                    Some(connection) => return tunnel::relay(channel, connection).await,
                    None => Response::Unreachable,
                }
            }
            request => responder.respond(request).await,
        };
        channel.sender.send(&response).await?;
    }
}
