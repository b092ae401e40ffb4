//! Loads the TLS certificates and keys of the connections between daemons, and reloads them when a
//! file changes. Does nothing if the settings name no files.

use crate::settings::PeerSettings;
use eyre::WrapErr;
use spindle_daemon::{Tls, TlsFiles};
use std::time::{Duration, SystemTime};
use tokio::task::JoinHandle;

/// Interval of the check for changed files.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// TLS configuration from the files that the settings name. Dropping it aborts the task that
/// watches the files.
#[derive(Debug, Default)]
pub struct PeerTls {
    tls: Option<Tls>,
    task: Option<JoinHandle<()>>,
}

impl PeerTls {
    /// Loads the files and starts the task that watches them.
    ///
    /// # Errors
    ///
    /// A file can't be read, or its content is not valid.
    pub fn load(settings: &PeerSettings) -> eyre::Result<Self> {
        let Some(files) = &settings.tls else {
            return Ok(Self::default());
        };
        let tls = Tls::load(TlsFiles::from(files)).wrap_err("peer.tls")?;
        let task = tokio::spawn(follow(tls.clone(), CHECK_INTERVAL));
        Ok(Self { tls: Some(tls), task: Some(task) })
    }

    /// The TLS configuration; `None` if the settings name no files.
    pub fn tls(&self) -> Option<Tls> {
        self.tls.clone()
    }
}

impl Drop for PeerTls {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

async fn follow(tls: Tls, interval: Duration) {
    let mut seen = modification_times(tls.files());
    loop {
        tokio::time::sleep(interval).await;
        let now = modification_times(tls.files());
        if now == seen {
            continue;
        }
        seen = now;
        match tls.reload() {
            Ok(()) => log::info!("event=keys_reloaded"),
            Err(error) => log::warn!("event=keys_not_reloaded error={:?}", error.to_string()),
        }
    }
}

/// When the files were last modified; `None` for a file whose metadata can't be read.
fn modification_times(files: &TlsFiles) -> [Option<SystemTime>; 3] {
    let modified = |path| std::fs::metadata(path).and_then(|data| data.modified()).ok();
    [&files.certificate, &files.key, &files.authority].map(modified)
}

#[cfg(test)]
mod tests;
