use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const ONE_PER_WINDOW: RetryParams = RetryParams {
    ratio: 0.2,
    floor: 1.0,
    window: Duration::from_secs(10),
    delay_base: Duration::from_millis(50),
    delay_max: Duration::from_secs(2),
};

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn names() -> (Team, Pool) {
    (Team::try_from("clara").unwrap(), Pool::try_from("p").unwrap())
}

fn retry(
    budgets: &mut RetryBudgets,
    now: u64,
    team: &str,
    generator: &mut ChaCha8Rng,
) -> RetryDecision {
    let team = Team::try_from(team).unwrap();
    budgets.on_retry(at(now), &team, &names().1, 0, generator)
}

/// Simulates 40 s at 100 requests per second with an outage of 20 s, in which each request is
/// retried up to 4 times. Returns the numbers of requests and of attempts.
fn retry_storm(mut budgets: Option<RetryBudgets>) -> (u32, u32) {
    let (team, pool) = names();
    let mut generator = ChaCha8Rng::seed_from_u64(11);
    let (mut requests, mut attempts) = (0, 0);
    for step in 0..4_000_u64 {
        let now = step * 10;
        let outage = (10_000..30_000).contains(&now);
        requests += 1;
        attempts += 1;
        if !outage {
            if let Some(budgets) = &mut budgets {
                budgets.on_success(at(now), &team, &pool);
            }
            continue;
        }
        for retries in 0..4 {
            let granted = budgets.as_mut().is_none_or(|budgets| {
                let retry = budgets.on_retry(at(now), &team, &pool, retries, &mut generator);
                matches!(retry, RetryDecision::Granted { .. })
            });
            if !granted {
                break;
            }
            attempts += 1;
        }
    }
    (requests, attempts)
}

#[test]
fn retry_storm_is_bounded_by_the_ratio() {
    let (requests, unbounded) = retry_storm(None);
    let (_, bounded) = retry_storm(Some(RetryBudgets::new(RetryParams::default())));
    insta::assert_debug_snapshot!((requests, unbounded, bounded));
    let ratio = RetryParams::default().ratio;
    assert!(f64::from(bounded) <= f64::from(requests) * (1.0 + ratio));
}

#[test]
fn one_team_can_not_exhaust_the_budget_of_its_pool() {
    let mut generator = ChaCha8Rng::seed_from_u64(3);
    let mut budgets = RetryBudgets::new(ONE_PER_WINDOW);
    let (team, pool) = names();
    for step in 0..100 {
        budgets.on_success(at(step), &team, &pool);
    }
    let granted = (0..50)
        .filter(|_| {
            matches!(
                retry(&mut budgets, 100, "flood", &mut generator),
                RetryDecision::Granted { .. }
            )
        })
        .count();
    assert_eq!(1, granted, "a team without successes");
    assert!(matches!(
        retry(&mut budgets, 100, "clara", &mut generator),
        RetryDecision::Granted { .. }
    ));
}

#[test]
fn exhausted_budget_states_when_to_ask_again() {
    let mut generator = ChaCha8Rng::seed_from_u64(3);
    let mut budgets = RetryBudgets::new(ONE_PER_WINDOW);
    let mut now = 0;
    let mut granted = Vec::new();
    while now < 60_000 {
        match retry(&mut budgets, now, "clara", &mut generator) {
            RetryDecision::Granted { .. } => granted.push(now),
            RetryDecision::Exhausted { ask_again_after } => {
                assert!(ask_again_after > Duration::ZERO);
                now += u64::try_from(ask_again_after.as_millis()).unwrap() + 1;
            }
        }
    }
    assert!((4..=60).contains(&granted.len()), "{granted:?}");
}

#[test]
fn jitter_covers_the_whole_range_and_is_bounded() {
    let mut generator = ChaCha8Rng::seed_from_u64(5);
    let params = RetryParams::default();
    let mut draw = |retries| full_jitter(&params, retries, &mut generator);
    let first: Vec<_> = (0..200).map(|_| draw(0)).collect();
    let late: Vec<_> = (0..200).map(|_| draw(40)).collect();
    assert!(first.iter().all(|delay| *delay <= params.delay_base));
    assert!(first.iter().any(|delay| *delay < params.delay_base / 10));
    assert!(first.iter().any(|delay| *delay > params.delay_base * 9 / 10));
    assert!(late.iter().all(|delay| *delay <= params.delay_max));
}

#[test]
fn request_gets_past_several_failing_upstreams_without_any_success() {
    let mut generator = ChaCha8Rng::seed_from_u64(3);
    let mut budgets = RetryBudgets::new(RetryParams::default());
    let granted = (0..20)
        .filter(|_| {
            matches!(retry(&mut budgets, 0, "clara", &mut generator), RetryDecision::Granted { .. })
        })
        .count();
    assert_eq!(10, granted);
}
