//! The administration API: plans, their confirmation, configuration changes, and reports.
//!
//! It is off if the settings contain no address for it. Operators may use all of it. A team may
//! read the status, and the rows about itself in the reports on service levels and spend.

use crate::context::Context;
use crate::daemon::Shared;
use crate::plans;
use crate::publisher::PublishOutcome;
use crate::reconciler::SPEND_WINDOW;
use eyre::WrapErr;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use spindle_caller::bearer_key;
use spindle_cloud::Cloud;
use spindle_http::{Body, Drain, Handler, ServerLimits, bind, json, read_json, serve};
use spindle_operator::{AdminRefusal, ChangeRequest, Confirmed, PlanSummary, PlanView, StatusView};
use spindle_policy::burn::BurnReport;
use spindle_policy::plan::{PlanError, PlanInput, ReclaimRates, cheapest_plan};
use spindle_policy::proposal::{Author, PlanEntry, PlanRecord, PlanState, check_confirmation};
use spindle_policy::reconcile::{InstanceKind, hourly_spend};
use spindle_policy::spend::{CostInput, CostReport, cost_report};
use spindle_types::config::KeyHash;
use spindle_types::{
    Change, Clock, Configuration, Intent, Operator, PricedOffer, Problems, Revision, Team,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The maximum size of a request body, in bytes.
const REQUEST_MAX_BYTES: usize = 1024 * 1024;

/// The timeout for the arrival of a whole request body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of open connections.
const CONNECTIONS_MAX: usize = 64;

/// The number of attempts to publish a confirmation. After a conflict with another change, the
/// confirmation is checked again and published on top of the newest revision, as long as that
/// revision left the plan in force unchanged.
const CONFIRM_ATTEMPTS: u32 = 8;

/// How long to wait until this daemon has read an appended plan or a newer revision from the log.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles requests to the administration API of one daemon.
#[derive(Debug)]
pub struct AdminHandler<C>(pub Arc<Shared<C>>);

impl<C> Clone for AdminHandler<C> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

/// The owner of the key with which a request is authenticated.
enum Principal {
    Operator(Operator),
    Team(Team),
}

/// Starts the administration API if the settings contain an address, and returns the address to
/// which it is bound.
///
/// # Errors
///
/// The address can't be bound.
pub async fn start<C: Context>(
    admin: AdminHandler<C>,
    drain: Drain,
) -> eyre::Result<Option<SocketAddr>> {
    let Some(listen) = admin.0.settings.operator.listen else {
        return Ok(None);
    };
    let bound = bind(listen).await.wrap_err_with(|| format!("operator.listen {listen}"))?;
    let limits = ServerLimits { connections: CONNECTIONS_MAX, ..ServerLimits::default() };
    tokio::spawn(serve(bound.0, admin, limits, drain));
    Ok(Some(bound.1))
}

impl<C: Context> Handler for AdminHandler<C> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        match self.route(request).await {
            Ok(response) => response,
            Err(refusal) => json(refusal.status(), &refusal),
        }
    }
}

impl<C: Context> AdminHandler<C> {
    /// Authenticates a request and calls the function for its method and path.
    async fn route(&self, request: Request<Incoming>) -> Result<Response<Body>, AdminRefusal> {
        let principal = self.principal(&request)?;
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        if (request.method(), segments.as_slice()) == (&Method::GET, &["v1", "status"]) {
            return Ok(ok_json(&self.status().await?));
        }
        if (request.method(), segments.as_slice()) == (&Method::GET, &["v1", "burn"]) {
            return Ok(ok_json(&self.burn(&principal)));
        }
        if (request.method(), segments.as_slice()) == (&Method::GET, &["v1", "cost"]) {
            return Ok(ok_json(&self.cost(&principal).await?));
        }
        let operator = match principal {
            Principal::Operator(operator) => operator,
            Principal::Team(team) => {
                log::info!("event=admin_forbidden team={team} path={path:?}");
                return Err(AdminRefusal::Forbidden);
            }
        };
        match (request.method(), segments.as_slice()) {
            (&Method::GET, ["v1", "plans"]) => Ok(ok_json(&self.plans())),
            (&Method::GET, ["v1", "plans", digest]) => Ok(ok_json(&self.show(digest)?)),
            (&Method::POST, ["v1", "plans"]) => {
                let intent = read(request).await?;
                Ok(json(StatusCode::CREATED, &self.plan(operator, intent).await?))
            }
            (&Method::POST, ["v1", "plans", digest, "confirm"]) => {
                Ok(ok_json(&self.confirm(operator, digest).await?))
            }
            (&Method::POST, ["v1", "plans", digest, "reject"]) => {
                self.reject(operator, digest).await?;
                Ok(ok_json(&()))
            }
            (&Method::POST, ["v1", "changes"]) => {
                let change = read(request).await?;
                Ok(ok_json(&self.change(operator, change).await?))
            }
            _ => Err(AdminRefusal::NotFound),
        }
    }

    /// Identifies the operator or team from the bearer key of a request.
    fn principal(&self, request: &Request<Incoming>) -> Result<Principal, AdminRefusal> {
        let key = bearer_key(request.headers()).ok_or(AdminRefusal::Unauthorized)?;
        let hash = KeyHash::of(key);
        if let Some(operator) = self.0.settings.operator.operator_by_key(&hash) {
            return Ok(Principal::Operator(operator.clone()));
        }
        let config = self.0.config.borrow();
        let (team, _) = config.team_by_key(&hash).ok_or(AdminRefusal::Unauthorized)?;
        Ok(Principal::Team(team.clone()))
    }

    /// The report on service levels. A team gets only its own rows.
    fn burn(&self, principal: &Principal) -> BurnReport {
        let book = Arc::clone(&self.0.operator_views.levels.error_budgets.borrow());
        let mut report = book.report(self.0.context.clock().utc());
        if let Principal::Team(team) = principal {
            report.rows.retain(|row| row.team == *team);
        }
        report
    }

    /// The report on spend. A team gets only its own spend and budget.
    async fn cost(&self, principal: &Principal) -> Result<CostReport, AdminRefusal> {
        let (offers, running) = (self.offers().await?, self.running().await?);
        let now = self.0.context.clock().utc();
        let cells = self.0.operator_views.levels.error_budgets.borrow().totals(now, SPEND_WINDOW);
        let config = Arc::clone(&self.0.config.borrow());
        let input =
            CostInput { config: &config, running: &running, offers: &offers, cells: &cells };
        let mut report = cost_report(now, &input);
        if let Principal::Team(team) = principal {
            report.teams.retain(|cost| cost.team == *team);
            report.budgets.retain(|name, _| name == team);
            report.rows.clear();
        }
        Ok(report)
    }

    /// The kinds of all running instances, one entry per instance.
    async fn running(&self) -> Result<Vec<InstanceKind>, AdminRefusal> {
        let running = self.0.context.cloud().running().await;
        let running = running.map_err(|error| unavailable(format!("cloud: {error}")))?.running;
        let kinds = running.into_iter().map(|running| InstanceKind {
            pool: running.start.pool,
            data_centre: running.start.data_centre,
            class: running.start.class,
            market: running.start.market,
        });
        Ok(kinds.collect())
    }

    /// The cloud's offers with their current prices.
    async fn offers(&self) -> Result<Vec<PricedOffer>, AdminRefusal> {
        let offers = self.0.context.cloud().offers().await;
        offers.map_err(|error| unavailable(format!("cloud: {error}")))
    }

    /// Computes the cheapest plan for an intent and stores it in the log as an open plan.
    async fn plan(&self, operator: Operator, intent: Intent) -> Result<PlanView, AdminRefusal> {
        let problems = intent.check();
        if !problems.is_empty() {
            return Err(AdminRefusal::Invalid { problems });
        }
        let offers = self.offers().await?;
        let config = Arc::clone(&self.0.config.borrow());
        let now = self.0.context.clock().utc();
        let solving = tokio::task::spawn_blocking(move || {
            let reclaims = ReclaimRates::default();
            let input = PlanInput {
                intent: &intent,
                offers: &offers,
                reclaims: &reclaims,
                base: config.revision,
                in_force: config.plan.as_ref(),
            };
            cheapest_plan(now, &input)
        });
        let plan = match solving.await {
            Ok(Ok(plan)) => plan,
            Ok(Err(PlanError::Infeasible(binding))) => {
                return Err(AdminRefusal::Infeasible { binding });
            }
            Ok(Err(PlanError::Solver(text))) => return Err(unavailable(text)),
            Err(error) => return Err(unavailable(error.to_string())),
        };
        let author = Author::Operator { operator };
        let digest = plan.digest();
        log::info!("event=plan_made digest={digest} cost={}", plan.cost.expected);
        let record = PlanRecord::Published { author, plan: Box::new(plan) };
        self.append(&record).await?;
        self.wait_for_plan(&digest).await?;
        self.show(&digest)
    }

    /// Appends a record to the log of plans. Success does not mean that the record is in the log: a
    /// caller that depends on it has to read it back.
    async fn append(&self, record: &PlanRecord) -> Result<(), AdminRefusal> {
        use spindle_log::AppendError;
        match plans::append(&self.0.context, record).await {
            // Reading the log shows whether an unacknowledged append was stored.
            Ok(()) | Err(AppendError::Unknown(_)) => Ok(()),
            Err(AppendError::NotAppended(text)) => Err(unavailable(format!("log: {text}"))),
        }
    }

    /// Waits until this daemon has read the plan with this digest from the log.
    async fn wait_for_plan(&self, digest: &str) -> Result<(), AdminRefusal> {
        let mut plans = self.0.operator_views.plans.clone();
        let read = plans.wait_for(|book| book.find(digest).is_some());
        match tokio::time::timeout(READ_BACK_TIMEOUT, read).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(AdminRefusal::Unknown),
        }
    }

    /// Finds a plan by the beginning of its digest.
    fn entry(&self, prefix: &str) -> Result<(String, PlanEntry), AdminRefusal> {
        let book = self.0.operator_views.plans.borrow();
        let (digest, entry) = book.find(prefix).ok_or(AdminRefusal::NotFound)?;
        Ok((digest.clone(), entry.clone()))
    }

    fn show(&self, prefix: &str) -> Result<PlanView, AdminRefusal> {
        let (digest, entry) = self.entry(prefix)?;
        let state = entry.state(&digest, &self.0.config.borrow());
        Ok(PlanView { digest, author: entry.author, state, plan: entry.plan })
    }

    fn plans(&self) -> Vec<PlanSummary> {
        let (book, config) = (self.0.operator_views.plans.borrow(), self.0.config.borrow());
        let summary = |(digest, entry): (&String, &PlanEntry)| PlanSummary {
            digest: digest.clone(),
            author: entry.author.clone(),
            state: entry.state(digest, &config),
            made_at: entry.plan.made_at,
            hourly_cost: entry.plan.cost.expected,
        };
        book.plans().into_iter().map(summary).collect()
    }

    /// Publishes a plan as the plan in force, unless it is stale. Confirming the plan that is in
    /// force already succeeds.
    async fn confirm(&self, operator: Operator, prefix: &str) -> Result<Confirmed, AdminRefusal> {
        let (digest, entry) = self.entry(prefix)?;
        let offers = self.offers().await?;
        let mut winner = Revision(0);
        for _ in 0..CONFIRM_ATTEMPTS {
            let base = {
                let config = self.0.config.borrow();
                if config.plan.as_ref().is_some_and(|plan| plan.digest == digest) {
                    return Ok(Confirmed { revision: config.revision });
                }
                check_confirmation(&entry, &config, &offers)
                    .map_err(|stale| AdminRefusal::Stale { stale })?;
                config.revision
            };
            let plan = entry.plan.confirmed_by(operator.clone());
            let change = Change::ConfirmPlan { plan };
            let published = self.0.publisher.publish(base, operator.clone(), change).await;
            match published {
                PublishOutcome::Conflict { winner: revision } => {
                    winner = revision;
                    self.wait_for_revision(revision).await;
                }
                outcome => {
                    log::info!("event=plan_confirmed digest={digest} outcome={outcome:?}");
                    return confirmation(outcome);
                }
            }
        }
        Err(AdminRefusal::Conflict { winner })
    }

    /// Waits until this daemon has read a revision of the configuration, or until the timeout.
    async fn wait_for_revision(&self, revision: Revision) {
        let mut config = self.0.config.clone();
        let reached = config.wait_for(|config| config.revision >= revision);
        // If the wait times out, the next attempt ends in a conflict again.
        let _ = tokio::time::timeout(READ_BACK_TIMEOUT, reached).await;
    }

    /// Records that a plan is rejected. A rejected plan can't be confirmed.
    async fn reject(&self, operator: Operator, prefix: &str) -> Result<(), AdminRefusal> {
        let (digest, _) = self.entry(prefix)?;
        let at = self.0.context.clock().utc();
        self.append(&PlanRecord::Rejected { digest, operator, at }).await
    }

    /// Publishes a change of the configuration. Only `confirm` may publish a confirmation of a plan.
    async fn change(
        &self,
        operator: Operator,
        request: ChangeRequest,
    ) -> Result<Confirmed, AdminRefusal> {
        if matches!(request.change, Change::ConfirmPlan { .. }) {
            let mut problems = Problems::new();
            problems.add("change.kind", "confirm_plan", "a confirmation of a plan that was shown");
            return Err(AdminRefusal::Invalid { problems });
        }
        confirmation(self.0.publisher.publish(request.base, operator, request.change).await)
    }

    /// The configuration in force, the running instances and the open plans.
    async fn status(&self) -> Result<StatusView, AdminRefusal> {
        let offers = self.offers().await?;
        let running = self.running().await?;
        let spend = hourly_spend(&running, &offers).unwrap_or_default();
        let config = Arc::clone(&self.0.config.borrow());
        let members = Arc::clone(&self.0.members.borrow());
        let up_to_date = members.iter().filter(|member| member.revision >= config.revision);
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        Ok(StatusView {
            running: count(running.len()),
            hourly_spend: spend,
            daemons_current: count(up_to_date.count()),
            daemons: count(members.len()),
            open_plans: self.open_plans(),
            ..plan_status(&config)
        })
    }

    /// The digests of the plans that wait for a confirmation.
    fn open_plans(&self) -> Vec<String> {
        let open = self.plans().into_iter().filter(|plan| plan.state == PlanState::Open);
        open.map(|plan| plan.digest).collect()
    }
}

/// The part of the status that follows from the configuration.
fn plan_status(config: &Configuration) -> StatusView {
    let plan = config.plan.as_ref();
    StatusView {
        revision: config.revision,
        plan: plan.map(|plan| plan.digest.clone()),
        operator: plan.map(|plan| plan.operator.clone()),
        hourly_cost: plan.map(|plan| plan.hourly_cost),
        hourly_limit: plan.map(|plan| plan.envelope.hourly_spend),
        wanted: plan.map_or(0, |plan| plan.placements.iter().map(|p| p.count).sum()),
        ..StatusView::default()
    }
}

/// Converts the outcome of publishing a change to a response.
fn confirmation(outcome: PublishOutcome) -> Result<Confirmed, AdminRefusal> {
    match outcome {
        PublishOutcome::Accepted { revision } => Ok(Confirmed { revision }),
        PublishOutcome::Conflict { winner } => Err(AdminRefusal::Conflict { winner }),
        PublishOutcome::Invalid { problems } => Err(AdminRefusal::Invalid { problems }),
        PublishOutcome::Unavailable => Err(unavailable("the log can't be reached".to_owned())),
        PublishOutcome::Unknown => Err(AdminRefusal::Unknown),
    }
}

const fn unavailable(text: String) -> AdminRefusal {
    AdminRefusal::Unavailable { text }
}

fn ok_json<T: Serialize>(value: &T) -> Response<Body> {
    json(StatusCode::OK, value)
}

async fn read<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, AdminRefusal> {
    let body = request.into_body();
    read_json(body, REQUEST_MAX_BYTES, REQUEST_TIMEOUT).await.map_err(|error| {
        let mut problems = Problems::new();
        problems.add("body", error, "a JSON document as the API describes");
        AdminRefusal::Invalid { problems }
    })
}

#[cfg(test)]
mod tests;
