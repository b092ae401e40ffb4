use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn brittle(rejections: u32, rank: u32, daemons: u32) -> Brittleness {
    let mut brittleness = Brittleness::default();
    assert!(brittleness.on_answer(at(0), at(0), Some(rejections)));
    brittleness.set_position(at(0), Some(Position { rank, daemons }));
    brittleness
}

#[test]
fn all_daemons_together_never_have_more_than_one_request_beyond_the_slots() {
    for daemons in [1, 2, 6, 8, 58, 195, 400] {
        for slots in [1, 2, 6, 32, 64] {
            let most = |rank| {
                let brittleness = brittle(5, rank, daemons);
                (0..).find(|running| brittleness.wait(at(10), *running, slots).is_some()).unwrap()
            };
            let sum: u32 = (0..daemons).map(most).sum();
            assert_eq!(sum, slots + WAITING_MAX, "{daemons} daemons, {slots} slots");
        }
    }
}

#[test]
fn an_upstream_that_rejects_everything_is_sent_fewer_requests_than_it_bears_rejections() {
    let mut random = ChaCha8Rng::seed_from_u64(4);
    for daemons in [1, 8, 58, 195, 400] {
        for rejections in [1, 5, 50] {
            let mut all: Vec<Brittleness> =
                (0..daemons).map(|rank| brittle(rejections, rank, daemons)).collect();
            // The first second after the upstream has shrunk is not in the daemons' hands alone.
            let mut rejected = Vec::new();
            for step in 0..1_000 {
                let now = at(step * 10);
                for (rank, one) in all.iter_mut().enumerate() {
                    let rank = u32::try_from(rank).unwrap();
                    one.set_position(now, Some(Position { rank, daemons }));
                    if one.wait(now, 0, 64).is_none() {
                        rejected.push(step * 10);
                        one.on_rejected(now, random.random());
                    }
                }
            }
            let window =
                |from: u64| rejected.iter().filter(|at| (from..from + 1_000).contains(*at)).count();
            let most = (20..90).map(|start| window(start * 100)).max().unwrap();
            let longest = SPACING * f64::from(daemons) / f64::from(rejections);
            if longest <= PAUSE_MAX.as_secs_f64() {
                let allowed = rejections.max(1) as usize;
                assert!(most <= allowed, "{daemons} daemons, {rejections}: {most}");
            }
        }
    }
}

#[test]
fn a_late_answer_lifts_nothing_and_a_newer_one_does() {
    let mut brittleness = brittle(5, 0, 1);
    assert!(!brittleness.on_answer(at(100), at(0), None));
    assert!(brittleness.is_named());
    assert!(brittleness.on_answer(at(300), at(200), None));
    assert_eq!(brittleness.wait(at(400), 1_000, 1), None);
}
