//! Acquires and renews the leader lease. The holder plans, sends orders and appends checkpoints.
//!
//! A daemon that stops gracefully releases the lease. A daemon that doesn't read the log itself
//! doesn't compete for it.

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

/// The name of the log stream that holds the lease records.
pub const LEASE_STREAM: &str = "lease";

/// The long-poll timeout: the longest time that a read waits for the first record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// The delay before a failed append or read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The largest delay of a candidate after the lease becomes free. Candidates get different delays,
/// so that they don't all append at once.
const CANDIDATE_SPREAD: Duration = Duration::from_secs(2);

/// The maximum number of own appends whose send times are kept until their records are read.
const SENT_APPENDS_MAX: usize = 16;

/// The permission of this daemon to act as leader; none while it doesn't hold the lease.
pub type LeaseWatch = watch::Receiver<Option<Permission>>;

/// A handle by which the other tasks of this daemon check the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    watch: LeaseWatch,
    order_timeout: Duration,
}

impl Lease {
    /// Watches the permission. It must be checked again before each order, as it expires.
    pub fn watch(&self) -> LeaseWatch {
        self.watch.clone()
    }

    /// The fencing token, if this daemon may send an order that is checked for it at `now`.
    pub fn fencing(&self, now: MonotonicInstant) -> Option<Fencing> {
        match self.check(now, FencingCheck::Checked) {
            PermissionCheck::Granted(fencing) => Some(fencing),
            PermissionCheck::NotBefore(_) | PermissionCheck::Expired => None,
        }
    }

    /// Whether an order may be sent at `now` to an upstream that checks or, depending on `kind`,
    /// ignores fencing tokens.
    pub fn check(&self, now: MonotonicInstant, kind: FencingCheck) -> PermissionCheck {
        let permission = *self.watch.borrow();
        permission
            .map_or(PermissionCheck::Expired, |held| held.check(now, kind, self.order_timeout))
    }
}

/// Starts the task that competes for the lease until the daemon leaves.
pub fn start<C: Context>(
    context: C,
    settings: &StateSettings,
    own: Incarnation,
    leaving: Drain,
    log_access: watch::Receiver<LogAccess>,
) -> (Lease, JoinHandle<()>) {
    let (permission_sender, watch) = watch::channel(None);
    let now = context.clock().now();
    let task = Task {
        context,
        own,
        stream: stream_name(LEASE_STREAM),
        term: settings.lease_term.get(),
        order_timeout: settings.order_timeout.get(),
        state: LeaseState::new(now),
        last_sent: now,
        sent_appends: VecDeque::new(),
        unfenced_from: now,
        permission_sender,
        log_access,
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
    state: LeaseState,
    /// The instant before the newest own record was sent.
    last_sent: MonotonicInstant,
    /// The nonces of recent own records, and the instants before they were sent.
    sent_appends: VecDeque<(u64, MonotonicInstant)>,
    /// From when orders may go to upstreams that ignore fencing tokens.
    unfenced_from: MonotonicInstant,
    permission_sender: watch::Sender<Option<Permission>>,
    log_access: watch::Receiver<LogAccess>,
}

impl<C: Context> Task<C> {
    async fn run(mut self, mut leaving: Drain) {
        while !self.permission_sender.is_closed() {
            tokio::select! {
                () = leaving.wait() => return self.release().await,
                () = self.step() => {}
            }
        }
    }

    async fn step(&mut self) {
        let holds = self.state.grant().is_some_and(|grant| grant.holder == self.own);
        if *self.log_access.borrow() == LogAccess::ViaPeers && !holds {
            return tokio::time::sleep(READ_WAIT).await;
        }
        let now = self.context.clock().now();
        let step = self.state.next_step(now, self.own, self.term, self.last_sent, CANDIDATE_SPREAD);
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
        let record = LeaseRecord { holder: self.own, after, term, action, nonce, era: 0 };
        self.last_sent = self.context.clock().now();
        self.sent_appends.push_back((nonce, self.last_sent));
        if self.sent_appends.len() > SENT_APPENDS_MAX {
            self.sent_appends.pop_front();
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
        let batch = self.context.log().read(&self.stream, self.state.next(), wait).await?;
        let now = self.context.clock().now();
        self.state.on_bounds(now, batch.oldest, batch.end);
        for record in batch.records {
            match serde_json::from_str(record.body.get()) {
                Ok(body) => {
                    let change = self.state.on_record(now, record.offset, body);
                    self.on_change(now, change);
                }
                Err(error) => {
                    log::warn!("event=lease_invalid offset={} error={error:?}", record.offset);
                    self.state.skip(record.offset);
                }
            }
        }
        Ok(())
    }

    fn on_change(&mut self, now: MonotonicInstant, change: LeaseChange) {
        let grant = match change {
            LeaseChange::Taken(grant) | LeaseChange::Renewed(grant) => Some(grant),
            LeaseChange::Released => None,
            LeaseChange::Ignored => return,
        };
        let own = grant.filter(|grant| grant.holder == self.own);
        if let (LeaseChange::Taken(grant), Some(_)) = (change, own) {
            self.unfenced_from = now + self.order_timeout;
            log::info!("event=lease_taken fencing={}", grant.fencing);
        }
        let sent =
            own.and_then(|own| self.sent_appends.iter().find(|(nonce, _)| *nonce == own.nonce));
        let permission = own.zip(sent).map(|(own, (_, sent))| {
            Permission::new(own.fencing, *sent, self.term, self.unfenced_from)
        });
        self.permission_sender.send_replace(permission);
    }

    async fn release(&mut self) {
        self.permission_sender.send_replace(None);
        let holds = self.state.grant().is_some_and(|grant| grant.holder == self.own);
        if holds {
            self.append(Offset(self.state.next().0 - 1), LeaseAction::Release).await;
            log::info!("event=lease_released incarnation={}", self.own);
        }
    }
}

#[cfg(test)]
mod tests;
