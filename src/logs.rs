//! Log output: one line of key=value pairs an event.

use crate::settings::LogLevel;
use log::LevelFilter;
use simplelog::{ColorChoice, Config, ConfigBuilder, TermLogger, TerminalMode, WriteLogger};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

/// Lines that may wait to be written. A few hundred kilobytes; more is dropped and counted.
const LINES_MAX: usize = 1_024;

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

/// Starts the log output on standard error. Does nothing if it has been started before.
pub fn start_stderr(level: LogLevel) {
    let config = config();
    // An error means that it has been started before.
    let _ = TermLogger::init(level.into(), config, TerminalMode::Stderr, ColorChoice::Never);
}

/// Starts the log output on standard output, for processes whose output is collected. A reader that
/// is slow costs lines, not time: what can't be written soon is dropped, and the next line that is
/// written says how many were.
pub fn start_stdout(level: LogLevel) {
    let (sender, receiver) = sync_channel(LINES_MAX);
    std::thread::spawn(move || write_lines(&receiver));
    let output = Output { sender, line: Vec::new() };
    // An error means that it has been started before.
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

/// Lines that were dropped since the last one that was written.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Hands whole lines to the thread that writes them.
struct Output {
    sender: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl Write for Output {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(data);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if let Err(TrySendError::Full(_)) = self.sender.try_send(line) {
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
        // One write for all that has come in the meantime.
        while let Ok(next) = lines.try_recv() {
            line.extend(next);
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.extend(format!("event=log_lines_dropped count={dropped}\n").bytes());
        }
        // Nobody could be told of a failure here.
        let _ = output.write_all(&line).and_then(|()| output.flush());
    }
}
