//! Starting an HTTP server the same way in all stand-ins.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::web::ServiceConfig;

/// Seconds that a stand-in gives running requests after SIGTERM.
const DRAIN: u64 = 30;

/// Serves `configure` on `listen` until SIGTERM, then finishes running requests.
///
/// Prints `listening ADDRESS` on standard output once it accepts connections, so that a caller that asked for
/// port 0 learns the port.
///
/// # Errors
///
/// If the address can't be bound or the server fails.
pub async fn serve<F>(listen: SocketAddr, workers: usize, configure: F) -> eyre::Result<()>
where
    F: Fn(&mut ServiceConfig) + Send + Clone + 'static,
{
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let server = HttpServer::new(move || App::new().configure(configure.clone()))
        .workers(workers)
        .shutdown_timeout(DRAIN)
        .listen(listener)?
        .run();
    let mut out = std::io::stdout();
    writeln!(out, "listening {address}")?;
    out.flush()?;
    server.await?;
    Ok(())
}
