use super::*;
use slotmap::SlotMap;
use spindle_types::MonotonicInstant;
use std::collections::BTreeSet;

const PATIENCE: Duration = Duration::from_secs(2);

/// Idle engines with the given queued prefill times, in milliseconds.
pub(super) fn engines(queued_prefill_ms: &[f64]) -> Vec<Candidate> {
    let mut keys = SlotMap::<UpstreamKey, ()>::with_key();
    let one = |(identity, queued_prefill_ms): (usize, &f64)| Candidate {
        key: keys.insert(()),
        identity: identity as u64,
        requests: 0,
        own_requests: 0,
        peer_requests: 0,
        report: None,
        queued_prefill_ms: *queued_prefill_ms,
        slowdown: 1.0,
        slots: 10,
        is_full: false,
        breaker: BreakerState::Closed,
        limit: LimitState::Unlimited,
        is_local: true,
        sent_prefix: false,
        tried: false,
    };
    queued_prefill_ms.iter().enumerate().map(one).collect()
}

fn prompt(prefix_id: u64) -> Prompt {
    Prompt { tokens: 6_000, shared_tokens: 5_000, prefix_id: Some(prefix_id) }
}

fn plain_call() -> Criteria<'static> {
    Criteria {
        prompt: None,
        max_wait: PATIENCE,
        load_limit: LOAD_LIMIT_MAX,
        has_ranks: false,
        draw: 0.5,
    }
}

fn stream(prompt: &Prompt) -> Criteria<'_> {
    Criteria { prompt: Some(prompt), ..plain_call() }
}

/// A stream without a shared prefix, whose rank limits the load of engines.
pub(super) fn ranked_stream(load_limit: f64) -> Criteria<'static> {
    const PROMPT: Prompt = Prompt { tokens: 600, shared_tokens: 0, prefix_id: None };
    Criteria { load_limit, has_ranks: true, ..stream(&PROMPT) }
}

fn chosen(choice: Choice) -> Option<UpstreamKey> {
    match choice {
        Choice::Upstream(key, _) => Some(key),
        _ => None,
    }
}

#[test]
fn requests_with_one_prefix_go_to_one_engine_and_prefixes_are_spread() {
    let even = engines(&[50.0, 50.0, 50.0, 50.0]);
    let chosen_upstreams: BTreeSet<_> =
        (0..50).map(|prefix_id| chosen(choose(&even, &stream(&prompt(prefix_id))))).collect();
    assert_eq!(chosen_upstreams.len(), 4);
}

#[test]
fn a_prefix_leaves_its_engine_only_for_a_much_shorter_queue() {
    for prefix_id in 0..50 {
        let even = engines(&[0.0; 4]);
        let preferred = chosen(choose(&even, &stream(&prompt(prefix_id))));
        let index = even.iter().position(|candidate| Some(candidate.key) == preferred).unwrap();
        let with_queue = |millis| {
            let mut candidates = even.clone();
            candidates[index].queued_prefill_ms = millis;
            chosen(choose(&candidates, &stream(&prompt(prefix_id))))
        };
        assert_eq!(with_queue(150.0), preferred);
        assert_ne!(with_queue(400.0), preferred);
    }
}

#[test]
fn a_short_prompt_goes_to_the_engine_with_the_shortest_queue() {
    let short = Prompt { tokens: 600, shared_tokens: 200, prefix_id: Some(1) };
    let candidates = engines(&[900.0, 300.0, 5.0]);
    assert_eq!(chosen(choose(&candidates, &stream(&short))), Some(candidates[2].key));
}

/// How many of 1,000 evenly spaced draws each candidate gets.
fn drawn(candidates: &[Candidate]) -> Vec<u32> {
    let draws = (0..1_000).map(|step| f64::from(step) / 1_000.0);
    let keys: Vec<_> =
        draws.map(|draw| chosen(choose(candidates, &Criteria { draw, ..plain_call() }))).collect();
    let count = |candidate: &Candidate| {
        keys.iter().filter(|key| **key == Some(candidate.key)).count() as u32
    };
    candidates.iter().map(count).collect()
}

#[test]
fn a_slow_upstream_gets_fewer_requests() {
    let mut candidates = engines(&[0.0, 0.0]);
    candidates[0].slowdown = 4.0;
    assert!(drawn(&candidates)[1] > 990);
    (candidates[1].requests, candidates[1].own_requests) = (40, 40);
    candidates[1].slots = 100;
    assert!(drawn(&candidates)[1] > 990);
}

#[test]
fn upstreams_with_open_breakers_are_excluded_unless_all_are_open() {
    let mut candidates = engines(&[0.0, 500.0]);
    let until = MonotonicInstant::from_millis(9);
    candidates[0].breaker = BreakerState::Open { until };
    assert_eq!(drawn(&candidates), [0, 1_000]);
    candidates[1].breaker = BreakerState::Open { until };
    (candidates[1].requests, candidates[1].own_requests) = (5, 5);
    let counts = drawn(&candidates);
    assert!(counts[0] > 900 && counts[0] + counts[1] == 1_000, "{counts:?}");
}

#[test]
fn no_upstream_is_chosen_twice_for_one_request() {
    let mut candidates = engines(&[0.0, 500.0]);
    candidates[0].tried = true;
    assert_eq!(chosen(choose(&candidates, &stream(&prompt(3)))), Some(candidates[1].key));
    candidates[1].tried = true;
    assert_eq!(choose(&candidates, &stream(&prompt(3))), Choice::None);
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_rejected_with_the_delay_until_it_can() {
    let candidates = engines(&[4_000.0, 3_500.0]);
    match choose(&candidates, &stream(&prompt(3))) {
        Choice::Overloaded(after) => {
            assert!(after > Duration::from_millis(1_400), "{after:?}");
            assert!(after < Duration::from_millis(2_200), "{after:?}");
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against requests that are refused since the engine of their prefix is full, while another one is not.
#[test]
fn a_request_is_refused_for_the_load_only_while_all_upstreams_are_at_the_limit() {
    let mut candidates = engines(&[0.0, 500.0]);
    candidates[0].requests = 20;
    let prompt = Prompt { prefix_id: None, ..prompt(3) };
    assert_eq!(chosen(choose(&candidates, &stream(&prompt))), Some(candidates[1].key));
    candidates[1].requests = 20;
    assert!(matches!(choose(&candidates, &stream(&prompt)), Choice::Overloaded(_)));
}

#[test]
fn a_prompt_that_delays_running_streams_goes_where_few_run() {
    let huge = Prompt { tokens: 50_000, shared_tokens: 0, prefix_id: None };
    let mut candidates = engines(&[0.0, 200.0]);
    candidates[0].requests = 9;
    candidates[1].requests = 1;
    assert_eq!(
        chosen(choose(
            &candidates,
            &Criteria { max_wait: Duration::from_secs(9), ..stream(&huge) }
        )),
        Some(candidates[1].key)
    );
    let small = Prompt { tokens: 500, ..huge };
    assert_eq!(chosen(choose(&candidates, &stream(&small))), Some(candidates[0].key));
}

#[test]
fn an_upstream_whose_limit_is_used_up_gets_nothing_and_the_others_take_the_rest() {
    let mut candidates = engines(&[0.0, 500.0]);
    candidates[0].limit = LimitState::Exhausted(Duration::from_secs(3));
    assert_eq!(drawn(&candidates), [0, 1_000]);
    candidates[1].limit = LimitState::Exhausted(Duration::from_secs(2));
    let choice = choose(&candidates, &plain_call());
    assert_eq!(choice, Choice::Limited(Duration::from_secs(2)));
}

#[test]
fn a_limited_upstream_is_used_but_has_no_prefix_of_its_own() {
    for prefix_id in 0..50 {
        let mut candidates = engines(&[0.0; 3]);
        candidates[0].limit = LimitState::Permitted { probe: false };
        let preferred = chosen(choose(&candidates, &stream(&prompt(prefix_id))));
        assert_ne!(preferred, Some(candidates[0].key));
    }
    let mut candidates = engines(&[0.0, 900.0, 900.0]);
    candidates[0].limit = LimitState::Permitted { probe: false };
    let choice = choose(&candidates, &stream(&prompt(1)));
    assert_eq!(chosen(choice), Some(candidates[0].key));
}

#[test]
fn an_upstream_whose_limit_may_have_ended_is_asked_first() {
    let mut candidates = engines(&[0.0, 900.0]);
    candidates[1].limit = LimitState::Permitted { probe: true };
    let choice = choose(&candidates, &stream(&prompt(1)));
    assert_eq!(chosen(choice), Some(candidates[1].key));
}

#[test]
fn an_upstream_that_fails_is_not_asked_for_its_limit() {
    let mut candidates = engines(&[0.0, 900.0]);
    candidates[0].limit = LimitState::Permitted { probe: true };
    candidates[0].breaker = BreakerState::Open { until: MonotonicInstant::from_millis(1_000) };
    assert_eq!(drawn(&candidates), [0, 1_000]);
}

/// Guards against requests of a lower rank that wait in the queue of an engine, which more urgent ones
/// then find full, and against their refusal while an engine has free slots.
#[test]
fn a_request_below_the_first_rank_is_refused_for_its_rank_while_all_engines_are_at_its_limit() {
    let mut candidates = engines(&[0.0, 500.0]);
    candidates[0].requests = 10;
    candidates[1].requests = 9;
    let prompt = Prompt { prefix_id: None, ..prompt(3) };
    let ranked = |load_limit| Criteria { load_limit, has_ranks: true, ..stream(&prompt) };
    assert_eq!(chosen(choose(&candidates, &ranked(1.0))), Some(candidates[1].key));
    candidates[1].requests = 15;
    // One request has to end at the first engine, and six at the second one.
    assert_eq!(choose(&candidates, &ranked(1.0)), Choice::RankLimited(3.5));
    assert!(chosen(choose(&candidates, &ranked(1.5))).is_some());
}

/// Guards against requests that are sent to an engine that has just refused one, and against a change
/// for services without ranks.
#[test]
fn an_engine_that_has_refused_a_request_as_full_counts_as_full_for_services_with_ranks() {
    let mut candidates = engines(&[0.0, 500.0]);
    candidates[0].is_full = true;
    let prompt = Prompt { prefix_id: None, ..prompt(3) };
    let select = |candidates: &[Candidate], has_ranks| {
        choose(candidates, &Criteria { has_ranks, ..stream(&prompt) })
    };
    assert_eq!(chosen(select(&candidates, true)), Some(candidates[1].key));
    assert_eq!(chosen(select(&candidates, false)), Some(candidates[0].key));
    candidates[1].is_full = true;
    assert!(matches!(select(&candidates, true), Choice::Overloaded(_)));
}

/// Guards against a delay of minutes after an upstream has reported an impossible load.
#[test]
fn a_reported_load_bounds_the_excess() {
    let mut candidates = engines(&[0.0]);
    candidates[0].requests = u32::MAX;
    let prompt = prompt(3);
    let criteria = Criteria { load_limit: 1.0, has_ranks: true, ..stream(&prompt) };
    assert_eq!(choose(&candidates, &criteria), Choice::RankLimited(31.0));
}
