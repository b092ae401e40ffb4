//! Where a follower of the store reads on in a feed.

use spindle_policy::store_era::{EraChange, FeedMark, StoreEra};
use spindle_relay::backends::{Feed, FeedBatch};

/// The position of a follower in a feed. It is valid only in the era in which it was read.
#[derive(Debug)]
pub struct FeedPosition {
    feed: Feed,
    next: Option<u64>,
    era: StoreEra,
}

/// Whether a batch continues what the follower has read.
#[derive(Debug)]
pub enum Continuation {
    /// It does, or it is a complete list.
    Valid(FeedBatch),
    /// The store was restored from an older copy; the complete list is to be read next.
    Restored,
    /// The batch was read before the last restore and is to be ignored.
    Outdated,
}

impl FeedPosition {
    /// The position before anything has been read.
    pub fn new(feed: Feed) -> Self {
        Self { feed, next: None, era: StoreEra::default() }
    }

    /// The offset to read next; none if the complete list is to be read.
    pub const fn next(&self) -> Option<u64> {
        self.next
    }

    /// Reads the complete list next, because records have been deleted unread.
    pub fn on_expired(&mut self) {
        log::info!("event=history_expired feed={} from={:?}", self.feed, self.next);
        self.next = None;
    }

    /// Reads the complete list next, because the answer to the last read can't be decoded: the same
    /// read would have the same answer.
    pub fn on_unreadable(&mut self, cause: &str) {
        log::warn!(
            "event=store_answer_unreadable feed={} from={:?} error={cause:?}",
            self.feed,
            self.next
        );
        self.next = None;
    }

    /// Reads the complete list next, because all but the newest of the records that are left are out
    /// of date.
    pub const fn skip_outdated(&mut self) {
        self.next = None;
    }

    /// Skips what another daemon has read. Has no effect before the first read, or if the other daemon
    /// read in another era.
    pub fn advance(&mut self, mark: FeedMark) {
        if self.era.known() == mark.era {
            self.next = self.next.map(|next| next.max(mark.next));
        }
    }

    /// Checks a batch that was read from this position, and moves on behind it.
    pub fn on_batch(&mut self, batch: FeedBatch) -> Continuation {
        let (feed, era) = (self.feed, batch.era);
        match self.era.on_answer(era) {
            EraChange::Unchanged => {
                self.next = Some(self.next.unwrap_or_default().max(batch.next));
                Continuation::Valid(batch)
            }
            EraChange::Restored { was } => {
                log::warn!(
                    "event=store_restored feed={feed} era={} was={was} from={:?}",
                    era.unwrap_or_default(),
                    self.next
                );
                self.next = None;
                Continuation::Restored
            }
            EraChange::Outdated => {
                log::info!("event=store_answer_outdated feed={feed} era={era:?}");
                Continuation::Outdated
            }
        }
    }
}
