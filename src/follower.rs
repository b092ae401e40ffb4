//! Follows the operators' stream and publishes the configuration.
//!
//! Does nothing while the log is unavailable: the newest revision stays in force.

use crate::context::Context;
use spindle_log::{Log, ReadError};
use spindle_policy::fold::{Fold, Folded};
use spindle_types::{Configuration, Offset, StreamName};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The stream that holds the configuration.
pub const CONFIG_STREAM: &str = "configuration";

/// How long a read waits for the first record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// The pause after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The configuration in force at this daemon.
pub type ConfigWatch = watch::Receiver<Arc<Configuration>>;

/// Starts to follow the stream.
pub fn start<C: Context>(context: C) -> (ConfigWatch, tokio::task::JoinHandle<()>) {
    let (sender, receiver) = watch::channel(Arc::default());
    let follower = Follower { context, fold: Fold::new(), sender };
    (receiver, tokio::spawn(follower.run()))
}

/// The name of a stream that is known to be valid.
pub fn stream_name(name: &'static str) -> StreamName {
    StreamName::try_from(name).expect("stream names in the program are valid")
}

struct Follower<C> {
    context: C,
    fold: Fold,
    sender: watch::Sender<Arc<Configuration>>,
}

impl<C: Context> Follower<C> {
    async fn run(mut self) {
        let stream = stream_name(CONFIG_STREAM);
        while !self.sender.is_closed() {
            if let Err(error) = self.read(&stream).await {
                log::warn!("event=config_read_failed error={error:?}");
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    }

    async fn read(&mut self, stream: &StreamName) -> Result<(), ReadError> {
        let batch = self.context.log().read(stream, self.fold.next(), READ_WAIT).await?;
        for record in batch.records {
            self.on_record(record.offset, record.body.get());
        }
        Ok(())
    }

    fn on_record(&mut self, offset: Offset, body: &str) {
        let record = match serde_json::from_str(body) {
            Ok(record) => record,
            Err(error) => {
                log::warn!("event=config_record_invalid offset={offset} error={error:?}");
                self.fold.skip(offset);
                return;
            }
        };
        match self.fold.on_record(offset, record) {
            Folded::Applied { revision } | Folded::Restored { revision } => {
                log::info!("event=config_in_force revision={revision}");
                self.sender.send_replace(Arc::clone(self.fold.state()));
            }
            Folded::Conflict { winner } => {
                log::info!("event=config_conflict offset={offset} winner={winner}");
            }
            Folded::Ignored => {}
        }
    }
}
