use super::*;

fn at(secs: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(secs * 1_000)
}

#[test]
fn opens_after_consecutive_failures_and_closes_after_one_probe() {
    let mut breaker = CircuitBreaker::default();
    assert_eq!(BreakerTransition::Unchanged, breaker.on_failure(at(0), at(0), FailureKind::Failed));
    assert_eq!(BreakerState::Closed, breaker.state_at(at(0)));
    assert_eq!(BreakerTransition::Opened, breaker.on_failure(at(1), at(0), FailureKind::Failed));
    assert_eq!(BreakerState::Open { until: at(2) }, breaker.state_at(at(1)));
    assert_eq!(BreakerState::HalfOpen, breaker.state_at(at(2)));
    breaker.on_attempt(at(2));
    assert_eq!(BreakerState::Open { until: at(3) }, breaker.state_at(at(2)), "one probe at a time");
    assert_eq!(BreakerTransition::Recovered, breaker.on_success());
    assert_eq!(BreakerState::Closed, breaker.state_at(at(2)));
}

#[test]
fn failures_of_attempts_in_flight_count_once() {
    let mut breaker = CircuitBreaker::default();
    breaker.on_failure(at(5), at(1), FailureKind::Unreachable);
    for _ in 0..50 {
        assert_eq!(
            BreakerTransition::Unchanged,
            breaker.on_failure(at(5), at(2), FailureKind::Failed)
        );
    }
    assert_eq!(BreakerState::Open { until: at(6) }, breaker.state_at(at(5)));
}

#[test]
fn open_time_doubles_with_each_failed_probe_up_to_a_bound() {
    let mut breaker = CircuitBreaker::default();
    let mut now = at(0);
    let mut actual = Vec::new();
    for _ in 0..7 {
        breaker.on_failure(now, now, FailureKind::Unreachable);
        let BreakerState::Open { until } = breaker.state_at(now) else { panic!("not open") };
        actual.push(until.since(now).as_secs());
        now = until + Duration::from_millis(1);
        breaker.on_attempt(now);
        now = now + Duration::from_millis(1);
    }
    assert_eq!(vec![1, 2, 4, 8, 16, 30, 30], actual);
}
