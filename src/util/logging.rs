//! Structured logs.

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

/// Lines that wait for whoever reads them; more are dropped.
const MAX_QUEUED_LINES: usize = 512;

/// How long the end of the process waits for lines that are not written yet. A reader that stopped reading must not hold
/// up a shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Sends log lines to standard error in the given format; `RUST_LOG` sets the level, `info` by default.
pub fn init(format: LogFormat) {
    let builder = tracing_subscriber::fmt()
        .with_env_filter(level_filter())
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

/// The levels of `RUST_LOG`, `info` by default.
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

/// The budget of log lines, shared with whoever shows what was dropped.
pub type SharedBudget = Arc<Mutex<LogBudget>>;

/// What the thread that writes is handed.
#[derive(Debug)]
enum WriterMessage {
    Line(Vec<u8>),
    /// All lines before this are written; say so.
    Flush(SyncSender<()>),
}

/// The log of a process whose lines a thread of their own writes.
#[derive(Debug, Clone)]
pub struct BoundedLog {
    /// The budget of its lines.
    pub budget: SharedBudget,
    sender: SyncSender<WriterMessage>,
}

impl BoundedLog {
    /// Waits until the lines so far are written, but not for long.
    ///
    /// Failure guarded against: the process ends while its last lines wait for their thread. Why it ended is what
    /// whoever reads the log looks for.
    pub fn finish(&self) {
        let (written, wait) = sync_channel(1);
        // A full queue means that nobody reads: then there is nobody to wait for.
        if self.sender.try_send(WriterMessage::Flush(written)).is_ok() {
            let _ = wait.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Sends log lines to standard output in the given format, within a budget, by a thread of their own: a reader that stops
/// reading costs lines, and nothing else. `RUST_LOG` sets the level, `info` by default.
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

fn write_lines(lines: &Receiver<WriterMessage>) {
    let mut out = io::stdout();
    while let Ok(output) = lines.recv() {
        let written = match output {
            WriterMessage::Line(line) => out.write_all(&line).and_then(|()| out.flush()),
            WriterMessage::Flush(written) => {
                // Whoever asked may have stopped waiting.
                let _ = written.send(());
                Ok(())
            }
        };
        if written.is_err() {
            // Nobody reads any more, and there is no other place to say so.
            return;
        }
    }
}

/// Hands whole lines to the thread that writes them.
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

/// Passes the events that the budget allows.
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

/// The number of an event; 0 for lines of libraries.
struct EventNumber(u16);

impl Visit for EventNumber {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "event" {
            self.0 = u16::try_from(value).unwrap_or_default();
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn std::fmt::Debug) {}
}
