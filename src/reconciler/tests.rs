use crate::context::LiveContext;
use crate::daemon::Daemon;
use crate::deployment::{DEMO_OPERATOR_KEY, Deployment, Example};
use crate::settings::check_document;
use crate::show;
use spindle_cloud::CloudInstance;
use spindle_engine::{Engine, HttpEngine};
use spindle_operator::{AdminClient, PlanView, StatusView};
use spindle_policy::proposal::Author;
use spindle_standin::EngineModel;
use spindle_types::Span;
use spindle_types::config::Market;
use std::collections::BTreeSet;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn start_and_plan() -> (Deployment, AdminClient, PlanView) {
    let mut deployment =
        Deployment::start(Example::Vendimia, 0, EngineModel::default()).await.unwrap();
    for index in 0..2 {
        let mut settings = deployment.settings(index).unwrap();
        settings.state.lease_term = Span::from_secs(2);
        settings.state.order_timeout = Span::from_millis(200);
        let context = LiveContext::new(&settings.platform);
        deployment.daemons.push(Daemon::start(context, settings).await.unwrap());
    }
    let revision = deployment.configuration.clone().into_changes().len() as u64;
    for daemon in &deployment.daemons {
        let mut config = daemon.shared().config.clone();
        config.wait_for(|config| config.revision.0 >= revision).await.unwrap();
    }
    let address = deployment.daemons[0].admin_address().unwrap();
    let ana = AdminClient::new(address, DEMO_OPERATOR_KEY.to_owned());
    let plan = ana.plan(&check_document(Example::Vendimia.intent()).unwrap()).await.unwrap();
    assert_eq!(0, ana.status().await.unwrap().running, "nothing runs before the confirmation");
    (deployment, ana, plan)
}

async fn status_when(ana: &AdminClient, met: impl Fn(&StatusView) -> bool) -> StatusView {
    loop {
        let status = ana.status().await.unwrap();
        if met(&status) {
            return status;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until every planned engine has loaded its version, which shows that the lease holder has
/// seen and ordered all of them.
async fn wait_for_versions(deployment: &Deployment, plan: &PlanView) {
    let expected = Some("v1".parse().unwrap());
    let (engine, planned) = (HttpEngine::new(), plan.plan.placements.iter());
    let planned = planned.filter(|p| p.placement.pool.as_str() == "sommelier-llm").count();
    loop {
        let mut ready = 0;
        for (instance, upstream) in deployment.upstreams("sommelier-llm") {
            if instance.as_str().starts_with("i-") {
                let load = engine.load(upstream.address()).await.unwrap();
                ready += usize::from(load.version == expected);
            }
        }
        if ready == planned {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn lost_answers_end_in_the_confirmed_plan() {
    let (deployment, ana, plan) = start_and_plan().await;
    deployment.platform.cloud_faults().lose_answers(2);
    ana.confirm(&plan.digest).await.unwrap();
    let status = status_when(&ana, |status| status.running == status.wanted).await;
    assert_eq!(plan.plan.cost.quiet, status.hourly_spend);
    let tokens: BTreeSet<_> =
        deployment.platform.running().into_iter().map(|running| running.start.token).collect();
    assert_eq!(usize::try_from(status.running).unwrap(), tokens.len());
}

#[tokio::test]
async fn session_from_intent_over_a_reclaim_wave_to_a_new_proposal() {
    let (deployment, ana, plan) = start_and_plan().await;
    let mut session = vec![show::plan(&plan)];
    ana.confirm(&plan.digest).await.unwrap();
    let status = status_when(&ana, |status| status.running == status.wanted).await;
    session.push(show::status(&status));
    wait_for_versions(&deployment, &plan).await;
    // Waits for the tick after the last order, so that the lease holder has observed all instances
    // as running before the wave of reclaims.
    tokio::time::sleep(POLL_INTERVAL * 10).await;
    let reclaimable = |running: &CloudInstance| running.start.market == Market::Reclaimable;
    let mut prices = Example::Vendimia.offers().unwrap();
    for offer in prices.iter_mut().filter(|offer| offer.market == Market::Reclaimable) {
        offer.available = Some(0);
    }
    deployment.platform.set_offers(prices);
    for running in deployment.platform.running().into_iter().filter(reclaimable) {
        deployment.platform.fail(&running.instance);
    }
    status_when(&ana, |status| !status.open_plans.is_empty()).await;
    tokio::time::sleep(POLL_INTERVAL * 10).await;
    let status = ana.status().await.unwrap();
    assert_eq!(1, status.open_plans.len(), "one wave, one proposal");
    assert_eq!(Some(&plan.digest), status.plan.as_ref(), "the confirmed plan keeps running");
    let proposal = ana.show(&status.open_plans[0]).await.unwrap();
    assert!(matches!(proposal.author, Author::System { .. }));
    session.push(show::plan(&proposal));
    let mut text = session.join("\n");
    for (digest, name) in [(&plan.digest, "FIRST"), (&proposal.digest, "SECOND")] {
        text = text.replace(digest.as_str(), name).replace(&digest[..12], name);
    }
    insta::assert_snapshot!(text);
}

#[tokio::test]
async fn every_engine_gets_its_version_from_a_saturated_weight_store() {
    let (deployment, ana, plan) = start_and_plan().await;
    ana.confirm(&plan.digest).await.unwrap();
    status_when(&ana, |status| status.running == status.wanted).await;
    wait_for_versions(&deployment, &plan).await;
}
