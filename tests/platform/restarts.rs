//! Daemons that are killed and started again while versions of a large configuration follow each other.

use crate::daemon::{Daemon, addresses};
use crate::many_daemons::{
    CONFIG_TIME, COUNT_VARIABLE, CpuLimit, ROUTES, configuration, in_force, slow_link, time_of_day,
    wait_for_version,
};
use crate::standin::{Platform, Upstream};
use std::time::Duration;

/// Number of daemons in a test run.
const DAEMONS: usize = 8;

/// Time between two versions, and their number.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
const CHANGES: u64 = 60;

/// The versions after which a part of the daemons is killed and started again at once.
const RESTARTS: [u64; 3] = [14, 19, 29];

/// Time after its start from which a daemon must keep to [`CONFIG_TIME`].
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// The time for which each version was acknowledged and not in force at a daemon that had run for
/// [`CONTACT_TIME`], the longest one.
async fn longest_delay(count: usize) -> Duration {
    let platform = Platform::start().await;
    platform.configure(&configuration(3, 0, &[]));
    let mut upstreams = Vec::new();
    for (name, service) in [("i-1", "desk"), ("i-2", "desk"), ("i-3", "model"), ("i-4", "model")] {
        upstreams.push(Upstream::start(&platform, name, service).await);
    }
    let mut places = Vec::new();
    for index in 0..count {
        let link = slow_link(platform.store_address()).await;
        places.push((format!("d-{index}"), addresses(), link));
    }
    let seeds: Vec<_> = places.iter().take(3).map(|(_, ports, _)| ports[2]).collect();
    let start = |index: usize| {
        let (name, ports, link) = &places[index];
        (time_of_day(), Daemon::start_at_store(&platform, name, *ports, (&seeds, *link)))
    };
    let mut daemons: Vec<_> = (0..count).map(start).collect();
    for (_, daemon) in &daemons {
        daemon.wait_for_addresses(count).await;
    }
    let ids = |daemons: &[(Duration, Daemon)]| -> Vec<u32> {
        daemons.iter().map(|(_, daemon)| daemon.child.id()).collect()
    };
    let mut limit = CpuLimit::start(ids(&daemons));
    let mut acked = Vec::new();
    for version in 4..4 + CHANGES {
        platform.configure(&configuration(version, ROUTES, &[]));
        acked.push((version, time_of_day()));
        if let Some(round) = RESTARTS.iter().position(|at| *at == version) {
            drop(limit);
            for index in (0..count).filter(|index| (index + round) % 2 == 0) {
                daemons[index].1.child.kill().unwrap();
                daemons[index].1.child.wait().unwrap();
                daemons[index] = start(index);
            }
            limit = CpuLimit::start(ids(&daemons));
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    for (_, daemon) in &daemons {
        wait_for_version(daemon, 3 + CHANGES).await;
    }
    drop(limit);
    let mut longest = Duration::ZERO;
    for (started, daemon) in &daemons {
        let log = in_force(&daemon.log());
        assert!(log.is_sorted_by(|(before, _), (after, _)| before < after), "{log:?}");
        for (version, at) in acked.iter().filter(|(_, at)| *at >= *started + CONTACT_TIME) {
            let (_, reached) = log.iter().find(|(newer, _)| newer >= version).unwrap();
            longest = longest.max(reached.saturating_sub(*at));
        }
    }
    longest
}

/// Daemons that start in a series of versions go on by the newest ones. A run by hand also requires the time
/// allowed.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_are_restarted_in_a_series_of_versions_put_each_of_them_in_force() {
    let by_hand = std::env::var(COUNT_VARIABLE).ok().and_then(|count| count.parse().ok());
    let longest = longest_delay(by_hand.unwrap_or(DAEMONS)).await;
    println!("longest={longest:?}");
    assert!(by_hand.is_none() || longest <= CONFIG_TIME, "{longest:?}");
}
