//! What a stream that a caller takes up is bound to by the attempt that began it: the service of a
//! split route, and the version of the upstreams' software.

use crate::admission::AdmittedRequest;
use crate::config::{RepeatPolicy, Route};
use crate::metrics::METRICS;
use crate::protocol::UpstreamProtocol;
use crate::relay::{AttemptHistory, Relay, backoff};
use crate::request::{Inbound, Refusal};
use crate::request_log::RequestLog;
use opentelemetry::KeyValue;
use rand::RngExt;
use spindle_policy::stream_versions::{PermittedVersions, StreamKey, StreamQuestion};
use spindle_types::{Clock, Service, SoftwareVersion};
use xxhash_rust::xxh3::xxh3_64;

impl<P: UpstreamProtocol, K: Clock> Relay<P, K> {
    /// At which versions a stream may be served: a caller that has received events of it can only go
    /// on at the version that wrote them.
    ///
    /// # Errors
    ///
    /// That version is not known.
    pub(crate) async fn permitted_versions(
        &self,
        admitted: &AdmittedRequest,
        inbound: &Inbound,
        request_log: &mut RequestLog<K>,
    ) -> Result<PermittedVersions, Refusal> {
        if admitted.route.repeat != RepeatPolicy::Resumable || inbound.last_event_id.is_none() {
            return Ok(PermittedVersions::Any);
        }
        let stream =
            StreamKey::new(admitted.team.as_ref(), inbound.resumes.as_deref().unwrap_or_default());
        let question = StreamQuestion { service: admitted.service.clone(), stream };
        let (version, source) = self.0.keeper.find(self.0.clock.now(), question, &inbound.id).await;
        request_log.version_source = source.into();
        METRICS.resumed_streams.add(1, &[KeyValue::new("source", <&'static str>::from(source))]);
        match version {
            Some(version) => Ok(PermittedVersions::Only(Some(version))),
            None => Err(Refusal::UnknownVersion { retry_after: backoff() }),
        }
    }

    /// Records the version that a stream is sent to, for callers that take it up elsewhere.
    pub(crate) fn record_version(
        &self,
        admitted: &AdmittedRequest,
        inbound: &Inbound,
        past: &mut AttemptHistory,
        version: Option<&SoftwareVersion>,
    ) {
        let Some(version) = version else { return };
        if admitted.route.repeat != RepeatPolicy::Resumable
            || past.recorded_version.as_ref() == Some(version)
        {
            return;
        }
        past.recorded_version = Some(version.clone());
        let resumed = inbound.resumes.as_deref().filter(|_| inbound.last_event_id.is_some());
        let ids = [Some(inbound.id.as_str()), resumed].into_iter().flatten();
        for id in ids.filter(|id| !id.is_empty()) {
            let stream = StreamKey::new(admitted.team.as_ref(), id);
            self.0.keeper.on_sent(self.0.clock.now(), &admitted.service, stream, version);
        }
    }
}

/// Chooses a service of a split route by the attempt that began the stream, or by the request's own
/// id: whichever daemon a caller takes a stream up at, it chooses the same service.
pub(crate) fn choose_service(route: &Route, inbound: &Inbound) -> Service {
    let resumed = inbound.resumes.as_deref().filter(|_| inbound.last_event_id.is_some());
    let hash = match resumed.unwrap_or(&inbound.id) {
        "" => rand::rng().random(),
        id => xxh3_64(id.as_bytes()),
    };
    let total_weight: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut remaining = hash % u64::from(total_weight.max(1));
    for (service, weight) in &route.services {
        if remaining < u64::from(*weight) {
            return service.clone();
        }
        remaining -= u64::from(*weight);
    }
    // A validated route has at least one service, and the weights add up to the divisor, so the loop
    // returns unless all weights are 0.
    route.services[0].0.clone()
}
