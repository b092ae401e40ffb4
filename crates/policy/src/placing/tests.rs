use super::*;
use slotmap::SlotMap;
use spindle_types::MonotonicInstant;
use std::collections::BTreeSet;

fn candidates(loads: &[u32]) -> Vec<Candidate> {
    let mut keys = SlotMap::<UpstreamKey, ()>::with_key();
    let one = |(identity, requests): (usize, &u32)| Candidate {
        key: keys.insert(()),
        identity: identity as u64,
        requests: *requests,
        slots: 10,
        gate: Gate::Closed,
        near: false,
        tried: false,
    };
    loads.iter().enumerate().map(one).collect()
}

#[test]
fn requests_about_one_subject_go_to_one_upstream_while_loads_are_even() {
    let even = candidates(&[4, 4, 4, 4]);
    for subject in 0..50 {
        let chosen: BTreeSet<_> =
            (0..5).map(|_| format!("{:?}", choose(&even, Some(subject)))).collect();
        assert_eq!(chosen.len(), 1);
    }
}

#[test]
fn an_upstream_far_over_the_mean_gets_nothing_more() {
    let uneven = candidates(&[9, 1, 1, 1]);
    for subject in 0..50 {
        assert_ne!(choose(&uneven, Some(subject)), Choice::Upstream(uneven[0].key));
    }
}

#[test]
fn open_breakers_are_left_out_unless_all_are_open() {
    let mut found = candidates(&[0, 5]);
    let until = MonotonicInstant::from_millis(9);
    found[0].gate = Gate::Open { until };
    assert_eq!(choose(&found, None), Choice::Upstream(found[1].key));
    found[1].gate = Gate::Open { until };
    assert_eq!(choose(&found, None), Choice::Upstream(found[0].key));
}

#[test]
fn nothing_is_chosen_twice_for_one_request() {
    let mut found = candidates(&[0, 5]);
    found[0].tried = true;
    assert_eq!(choose(&found, Some(3)), Choice::Upstream(found[1].key));
    found[1].tried = true;
    assert_eq!(choose(&found, Some(3)), Choice::None);
}

#[test]
fn overload_is_told_before_a_request_waits() {
    assert_eq!(choose(&candidates(&[25, 20]), None), Choice::Overloaded);
}
