use super::*;
use crate::config_follower::tests::context;
use crate::context::LiveContext;
use spindle_http::DrainTrigger;
use spindle_standin::LogStandin;

fn settings() -> StateSettings {
    StateSettings {
        lease_term: Span::from_millis(1_500),
        order_timeout: Span::from_millis(100),
        ..StateSettings::default()
    }
}

struct Holder {
    context: LiveContext,
    lease: Lease,
    task: JoinHandle<()>,
    leaving: DrainTrigger,
}

fn holder(log: &LogStandin, own: u64) -> Holder {
    let (context, leaving) = (context(log), DrainTrigger::new());
    let (_, log_access) = watch::channel(LogAccess::Direct);
    let (lease, task) =
        start(context.clone(), &settings(), Incarnation(own), leaving.signal(), log_access);
    Holder { context, lease, task, leaving }
}

impl Holder {
    async fn wait(&self) -> Fencing {
        let mut watch = self.lease.watch();
        let held = watch.wait_for(Option::is_some).await.unwrap();
        held.unwrap().fencing
    }

    fn fencing(&self) -> Option<Fencing> {
        self.lease.fencing(self.context.clock().now())
    }
}

#[tokio::test]
async fn released_lease_is_taken_with_a_higher_fencing_token() {
    let log = LogStandin::start().await.unwrap();
    let first = holder(&log, 1);
    let token = first.wait().await;
    let second = holder(&log, 2);
    first.leaving.start();
    first.task.await.unwrap();
    assert_eq!(None, first.lease.fencing(first.context.clock().now()));
    assert!(second.wait().await > token);
}

#[tokio::test]
async fn lease_of_killed_holder_is_taken_only_after_its_permission_has_expired() {
    let log = LogStandin::start().await.unwrap();
    let first = holder(&log, 1);
    first.wait().await;
    let second = holder(&log, 2);
    first.task.abort();
    second.wait().await;
    assert_eq!(None, first.fencing());
    assert!(second.fencing().is_some());
}

#[tokio::test]
async fn log_outage_ends_the_permission_and_leaves_one_holder_afterwards() {
    let log = LogStandin::start().await.unwrap();
    let holders = [holder(&log, 1), holder(&log, 2)];
    tokio::select! {
        _ = holders[0].wait() => {}
        _ = holders[1].wait() => {}
    }
    log.faults().set_down(true);
    while holders.iter().any(|holder| holder.fencing().is_some()) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    log.faults().set_down(false);
    while !holders.iter().any(|holder| holder.fencing().is_some()) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(1, holders.iter().filter(|holder| holder.fencing().is_some()).count());
}
