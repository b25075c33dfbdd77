//! Accepts the connections of callers, of readiness checks and of queries, and serves HTTP on them.

use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::error::DispatchError;
use actix_rt::net::TcpStream;
use actix_server::GracefulShutdownSignal;
use actix_server::Server;
use actix_service::IntoServiceFactory;
use actix_service::ServiceFactory;
use actix_service::ServiceFactoryExt;
use actix_service::fn_service;
use actix_service::map_config;
use actix_web::App;
use actix_web::dev::AppConfig;
use actix_web::dev::Extensions;
use actix_web::dev::ServerHandle;
use actix_web::web;
use actix_web::web::Data;
use sequoiastream_core::log_event;
use sequoiastream_peer::call::CallClient;
use sequoiastream_upstream::channel::Pool;
use tokio::net::TcpSocket;
use tokio::time::timeout;

use crate::log_event;
use crate::ops::relay::connections::Connections;
use crate::ops::relay::guarded_stream::GuardedStream;
use crate::ops::relay::idle;
use crate::ops::relay::server::Arrival;
use crate::ops::relay::server::Worker;
use crate::ops::relay::server::handle;
use crate::ops::relay::shared::Shared;

/// How long an idle connection of a caller is kept open: longer than callers reuse one, so that no request is sent
/// while the connection is being closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Time limit for a caller to send the head of a request. The limit in the configuration is never longer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of connections waiting to be accepted. If this queue is full, a connection is delayed by seconds.
const BACKLOG: u32 = 2_048;

/// Maximum number of bytes that the kernel receives for a connection and that are not read yet, as asked of it; it may hold
/// twice as many.
const RECEIVE_BYTES: u32 = 64 << 10;

/// Time for which the rest of a refused body is read and dropped, so that its caller sees the answer.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Starts the servers.
///
/// # Errors
///
/// If an address can't be bound.
pub fn start(shared: Arc<Shared>) -> std::io::Result<ServerHandle> {
    let options = &shared.options;
    let mut addresses = vec![options.front];
    addresses.extend(options.ready);
    addresses.extend(options.directory);
    addresses.extend(options.metrics);
    addresses.sort();
    addresses.dedup();
    let connections = Connections::new(options, shared.clone());
    let mut builder = Server::build().workers(1).disable_signals();
    let stopping = builder.graceful_shutdown_signal();
    for address in addresses {
        let listener = listen(address)?;
        let (shared, connections, stopping) = (shared.clone(), connections.clone(), stopping.clone());
        builder = builder.listen(address.to_string(), listener, move || {
            service(&shared, &connections, address, &stopping)
        })?;
    }
    let server = builder.run();
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log_event!(error, log_event::SERVER_FAILED, %error);
        }
    });
    Ok(handle)
}

/// Listens at an address, with a limit on what the kernel receives for a connection.
fn listen(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BYTES) {
        tracing::debug!(%error, "could not limit the receive buffers of callers");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}

/// Serves the connections to one address.
fn service(
    shared: &Arc<Shared>,
    connections: &Connections,
    address: SocketAddr,
    stopping: &GracefulShutdownSignal,
) -> impl ServiceFactory<TcpStream, Config = (), Response = (), Error = DispatchError, InitError = ()> + use<>
{
    let pool = Pool::new();
    actix_rt::spawn(idle::sweep(shared.clone(), pool.clone()));
    let worker = Worker {
        shared: shared.clone(),
        pool,
        calls: CallClient::new(shared.key.clone()),
        connections: connections.clone(),
    };
    let app = App::new()
        .app_data(Data::new(worker))
        .default_service(web::to(handle))
        .into_factory()
        .map_err(|error| error.error_response());
    let stopping = stopping.clone();
    let http = HttpService::build()
        .graceful_shutdown_signal(move || {
            let stopping = stopping.clone();
            async move { stopping.notified().await }
        })
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(LINGER_TIME)
        .h1_allow_half_closed(false)
        .local_addr(address)
        .on_connect_ext(move |stream: &GuardedStream, extensions: &mut Extensions| {
            let caller = stream.caller().clone();
            extensions.insert(Arrival { caller, address });
        })
        // The configuration of the application lacks the address, which an arrival has.
        .h1(map_config(app, |_| AppConfig::default()));
    let connections = connections.clone();
    fn_service(move |stream: TcpStream| {
        let peer = stream.peer_addr().ok();
        let stream = GuardedStream::new(stream, connections.accept());
        ready(Ok::<_, DispatchError>((stream, peer)))
    })
    .and_then(http)
}

/// Stops the servers: idle connections are closed at once, the others when their answers are written. Returns after
/// `limit` at the latest; connections that are still open end with the process.
///
/// Guards against answers that are cut by a shutdown: a request counts as answered before its answer is written, and
/// callers may read slowly.
pub async fn stop(server: &ServerHandle, limit: Duration) {
    if timeout(limit, server.stop(true)).await.is_err() {
        log_event!(
            warn,
            log_event::SERVER_FAILED,
            error = "answers were not written in time"
        );
    }
}
