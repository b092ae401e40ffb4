//! Daemons that have just started: what they may use, and that their callers are not refused.

use super::simulation::{Fault, FaultKind, Schedule, TeamLoad, most_in_window};
use super::{ALLOWANCE, SPEC, at};
use crate::shared_limits::{
    DaemonCounts, DaemonVisibility, RetryBudgetShare, RetryBudgetSpec, SeedCounts,
};
use std::time::Duration;

/// The sizes of deployments.
const SIZES: [usize; 5] = [1, 8, 42, 74, 400];

/// What a daemon knows that has run as long as all those it hears.
pub(super) fn counts(uptime: u64, heard: u32, listed: Option<u32>) -> DaemonCounts {
    let uptime = Duration::from_millis(uptime);
    let seeds = SeedCounts::default();
    DaemonCounts { uptime, oldest: uptime, heard, remembered: heard, listed, seeds }
}

/// A team that sends nine tenths of its quota to all daemons.
fn load_within_quota(daemons: usize, news_max: u64) -> TeamLoad {
    let offered = SPEC.rate * 0.9;
    TeamLoad { daemons, reached: daemons, offered, news_max, has_list: true, seeds: 0, seed: 6 }
}

/// The requests refused from `first` to `last`, and all in this time.
fn refused(requests: &[(u64, f64, bool)], first: u64, last: u64) -> (usize, usize) {
    let inside: Vec<_> = requests.iter().filter(|(at, ..)| (first..last).contains(at)).collect();
    (inside.iter().filter(|(_, _, admitted)| !admitted).count(), inside.len())
}

/// Guards against daemons that hold a team below its quota for some time after a normal start.
#[test]
fn callers_are_served_10_to_14_s_after_daemons_have_started_together() {
    for daemons in SIZES {
        for news_max in [600, 2_000] {
            let requests = load_within_quota(daemons, news_max).play(14_000);
            let (refused, all) = refused(&requests, 10_000, 14_000);
            assert!(all > 0);
            assert_eq!(refused, 0, "{daemons} daemons, {news_max} ms, {all} requests");
        }
    }
}

/// Guards against a single daemon that counts on others.
#[test]
fn a_single_daemon_serves_a_team_within_its_quota_from_its_first_second() {
    let requests = load_within_quota(1, 100).play(14_000);
    let (refused, all) = refused(&requests, 1_000, 14_000);
    assert!(all > 0);
    assert_eq!(refused, 0, "{all} requests");
}

/// Guards against a single daemon without a store that waits for seeds or others, although its settings
/// list only itself.
#[test]
fn a_single_daemon_that_its_settings_list_serves_without_the_store() {
    let mut load = load_within_quota(1, 100);
    (load.has_list, load.seeds) = (false, 1);
    let requests = load.play(14_000);
    let (refused, all) = refused(&requests, 4_000, 14_000);
    assert!(all > 0);
    assert_eq!(refused, 0, "{all} requests");
}

/// Guards against a restarted daemon that reduces what it keeps or grants while the others have the whole.
#[test]
fn a_daemon_that_restarts_among_others_refuses_no_caller_while_the_store_answers() {
    for daemons in [8, 42, 74] {
        let kind = FaultKind::Restart;
        // One daemon, in 256 parts of all.
        let share = (256_usize.div_ceil(daemons)) as u8;
        // Multiples of the time between two rounds of this play at each size: a daemon calls the others
        // that the store lists as soon as it starts.
        for at in [14_000, 42_000] {
            let restart = Fault { at, length: 100, share, kind };
            let requests = load_within_quota(daemons, 600).play_with(at + 8_000, &[restart]);
            let (refused, all) = refused(&requests, at, at + 8_000);
            assert!(all > 0);
            assert_eq!(refused, 0, "{daemons} daemons, restart at {at} ms, {all} requests");
        }
    }
}

/// Guards against daemons that, without the store, refuse most of a quota although they hear all daemons
/// that their settings list.
#[test]
fn daemons_that_hear_all_seeds_serve_the_whole_quota_without_the_store() {
    for daemons in SIZES {
        let mut load = load_within_quota(daemons, 600);
        (load.has_list, load.seeds) = (false, 3);
        let requests = load.play(14_000);
        let (refused, all) = refused(&requests, 6_000, 14_000);
        assert!(all > 0);
        assert_eq!(refused, 0, "{daemons} daemons, {all} requests");
    }
}

/// Guards against sides of a cut that each take themselves for all daemons, with and without seeds.
#[test]
fn daemons_cut_apart_at_any_time_after_their_start_stay_within_the_quota_without_the_store() {
    for daemons in [2, 8, 42, 74, 400] {
        for (start, share) in [(10, 128), (512, 208), (1_500, 90), (3_500, 40)] {
            for seeds in [0, 1, 3, daemons] {
                let cut = Fault { at: start, length: 13_900, share, kind: FaultKind::Cut };
                let mut schedule = Schedule::new(daemons, 5.0, vec![cut]);
                (schedule.has_list, schedule.seeds, schedule.news_max) = (false, seeds, 1_180);
                let most = most_in_window(&schedule.play());
                let case = format!("{daemons} daemons, {seeds} seeds, {start} ms, share {share}");
                assert!(most <= ALLOWANCE, "{case}: {most}");
            }
        }
    }
}

/// Guards against a daemon that restarts alone, without the store, among others that know all daemons: what
/// it keeps would be lost to callers.
#[test]
fn a_daemon_among_long_running_ones_divides_quotas_among_those_heard_without_the_store() {
    let mut counts = counts(5_000, 74, None);
    counts.oldest = Duration::from_secs(40);
    let expected = DaemonVisibility { visible: 74, known: 74 };
    assert_eq!(expected, counts.quota_visibility());
}

/// Guards against counts from other daemons or from the settings that overflow or divide by nothing.
#[test]
fn odd_counts_give_bounded_fractions() {
    for (listed, heard) in [(0, 0), (0, 5), (u32::MAX, 1), (1, u32::MAX), (u32::MAX, 0)] {
        for live in [0, 1, u32::MAX] {
            let mut counts = counts(5_000, live, None);
            counts.seeds = SeedCounts { listed, heard };
            let fraction = counts.quota_visibility().fraction();
            assert!(fraction > 0.0 && fraction <= 1.0, "{listed} {heard} {live}: {fraction}");
        }
    }
}

/// The retries granted to a daemon at `millis` that has had no requests but the one retried.
fn retries(counts: DaemonCounts, running: u32) -> usize {
    let limit = RetryBudgetSpec { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
    let mut share = RetryBudgetShare::default();
    let known = counts.retry_visibility(running).known;
    (0..100).filter(|_| share.try_take(at(0), &limit, known)).count()
}

/// Guards against refused retries in a normal start: the store lists the daemons, and they hear each other.
#[test]
fn daemons_whose_store_answers_have_their_retries_from_the_start() {
    let whole = |daemons: u32| retries(counts(12_000, daemons, None), daemons);
    for daemons in [1, 8, 42, 74, 400] {
        for uptime in [0, 1_000, 3_000, 10_000, 14_000] {
            let actual = retries(counts(uptime, daemons, Some(daemons)), daemons);
            assert_eq!(whole(daemons), actual, "{daemons} daemons after {uptime} ms");
        }
    }
    assert_eq!(36, whole(1));
    assert_eq!(4, whole(8));
}

/// Guards against refused retries at a daemon that restarts among others, with and without the store.
#[test]
fn a_daemon_that_restarts_among_others_has_its_retries_as_soon_as_it_hears_them() {
    for listed in [None, Some(8)] {
        let mut counts = counts(600, 8, listed);
        counts.oldest = Duration::from_secs(3_600);
        assert_eq!(4, retries(counts, 8), "{listed:?}");
    }
}

/// Guards against a list read from the store being ignored while the others have not been heard.
#[test]
fn daemons_that_have_read_the_list_divide_the_slack_before_they_hear_each_other() {
    assert_eq!(4, retries(counts(200, 1, Some(8)), 1));
}

/// Guards against any schedule of cuts, kills and restarts of daemons that can't read the store.
#[test]
fn no_schedule_of_faults_lets_a_team_exceed_its_quota_without_the_store() {
    bolero::check!().with_iterations(40).with_type::<Schedule>().for_each(|schedule| {
        let mut schedule = schedule.clone();
        (schedule.has_list, schedule.seeds) = (false, if schedule.seed % 2 == 0 { 0 } else { 3 });
        let most = most_in_window(&schedule.play());
        assert!(most <= ALLOWANCE, "{most}: {schedule:?}");
    });
}
