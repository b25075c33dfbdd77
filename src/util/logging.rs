//! Structured logging.

use std::io;
use std::io::IsTerminal;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use tracing::Event;
use tracing::Metadata;
use tracing::Subscriber;
use tracing::field::Field;
use tracing::field::Visit;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::Layer;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::Context;
use tracing_subscriber::layer::Filter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::settings::LogFormat;
use crate::util::clock;
use crate::util::log_budget::LogBudget;

/// Maximum number of lines queued for the writer thread; further lines are dropped.
const MAX_QUEUED_LINES: usize = 512;

/// How long the end of the process waits for queued lines to be written. A log reader that has stopped reading must not
/// delay a shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Writes log lines to standard error in the given format. `RUST_LOG` sets the level, `info` by default.
pub fn init(format: LogFormat) {
    let builder = tracing_subscriber::fmt()
        .with_env_filter(level_filter())
        .with_target(false)
        // Failure guarded against: the process that reads the log exits, and the daemon then neither serves well nor
        // stops. The library would report a failed write on standard error too, and panic because that fails as
        // well; a thread that panics prevents the shutdown. A line that can't be written is dropped instead.
        .log_internal_errors(false)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Text => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}

/// The level filter of `RUST_LOG`; `info` by default, and `warn` for `actix_server`.
fn level_filter() -> EnvFilter {
    EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info,actix_server=warn"))
}

/// Logs a numbered event: `log_event!(info, log_event::STARTED, address = %a)`.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr $(, $($field:tt)*)?) => {
        tracing::$level!(event = $event.number, $($($field)*,)? "{}", $event.slug)
    };
}

/// The budget of log lines, shared with the metrics that report dropped lines.
pub type SharedBudget = Arc<Mutex<LogBudget>>;

/// A message to the writer thread.
#[derive(Debug)]
enum WriterMessage {
    Line(Vec<u8>),
    /// Confirm through this channel when all previous lines are written.
    Flush(SyncSender<()>),
}

/// A log with a limited rate, whose lines are written by a separate thread.
#[derive(Debug, Clone)]
pub struct BoundedLog {
    /// The budget of the log lines.
    pub budget: SharedBudget,
    sender: SyncSender<WriterMessage>,
}

impl BoundedLog {
    /// Waits until all lines logged so far are written, for at most 200 ms.
    ///
    /// Failure guarded against: the process exits while its last lines are queued for the writer thread, and the log
    /// doesn't show why it exited.
    pub fn finish(&self) {
        let (confirm, confirmed) = sync_channel(1);
        // A full queue means that the log is not being read, so that waiting would have no use.
        if self.sender.try_send(WriterMessage::Flush(confirm)).is_ok() {
            let _ = confirmed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Writes log lines to standard output in the given format, within a budget and from a separate thread, so that a
/// reader that stops reading causes dropped lines and no other harm. `RUST_LOG` sets the level, `info` by default.
pub fn init_bounded(format: LogFormat) -> BoundedLog {
    let budget = Arc::new(Mutex::new(LogBudget::new(clock::now())));
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    std::thread::spawn(move || write_lines(&receiver));
    let log = BoundedLog { budget, sender };
    let layer = tracing_subscriber::fmt::layer()
        .with_target(false)
        .with_ansi(false)
        .log_internal_errors(false)
        .with_writer(log.clone());
    let layer = match format {
        LogFormat::Text => layer.boxed(),
        LogFormat::Json => layer.json().boxed(),
    };
    let layer = layer.with_filter(BudgetFilter(log.budget.clone()));
    tracing_subscriber::registry()
        .with(level_filter())
        .with(layer)
        .init();
    log
}

fn write_lines(messages: &Receiver<WriterMessage>) {
    let mut out = io::stdout();
    while let Ok(message) = messages.recv() {
        let result = match message {
            WriterMessage::Line(line) => out.write_all(&line).and_then(|()| out.flush()),
            WriterMessage::Flush(confirm) => {
                // The receiver may have timed out.
                let _ = confirm.send(());
                Ok(())
            }
        };
        if result.is_err() {
            // The log is no longer read, and there is no other place to report the error.
            return;
        }
    }
}

/// Passes complete lines to the writer thread. A line that can't be queued is dropped and counted as event 0.
impl Write for BoundedLog {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.sender.try_send(WriterMessage::Line(line.to_vec())).is_err() {
            let mut budget = self
                .budget
                .lock()
                .expect("no thread panics while it holds the budget");
            budget.count_unwritten(0);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for BoundedLog {
    type Writer = BoundedLog;

    fn make_writer(&'a self) -> BoundedLog {
        self.clone()
    }
}

/// Lets events pass that are within the budget.
struct BudgetFilter(SharedBudget);

impl<S> Filter<S> for BudgetFilter
where
    S: Subscriber,
{
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let mut number = EventNumber(0);
        event.record(&mut number);
        let mut budget = self.0.lock().expect("no thread panics while it holds the budget");
        budget.allow(clock::now(), number.0)
    }
}

/// Reads the number of an event; 0 for lines of libraries, which have none.
struct EventNumber(u16);

impl Visit for EventNumber {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "event" {
            self.0 = u16::try_from(value).unwrap_or_default();
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn std::fmt::Debug) {}
}
