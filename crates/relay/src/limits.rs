//! Rate limits that upstreams have reported, and this daemon's part of them.

use crate::metrics::METRICS;
use crate::protocol::NamedLimit;
use opentelemetry::KeyValue;
use slotmap::SecondaryMap;
use spindle_policy::rate_share::Position;
use spindle_policy::upstream_limit::{LimitReport, ReportSource, RequestRate, UpstreamLimit};
use spindle_policy::upstream_registry::{UpstreamId, UpstreamKey, UpstreamRegistry};
use spindle_policy::upstream_selection::LimitState;
use spindle_types::{Instance, MonotonicInstant, Service};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// How long the other daemons are told that a limit was lifted. After this time a daemon that has
/// not heard it has been forgotten by the others.
const LIFTED_REPORT_TIME: Duration = Duration::from_secs(30);

/// What this daemon knows of one upstream's limit.
#[derive(Debug, Default)]
struct TrackedLimit {
    /// `None` if no limit was ever reported.
    limit: Option<UpstreamLimit>,
    /// What this daemon's own responses said last.
    own_report: Option<LimitReport>,
    /// The last invalid header value. It is logged once, not with each response.
    invalid: Option<String>,
}

/// Limits of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimits {
    tracked: SecondaryMap<UpstreamKey, TrackedLimit>,
    /// Services whose sums were recorded last, to record zero once they have no limit any more.
    recorded: BTreeSet<Service>,
}

/// The limit under which a request is sent, for the logs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitUse {
    /// The limit that the upstream reported last; `None` while it is being lifted.
    named: Option<RequestRate>,
    /// The permitted rate, summed over all daemons, in requests per second.
    permitted: f64,
    age: Duration,
    /// This daemon's part, in requests per second.
    own: f64,
}

impl fmt::Display for LimitUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "limit_per_s={} permitted_per_s={:.2} limit_age_ms={} own_per_s={:.2} peers_per_s={:.2}",
            self.named.map_or(-1.0, f64::from),
            self.permitted,
            self.age.as_millis(),
            self.own,
            self.permitted - self.own,
        )
    }
}

/// Sums over the limited upstreams of a service, for the metrics.
#[derive(Clone, Copy, Debug, Default)]
struct LimitTotals {
    upstreams: u64,
    permitted: f64,
    own: f64,
    age: Duration,
}

impl UpstreamLimits {
    /// Whether the limit of an upstream permits a request now.
    pub(crate) fn state(&self, now: MonotonicInstant, key: UpstreamKey) -> LimitState {
        match self.limit(key).filter(|limit| limit.is_limited(now)) {
            None => LimitState::Unlimited,
            Some(limit) if limit.is_available(now) => {
                LimitState::Permitted { probe: limit.needs_probe(now) }
            }
            Some(limit) => LimitState::Exhausted(limit.wait(now)),
        }
    }

    /// Counts a request. Returns `None` if the upstream has no limit, and otherwise whether the
    /// request may be sent.
    pub(crate) fn take(&mut self, now: MonotonicInstant, key: UpstreamKey) -> Option<bool> {
        let limit = self.tracked.get_mut(key)?.limit.as_mut()?;
        limit.is_limited(now).then(|| limit.take(now))
    }

    /// Takes back the count of a request that was not sent.
    pub(crate) fn give_back(&mut self, key: UpstreamKey) {
        if let Some(limit) = self.tracked.get_mut(key).and_then(|tracked| tracked.limit.as_mut()) {
            limit.give_back();
        }
    }

    /// The limit of an upstream, for the logs; `None` if it has none.
    pub(crate) fn in_use(&self, now: MonotonicInstant, key: UpstreamKey) -> Option<LimitUse> {
        let limit = self.limit(key).filter(|limit| limit.is_limited(now))?;
        Some(LimitUse {
            named: limit.named(),
            permitted: limit.rate(now),
            age: limit.age(now),
            own: limit.own_rate(),
        })
    }

    /// Records what a response says of the limit. The request was sent at `sent`.
    pub(crate) fn on_answer(
        &mut self,
        (now, sent): (MonotonicInstant, MonotonicInstant),
        (key, upstream): (UpstreamKey, &Instance),
        named: NamedLimit,
    ) {
        let rate = match named {
            NamedLimit::None => None,
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::Invalid(text) => return self.on_invalid((key, upstream), text),
        };
        let known = self.limit(key).and_then(UpstreamLimit::named);
        if rate.is_none() && self.limit(key).is_none() {
            return;
        }
        // A response without a limit, or with a higher one, may have been made before the newest
        // one known: only the time at which its request was sent is certain.
        let rises = match (known, rate) {
            (Some(known), Some(rate)) => rate > known,
            (Some(_), None) => true,
            (None, _) => false,
        };
        let report = LimitReport { rate, at: if rises { sent } else { now } };
        if self.apply(now, (key, upstream), report, ReportSource::Answer)
            && let Some(tracked) = self.tracked.get_mut(key)
        {
            tracked.own_report = Some(report);
        }
    }

    fn on_invalid(&mut self, (key, upstream): (UpstreamKey, &Instance), text: String) {
        let Some(entry) = self.tracked.entry(key) else { return };
        let known = &mut entry.or_default().invalid;
        if known.as_ref() != Some(&text) {
            log::warn!("event=limit_invalid upstream={upstream} text={text:?}");
            *known = Some(text);
        }
    }

    /// Records what another daemon was told of a limit.
    pub(crate) fn on_peer_report(
        &mut self,
        now: MonotonicInstant,
        (key, upstream): (UpstreamKey, &Instance),
        report: LimitReport,
    ) {
        if report.rate.is_some() || self.limit(key).is_some() {
            self.apply(now, (key, upstream), report, ReportSource::Daemon);
        }
    }

    /// Applies a report. Returns whether it agrees with what is known then.
    fn apply(
        &mut self,
        now: MonotonicInstant,
        (key, upstream): (UpstreamKey, &Instance),
        report: LimitReport,
        source: ReportSource,
    ) -> bool {
        let Some(entry) = self.tracked.entry(key) else { return false };
        let tracked = entry.or_default();
        let before = tracked.limit.as_ref().and_then(UpstreamLimit::named);
        let changed = match (&mut tracked.limit, report.rate) {
            (Some(limit), _) => limit.on_report(now, report, source),
            (limit @ None, Some(rate)) => {
                *limit = Some(UpstreamLimit::new(now, report.at, rate));
                true
            }
            (None, None) => false,
        };
        if changed {
            log::warn!(
                "event=upstream_limit upstream={upstream} per_s={} before={} source={} age_ms={}",
                report.rate.map_or(-1.0, f64::from),
                before.map_or(-1.0, f64::from),
                <&'static str>::from(source),
                now.since(report.at).as_millis(),
            );
        }
        tracked.limit.as_ref().is_some_and(|limit| limit.named() == report.rate)
    }

    /// What this daemon's own responses said of limits, for the other daemons, at most `count`.
    pub(crate) fn own_reports(
        &self,
        now: MonotonicInstant,
        registry: &UpstreamRegistry,
        count: usize,
    ) -> Vec<(UpstreamId, LimitReport)> {
        let reports = self.tracked.iter().filter_map(|(key, tracked)| {
            let (report, limit) = (tracked.own_report?, tracked.limit.as_ref()?);
            let is_recent = report.rate.is_some() || now.since(report.at) < LIFTED_REPORT_TIME;
            // A report that a newer one of another daemon contradicts is not repeated.
            let agrees = limit.named() == report.rate;
            let id = registry.get(key)?.registration.id.clone();
            (is_recent && agrees).then_some((id, report))
        });
        reports.take(count).collect()
    }

    /// Sets this daemon's place among those that send to each limited upstream.
    pub(crate) fn set_positions(
        &mut self,
        now: MonotonicInstant,
        registry: &UpstreamRegistry,
        position: impl Fn(&Service, &UpstreamId) -> Option<Position>,
    ) {
        let mut totals: BTreeMap<Service, LimitTotals> = BTreeMap::new();
        for (key, tracked) in &mut self.tracked {
            let Some(listed) = registry.get(key) else { continue };
            let Some(limit) = &mut tracked.limit else { continue };
            let (service, id) = (&listed.registration.service, &listed.registration.id);
            if !limit.is_limited(now) {
                continue;
            }
            let sums = totals.entry(service.clone()).or_default();
            let place = position(service, id);
            let had_part = limit.own_rate() > 0.0;
            limit.set_position(now, place);
            if had_part != (limit.own_rate() > 0.0) {
                log::info!(
                    "event=limit_share upstream={} own_per_s={:.2} permitted_per_s={:.2} \
                     age_ms={} place={place:?}",
                    id.instance,
                    limit.own_rate(),
                    limit.rate(now),
                    limit.age(now).as_millis(),
                );
            }
            sums.upstreams += 1;
            sums.permitted += limit.rate(now);
            sums.own += limit.own_rate();
            sums.age = sums.age.max(limit.age(now));
        }
        self.record(totals);
    }

    fn record(&mut self, mut totals: BTreeMap<Service, LimitTotals>) {
        let limited = totals.keys().cloned().collect();
        for service in std::mem::replace(&mut self.recorded, limited) {
            totals.entry(service).or_default();
        }
        for (service, sums) in totals {
            let label = [KeyValue::new("service", service.to_string())];
            METRICS.limited_upstreams.record(sums.upstreams, &label);
            METRICS.limit_permitted.record(sums.permitted, &label);
            METRICS.limit_own.record(sums.own, &label);
            METRICS.limit_peers.record(sums.permitted - sums.own, &label);
            METRICS.limit_age_seconds.record(sums.age.as_secs_f64(), &label);
        }
    }

    /// The permitted rates of the limited upstreams of a service, in requests per second.
    pub(crate) fn rates(
        &self,
        now: MonotonicInstant,
        registry: &UpstreamRegistry,
        service: &Service,
    ) -> Vec<f64> {
        let limited = self.tracked.iter().filter_map(|(key, tracked)| {
            let listed = registry.get(key).filter(|listed| listed.usable(now))?;
            let limit = tracked.limit.as_ref().filter(|limit| limit.is_limited(now))?;
            (listed.registration.service == *service).then(|| limit.rate(now))
        });
        limited.collect()
    }

    /// Forgets the limits of upstreams for which the predicate returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(UpstreamKey) -> bool) {
        self.tracked.retain(|key, _| keep(key));
    }

    fn limit(&self, key: UpstreamKey) -> Option<&UpstreamLimit> {
        self.tracked.get(key)?.limit.as_ref()
    }
}

#[cfg(test)]
mod tests;
