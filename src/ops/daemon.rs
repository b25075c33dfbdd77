//! Starting and stopping the daemon.

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

/// How often a shutdown looks whether its next step is due.
const STEP: Duration = Duration::from_millis(20);

/// Seconds that connections have to close after the last answer.
const CLOSE: u64 = 10;

/// Runs the daemon until SIGTERM or SIGINT, then shuts down gracefully.
///
/// Prints `listening ADDRESS` on standard output once it accepts connections.
///
/// # Errors
///
/// If an address can't be bound or the server fails.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let listen = settings.listen;
    let workers = settings.workers;
    let listener = TcpListener::bind(listen).wrap_err_with(|| format!("could not listen on {listen}"))?;
    let address = listener.local_addr()?;
    let sockets = Sockets::bind(&settings, address)?;
    let shared = Arc::new(Shared::new(settings));
    let control = Control::start(shared.clone(), sockets).await?;
    let (state, actors) = (shared.clone(), control.clone());
    let server = HttpServer::new(move || {
        let dispatch = Dispatch::new(state.clone(), actors.clone());
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
    .shutdown_timeout(CLOSE)
    .listen(listener)?
    .run();
    // Failure guarded against: a signal right after `listening` ends the process without any step of a shutdown,
    // since nobody waits for signals yet. They are taken from here on, before that line.
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    let stopping = actix::spawn(stop(
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
    server.await.wrap_err("the server failed")?;
    stopping.await.wrap_err("the shutdown failed")?;
    control.release_leases().await;
    log_event!(info, log_event::STOPPED);
    Ok(())
}

/// Waits for a signal and takes the steps of a shutdown.
async fn stop(
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
    let mut shutdown = Shutdown::new(shared.settings.times);
    shutdown.begin(clock::now());
    shared.leave();
    control.membership.do_send(Leave);
    let mut phase = Phase::Unlisted;
    while phase != Phase::Drained {
        actix::clock::sleep(STEP).await;
        let next = shutdown.step(clock::now(), shared.count_running());
        if next > phase && next == Phase::Refusing {
            log_event!(info, log_event::REFUSING, running = shared.count_running());
            shared.refuse_work();
        }
        phase = next;
    }
    server.stop(true).await;
}
