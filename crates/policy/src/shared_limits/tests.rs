use super::*;

mod lowered;
mod simulation;
mod start;

use simulation::{Fleet, TeamLoad, most_in_window};

const SPEC: QuotaSpec = QuotaSpec { rate: 100.0, burst: 100.0 };

/// In the same proportions as the limits that users are promised.
const TOLERANCE: QuotaTolerance =
    QuotaTolerance { overage: 0.1, slack: 82.0, window: Duration::from_secs(8) };

/// Interval at which the daemons hear of each other, in milliseconds.
const VIEW_INTERVAL: u64 = 200;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

/// The units that all daemons admit together until `millis`. The offered load in units per second
/// is spread evenly over the daemons, which hear of each other up to `delay` milliseconds late. At
/// `restart` all daemons restart and lose their state.
fn admitted_until(
    daemons: usize,
    offered: f64,
    delay: u64,
    (millis, restart): (u64, Option<u64>),
) -> f64 {
    let mut fleet = Fleet::with_news(daemons, delay, 1, at(0));
    let step = 10;
    for now in (0..millis).step_by(10) {
        if restart == Some(now) {
            fleet.restart_all(at(now));
        }
        if now.is_multiple_of(VIEW_INTERVAL) {
            fleet.update_views(now);
        }
        let cost = offered * f64::from(step) / 1_000.0 / daemons as f64;
        for daemon in 0..daemons {
            fleet.admit(at(now), daemon, cost);
        }
    }
    fleet.admitted()
}

fn admitted(daemons: usize, offered: f64, delay: u64, seconds: u64) -> f64 {
    admitted_until(daemons, offered, delay, (seconds * 1_000, None))
}

/// The most that may be admitted in 8 s: the refill plus the burst, 10% more, and the slack.
const ALLOWANCE: f64 = 900.0 * 1.1 + 82.0;

/// Found on kanem-returns trouble-3: all daemons were killed while a team exceeded its quota many
/// times over.
#[test]
fn a_restart_of_all_daemons_does_not_give_the_burst_once_more() {
    for restart in (1_000..7_500).step_by(500) {
        let total = admitted_until(8, 700.0, 250, (8_000, Some(restart)));
        assert!(total <= ALLOWANCE, "restart after {restart} ms: {total}");
    }
}

#[test]
fn a_team_far_over_its_quota_is_held_to_it_by_all_daemons_together() {
    let total = admitted(6, 700.0, 250, 8);
    assert!(total <= ALLOWANCE, "{total}");
    assert!(total >= 800.0, "{total}");
}

#[test]
fn a_team_within_its_quota_is_never_refused() {
    let until = |seconds| admitted(6, 95.0, 250, seconds);
    // In the first second after a common start, the quota may already have been spent before.
    assert!(until(1) >= 10.0, "{}", until(1));
    let later = until(8) - until(1);
    assert!(later >= 95.0 * 7.0 * 0.999, "{later}");
}

#[test]
fn isolated_daemons_stay_within_the_quota_together() {
    let mut fleet = Fleet::new(6, at(0));
    (0..6).for_each(|daemon| fleet.isolate(daemon));
    for now in (0..8_000).step_by(10) {
        for daemon in 0..6 {
            fleet.admit(at(now), daemon, 1.2);
        }
    }
    assert!(fleet.admitted() <= ALLOWANCE, "{}", fleet.admitted());
}

#[test]
fn request_larger_than_the_burst_is_admitted_when_the_bucket_is_full() {
    let mut fleet = Fleet::new(1, at(0));
    assert!(!fleet.admit(at(0), 0, 500.0));
    assert!(fleet.admit(at(2_500), 0, 500.0));
    assert!(!fleet.admit(at(3_000), 0, 1.0));
}

#[test]
fn request_that_did_not_run_is_refunded() {
    let mut fleet = Fleet::new(1, at(0));
    assert!(fleet.admit(at(0), 0, 4.0));
    assert!(!fleet.admit(at(0), 0, 4.0));
    fleet.refund(at(0), 0, 4.0);
    assert!(fleet.admit(at(0), 0, 4.0));
}

#[test]
fn retries_of_all_daemons_stay_within_the_budget() {
    let limit = RetryBudgetSpec { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
    let mut shares = vec![RetryBudgetShare::default(); 6];
    let mut retries = 0;
    for millis in 0..10_000_u64 {
        let share = &mut shares[millis as usize % 6];
        if millis % 10 == 0 {
            share.on_request(at(millis), &limit);
        }
        retries += u32::from(share.try_take(at(millis), &limit, 6));
    }
    assert!(retries <= 200 + 52, "{retries}");
    assert!(retries >= 100, "{retries}");
}

#[test]
fn daemon_joining_long_running_peers_admits_teams_within_their_quotas_at_once() {
    let mut fleet = Fleet::new(6, at(0));
    for now in (0..60_000).step_by(10) {
        for daemon in 0..5 {
            fleet.admit(at(now), daemon, 0.1);
        }
    }
    fleet.restart(at(60_000), 5);
    // A sixth of the team's load, in small requests.
    for step in 1..20 {
        let millis = 60_000 + step * 100;
        assert!(fleet.admit(at(millis), 5, 55.0 / 6.0 / 10.0), "{millis}");
    }
}

/// A keeper counted as one only from the first request on, and refused the first ones as if it had just
/// taken the quota over.
#[test]
fn a_team_whose_first_requests_come_long_after_the_start_gets_them_served() {
    let mut fleet = Fleet::new(6, at(0));
    for now in (0..14_000).step_by(200) {
        fleet.update_views(now);
    }
    for daemon in 0..6 {
        assert!(fleet.admit(at(14_000), daemon, 15.0), "{daemon}");
    }
}

/// Found on a mix of kanem-returns-grown, seed 552650313066: with 58 daemons, updates of the usage
/// charged by peers are over a second old, and each daemon kept admitting requests meanwhile.
#[test]
fn a_team_far_over_its_quota_is_held_to_it_by_many_daemons_whose_news_are_late() {
    let total = admitted(58, 700.0, 1_600, 8);
    assert!(total <= ALLOWANCE, "{total}");
    assert!(total >= 800.0, "{total}");
}

/// Found by looking for the cause of the QUOTA cases: each daemon admitted requests against the whole
/// remainder that it knew of.
#[test]
fn all_daemons_hold_a_team_to_its_quota_at_every_size_with_late_news() {
    for (daemons, news_max) in [(1, 100), (6, 600), (58, 2_000), (400, 2_500)] {
        for (excess, seed) in [(1.5, 1), (3.0, 2), (7.0, 3), (12.0, 4)] {
            let offered = SPEC.rate * excess;
            let (reached, has_list, seeds) = (daemons, true, 0);
            let load = TeamLoad { daemons, reached, offered, news_max, has_list, seeds, seed };
            let most = most_in_window(&load.play(24_000));
            assert!(most <= ALLOWANCE, "{daemons} daemons, {excess} times: {most}");
            assert!(most >= 800.0, "{daemons} daemons, {excess} times: {most}");
        }
    }
}

/// Usage that was told late was charged in full to a bucket that had been full meanwhile.
#[test]
fn a_team_within_its_quota_is_served_by_however_few_daemons_it_reaches() {
    for (daemons, news_max) in [(1, 100), (6, 600), (58, 2_000), (400, 2_500)] {
        for reached in [1, 3, daemons / 2] {
            let reached = reached.clamp(1, daemons);
            let offered = SPEC.rate * 0.9;
            let (has_list, seeds, seed) = (true, 0, 5);
            let load = TeamLoad { daemons, reached, offered, news_max, has_list, seeds, seed };
            let requests = load.play(16_000);
            let later: Vec<_> = requests.iter().filter(|(now, ..)| *now >= 4_000).collect();
            let refused = later.iter().filter(|(_, _, admitted)| !admitted).count();
            let count = later.len();
            assert_eq!(refused, 0, "{reached} of {daemons} daemons, {count} requests");
        }
    }
}

#[test]
#[ignore = "KNOWN-RED"]
fn daemons_that_start_together_and_do_not_know_each_other_yet_stay_within_the_retry_budget() {
    let limit = RetryBudgetSpec { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
    for daemons in [1, 6, 58, 400_u32] {
        let mut shares = vec![RetryBudgetShare::default(); daemons as usize];
        let (mut requests, mut retries) = (0, 0);
        for millis in (0..10_000).step_by(100) {
            // Two seconds pass until each daemon has heard of all others.
            let known = if millis < 2_000 { 1 } else { daemons };
            for share in &mut shares {
                share.on_request(at(millis), &limit);
                requests += 1;
                retries += u32::from(share.try_take(at(millis), &limit, known));
            }
            let allowed = limit.ratio * f64::from(requests) + limit.slack;
            assert!(
                f64::from(retries) <= allowed,
                "{daemons} daemons: {retries} retries in {millis} ms, {allowed} allowed"
            );
        }
    }
}

/// Daemons that are cut off, killed and restarted at random while a team sends up to twelve times its
/// quota. A cut ends within the time in which the others remember a daemon.
#[test]
fn no_schedule_of_faults_lets_a_team_exceed_its_quota() {
    bolero::check!().with_iterations(40).with_type::<simulation::Schedule>().for_each(|schedule| {
        let most = most_in_window(&schedule.play());
        assert!(most <= ALLOWANCE, "{most}: {schedule:?}");
    });
}

/// Found on kanem-returns with a third of the daemons cut off for 12 s: after 8 s of silence each side
/// admitted the whole quota.
#[test]
fn daemons_that_are_cut_off_for_12_s_stay_within_the_quota_together() {
    for daemons in [3, 8, 58, 400] {
        let kind = simulation::FaultKind::Cut;
        let cut = simulation::Fault { at: 2_000, length: 12_000, share: 90, kind };
        let schedule = simulation::Schedule::new(daemons, 7.0, vec![cut]);
        let most = most_in_window(&schedule.play());
        assert!(most <= ALLOWANCE, "{daemons} daemons: {most}");
    }
}

/// The even share was divided among the daemons heard within 8 s, so both sides of a longer cut spent it
/// whole.
#[test]
fn daemons_that_are_cut_off_for_24_s_stay_within_the_quota_together() {
    for daemons in [1, 2, 8, 58, 195, 400] {
        for share in [40, 128, 200] {
            let kind = simulation::FaultKind::Cut;
            let cut = simulation::Fault { at: 4_000, length: 24_000, share, kind };
            let schedule = simulation::Schedule::new(daemons, 7.0, vec![cut]);
            let most = most_in_window(&schedule.play());
            assert!(most <= ALLOWANCE, "{daemons} daemons, share {share}: {most}");
        }
    }
}

/// Daemons that could not read from the store how many there are each kept the whole quota after a common
/// start, until they had heard of each other.
#[test]
fn daemons_that_restart_together_while_the_store_is_away_stay_within_the_quota() {
    for daemons in [1, 6, 8, 58, 195, 400] {
        for news_max in [600, 2_000] {
            let kind = simulation::FaultKind::Restart;
            let fault = simulation::Fault { at: 8_000, length: 100, share: 255, kind };
            let mut schedule = simulation::Schedule::new(daemons, 7.0, vec![fault]);
            (schedule.news_max, schedule.has_list) = (news_max, false);
            let most = most_in_window(&schedule.play());
            assert!(most <= ALLOWANCE, "{daemons} daemons, news {news_max} ms late: {most}");
        }
    }
}

/// Found by the random schedules, without the list of daemons from the store: daemons that are cut from
/// each other before they have heard of one another don't know that there is another side.
#[test]
fn daemons_that_are_cut_apart_right_after_their_start_while_the_store_is_away_stay_within_the_quota()
 {
    use simulation::{Fault, FaultKind};
    let cut = Fault { at: 512, length: 13_906, share: 208, kind: FaultKind::Cut };
    let mut schedule = simulation::Schedule::new(42, 4.8, vec![cut]);
    (schedule.news_max, schedule.has_list) = (1_180, false);
    schedule.seed = 5_548_248_541_853_873_437;
    let most = most_in_window(&schedule.play());
    assert!(most <= ALLOWANCE, "{most}");
}
