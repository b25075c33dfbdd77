//! The HTTP server shared by all stand-ins, with graceful shutdown.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use actix_web::App;
use actix_web::Error;
use actix_web::HttpServer;
use actix_web::body::MessageBody;
use actix_web::dev::ServerHandle;
use actix_web::dev::ServiceRequest;
use actix_web::dev::ServiceResponse;
use actix_web::http::ConnectionType;
use actix_web::middleware::Next;
use actix_web::middleware::from_fn;
use actix_web::web::Data;
use actix_web::web::ServiceConfig;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Seconds that running requests have to finish after SIGTERM or SIGINT.
const DRAIN_SECONDS: u64 = 30;

/// Set once the stand-in has received a signal to shut down.
#[derive(Debug, Default)]
struct Stopping(AtomicBool);

/// Serves `configure` on `listen` until SIGTERM or SIGINT, then finishes running requests.
///
/// Prints `listening ADDRESS` on standard output once it accepts connections, so that whoever started it with port 0
/// learns the port.
///
/// # Errors
///
/// If the address can't be bound, standard output can't be written or the server fails.
pub async fn serve<F>(listen: SocketAddr, workers: usize, configure: F) -> eyre::Result<()>
where
    F: Fn(&mut ServiceConfig) + Send + Clone + 'static,
{
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let stopping = Arc::new(Stopping::default());
    let state = stopping.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::from(state.clone()))
            .wrap(from_fn(close_when_stopping::<_>))
            .configure(configure.clone())
    })
    .workers(workers)
    .disable_signals()
    .shutdown_timeout(DRAIN_SECONDS)
    .listen(listener)?
    .run();
    actix_web::rt::spawn(stop_on_signal(stopping, server.handle()));
    let mut out = std::io::stdout();
    writeln!(out, "listening {address}")?;
    out.flush()?;
    server.await?;
    Ok(())
}

/// Closes each connection after its next response once the stand-in is shutting down.
///
/// Without this, a daemon that polls the load every half second over a keep-alive connection never lets the
/// connection become idle, and the shutdown waits for it until [`DRAIN_SECONDS`] have passed.
async fn close_when_stopping<B>(
    stopping: Data<Stopping>,
    request: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<B>, Error>
where
    B: MessageBody + 'static,
{
    let mut response = next.call(request).await?;
    if stopping.0.load(Ordering::Acquire) {
        let head = response.response_mut().head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}

/// Shuts the server down gracefully on SIGTERM or SIGINT.
async fn stop_on_signal(stopping: Arc<Stopping>, server: ServerHandle) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stopping.0.store(true, Ordering::Release);
    server.stop(true).await;
    Ok(())
}
