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
use crate::ops::control::Resign;
use crate::ops::dispatch::Dispatch;
use crate::ops::shared::Shared;
use crate::settings::Settings;

/// Seconds that running requests have after SIGTERM.
const DRAIN: u64 = 60;

/// How long giving up the authorities may take.
const RESIGN: Duration = Duration::from_secs(2);

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
    let authority = control.authority.clone();
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
    // Another instance can take over at once instead of after the lease's time.
    let _ = tokio::time::timeout(RESIGN, authority.send(Resign)).await;
    log_event!(info, log_event::STOPPED);
    Ok(())
}
