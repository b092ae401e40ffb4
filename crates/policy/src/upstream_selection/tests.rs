use super::*;
use slotmap::SlotMap;
use spindle_types::MonotonicInstant;
use std::collections::BTreeSet;

const PATIENCE: Duration = Duration::from_secs(2);

/// Engines whose queues take so many milliseconds.
fn engines(queued_prefill_ms: &[f64]) -> Vec<Candidate> {
    let mut keys = SlotMap::<UpstreamKey, ()>::with_key();
    let one = |(identity, queued_prefill_ms): (usize, &f64)| Candidate {
        key: keys.insert(()),
        identity: identity as u64,
        requests: 0,
        queued_prefill_ms: *queued_prefill_ms,
        slowdown: 1.0,
        slots: 10,
        gate: BreakerState::Closed,
        is_local: true,
        sent_prefix: false,
        tried: false,
    };
    queued_prefill_ms.iter().enumerate().map(one).collect()
}

fn prompt(prefix_id: u64) -> Prompt {
    Prompt { tokens: 6_000, shared_tokens: 5_000, prefix_id: Some(prefix_id) }
}

fn chosen(choice: Choice) -> Option<UpstreamKey> {
    match choice {
        Choice::Upstream(key, _) => Some(key),
        _ => None,
    }
}

#[test]
fn requests_about_one_subject_go_to_one_engine_and_subjects_are_spread() {
    let even = engines(&[50.0, 50.0, 50.0, 50.0]);
    let homes: BTreeSet<_> = (0..50)
        .map(|prefix_id| chosen(choose(&even, Some(&prompt(prefix_id)), PATIENCE)))
        .collect();
    assert_eq!(homes.len(), 4);
}

#[test]
fn a_subject_leaves_its_engine_only_for_a_much_shorter_queue() {
    for prefix_id in 0..50 {
        let even = engines(&[0.0; 4]);
        let home = chosen(choose(&even, Some(&prompt(prefix_id)), PATIENCE));
        let place = even.iter().position(|found| Some(found.key) == home).unwrap();
        let with_queue = |millis| {
            let mut found = even.clone();
            found[place].queued_prefill_ms = millis;
            chosen(choose(&found, Some(&prompt(prefix_id)), PATIENCE))
        };
        assert_eq!(with_queue(150.0), home);
        assert_ne!(with_queue(400.0), home);
    }
}

#[test]
fn a_short_prompt_goes_where_no_long_one_waits() {
    let short = Prompt { tokens: 600, shared_tokens: 200, prefix_id: Some(1) };
    let found = engines(&[900.0, 300.0, 5.0]);
    assert_eq!(chosen(choose(&found, Some(&short), PATIENCE)), Some(found[2].key));
}

#[test]
fn a_slow_upstream_gets_less() {
    let mut found = engines(&[0.0, 0.0]);
    found[0].slowdown = 4.0;
    assert_eq!(chosen(choose(&found, None, PATIENCE)), Some(found[1].key));
    found[1].requests = 40;
    found[1].slots = 100;
    assert_eq!(chosen(choose(&found, None, PATIENCE)), Some(found[1].key));
}

#[test]
fn open_breakers_are_left_out_unless_all_are_open() {
    let mut found = engines(&[0.0, 500.0]);
    let until = MonotonicInstant::from_millis(9);
    found[0].gate = BreakerState::Open { until };
    assert_eq!(chosen(choose(&found, None, PATIENCE)), Some(found[1].key));
    found[1].gate = BreakerState::Open { until };
    found[1].requests = 5;
    assert_eq!(chosen(choose(&found, None, PATIENCE)), Some(found[0].key));
}

#[test]
fn nothing_is_chosen_twice_for_one_request() {
    let mut found = engines(&[0.0, 500.0]);
    found[0].tried = true;
    assert_eq!(chosen(choose(&found, Some(&prompt(3)), PATIENCE)), Some(found[1].key));
    found[1].tried = true;
    assert_eq!(choose(&found, Some(&prompt(3)), PATIENCE), Choice::None);
}

#[test]
fn what_can_not_be_served_in_time_is_told_at_once_with_the_time_until_it_can() {
    let found = engines(&[4_000.0, 3_500.0]);
    match choose(&found, Some(&prompt(3)), PATIENCE) {
        Choice::Overloaded(after) => {
            assert!(after > Duration::from_millis(1_400), "{after:?}");
            assert!(after < Duration::from_millis(2_200), "{after:?}");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_prompt_that_delays_its_neighbours_goes_where_few_are() {
    let huge = Prompt { tokens: 50_000, shared_tokens: 0, prefix_id: None };
    let mut found = engines(&[0.0, 200.0]);
    found[0].requests = 9;
    found[1].requests = 1;
    assert_eq!(chosen(choose(&found, Some(&huge), Duration::from_secs(9))), Some(found[1].key));
    let small = Prompt { tokens: 500, ..huge };
    assert_eq!(chosen(choose(&found, Some(&small), PATIENCE)), Some(found[0].key));
}
