use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn times(admit: u64, connect: u64, upstream: u64) -> PhaseTimes {
    let millis = Duration::from_millis;
    PhaseTimes { admit: millis(admit), connect: millis(connect), upstream: millis(upstream) }
}

/// Guards against a late call whose time can't be attributed: the phases of all attempts add up to
/// the time until the first byte.
#[test]
fn the_phases_of_all_attempts_add_up_to_the_time_until_the_first_byte() {
    let mut phases = RequestPhases::new(at(100));
    phases.enter(at(103), RequestPhase::Connect);
    phases.enter(at(110), RequestPhase::Admit);
    phases.enter(at(111), RequestPhase::Connect);
    phases.enter(at(113), RequestPhase::Upstream);
    phases.finish(at(163));
    assert_eq!(phases.times(at(900)), times(4, 9, 50));
}

/// Guards against a resumed stream that changes the times of its beginning.
#[test]
fn nothing_is_counted_after_the_first_byte() {
    let mut phases = RequestPhases::new(at(0));
    phases.enter(at(2), RequestPhase::Upstream);
    phases.finish(at(30));
    phases.enter(at(500), RequestPhase::Connect);
    phases.enter(at(600), RequestPhase::Upstream);
    assert_eq!(phases.times(at(800)), times(2, 0, 28));
}

/// Guards against a line without times if the caller disconnects while it waits.
#[test]
fn the_current_phase_counts_until_now() {
    let mut phases = RequestPhases::new(at(0));
    phases.enter(at(2), RequestPhase::Connect);
    assert_eq!(phases.times(at(40)), times(2, 38, 0));
}
