use super::*;

fn ranks(priorities: &[u32]) -> Vec<Rank> {
    priorities.iter().map(|priority| Rank::from(*priority)).collect()
}

/// Guards against limits that follow the numbers of the priorities in place of their order, and against
/// a rank that the configuration doesn't name and that gets no limit.
#[test]
fn limits_fall_evenly_from_the_most_urgent_to_the_last_rank() {
    let limits = |named: &[u32], asked: &[u32]| -> Vec<f64> {
        let named = ranks(named);
        ranks(asked).into_iter().map(|rank| load_limit(rank, &named, 0.5)).collect()
    };
    assert_eq!(limits(&[0, 1, 2], &[0, 1, 2]), [2.0, 1.5, 1.0]);
    assert_eq!(limits(&[3, 9], &[3, 9]), [2.0, 1.0]);
    assert_eq!(limits(&[1, 3], &[0, 2, 9]), [2.0, 1.0, 1.0]);
    assert_eq!(limits(&[5], &[5, 9]), [2.0, 2.0]);
    assert_eq!(limits(&[], &[5]), [2.0]);
}

/// Guards against a rank that is never served while more urgent requests exceed the capacity.
#[test]
fn a_tenth_of_the_attempts_of_each_rank_has_the_limit_of_the_most_urgent_rank() {
    let named = ranks(&[0, 1, 2]);
    for rank in &named {
        let draws = (0..1_000).map(|step| f64::from(step) / 1e3);
        let unlimited =
            draws.filter(|draw| load_limit(*rank, &named, *draw) == LOAD_LIMIT_MAX).count();
        let expected = if *rank == named[0] { 1_000 } else { 100 };
        assert_eq!(unlimited, expected, "rank {rank}");
    }
}

/// Guards against refused requests of all ranks that come back at the same time, and against a false
/// load that keeps callers away for minutes.
#[test]
fn less_urgent_requests_come_back_later_and_none_after_more_than_30_seconds() {
    let named = ranks(&[0, 1, 2]);
    let millis = |rank: usize, excess: f64| {
        retry_after(named[rank], &named, excess, Duration::from_millis(250)).as_millis()
    };
    assert_eq!([0, 1, 2].map(|rank| millis(rank, 20.0)), [850, 1_000, 1_150]);
    let bad = [f64::MAX, f64::INFINITY, f64::NAN, -1.0].map(|excess| millis(2, excess));
    assert_eq!(bad, [30_000, 30_000, 250, 250]);
}

mod play;

use play::{PROMPTS, Play, STREAMS};

/// The variable that makes [`print_table`] run, which takes minutes.
const TABLE_VARIABLE: &str = "BRONZESPINDLE_RANK_TABLE";

/// Prints the rows of the table in docs/design/rank-limits.md, if asked to.
#[test]
fn print_table() {
    if std::env::var_os(TABLE_VARIABLE).is_none() {
        return;
    }
    for (load, kinds) in [("streams", STREAMS), ("prompts", PROMPTS)] {
        for daemons in [1, 8, 74, 400] {
            for multiple in [0.7, 1.0, 1.5, 2.0, 3.0] {
                let cell = |has_limits| {
                    let last = multiple - 0.45;
                    let play = Play { daemons, kinds, last, has_limits, ..Play::default() };
                    let outcome = play.run();
                    let (first, late) = outcome.served(&play, 0);
                    let last = outcome.served(&play, 2).0;
                    format!("{first:.2} {late:.2} {last:.2} {:.3}", outcome.done)
                };
                println!("| {load} | {daemons} | {multiple} | {} | {} |", cell(false), cell(true));
            }
        }
    }
}
