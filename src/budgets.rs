//! Shares through the log which teams have used up their budgets. The holder of the lease publishes
//! it; every daemon follows it.
//!
//! Does nothing for teams without a budget.

use crate::config_follower::stream_name;
use crate::context::Context;
use serde::{Deserialize, Serialize};
use spindle_log::{Log, ReadError};
use spindle_policy::spend::{BudgetStatus, CostReport};
use spindle_types::{Clock, Money, Offset, Team, UtcInstant};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Name of the log stream that holds the budget status of teams.
pub const BUDGET_STREAM: &str = "budgets";

/// How long a read of the log waits for the first record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Pause after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Watches the teams that are over their budgets.
pub type BudgetWatch = watch::Receiver<Arc<BTreeSet<Team>>>;

/// A record of the budget stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct BudgetRecord {
    team: Team,
    standing: BudgetStatus,
    at: UtcInstant,
    hourly_spend: Money,
}

/// Publishes each budget status that has changed. Only the holder of the lease may call it.
pub async fn publish<C: Context>(context: &C, known: &BudgetWatch, report: &CostReport) {
    let over = Arc::clone(&known.borrow());
    let teams: BTreeSet<&Team> = report.budgets.keys().chain(over.iter()).collect();
    for team in teams {
        let before = if over.contains(team) { BudgetStatus::Over } else { BudgetStatus::Within };
        let standing = report.budget_status(team, before);
        if standing == before {
            continue;
        }
        let hourly_spend = report.team_spend(team);
        let at = context.clock().utc();
        let record = BudgetRecord { team: team.clone(), standing, at, hourly_spend };
        log::info!("event=budget team={team} standing={standing} spend={hourly_spend}");
        if let Err(error) = context.log().append_value(&stream_name(BUDGET_STREAM), &record).await {
            // The next call publishes it again.
            log::warn!("event=budget_append_failed error={:?}", error.to_string());
        }
    }
}

/// Starts the task that follows the stream.
pub fn start<C: Context>(context: C) -> (BudgetWatch, JoinHandle<()>) {
    let (sender, receiver) = watch::channel(Arc::default());
    let task = tokio::spawn(async move {
        let mut next = Offset(1);
        while !sender.is_closed() {
            if let Err(error) = read(&context, &sender, &mut next).await {
                log::warn!("event=budgets_read_failed error={:?}", error.to_string());
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    });
    (receiver, task)
}

async fn read<C: Context>(
    context: &C,
    sender: &watch::Sender<Arc<BTreeSet<Team>>>,
    next: &mut Offset,
) -> Result<(), ReadError> {
    let batch = context.log().read(&stream_name(BUDGET_STREAM), *next, READ_WAIT).await?;
    for record in batch.records {
        *next = record.offset.next();
        let Ok(body) = serde_json::from_str::<BudgetRecord>(record.body.get()) else {
            log::warn!("event=budget_invalid offset={}", record.offset);
            continue;
        };
        sender.send_modify(|over| {
            let over = Arc::make_mut(over);
            match body.standing {
                BudgetStatus::Over => over.insert(body.team),
                BudgetStatus::Within => over.remove(&body.team),
            };
        });
    }
    Ok(())
}
