//! State that daemons share over real sockets: configuration and membership, also during outages of
//! the log.

use bronzespindle::client::CallerClient;
use bronzespindle::context::LiveContext;
use bronzespindle::daemon::Daemon;
use bronzespindle::deployment::{Deployment, Example};
use bronzespindle::publisher::PublishOutcome;
use bronzespindle::settings::TlsSettings;
use spindle_daemon::TlsFiles;
use spindle_policy::freshness::Freshness;
use spindle_policy::membership::MemberStatus;
use spindle_standin::EngineModel;
use spindle_standin::authority::AuthorityStandin;
use spindle_types::config::TeamSpec;
use spindle_types::{Change, Instance, Revision};
use std::time::Duration;

const DAEMONS: usize = 6;
const POLL: Duration = Duration::from_millis(20);

async fn deployment(daemons: usize) -> Deployment {
    Deployment::start(Example::Vendimia, daemons, EngineModel::default()).await.unwrap()
}

async fn wait_until(what: &str, check: impl Fn() -> bool) {
    let waiting = async {
        while !check() {
            tokio::time::sleep(POLL).await;
        }
    };
    let reached = tokio::time::timeout(Duration::from_secs(30), waiting).await;
    assert!(reached.is_ok(), "timed out waiting until {what}");
}

async fn publish(deployment: &Deployment, daemon: usize, team: &str) -> Revision {
    let shared = deployment.daemons[daemon].shared();
    let base = shared.config.borrow().revision;
    let change = Change::PutTeam { team: team.parse().unwrap(), spec: TeamSpec::default() };
    match shared.publisher.publish(base, "ana".parse().unwrap(), change).await {
        PublishOutcome::Accepted { revision } => revision,
        outcome => panic!("not accepted: {outcome:?}"),
    }
}

fn status_at(deployment: &Deployment, daemon: usize, instance: &Instance) -> Option<MemberStatus> {
    let members = deployment.daemons[daemon].shared().members.borrow().clone();
    let member = members.iter().find(|member| member.instance == *instance);
    member.map(|member| member.status)
}

#[tokio::test]
async fn publisher_learns_that_a_change_is_in_force_everywhere() {
    let deployment = deployment(DAEMONS).await;
    let revision = publish(&deployment, 2, "new-team").await;
    let shared = deployment.daemons[2].shared();
    shared.in_force.clone().wait_for(|reached| *reached >= revision).await.unwrap();
    for daemon in &deployment.daemons {
        assert!(daemon.shared().config.borrow().revision >= revision);
    }
}

#[tokio::test]
async fn killed_daemon_is_removed_from_address_replies_and_its_replacement_joins() {
    let mut deployment = deployment(DAEMONS).await;
    let victim = deployment.daemons.remove(4);
    let instance = victim.shared().settings.identity.instance.clone();
    let former = victim.shared().incarnation;
    drop(victim);
    wait_until("no daemon considers the killed one live", || {
        (0..5).all(|daemon| status_at(&deployment, daemon, &instance) != Some(MemberStatus::Live))
    })
    .await;
    let survivor = deployment.daemons[0].caller_address();
    let answer = CallerClient::new("cava-escazu-key".to_owned()).addresses(survivor).await.unwrap();
    assert!(answer.addresses.iter().all(|address| address.incarnation != former));
    deployment.start_daemon(4).await.unwrap();
    wait_until("every daemon considers the restarted one live", || {
        (0..5).all(|daemon| status_at(&deployment, daemon, &instance) == Some(MemberStatus::Live))
    })
    .await;
}

#[tokio::test]
async fn daemon_started_in_a_log_outage_gets_the_configuration_from_its_peers() {
    let mut deployment = deployment(3).await;
    let revision = publish(&deployment, 0, "new-team").await;
    deployment.log.faults().set_down(true);
    deployment.start_daemon(3).await.unwrap();
    let mut late = deployment.daemons[3].shared().config.clone();
    late.wait_for(|config| config.revision >= revision).await.unwrap();
    wait_until("the late daemon serves", || {
        deployment.daemons[3].shared().freshness() != Freshness::CutOff
    })
    .await;
    deployment.log.faults().set_down(false);
    let next = publish(&deployment, 3, "later-team").await;
    let mut first = deployment.daemons[0].shared().config.clone();
    first.wait_for(|config| config.revision >= next).await.unwrap();
}

#[tokio::test]
async fn isolated_daemon_without_the_log_accepts_no_new_work() {
    let mut deployment = deployment(3).await;
    deployment.log.faults().set_down(true);
    deployment.daemons.truncate(1);
    let shared = deployment.daemons[0].shared().clone();
    wait_until("the daemon considers itself cut off", || shared.freshness() == Freshness::CutOff)
        .await;
    let address = deployment.daemons[0].caller_address();
    let caller = CallerClient::new("cava-escazu-key".to_owned());
    let refused = caller.chat(address, "sommelier-llm", "Hello", 4).await;
    let text = format!("{:?}", refused.err());
    assert!(text.contains("stale"), "{text}");
    let answer = caller.addresses(address).await.unwrap();
    assert!(answer.addresses.iter().all(|entry| entry.incarnation != shared.incarnation));
    deployment.log.faults().set_down(false);
    wait_until("the daemon serves again", || shared.freshness() == Freshness::Fresh).await;
    assert!(caller.chat(address, "sommelier-llm", "Hello", 4).await.is_ok());
}

#[tokio::test]
async fn planned_stop_is_announced_before_it_takes_effect() {
    let mut deployment = deployment(3).await;
    let leaving = deployment.daemons.remove(1);
    let instance = leaving.shared().settings.identity.instance.clone();
    let stopping = tokio::spawn(leaving.stop());
    wait_until("the others consider it leaving", || {
        (0..2)
            .all(|daemon| status_at(&deployment, daemon, &instance) == Some(MemberStatus::Leaving))
    })
    .await;
    stopping.await.unwrap();
}

#[tokio::test]
async fn daemons_with_certificates_connect_and_one_without_is_excluded() {
    let mut deployment = deployment(0).await;
    let authority = AuthorityStandin::new().unwrap();
    let directory = tempfile::tempdir().unwrap();
    let files = authority.write(directory.path(), "127.0.0.1", &authority).unwrap();
    for index in 0..3 {
        let mut settings = deployment.settings(index).unwrap();
        if index < 2 {
            let TlsFiles { certificate, key, authority } = files.clone();
            settings.peer.tls = Some(TlsSettings { certificate, key, authority });
        }
        let context = LiveContext::new(&settings.platform);
        deployment.daemons.push(Daemon::start(context, settings).await.unwrap());
    }
    let known = |daemon: usize| {
        let members = deployment.daemons[daemon].shared().members.borrow().clone();
        let connected = members.iter().filter(|member| member.incarnation.is_some());
        connected.map(|member| member.instance.to_string()).collect::<Vec<_>>()
    };
    wait_until("the daemons with certificates know each other", || known(0).len() == 2).await;
    wait_until("the daemon without a certificate sees the others in the instance list", || {
        deployment.daemons[2].shared().members.borrow().len() == 3
    })
    .await;
    assert_eq!(vec!["entry-1", "entry-2"], known(0));
    assert_eq!(vec!["entry-3"], known(2));
}
