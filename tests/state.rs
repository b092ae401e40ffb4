//! State between daemons over real sockets: configuration, membership, outages of the log.

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

async fn until(what: &str, check: impl Fn() -> bool) {
    let waiting = async {
        while !check() {
            tokio::time::sleep(POLL).await;
        }
    };
    let reached = tokio::time::timeout(Duration::from_secs(30), waiting).await;
    assert!(reached.is_ok(), "not reached: {what}");
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
async fn change_is_known_to_be_in_force_everywhere() {
    let deployment = deployment(DAEMONS).await;
    let revision = publish(&deployment, 2, "new-team").await;
    let shared = deployment.daemons[2].shared();
    shared.in_force.clone().wait_for(|reached| *reached >= revision).await.unwrap();
    for daemon in &deployment.daemons {
        assert!(daemon.shared().config.borrow().revision >= revision);
    }
}

#[tokio::test]
async fn killed_daemon_leaves_the_address_answers_and_its_successor_joins() {
    let mut deployment = deployment(DAEMONS).await;
    let victim = deployment.daemons.remove(4);
    let instance = victim.shared().settings.identity.instance.clone();
    let former = victim.shared().incarnation;
    drop(victim);
    until("every daemon has the killed one out of use", || {
        (0..5).all(|daemon| status_at(&deployment, daemon, &instance) != Some(MemberStatus::Live))
    })
    .await;
    let asked = deployment.daemons[0].caller_address();
    let answer = CallerClient::new("cava-escazu-key".to_owned()).addresses(asked).await.unwrap();
    assert!(answer.addresses.iter().all(|address| address.incarnation != former));
    deployment.start_daemon(4).await.unwrap();
    until("every daemon has the restarted one in use", || {
        (0..5).all(|daemon| status_at(&deployment, daemon, &instance) == Some(MemberStatus::Live))
    })
    .await;
}

#[tokio::test]
async fn daemon_starts_and_changes_spread_while_the_log_is_down() {
    let mut deployment = deployment(3).await;
    let revision = publish(&deployment, 0, "new-team").await;
    deployment.log.faults().set_down(true);
    deployment.start_daemon(3).await.unwrap();
    let mut late = deployment.daemons[3].shared().config.clone();
    late.wait_for(|config| config.revision >= revision).await.unwrap();
    until("the late daemon serves", || {
        deployment.daemons[3].shared().freshness() != Freshness::CutOff
    })
    .await;
    deployment.log.faults().set_down(false);
    let next = publish(&deployment, 3, "later-team").await;
    let mut first = deployment.daemons[0].shared().config.clone();
    first.wait_for(|config| config.revision >= next).await.unwrap();
}

#[tokio::test]
async fn daemon_that_is_cut_off_alone_takes_no_new_work() {
    let mut deployment = deployment(3).await;
    deployment.log.faults().set_down(true);
    deployment.daemons.truncate(1);
    let shared = deployment.daemons[0].shared().clone();
    until("the daemon counts as cut off", || shared.freshness() == Freshness::CutOff).await;
    let address = deployment.daemons[0].caller_address();
    let caller = CallerClient::new("cava-escazu-key".to_owned());
    let refused = caller.chat(address, "sommelier-llm", "Hello", 4).await;
    let text = format!("{:?}", refused.err());
    assert!(text.contains("stale"), "{text}");
    let answer = caller.addresses(address).await.unwrap();
    assert!(answer.addresses.iter().all(|entry| entry.incarnation != shared.incarnation));
    deployment.log.faults().set_down(false);
    until("the daemon serves again", || shared.freshness() == Freshness::Fresh).await;
    assert!(caller.chat(address, "sommelier-llm", "Hello", 4).await.is_ok());
}

#[tokio::test]
async fn planned_stop_is_known_before_it_takes_effect() {
    let mut deployment = deployment(3).await;
    let leaving = deployment.daemons.remove(1);
    let instance = leaving.shared().settings.identity.instance.clone();
    let stopping = tokio::spawn(leaving.stop());
    until("the others have it as leaving", || {
        (0..2)
            .all(|daemon| status_at(&deployment, daemon, &instance) == Some(MemberStatus::Leaving))
    })
    .await;
    stopping.await.unwrap();
}

#[tokio::test]
async fn daemons_with_keys_meet_and_one_without_stays_outside() {
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
        let met = members.iter().filter(|member| member.incarnation.is_some());
        met.map(|member| member.instance.to_string()).collect::<Vec<_>>()
    };
    until("the daemons with keys know each other", || known(0).len() == 2).await;
    until("the daemon without keys sees the others in the list", || {
        deployment.daemons[2].shared().members.borrow().len() == 3
    })
    .await;
    assert_eq!(vec!["entry-1", "entry-2"], known(0));
    assert_eq!(vec!["entry-3"], known(2));
}
