use super::*;

#[test]
fn first_era_is_no_restore() {
    let mut era = StoreEra::default();
    assert_eq!(era.on_answer(Some(4)), EraChange::Unchanged);
    assert_eq!(era.known(), Some(4));
}

#[test]
fn answer_without_an_era_changes_nothing() {
    let mut era = StoreEra::default();
    assert_eq!(era.on_answer(None), EraChange::Unchanged);
    era.on_answer(Some(1));
    assert_eq!(era.on_answer(None), EraChange::Unchanged);
    assert_eq!(era.known(), Some(1));
}

#[test]
fn each_restore_is_noticed_once_and_late_answers_are_outdated() {
    let mut era = StoreEra::default();
    era.on_answer(Some(1));
    assert_eq!(era.on_answer(Some(3)), EraChange::Restored { was: 1 });
    assert_eq!(era.on_answer(Some(1)), EraChange::Outdated);
    assert_eq!(era.on_answer(Some(2)), EraChange::Outdated);
    assert_eq!(era.on_answer(Some(3)), EraChange::Unchanged);
}

/// In any order of answers, as many restores are noticed as there are new highest eras.
#[test]
fn known_era_is_the_highest_answered() {
    bolero::check!().with_type::<Vec<Option<u64>>>().for_each(|answers| {
        let (mut era, mut highest) = (StoreEra::default(), None);
        for answer in answers {
            let change = era.on_answer(*answer);
            let is_restore = matches!(change, EraChange::Restored { .. });
            assert_eq!(is_restore, highest.is_some() && *answer > highest);
            highest = highest.max(*answer);
            assert_eq!(era.known(), highest);
        }
    });
}
