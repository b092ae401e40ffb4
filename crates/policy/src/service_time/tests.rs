use super::*;

fn measured(stage: Stage, millis: u64) -> Measurement {
    Measurement { stage, duration: Duration::from_millis(millis), latency: LatencyOutcome::Met }
}

#[test]
fn expectation_follows_what_was_measured() {
    let length = GenerationWork { prefill: Duration::from_millis(100), tokens: 100 };
    let mut pace = ServiceTime::new(Duration::from_millis(20));
    assert_eq!(2_100, pace.fastest(length).as_millis());
    assert_eq!(2_415, pace.expected(length).as_millis());
    for _ in 0..100 {
        pace.on_measurement(&measured(Stage::First, 1_000));
        pace.on_measurement(&measured(Stage::Interval, 40));
    }
    assert_eq!(2_100, pace.fastest(length).as_millis());
    assert_eq!(5_750, pace.expected(length).as_millis());
}

#[test]
fn fastest_is_never_slower_than_what_was_measured() {
    let length = GenerationWork { prefill: Duration::ZERO, tokens: 1_000 };
    let mut pace = ServiceTime::new(Duration::from_millis(20));
    for _ in 0..100 {
        pace.on_measurement(&measured(Stage::Interval, 10));
    }
    assert!(pace.fastest(length) < Duration::from_millis(10_010));
}

#[test]
fn lengths_beyond_every_clock_are_held() {
    let pace = ServiceTime::new(Duration::MAX);
    let length = GenerationWork { prefill: Duration::MAX, tokens: u32::MAX };
    assert_eq!(Duration::MAX, pace.expected(length));
}
