//! Loads the keys of the connections between daemons, and loads them again when a file changes.
//! Does nothing where no keys are set.

use crate::settings::PeerSettings;
use eyre::WrapErr;
use spindle_daemon::{Tls, TlsFiles};
use std::time::{Duration, SystemTime};
use tokio::task::JoinHandle;

/// The time between two looks at the files.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The keys that the settings name; the task that follows their files is aborted when dropped.
#[derive(Debug, Default)]
pub struct PeerTls {
    tls: Option<Tls>,
    task: Option<JoinHandle<()>>,
}

impl PeerTls {
    /// Loads the keys and starts to follow their files.
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

    /// The keys, if there are any.
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
    let mut seen = times(tls.files());
    loop {
        tokio::time::sleep(interval).await;
        let now = times(tls.files());
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

/// When the files were changed; none for a file that can't be looked at.
fn times(files: &TlsFiles) -> [Option<SystemTime>; 3] {
    let modified = |path| std::fs::metadata(path).and_then(|data| data.modified()).ok();
    [&files.certificate, &files.key, &files.authority].map(modified)
}

#[cfg(test)]
mod tests;
