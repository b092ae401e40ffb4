use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

/// The capacity after `secs` seconds of a load of 200 responses per second, of which a fraction is
/// late, with `per_engine` tokens per second at each of 10 engines.
fn capacity_after(
    capacity: &mut EngineCapacity,
    (from_s, secs): (u64, u64),
    per_engine: f64,
    late_share: f64,
) -> f64 {
    let mut responses = capacity.samples.back().map(|last| last.responses).unwrap_or_default();
    for step in 0..secs * 4 {
        let late = (50.0 * late_share) as u64;
        responses = responses.plus(ResponseCounts { all: 50, late });
        capacity.on_load(at(from_s * 1_000 + step * 250), per_engine * 10.0, 10, responses);
    }
    capacity.tokens_per_s()
}

/// Guards against orders by the figure of slower engines: two customers had twice as many engines as
/// their load needed.
#[test]
fn load_that_is_served_in_time_raises_the_capacity_beyond_it() {
    let mut capacity = EngineCapacity::default();
    let learnt = capacity_after(&mut capacity, (0, 30), 40_000.0, 0.0);
    assert_eq!(learnt, 50_000.0);
}

#[test]
fn a_light_load_teaches_nothing() {
    let mut capacity = EngineCapacity::default();
    assert_eq!(capacity_after(&mut capacity, (0, 30), 15_000.0, 0.0), TOKENS_PER_ENGINE);
}

#[test]
fn late_responses_lower_the_capacity_to_the_prior_within_seconds() {
    let mut capacity = EngineCapacity::default();
    capacity_after(&mut capacity, (0, 30), 40_000.0, 0.0);
    assert_eq!(capacity_after(&mut capacity, (30, 8), 45_000.0, 0.2), TOKENS_PER_ENGINE);
}

/// A load that is only just served in time must not raise the capacity any further.
#[test]
fn a_load_with_some_late_responses_changes_nothing() {
    let mut capacity = EngineCapacity::default();
    capacity_after(&mut capacity, (0, 30), 40_000.0, 0.0);
    // The window holds responses in time of the lighter load for its first 4 s.
    let learnt = capacity_after(&mut capacity, (30, 5), 49_000.0, 0.04);
    assert_eq!(capacity_after(&mut capacity, (35, 20), 49_000.0, 0.04), learnt);
}

#[test]
fn false_reports_are_bounded() {
    bolero::check!().with_type::<Vec<(f64, u32, u64, u64)>>().for_each(|reports| {
        let mut capacity = EngineCapacity::default();
        for (step, (rate, engines, all, late)) in reports.iter().enumerate() {
            let responses = ResponseCounts { all: *all, late: *late };
            let engines = engines % 100_000;
            capacity.on_load(at(step as u64 * 250), *rate, engines, responses);
            let learnt = capacity.tokens_per_s();
            assert!((TOKENS_PER_ENGINE..=4.0 * TOKENS_PER_ENGINE).contains(&learnt), "{learnt}");
        }
    });
}
