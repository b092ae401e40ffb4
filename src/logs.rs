//! Log output, one line of `key=value` pairs per event.

use crate::settings::LogLevel;
use log::LevelFilter;
use simplelog::{ColorChoice, Config, ConfigBuilder, TermLogger, TerminalMode, WriteLogger};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

/// The maximum number of lines that wait to be written, which is a few hundred kilobytes. Further
/// lines are dropped and counted.
const QUEUED_LINES_MAX: usize = 1_024;

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
    let (queue, receiver) = sync_channel(QUEUED_LINES_MAX);
    std::thread::spawn(move || write_lines(&receiver));
    let output = QueuedOutput { queue, line: Vec::new() };
    // An error means that logging has already been started.
    let _ = WriteLogger::init(level.into(), config(), output);
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

/// Collects complete lines and queues them for the thread that writes them.
struct QueuedOutput {
    queue: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl Write for QueuedOutput {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(data);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if let Err(TrySendError::Full(_)) = self.queue.try_send(line) {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(mut line) = lines.recv() {
        // All lines queued in the meantime are written at once.
        while let Ok(next) = lines.try_recv() {
            line.extend(next);
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.extend(format!("event=log_lines_dropped count={dropped}\n").bytes());
        }
        // A failure can't be reported, as this is the log output itself.
        let _ = output.write_all(&line).and_then(|()| output.flush());
    }
}
