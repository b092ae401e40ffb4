//! Tasks that only the holder of the leader lease performs: sending usage reports and ordering
//! instances.

use super::boot_clock::BootClock;
use super::registrations::RegistrationFollower;
use super::service_stock::ServiceStock;
use super::status_exchange::PeerStatuses;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use spindle_http::Drain;
use spindle_platform::cloud::PlatformCloud;
use spindle_platform::settings::Bounds;
use spindle_platform::store::PlatformStore;
use spindle_policy::engine_capacity::ResponseTotals;
use spindle_policy::fleet::{Arrivals, CapacityOrder, FleetPlanner, FleetSpec, InstanceCounts};
use spindle_policy::lease::{
    Grant, LeaseAction, LeaseRecord, LeaseState, LeaseStep, Permission, PermissionCheck,
};
use spindle_policy::store_era::EraChange;
use spindle_policy::usage_windows::{due_windows, window_at};
use spindle_relay::backends::{
    AppendOutcome, Appended, Cloud, CloudError, ScaleOrder, Store, StoreError, Topic, TopicRecords,
};
use spindle_relay::config::{ActiveConfig, ScaleSpec};
use spindle_relay::{Balancer, RolloutWatch};
use spindle_types::config::FencingCheck;
use spindle_types::{Clock, Fencing, Incarnation, MonotonicInstant, Offset, Service, Span, Team};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Interval at which the leader checks for due work.
const LEADER_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a daemon without the lease reads it, while no other daemon claims to hold it.
const CANDIDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval over which the candidates' attempts to take the lease are spread. A few round trips to
/// the store fit into it.
const CANDIDATE_SPREAD: Duration = Duration::from_millis(600);

/// Delay between the end of a usage window and its report; the counts of all daemons have arrived
/// by then.
const REPORT_DELAY: Duration = Duration::from_millis(2_500);

/// A report is not sent any more this long before its deadline, as it would arrive too late.
const REPORT_DEADLINE_MARGIN: Duration = Duration::from_millis(300);

/// Delay after taking the lease before instances are ordered for a service that has had no
/// requests. Upstreams have registered by then.
const TAKEOVER_DELAY: Duration = Duration::from_millis(2_000);

/// Maximum age of the list of upstreams while it decides the first orders.
const LIST_AGE_MAX: Duration = Duration::from_millis(500);

/// Delay after a call to the cloud was refused or not answered, before the next call.
const CLOUD_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// The dependencies of the [`Leader`].
#[derive(Debug)]
pub struct Parts {
    /// Identifier of this run of the daemon; the holder named in its lease records.
    pub incarnation: Incarnation,
    /// Time limits and tolerances agreed with the users.
    pub bounds: Bounds,
    /// Source of monotonic time.
    pub clock: BootClock,
    /// The store that holds the lease and the usage reports.
    pub store: PlatformStore,
    /// Client of the cloud, which receives reports and orders.
    pub cloud: PlatformCloud,
    /// Known upstreams, from which the instances of each service are counted.
    pub balancer: Balancer,
    /// Reads the list of upstreams.
    pub registrations: RegistrationFollower<PlatformStore, BootClock>,
    /// Configuration in force.
    pub config: watch::Receiver<Arc<ActiveConfig>>,
    /// Statuses of all daemons.
    pub statuses: PeerStatuses,
    /// Rollouts as this daemon follows them.
    pub rollouts: RolloutWatch,
    /// Tells the task that runs the rollouts of the permission to act.
    pub permission: watch::Sender<Option<Permission>>,
}

/// Usage reports as far as they have been read from the store, and those already sent.
#[derive(Debug, Default)]
struct UsageReports {
    /// Offset of the next record to read or append.
    next: u64,
    /// Encoded reports in the store, by usage window.
    stored: BTreeMap<u64, Bytes>,
    /// Usage windows whose reports the cloud has accepted.
    sent: BTreeSet<u64>,
    /// The first usage window for which a report may be written. The report of an earlier one may
    /// have been sent and then lost by a restore of the store.
    first: u64,
}

/// Competes for the leader lease, and performs the leader's tasks while holding it.
#[derive(Debug)]
pub struct Leader {
    parts: Parts,
    shutdown: Drain,
    /// The lease according to the records in the store.
    lease_state: LeaseState,
    /// The right to act as leader; none while this daemon does not hold the lease.
    permission: Option<Permission>,
    /// When the newest record that granted the lease was sent.
    renewed_at: MonotonicInstant,
    reports: UsageReports,
    planners: HashMap<Service, (Arrivals, ResponseTotals, FleetPlanner)>,
    /// No call is made to the cloud before this time.
    cloud_retry_at: MonotonicInstant,
    /// When the cloud last refused the fencing token of this daemon.
    fenced_at: MonotonicInstant,
    /// When this daemon last took the lease.
    taken_at: MonotonicInstant,
}

impl Leader {
    /// Creates a leader task that does not hold the lease yet.
    pub fn new(parts: Parts, shutdown: Drain) -> Self {
        let now = parts.clock.now();
        Self {
            lease_state: LeaseState::with_longest_term(now, parts.bounds.lease),
            parts,
            shutdown,
            permission: None,
            renewed_at: now,
            reports: UsageReports::default(),
            planners: HashMap::new(),
            cloud_retry_at: now,
            fenced_at: MonotonicInstant::default(),
            taken_at: now,
        }
    }

    /// Runs until the daemon shuts down, then releases the lease if it holds it.
    pub async fn run(mut self) {
        let mut shutdown = self.shutdown.clone();
        loop {
            let wait = if self.permission.is_some() { LEADER_INTERVAL } else { CANDIDATE_INTERVAL };
            tokio::select! {
                () = shutdown.wait() => break,
                () = tokio::time::sleep(wait) => {}
            }
            let now = self.parts.clock.now();
            if self.permission.is_none() && self.parts.statuses.another_leads(now) {
                continue;
            }
            self.keep_lease().await;
            if self.current_fencing().is_some() {
                self.send_due_reports().await;
            }
            if self.current_fencing().is_some() {
                self.order_instances().await;
            }
        }
        if self.permission.is_some() {
            self.parts.permission.send_replace(None);
            self.append_lease_record(LeaseAction::Release).await;
            log::info!("event=lease_released");
        }
    }

    /// The fencing token, if this daemon holds a valid lease. Drops an expired lease.
    fn current_fencing(&mut self) -> Option<Fencing> {
        let permission = self.permission?;
        let now = self.parts.clock.now();
        match permission.check(now, FencingCheck::Checked, Duration::ZERO) {
            PermissionCheck::Granted(fencing) => Some(fencing),
            PermissionCheck::NotBefore(_) => None,
            PermissionCheck::Expired => {
                self.drop_lease("lapsed");
                None
            }
        }
    }

    fn drop_lease(&mut self, cause: &str) {
        if self.permission.take().is_some() {
            log::warn!("event=lease_lost cause={cause}");
        }
        self.parts.statuses.set_fencing(None);
        self.parts.permission.send_replace(None);
    }

    /// Takes or renews the lease if that is due. After the cloud has fenced this daemon off, it does
    /// not try to take the lease for one lease term.
    async fn keep_lease(&mut self) {
        let now = self.parts.clock.now();
        if self.permission.is_none() {
            if now.since(self.fenced_at) <= self.parts.bounds.lease {
                return;
            }
            if let Err(error) = self.read_lease().await {
                log::debug!("event=lease_unread error={error:?}");
                return;
            }
        }
        let (own, term) = (self.parts.incarnation, self.parts.bounds.lease);
        match self.lease_state.next_step(
            self.parts.clock.now(),
            own,
            term,
            self.renewed_at,
            CANDIDATE_SPREAD,
        ) {
            LeaseStep::Wait(_) => {}
            // The store still grants the lease to this daemon, but it has expired locally. It is
            // taken again instead of renewed, so that the fencing token increases.
            LeaseStep::Append { action: LeaseAction::Renew { .. }, .. }
                if self.permission.is_none() =>
            {
                self.append_lease_record(LeaseAction::Take).await;
            }
            LeaseStep::Append { action, .. } => self.append_lease_record(action).await,
        }
    }

    async fn append_lease_record(&mut self, action: LeaseAction) {
        let sent = self.parts.clock.now();
        let after = Offset(self.lease_state.next().0 - 1);
        let record = LeaseRecord {
            holder: self.parts.incarnation,
            after,
            term: Span(self.parts.bounds.lease),
            action,
            nonce: rand::random(),
            era: self.lease_state.era(),
        };
        let content = match serde_json::to_vec(&record) {
            Ok(content) => content,
            Err(error) => {
                log::error!("event=encode_failed error={error:?}");
                return;
            }
        };
        let result = self.parts.store.append(Topic::Lease, after.0, content.into()).await;
        if let Ok(Appended { era, .. }) = result
            && !self.is_current(era)
        {
            return;
        }
        match result.map(|appended| appended.outcome) {
            Ok(AppendOutcome::At(offset)) => {
                self.lease_state.on_record(self.parts.clock.now(), Offset(offset + 1), record);
            }
            Ok(AppendOutcome::Conflict { end }) => {
                log::info!("event=lease_conflict at={} end={end}", after.0);
                if let Err(error) = self.read_lease().await {
                    log::debug!("event=lease_unread error={error:?}");
                }
            }
            Err(error) => {
                log::warn!("event=lease_append_failed error={error:?}");
                if let Err(error) = self.read_lease().await {
                    log::debug!("event=lease_unread error={error:?}");
                }
            }
        }
        self.update_permission(sent, &record);
    }

    /// Updates the local permission from the lease state after `record` was sent at `sent`.
    fn update_permission(&mut self, sent: MonotonicInstant, record: &LeaseRecord) {
        match self.lease_state.grant() {
            Some(Grant { holder, fencing, nonce }) if holder == self.parts.incarnation => {
                if nonce != record.nonce {
                    return;
                }
                let term = self.parts.bounds.lease;
                let taken = self.permission.is_none();
                self.permission = Some(Permission::new(fencing, sent, term, sent));
                self.parts.permission.send_replace(self.permission);
                self.renewed_at = sent;
                self.parts.statuses.set_fencing(Some(fencing));
                if taken {
                    log::info!("event=lease_taken fencing={}", fencing.0);
                    self.reports =
                        UsageReports { first: self.reports.first, ..UsageReports::default() };
                    self.planners.clear();
                    self.taken_at = sent;
                }
            }
            _ => self.drop_lease("taken_by_another"),
        }
    }

    /// Whether an answer of the store may be used, given its era. If the store was restored from an
    /// older copy, starts anew: the lease is given up, and the reports of the windows that have
    /// ended are not written again.
    fn is_current(&mut self, era: Option<u64>) -> bool {
        let now = self.parts.clock.now();
        match self.lease_state.on_answer(now, era) {
            EraChange::Unchanged => true,
            EraChange::Outdated => false,
            EraChange::Restored { was } => {
                log::warn!("event=store_restored feed=lease era={era:?} was={was}");
                self.drop_lease("store_restored");
                let utc = self.parts.statuses.agreed_utc(now);
                let first = window_at(utc, self.parts.bounds.usage_window);
                self.reports = UsageReports { first, ..UsageReports::default() };
                false
            }
        }
    }

    async fn read_lease(&mut self) -> Result<(), StoreError> {
        let from = self.lease_state.next().0 - 1;
        let TopicRecords { oldest, end, records, era } =
            self.parts.store.read_topic(Topic::Lease, from).await?;
        if !self.is_current(era) {
            return Ok(());
        }
        let now = self.parts.clock.now();
        self.lease_state.on_bounds(now, Offset(oldest + 1), Offset(end + 1));
        for (offset, content) in records {
            match serde_json::from_slice(&content) {
                Ok(record) => {
                    self.lease_state.on_record(now, Offset(offset + 1), record);
                }
                Err(error) => {
                    log::warn!("event=lease_record_unreadable offset={offset} error={error:?}");
                    self.lease_state.skip(Offset(offset + 1));
                }
            }
        }
        Ok(())
    }

    /// Stores and sends the usage reports that are due.
    async fn send_due_reports(&mut self) {
        let bounds = self.parts.bounds;
        let utc = self.parts.statuses.agreed_utc(self.parts.clock.now());
        let deadline = bounds.usage_report_deadline.saturating_sub(REPORT_DEADLINE_MARGIN);
        let windows: Vec<u64> =
            due_windows(utc, bounds.usage_window, REPORT_DELAY, deadline).collect();
        for window in windows {
            if self.reports.sent.contains(&window) || self.parts.clock.now() < self.cloud_retry_at {
                continue;
            }
            let Some(report) = self.stored_report(window).await else { return };
            let Some(fencing) = self.current_fencing() else { return };
            let result = self.parts.cloud.send_report(fencing, report).await;
            log::info!(
                "event=usage_report window={window} fencing={} result={result:?}",
                fencing.0
            );
            self.on_cloud_result(&result);
            if result.is_ok() {
                self.reports.sent.insert(window);
            }
        }
    }

    /// Returns the stored report of a window, after storing it if there is none. The stored one is
    /// sent, so that every attempt sends the same report.
    async fn stored_report(&mut self, window: u64) -> Option<Bytes> {
        if self.reports.next == 0
            && let Err(error) = self.read_reports().await
        {
            log::debug!("event=reports_unread error={error:?}");
            return None;
        }
        if let Some(report) = self.reports.stored.get(&window) {
            return Some(report.clone());
        }
        if window < self.reports.first {
            log::info!("event=usage_report_skipped window={window} cause=store_restored");
            self.reports.sent.insert(window);
            return None;
        }
        let config = self.parts.config.borrow().clone();
        let teams: Vec<Team> = config.teams().iter().map(|spec| spec.team.clone()).collect();
        let counts = self.parts.statuses.window_counts(window, &teams);
        let report = self.parts.cloud.encode_report(window, &counts);
        let mut record = BytesMut::with_capacity(report.len() + 8);
        record.put_u64(window);
        record.extend_from_slice(&report);
        let next = self.reports.next;
        let result = self.parts.store.append(Topic::Usage, next, record.freeze()).await;
        if let Ok(Appended { era, .. }) = result
            && !self.is_current(era)
        {
            return None;
        }
        match result.map(|appended| appended.outcome) {
            Ok(AppendOutcome::At(offset)) => {
                self.reports.next = offset + 1;
                self.reports.stored.insert(window, report);
            }
            // Another daemon has appended: its records are read before anything else is stored.
            Ok(AppendOutcome::Conflict { .. }) => self.reload_reports().await,
            Err(error) => {
                log::warn!("event=report_append_failed window={window} error={error:?}");
                self.reload_reports().await;
            }
        }
        self.reports.stored.get(&window).cloned()
    }

    async fn reload_reports(&mut self) {
        if let Err(error) = self.read_reports().await {
            log::debug!("event=reports_unread error={error:?}");
        }
    }

    async fn read_reports(&mut self) -> Result<(), StoreError> {
        let found = self.parts.store.read_topic(Topic::Usage, self.reports.next).await?;
        if !self.is_current(found.era) {
            return Ok(());
        }
        self.reports.next = found.end;
        for (_, mut record) in found.records {
            if record.len() < 8 {
                log::warn!("event=report_unreadable bytes={}", record.len());
                continue;
            }
            let window = record.get_u64();
            self.reports.stored.entry(window).or_insert(record);
        }
        Ok(())
    }

    /// Orders more or fewer instances for each service whose number does not match its load.
    async fn order_instances(&mut self) {
        let config = self.parts.config.borrow().clone();
        for (service, spec) in &config.services {
            let Some(scale) = &spec.scale else { continue };
            let now = self.parts.clock.now();
            let spec = fleet_spec(scale);
            let stock = ServiceStock::new(&self.parts, now, service);
            let instances = &stock.serving;
            let prompt_tokens = self.parts.statuses.prompt_tokens(service);
            let (arrivals, responses, planner) = self.planners.entry(service.clone()).or_default();
            let limited_rates = self.parts.balancer.limited_rates(now, service);
            planner.on_limits(&limited_rates, self.parts.statuses.mean_prompt_tokens(service));
            arrivals.on_totals(now, prompt_tokens.into_iter());
            let rate = if arrivals.has_arrivals() { arrivals.rate() } else { None };
            let counts = self.parts.statuses.first_bytes(service);
            let responses = responses.on_counts(counts.into_iter());
            let found = instances.values().map(InstanceCounts::total).sum();
            if let Some(rate) = rate {
                planner.on_rate(now, rate);
                planner.on_responses(now, rate, found, responses);
            }
            // A daemon that has just taken the lease waits until it knows the load. Before the
            // first request there is no load to know.
            let no_load = !arrivals.has_arrivals() && now.since(self.taken_at) >= TAKEOVER_DELAY;
            let load_known = rate.is_some() || no_load;
            if planner.awaits_list(now) {
                self.parts.registrations.request_read(now, LIST_AGE_MAX);
            }
            if now < self.cloud_retry_at || instances.is_empty() || !load_known {
                continue;
            }
            let orders = planner.orders(now, &spec, instances);
            for order in orders {
                if let Some(count) = stock.count_to_order(&order) {
                    self.send_order(service, order, (count, rate)).await;
                }
            }
        }
    }

    /// Sends an order with the number `count`, which includes instances that the planner doesn't
    /// count.
    async fn send_order(
        &mut self,
        service: &Service,
        order: CapacityOrder,
        (count, rate): (u32, Option<f64>),
    ) {
        let Some(fencing) = self.current_fencing() else { return };
        let call = ScaleOrder {
            service: service.clone(),
            data_centre: order.data_centre.clone(),
            reclaimable: order.reclaimable,
            count,
        };
        let result = self.parts.cloud.order_instances(fencing, &call).await;
        log::info!(
            "event=scale service={service} data_centre={} reclaimable={} count={count} \
             tokens_per_s={:.0} tokens_per_engine={:.0} fencing={} result={result:?}",
            order.data_centre,
            order.reclaimable,
            rate.unwrap_or_default(),
            self.planners.get(service).map_or(0.0, |(_, _, planner)| planner.tokens_per_engine()),
            fencing.0,
        );
        self.on_cloud_result(&result);
        let now = self.parts.clock.now();
        let (_, _, planner) = self.planners.entry(service.clone()).or_default();
        match result {
            Ok(()) => planner.on_ordered(now, &order),
            Err(CloudError::Lost(_)) => planner.on_unanswered(now, &order),
            Err(CloudError::Unavailable) => planner.on_refused(now, &order),
            Err(CloudError::Refused(_) | CloudError::Fenced) => {}
        }
    }

    fn on_cloud_result(&mut self, result: &Result<(), CloudError>) {
        let now = self.parts.clock.now();
        match result {
            Err(CloudError::Fenced) => {
                self.fenced_at = now;
                self.drop_lease("fenced");
            }
            Err(CloudError::Lost(_) | CloudError::Refused(_)) => {
                self.cloud_retry_at = now + CLOUD_RETRY_DELAY;
            }
            Ok(()) | Err(CloudError::Unavailable) => {}
        }
    }
}

fn fleet_spec(scale: &ScaleSpec) -> FleetSpec {
    FleetSpec {
        min: scale.instances_min,
        max: scale.instances_max,
        startup_time: scale.startup_time,
        reclaimable: scale.reclaimable_price.is_some(),
        prices: scale.prices.clone(),
    }
}
