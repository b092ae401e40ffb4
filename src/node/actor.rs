//! What one daemon at a time does: usage reports and orders of instances, under a lease.

use super::boot_clock::BootClock;
use super::statuses::Statuses;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use spindle_http::Drain;
use spindle_platform::cloud::PlatformCloud;
use spindle_platform::settings::Bounds;
use spindle_platform::store::PlatformStore;
use spindle_policy::fleet::{Arrivals, CapacityOrder, FleetPlanner, FleetSpec};
use spindle_policy::lease::{
    Grant, LeaseAction, LeaseRecord, LeaseState, LeaseStep, Permission, PermissionCheck,
};
use spindle_policy::usage_windows::due_windows;
use spindle_relay::Balancer;
use spindle_relay::backends::{
    AppendOutcome, Cloud, CloudError, ScaleOrder, Store, StoreError, Topic, TopicRecords,
};
use spindle_relay::config::{ActiveConfig, ScaleSpec};
use spindle_types::config::FencingCheck;
use spindle_types::{Clock, Fencing, Incarnation, MonotonicInstant, Offset, Service, Span, Team};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The time between two looks at what is to be done.
const TICK: Duration = Duration::from_millis(250);

/// The time between two reads of the lease by a daemon that may take it.
const CANDIDATE_TICK: Duration = Duration::from_millis(500);

/// The time within which candidates take turns. A few round trips to the store each.
const SPREAD: Duration = Duration::from_millis(600);

/// How long after the end of a window it is reported: counts of all daemons have come by then.
const SETTLE: Duration = Duration::from_millis(2_500);

/// How long before a report is too late it is not worth a call any more.
const LATE_MARGIN: Duration = Duration::from_millis(300);

/// How long after it has taken the lease a daemon orders without knowing the load. Upstreams have
/// registered by then.
const SETTLE_AFTER: Duration = Duration::from_millis(2_000);

/// The pause after a call to the cloud that was not answered.
const CLOUD_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// What the actor works with.
#[derive(Debug)]
pub struct Parts {
    /// This life.
    pub incarnation: Incarnation,
    /// The users' bounds.
    pub bounds: Bounds,
    /// The present time.
    pub clock: BootClock,
    /// The store.
    pub store: PlatformStore,
    /// The cloud.
    pub cloud: PlatformCloud,
    /// The upstreams.
    pub board: Balancer,
    /// The configuration in force.
    pub serving: watch::Receiver<Arc<ActiveConfig>>,
    /// The other daemons.
    pub statuses: Statuses,
}

/// The reports that the store holds.
#[derive(Debug, Default)]
struct Reports {
    next: u64,
    stored: BTreeMap<u64, Bytes>,
    sent: BTreeSet<u64>,
}

/// Acts while it holds the lease.
#[derive(Debug)]
pub struct Actor {
    parts: Parts,
    leaving: Drain,
    fold: LeaseState,
    permission: Option<Permission>,
    renewed: MonotonicInstant,
    reports: Reports,
    fleets: HashMap<Service, (Arrivals, FleetPlanner)>,
    pause: MonotonicInstant,
    fenced: MonotonicInstant,
    taken: MonotonicInstant,
}

impl Actor {
    /// An actor without the lease.
    pub fn new(parts: Parts, leaving: Drain) -> Self {
        let now = parts.clock.now();
        Self {
            fold: LeaseState::with_longest_term(now, parts.bounds.lease),
            parts,
            leaving,
            permission: None,
            renewed: now,
            reports: Reports::default(),
            fleets: HashMap::new(),
            pause: now,
            fenced: MonotonicInstant::default(),
            taken: now,
        }
    }

    /// Acts until the daemon leaves, and gives the lease back then.
    pub async fn run(mut self) {
        let mut leaving = self.leaving.clone();
        loop {
            let wait = if self.permission.is_some() { TICK } else { CANDIDATE_TICK };
            tokio::select! {
                () = leaving.wait() => break,
                () = tokio::time::sleep(wait) => {}
            }
            let now = self.parts.clock.now();
            if self.permission.is_none() && self.parts.statuses.other_acts(now) {
                continue;
            }
            self.keep_lease().await;
            if self.fencing().is_some() {
                self.report().await;
            }
            if self.fencing().is_some() {
                self.order().await;
            }
        }
        if self.permission.is_some() {
            self.append(LeaseAction::Release).await;
            log::info!("event=lease_released");
        }
    }

    /// The fencing number, if this daemon may act now.
    fn fencing(&mut self) -> Option<Fencing> {
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
        self.parts.statuses.set_acting(None);
    }

    /// Takes the lease or renews it, as far as it is due.
    async fn keep_lease(&mut self) {
        let now = self.parts.clock.now();
        if self.permission.is_none() {
            if now.since(self.fenced) <= self.parts.bounds.lease {
                return;
            }
            if let Err(error) = self.read_lease().await {
                log::debug!("event=lease_unread error={error:?}");
                return;
            }
        }
        let (own, term) = (self.parts.incarnation, self.parts.bounds.lease);
        match self.fold.next_step(self.parts.clock.now(), own, term, self.renewed, SPREAD) {
            LeaseStep::Wait(_) => {}
            // A grant of this life without a permission has lapsed here; it is taken anew, so that
            // the number grows.
            LeaseStep::Append { action: LeaseAction::Renew { .. }, .. }
                if self.permission.is_none() =>
            {
                self.append(LeaseAction::Take).await;
            }
            LeaseStep::Append { action, .. } => self.append(action).await,
        }
    }

    async fn append(&mut self, action: LeaseAction) {
        let sent = self.parts.clock.now();
        let after = Offset(self.fold.next().0 - 1);
        let record = LeaseRecord {
            holder: self.parts.incarnation,
            after,
            term: Span(self.parts.bounds.lease),
            action,
            nonce: rand::random(),
        };
        let content = match serde_json::to_vec(&record) {
            Ok(content) => content,
            Err(error) => {
                log::error!("event=encode_failed error={error:?}");
                return;
            }
        };
        match self.parts.store.append(Topic::Lease, after.0, content.into()).await {
            Ok(AppendOutcome::At(offset)) => {
                self.fold.on_record(self.parts.clock.now(), Offset(offset + 1), record);
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
        self.settle(sent, &record);
    }

    /// Brings the permission in line with what the fold says.
    fn settle(&mut self, sent: MonotonicInstant, record: &LeaseRecord) {
        match self.fold.grant() {
            Some(Grant { holder, fencing, nonce }) if holder == self.parts.incarnation => {
                if nonce != record.nonce {
                    return;
                }
                let term = self.parts.bounds.lease;
                let taken = self.permission.is_none();
                self.permission = Some(Permission::new(fencing, sent, term, sent));
                self.renewed = sent;
                self.parts.statuses.set_acting(Some(fencing));
                if taken {
                    log::info!("event=lease_taken fencing={}", fencing.0);
                    self.reports = Reports::default();
                    self.fleets.clear();
                    self.taken = sent;
                }
            }
            _ => self.drop_lease("taken_by_another"),
        }
    }

    async fn read_lease(&mut self) -> Result<(), StoreError> {
        let from = self.fold.next().0 - 1;
        let TopicRecords { oldest, end, records } =
            self.parts.store.read_topic(Topic::Lease, from).await?;
        let now = self.parts.clock.now();
        self.fold.on_bounds(now, Offset(oldest + 1), Offset(end + 1));
        for (offset, content) in records {
            match serde_json::from_slice(&content) {
                Ok(record) => {
                    self.fold.on_record(now, Offset(offset + 1), record);
                }
                Err(error) => {
                    log::warn!("event=lease_record_unreadable offset={offset} error={error:?}");
                    self.fold.skip(Offset(offset + 1));
                }
            }
        }
        Ok(())
    }

    /// Stores and sends the reports that are due.
    async fn report(&mut self) {
        let bounds = self.parts.bounds;
        let utc = self.parts.statuses.civil(self.parts.clock.now());
        let late = bounds.usage_report_deadline.saturating_sub(LATE_MARGIN);
        let windows: Vec<u64> = due_windows(utc, bounds.usage_window, SETTLE, late).collect();
        for window in windows {
            if self.reports.sent.contains(&window) || self.parts.clock.now() < self.pause {
                continue;
            }
            let Some(report) = self.stored_report(window).await else { return };
            let Some(fencing) = self.fencing() else { return };
            let result = self.parts.cloud.send_report(fencing, report).await;
            log::info!(
                "event=usage_report window={window} fencing={} result={result:?}",
                fencing.0
            );
            self.on_called(&result);
            if result.is_ok() {
                self.reports.sent.insert(window);
            }
        }
    }

    /// The report of a window as the store holds it; it is stored first if it is not there yet.
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
        let serving = self.parts.serving.borrow().clone();
        let teams: Vec<Team> = serving.teams().iter().map(|spec| spec.team.clone()).collect();
        let counts = self.parts.statuses.window(window, &teams);
        let report = self.parts.cloud.encode_report(window, &counts);
        let mut record = BytesMut::with_capacity(report.len() + 8);
        record.put_u64(window);
        record.extend_from_slice(&report);
        match self.parts.store.append(Topic::Usage, self.reports.next, record.freeze()).await {
            Ok(AppendOutcome::At(offset)) => {
                self.reports.next = offset + 1;
                self.reports.stored.insert(window, report);
            }
            // Whatever stands there now is read before anything else is stored.
            Ok(AppendOutcome::Conflict { .. }) => self.read_reports_noted().await,
            Err(error) => {
                log::warn!("event=report_append_failed window={window} error={error:?}");
                self.read_reports_noted().await;
            }
        }
        self.reports.stored.get(&window).cloned()
    }

    async fn read_reports_noted(&mut self) {
        if let Err(error) = self.read_reports().await {
            log::debug!("event=reports_unread error={error:?}");
        }
    }

    async fn read_reports(&mut self) -> Result<(), StoreError> {
        let found = self.parts.store.read_topic(Topic::Usage, self.reports.next).await?;
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

    /// Orders instances where too few or too many are there.
    async fn order(&mut self) {
        let serving = self.parts.serving.borrow().clone();
        for (service, spec) in &serving.services {
            let Some(scale) = &spec.scale else { continue };
            let now = self.parts.clock.now();
            let spec = fleet_spec(scale);
            let stock = self.parts.board.instance_counts(service);
            let arrived = self.parts.statuses.arrived(service);
            let (arrivals, fleet) = self.fleets.entry(service.clone()).or_default();
            arrivals.on_totals(now, arrived.into_iter());
            let rate = if arrivals.has_arrivals() { arrivals.rate() } else { None };
            if let Some(rate) = rate {
                fleet.on_rate(now, rate);
            }
            // A daemon that takes over waits until it knows the load; before the first request
            // there is none to be known.
            let idle = !arrivals.has_arrivals() && now.since(self.taken) >= SETTLE_AFTER;
            let settled = rate.is_some() || idle;
            if now < self.pause || stock.is_empty() || !settled {
                continue;
            }
            let orders = fleet.orders(now, &spec, &stock);
            for order in orders {
                self.give(service, order, rate).await;
            }
        }
    }

    async fn give(&mut self, service: &Service, order: CapacityOrder, rate: Option<f64>) {
        let Some(fencing) = self.fencing() else { return };
        let call = ScaleOrder {
            service: service.clone(),
            data_centre: order.data_centre.clone(),
            reclaimable: order.reclaimable,
            count: order.count,
        };
        let result = self.parts.cloud.order_instances(fencing, &call).await;
        log::info!(
            "event=scale service={service} data_centre={} reclaimable={} count={} \
             tokens_per_s={:.0} fencing={} result={result:?}",
            order.data_centre,
            order.reclaimable,
            order.count,
            rate.unwrap_or_default(),
            fencing.0,
        );
        self.on_called(&result);
        let now = self.parts.clock.now();
        let (_, fleet) = self.fleets.entry(service.clone()).or_default();
        match result {
            Ok(()) => fleet.on_ordered(now, &order),
            Err(CloudError::Lost(_)) => fleet.on_unanswered(now, &order),
            Err(CloudError::Unavailable) => fleet.on_refused(now, &order),
            Err(CloudError::Refused(_) | CloudError::Fenced) => {}
        }
    }

    fn on_called(&mut self, result: &Result<(), CloudError>) {
        let now = self.parts.clock.now();
        match result {
            Err(CloudError::Fenced) => {
                self.fenced = now;
                self.drop_lease("fenced");
            }
            Err(CloudError::Lost(_) | CloudError::Refused(_)) => {
                self.pause = now + CLOUD_RETRY_DELAY;
            }
            Ok(()) | Err(CloudError::Unavailable) => {}
        }
    }
}

fn fleet_spec(scale: &ScaleSpec) -> FleetSpec {
    FleetSpec {
        min: scale.min,
        max: scale.max,
        startup_time: scale.boot,
        reclaimable: scale.reclaimable.is_some(),
        prices: scale.prices.clone(),
    }
}
