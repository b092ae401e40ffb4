//! Log output, one line of `key=value` pairs per event.

use crate::settings::LogLevel;
use log::LevelFilter;
use simplelog::{ColorChoice, Config, ConfigBuilder, TermLogger, TerminalMode, WriteLogger};
use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// The maximum number of lines that wait to be written, which is a few hundred kilobytes. Further
/// lines are dropped and counted.
const QUEUED_LINES_MAX: usize = 1_024;

/// How long a process that ends waits for its last lines to be written. A reader that stalls for
/// longer loses them.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Off => Self::Off,
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}

/// Starts the log output on standard error. Does nothing if logging has already been started.
pub fn start_stderr(level: LogLevel) {
    let config = config();
    // An error means that logging has already been started.
    let _ = TermLogger::init(level.into(), config, TerminalMode::Stderr, ColorChoice::Never);
}

/// Starts the log output on standard output, for processes whose output is collected.
///
/// A slow reader never blocks the process. Lines that don't fit into the queue are dropped, and the
/// next line that is written reports their number.
pub fn start_stdout(level: LogLevel) {
    let output = QueuedOutput::start(io::stdout());
    // Fails if logging has already been started; the first queue stays.
    let _ = QUEUE.set(output.queue.clone());
    // An error means that logging has already been started.
    let _ = WriteLogger::init(level.into(), config(), output);
}

/// Waits until all lines queued so far have been written, at most [`FLUSH_TIMEOUT`]. To be called
/// before the process ends, as its threads end with it.
pub fn flush_stdout() {
    if let Some(queue) = QUEUE.get() {
        flush(queue);
    }
}

fn flush(queue: &SyncSender<Item>) {
    let (written, done) = sync_channel(1);
    // Fails if the queue is full: the reader has stalled, so waiting would not help.
    if queue.try_send(Item::Flush(written)).is_ok() {
        // A timeout can't be reported, as this is the log output itself.
        let _ = done.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("bronzespindle")
        .add_filter_allow_str("spindle")
        .build()
}

/// The number of lines dropped since the last one was written.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// The queue of the lines for standard output.
static QUEUE: OnceLock<SyncSender<Item>> = OnceLock::new();

/// What the writing thread receives.
enum Item {
    /// A complete line.
    Line(Vec<u8>),
    /// Asks for a message once all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// Collects complete lines and queues them for the thread that writes them.
struct QueuedOutput {
    queue: SyncSender<Item>,
    line: Vec<u8>,
}

impl QueuedOutput {
    /// Starts the thread that writes the lines to `output`.
    fn start(output: impl Write + Send + 'static) -> Self {
        let (queue, receiver) = sync_channel(QUEUED_LINES_MAX);
        std::thread::spawn(move || write_lines(&receiver, output));
        Self { queue, line: Vec::new() }
    }
}

impl Write for QueuedOutput {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(data);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if let Err(TrySendError::Full(_)) = self.queue.try_send(Item::Line(line)) {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(items: &Receiver<Item>, mut output: impl Write) {
    let mut lines = Vec::new();
    let mut flushes = Vec::new();
    while let Ok(first) = items.recv() {
        // All lines queued in the meantime are written at once.
        for item in std::iter::once(first).chain(items.try_iter()) {
            match item {
                Item::Line(line) => lines.extend(line),
                Item::Flush(written) => flushes.push(written),
            }
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            lines.extend(format!("event=log_lines_dropped count={dropped}\n").bytes());
        }
        // A failure can't be reported, as this is the log output itself.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
        lines.clear();
        for written in flushes.drain(..) {
            // Fails if the process no longer waits.
            let _ = written.try_send(());
        }
    }
}

#[cfg(test)]
mod tests;
