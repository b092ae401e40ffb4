use super::*;
use crate::config_follower;
use crate::config_follower::tests::{context, publisher, put_team};
use crate::context::LiveContext;
use spindle_standin::LogStandin;
use spindle_types::Team;

struct Daemon {
    publisher: Publisher<LiveContext>,
    follower: ConfigFollower,
}

fn daemon(log: &LogStandin, timeout: Duration) -> Daemon {
    let (follower, _) = config_follower::start(context(log));
    Daemon { publisher: publisher(log, &follower, timeout), follower }
}

impl Daemon {
    async fn publish(&self, base: u64, change: Change) -> PublishOutcome {
        self.publisher.publish(Revision(base), "ana".parse().unwrap(), change).await
    }
}

/// Long enough for a change to take effect despite the injected faults.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Expires during an outage of the log.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

#[tokio::test]
async fn one_of_two_racing_operators_wins() {
    let log = LogStandin::start().await.unwrap();
    let daemons = [daemon(&log, LONG_TIMEOUT), daemon(&log, LONG_TIMEOUT)];
    let (a, b) =
        tokio::join!(daemons[0].publish(0, put_team("a")), daemons[1].publish(0, put_team("b")));
    let winner = match (&a, &b) {
        (PublishOutcome::Accepted { revision }, PublishOutcome::Conflict { winner })
        | (PublishOutcome::Conflict { winner }, PublishOutcome::Accepted { revision }) => {
            assert_eq!(revision, winner);
            *winner
        }
        outcomes => panic!("no single winner: {outcomes:?}"),
    };
    for daemon in &daemons {
        let mut config = daemon.follower.config.clone();
        let config = config.wait_for(|config| config.revision == winner).await.unwrap();
        assert_eq!(1, config.teams.len());
    }
}

#[tokio::test]
async fn change_whose_append_answer_is_lost_has_one_effect() {
    let log = LogStandin::start().await.unwrap();
    let daemon = daemon(&log, LONG_TIMEOUT);
    log.faults().lose_answers(2);
    let actual = daemon.publish(0, put_team("a")).await;
    assert_eq!(PublishOutcome::Accepted { revision: Revision(1) }, actual);
    log.faults().lose_answers(0);
    let actual = daemon.publish(1, put_team("b")).await;
    assert!(matches!(actual, PublishOutcome::Accepted { .. }), "{actual:?}");
    assert_eq!(2, daemon.follower.config.borrow().teams.len());
}

#[tokio::test]
async fn refused_append_is_repeated() {
    let log = LogStandin::start().await.unwrap();
    let daemon = daemon(&log, LONG_TIMEOUT);
    log.faults().refuse(2);
    let actual = daemon.publish(0, put_team("a")).await;
    assert_eq!(PublishOutcome::Accepted { revision: Revision(1) }, actual);
    assert_eq!(1, log.records(CONFIG_STREAM).len());
}

#[tokio::test]
async fn invalid_change_is_not_appended() {
    let log = LogStandin::start().await.unwrap();
    let change = Change::RemoveTeam { team: Team::try_from("nobody").unwrap() };
    let actual = daemon(&log, LONG_TIMEOUT).publish(0, change).await;
    assert!(matches!(actual, PublishOutcome::Invalid { .. }), "{actual:?}");
    assert_eq!(0, log.appends());
}

#[tokio::test]
async fn outage_appends_nothing_or_leaves_the_outcome_open() {
    let log = LogStandin::start().await.unwrap();
    let daemon = daemon(&log, SHORT_TIMEOUT);
    log.faults().refuse(u32::MAX);
    assert_eq!(PublishOutcome::Unavailable, daemon.publish(0, put_team("a")).await);
    assert_eq!(0, log.records(CONFIG_STREAM).len());
    log.faults().refuse(0);
    log.faults().set_down(true);
    assert_eq!(PublishOutcome::Unknown, daemon.publish(0, put_team("a")).await);
}
