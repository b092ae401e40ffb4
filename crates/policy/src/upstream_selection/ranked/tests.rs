use super::super::plain::UpstreamReport;
use super::super::tests::{engines, ranked_stream};
use super::super::{Choice, choose};
use super::*;

fn reported(requests: u32, age_ms: u64) -> Option<UpstreamReport> {
    let age = Duration::from_millis(age_ms);
    let waiting = requests.saturating_sub(10);
    Some(UpstreamReport { age, requests, waiting, slots: Some(10), pace: None })
}

/// Engines with a request of another daemon each.
fn with_peers(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    candidates.iter_mut().for_each(|candidate| candidate.peer_requests = 1);
    candidates
}

/// Whether each of the engines gets any of evenly spaced draws.
fn chosen(candidates: &[Candidate], load_limit: f64) -> Vec<bool> {
    let draws = (0..200).map(|step| f64::from(step) / 200.0);
    let choices: Vec<_> = draws
        .map(|draw| choose(candidates, &Criteria { draw, ..ranked_stream(load_limit) }))
        .collect();
    let is_chosen = |candidate: &Candidate| {
        let is_key =
            |choice: &Choice| matches!(choice, Choice::Upstream(key, _) if *key == candidate.key);
        choices.iter().any(is_key)
    };
    candidates.iter().map(is_chosen).collect()
}

/// Guards against daemons with the same old statuses that all send to the engine that looks best.
#[test]
fn engines_below_the_limit_are_drawn_whatever_their_stale_loads() {
    let mut candidates = engines(&[0.0; 4]);
    (candidates[0].requests, candidates[0].peer_requests) = (8, 8);
    (candidates[1].requests, candidates[1].peer_requests) = (4, 4);
    (candidates[2].requests, candidates[2].peer_requests) = (12, 12);
    assert_eq!(chosen(&candidates, 1.0), [true, true, false, true]);
    assert_eq!(chosen(&candidates, 2.0), [true; 4]);
}

/// Guards against requests of the last rank that fill the queues of engines of which nothing is known,
/// while those that have reported are busy, and against the first rank being refused for that.
#[test]
fn busy_engines_are_a_sign_for_those_without_a_report() {
    let mut candidates = with_peers(engines(&[0.0; 5]));
    candidates[0].report = reported(16, 400);
    candidates[1].report = reported(15, 100);
    candidates[1].requests = 15;
    assert_eq!(chosen(&candidates, 1.0), [false; 5]);
    assert_eq!(chosen(&candidates, 2.0), [true; 5]);
    // An engine that has just reported free slots is used.
    candidates[2].report = reported(5, 100);
    candidates[3].report = reported(19, 300);
    assert_eq!(chosen(&candidates, 1.0), [false, false, true, false, false]);
}

/// Guards against one upstream that has requests refused by reporting a false load or by refusing all.
#[test]
fn one_busy_engine_is_no_sign_for_the_others() {
    for report in [reported(u32::MAX, 100), reported(40, 400)] {
        let mut candidates = with_peers(engines(&[0.0; 4]));
        candidates[0].report = report;
        candidates[1].report = reported(9, 100);
        candidates[0].is_full = true;
        assert_eq!(chosen(&candidates, 1.0), [false, true, true, true], "{report:?}");
        candidates[1].report = None;
        assert_eq!(chosen(&candidates, 1.0), [false, true, true, true], "{report:?}");
    }
}

/// Guards against a request that is refused since the drawn engine is slow, while another one would serve it
/// in time.
#[test]
fn a_drawn_engine_that_is_too_slow_is_replaced() {
    let mut candidates = with_peers(engines(&[0.0, 9_000.0, 9_000.0, 9_000.0]));
    assert_eq!(chosen(&candidates, 1.0), [true, false, false, false]);
    candidates[0].tried = true;
    assert!(matches!(choose(&candidates, &ranked_stream(1.0)), Choice::Overloaded(_)));
}

/// Guards against draws at the ends of the range that choose no engine.
#[test]
fn any_draw_selects_an_engine() {
    let candidates = with_peers(engines(&[0.0; 3]));
    for draw in [0.0, 0.999_999, 1.0, 2.0, -1.0, f64::NAN, f64::INFINITY] {
        let criteria = Criteria { draw, ..ranked_stream(1.0) };
        assert!(matches!(choose(&candidates, &criteria), Choice::Upstream(..)), "{draw}");
    }
}

/// Guards against a single daemon that draws an engine although it knows which one is the best.
#[test]
fn a_daemon_that_sends_most_requests_itself_chooses_the_best_engine() {
    let mut candidates = engines(&[0.0; 3]);
    for (candidate, own) in candidates.iter_mut().zip([5, 2, 4]) {
        (candidate.requests, candidate.own_requests) = (own, own);
    }
    assert_eq!(chosen(&candidates, 1.0), [false, true, false]);
}
