use super::*;

mod play;

use play::{BURST_MS, END_MS, Outcome, Play, SETTLED_MS};

/// The first phase of a burst, the rest of it, and the time after it.
const START: (u64, u64) = (BURST_MS.0, SETTLED_MS);
const BURST: (u64, u64) = (SETTLED_MS, BURST_MS.1);
const AFTER: (u64, u64) = (BURST_MS.1 + 1_000, END_MS);

/// Fractions of the requests of a rank that came between two times.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    refused: f64,
    in_time: f64,
    /// Late ones among those that were admitted.
    late: f64,
}

fn served_where(outcome: &Outcome, counts: impl Fn(&play::Request) -> bool) -> Served {
    let found: Vec<_> = outcome.requests.iter().filter(|request| counts(request)).collect();
    let share = |counted: usize, of: usize| counted as f64 / of.max(1) as f64;
    let refused = found.iter().filter(|request| request.refused).count();
    let in_time = found.iter().filter(|request| request.in_time()).count();
    let admitted = found.len() - refused;
    Served {
        refused: share(refused, found.len()),
        in_time: share(in_time, found.len()),
        late: share(admitted.saturating_sub(in_time), admitted),
    }
}

fn served(outcome: &Outcome, rank: usize, (from_ms, to_ms): (u64, u64)) -> Served {
    served_where(outcome, |request| {
        request.rank == rank && (from_ms..to_ms).contains(&request.at_ms)
    })
}

/// Offered work in the burst, at a multiple of the capacity: the burst is of the last rank.
fn burst(multiple: f64) -> [f64; 3] {
    [0.4, 0.05, multiple - 0.45]
}

/// The variable that makes [`print_table`] run, which takes a minute.
const TABLE_VARIABLE: &str = "BRONZESPINDLE_RANK_TABLE";

/// Prints refused, in time and late fractions by rank, if asked to.
#[test]
fn print_table() {
    if std::env::var_os(TABLE_VARIABLE).is_none() {
        return;
    }
    let sizes = [1, 8, 74, 400].into_iter().flat_map(|daemons| [(daemons, false), (daemons, true)]);
    for (daemons, is_learnt) in sizes {
        for multiple in [1.0, 1.5, 2.0, 3.0] {
            let burst = burst(multiple);
            let outcome = Play { daemons, burst, is_learnt, ..Play::default() }.run();
            let show = |phase| {
                let ranks = (0..3).map(|rank| {
                    let Served { refused, in_time, late } = served(&outcome, rank, phase);
                    format!("{refused:.2}/{in_time:.2}/{late:.2}")
                });
                ranks.collect::<Vec<_>>().join(" ")
            };
            println!(
                "{daemons} x{multiple}: learnt={is_learnt} start {} | burst {} | after {} | done {:.3}",
                show(START),
                show(BURST),
                show(AFTER),
                outcome.done,
            );
        }
    }
}

#[test]
fn fractions_follow_the_order_of_ranks_and_keep_a_floor() {
    let offered = BTreeMap::from([(Rank(0), 50.0), (Rank(1), 40.0), (Rank(2), 100.0)]);
    let rounded = |limit: f64| -> Vec<f64> {
        fractions(&offered, limit, ATTEMPT_FLOOR)
            .values()
            .map(|share| (share * 100.0).round() / 100.0)
            .collect()
    };
    assert_eq!(rounded(f64::INFINITY), [1.0, 1.0, 1.0]);
    assert_eq!(rounded(190.0), [1.0, 1.0, 1.0]);
    assert_eq!(rounded(140.0), [1.0, 1.0, 0.5]);
    assert_eq!(rounded(100.0), [1.0, 0.84, 0.16]);
    assert_eq!(rounded(50.0), [0.54, 0.16, 0.16]);
    // The floors themselves don't fit.
    assert_eq!(rounded(20.0), [0.12, 0.1, 0.1]);
}

/// Guards against loads that one daemon reports wrongly and that stop all requests of the others.
#[test]
fn figures_that_are_no_load_are_ignored() {
    let mut admission = RankAdmission::new(MonotonicInstant::default(), Duration::from_secs(1));
    let bad = RankLoad {
        offered: BTreeMap::from([(Rank(0), f32::NAN), (Rank(1), f32::INFINITY), (Rank(2), -1.0)]),
        begun: f32::NAN,
        pressure: f32::INFINITY,
        capacity: Some(-1.0),
    };
    let now = MonotonicInstant::from_millis(10);
    admission.on_peers(now, std::iter::once((Duration::ZERO, &bad)), 0);
    let request = RankRequest {
        rank: Rank(2),
        team: None,
        work: 1.0,
        left: Duration::from_secs(1),
        content: 0,
    };
    assert_eq!(admission.decide(now, &request, 0.999), RankDecision::Admit);
    assert_eq!(admission.capacity, None);
}

#[test]
fn reports_bound_the_ranks_and_take_reports_without_newer_fields() {
    let load: RankLoad = serde_json::from_str(r#"{"offered":{"0":1.5,"200":2.5}}"#).unwrap();
    let expected = RankLoad {
        offered: BTreeMap::from([(Rank(0), 1.5), (Rank(9), 2.5)]),
        ..RankLoad::default()
    };
    assert_eq!(load, expected);
    assert_eq!(Rank::from(4_000_000_000_u32), Rank(9));
}

/// The part of its floor that a rank must get in one play; chance may take some off.
const FLOOR_CHANCE: f64 = 0.9;

/// The part of the capacity that must be used in a burst.
const DONE_MIN: f64 = 0.9;

/// The largest fraction of the admitted requests of the first rank that may be late.
const LATE_MAX: f64 = 0.05;

/// What plays show that breaks the rules of admission by rank.
fn faults(daemons: usize, multiples: &[f64]) -> Vec<String> {
    let mut faults = Vec::new();
    for multiple in multiples {
        let play = Play { daemons, burst: burst(*multiple), is_learnt: true, ..Play::default() };
        let outcome = play.run();
        let mut check = |holds: bool, text: String| {
            if !holds {
                faults.push(format!("{daemons} daemons, x{multiple}: {text}"));
            }
        };
        let (first, last) = (served(&outcome, 0, BURST), served(&outcome, 2, BURST));
        check(first.refused <= last.refused, format!("first {first:?}, last {last:?}"));
        check(first.late <= LATE_MAX, format!("first rank {first:?}"));
        check(outcome.done >= DONE_MIN, format!("{:.3} of the capacity done", outcome.done));
        for rank in 0..3 {
            let admitted = 1.0 - served(&outcome, rank, BURST).refused;
            let floor = RANK_FLOOR * FLOOR_CHANCE;
            check(admitted >= floor, format!("rank {rank}: {admitted:.2} admitted"));
        }
    }
    faults
}

/// Guards against the most urgent requests being late or refused while the least urgent are admitted,
/// against idle upstreams, and against ranks that starve.
#[test]
#[ignore = "KNOWN-RED"]
fn first_rank_is_served_in_time_while_the_last_exceeds_the_capacity() {
    let expected: Vec<String> = Vec::new();
    assert_eq!(faults(1, &[1.0, 1.5, 2.0]), expected);
    assert_eq!(faults(8, &[1.0, 1.5, 2.0]), expected);
    assert_eq!(faults(74, &[1.0, 1.5, 2.0]), expected);
}

/// With three times the capacity, or with so few requests at each daemon that a queue shows late, more
/// of the first rank is late than allowed, or upstreams are idle.
#[test]
#[ignore = "KNOWN-RED"]
fn first_rank_is_served_in_time_at_three_times_the_capacity_and_with_400_daemons() {
    let mut found = Vec::new();
    found.extend(faults(1, &[3.0]));
    found.extend(faults(8, &[3.0]));
    found.extend(faults(74, &[3.0]));
    found.extend(faults(400, &[1.0, 1.5, 2.0, 3.0]));
    assert_eq!(found, Vec::<String>::new());
}

/// Guards against requests that are refused although their service has room.
#[test]
fn everything_is_admitted_below_the_capacity() {
    for daemons in [1, 8, 74, 400] {
        let burst = [0.4, 0.05, 0.3];
        let outcome = Play { daemons, burst, is_learnt: true, ..Play::default() }.run();
        let refused = outcome.requests.iter().filter(|request| request.refused).count();
        let fraction = refused as f64 / outcome.requests.len() as f64;
        assert!(fraction < 0.002, "{daemons} daemons refuse {fraction:.4}");
    }
}

/// Guards against refusals that go on after the load has fallen.
#[test]
fn capacity_is_returned_within_a_second_after_a_burst() {
    for daemons in [1, 8, 74] {
        let play = Play { daemons, burst: burst(2.0), retries: false, ..Play::default() };
        let outcome = play.run();
        let refused = (0..3).map(|rank| served(&outcome, rank, AFTER).refused);
        let most = refused.fold(0.0, f64::max);
        assert!(most < 0.02, "{daemons} daemons refuse {most:.3} of a rank");
    }
}

/// Guards against a team whose load takes the place of the others of its rank.
#[test]
#[ignore = "KNOWN-RED"]
fn a_team_that_offers_more_than_its_share_is_refused_first() {
    let teams = vec![8.0, 1.0, 1.0];
    let play = Play { burst: burst(2.0), teams, retries: false, ..Play::default() };
    let outcome = play.run();
    let refused = [0, 1, 2].map(|team| {
        let counts = |request: &play::Request| {
            let in_burst = (BURST.0..BURST.1).contains(&request.at_ms);
            request.rank == 2 && request.team == team && in_burst
        };
        served_where(&outcome, counts).refused
    });
    let small = refused[1].max(refused[2]);
    assert!(small < 0.2 && refused[0] > 0.5, "refused by team: {refused:?}");
}

/// Guards against a daemon that is cut off and, as it knows of no other load, admits everything or
/// nothing.
#[test]
fn a_daemon_that_hears_no_other_sheds_by_its_responses() {
    let outcome = Play { burst: burst(2.0), deaf: Some(0), ..Play::default() }.run();
    let refused = |(asked, refused): (u32, u32)| f64::from(refused) / f64::from(asked);
    let deaf = refused(outcome.by_daemon[0]);
    let others = outcome.by_daemon[1..]
        .iter()
        .fold((0, 0), |sum, (asked, refused)| (sum.0 + asked, sum.1 + refused));
    let others = refused(others);
    // The others keep the queues short, so that its responses ask it for less than theirs.
    assert!(deaf > 0.2 && deaf < others + 0.1, "deaf {deaf:.2}, others {others:.2}");
}

/// Guards against requests that wait for a response which would come after their deadline.
#[test]
fn a_request_that_cannot_be_in_time_is_refused() {
    let at = MonotonicInstant::from_millis;
    let mut admission = RankAdmission::new(at(0), Duration::from_millis(500));
    for request in 0..50 {
        let latency = if request == 0 { 10 } else { 900 };
        admission.on_waiting(at(1_000 + request), Rank(0));
        let now = at(1_000 + request + latency);
        admission.on_first_byte(now, Rank(0), 1_000.0, Duration::from_millis(latency));
    }
    let mut decide = |left_ms| {
        let left = Duration::from_millis(left_ms);
        let request =
            RankRequest { rank: Rank(0), team: None, work: 1_000.0, left, content: left_ms };
        admission.decide(at(1_960), &request, 0.0) == RankDecision::Admit
    };
    assert_eq!([decide(300), decide(5_000)], [false, true]);
}
