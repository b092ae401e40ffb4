//! A separate Tokio runtime for daemons, whose CPU time can be measured apart from that of the
//! stand-ins and the load generator in the same process.

use std::fs;
use tokio::runtime::{Builder, Handle, Runtime};

/// The name of the runtime's threads, by which their CPU time is found in `/proc`.
const THREAD_NAME: &str = "spindle-daemon";

/// The number of worker threads of the runtime.
const WORKERS: usize = 4;

/// The number of nanoseconds per second.
const NANOS_PER_SECOND: f64 = 1e9;

/// The runtime on which daemons run.
#[derive(Debug)]
pub(super) struct DaemonThreads(Option<Runtime>);

impl DaemonThreads {
    /// Starts the runtime.
    ///
    /// # Errors
    ///
    /// A thread can't be started.
    pub(super) fn start() -> eyre::Result<Self> {
        let mut builder = Builder::new_multi_thread();
        builder.worker_threads(WORKERS).thread_name(THREAD_NAME).enable_all();
        Ok(Self(Some(builder.build()?)))
    }

    /// Returns the handle with which daemons are spawned.
    pub(super) fn handle(&self) -> Handle {
        self.0.as_ref().map_or_else(Handle::current, |runtime| runtime.handle().clone())
    }

    /// Returns the CPU time of the runtime's threads so far, in seconds, or 0 on systems without
    /// `/proc`.
    pub(super) fn cpu_seconds(&self) -> f64 {
        let Ok(threads) = fs::read_dir("/proc/self/task") else {
            return 0.0;
        };
        let nanos = threads.flatten().filter_map(|thread| {
            let name = fs::read_to_string(thread.path().join("comm")).ok()?;
            if name.trim() != THREAD_NAME {
                return None;
            }
            let stat = fs::read_to_string(thread.path().join("schedstat")).ok()?;
            stat.split_whitespace().next()?.parse::<f64>().ok()
        });
        nanos.sum::<f64>() / NANOS_PER_SECOND
    }
}

impl Drop for DaemonThreads {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}
