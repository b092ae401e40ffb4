//! Records of the software versions that streams were sent to, and questions to the other daemons
//! about streams that this one has no record of.

use spindle_policy::stream_versions::{
    StreamKey, StreamQuestion, StreamRecords, StreamVersions, VersionSource,
};
use spindle_types::{MonotonicInstant, Service, SoftwareVersion};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Questions that may wait to be asked; further ones are answered with "unknown".
const QUESTIONS_MAX: usize = 1_024;

/// A question to the other daemons, and where the answer goes.
#[derive(Debug)]
pub struct PendingQuestion {
    /// Id of the caller's attempt, for the log.
    pub id: String,
    /// The question.
    pub question: StreamQuestion,
    /// Receives the version, and where it is known from.
    pub reply: oneshot::Sender<(Option<SoftwareVersion>, VersionSource)>,
}

/// The records of a daemon. Clones share all state.
#[derive(Clone, Debug)]
pub struct StreamKeeper {
    versions: Arc<Mutex<StreamVersions>>,
    questions: mpsc::Sender<PendingQuestion>,
}

impl StreamKeeper {
    /// Creates a keeper without records, and the receiver of its questions.
    pub fn new() -> (Self, mpsc::Receiver<PendingQuestion>) {
        let (questions, receiver) = mpsc::channel(QUESTIONS_MAX);
        (Self { versions: Arc::default(), questions }, receiver)
    }

    /// Records that this daemon sends a stream to a version.
    pub fn on_sent(
        &self,
        now: MonotonicInstant,
        service: &Service,
        stream: StreamKey,
        version: &SoftwareVersion,
    ) {
        self.versions().on_sent(now, service, stream, version);
    }

    /// Records what another daemon tells of its streams.
    pub fn on_records(&self, now: MonotonicInstant, told: &StreamRecords) {
        self.versions().on_records(now, told);
    }

    /// Takes the streams that other daemons are to be told of.
    pub fn take_untold(
        &self,
        now: MonotonicInstant,
        has_one_version: impl Fn(&Service) -> bool,
    ) -> Vec<StreamRecords> {
        self.versions().take_untold(now, has_one_version)
    }

    /// Records what was stored before this daemon started.
    pub fn on_stored(&self, now: MonotonicInstant, told: &StreamRecords) {
        self.versions().on_stored(now, told);
    }

    /// Takes the streams of all daemons that are to be stored.
    pub fn take_unstored(&self, now: MonotonicInstant) -> Vec<StreamRecords> {
        self.versions().take_unstored(now)
    }

    /// Forgets the streams that another daemon stores, but for those told in the time `kept`.
    pub fn drop_unstored(&self, now: MonotonicInstant, kept: Duration) {
        self.versions().drop_unstored(now, kept);
    }

    /// The version of a stream that is on record here.
    pub fn version(&self, now: MonotonicInstant, stream: StreamKey) -> Option<SoftwareVersion> {
        self.versions().version(now, stream).cloned()
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.versions().len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Finds out at which version a stream began that the attempt `id` takes up.
    pub async fn find(
        &self,
        now: MonotonicInstant,
        question: StreamQuestion,
        id: &str,
    ) -> (Option<SoftwareVersion>, VersionSource) {
        if let Some(version) = self.version(now, question.stream) {
            return (Some(version), VersionSource::Own);
        }
        let (reply, answer) = oneshot::channel();
        let unknown = (None, VersionSource::Unknown);
        let pending = PendingQuestion { id: id.to_owned(), question, reply };
        if let Err(error) = self.questions.try_send(pending) {
            log::warn!("event=stream_question_dropped id={id} error={error}");
            return unknown;
        }
        answer.await.unwrap_or(unknown)
    }

    fn versions(&self) -> MutexGuard<'_, StreamVersions> {
        // A poisoned lock is safe to use: no holder panics halfway through a change.
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
