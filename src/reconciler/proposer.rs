//! Proposes a new plan when the confirmed one no longer fits. The confirmed plan stays in force
//! until an operator confirms the proposal.

use crate::context::Context;
use crate::daemon::Shared;
use crate::plans;
use spindle_policy::plan::{PlanInput, ReclaimRates, cheapest_plan};
use spindle_policy::proposal::{Author, PlanRecord, PlanState};
use spindle_policy::signal::{Observation, Signal, grown_intent};
use spindle_types::{Clock, Configuration};

/// Publishes a plan for the observed state of the deployment. Does nothing if a proposal of the
/// system is already open, or if the plan changes no placements and doesn't cost more.
pub(super) async fn propose<C: Context>(
    shared: &Shared<C>,
    config: &Configuration,
    observation: &Observation<'_>,
    reclaims: ReclaimRates,
    signals: &[Signal],
) {
    let reason = signals.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ");
    log::info!("event=signal reason={reason:?}");
    if has_open_proposal(shared, config) {
        return;
    }
    let Some(intent) = grown_intent(observation) else { return };
    let (now, offers) = (shared.context.clock().utc(), observation.offers.to_vec());
    let (base, in_force) = (config.revision, observation.plan.clone());
    let solver = tokio::task::spawn_blocking(move || {
        let in_force = Some(&in_force);
        let input =
            PlanInput { intent: &intent, offers: &offers, reclaims: &reclaims, base, in_force };
        cheapest_plan(now, &input)
    });
    let plan = match solver.await {
        Ok(Ok(plan)) => plan,
        Ok(Err(error)) => {
            log::warn!("event=no_proposal reason={reason:?} error={:?}", error.to_string());
            return;
        }
        Err(error) => {
            log::error!("event=solver_failed error={:?}", error.to_string());
            return;
        }
    };
    if plan.differences.is_empty() && plan.cost.expected <= observation.plan.hourly_cost {
        return;
    }
    let digest = plan.digest();
    let record = PlanRecord::Published { author: Author::System { reason }, plan: Box::new(plan) };
    match plans::append(&shared.context, &record).await {
        Ok(()) => log::info!("event=proposal digest={digest}"),
        Err(error) => log::warn!("event=proposal_failed error={:?}", error.to_string()),
    }
}

fn has_open_proposal<C>(shared: &Shared<C>, config: &Configuration) -> bool {
    let book = shared.operator_views.plans.borrow();
    book.plans().into_iter().any(|(digest, entry)| {
        matches!(entry.author, Author::System { .. })
            && entry.state(digest, config) == PlanState::Open
    })
}
