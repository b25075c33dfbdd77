//! The control thread: a single arbiter that owns all control state.
//!
//! Each subsystem is a separate actor around a state machine of `sequoiastream-core`. Traffic threads send messages
//! to the actors and read the state that the actors publish in [`Shared`].

mod authority;
pub mod claims;
mod config;
mod load;
mod membership;
mod peers;
mod roles;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::Addr;
use actix::Arbiter;
use actix::Message;
use actix::Recipient;
use eyre::WrapErr;
use futures_util::future::join_all;
use sequoiastream_kv::KvClient;
use sequoiastream_peer::call::CallClient;
use sequoiastream_peer::datagram::DatagramSocket;
use sequoiastream_peer::seal::ClusterKey;
use sequoiastream_peer::serve;
use tokio::sync::oneshot;
use tokio::time::timeout;
use uuid::Uuid;

pub use authority::AuthorityActor;
pub use authority::IsHolder;
pub use authority::Propose;
pub use authority::ShowAuthorities;
pub use claims::ClaimsActor;
pub use config::ConfigActor;
pub use config::Execute;
pub use config::InForce;
pub use load::LoadActor;
pub use membership::Leave;
pub use membership::MembershipActor;

use crate::ops::control::peers::PeerResponder;
use crate::ops::control::roles::RolesActor;
use crate::ops::shared::Shared;
use crate::settings::Settings;

/// How long shutdown waits for the actors to release their leases and finish their writes.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Addresses of the control thread's actors.
#[derive(Debug, Clone)]
pub struct Control {
    /// Replicates the configuration.
    pub config: Addr<ConfigActor>,
    /// Runs the authority of each model service.
    pub authority: Addr<AuthorityActor>,
    /// Owns the claims of this instance's shards.
    pub claims: Addr<ClaimsActor>,
    /// Maintains the table of instances.
    pub membership: Addr<MembershipActor>,
    /// The addresses that this instance is bound to.
    pub bound: BoundAddresses,
    /// Actors that hold leases; each is sent [`Shutdown`] before the process exits.
    lease_holders: Vec<Recipient<Shutdown>>,
}

/// Asks an actor to release its leases and finish its writes, and then to answer. Sent when the instance has drained
/// and is about to exit.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Shutdown;

/// The addresses that this instance is bound to.
#[derive(Debug, Clone, Copy)]
pub struct BoundAddresses {
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
}

/// Sockets of the control thread: a TCP listener for calls from other instances and a UDP socket for datagrams.
#[derive(Debug)]
pub struct Sockets {
    listener: TcpListener,
    datagrams: UdpSocket,
    bound: BoundAddresses,
}

impl Sockets {
    /// Binds TCP and UDP to the peer address.
    ///
    /// # Errors
    ///
    /// Returns an error if either socket cannot be bound or configured.
    pub fn bind(settings: &Settings, listen: SocketAddr) -> eyre::Result<Sockets> {
        let peer = settings.peer;
        let listener = TcpListener::bind(peer).wrap_err_with(|| format!("could not listen on {peer}"))?;
        listener.set_nonblocking(true)?;
        let peer = listener.local_addr()?;
        let datagrams =
            UdpSocket::bind(peer).wrap_err_with(|| format!("could not bind UDP socket to {peer}"))?;
        datagrams.set_nonblocking(true)?;
        Ok(Sockets {
            listener,
            datagrams,
            bound: BoundAddresses { listen, peer },
        })
    }
}

impl Control {
    /// Starts the actors on a separate thread.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket cannot be registered with the thread's runtime, or if the thread ends early.
    pub async fn start(shared: Arc<Shared>, sockets: Sockets) -> eyre::Result<Control> {
        let arbiter = Arbiter::new();
        let (sender, receiver) = oneshot::channel();
        arbiter.spawn(async move {
            let control = start_actors(shared, sockets);
            // The receiver is awaited below, so sending cannot fail while the caller still waits.
            let _ = sender.send(control);
        });
        receiver
            .await
            .wrap_err("control thread ended before its actors started")?
    }

    /// Asks the actors that hold leases to release them, and waits for a limited time.
    pub async fn release_leases(&self) {
        let requests = self.lease_holders.iter().map(|holder| holder.send(Shutdown));
        // A lease that is not released in time expires by itself.
        let _ = timeout(RELEASE_TIMEOUT, join_all(requests)).await;
    }
}

/// Starts the actors on the current thread.
fn start_actors(shared: Arc<Shared>, sockets: Sockets) -> eyre::Result<Control> {
    let settings = &shared.settings;
    let key = ClusterKey::new(&settings.cluster_key);
    let call_client = CallClient::new(key.clone());
    let datagrams = tokio::net::UdpSocket::from_std(sockets.datagrams)?;
    let socket = DatagramSocket::new(datagrams, key.clone(), settings.name.clone(), Uuid::now_v7());
    let listener = tokio::net::TcpListener::from_std(sockets.listener)?;
    let bound = sockets.bound;
    let config = ConfigActor::new(shared.clone(), kv_client(&shared), call_client.clone()).start();
    let membership = MembershipActor::new(
        shared.clone(),
        kv_client(&shared),
        config.clone(),
        Rc::new(socket),
        bound,
    );
    let membership = membership.start();
    let claims = ClaimsActor::new(shared.clone(), kv_client(&shared), call_client.clone()).start();
    let load = LoadActor::new(shared.clone()).start();
    let authority =
        AuthorityActor::new(shared.clone(), load.clone(), kv_client(&shared), call_client).start();
    RolesActor::new(shared.clone(), authority.clone()).start();
    let responder = PeerResponder {
        authority: authority.clone(),
        config: config.clone(),
        claims: claims.clone(),
        load,
        shared: shared.clone(),
    };
    actix::spawn(serve(listener, key, responder));
    Ok(Control {
        config,
        authority: authority.clone(),
        claims: claims.clone(),
        membership,
        bound,
        lease_holders: vec![authority.recipient(), claims.recipient()],
    })
}

/// Creates a client of the key-value service. Each client has its own incarnation, so that its writes can be told apart
/// from those of other clients.
fn kv_client(shared: &Shared) -> KvClient {
    let settings = &shared.settings;
    let client = KvClient::new(
        &settings.platform,
        &settings.name,
        settings.kv_deadline,
        Uuid::new_v4(),
    );
    client.meter(shared.call_meter.clone())
}
