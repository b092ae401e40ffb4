//! The next attempt at sending a request: to an upstream, or through another daemon.

use crate::admission::AdmittedRequest;
use crate::assignment::Assignment;
use crate::attempt::Attempt;
use crate::balancer::Restrictions;
use crate::connection::CONNECT_TIMEOUT;
use crate::handoff::HandoffError;
use crate::protocol::UpstreamProtocol;
use crate::rank_limits::RANK_LIMIT;
use crate::relay::{AttemptHistory, Relay, TIME_LEFT_MIN, backoff, refuse};
use crate::request::Refusal;
use crate::request_log::RequestLog;
use crate::rollout_watch::Eligible;
use crate::upstream_response::UpstreamResponse;
use spindle_policy::stream_versions::PermittedVersions;
use spindle_policy::upstream_selection::{Choice, Criteria, LOAD_LIMIT_MAX};
use spindle_types::{Clock, MonotonicInstant};
use std::time::Duration;

/// A request is refused if its response is expected to begin later than this multiple of the
/// route's target latency, or of the shortest one of a more urgent rank. Callers give up after four times the target at the latest.
const LATENESS_FACTOR_MAX: u32 = 3;

/// Number of attempts that did not reach an upstream after which a request is refused.
const UNREACHED_ATTEMPTS_MAX: usize = 4;

/// Interval at which a waiting request looks for a place at a brittle upstream.
const PLACE_INTERVAL: Duration = Duration::from_millis(10);

/// The next attempt at sending a request.
pub(crate) enum NextAttempt {
    /// To an upstream.
    Upstream(Box<Assignment>),
    /// Through another daemon, which has sent the head of a response.
    Helper(Box<UpstreamResponse>),
}

impl<P: UpstreamProtocol, K: Clock> Relay<P, K> {
    /// Assigns a request to an upstream, or sends it through another daemon if this one reaches none.
    pub(crate) async fn next_attempt(
        &self,
        attempt: Attempt<'_>,
        past: &mut AttemptHistory,
        request_log: &mut RequestLog<K>,
    ) -> Result<NextAttempt, Refusal> {
        let Attempt { admitted, buffered, .. } = attempt;
        self.check_crash_causes(admitted, buffered, past, request_log)?;
        if !self.prefers_helper(admitted, past) {
            match self.assign_waiting(attempt, past, request_log).await {
                Ok(assignment) => return Ok(NextAttempt::Upstream(Box::new(assignment))),
                Err(refusal) if self.may_hand_over(admitted, past, refusal) => {
                    past.prefers_helper = true;
                }
                Err(refusal) => return Err(refusal),
            }
        }
        match self.send_through_helper(attempt, past, request_log).await {
            Ok(upstream_response) => return Ok(NextAttempt::Helper(Box::new(upstream_response))),
            Err(HandoffError::Refused(refusal)) => return Err(refusal),
            Err(HandoffError::Unavailable) => past.helpers_exhausted = true,
        }
        let assignment = self.assign(attempt, past, request_log)?;
        Ok(NextAttempt::Upstream(Box::new(assignment)))
    }

    /// Assigns a request to an upstream. While upstreams are brittle, it waits here for a place there,
    /// for as long as the response would still be in time.
    async fn assign_waiting(
        &self,
        attempt: Attempt<'_>,
        past: &AttemptHistory,
        request_log: &mut RequestLog<K>,
    ) -> Result<Assignment, Refusal> {
        let admitted = attempt.admitted;
        let until = self.0.clock.now() + admitted.route.target_latency;
        loop {
            let result = self.assign(attempt, past, request_log);
            let may_wait = matches!(result, Err(Refusal::Overloaded { .. }))
                && request_log.cause != RANK_LIMIT
                && self.0.clock.now() < until
                && self.0.balancer.has_brittle(&admitted.service);
            if !may_wait {
                return result;
            }
            tokio::time::sleep(PLACE_INTERVAL).await;
        }
    }

    /// The upstreams that may get a request as new work. A stream that has begun goes on at its
    /// version, whatever a rollout says.
    pub(crate) fn eligible(
        &self,
        now: MonotonicInstant,
        admitted: &AdmittedRequest,
        past: &AttemptHistory,
    ) -> Eligible {
        if !past.versions.is_any() {
            return Eligible::default();
        }
        let draw = (admitted.draw, past.left_trial);
        self.0.rollouts.eligible(now, &admitted.service, &admitted.route, draw)
    }

    fn eligible_outside_trial(
        &self,
        now: MonotonicInstant,
        admitted: &AdmittedRequest,
    ) -> Eligible {
        let draw = (admitted.draw, true);
        self.0.rollouts.eligible(now, &admitted.service, &admitted.route, draw)
    }

    fn assign(
        &self,
        attempt: Attempt<'_>,
        past: &AttemptHistory,
        request_log: &mut RequestLog<K>,
    ) -> Result<Assignment, Refusal> {
        let Attempt { admitted, buffered, .. } = attempt;
        let now = self.0.clock.now();
        if admitted.deadline.since(now) <= TIME_LEFT_MIN {
            return Err(refuse(past, Refusal::Expired));
        }
        if self.is_outdated(admitted) && !admitted.is_handed_over {
            request_log.cause = "configuration_outdated".to_owned();
            return Err(refuse(past, Refusal::NoConfiguration { retry_after: backoff() }));
        }
        let is_hanging = past.unreached > 0
            && past.unreached_time >= CONNECT_TIMEOUT
            && self.0.balancer.has_lost(&admitted.service);
        if past.unreached >= UNREACHED_ATTEMPTS_MAX || is_hanging {
            return Err(refuse(past, Refusal::NoUpstream { retry_after: backoff() }));
        }
        let prompt = buffered.inbound.prompt();
        let rank_limit = self.rank_limit(attempt, past);
        let criteria = Criteria {
            prompt: prompt.as_ref(),
            max_wait: max_wait(admitted).min(admitted.deadline.since(now)),
            load_limit: rank_limit.as_ref().map_or(LOAD_LIMIT_MAX, |limit| limit.load),
            has_ranks: rank_limit.is_some(),
            draw: rand::random(),
        };
        let balancer = &self.0.balancer;
        let assign = |versions: &PermittedVersions, eligible: &Eligible| {
            let restrictions = Restrictions { tried: &past.tried, versions, eligible };
            balancer.assign(now, &admitted.service, &criteria, restrictions)
        };
        let eligible = self.eligible(now, admitted, past);
        // Others may have been told of the version that the stream was sent to first.
        let recorded = past.recorded_version.clone().filter(|_| past.versions.is_any());
        let assignment = match recorded.map(|version| PermittedVersions::Only(Some(version))) {
            Some(recorded) => {
                assign(&recorded, &eligible).or_else(|_| assign(&past.versions, &eligible))
            }
            None => assign(&past.versions, &eligible),
        };
        // The old version serves what the upstreams of a trial can't.
        let assignment = assignment.or_else(|choice| match eligible.trial {
            Some(_) => assign(&past.versions, &self.eligible_outside_trial(now, admitted)),
            None => Err(choice),
        });
        assignment.map_err(|choice| {
            let refusal = match choice {
                Choice::Overloaded(after) => Refusal::Overloaded { retry_after: after + backoff() },
                Choice::Limited(after) => {
                    request_log.cause = "upstreams_limited".to_owned();
                    Refusal::Overloaded { retry_after: after + backoff() }
                }
                Choice::RankLimited(excess) => {
                    request_log.cause = RANK_LIMIT.to_owned();
                    rank_limit.map_or(Refusal::Overloaded { retry_after: backoff() }, |limit| {
                        limit.refusal(admitted, excess)
                    })
                }
                _ => Refusal::NoUpstream { retry_after: backoff() },
            };
            refuse(past, refusal)
        })
    }
}

/// The longest acceptable time until the response to a request begins. A less urgent one must not be
/// sent to an upstream whose queue is too long for a more urgent one.
fn max_wait(admitted: &AdmittedRequest) -> Duration {
    let ranks = admitted.config.ranks(&admitted.service);
    let urgent = ranks.and_then(|ranks| ranks.target_up_to(admitted.rank));
    let target = admitted.route.target_latency;
    urgent.map_or(target, |urgent| urgent.min(target)) * LATENESS_FACTOR_MAX
}
