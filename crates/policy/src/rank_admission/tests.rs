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

/// Prints refused, in time and late fractions by rank, to be run by hand.
#[test]
#[ignore = "prints figures"]
fn print_table() {
    for daemons in [1, 8, 74, 400] {
        for multiple in [1.0, 1.5, 2.0, 3.0] {
            let outcome = Play { daemons, burst: burst(multiple), ..Play::default() }.run();
            let show = |phase| {
                let ranks = (0..3).map(|rank| {
                    let Served { refused, in_time, late } = served(&outcome, rank, phase);
                    format!("{refused:.2}/{in_time:.2}/{late:.2}")
                });
                ranks.collect::<Vec<_>>().join(" ")
            };
            println!(
                "{daemons} x{multiple}: start {} | burst {} | after {} | done {:.3}",
                show(START),
                show(BURST),
                show(AFTER),
                outcome.done,
            );
        }
    }
}
