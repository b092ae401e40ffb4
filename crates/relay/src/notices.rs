//! Applies what upstreams say of their own state in the heads of their responses.

use crate::balancer::Assignment;
use crate::metrics::METRICS;
use crate::protocol::{NamedPause, UpstreamNotice};
use opentelemetry::KeyValue;
use spindle_types::MonotonicInstant;

/// Applies a notice of the upstream that a request was assigned to. One that is leaving gets nothing
/// new at any daemon; a pause holds for this daemon only.
pub(crate) fn apply(now: MonotonicInstant, assignment: &Assignment, notice: UpstreamNotice) {
    if notice.leaving {
        assignment.on_leaving(now);
    }
    let upstream = &assignment.upstream_id.instance;
    match notice.pause {
        NamedPause::None => {}
        NamedPause::For(named) => {
            let observed = assignment.on_pause(now, named);
            METRICS.pauses.add(1, &[KeyValue::new("valid", true)]);
            log::info!(
                "event=upstream_paused upstream={upstream} pause_ms={} named_ms={}",
                observed.as_millis(),
                named.as_millis()
            );
        }
        NamedPause::Invalid(text) => {
            METRICS.pauses.add(1, &[KeyValue::new("valid", false)]);
            log::warn!("event=upstream_pause_invalid upstream={upstream} value={text:?}");
        }
    }
}
