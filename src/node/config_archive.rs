//! The newest versions of the configuration as documents, from which other daemons are served.

use bytes::Bytes;
use spindle_daemon::config_delta::{digest, encode};
use spindle_daemon::{ConfigPiece, ConfigQuestion};
use spindle_policy::store_era::FeedMark;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The maximum size of all documents together, in bytes; the newest one is kept whatever its size.
const DOCUMENTS_MAX_BYTES: usize = 6 * 1024 * 1024;

/// The maximum number of documents.
const DOCUMENTS_MAX: usize = 16;

/// The maximum number of encodings.
const ENCODINGS_MAX: usize = 8;

/// The maximum size of one piece, in bytes.
const PIECE_MAX_BYTES: usize = 32 * 1024;

/// One version of the configuration, as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// Version of the configuration.
    pub version: u64,
    /// The encoded configuration.
    pub content: Bytes,
    /// Where a reader of the store that has this version reads on; none if unknown.
    pub mark: Option<FeedMark>,
}

/// A document compressed against another one.
#[derive(Clone, Debug)]
struct Encoding {
    version: u64,
    /// Version that it is compressed against; 0 if against none.
    base: u64,
    digest: u64,
    content: Bytes,
}

#[derive(Debug, Default)]
struct State {
    /// Lowest version first.
    documents: VecDeque<Document>,
    /// Oldest first.
    encodings: VecDeque<Encoding>,
}

/// The documents. Clones share all state.
#[derive(Clone, Debug, Default)]
pub struct ConfigArchive(Arc<Mutex<State>>);

impl ConfigArchive {
    /// Adds a version that is newer than all others.
    pub fn add(&self, document: Document) {
        let mut state = self.state();
        state.documents.push_back(document);
        let size =
            |state: &State| state.documents.iter().map(|one| one.content.len()).sum::<usize>();
        while state.documents.len() > 1
            && (state.documents.len() > DOCUMENTS_MAX || size(&state) > DOCUMENTS_MAX_BYTES)
        {
            state.documents.pop_front();
        }
    }

    /// The newest version.
    pub fn newest(&self) -> Option<Document> {
        self.state().documents.back().cloned()
    }

    /// A version, if it is kept.
    pub fn document(&self, version: u64) -> Option<Document> {
        self.state().document(version).cloned()
    }

    /// The answer to another daemon; none if there is no newer version for it, or no such piece.
    pub fn piece(&self, question: ConfigQuestion) -> Option<ConfigPiece> {
        let mut state = self.state();
        let version = match question.version {
            Some(version) => version,
            None => state.documents.back().map(|newest| newest.version)?,
        };
        if version <= question.own {
            return None;
        }
        let mark = state.document(version)?.mark;
        let encoding = state.encoding(question.own, version)?;
        let offset = usize::try_from(question.offset).ok()?;
        let rest = encoding.content.get(offset..)?;
        Some(ConfigPiece {
            version,
            base: encoding.base,
            digest: encoding.digest,
            size: encoding.content.len() as u64,
            offset: question.offset,
            content: rest[..rest.len().min(PIECE_MAX_BYTES)].to_vec(),
            mark,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is safe to use: no holder panics halfway through a change.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn document(&self, version: u64) -> Option<&Document> {
        self.documents.iter().find(|document| document.version == version)
    }

    /// A version compressed against `own`, or against nothing if that is not kept.
    fn encoding(&mut self, own: u64, version: u64) -> Option<Encoding> {
        let base = self.document(own);
        let base_version = base.map_or(0, |base| base.version);
        let is_same = |known: &&Encoding| (known.base, known.version) == (base_version, version);
        if let Some(known) = self.encodings.iter().find(is_same) {
            return Some(known.clone());
        }
        let document = self.document(version)?;
        let base = base.map_or(&[][..], |base| &base.content);
        let content = match encode(base, &document.content) {
            Ok(content) => content,
            Err(error) => {
                log::warn!("event=configuration_unencoded version={version} error={error:?}");
                return None;
            }
        };
        let digest = digest(&document.content);
        let encoding = Encoding { version, base: base_version, digest, content: content.into() };
        if self.encodings.len() >= ENCODINGS_MAX {
            self.encodings.pop_front();
        }
        self.encodings.push_back(encoding.clone());
        Some(encoding)
    }
}

#[cfg(test)]
mod tests;
