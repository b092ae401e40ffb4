use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn holder(address: u32, version: u64, is_local: bool) -> Holder<u32> {
    Holder { address, version, is_local }
}

#[test]
fn daemons_of_the_own_data_centre_are_preferred_unless_they_failed() {
    let mut generator = ChaCha8Rng::seed_from_u64(1);
    let mut fetches = Fetches::default();
    let holders = [holder(1, 5, false), holder(2, 5, true), holder(3, 5, false)];
    assert_eq!(fetches.begin(at(0), &holders, &mut generator), Some(2));
    let second = fetches.begin(at(0), &holders, &mut generator).unwrap();
    assert_ne!(second, 2);
    fetches.on_ended(at(10), 2, false);
    let third = fetches.begin(at(20), &holders, &mut generator).unwrap();
    assert!(third != 2 && third != second);
    fetches.on_ended(at(30), third, true);
    assert_eq!(fetches.begin(at(1_500), &holders, &mut generator), Some(2));
}

#[test]
fn a_daemon_that_failed_is_asked_again_if_there_is_no_other() {
    let mut generator = ChaCha8Rng::seed_from_u64(1);
    let mut fetches = Fetches::default();
    let holders = [holder(1, 5, true)];
    assert_eq!(fetches.begin(at(0), &holders, &mut generator), Some(1));
    assert_eq!(fetches.begin(at(0), &holders, &mut generator), None);
    fetches.on_ended(at(10), 1, false);
    assert_eq!(fetches.begin(at(20), &holders, &mut generator), Some(1));
    assert_eq!(fetches.begin(at(20), &[], &mut generator), None);
}

#[test]
fn newer_versions_are_preferred_without_asking_one_daemon_only() {
    let mut generator = ChaCha8Rng::seed_from_u64(1);
    let holders: Vec<_> =
        (0..10).map(|index| holder(index, 5 + u64::from(index == 0), true)).collect();
    let mut newest = 0;
    for _ in 0..1_000 {
        let mut fetches = Fetches::default();
        newest += u32::from(fetches.begin(at(0), &holders, &mut generator) == Some(0));
    }
    assert!((150..250).contains(&newest), "{newest}");
}

#[test]
fn few_daemons_are_told_each_once() {
    let mut generator = ChaCha8Rng::seed_from_u64(1);
    for count in [0, 1, 2, 400] {
        let mut told = select_told((0..count).collect(), &mut generator);
        told.sort_unstable();
        told.dedup();
        assert_eq!(told.len(), TOLD_DAEMONS.min(count));
    }
}
