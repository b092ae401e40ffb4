use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const SPEC: QuotaSpec = QuotaSpec { rate: 100.0, burst: 100.0 };

/// In the same proportions as the limits that users are promised.
const TOLERANCE: QuotaTolerance =
    QuotaTolerance { overage: 0.1, slack: 82.0, window: Duration::from_secs(8) };

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

/// The units that all daemons admit together until `millis`. The offered load in units per second
/// is spread evenly over the daemons, and each receives the totals of its peers every `delay`
/// milliseconds. At `restart` all daemons restart and lose their state.
fn admitted_until(
    daemons: u64,
    offered: f64,
    delay: u64,
    visibility: DaemonVisibility,
    (millis, restart): (u64, Option<u64>),
) -> f64 {
    let fresh =
        |at| -> Vec<_> { (0..daemons).map(|_| SharedQuota::new(at, SPEC, TOLERANCE)).collect() };
    let (mut quotas, mut before, mut created) = (fresh(at(0)), 0.0, 0);
    let step = 10;
    for now in (0..millis).step_by(10) {
        if restart == Some(now) {
            before += quotas.iter().map(SharedQuota::own_usage).sum::<f64>();
            quotas = fresh(at(now));
            created = now;
        }
        if now % delay == 0 {
            let totals: Vec<f64> = quotas.iter().map(SharedQuota::own_usage).collect();
            for (own, quota) in quotas.iter_mut().enumerate() {
                for (other, total) in totals.iter().enumerate().filter(|(other, _)| *other != own) {
                    let age = Duration::from_millis(now - created);
                    quota.on_peer_usage(Incarnation(created * 100 + other as u64), *total, age);
                }
            }
        }
        let cost = offered * f64::from(step) / 1_000.0 / daemons as f64;
        for quota in &mut quotas {
            quota.admit(at(now), cost, visibility);
        }
    }
    before + quotas.iter().map(SharedQuota::own_usage).sum::<f64>()
}

fn admitted(
    daemons: u64,
    offered: f64,
    delay: u64,
    visibility: DaemonVisibility,
    seconds: u64,
) -> f64 {
    admitted_until(daemons, offered, delay, visibility, (seconds * 1_000, None))
}

/// The most that may be admitted in 8 s: the refill plus the burst, 10% more, and the slack.
const ALLOWANCE: f64 = 900.0 * 1.1 + 82.0;

/// Found on kanem-returns trouble-3: all daemons were killed while a team exceeded its quota many
/// times over.
#[test]
fn a_restart_of_all_daemons_does_not_give_the_burst_once_more() {
    for restart in (1_000..7_500).step_by(500) {
        let visibility = DaemonVisibility { visible: 8, known: 8 };
        let total = admitted_until(8, 700.0, 250, visibility, (8_000, Some(restart)));
        assert!(total <= ALLOWANCE, "restart after {restart} ms: {total}");
    }
}

#[test]
fn a_team_far_over_its_quota_is_held_to_it_by_all_daemons_together() {
    let all = DaemonVisibility { visible: 6, known: 6 };
    let total = admitted(6, 700.0, 250, all, 8);
    assert!(total <= ALLOWANCE, "{total}");
    assert!(total >= 800.0, "{total}");
}

#[test]
fn a_team_within_its_quota_is_never_refused() {
    let all = DaemonVisibility { visible: 6, known: 6 };
    let until = |seconds| admitted(6, 95.0, 250, all, seconds);
    // In the first second after a common start, the quota may already have been spent before.
    assert!(until(1) >= 10.0, "{}", until(1));
    let later = until(8) - until(1);
    assert!(later >= 95.0 * 7.0 * 0.999, "{later}");
}

#[test]
fn isolated_daemons_stay_within_the_quota_together() {
    let alone = DaemonVisibility { visible: 1, known: 6 };
    let each: f64 = (0..6).map(|_| admitted(1, 120.0, 250, alone, 8)).sum();
    assert!(each <= ALLOWANCE, "{each}");
}

#[test]
fn request_larger_than_the_burst_is_admitted_when_the_bucket_is_full() {
    let mut quota = SharedQuota::new(at(0), SPEC, TOLERANCE);
    let all = DaemonVisibility { visible: 1, known: 1 };
    assert!(matches!(quota.admit(at(0), 500.0, all), SharedQuotaDecision::RetryAfter(_)));
    assert_eq!(quota.admit(at(2_500), 500.0, all), SharedQuotaDecision::Admitted);
    assert!(matches!(quota.admit(at(3_000), 1.0, all), SharedQuotaDecision::RetryAfter(_)));
}

#[test]
fn request_that_did_not_run_is_refunded() {
    let mut quota = SharedQuota::new(at(0), SPEC, TOLERANCE);
    let all = DaemonVisibility { visible: 1, known: 1 };
    assert_eq!(quota.admit(at(0), 4.0, all), SharedQuotaDecision::Admitted);
    assert!(matches!(quota.admit(at(0), 4.0, all), SharedQuotaDecision::RetryAfter(_)));
    quota.refund(4.0);
    assert_eq!(quota.admit(at(0), 4.0, all), SharedQuotaDecision::Admitted);
}

#[test]
fn retries_of_all_daemons_stay_within_the_budget() {
    let limit = RetryBudgetSpec { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
    let mut shares = vec![RetryBudgetShare::default(); 6];
    let mut retries = 0;
    for millis in 0..10_000_u64 {
        let share = &mut shares[millis as usize % 6];
        if millis % 10 == 0 {
            share.on_request(at(millis), &limit);
        }
        retries += u32::from(share.try_take(at(millis), &limit, 6));
    }
    assert!(retries <= 200 + 52, "{retries}");
    assert!(retries >= 100, "{retries}");
}

#[test]
fn daemon_joining_long_running_peers_admits_teams_within_their_quotas_at_once() {
    let mut quota = SharedQuota::new(at(0), SPEC, TOLERANCE);
    let all = DaemonVisibility { visible: 6, known: 6 };
    for other in 0..5 {
        quota.on_peer_usage(Incarnation(other), 1_000.0, Duration::from_secs(60));
    }
    // A sixth of the team's load, in small requests.
    for step in 1..20 {
        let millis = step * 100;
        assert_eq!(
            quota.admit(at(millis), 55.0 / 6.0 / 10.0, all),
            SharedQuotaDecision::Admitted,
            "{millis}"
        );
    }
}

/// Found on a mix of kanem-returns-grown, seed 552650313066: with 58 daemons, updates of the usage
/// charged by peers are over a second old, and each daemon keeps admitting requests meanwhile.
#[test]
#[ignore = "KNOWN-RED"]
fn a_team_far_over_its_quota_is_held_to_it_by_many_daemons_whose_news_are_late() {
    let all = DaemonVisibility { visible: 58, known: 58 };
    let total = admitted(58, 700.0, 1_600, all, 8);
    assert!(total <= ALLOWANCE, "{total}");
    assert!(total >= 800.0, "{total}");
}

/// Requests of one team that arrive at random daemons, whose news of each other are late.
struct TeamLoad {
    daemons: usize,
    /// The number of daemons that get requests of the team.
    reached: usize,
    /// Units per second.
    offered: f64,
    /// The longest time that news between daemons take, in milliseconds.
    news_max: u64,
    seed: u64,
}

impl TeamLoad {
    /// The mean number of units of a request: a prompt of 3,000 tokens at the users' quotas.
    const MEAN_COST: f64 = 0.4;

    /// The largest request, in units.
    const MAX_COST: f64 = 8.0;

    /// The time and the units of each request until `millis`, and whether it was admitted.
    fn play(&self, millis: u64) -> Vec<(u64, f64, bool)> {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let count = self.daemons;
        let all = DaemonVisibility { visible: count as u32, known: count as u32 };
        let mut quotas: Vec<_> =
            (0..count).map(|_| SharedQuota::new(at(0), SPEC, TOLERANCE)).collect();
        let mut news: BTreeMap<u64, Vec<(usize, usize, f64)>> = BTreeMap::new();
        let mut newest = vec![0.0; count * count];
        let mut requests = Vec::new();
        let (step, interval) = (10, (200 * count as u64 / 12).clamp(200, 1_000));
        for now in (0..millis).step_by(step) {
            for (from, to, total) in news.remove(&now).unwrap_or_default() {
                // Statuses that are older than the newest one known are dropped.
                let newest = &mut newest[from * count + to];
                if total <= *newest {
                    continue;
                }
                *newest = total;
                let uptime = Duration::from_millis(now);
                quotas[to].on_peer_usage(Incarnation(from as u64), total, uptime);
            }
            for (from, quota) in quotas.iter().enumerate() {
                if !(now + from as u64 * step as u64).is_multiple_of(interval) {
                    continue;
                }
                let total = quota.own_usage();
                for to in (0..count).filter(|to| *to != from) {
                    let delay = random.random_range(50..self.news_max) / 10 * 10;
                    news.entry(now + delay).or_default().push((from, to, total));
                }
            }
            let expected = self.offered * step as f64 / 1_000.0 / Self::MEAN_COST;
            let arrivals = expected as u32 + u32::from(random.random::<f64>() < expected.fract());
            for _ in 0..arrivals {
                let cost = -Self::MEAN_COST * (1.0 - random.random::<f64>()).ln();
                let cost = cost.min(Self::MAX_COST);
                let daemon = random.random_range(0..self.reached);
                let decision = quotas[daemon].admit(at(now), cost, all);
                requests.push((now, cost, decision == SharedQuotaDecision::Admitted));
            }
        }
        requests
    }
}

/// The most units that were admitted in any window of the tolerance.
fn most_in_window(requests: &[(u64, f64, bool)]) -> f64 {
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

#[test]
#[ignore = "KNOWN-RED"]
fn all_daemons_hold_a_team_to_its_quota_at_every_size_with_late_news() {
    for (daemons, news_max) in [(1, 100), (6, 600), (58, 2_000), (400, 2_500)] {
        for (excess, seed) in [(1.5, 1), (3.0, 2), (7.0, 3), (12.0, 4)] {
            let offered = SPEC.rate * excess;
            let load = TeamLoad { daemons, reached: daemons, offered, news_max, seed };
            let most = most_in_window(&load.play(24_000));
            assert!(most <= ALLOWANCE, "{daemons} daemons, {excess} times: {most}");
            assert!(most >= 800.0, "{daemons} daemons, {excess} times: {most}");
        }
    }
}

#[test]
#[ignore = "KNOWN-RED"]
fn a_team_within_its_quota_is_served_by_however_few_daemons_it_reaches() {
    for (daemons, news_max) in [(1, 100), (6, 600), (58, 2_000), (400, 2_500)] {
        for reached in [1, 3, daemons / 2] {
            let reached = reached.clamp(1, daemons);
            let offered = SPEC.rate * 0.9;
            let load = TeamLoad { daemons, reached, offered, news_max, seed: 5 };
            let requests = load.play(16_000);
            let later: Vec<_> = requests.iter().filter(|(now, ..)| *now >= 4_000).collect();
            let refused = later.iter().filter(|(_, _, admitted)| !admitted).count();
            let count = later.len();
            assert_eq!(refused, 0, "{reached} of {daemons} daemons, {count} requests");
        }
    }
}

#[test]
#[ignore = "KNOWN-RED"]
fn daemons_that_start_together_and_do_not_know_each_other_yet_stay_within_the_retry_budget() {
    let limit = RetryBudgetSpec { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
    for daemons in [1, 6, 58, 400_u32] {
        let mut shares = vec![RetryBudgetShare::default(); daemons as usize];
        let (mut requests, mut retries) = (0, 0);
        for millis in (0..10_000).step_by(100) {
            // Two seconds pass until each daemon has heard of all others.
            let known = if millis < 2_000 { 1 } else { daemons };
            for share in &mut shares {
                share.on_request(at(millis), &limit);
                requests += 1;
                retries += u32::from(share.try_take(at(millis), &limit, known));
            }
            let allowed = limit.ratio * f64::from(requests) + limit.slack;
            assert!(
                f64::from(retries) <= allowed,
                "{daemons} daemons: {retries} retries in {millis} ms, {allowed} allowed"
            );
        }
    }
}
