use super::*;

#[test]
fn checkpoint_is_repeated_after_a_quarter_of_the_retention() {
    let at = |secs: u64| MonotonicInstant::from_millis(secs * 1_000);
    let retention = Duration::from_secs(400);
    let actual = [(None, 0, 0), (Some(0), 0, 99), (Some(0), 0, 100), (Some(0), 1_000, 1)]
        .map(|(newest, records, now)| checkpoint_due(at(now), newest.map(at), records, retention));
    assert_eq!(
        [CheckpointDue::Now, CheckpointDue::At(at(100)), CheckpointDue::Now, CheckpointDue::Now],
        actual
    );
}
