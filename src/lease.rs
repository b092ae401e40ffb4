//! Takes and keeps the lease of the single actor. The holder plans, sends orders and appends
//! checkpoints. A daemon that stops as planned gives the lease back; one that does not read the
//! log itself does not compete.

use crate::config_follower::stream_name;
use crate::context::Context;
use crate::settings::StateSettings;
use spindle_http::Drain;
use spindle_log::{AppendError, Log, ReadError};
use spindle_policy::lease::{
    LeaseAction, LeaseChange, LeaseRecord, LeaseState, LeaseStep, Permission, PermissionCheck,
};
use spindle_policy::membership::LogAccess;
use spindle_types::config::FencingCheck;
use spindle_types::{Clock, Fencing, Incarnation, MonotonicInstant, Offset, Span, StreamName};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The stream that holds the lease.
pub const LEASE_STREAM: &str = "lease";

/// The longest wait of a read for the first record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// The pause after a failed append or read.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The time within which candidates take turns.
const CANDIDATE_SPREAD: Duration = Duration::from_secs(2);

/// Appends of this daemon that may not have been read yet.
const SENT_MAX: usize = 16;

/// The permission of this daemon to act, while it holds the lease.
pub type LeaseWatch = watch::Receiver<Option<Permission>>;

/// The lease as the tasks of this daemon see it.
#[derive(Clone, Debug)]
pub struct Lease {
    watch: LeaseWatch,
    order_timeout: Duration,
}

impl Lease {
    /// The permission; it must be checked again before each order.
    pub fn watch(&self) -> LeaseWatch {
        self.watch.clone()
    }

    /// The fencing number, if this daemon may start any order at `now`.
    pub fn fencing(&self, now: MonotonicInstant) -> Option<Fencing> {
        match self.check(now, FencingCheck::Checked) {
            PermissionCheck::Granted(fencing) => Some(fencing),
            PermissionCheck::NotBefore(_) | PermissionCheck::Expired => None,
        }
    }

    /// Whether an order to an upstream may be started at `now`.
    pub fn check(&self, now: MonotonicInstant, kind: FencingCheck) -> PermissionCheck {
        let permission = *self.watch.borrow();
        permission
            .map_or(PermissionCheck::Expired, |held| held.check(now, kind, self.order_timeout))
    }
}

/// Starts to compete for the lease until the daemon leaves.
pub fn start<C: Context>(
    context: C,
    settings: &StateSettings,
    own: Incarnation,
    leaving: Drain,
    duty: watch::Receiver<LogAccess>,
) -> (Lease, JoinHandle<()>) {
    let (sender, watch) = watch::channel(None);
    let now = context.clock().now();
    let task = Task {
        context,
        own,
        stream: stream_name(LEASE_STREAM),
        term: settings.lease_term.get(),
        order_timeout: settings.order_timeout.get(),
        fold: LeaseState::new(now),
        renewed: now,
        sent: VecDeque::new(),
        waited: now,
        sender,
        duty,
    };
    let lease = Lease { watch, order_timeout: settings.order_timeout.get() };
    (lease, tokio::spawn(task.run(leaving)))
}

struct Task<C> {
    context: C,
    own: Incarnation,
    stream: StreamName,
    term: Duration,
    order_timeout: Duration,
    fold: LeaseState,
    renewed: MonotonicInstant,
    sent: VecDeque<(u64, MonotonicInstant)>,
    waited: MonotonicInstant,
    sender: watch::Sender<Option<Permission>>,
    duty: watch::Receiver<LogAccess>,
}

impl<C: Context> Task<C> {
    async fn run(mut self, mut leaving: Drain) {
        while !self.sender.is_closed() {
            tokio::select! {
                () = leaving.wait() => return self.release().await,
                () = self.turn() => {}
            }
        }
    }

    async fn turn(&mut self) {
        let holds = self.fold.grant().is_some_and(|grant| grant.holder == self.own);
        if *self.duty.borrow() == LogAccess::ViaPeers && !holds {
            return tokio::time::sleep(READ_WAIT).await;
        }
        let now = self.context.clock().now();
        let step = self.fold.next_step(now, self.own, self.term, self.renewed, CANDIDATE_SPREAD);
        let wait = match step {
            LeaseStep::Wait(until) => until.since(now).min(READ_WAIT),
            LeaseStep::Append { after, action } => {
                self.append(after, action).await;
                Duration::ZERO
            }
        };
        if let Err(error) = self.read(wait).await {
            log::warn!("event=lease_read_failed error={error:?}");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn append(&mut self, after: Offset, action: LeaseAction) {
        let nonce = u64::try_from(self.context.random() >> 64).unwrap_or_default();
        let term = Span(self.term);
        let record = LeaseRecord { holder: self.own, after, term, action, nonce };
        self.renewed = self.context.clock().now();
        self.sent.push_back((nonce, self.renewed));
        if self.sent.len() > SENT_MAX {
            self.sent.pop_front();
        }
        match self.context.log().append_value(&self.stream, &record).await {
            Ok(_) | Err(AppendError::Unknown(_)) => {}
            Err(AppendError::NotAppended(text)) => {
                log::warn!("event=lease_append_failed error={text:?}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn read(&mut self, wait: Duration) -> Result<(), ReadError> {
        let batch = self.context.log().read(&self.stream, self.fold.next(), wait).await?;
        let now = self.context.clock().now();
        self.fold.on_bounds(now, batch.oldest, batch.end);
        for record in batch.records {
            match serde_json::from_str(record.body.get()) {
                Ok(body) => {
                    let granted = self.fold.on_record(now, record.offset, body);
                    self.on_granted(now, granted);
                }
                Err(error) => {
                    log::warn!("event=lease_invalid offset={} error={error:?}", record.offset);
                    self.fold.skip(record.offset);
                }
            }
        }
        Ok(())
    }

    fn on_granted(&mut self, now: MonotonicInstant, granted: LeaseChange) {
        let grant = match granted {
            LeaseChange::Taken(grant) | LeaseChange::Renewed(grant) => Some(grant),
            LeaseChange::Released => None,
            LeaseChange::Ignored => return,
        };
        let own = grant.filter(|grant| grant.holder == self.own);
        if let (LeaseChange::Taken(grant), Some(_)) = (granted, own) {
            self.waited = now + self.order_timeout;
            log::info!("event=lease_taken fencing={}", grant.fencing);
        }
        let sent = own.and_then(|own| self.sent.iter().find(|(nonce, _)| *nonce == own.nonce));
        let permission = own
            .zip(sent)
            .map(|(own, (_, sent))| Permission::new(own.fencing, *sent, self.term, self.waited));
        self.sender.send_replace(permission);
    }

    async fn release(&mut self) {
        self.sender.send_replace(None);
        let holds = self.fold.grant().is_some_and(|grant| grant.holder == self.own);
        if holds {
            self.append(Offset(self.fold.next().0 - 1), LeaseAction::Release).await;
            log::info!("event=lease_released incarnation={}", self.own);
        }
    }
}

#[cfg(test)]
mod tests;
