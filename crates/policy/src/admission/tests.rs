use super::*;
use crate::limit::LatencyOutcome;
use crate::service_time::Stage;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn pool() -> Pool {
    Pool::try_from("p").unwrap()
}

fn team(name: &str) -> Team {
    Team::try_from(name).unwrap()
}

fn request(name: &str, priority: Priority) -> AdmissionRequest {
    AdmissionRequest {
        team: team(name),
        pool: pool(),
        priority,
        cost: 1.0,
        bytes: 100,
        work: None,
        caller_timeout: None,
    }
}

fn admission(limit: u32) -> Admission {
    let mut admission = Admission::new(AdmissionParams::default());
    admission.on_capacity(&pool(), limit, limit);
    admission
}

fn key(decision: AdmissionDecision) -> TicketKey {
    match decision {
        AdmissionDecision::Runs(key) | AdmissionDecision::Waits(key) => key,
        AdmissionDecision::Refused(refused) => panic!("{refused:?}"),
    }
}

#[test]
fn interactive_requests_go_first_without_starving_batch_requests() {
    let mut admission = admission(1);
    let mut running = key(admission.on_request(at(0), request("a", Priority::Interactive)));
    let mut names = HashMap::new();
    for (priority, label) in [(Priority::Batch, 'b'), (Priority::Interactive, 'i')] {
        for _ in 0..12 {
            names.insert(key(admission.on_request(at(0), request("a", priority))), label);
        }
    }
    let mut actual = String::new();
    for _ in 0..24 {
        admission.on_end(at(0), running);
        let decided = admission.next(at(0));
        let [QueueDecision::Runs(next)] = decided[..] else { panic!("{decided:?}") };
        running = next;
        actual.push(names[&next]);
    }
    assert_eq!("iiiiiiiibiiiibbbbbbbbbbb", actual);
}

#[test]
fn expired_wait_is_refused_on_expiry_and_unreachable_deadline_on_arrival() {
    let mut admission = admission(10);
    let mut running: Vec<_> = (0..10)
        .map(|_| key(admission.on_request(at(0), request("a", Priority::Interactive))))
        .collect();
    for now in [0, 500, 1_000, 1_500] {
        admission.on_end(at(now), running.remove(0));
        let replacement = admission.on_request(at(now), request("a", Priority::Interactive));
        running.push(key(replacement));
    }
    let first = admission.on_request(at(1_500), request("a", Priority::Interactive));
    let second = admission.on_request(at(1_500), request("a", Priority::Interactive));
    let unreachable = admission.on_request(at(1_500), request("a", Priority::Interactive));
    let AdmissionDecision::Refused(refused) = unreachable else { panic!("{unreachable:?}") };
    assert_eq!(RefusalReason::DeadlineUnreachable, refused.reason);
    assert_eq!(Some(at(2_500)), admission.next_expiry());
    assert_eq!(Vec::<QueueDecision>::new(), admission.next(at(2_499)));
    let decided = admission.next(at(2_500));
    let keys: Vec<_> = decided
        .iter()
        .map(|decision| match decision {
            QueueDecision::Refused(key, refused) => {
                assert!(refused.retry_after.is_some_and(|delay| delay >= RETRY_AFTER_MIN));
                *key
            }
            QueueDecision::Runs(_) => panic!("{decision:?}"),
        })
        .collect();
    assert_eq!(vec![key(first), key(second)], keys);
}

#[test]
fn queue_is_bounded_in_requests_per_team_and_in_bytes() {
    let mut admission = admission(1);
    admission.on_request(at(0), request("a", Priority::Batch));
    for _ in 0..256 {
        key(admission.on_request(at(0), request("a", Priority::Batch)));
    }
    let reason = |decision| match decision {
        AdmissionDecision::Refused(refused) => Some(refused.reason),
        AdmissionDecision::Runs(_) | AdmissionDecision::Waits(_) => None,
    };
    let full = admission.on_request(at(0), request("a", Priority::Batch));
    assert_eq!(Some(RefusalReason::QueueFull), reason(full));
    let large = AdmissionRequest { bytes: 32 * 1024 * 1024, ..request("b", Priority::Batch) };
    let large = admission.on_request(at(0), large);
    assert_eq!(Some(RefusalReason::QueueFull), reason(large));
    assert_eq!(None, reason(admission.on_request(at(0), request("b", Priority::Batch))));
}

#[test]
fn quota_is_released_when_a_request_ends_or_its_caller_disconnects() {
    let mut admission = admission(1);
    let spec = TeamSpec { stream_quota: Some(2), ..TeamSpec::default() };
    admission.on_teams(at(0), [(&team("a"), &spec)].into_iter(), 1);
    let running = key(admission.on_request(at(0), request("a", Priority::Interactive)));
    let waiting = key(admission.on_request(at(0), request("a", Priority::Interactive)));
    let refused = admission.on_request(at(0), request("a", Priority::Interactive));
    let retry_after = Some(RETRY_AFTER_MIN);
    let expected = AdmissionRefusal { reason: RefusalReason::QuotaExceeded, retry_after };
    assert_eq!(AdmissionDecision::Refused(expected), refused);
    admission.on_end(at(0), waiting);
    key(admission.on_request(at(0), request("a", Priority::Interactive)));
    admission.on_end(at(0), running);
    assert_eq!(1, admission.next(at(0)).len());
    key(admission.on_request(at(0), request("a", Priority::Interactive)));
    assert_eq!((1, 1), admission.counts(&pool()));
}

/// Simulates a team with little load and a team that floods one daemon for 60 s. The pool runs 40
/// answers of about 4 s at once. Returns the 95th percentile of the wait of each team in
/// milliseconds and the number of refused requests of the flood. Without `separate_teams`, both
/// loads belong to one team.
fn flood(params: AdmissionParams, flood_rate: u64, separate_teams: bool) -> (u64, u64, usize) {
    let mut generator = ChaCha8Rng::seed_from_u64(17);
    let mut admission = Admission::new(params);
    admission.on_capacity(&pool(), 40, 40);
    let mut ends = BinaryHeap::new();
    let mut asked_at = HashMap::new();
    let mut waits: HashMap<&str, Vec<u64>> = HashMap::new();
    let mut refusals = 0;
    for now in 0..60_000_u64 {
        while let Some(Reverse((end, key))) = ends.peek().copied()
            && end <= now
        {
            ends.pop();
            admission.on_end(at(now), key);
        }
        let mut started = Vec::new();
        let quiet = generator.random_range(0..1_000) < 2;
        let floods = generator.random_range(0..1_000) < flood_rate;
        for (name, comes) in [("flood", floods), ("quiet", quiet)] {
            let name = if separate_teams { name } else { "quiet" };
            if !comes {
                continue;
            }
            match admission.on_request(at(now), request(name, Priority::Interactive)) {
                AdmissionDecision::Runs(key) => {
                    waits.entry(name).or_default().push(0);
                    started.push(key);
                }
                AdmissionDecision::Waits(key) => {
                    asked_at.insert(key, (name, now));
                }
                AdmissionDecision::Refused(_) => refusals += usize::from(name == "flood"),
            }
        }
        for decision in admission.next(at(now)) {
            let (key, runs) = match decision {
                QueueDecision::Runs(key) => (key, true),
                QueueDecision::Refused(key, _) => (key, false),
            };
            let Some((name, since)) = asked_at.remove(&key) else { continue };
            waits.entry(name).or_default().push(now - since);
            if runs {
                started.push(key);
            } else {
                refusals += usize::from(name == "flood");
            }
        }
        for key in started {
            ends.push(Reverse((now + generator.random_range(2_000..6_000), key)));
        }
    }
    let p95 = |name: &str| {
        let mut waits = waits.get(name).cloned().unwrap_or_default();
        waits.sort_unstable();
        waits.get(waits.len() * 95 / 100).copied().unwrap_or(0)
    };
    (p95("quiet"), p95("flood"), refusals)
}

#[test]
fn flood_of_one_team_does_not_move_another_team_beyond_its_target() {
    let (quiet, flooded, refusals) = flood(AdmissionParams::default(), 200, true);
    insta::assert_debug_snapshot!((quiet, flooded, refusals));
    assert!(quiet <= 410, "the quiet team waits {quiet} ms at the 95th percentile");
    assert!(flooded > 410, "the flood itself waits {flooded} ms");
    assert!(refusals > 1_000, "{refusals} of the flood's requests are refused");
    let (unfair, _, _) = flood(AdmissionParams::default(), 200, false);
    assert!(unfair > 410, "as one team, both wait {unfair} ms");
}

#[test]
fn any_sequence_respects_the_limit_and_loses_no_request() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut admission = admission(3);
        let (mut running, mut waiting) = (Vec::new(), Vec::new());
        for (step, (kind, pick)) in steps.iter().enumerate() {
            let now = at(step as u64 * 100);
            let pick = usize::from(*pick);
            let priority = if pick % 3 == 0 { Priority::Batch } else { Priority::Interactive };
            match kind % 4 {
                0 | 1 => match admission.on_request(now, request(["a", "b"][pick % 2], priority)) {
                    AdmissionDecision::Runs(key) => running.push(key),
                    AdmissionDecision::Waits(key) => waiting.push(key),
                    AdmissionDecision::Refused(_) => {}
                },
                2 if !running.is_empty() => {
                    admission.on_end(now, running.swap_remove(pick % running.len()));
                }
                3 if !waiting.is_empty() => {
                    admission.on_end(now, waiting.swap_remove(pick % waiting.len()));
                }
                _ => {}
            }
            for decision in admission.next(now) {
                let (key, runs) = match decision {
                    QueueDecision::Runs(key) => (key, true),
                    QueueDecision::Refused(key, _) => (key, false),
                };
                let index = waiting.iter().position(|waits| *waits == key).unwrap();
                waiting.swap_remove(index);
                if runs {
                    running.push(key);
                }
            }
            assert!(running.len() <= 3);
            assert_eq!((running.len() as u32, waiting.len()), admission.counts(&pool()));
            assert_eq!(running.len() + waiting.len(), admission.tickets.len());
        }
    });
}

fn generation(tokens: u32, timeout_ms: u64) -> AdmissionRequest {
    let work = Some(GenerationWork { prefill: Duration::ZERO, tokens });
    let caller_timeout = Some(Duration::from_millis(timeout_ms));
    AdmissionRequest { work, caller_timeout, ..request("a", Priority::Interactive) }
}

fn interval(millis: u64) -> Measurement {
    let duration = Duration::from_millis(millis);
    Measurement { stage: Stage::Interval, duration, latency: LatencyOutcome::Met }
}

#[test]
fn answer_that_no_engine_can_finish_in_time_is_refused_without_a_retry_delay() {
    let mut admission = admission(10);
    let verdict = admission.on_request(at(0), generation(2_000, 8_000));
    let AdmissionDecision::Refused(refused) = verdict else { panic!("{verdict:?}") };
    assert_eq!(RefusalReason::DeadlineUnreachable, refused.reason);
    assert_eq!(None, refused.retry_after);
    key(admission
        .on_request(at(0), AdmissionRequest { caller_timeout: None, ..generation(2_000, 8_000) }));
}

#[test]
fn answer_delayed_only_by_the_current_load_is_refused_with_a_retry_delay() {
    let mut admission = admission(10);
    let running = key(admission.on_request(at(0), generation(100, 8_000)));
    admission.on_measurement(at(0), running, &interval(100));
    let verdict = admission.on_request(at(0), generation(100, 8_000));
    let AdmissionDecision::Refused(refused) = verdict else { panic!("{verdict:?}") };
    assert_eq!(RefusalReason::DeadlineUnreachable, refused.reason);
    assert_eq!(Some(Duration::from_millis(3_500)), refused.retry_after);
}

#[test]
fn queued_request_is_refused_once_it_can_not_finish_before_its_timeout() {
    let mut admission = admission(1);
    let running = key(admission.on_request(at(0), generation(100, 8_000)));
    admission.on_measurement(at(0), running, &interval(10));
    let waiting = key(admission.on_request(at(0), generation(100, 1_750)));
    assert_eq!(Some(at(600)), admission.next_expiry());
    let decided = admission.next(at(600));
    let [QueueDecision::Refused(refused, _)] = decided[..] else { panic!("{decided:?}") };
    assert_eq!(waiting, refused);
}

/// Under 60 s of load at 1.5 times the capacity of ten engines, every admitted request finishes
/// before its caller's timeout.
#[test]
fn requests_admitted_under_overload_finish_before_their_timeouts() {
    const SLOTS: usize = 100;
    const STEP_MS: u64 = 20;
    let mut admission = admission(u32::try_from(SLOTS).unwrap());
    let mut random = ChaCha8Rng::seed_from_u64(12);
    let mut ends: BinaryHeap<Reverse<(MonotonicInstant, TicketKey)>> = BinaryHeap::new();
    let mut open: HashMap<TicketKey, (MonotonicInstant, u64)> = HashMap::new();
    let (mut late, mut finished, mut refused) = (0, 0, 0);
    // A mean answer occupies a slot for 4 s, so the engines can serve 25 answers per second.
    for now in (0..60_000).map(at) {
        while let Some(Reverse((end, key))) = ends.peek().copied().filter(|top| top.0.0 <= now) {
            ends.pop();
            let (arrived, _) = open.remove(&key).unwrap();
            finished += 1;
            late += u32::from(end.since(arrived) > Duration::from_secs(8));
            admission.on_measurement(now, key, &interval(STEP_MS));
            admission.on_end(now, key);
        }
        let mut starts = Vec::new();
        if random.random_bool(0.0375) {
            let tokens = random.random_range(50..350);
            match admission.on_request(now, generation(tokens, 8_000)) {
                AdmissionDecision::Refused(_) => refused += 1,
                AdmissionDecision::Runs(key) => starts.push((key, now, u64::from(tokens))),
                AdmissionDecision::Waits(key) => {
                    open.insert(key, (now, u64::from(tokens)));
                }
            }
        }
        for decision in admission.next(now) {
            match decision {
                QueueDecision::Runs(key) => {
                    let (arrived, tokens) = open[&key];
                    starts.push((key, arrived, tokens));
                }
                QueueDecision::Refused(key, _) => {
                    open.remove(&key);
                    refused += 1;
                }
            }
        }
        for (key, arrived, tokens) in starts {
            open.insert(key, (arrived, tokens));
            ends.push(Reverse((now + Duration::from_millis(tokens * STEP_MS), key)));
        }
    }
    assert_eq!(0, late);
    assert!(refused > 0);
    // 90% of what the engines can serve in that time.
    assert!(finished > 25 * 60 * 9 / 10, "{finished} finished, {refused} refused");
}
