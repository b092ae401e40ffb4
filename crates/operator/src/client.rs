//! Client of the administration API.

use crate::wire::{AdminRefusal, ChangeRequest, Confirmed, PlanSummary, PlanView, StatusView};
use http::{HeaderValue, Method, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use spindle_http::client::json_request;
use spindle_http::{CallError, Client, read_body};
use spindle_policy::burn::BurnReport;
use spindle_policy::spend::CostReport;
use spindle_types::Intent;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Timeout of a call. Computing a large plan takes seconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum size of an answer, in bytes.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// A call failed.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The daemon refused the request.
    #[error("{0}")]
    Refused(AdminRefusal),
    /// The daemon could not be reached, or its answer was lost.
    #[error("{0}")]
    Call(#[from] CallError),
}

/// A client of one daemon's administration API.
#[derive(Clone, Debug)]
pub struct AdminClient {
    address: SocketAddr,
    key: String,
    client: Client,
}

impl AdminClient {
    /// Creates a client that authenticates with an operator's API key.
    pub fn new(address: SocketAddr, key: String) -> Self {
        Self { address, key, client: Client::new(CALL_TIMEOUT, ANSWER_MAX_BYTES) }
    }

    /// Requests a plan that fulfils an intent.
    ///
    /// # Errors
    ///
    /// The intent is invalid or can't be fulfilled, or the call fails.
    pub async fn plan(&self, intent: &Intent) -> Result<PlanView, AdminError> {
        self.call(Method::POST, "/v1/plans", Some(intent)).await
    }

    /// Lists the newest plans.
    ///
    /// # Errors
    ///
    /// The call fails.
    pub async fn plans(&self) -> Result<Vec<PlanSummary>, AdminError> {
        self.call::<(), _>(Method::GET, "/v1/plans", None).await
    }

    /// Shows a plan.
    ///
    /// # Errors
    ///
    /// There is no such plan, or the call fails.
    pub async fn show(&self, digest: &str) -> Result<PlanView, AdminError> {
        self.call::<(), _>(Method::GET, &format!("/v1/plans/{digest}"), None).await
    }

    /// Confirms a plan, which puts it in force.
    ///
    /// # Errors
    ///
    /// The plan is stale, a concurrent change took effect first, or the call fails.
    pub async fn confirm(&self, digest: &str) -> Result<Confirmed, AdminError> {
        self.call::<(), _>(Method::POST, &format!("/v1/plans/{digest}/confirm"), None).await
    }

    /// Rejects a plan.
    ///
    /// # Errors
    ///
    /// There is no such plan, or the call fails.
    pub async fn reject(&self, digest: &str) -> Result<(), AdminError> {
        self.call::<(), _>(Method::POST, &format!("/v1/plans/{digest}/reject"), None).await
    }

    /// Publishes a change of teams, quotas, pools or services.
    ///
    /// # Errors
    ///
    /// The change is invalid, a concurrent change took effect first, or the call fails.
    pub async fn change(&self, change: &ChangeRequest) -> Result<Confirmed, AdminError> {
        self.call(Method::POST, "/v1/changes", Some(change)).await
    }

    /// Shows the configuration and plan in force, and the running instances.
    ///
    /// # Errors
    ///
    /// The call fails.
    pub async fn status(&self) -> Result<StatusView, AdminError> {
        self.call::<(), _>(Method::GET, "/v1/status", None).await
    }

    /// Shows the burn rates of the service levels' error budgets.
    ///
    /// # Errors
    ///
    /// The call fails.
    pub async fn burn(&self) -> Result<BurnReport, AdminError> {
        self.call::<(), _>(Method::GET, "/v1/burn", None).await
    }

    /// Shows the cost.
    ///
    /// # Errors
    ///
    /// The call fails.
    pub async fn cost(&self) -> Result<CostReport, AdminError> {
        self.call::<(), _>(Method::GET, "/v1/cost", None).await
    }

    async fn call<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        value: Option<&Q>,
    ) -> Result<A, AdminError> {
        let mut request = json_request(method, self.address, path, value)?;
        let bearer = HeaderValue::try_from(format!("Bearer {}", self.key))
            .map_err(|error| CallError::Form(error.to_string()))?;
        request.headers_mut().insert(header::AUTHORIZATION, bearer);
        let late = |_| CallError::Lost(format!("no answer within {CALL_TIMEOUT:?}"));
        let sending = tokio::time::timeout(CALL_TIMEOUT, self.client.send(request));
        let response = sending.await.map_err(late)??;
        let status = response.status();
        let content = read_body(response.into_body(), ANSWER_MAX_BYTES, CALL_TIMEOUT)
            .await
            .map_err(|error| CallError::Lost(error.to_string()))?;
        if status.is_success() {
            let form = |error: serde_json::Error| CallError::Form(error.to_string());
            return Ok(serde_json::from_slice(&content).map_err(form)?);
        }
        match serde_json::from_slice(&content) {
            Ok(refusal) => Err(AdminError::Refused(refusal)),
            Err(_) => {
                let body = String::from_utf8_lossy(&content).into_owned();
                Err(CallError::Status { status, body }.into())
            }
        }
    }
}
