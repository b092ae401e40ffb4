use crate::deployment::{DEMO_OPERATOR_KEY, Deployment, Example};
use crate::settings::check_document;
use crate::show;
use spindle_operator::{AdminClient, AdminError, AdminRefusal, ChangeRequest};
use spindle_policy::proposal::ConfirmationError;
use spindle_standin::EngineModel;
use spindle_types::config::{Change, TeamSpec};
use spindle_types::{Intent, Money, Revision, Team};

async fn deployment(daemons: usize) -> Deployment {
    Deployment::start(Example::Vendimia, daemons, EngineModel::default()).await.unwrap()
}

fn client(deployment: &Deployment, daemon: usize, key: &str) -> AdminClient {
    let address = deployment.daemons[daemon].admin_address().unwrap();
    AdminClient::new(address, key.to_owned())
}

fn intent() -> Intent {
    check_document(Example::Vendimia.intent()).unwrap()
}

fn refusal<T: std::fmt::Debug>(result: Result<T, AdminError>) -> AdminRefusal {
    match result {
        Err(AdminError::Refused(refusal)) => refusal,
        other => panic!("no refusal: {other:?}"),
    }
}

/// A plan that is made at one daemon can be confirmed at another. A second open plan is refused after
/// that, and the refusal names the plan that won.
#[tokio::test]
async fn plan_confirmed_at_another_daemon_supersedes_a_competing_plan() {
    let deployment = deployment(2).await;
    let (ana, bela) =
        (client(&deployment, 0, DEMO_OPERATOR_KEY), client(&deployment, 1, DEMO_OPERATOR_KEY));
    let first = ana.plan(&intent()).await.unwrap();
    let other_intent = Intent { hourly_budget: Money::from_units(30.0), ..intent() };
    let second = ana.plan(&other_intent).await.unwrap();
    let before = ana.status().await.unwrap();
    assert_eq!(None, before.plan);
    while bela.show(&second.digest).await.is_err() {
        tokio::task::yield_now().await;
    }
    let confirmed = bela.confirm(&first.digest).await.unwrap();
    assert!(confirmed.revision > before.revision);
    let actual = refusal(bela.confirm(&second.digest).await);
    let AdminRefusal::Stale { stale: ConfirmationError::Superseded { winner, digest, .. } } =
        actual
    else {
        panic!("not superseded: {actual:?}");
    };
    assert_eq!((confirmed.revision, &first.digest), (winner, &digest));
    assert_eq!(Some(first.digest), bela.status().await.unwrap().plan);
}

/// A plan can still be confirmed after an unrelated change. Changed prices make it stale, as its cost
/// is no longer the one that the operator saw.
#[tokio::test]
async fn confirmation_succeeds_after_an_unrelated_change_but_not_after_a_price_change() {
    let deployment = deployment(1).await;
    let ana = client(&deployment, 0, DEMO_OPERATOR_KEY);
    let plan = ana.plan(&intent()).await.unwrap();
    let change = ChangeRequest {
        base: plan.plan.base,
        change: Change::PutTeam {
            team: Team::try_from("new-team").unwrap(),
            spec: TeamSpec::default(),
        },
    };
    ana.change(&change).await.unwrap();
    let stale = refusal(ana.change(&change).await);
    assert_eq!(AdminRefusal::Conflict { winner: plan.plan.base.next() }, stale);
    let prices = Example::Vendimia.offers().unwrap();
    let mut doubled = prices.clone();
    doubled.iter_mut().for_each(|offer| offer.hourly_price = offer.hourly_price.times(2));
    deployment.platform.set_offers(doubled);
    let actual = refusal(ana.confirm(&plan.digest).await);
    assert!(
        matches!(actual, AdminRefusal::Stale { stale: ConfirmationError::Prices { .. } }),
        "{actual:?}"
    );
    deployment.platform.set_offers(prices);
    ana.confirm(&plan.digest).await.unwrap();
}

/// A confirmation during an outage of the log fails and leaves no record. It succeeds once the log is
/// back.
#[tokio::test]
async fn confirmation_in_a_log_outage_has_no_effect() {
    let mut deployment = deployment(1).await;
    let mut settings = deployment.settings(1).unwrap();
    settings.state.publish_timeout = spindle_types::Span::from_millis(300);
    let context = crate::context::LiveContext::new(&settings.platform);
    deployment.daemons.push(crate::daemon::Daemon::start(context, settings).await.unwrap());
    let ana = client(&deployment, 1, DEMO_OPERATOR_KEY);
    let mut config = deployment.daemons[1].shared().config.clone();
    config.wait_for(|config| config.revision > Revision(0)).await.unwrap();
    let plan = ana.plan(&intent()).await.unwrap();
    let before = deployment.log.records(crate::config_follower::CONFIG_STREAM).len();
    deployment.log.faults().set_down(true);
    let actual = refusal(ana.confirm(&plan.digest).await);
    assert!(
        matches!(actual, AdminRefusal::Unavailable { .. } | AdminRefusal::Unknown),
        "{actual:?}"
    );
    deployment.log.faults().set_down(false);
    assert_eq!(before, deployment.log.records(crate::config_follower::CONFIG_STREAM).len());
    assert_eq!(None, ana.status().await.unwrap().plan);
    ana.confirm(&plan.digest).await.unwrap();
}

#[tokio::test]
async fn bearer_key_determines_permissions() {
    let deployment = deployment(1).await;
    let unknown_key = client(&deployment, 0, "no-such-key");
    assert_eq!(AdminRefusal::Unauthorized, refusal(unknown_key.status().await));
    let team = client(&deployment, 0, "cava-escazu-key");
    team.status().await.unwrap();
    assert_eq!(AdminRefusal::Forbidden, refusal(team.plan(&intent()).await));
    let ana = client(&deployment, 0, DEMO_OPERATOR_KEY);
    let plan = ana.plan(&intent()).await.unwrap();
    ana.reject(&plan.digest).await.unwrap();
    loop {
        let actual = refusal(ana.confirm("0000").await);
        assert_eq!(AdminRefusal::NotFound, actual);
        let shown = ana.show(&plan.digest).await.unwrap();
        if shown.state == spindle_policy::proposal::PlanState::Rejected {
            break;
        }
    }
    let actual = refusal(ana.confirm(&plan.digest).await);
    assert!(matches!(actual, AdminRefusal::Stale { stale: ConfirmationError::Rejected { .. } }));
}

#[tokio::test]
async fn plan_is_formatted_for_operators() {
    let deployment = deployment(1).await;
    let mut view = client(&deployment, 0, DEMO_OPERATOR_KEY).plan(&intent()).await.unwrap();
    view.digest = "DIGEST".to_owned();
    insta::assert_snapshot!(show::plan(&view));
}
