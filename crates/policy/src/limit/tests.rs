use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

#[test]
fn limit_converges_to_the_concurrency_that_meets_the_target() {
    let mut limit = ConcurrencyLimit::new(4, 200);
    for now in (0..60_000).step_by(100) {
        let running = limit.get();
        let latency = if running <= 50 { LatencyOutcome::Met } else { LatencyOutcome::Missed };
        limit.on_latency(at(now), latency, running);
    }
    assert!((40..=51).contains(&limit.get()), "{}", limit.get());
}

#[test]
fn idle_pool_does_not_raise_the_limit_and_lost_capacity_lowers_it() {
    let mut limit = ConcurrencyLimit::new(40, 100);
    for _ in 0..100 {
        limit.on_latency(at(0), LatencyOutcome::Met, 3);
    }
    assert_eq!(40, limit.get());
    limit.set_max(50);
    assert_eq!(20, limit.get());
    limit.set_max(0);
    assert_eq!(1, limit.get());
}

#[test]
fn burst_of_missed_targets_decreases_the_limit_once() {
    let mut limit = ConcurrencyLimit::new(100, 100);
    for _ in 0..50 {
        limit.on_latency(at(10), LatencyOutcome::Missed, 100);
    }
    assert_eq!(90, limit.get());
}
