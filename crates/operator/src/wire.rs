//! Wire types of the administration API.

use http::StatusCode;
use serde::{Deserialize, Serialize};
use spindle_policy::plan::{BindingConstraint, Plan};
use spindle_policy::proposal::{Author, ConfirmationError, PlanState};
use spindle_types::{Change, Money, Operator, Problems, Revision, UtcInstant};
use thiserror::Error;

/// `POST /v1/plans` and `GET /v1/plans/{digest}`: a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanView {
    /// The hash that a confirmation names.
    pub digest: String,
    /// Who made it.
    pub author: Author,
    /// What has become of it.
    pub state: PlanState,
    /// The plan.
    pub plan: Plan,
}

/// `GET /v1/plans`: one line for each plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanSummary {
    /// The hash that a confirmation names.
    pub digest: String,
    /// Who made it.
    pub author: Author,
    /// What has become of it.
    pub state: PlanState,
    /// When it was made.
    pub made_at: UtcInstant,
    /// The expected cost an hour.
    pub hourly_cost: Money,
}

/// `POST /v1/plans/{digest}/confirm`: the plan is in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The revision that the confirmation made.
    pub revision: Revision,
}

/// `POST /v1/changes`: a change of teams, quotas, pools or services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The revision on which the change is based.
    pub base: Revision,
    /// The change.
    pub change: Change,
}

/// `GET /v1/status`: what is in force and what runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// The revision in force at the daemon asked.
    pub revision: Revision,
    /// The digest of the plan in force.
    pub plan: Option<String>,
    /// Who confirmed it.
    pub operator: Option<Operator>,
    /// The expected cost an hour that was confirmed.
    pub hourly_cost: Option<Money>,
    /// The most that may be spent an hour.
    pub hourly_limit: Option<Money>,
    /// Instances that the plan wants.
    pub wanted: u32,
    /// Instances that run and are paid for.
    pub running: u32,
    /// What they cost an hour at present prices.
    pub hourly_spend: Money,
    /// Daemons that report this revision or a newer one.
    pub daemons_current: u32,
    /// Daemons known.
    pub daemons: u32,
    /// Plans that wait for a confirmation.
    pub open_plans: Vec<String>,
}

/// Why a request was refused; nothing was changed, unless the outcome is unknown.
#[derive(Clone, Debug, Error, PartialEq, Serialize, Deserialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum AdminRefusal {
    /// No valid key.
    #[error("no valid key")]
    Unauthorized,
    /// The key is a team's.
    #[error("an operator's key is needed")]
    Forbidden,
    /// There is no such path or plan.
    #[error("no such path or plan")]
    NotFound,
    /// The document holds mistakes.
    #[error("{problems}")]
    Invalid {
        /// The mistakes.
        problems: Problems,
    },
    /// The intent can't be met.
    #[error("the intent can't be met: {binding}")]
    Infeasible {
        /// The constraint that binds.
        binding: BindingConstraint,
    },
    /// The plan is no longer the one that was shown.
    #[error("the plan is stale: {stale}")]
    Stale {
        /// What has changed.
        stale: ConfirmationError,
    },
    /// Another change won.
    #[error("another change won: revision {winner}")]
    Conflict {
        /// The newest revision.
        winner: Revision,
    },
    /// The platform's services can't be reached; nothing was changed.
    #[error("nothing was changed: {text}")]
    Unavailable {
        /// What can't be reached.
        text: String,
    },
    /// The change may have taken effect.
    #[error("the log has not answered; `status` will show whether the change took effect")]
    Unknown,
}

impl AdminRefusal {
    /// The HTTP status.
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
