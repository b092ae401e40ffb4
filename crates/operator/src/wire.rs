//! Wire types of the administration API.

use http::StatusCode;
use serde::{Deserialize, Serialize};
use spindle_policy::plan::{BindingConstraint, Plan};
use spindle_policy::proposal::{Author, ConfirmationError, PlanState};
use spindle_types::{Change, Money, Operator, Problems, Revision, UtcInstant};
use thiserror::Error;

/// `POST /v1/plans` and `GET /v1/plans/{digest}`: a plan and its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanView {
    /// Hash by which a confirmation identifies the plan.
    pub digest: String,
    /// Author of the plan.
    pub author: Author,
    /// State of the plan, for example whether it is confirmed.
    pub state: PlanState,
    /// The plan itself.
    pub plan: Plan,
}

/// `GET /v1/plans`: an entry of the list of plans.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanSummary {
    /// Hash by which a confirmation identifies the plan.
    pub digest: String,
    /// Author of the plan.
    pub author: Author,
    /// State of the plan, for example whether it is confirmed.
    pub state: PlanState,
    /// Time at which it was made.
    pub made_at: UtcInstant,
    /// Expected cost per hour.
    pub hourly_cost: Money,
}

/// `POST /v1/plans/{digest}/confirm`: the plan is in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Confirmed {
    /// Revision that the confirmation created.
    pub revision: Revision,
}

/// `POST /v1/changes`: a change of teams, quotas, pools or services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Revision on which the change is based. The change is refused if it is not the newest one.
    pub base: Revision,
    /// The change.
    pub change: Change,
}

/// `GET /v1/status`: the configuration and plan in force, and the running instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// Revision in force at the daemon that answers.
    pub revision: Revision,
    /// Digest of the plan in force.
    pub plan: Option<String>,
    /// Operator who confirmed that plan.
    pub operator: Option<Operator>,
    /// Expected cost per hour that was confirmed.
    pub hourly_cost: Option<Money>,
    /// Maximum spend per hour.
    pub hourly_limit: Option<Money>,
    /// Number of instances in the plan.
    pub wanted: u32,
    /// Number of instances that run and are billed.
    pub running: u32,
    /// Cost per hour of the running instances at current prices.
    pub hourly_spend: Money,
    /// Number of daemons that report this revision or a newer one.
    pub daemons_current: u32,
    /// Number of known daemons.
    pub daemons: u32,
    /// Digests of the plans that wait for confirmation.
    pub open_plans: Vec<String>,
}

/// Why a request was refused. Nothing was changed, except that the outcome of [`Self::Unknown`] is
/// not known.
#[derive(Clone, Debug, Error, PartialEq, Serialize, Deserialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum AdminRefusal {
    /// There is no valid API key.
    #[error("no valid key")]
    Unauthorized,
    /// The API key belongs to a team, not to an operator.
    #[error("an operator's key is needed")]
    Forbidden,
    /// The path or plan does not exist.
    #[error("no such path or plan")]
    NotFound,
    /// The document is invalid.
    #[error("{problems}")]
    Invalid {
        /// Errors in the document.
        problems: Problems,
    },
    /// The intent can't be fulfilled.
    #[error("the intent can't be met: {binding}")]
    Infeasible {
        /// Constraint that prevents a plan.
        binding: BindingConstraint,
    },
    /// The plan no longer matches what the operator was shown.
    #[error("the plan is stale: {stale}")]
    Stale {
        /// What has changed since.
        stale: ConfirmationError,
    },
    /// A concurrent change took effect first.
    #[error("another change won: revision {winner}")]
    Conflict {
        /// Newest revision.
        winner: Revision,
    },
    /// A service of the platform can't be reached; nothing was changed.
    #[error("nothing was changed: {text}")]
    Unavailable {
        /// Which service can't be reached.
        text: String,
    },
    /// The log service did not answer; the change may have taken effect.
    #[error("the log has not answered; `status` will show whether the change took effect")]
    Unknown,
}

impl AdminRefusal {
    /// The HTTP status of the response.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::Invalid { .. } => StatusCode::BAD_REQUEST,
            Self::Infeasible { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Stale { .. } | Self::Conflict { .. } => StatusCode::CONFLICT,
            Self::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}
