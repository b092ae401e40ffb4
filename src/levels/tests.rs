use crate::burn;
use crate::client::CallerClient;
use crate::deployment::{DEMO_OPERATOR_KEY, Deployment, Example};
use spindle_operator::AdminClient;
use spindle_policy::burn::{BurnReport, Indicator};
use spindle_standin::EngineModel;
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
    stream.rest().await.unwrap();
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
