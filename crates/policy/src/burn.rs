//! Service levels per team and model, and how fast their error budgets burn.
//!
//! Every daemon counts by itself and appends its counts to the log; every reader of the same
//! records reaches the same report.

use serde::{Deserialize, Serialize};
use spindle_types::{Incarnation, Model, Offset, Team, Tokens, UtcInstant};
use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::time::Duration;
use strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr};

/// The time that one slot covers.
pub const SLOT: Duration = Duration::from_secs(300);

/// The time over which the error budget is counted.
pub const PERIOD: Duration = Duration::from_secs(3 * 24 * 3_600);

/// The share that must be within the target.
pub const OBJECTIVE: f64 = 0.95;

/// Windows that alert together: both must burn at least so many times as fast as would use up the
/// budget in the period.
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

/// How urgent an alert is.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum AlertSeverity {
    /// Somebody must act now.
    Page,
    /// Somebody must act within days.
    Ticket,
}

/// What is promised.
#[derive(
    Clone, Copy, Debug, Display, EnumIter, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Indicator {
    /// The time from acceptance to the first token.
    FirstToken,
    /// The time between two tokens.
    TokenInterval,
}

/// Events within the target, and all events.
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

    /// The share within the target; 1 without events.
    pub fn attainment(&self) -> f64 {
        if self.total == 0 { 1.0 } else { self.good as f64 / self.total as f64 }
    }

    /// How many times as fast as allowed the error budget is used.
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

/// What a team's requests for a model came to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ended.
    pub requests: u64,
    /// First tokens.
    pub first_token: Ratio,
    /// Intervals between tokens.
    pub token_interval: Ratio,
    /// Tokens generated.
    pub tokens: Tokens,
    /// Tokens computed again.
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

/// The counts of one team and model.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamModelCounts {
    /// The team.
    pub team: Team,
    /// The model.
    pub model: Model,
    /// The counts.
    pub counts: Counts,
}

/// A record of the stream of service levels.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceLevelRecord {
    /// The daemon that counted.
    pub incarnation: Incarnation,
    /// The number of the record at that daemon, so that a repeated append counts once.
    pub sequence: u64,
    /// When the counts ended.
    pub at: UtcInstant,
    /// The counts.
    pub cells: Vec<TeamModelCounts>,
}

/// The counts of the period, by team and model, in slots.
#[derive(Clone, Debug, Default)]
pub struct ErrorBudgets {
    series: BTreeMap<(Team, Model), BTreeMap<u64, Counts>>,
    sequences: BTreeMap<Incarnation, (u64, u64)>,
    next: Offset,
}

/// The burn of one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The window in minutes.
    pub minutes: u64,
    /// The share within the target.
    pub attainment: f64,
    /// How many times as fast as allowed the budget is used.
    pub rate: f64,
}

/// The service level of one team, model and indicator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The team.
    pub team: Team,
    /// The model.
    pub model: Model,
    /// What is promised.
    pub indicator: Indicator,
    /// Events of the period.
    pub events: u64,
    /// The windows, the shortest first.
    pub windows: Vec<WindowBurn>,
    /// The share of the period's error budget that is left; below 0 if more was used.
    pub budget_left: f64,
    /// The most urgent alert.
    pub alert: Option<AlertSeverity>,
    /// The burn rate of each slot with events, by the slot's start.
    pub series: Vec<(UtcInstant, f64)>,
}

/// The service levels at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// When it was made.
    pub at: UtcInstant,
    /// One row for each team, model and indicator.
    pub rows: Vec<BurnRow>,
}

impl ErrorBudgets {
    /// The offset to read next.
    pub fn next(&self) -> Offset {
        self.next.max(Offset(1))
    }

    /// Passes over a record that can't be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset.next());
    }

    /// Reads the record at an offset; a record that a daemon appended twice counts once.
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
        self.forget(now);
    }

    /// What a team's requests for each model came to in a window.
    pub fn totals(&self, now: UtcInstant, window: Duration) -> Vec<TeamModelCounts> {
        let cells = self.series.iter().map(|((team, model), series)| TeamModelCounts {
            team: team.clone(),
            model: model.clone(),
            counts: total(series, now, window),
        });
        cells.collect()
    }

    /// The service levels of all teams and models.
    pub fn report(&self, now: UtcInstant) -> BurnReport {
        let rows = self.series.iter().flat_map(|((team, model), series)| {
            Indicator::iter().map(move |indicator| row(now, team, model, indicator, series))
        });
        BurnReport { at: now, rows: rows.collect() }
    }

    fn forget(&mut self, now: UtcInstant) {
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
    let mut spans: Vec<_> = ALERTS.iter().flat_map(|alert| [alert.short, alert.long]).collect();
    spans.sort();
    spans.dedup();
    let windows = spans.into_iter().map(|window| WindowBurn {
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
        series: slots.map(|(slot, ratio)| (start(slot), ratio.burn_rate())).collect(),
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

const fn start(slot: u64) -> UtcInstant {
    UtcInstant(slot * SLOT.as_millis() as u64)
}

/// The oldest slot that a window holds a part of.
const fn oldest_slot(now: UtcInstant, window: Duration) -> u64 {
    slot(now).saturating_sub(window.as_millis() as u64 / SLOT.as_millis() as u64)
}

#[cfg(test)]
mod tests;
