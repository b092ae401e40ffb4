//! Daemons that keep a quota together, with calls that fail and views of each other that are late.

use super::{SPEC, TOLERANCE, at};
use crate::shared_limits::{
    DaemonCounts, DaemonVisibility, QuotaGrant, QuotaKeepers, QuotaQuestion, QuotaSpec, SeedCounts,
    SharedQuota, SharedQuotaDecision, may_keep_quotas,
};
use bolero::TypeGenerator;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spindle_types::{Instance, MonotonicInstant, Team};
use std::time::Duration;

/// Silence after which a daemon no longer counts as heard, in milliseconds.
const SILENT_AFTER: u64 = 3_400;

/// Silence after which a daemon is forgotten, in milliseconds.
const FORGET_AFTER: u64 = 30_000;

struct Daemon {
    quota: SharedQuota<usize>,
    keepers: QuotaKeepers<usize>,
    instance: Instance,
    started: u64,
    is_running: bool,
    /// The side of a cut on which it is.
    side: usize,
    /// When each other daemon was heard last, and for how long it had been running.
    heard: Vec<Option<(u64, u64)>>,
}

/// Daemons and what they have admitted.
pub(super) struct Fleet {
    daemons: Vec<Daemon>,
    /// How late each daemon hears of the others, at most, in milliseconds.
    news_max: u64,
    /// Whether daemons read from the store which others there are.
    has_list: bool,
    /// The number of daemons that the settings of all list: the first ones.
    seeds: usize,
    random: ChaCha8Rng,
    before: f64,
}

impl Fleet {
    /// Daemons that have just started and know each other.
    pub(super) fn new(count: usize, now: MonotonicInstant) -> Self {
        Self::with_news(count, 0, 0, now)
    }

    /// The same, with news that are late and calls of which one in a hundred fails.
    pub(super) fn with_news(count: usize, news_max: u64, seed: u64, now: MonotonicInstant) -> Self {
        let daemons = (0..count).map(|index| Daemon {
            quota: SharedQuota::new(now, SPEC, TOLERANCE),
            keepers: QuotaKeepers::alone(DaemonVisibility { visible: 1, known: 1 }),
            instance: Instance::try_from(format!("d-{index}").as_str()).unwrap(),
            started: millis(now),
            is_running: true,
            side: 0,
            heard: vec![None; count],
        });
        let random = ChaCha8Rng::seed_from_u64(seed);
        let daemons = daemons.collect();
        let mut fleet = Self { daemons, news_max, has_list: true, seeds: 0, random, before: 0.0 };
        fleet.update_views(millis(now));
        fleet
    }

    /// What each daemon knows of the others, from statuses that are late.
    pub(super) fn update_views(&mut self, now: u64) {
        let count = self.daemons.len();
        for own in 0..count {
            for other in (0..count).filter(|other| *other != own) {
                let (from, to) = (&self.daemons[other], &self.daemons[own]);
                if !from.is_running || from.side != to.side {
                    continue;
                }
                let delay =
                    if self.news_max == 0 { 0 } else { self.random.random_range(0..self.news_max) };
                let Some(sent) = now.checked_sub(delay).filter(|sent| *sent >= from.started) else {
                    continue;
                };
                let news = (sent, sent - from.started);
                let heard = &mut self.daemons[own].heard[other];
                if heard.is_none_or(|(at, _)| at < news.0) {
                    *heard = Some(news);
                }
            }
            self.select_keepers(own, now);
        }
    }

    fn select_keepers(&mut self, own: usize, now: u64) {
        let daemon = &self.daemons[own];
        let uptime = now - daemon.started;
        let heard = daemon.heard.iter().enumerate();
        let heard = heard.filter_map(|(other, news)| Some((other, (*news)?)));
        let heard: Vec<_> = heard.filter(|(_, (sent, _))| now - sent < FORGET_AFTER).collect();
        let live: Vec<_> =
            heard.iter().filter(|(_, (sent, _))| now - sent <= SILENT_AFTER).collect();
        let age = |news: (u64, u64)| news.1 + now - news.0;
        let oldest = live.iter().map(|(_, news)| age(*news)).max().unwrap_or_default().max(uptime);
        let span = Duration::from_millis;
        let is_known = |uptime: u64| may_keep_quotas(span(uptime), span(oldest));
        let listed = self.has_list.then_some(self.daemons.len() as u32);
        let (live_count, heard_count) = (1 + live.len() as u32, 1 + heard.len() as u32);
        let is_live = |seed: usize| seed == own || live.iter().any(|(other, _)| *other == seed);
        let seeds = 0..self.seeds.min(self.daemons.len());
        let seeds = SeedCounts {
            listed: seeds.len() as u32,
            heard: seeds.filter(|seed| is_live(*seed)).count() as u32,
        };
        let counts = DaemonCounts {
            uptime: span(uptime),
            oldest: span(oldest),
            heard: live_count,
            remembered: heard_count,
            listed,
            seeds,
        };
        let visibility = counts.quota_visibility();
        let others = live.iter().filter(|(_, news)| is_known(age(*news)));
        let others = others.map(|(other, _)| (&self.daemons[*other].instance, *other));
        let own_instance = is_known(uptime).then_some(&daemon.instance);
        let team = Team::try_from("t").unwrap();
        let keepers = QuotaKeepers::select(&team, own_instance, others, visibility);
        let daemon = &mut self.daemons[own];
        daemon.quota.set_part(at(now), keepers.part);
        daemon.keepers = keepers;
    }

    /// Decides on a request at a daemon and returns whether it was admitted.
    pub(super) fn admit(&mut self, now: MonotonicInstant, daemon: usize, cost: f64) -> bool {
        let mut decision = {
            let Daemon { quota, keepers, .. } = &mut self.daemons[daemon];
            quota.admit(now, cost, keepers)
        };
        loop {
            match decision {
                SharedQuotaDecision::Admitted => return true,
                SharedQuotaDecision::RetryAfter(_) => return false,
                SharedQuotaDecision::Ask(keeper, question) => {
                    let grant = self.call(now, (daemon, keeper), question);
                    let asked = (keeper, question, grant);
                    let Daemon { quota, keepers, .. } = &mut self.daemons[daemon];
                    decision = quota.on_grant(now, cost, asked, keepers);
                }
            }
        }
    }

    fn call(
        &mut self,
        now: MonotonicInstant,
        (from, to): (usize, usize),
        question: QuotaQuestion,
    ) -> Option<QuotaGrant> {
        if !self.daemons[to].is_running || self.daemons[from].side != self.daemons[to].side {
            return None;
        }
        // One call in a hundred fails, half of these after the grant.
        let lost = self.news_max > 0 && self.random.random_ratio(1, 100);
        if lost && self.random.random() {
            return None;
        }
        let Daemon { quota, keepers, .. } = &mut self.daemons[to];
        let grant = quota.grant(now, question, keepers.part);
        (!lost).then_some(grant)
    }

    pub(super) fn refund(&mut self, now: MonotonicInstant, daemon: usize, cost: f64) {
        self.daemons[daemon].quota.refund(now, cost);
    }

    /// Changes the quota at all daemons.
    pub(super) fn set_spec(&mut self, spec: QuotaSpec) {
        self.daemons.iter_mut().for_each(|daemon| daemon.quota.set_spec(spec));
    }

    /// Units that all daemons have admitted.
    pub(super) fn admitted(&self) -> f64 {
        self.before + self.daemons.iter().map(|daemon| daemon.quota.own_usage()).sum::<f64>()
    }

    /// Cuts a daemon off from all others.
    pub(super) fn isolate(&mut self, daemon: usize) {
        self.daemons[daemon].side = daemon + 1;
        let count = self.daemons.len() as u32;
        let visibility = DaemonVisibility { visible: 1, known: count };
        self.daemons[daemon].keepers = QuotaKeepers::alone(visibility);
    }

    /// Replaces a daemon by one that has just started, which the others hear at once.
    pub(super) fn restart(&mut self, now: MonotonicInstant, daemon: usize) {
        self.start(now, daemon);
        self.update_views(millis(now));
    }

    pub(super) fn restart_all(&mut self, now: MonotonicInstant) {
        (0..self.daemons.len()).for_each(|daemon| self.start(now, daemon));
        self.update_views(millis(now));
    }

    fn start(&mut self, now: MonotonicInstant, index: usize) {
        let count = self.daemons.len();
        let daemon = &mut self.daemons[index];
        self.before += daemon.quota.own_usage();
        daemon.quota = SharedQuota::new(now, SPEC, TOLERANCE);
        daemon.started = millis(now);
        daemon.is_running = true;
        daemon.heard = vec![None; count];
        self.select_keepers(index, millis(now));
    }
}

fn millis(now: MonotonicInstant) -> u64 {
    u64::try_from(now.since(MonotonicInstant::default()).as_millis()).unwrap()
}

/// Requests of one team that arrive at random daemons, whose news of each other are late.
#[derive(Clone, Debug)]
pub(super) struct TeamLoad {
    pub(super) daemons: usize,
    /// The number of daemons that get requests of the team.
    pub(super) reached: usize,
    /// Units per second.
    pub(super) offered: f64,
    /// The longest time that news between daemons take, in milliseconds.
    pub(super) news_max: u64,
    /// Whether daemons read from the store which others there are.
    pub(super) has_list: bool,
    /// The number of daemons that the settings of all list.
    pub(super) seeds: usize,
    pub(super) seed: u64,
}

impl TeamLoad {
    /// The mean number of units of a request: a prompt of 3,000 tokens at the users' quotas.
    const MEAN_COST: f64 = 0.4;

    /// The largest request, in units.
    const MAX_COST: f64 = 8.0;

    /// The time and the units of each request until `millis`, and whether it was admitted.
    pub(super) fn play(&self, millis: u64) -> Vec<(u64, f64, bool)> {
        self.play_with(millis, &[])
    }

    /// The same while faults happen.
    pub(super) fn play_with(&self, millis: u64, faults: &[Fault]) -> Vec<(u64, f64, bool)> {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let count = self.daemons;
        let mut fleet = Fleet::with_news(count, self.news_max, self.seed, at(0));
        (fleet.has_list, fleet.seeds) = (self.has_list, self.seeds);
        let mut requests = Vec::new();
        let step = 10;
        let interval = (200 * count as u64 / 12).clamp(200, 1_000) / step * step;
        for now in (0..millis).step_by(10) {
            for fault in faults {
                fault.apply(&mut fleet, now);
            }
            if now.is_multiple_of(interval) {
                fleet.update_views(now);
            }
            let expected = self.offered * step as f64 / 1_000.0 / Self::MEAN_COST;
            let arrivals = expected as u32 + u32::from(random.random::<f64>() < expected.fract());
            for _ in 0..arrivals {
                let cost = -Self::MEAN_COST * (1.0 - random.random::<f64>()).ln();
                let cost = cost.min(Self::MAX_COST);
                let daemon = random.random_range(0..self.reached);
                if fleet.daemons[daemon].is_running {
                    requests.push((now, cost, fleet.admit(at(now), daemon, cost)));
                }
            }
        }
        requests
    }
}

/// What happens to some of the daemons.
#[derive(Clone, Copy, Debug, TypeGenerator)]
pub(super) enum FaultKind {
    /// They don't reach the others, but one another.
    Cut,
    /// They are killed, and started again at the end.
    Kill,
    /// They are stopped and started in one moment.
    Restart,
}

/// A fault, at a time and for a time in milliseconds, of a share of the daemons of 256.
#[derive(Clone, Copy, Debug, TypeGenerator)]
pub(super) struct Fault {
    #[generator(0..12_000_u64)]
    pub(super) at: u64,
    #[generator(100..15_000_u64)]
    pub(super) length: u64,
    pub(super) share: u8,
    pub(super) kind: FaultKind,
}

impl Fault {
    fn apply(&self, fleet: &mut Fleet, now: u64) {
        let (start, end) = (self.at / 10 * 10, (self.at + self.length) / 10 * 10);
        if now != start && now != end {
            return;
        }
        let count = fleet.daemons.len();
        for daemon in 0..count * usize::from(self.share) / 256 {
            match (self.kind, now == start) {
                (FaultKind::Cut, true) => fleet.daemons[daemon].side = 1,
                (FaultKind::Cut, false) => fleet.daemons[daemon].side = 0,
                (FaultKind::Kill, true) => fleet.daemons[daemon].is_running = false,
                (FaultKind::Kill, false) | (FaultKind::Restart, true) => {
                    fleet.start(at(now), daemon);
                }
                (FaultKind::Restart, false) => {}
            }
        }
    }
}

/// A team that sends much while daemons are cut off, killed and restarted.
#[derive(Clone, Debug, TypeGenerator)]
pub(super) struct Schedule {
    #[generator(1..64_usize)]
    daemons: usize,
    /// Tenths of the quota that the team sends.
    #[generator(5..120_u32)]
    tenths: u32,
    #[generator(1..2_000_u64)]
    pub(super) news_max: u64,
    #[generator(bolero::constant(true))]
    pub(super) has_list: bool,
    #[generator(bolero::constant(0))]
    pub(super) seeds: usize,
    #[generator(bolero::produce::<Vec<Fault>>().with().len(0..4_usize))]
    faults: Vec<Fault>,
    pub(super) seed: u64,
}

impl Schedule {
    pub(super) fn new(daemons: usize, excess: f64, faults: Vec<Fault>) -> Self {
        Self {
            daemons,
            tenths: (excess * 10.0) as u32,
            news_max: 1_600,
            has_list: true,
            seeds: 0,
            faults,
            seed: 1,
        }
    }

    pub(super) fn play(&self) -> Vec<(u64, f64, bool)> {
        let load = TeamLoad {
            daemons: self.daemons,
            reached: self.daemons,
            offered: SPEC.rate * f64::from(self.tenths) / 10.0,
            news_max: self.news_max,
            has_list: self.has_list,
            seeds: self.seeds,
            seed: self.seed,
        };
        load.play_with(32_000, &self.faults)
    }
}

/// The most units that were admitted in any window of the tolerance.
pub(super) fn most_in_window(requests: &[(u64, f64, bool)]) -> f64 {
    let window = TOLERANCE.window.as_millis() as u64;
    let (mut first, mut sum, mut most) = (0, 0.0, 0.0_f64);
    let admitted: Vec<_> = requests.iter().filter(|(_, _, admitted)| *admitted).collect();
    for (now, cost, _) in &admitted {
        sum += cost;
        while admitted[first].0 + window <= *now {
            sum -= admitted[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}
