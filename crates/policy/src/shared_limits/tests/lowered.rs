//! Quotas that a version lowers far below what the team sends, and requests that are larger than what a
//! keeper may hold then.

use super::simulation::{Fleet, most_in_window};
use super::{TOLERANCE, at};
use crate::shared_limits::QuotaSpec;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The lower quota, in the proportions of [`super::SPEC`]: a few hundred tokens a second.
const LOWERED: QuotaSpec = QuotaSpec { rate: 0.5, burst: 1.0 };

/// When the quota is lowered, in milliseconds.
const LOWERED_AT: u64 = 10_000;

/// When the lower one binds: one window after it counts everywhere.
const BINDS_AT: u64 = LOWERED_AT + 8_000;

/// The mean number of units of a request, at 1,700 tokens a unit: a prompt of 12,000 tokens.
const MEAN_COST: f64 = 7.0;

/// The largest request: 68,000 tokens, a little more than the users' callers send.
const MAX_COST: f64 = 40.0;

/// The share of requests that are as large as can be.
const LARGE_SHARE: f64 = 0.05;

/// The requests from [`BINDS_AT`] on of a team that sends `offered` units a second through all daemons: their
/// time, their units, and whether they were admitted.
fn play(daemons: usize, offered: f64, seed: u64) -> Vec<(u64, f64, bool)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::with_news(daemons, 600, seed, at(0));
    let (step, mut requests) = (10, Vec::new());
    for now in (0..60_000_u64).step_by(step) {
        if now.is_multiple_of(if daemons < 100 { 200 } else { 2_000 }) {
            fleet.update_views(now);
        }
        if now == LOWERED_AT {
            fleet.set_spec(LOWERED);
        }
        let expected = offered * step as f64 / 1_000.0 / MEAN_COST;
        let arrivals = expected as u32 + u32::from(random.random::<f64>() < expected.fract());
        for _ in 0..arrivals {
            let cost = -MEAN_COST * (1.0 - random.random::<f64>()).ln();
            let cost = if random.random_bool(LARGE_SHARE) { MAX_COST } else { cost.min(MAX_COST) };
            let daemon = random.random_range(0..daemons);
            let admitted = fleet.admit(at(now), daemon, cost);
            requests.push((now, cost, admitted));
        }
    }
    requests.retain(|(now, ..)| *now >= BINDS_AT);
    requests
}

fn allowance() -> f64 {
    (LOWERED.rate * 8.0 + LOWERED.burst) * (1.0 + TOLERANCE.overage) + TOLERANCE.slack
}

/// Found while looking for the cause of issue 59: each keeper granted a request of any size when it was full.
#[test]
fn requests_larger_than_a_keeper_may_hold_stay_within_a_quota_that_was_lowered_far() {
    for daemons in [1, 3, 8, 58, 400] {
        for (offered, seed) in [(5.0, 1), (20.0, 2), (50.0, 3), (700.0, 4)] {
            let most = most_in_window(&play(daemons, offered, seed));
            let allowed = allowance();
            assert!(most <= allowed, "{daemons} daemons, {offered}/s: {most} of {allowed}");
        }
    }
}
