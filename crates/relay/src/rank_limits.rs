//! Applies the limits by rank of [`spindle_policy::rank_limit`] to the attempts of requests.

use crate::admission::AdmittedRequest;
use crate::attempt::Attempt;
use crate::metrics::METRICS;
use crate::protocol::UpstreamProtocol;
use crate::relay::{AttemptHistory, Relay, backoff};
use crate::request::Refusal;
use opentelemetry::KeyValue;
use spindle_policy::rank_admission::Rank;
use spindle_policy::rank_limit::{load_limit, may_try_another, retry_after};
use spindle_policy::upstream_selection::LOAD_LIMIT_MAX;
use spindle_types::Clock;
use xxhash_rust::xxh3::xxh3_64;

/// Value of `cause` in the logs for requests that are refused for their rank.
pub(crate) const RANK_LIMIT: &str = "rank_limit";

/// How busy an engine may be for an attempt, by the rank of its request.
#[derive(Clone, Debug)]
pub(crate) struct RankLimit {
    /// Ranks of the service, the most urgent one first.
    ranks: Vec<Rank>,
    /// The ratio of requests to slots from which an engine is too busy.
    pub(crate) load: f64,
}

impl RankLimit {
    /// The refusal of a request, where engines have `excess` requests beyond the limit on average.
    pub(crate) fn refusal(&self, admitted: &AdmittedRequest, excess: f64) -> Refusal {
        let service = KeyValue::new("service", admitted.service.to_string());
        let rank = KeyValue::new("rank", i64::from(u8::from(admitted.rank)));
        METRICS.rank_refusals.add(1, &[service, rank]);
        let retry_after = retry_after(admitted.rank, &self.ranks, excess, backoff());
        Refusal::Overloaded { retry_after }
    }
}

impl<P: UpstreamProtocol, K: Clock> Relay<P, K> {
    /// The limit of an attempt by its rank. There is none for services with one rank, plain calls,
    /// streams that go on after an event that the caller has received, and requests that may have run:
    /// refusing these would waste the work done for them.
    pub(crate) fn rank_limit(
        &self,
        attempt: Attempt<'_>,
        past: &AttemptHistory,
    ) -> Option<RankLimit> {
        let Attempt { admitted, buffered, last_event_id } = attempt;
        let inbound = &buffered.inbound;
        let is_resumed = last_event_id.is_some() || inbound.last_event_id.is_some();
        let is_exempt = is_resumed || past.may_have_run || inbound.prompt().is_none();
        if !self.0.ranks.limits_load() || admitted.engine_priority.is_none() || is_exempt {
            return None;
        }
        let ranks = admitted.config.ranks(&admitted.service)?.ranks();
        let draw = xxh3_64(inbound.id.as_bytes()) as f64 / u64::MAX as f64;
        Some(RankLimit { load: load_limit(admitted.rank, &ranks, draw), ranks })
    }

    /// Whether a request that an upstream has refused as full may be sent to another one, as far as its
    /// rank is concerned.
    pub(crate) fn may_try_another(&self, attempt: Attempt<'_>, past: &AttemptHistory) -> bool {
        let limit = self.rank_limit(attempt, past);
        may_try_another(limit.map_or(LOAD_LIMIT_MAX, |limit| limit.load))
    }
}
