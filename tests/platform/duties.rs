//! What only the holder of the leader lease does.

use crate::daemon::{Daemon, POLL_INTERVAL, POLLS_MAX, start_deployment};
use crate::standin::{self, Platform, StoreBehaviour};
use nix::sys::signal::Signal;
use std::collections::BTreeMap;
use std::time::Duration;

async fn wait_for_reports(platform: &Platform, count: usize) {
    for _ in 0..POLLS_MAX {
        if platform.usage_reports().len() >= count {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("fewer than {count} usage reports");
}

#[tokio::test]
async fn usage_of_a_window_is_reported_consistently_despite_lost_replies_and_a_killed_reporter() {
    let (platform, _upstreams, mut daemons) = start_deployment(2).await;
    wait_for_reports(&platform, 3).await;
    platform.set_behaviour(StoreBehaviour::LosesReplies);
    tokio::time::sleep(Duration::from_secs(2)).await;
    platform.set_behaviour(StoreBehaviour::Normal);
    daemons[0].signal(Signal::SIGKILL);
    daemons[0].exit().await;
    let before = platform.usage_reports().len();
    wait_for_reports(&platform, before + 4).await;
    assert_reports_are_consistent(&platform);
}

/// Checks that no two reports of a usage window differ.
fn assert_reports_are_consistent(platform: &Platform) {
    let mut windows = BTreeMap::new();
    for report in platform.usage_reports() {
        let window = report["window-id"].as_u64().unwrap();
        let counts = report["request-counts"].clone();
        assert_eq!(*windows.entry(window).or_insert_with(|| counts.clone()), counts);
    }
}

#[tokio::test]
async fn leader_acts_under_a_higher_token_after_the_store_was_restored() {
    let platform = Platform::start().await;
    platform.configure(&standin::configuration(3));
    // The copy holds no record of the lease.
    platform.copy_store();
    let _daemons = Daemon::start_all(&platform, 3).await;
    for _ in 0..2 {
        let before = platform.usage_reports().len();
        wait_for_reports(&platform, before + 2).await;
        let (token, _) = platform.cloud_calls().last().unwrap().clone();
        platform.restore_store();
        let restored_at = platform.cloud_calls().len();
        let acts_again = |calls: &[(u64, String)]| calls.iter().any(|(other, _)| *other > token);
        for _ in 0..POLLS_MAX {
            if acts_again(&platform.cloud_calls()[restored_at..]) {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        assert!(acts_again(&platform.cloud_calls()[restored_at..]), "nobody acts again");
    }
    let (mut holders, mut highest) = (BTreeMap::new(), 0);
    for (token, holder) in platform.cloud_calls() {
        assert!(token >= highest, "{token} after {highest}");
        highest = token;
        assert_eq!(*holders.entry(token).or_insert_with(|| holder.clone()), holder);
    }
    assert_reports_are_consistent(&platform);
}

#[tokio::test]
async fn resumed_lease_holder_does_not_act_with_its_old_fencing_token() {
    let (platform, _upstreams, daemons) = start_deployment(2).await;
    wait_for_reports(&platform, 2).await;
    let (first, holder) = platform.cloud_calls().last().unwrap().clone();
    let suspended = daemons.iter().find(|daemon| daemon.name == holder).unwrap();
    suspended.signal(Signal::SIGSTOP);
    let new_holder_acts = |calls: &[(u64, String)]| calls.iter().any(|(number, _)| *number > first);
    for _ in 0..POLLS_MAX {
        if new_holder_acts(&platform.cloud_calls()) {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let before = platform.cloud_calls().len();
    assert!(new_holder_acts(&platform.cloud_calls()), "no other daemon took over the lease");
    suspended.signal(Signal::SIGCONT);
    wait_for_reports(&platform, platform.usage_reports().len() + 3).await;
    let calls = platform.cloud_calls();
    assert!(calls[before..].iter().all(|(number, _)| *number > first), "{calls:?}");
    // A call that was in progress when the holder was suspended arrives late and is refused.
    assert!(platform.refused_calls() <= 1, "{} calls refused", platform.refused_calls());
    for (number, holder) in &calls {
        let same = calls.iter().filter(|(other, _)| other == number);
        assert!(same.clone().all(|(_, other)| other == holder), "{calls:?}");
    }
}
