//! Structured logs.

use std::io::IsTerminal;

use tracing_subscriber::EnvFilter;

use crate::settings::LogFormat;

/// Sends log lines to standard error in the given format; `RUST_LOG` sets the level, `info` by default.
pub fn init(format: LogFormat) {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info,actix_server=warn"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        // Failure guarded against: whoever reads the log ends, and the daemon neither serves well nor stops. The
        // library would report the failed write on standard error too, and panic since that fails as well; a
        // thread that panics takes the shutdown with it. A line that can't be written is lost instead.
        .log_internal_errors(false)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Text => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}

/// Logs a numbered event: `log_event!(info, log_event::STARTED, address = %a)`.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr $(, $($field:tt)*)?) => {
        tracing::$level!(event = $event.number, $($($field)*,)? "{}", $event.slug)
    };
}
