use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Requests of each daemon that is cut off.
const REQUESTS: usize = 60;

/// The number of requests that each helper gets if the first `cut` of `count` daemons, which are
/// spread over `centres` data centres, send theirs. Loads are as old as `stale` requests of each.
fn parts(count: usize, cut: usize, centres: usize, stale: usize) -> Vec<usize> {
    let mut random = ChaCha8Rng::seed_from_u64((count * 1_000 + cut) as u64);
    let centre = |daemon: usize| daemon * centres / count;
    let mut sent = vec![0; count];
    let mut told = sent.clone();
    let mut own = vec![vec![0; count]; cut];
    for request in 0..REQUESTS {
        if request % stale == 0 {
            told.clone_from(&sent);
            own.iter_mut().for_each(|own| own.fill(0));
        }
        for (entry, own) in own.iter_mut().enumerate() {
            let helpers: Vec<Helper> = (cut..count)
                .map(|daemon| Helper {
                    is_local: centre(daemon) == centre(entry),
                    load: told[daemon] + own[daemon],
                })
                .collect();
            let local_cut = (0..cut).filter(|other| centre(*other) == centre(entry)).count();
            let Some(index) = select(&helpers, local_cut, &mut random) else { continue };
            sent[cut + index] += 1;
            own[cut + index] += 1;
        }
    }
    sent[cut..].iter().map(|sent| *sent as usize).collect()
}

#[test]
fn no_helper_gets_much_more_than_its_part_at_any_size() {
    for count in [2, 3, 8, 17, 58, 195, 400] {
        for cut in [1, count / 4, count / 2, count * 3 / 4, count - 1] {
            for centres in [1, 4, 11] {
                if cut == 0 || centres > count {
                    continue;
                }
                let parts = parts(count, cut, centres, 12);
                let all = cut * REQUESTS;
                assert_eq!(all, parts.iter().sum::<usize>(), "{cut} of {count} in {centres}");
                // At least as many local helpers as daemons that need them is the narrowest case.
                let fair = REQUESTS.max(all / parts.len());
                let most = parts.into_iter().max().unwrap();
                assert!(most <= 2 * fair, "{cut} of {count} in {centres}: {most}, fair {fair}");
            }
        }
    }
}

#[test]
fn helpers_of_the_own_data_centre_are_preferred_while_they_suffice() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let helpers = [(true, 5), (true, 9), (false, 0), (false, 0)]
        .map(|(is_local, load)| Helper { is_local, load });
    for _ in 0..100 {
        assert!(select(&helpers, 2, &mut random).unwrap() < 2);
    }
    let elsewhere = (0..100).filter(|_| select(&helpers, 3, &mut random).unwrap() >= 2).count();
    assert!(elsewhere > 50, "{elsewhere}");
    assert_eq!(None, select(&[], 1, &mut random));
}
