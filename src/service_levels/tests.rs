use crate::burn;
use crate::client::CallerClient;
use crate::deployment::{DEMO_OPERATOR_KEY, Deployment, Example};
use crate::settings::check_document;
use spindle_operator::{AdminClient, ChangeRequest};
use spindle_policy::burn::{BurnReport, Indicator};
use spindle_policy::spend::BudgetStatus;
use spindle_standin::EngineModel;
use spindle_types::config::TeamSpec;
use spindle_types::{Change, Money, Team};
use std::time::Duration;

const POLL: Duration = Duration::from_millis(50);
const TOKENS: u32 = 12;

async fn report_of(client: &AdminClient, events: u64) -> BurnReport {
    loop {
        let report = client.burn().await.unwrap();
        if report.rows.iter().map(|row| row.events).sum::<u64>() >= events {
            return report;
        }
        tokio::time::sleep(POLL).await;
    }
}

#[tokio::test]
async fn requests_at_one_daemon_are_reported_by_another_to_those_who_may_see_them() {
    let deployment = Deployment::start(Example::Vendimia, 2, EngineModel::default()).await.unwrap();
    let caller = CallerClient::new("cava-escazu-key".to_owned());
    let address = deployment.daemons[0].caller_address();
    let mut stream = caller.chat(address, "sommelier-llm", "Hello", TOKENS).await.unwrap();
    stream.read_to_end().await.unwrap();
    let length = stream.usage().unwrap().completion_tokens;
    let admin = deployment.daemons[1].admin_address().unwrap();
    let client = |key: &str| AdminClient::new(admin, key.to_owned());
    let report = report_of(&client(DEMO_OPERATOR_KEY), u64::from(length)).await;
    let events =
        |indicator| report.rows.iter().find(|row| row.indicator == indicator).map(|row| row.events);
    assert_eq!(Some(1), events(Indicator::FirstToken));
    assert_eq!(Some(u64::from(length) - 1), events(Indicator::TokenInterval));
    let own = client("cava-escazu-key").burn().await.unwrap();
    let foreign = client("casa-limon-key").burn().await.unwrap();
    assert_eq!((2, 0), (own.rows.len(), foreign.rows.len()));
    let page = burn::page(&report).unwrap();
    assert_eq!(2, page.matches("<svg").count());
    assert!(!page.contains("src=") && !page.contains("href="), "the page needs nothing else");
}

#[tokio::test]
async fn team_over_its_budget_is_refused_and_others_are_not() {
    let deployment = Deployment::start(Example::Vendimia, 1, EngineModel::default()).await.unwrap();
    let daemon = &deployment.daemons[0];
    let admin = AdminClient::new(daemon.admin_address().unwrap(), DEMO_OPERATOR_KEY.to_owned());
    let intent = check_document(Example::Vendimia.intent()).unwrap();
    let plan = admin.plan(&intent).await.unwrap();
    let confirmed = admin.confirm(&plan.digest).await.unwrap();
    let team: Team = "cava-escazu".parse().unwrap();
    let spec =
        TeamSpec { hourly_budget: Some(Money(0)), ..deployment.configuration.teams[&team].clone() };
    let change = Change::PutTeam { team: team.clone(), spec };
    admin.change(&ChangeRequest { base: confirmed.revision, change }).await.unwrap();
    let address = daemon.caller_address();
    let ask = async |key: &str| {
        let caller = CallerClient::new(key.to_owned());
        let mut stream = caller.chat(address, "sommelier-llm", "Hello", TOKENS).await?;
        stream.read_to_end().await
    };
    ask("cava-escazu-key").await.unwrap();
    let mut over = daemon.shared().operator_views.over_budget.clone();
    over.wait_for(|over| over.contains(&team)).await.unwrap();
    let refused = ask("cava-escazu-key").await.unwrap_err().to_string();
    assert!(refused.contains("quota_exceeded") && refused.contains("not_run"), "{refused}");
    ask("casa-limon-key").await.unwrap();
    let report = admin.cost().await.unwrap();
    assert_eq!(BudgetStatus::Over, report.budget_status(&team, BudgetStatus::Within));
}
