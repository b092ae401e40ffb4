use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn instances(count: usize) -> Vec<Instance> {
    (0..count).map(|index| Instance::try_from(format!("front-{index}")).unwrap()).collect()
}

/// The places of all daemons, each of which hears the others that `silence` gives, for so long.
fn positions(
    all: &[Instance],
    silence: impl Fn(usize, usize) -> Duration,
) -> Vec<Option<Position>> {
    let place = |own: usize| {
        let others: Vec<_> = (0..all.len())
            .filter(|other| *other != own)
            .map(|other| (&all[other], silence(own, other)))
            .collect();
        Position::among(&all[own], &others, secs(2), 7)
    };
    (0..all.len()).map(place).collect()
}

fn parts(positions: &[Option<Position>], rate: f64) -> f64 {
    positions.iter().flatten().map(|position| position.part(rate)).sum()
}

#[test]
fn daemons_that_hear_each_other_divide_the_whole_rate() {
    for count in [1, 6, 58, 400] {
        let positions = positions(&instances(count), |_, _| secs(1));
        for rate in [0.2, 1.0, 1.1, 2.6, 57.0, 500.0] {
            let sum = parts(&positions, rate);
            assert!((sum - rate).abs() < 1e-6, "{count} daemons, {rate} per second: {sum}");
        }
    }
}

#[test]
fn the_parts_of_dead_daemons_go_to_the_others() {
    let all = instances(58);
    let dead = |index: usize| index < 20;
    let alive: Vec<_> = positions(&all, |_, other| if dead(other) { secs(9) } else { secs(1) });
    assert!((parts(&alive[20..], 50.0) - 50.0).abs() < 1e-6);
}

#[test]
fn sides_that_are_cut_off_from_each_other_never_spend_more_than_the_rate() {
    for (count, cut) in [(6, 3), (6, 2), (58, 29), (58, 1), (58, 20), (7, 3)] {
        let all = instances(count);
        for silence in [1, 3, 5, 7, 9, 20] {
            let apart = |a: usize, b: usize| (a < cut) != (b < cut);
            let places = positions(&all, |a, b| secs(if apart(a, b) { silence } else { 1 }));
            let sum = parts(&places, 20.0);
            assert!(sum <= 20.0 + 1e-6, "{cut} of {count} cut off for {silence} s: {sum}");
            assert!(sum > 0.0, "{cut} of {count} cut off for {silence} s");
        }
    }
}

#[test]
fn a_unit_can_be_spent_once_and_again_only_after_a_refill() {
    let alone = Some(Position { rank: 0, daemons: 1 });
    let mut share = RateShare::new(at(0), 0.5);
    assert!(!share.take(at(100)));
    for millis in (200..2_400).step_by(200) {
        share.set(at(millis), 0.5, alone);
    }
    assert!(share.take(at(2_250)));
    assert!(!share.take(at(2_300)));
    assert_eq!(share.wait(at(2_300)).as_secs(), 1);
    share.give_back();
    assert!(share.take(at(2_300)));
}

#[test]
fn a_suspended_daemon_spends_nothing_before_it_knows_its_place_again() {
    let mut share = RateShare::new(at(0), 5.0);
    share.set(at(0), 5.0, Some(Position { rank: 0, daemons: 1 }));
    assert!(share.is_available(at(900)));
    assert!(!share.is_available(at(1_100)));
    share.set(at(60_000), 5.0, None);
    assert!(!share.is_available(at(60_000)));
    assert_eq!(share.wait(at(60_000)), Duration::from_millis(200));
}
