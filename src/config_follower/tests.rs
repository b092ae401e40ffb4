use super::*;
use crate::context::LiveContext;
use crate::publisher::{PublishOutcome, Publisher};
use crate::settings::PlatformSettings;
use serde_json::value::to_raw_value;
use spindle_standin::LogStandin;
use spindle_types::config::TeamSpec;
use spindle_types::{Change, Revision};

/// A context whose log is a stand-in. The other services have the log's address and aren't called.
pub(crate) fn context(log: &LogStandin) -> LiveContext {
    let log = log.address();
    LiveContext::new(&PlatformSettings { log, instances: log, cloud: log, weights: log })
}

/// A change that adds a team.
pub(crate) fn put_team(team: &str) -> Change {
    Change::PutTeam { team: team.parse().unwrap(), spec: TeamSpec::default() }
}

/// A publisher of a daemon that knows no other daemons.
pub(crate) fn publisher(
    log: &LogStandin,
    follower: &ConfigFollower,
    timeout: Duration,
) -> Publisher<LiveContext> {
    let (_, in_force) = watch::channel(Revision(0));
    Publisher::new(context(log), follower.clone(), in_force, timeout)
}

async fn publish(publisher: &Publisher<LiveContext>, base: u64, team: &str) -> PublishOutcome {
    publisher.publish(Revision(base), "ana".parse().unwrap(), put_team(team)).await
}

async fn wait_for(follower: &ConfigFollower, revision: u64) {
    let mut config = follower.config.clone();
    config.wait_for(|config| config.revision >= Revision(revision)).await.unwrap();
}

#[tokio::test]
async fn daemon_starts_from_checkpoint_and_tail_when_records_have_expired() {
    let log = LogStandin::start().await.unwrap();
    let (first, _task) = start(context(&log));
    let publisher = publisher(&log, &first, Duration::from_secs(5));
    assert_eq!(
        PublishOutcome::Accepted { revision: Revision(1) },
        publish(&publisher, 0, "a").await
    );
    let state = Box::new(Configuration::clone(&first.config.borrow()));
    let checkpoint = ConfigRecord::Checkpoint { covers: Offset(1), state };
    log.append(CONFIG_STREAM, to_raw_value(&checkpoint).unwrap());
    assert_eq!(
        PublishOutcome::Accepted { revision: Revision(3) },
        publish(&publisher, 1, "b").await
    );
    log.expire(CONFIG_STREAM, Offset(2));
    let (late, _late_task) = start(context(&log));
    wait_for(&late, 3).await;
    wait_for(&first, 3).await;
    assert_eq!(*first.config.borrow(), *late.config.borrow());
}

#[tokio::test]
async fn daemon_that_missed_expired_records_keeps_its_state_until_a_peer_helps() {
    let log = LogStandin::start().await.unwrap();
    let (follower, task) = start(context(&log));
    let publisher = publisher(&log, &follower, Duration::from_secs(5));
    for (base, team) in (0..).zip(["a", "b", "c"]) {
        publish(&publisher, base, team).await;
    }
    wait_for(&follower, 3).await;
    log.expire(CONFIG_STREAM, Offset(4));
    let (late, _late_task) = start(context(&log));
    let mut followed = late.followed.clone();
    followed.wait_for(|seen| seen.state.sync_status() == SyncStatus::Behind).await.unwrap();
    assert_eq!(Revision(0), late.config.borrow().revision);
    let update = follower.followed.borrow().state.update_since(Revision(0));
    late.send_update(update).await;
    wait_for(&late, 3).await;
    assert_eq!(SyncStatus::Current, late.followed.borrow().state.sync_status());
    task.abort();
}

#[tokio::test]
async fn daemon_starts_from_a_peer_while_the_log_is_down() {
    let log = LogStandin::start().await.unwrap();
    let (follower, _task) = start(context(&log));
    let publisher = publisher(&log, &follower, Duration::from_secs(5));
    publish(&publisher, 0, "a").await;
    wait_for(&follower, 1).await;
    log.faults().set_down(true);
    let (late, _late_task) = start(context(&log));
    late.send_update(follower.followed.borrow().state.update_since(Revision(0))).await;
    wait_for(&late, 1).await;
    log.faults().set_down(false);
    assert_eq!(
        PublishOutcome::Accepted { revision: Revision(2) },
        publish(&publisher, 1, "b").await
    );
    wait_for(&late, 2).await;
}
