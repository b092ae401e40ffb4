//! Applies what upstreams say of their own state in the heads of their responses.

use crate::assignment::Assignment;
use crate::metrics::METRICS;
use crate::protocol::{NamedLimit, NamedPause, ResponseClass, UpstreamNotice};
use opentelemetry::KeyValue;
use spindle_types::MonotonicInstant;

/// Applies a notice of the upstream that a request was assigned to. One that is leaving gets nothing
/// new at any daemon, a limit holds for all daemons together, and a pause for this one only. A response
/// that isn't the upstream's own says nothing of it.
pub(crate) fn apply(
    now: MonotonicInstant,
    assignment: &Assignment,
    class: &ResponseClass,
    notice: UpstreamNotice,
) {
    // A refusal may come from a part of the upstream that knows of no limit.
    let tells_limit = match class {
        ResponseClass::Executed(_) => true,
        ResponseClass::Refused { .. } => notice.limit != NamedLimit::None,
        ResponseClass::WrongUpstream | ResponseClass::Invalid => return,
    };
    if tells_limit {
        assignment.on_limit(now, notice.limit);
    }
    let is_rejection = matches!(class, ResponseClass::Refused { .. });
    assignment.on_brittle(now, notice.brittle, is_rejection);
    if notice.leaving {
        assignment.on_leaving(now);
    }
    apply_pause(now, assignment, notice.pause);
}

fn apply_pause(now: MonotonicInstant, assignment: &Assignment, pause: NamedPause) {
    let upstream = &assignment.upstream_id.instance;
    match pause {
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
