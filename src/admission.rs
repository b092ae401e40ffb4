//! The task that owns admission control and the retry budgets.

use crate::config_follower::ConfigWatch;
use crate::context::Context;
use crate::members::MemberWatch;
use crate::settings::Settings;
use crate::upstreams::CapacityWatch;
use rand::SeedableRng;
use rand::rngs::StdRng;
use spindle_policy::admission::{
    Admission, AdmissionDecision, AdmissionRefusal, AdmissionRequest, QueueDecision, TicketKey,
};
use spindle_policy::membership::MemberStatus;
use spindle_policy::retry::{RetryBudgets, RetryDecision};
use spindle_policy::service_time::Measurement;
use spindle_types::{Clock, MonotonicInstant, Pool, RefusalReason, Team};
use std::collections::HashMap;
use std::future::pending;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

type Answer = oneshot::Sender<Result<TicketKey, AdmissionRefusal>>;

enum Message {
    Admit { request: AdmissionRequest, answer: Answer },
    Measured { key: TicketKey, measured: Measurement },
    Tokens { key: TicketKey, count: u32 },
    End { key: TicketKey },
    Success { team: Team, pool: Pool },
    Retry { team: Team, pool: Pool, retries: u32, answer: oneshot::Sender<RetryDecision> },
}

/// Handle to the admission task. Its mailbox is unbounded, because each request has at most a few
/// messages in flight.
#[derive(Clone, Debug)]
pub struct AdmissionHandle {
    mailbox: mpsc::UnboundedSender<Message>,
}

/// Permission to run one request; dropping it reports the end of the request.
#[derive(Debug)]
pub struct Permit {
    key: TicketKey,
    team: Team,
    pool: Pool,
    mailbox: mpsc::UnboundedSender<Message>,
}

/// Refusal when the task has ended, which happens when the daemon stops.
const TASK_ENDED: AdmissionRefusal =
    AdmissionRefusal { reason: RefusalReason::Leaving, retry_after: None };

impl AdmissionHandle {
    /// Waits until admission control lets a request run.
    ///
    /// # Errors
    ///
    /// The request is refused; nothing of it was sent to an upstream.
    pub async fn admit(&self, request: AdmissionRequest) -> Result<Permit, AdmissionRefusal> {
        let (team, pool) = (request.team.clone(), request.pool.clone());
        let (answer, decision) = oneshot::channel();
        self.mailbox.send(Message::Admit { request, answer }).map_err(|_| TASK_ENDED)?;
        let key = decision.await.map_err(|_| TASK_ENDED)??;
        Ok(Permit { key, team, pool, mailbox: self.mailbox.clone() })
    }
}

impl Permit {
    fn tell(&self, message: Message) {
        // Sending fails only when the task has ended; then there is nothing to record.
        let _ = self.mailbox.send(message);
    }

    /// Records a service-time measurement of the request at its upstream.
    pub fn measured(&self, measured: Measurement) {
        self.tell(Message::Measured { key: self.key, measured });
    }

    /// Charges generated tokens to the request.
    pub fn tokens(&self, count: u32) {
        self.tell(Message::Tokens { key: self.key, count });
    }

    /// Records in the retry budget that the request has succeeded.
    pub fn success(&self) {
        self.tell(Message::Success { team: self.team.clone(), pool: self.pool.clone() });
    }

    /// Asks the retry budget for a retry; `retries` is the number of retries the request has made.
    pub async fn retry(&self, retries: u32) -> RetryDecision {
        let (answer, decision) = oneshot::channel();
        let (team, pool) = (self.team.clone(), self.pool.clone());
        self.tell(Message::Retry { team, pool, retries, answer });
        decision.await.unwrap_or(RetryDecision::Granted { after: std::time::Duration::ZERO })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.tell(Message::End { key: self.key });
    }
}

/// Watched state from which admission control derives its limits.
pub(crate) struct Watches {
    /// The configuration in force, with the teams and pools.
    pub(crate) config: ConfigWatch,
    /// The daemons of the deployment, of which the live ones are counted.
    pub(crate) members: MemberWatch,
    /// The number of upstreams in each pool that accept work.
    pub(crate) capacity: CapacityWatch,
}

/// Starts the task, which ends when the last handle and permit are dropped. `running` receives the
/// number of requests that are running.
pub(crate) fn start<C: Context>(
    context: C,
    settings: &Settings,
    watches: Watches,
    running: watch::Sender<u32>,
) -> AdmissionHandle {
    let (mailbox, messages) = mpsc::unbounded_channel();
    let seed = u64::try_from(context.random() >> 64).unwrap_or_default();
    let task = Task {
        context,
        admission: Admission::new(settings.admission.admission_params(settings.routing.step_base)),
        budgets: RetryBudgets::new(settings.admission.retry_params()),
        generator: StdRng::seed_from_u64(seed),
        slots: settings.routing.slots,
        answers: HashMap::new(),
        running,
        watches,
    };
    tokio::spawn(task.run(messages));
    AdmissionHandle { mailbox }
}

struct Task<C> {
    context: C,
    admission: Admission,
    budgets: RetryBudgets,
    generator: StdRng,
    slots: u32,
    answers: HashMap<TicketKey, Answer>,
    running: watch::Sender<u32>,
    watches: Watches,
}

impl<C: Context> Task<C> {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        self.on_change();
        loop {
            let expiry = self.admission.next_expiry();
            let Watches { config, members, capacity } = &mut self.watches;
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                Ok(()) = config.changed() => self.on_change(),
                Ok(()) = members.changed() => self.on_change(),
                Ok(()) = capacity.changed() => self.on_change(),
                () = sleep_until(&self.context, expiry) => {}
            }
            self.decide();
        }
    }

    fn on_change(&mut self) {
        let now = self.context.clock().now();
        let config = Arc::clone(&self.watches.config.borrow_and_update());
        let members = Arc::clone(&self.watches.members.borrow_and_update());
        let live = members.iter().filter(|member| member.status == MemberStatus::Live).count();
        let live = u32::try_from(live).unwrap_or(u32::MAX).max(1);
        self.admission.on_teams(now, config.teams.iter(), live);
        let capacity = Arc::clone(&self.watches.capacity.borrow_and_update());
        for (pool, upstreams) in capacity.iter() {
            let max = upstreams.saturating_mul(self.slots);
            let is_model = config.pools.get(pool).is_some_and(|spec| spec.model.is_some());
            let initial = if is_model { (max / live).max(self.slots) } else { max };
            self.admission.on_capacity(pool, initial, max);
        }
        let known = |team: &Team| config.teams.contains_key(team);
        self.budgets.retain(known, |pool| config.pools.contains_key(pool));
    }

    fn on_message(&mut self, message: Message) {
        let now = self.context.clock().now();
        match message {
            Message::Admit { request, answer } => self.on_admit(now, request, answer),
            Message::Measured { key, measured } => {
                self.admission.on_measurement(now, key, &measured);
            }
            Message::Tokens { key, count } => self.admission.on_tokens(now, key, count),
            Message::End { key } => self.on_end(now, key),
            Message::Success { team, pool } => self.budgets.on_success(now, &team, &pool),
            Message::Retry { team, pool, retries, answer } => {
                let generator = &mut self.generator;
                let retry = self.budgets.on_retry(now, &team, &pool, retries, generator);
                // Sending fails only if the request was dropped; it needs no retry then.
                let _ = answer.send(retry);
            }
        }
    }

    fn on_admit(&mut self, now: MonotonicInstant, request: AdmissionRequest, answer: Answer) {
        match self.admission.on_request(now, request) {
            AdmissionDecision::Runs(key) => self.grant(now, key, answer),
            AdmissionDecision::Waits(key) => {
                self.answers.insert(key, answer);
            }
            AdmissionDecision::Refused(refused) => {
                // Sending fails only if the caller has disconnected.
                let _ = answer.send(Err(refused));
            }
        }
    }

    fn grant(&mut self, now: MonotonicInstant, key: TicketKey, answer: Answer) {
        self.running.send_modify(|running| *running += 1);
        if answer.send(Ok(key)).is_err() {
            self.on_end(now, key);
        }
    }

    fn on_end(&mut self, now: MonotonicInstant, key: TicketKey) {
        self.running.send_modify(|running| *running = running.saturating_sub(1));
        self.admission.on_end(now, key);
    }

    fn decide(&mut self) {
        loop {
            let now = self.context.clock().now();
            let decided = self.admission.next(now);
            if decided.is_empty() {
                return;
            }
            for decision in decided {
                self.on_decided(now, decision);
            }
        }
    }

    fn on_decided(&mut self, now: MonotonicInstant, decision: QueueDecision) {
        let (key, refused) = match decision {
            QueueDecision::Runs(key) => (key, None),
            QueueDecision::Refused(key, refused) => (key, Some(refused)),
        };
        let Some(answer) = self.answers.remove(&key) else {
            return;
        };
        match refused {
            None => self.grant(now, key, answer),
            Some(refused) => {
                // Sending fails only if the caller has disconnected.
                let _ = answer.send(Err(refused));
            }
        }
    }
}

async fn sleep_until<C: Context>(context: &C, instant: Option<MonotonicInstant>) {
    match instant {
        Some(instant) => tokio::time::sleep(instant.since(context.clock().now())).await,
        None => pending().await,
    }
}
