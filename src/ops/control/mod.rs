//! The control thread: one arbiter that owns all control state.
//!
//! Each concern is an actor of its own around a state machine of `sequoiastream-core`; traffic threads send
//! it messages and read what it publishes in [`Shared`](crate::ops::shared::Shared).

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
use sequoiastream_peer::call::serve;
use sequoiastream_peer::datagram::DatagramSocket;
use sequoiastream_peer::seal::ClusterKey;
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

/// How long an actor may take to release what it holds.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Addresses of the control thread's actors.
#[derive(Debug, Clone)]
pub struct Control {
    /// Keeper of the configuration.
    pub config: Addr<ConfigActor>,
    /// Keeper of the authorities.
    pub authority: Addr<AuthorityActor>,
    /// Owner of claims.
    pub claims: Addr<ClaimsActor>,
    /// Keeper of the table of instances.
    pub membership: Addr<MembershipActor>,
    /// The addresses that this instance is bound to.
    pub bound: BoundAddresses,
    /// Actors that hold leases; each is told [`Shutdown`] before the process exits.
    lease_holders: Vec<Recipient<Shutdown>>,
}

/// The instance has drained and is about to exit: release leases and finish writes, then answer.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Shutdown;

/// The addresses that this instance is bound to.
#[derive(Debug, Clone, Copy)]
pub struct BoundAddresses {
    /// For callers and operators.
    pub listen: SocketAddr,
    /// For other instances.
    pub peer: SocketAddr,
}

/// Sockets of the control thread.
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
    /// If either can't be bound.
    pub fn bind(settings: &Settings, listen: SocketAddr) -> eyre::Result<Sockets> {
        let peer = settings.peer;
        let calls = TcpListener::bind(peer).wrap_err_with(|| format!("could not listen on {peer}"))?;
        calls.set_nonblocking(true)?;
        let peer = calls.local_addr()?;
        let datagrams =
            UdpSocket::bind(peer).wrap_err_with(|| format!("could not take datagrams on {peer}"))?;
        datagrams.set_nonblocking(true)?;
        Ok(Sockets {
            listener: calls,
            datagrams,
            bound: BoundAddresses { listen, peer },
        })
    }
}

impl Control {
    /// Starts the actors on a thread of their own.
    ///
    /// # Errors
    ///
    /// If the thread can't begin.
    pub async fn start(shared: Arc<Shared>, sockets: Sockets) -> eyre::Result<Control> {
        let arbiter = Arbiter::new();
        let (sender, receiver) = oneshot::channel();
        arbiter.spawn(async move {
            let control = start_actors(shared, sockets);
            // The receiver waits below.
            let _ = sender.send(control);
        });
        receiver.await.wrap_err("the control thread ended")?
    }

    /// Lets the actors that hold leases release them.
    pub async fn release_leases(&self) {
        let asked = self.lease_holders.iter().map(|holder| holder.send(Shutdown));
        // What isn't released in time lapses by itself.
        let _ = timeout(RELEASE_TIMEOUT, join_all(asked)).await;
    }
}

/// Starts the actors on the thread that runs this.
fn start_actors(shared: Arc<Shared>, sockets: Sockets) -> eyre::Result<Control> {
    let settings = &shared.settings;
    let key = ClusterKey::new(&settings.cluster);
    let calls = CallClient::new(key.clone());
    let datagrams = tokio::net::UdpSocket::from_std(sockets.datagrams)?;
    let socket = DatagramSocket::new(datagrams, key.clone(), settings.name.clone(), Uuid::now_v7());
    let listener = tokio::net::TcpListener::from_std(sockets.listener)?;
    let bound = sockets.bound;
    let config = ConfigActor::new(shared.clone(), kv_client(&shared), calls.clone()).start();
    let membership = MembershipActor::new(
        shared.clone(),
        kv_client(&shared),
        config.clone(),
        Rc::new(socket),
        bound,
    );
    let membership = membership.start();
    let claims = ClaimsActor::new(shared.clone(), kv_client(&shared), calls.clone()).start();
    let authority = AuthorityActor::new(shared.clone(), kv_client(&shared), calls).start();
    LoadActor::new(shared.clone()).start();
    RolesActor::new(shared.clone(), authority.clone()).start();
    let responder = PeerResponder {
        authority: authority.clone(),
        config: config.clone(),
        claims: claims.clone(),
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

/// A client of the platform. Each has an incarnation of its own, so that its writes can be told from others'.
fn kv_client(shared: &Shared) -> KvClient {
    let settings = &shared.settings;
    let client = KvClient::new(
        &settings.platform,
        &settings.name,
        settings.deadline,
        Uuid::new_v4(),
    );
    client.meter(shared.calls.clone())
}
