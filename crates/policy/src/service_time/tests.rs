use super::*;

fn measurement(stage: Stage, millis: u64) -> Measurement {
    Measurement { stage, duration: Duration::from_millis(millis), latency: LatencyOutcome::Met }
}

#[test]
fn expected_time_follows_the_measurements() {
    let work = GenerationWork { prefill: Duration::from_millis(100), tokens: 100 };
    let mut service_time = ServiceTime::new(Duration::from_millis(20));
    assert_eq!(2_100, service_time.fastest(work).as_millis());
    assert_eq!(2_415, service_time.expected(work).as_millis());
    for _ in 0..100 {
        service_time.on_measurement(&measurement(Stage::First, 1_000));
        service_time.on_measurement(&measurement(Stage::Interval, 40));
    }
    assert_eq!(2_100, service_time.fastest(work).as_millis());
    assert_eq!(5_750, service_time.expected(work).as_millis());
}

#[test]
fn fastest_time_is_at_most_the_measured_time() {
    let work = GenerationWork { prefill: Duration::ZERO, tokens: 1_000 };
    let mut service_time = ServiceTime::new(Duration::from_millis(20));
    for _ in 0..100 {
        service_time.on_measurement(&measurement(Stage::Interval, 10));
    }
    assert!(service_time.fastest(work) < Duration::from_millis(10_010));
}

#[test]
fn durations_out_of_range_are_saturated() {
    let service_time = ServiceTime::new(Duration::MAX);
    let work = GenerationWork { prefill: Duration::MAX, tokens: u32::MAX };
    assert_eq!(Duration::MAX, service_time.expected(work));
}
