//! Startup and graceful shutdown of the daemon.

use std::future::ready;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::middleware::from_fn;
use actix_web::web;
use actix_web::web::Data;
use eyre::WrapErr;
use sequoiastream_core::log_event;
use sequoiastream_core::shutdown::Phase;
use sequoiastream_core::shutdown::Shutdown;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::log_event;
use crate::ops::control::Control;
use crate::ops::control::Leave;
use crate::ops::control::Sockets;
use crate::ops::dispatch::Dispatch;
use crate::ops::exchange;
use crate::ops::shared::Shared;
use crate::settings::Settings;
use crate::util::clock;

/// Interval at which a shutdown checks whether its next phase is due.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time in seconds for connections to close after the last response, before the server closes them.
const CONNECTION_CLOSE_TIMEOUT_SECS: u64 = 10;

/// Runs the daemon until SIGTERM or SIGINT, then shuts down gracefully.
///
/// Prints `listening ADDRESS` on standard output once it accepts connections.
///
/// # Errors
///
/// Returns an error if an address can't be bound, the control thread can't be started, or the server fails.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let listen = settings.listen;
    let workers = settings.workers;
    let listener = TcpListener::bind(listen).wrap_err_with(|| format!("could not listen on {listen}"))?;
    let address = listener.local_addr()?;
    let sockets = Sockets::bind(&settings, address)?;
    let shared = Arc::new(Shared::new(settings));
    let control = Control::start(shared.clone(), sockets).await?;
    let (state, control_handle) = (shared.clone(), control.clone());
    let server = HttpServer::new(move || {
        let dispatch = Dispatch::new(state.clone(), control_handle.clone());
        let version = state.clone();
        let version = move || ready(HttpResponse::Ok().json(version.snapshot.load().version));
        App::new()
            .app_data(Data::new(state.clone()))
            .wrap(from_fn(exchange::track))
            .route("/version", web::get().to(version))
            .configure(|config| sequoiastream_operator::http::configure(config, dispatch.clone()))
            .configure(|config| sequoiastream_caller::configure(config, dispatch.clone()))
    })
    .workers(workers)
    .disable_signals()
    .shutdown_timeout(CONNECTION_CLOSE_TIMEOUT_SECS)
    .listen(listener)?
    .run();
    // The signal handlers are installed before `listening` is printed: otherwise a signal that arrives right after
    // that line, before anything waits for signals, would end the process without a graceful shutdown.
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    let shutdown_task = actix::spawn(shut_down_on_signal(
        shared,
        control.clone(),
        server.handle(),
        terminate,
        interrupt,
    ));
    log_event!(info, log_event::STARTED, %address);
    let mut out = std::io::stdout();
    writeln!(out, "listening {address}")?;
    out.flush()?;
    server.await.wrap_err("the HTTP server failed")?;
    shutdown_task.await.wrap_err("the graceful shutdown failed")?;
    control.release_leases().await;
    log_event!(info, log_event::STOPPED);
    Ok(())
}

/// Waits for SIGTERM or SIGINT, then goes through the phases of a shutdown and stops the server.
async fn shut_down_on_signal(
    shared: Arc<Shared>,
    control: Control,
    server: ServerHandle,
    mut terminate: Signal,
    mut interrupt: Signal,
) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log_event!(info, log_event::STOPPING);
    let mut shutdown = Shutdown::new(shared.settings.shutdown_times);
    shutdown.begin(clock::now());
    shared.leave();
    control.membership.do_send(Leave);
    let mut phase = Phase::Unlisted;
    while phase != Phase::Drained {
        actix::clock::sleep(SHUTDOWN_POLL_INTERVAL).await;
        let next = shutdown.step(clock::now(), shared.count_running());
        if next > phase && next == Phase::Refusing {
            log_event!(info, log_event::REFUSING, running = shared.count_running());
            shared.refuse_work();
        }
        phase = next;
    }
    server.stop(true).await;
}
