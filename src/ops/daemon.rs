//! Starting and stopping the daemon.

use std::future::ready;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use eyre::WrapErr;
use sequoiastream_core::log_event;

use crate::log_event;
use crate::ops::control::Control;
use crate::ops::control::claims::Stop;
use crate::ops::dispatch::Dispatch;
use crate::ops::shared::Shared;
use crate::settings::Settings;

/// Seconds that running requests have after SIGTERM.
const DRAIN: u64 = 60;

/// How long pending writes may take after the last request.
const FLUSH: Duration = Duration::from_secs(5);

/// Runs the daemon until SIGTERM.
///
/// Prints `listening ADDRESS` on standard output once it accepts connections.
///
/// # Errors
///
/// If the address can't be bound or the server fails.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let listen = settings.listen;
    let workers = settings.workers;
    let listener = TcpListener::bind(listen).wrap_err_with(|| format!("could not listen on {listen}"))?;
    let address = listener.local_addr()?;
    let peer = settings.peer;
    let peers = TcpListener::bind(peer).wrap_err_with(|| format!("could not listen on {peer}"))?;
    peers.set_nonblocking(true)?;
    let shared = Arc::new(Shared::new(settings));
    let control = Control::start(shared.clone(), peers);
    let claims = control.claims.clone();
    let server = HttpServer::new(move || {
        let dispatch = Dispatch::new(shared.clone(), control.clone());
        let version = shared.clone();
        let version = move || ready(HttpResponse::Ok().json(version.snapshot.load().version));
        App::new()
            .route("/version", web::get().to(version))
            .configure(|config| sequoiastream_operator::http::configure(config, dispatch.clone()))
            .configure(|config| sequoiastream_caller::configure(config, dispatch.clone()))
    })
    .workers(workers)
    .shutdown_timeout(DRAIN)
    .listen(listener)?
    .run();
    log_event!(info, log_event::STARTED, %address);
    let mut out = std::io::stdout();
    writeln!(out, "listening {address}")?;
    out.flush()?;
    server.await.wrap_err("the server failed")?;
    // What became of the last claimed requests is still to be written, or repeats would be told `unknown`.
    let _ = tokio::time::timeout(FLUSH, claims.send(Stop)).await;
    log_event!(info, log_event::STOPPED);
    Ok(())
}
