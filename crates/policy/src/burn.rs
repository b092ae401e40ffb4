//! Service levels per team and model, and the burn rates of their error budgets.
//!
//! Each daemon counts its own requests and appends the counts to the log. All readers of the same
//! records compute the same report.

use serde::{Deserialize, Serialize};
use spindle_types::{Incarnation, Model, Offset, Team, Tokens, UtcInstant};
use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::time::Duration;
use strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr};

/// The length of a slot, the resolution at which counts are stored.
pub const SLOT: Duration = Duration::from_secs(300);

/// The period of the error budget: 3 days.
pub const PERIOD: Duration = Duration::from_secs(3 * 24 * 3_600);

/// The service level objective: the fraction of events that must be within the target.
pub const OBJECTIVE: f64 = 0.95;

/// Multi-window burn rate alerts. An alert fires if the burn rates of both windows are at least
/// `rate`. A burn rate of 1 uses up the error budget in exactly one [`PERIOD`].
const ALERTS: [Alert; 4] = [
    Alert { long: hours(1), short: minutes(5), rate: 14.4, severity: AlertSeverity::Page },
    Alert { long: hours(6), short: minutes(30), rate: 6.0, severity: AlertSeverity::Page },
    Alert { long: hours(24), short: hours(2), rate: 3.0, severity: AlertSeverity::Ticket },
    Alert { long: hours(72), short: hours(6), rate: 1.0, severity: AlertSeverity::Ticket },
];

const fn hours(count: u64) -> Duration {
    Duration::from_secs(count * 3_600)
}

const fn minutes(count: u64) -> Duration {
    Duration::from_secs(count * 60)
}

struct Alert {
    long: Duration,
    short: Duration,
    rate: f64,
    severity: AlertSeverity,
}

/// The urgency of an alert.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum AlertSeverity {
    /// An operator must act now.
    Page,
    /// An operator must act within days.
    Ticket,
}

/// A service level indicator.
#[derive(
    Clone, Copy, Debug, Display, EnumIter, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Indicator {
    /// The time from the acceptance of a request to its first token.
    FirstToken,
    /// The time between two consecutive tokens.
    TokenInterval,
}

/// The number of events within the target out of all events.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ratio {
    /// Events within the target.
    pub good: u64,
    /// All events.
    pub total: u64,
}

impl Ratio {
    /// Counts an event.
    pub const fn count(&mut self, good: bool) {
        self.good += good as u64;
        self.total += 1;
    }

    /// The fraction of events within the target; 1 without events.
    pub fn attainment(&self) -> f64 {
        if self.total == 0 { 1.0 } else { self.good as f64 / self.total as f64 }
    }

    /// The ratio of the actual error rate to the rate that the objective permits.
    pub fn burn_rate(&self) -> f64 {
        (1.0 - self.attainment()) / (1.0 - OBJECTIVE)
    }
}

impl AddAssign for Ratio {
    fn add_assign(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }
}

/// Counts of requests, latencies and tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that have ended.
    pub requests: u64,
    /// First tokens, by whether they came within the target.
    pub first_token: Ratio,
    /// Intervals between tokens, by whether they were within the target.
    pub token_interval: Ratio,
    /// Generated tokens.
    pub tokens: Tokens,
    /// Tokens computed again after the loss of an upstream.
    pub recomputed: Tokens,
}

impl Counts {
    const fn ratio(&self, indicator: Indicator) -> Ratio {
        match indicator {
            Indicator::FirstToken => self.first_token,
            Indicator::TokenInterval => self.token_interval,
        }
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.first_token += other.first_token;
        self.token_interval += other.token_interval;
        self.tokens += other.tokens;
        self.recomputed += other.recomputed;
    }
}

/// The counts of one team's requests for one model.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamModelCounts {
    /// The team that sent the requests.
    pub team: Team,
    /// The model that was requested.
    pub model: Model,
    /// The counts of these requests.
    pub counts: Counts,
}

/// A record of the log stream of service levels.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceLevelRecord {
    /// The daemon that counted.
    pub incarnation: Incarnation,
    /// The sequence number of the record at that daemon, used to ignore repeated appends.
    pub sequence: u64,
    /// The end of the counted interval.
    pub at: UtcInstant,
    /// The counts by team and model.
    pub cells: Vec<TeamModelCounts>,
}

/// The counts of the current period by team, model and slot.
#[derive(Clone, Debug, Default)]
pub struct ErrorBudgets {
    series: BTreeMap<(Team, Model), BTreeMap<u64, Counts>>,
    /// The newest sequence number of each daemon and the slot of its record.
    sequences: BTreeMap<Incarnation, (u64, u64)>,
    next: Offset,
}

/// The attainment and burn rate of one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The length of the window in minutes.
    pub minutes: u64,
    /// The fraction of events within the target.
    pub attainment: f64,
    /// The burn rate of the error budget.
    pub rate: f64,
}

/// The service level of one team, model and indicator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The team that sent the requests.
    pub team: Team,
    /// The model that was requested.
    pub model: Model,
    /// The service level indicator.
    pub indicator: Indicator,
    /// The number of events in the period.
    pub events: u64,
    /// The windows, the shortest first.
    pub windows: Vec<WindowBurn>,
    /// The fraction of the period's error budget that is left; negative if it is exceeded.
    pub budget_left: f64,
    /// The most urgent alert that fires.
    pub alert: Option<AlertSeverity>,
    /// The start and the burn rate of each slot with events.
    pub series: Vec<(UtcInstant, f64)>,
}

/// A report of all service levels.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// When the report was made.
    pub at: UtcInstant,
    /// One row for each team, model and indicator.
    pub rows: Vec<BurnRow>,
}

impl ErrorBudgets {
    /// The offset of the next record to read.
    pub fn next(&self) -> Offset {
        self.next.max(Offset(1))
    }

    /// Skips a record that can't be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset.next());
    }

    /// Applies the record at an offset. A record that a daemon appended twice is counted once.
    pub fn on_record(&mut self, now: UtcInstant, offset: Offset, record: ServiceLevelRecord) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        let slot = slot(record.at);
        let last = self.sequences.entry(record.incarnation).or_default();
        if record.sequence <= last.0 {
            return;
        }
        *last = (record.sequence, slot);
        for TeamModelCounts { team, model, counts } in record.cells {
            let series = self.series.entry((team, model)).or_default();
            *series.entry(slot).or_default() += counts;
        }
        self.remove_expired(now);
    }

    /// The counts of each team and model in the window that ends now.
    pub fn totals(&self, now: UtcInstant, window: Duration) -> Vec<TeamModelCounts> {
        let cells = self.series.iter().map(|((team, model), series)| TeamModelCounts {
            team: team.clone(),
            model: model.clone(),
            counts: total(series, now, window),
        });
        cells.collect()
    }

    /// Reports the service levels of all teams and models.
    pub fn report(&self, now: UtcInstant) -> BurnReport {
        let rows = self.series.iter().flat_map(|((team, model), series)| {
            Indicator::iter().map(move |indicator| row(now, team, model, indicator, series))
        });
        BurnReport { at: now, rows: rows.collect() }
    }

    /// Removes counts that are older than [`PERIOD`].
    fn remove_expired(&mut self, now: UtcInstant) {
        let oldest = oldest_slot(now, PERIOD);
        for series in self.series.values_mut() {
            *series = series.split_off(&oldest);
        }
        self.series.retain(|_, series| !series.is_empty());
        self.sequences.retain(|_, (_, slot)| *slot >= oldest);
    }
}

fn row(
    now: UtcInstant,
    team: &Team,
    model: &Model,
    indicator: Indicator,
    series: &BTreeMap<u64, Counts>,
) -> BurnRow {
    let ratio = |window| total(series, now, window).ratio(indicator);
    let mut lengths: Vec<_> = ALERTS.iter().flat_map(|alert| [alert.short, alert.long]).collect();
    lengths.sort();
    lengths.dedup();
    let windows = lengths.into_iter().map(|window| WindowBurn {
        minutes: window.as_secs() / 60,
        attainment: ratio(window).attainment(),
        rate: ratio(window).burn_rate(),
    });
    let fires = |alert: &&Alert| {
        ratio(alert.long).burn_rate() >= alert.rate && ratio(alert.short).burn_rate() >= alert.rate
    };
    let slots = series.iter().map(|(slot, counts)| (*slot, counts.ratio(indicator)));
    let slots = slots.filter(|(_, ratio)| ratio.total > 0);
    BurnRow {
        team: team.clone(),
        model: model.clone(),
        indicator,
        events: ratio(PERIOD).total,
        windows: windows.collect(),
        budget_left: 1.0 - ratio(PERIOD).burn_rate(),
        alert: ALERTS.iter().find(fires).map(|alert| alert.severity),
        series: slots.map(|(slot, ratio)| (slot_start(slot), ratio.burn_rate())).collect(),
    }
}

fn total(series: &BTreeMap<u64, Counts>, now: UtcInstant, window: Duration) -> Counts {
    let mut sum = Counts::default();
    series.range(oldest_slot(now, window)..).for_each(|(_, counts)| sum += *counts);
    sum
}

const fn slot(at: UtcInstant) -> u64 {
    at.0 / SLOT.as_millis() as u64
}

const fn slot_start(slot: u64) -> UtcInstant {
    UtcInstant(slot * SLOT.as_millis() as u64)
}

/// The oldest slot that overlaps a window.
const fn oldest_slot(now: UtcInstant, window: Duration) -> u64 {
    slot(now).saturating_sub(window.as_millis() as u64 / SLOT.as_millis() as u64)
}

#[cfg(test)]
mod tests;
