//! The events of one answer, over the upstreams that take part in it.
//!
//! Whole events are passed on as they come. Where a stream may be resumed, one that breaks off or
//! falls silent goes on at another upstream after its last whole event; what can't be completed is
//! cut off, so that the caller does not take a part for the whole.

use crate::board::Ended;
use crate::dialect::Dialect;
use crate::events::EventCutter;
use crate::inbound::Work;
use crate::measures::MEASURES;
use crate::relay::{Answer, Relay, Sends, Ticket};
use crate::send::patience;
use crate::trail::{Outcome, Trail};
use http::{Response, header, response};
use http_body_util::BodyExt;
use spindle_http::{Body, BodySender};
use spindle_service::headers::remove_hop_by_hop;
use spindle_types::{Clock, MonotonicInstant};
use std::time::Duration;

/// Events that may wait for a slow caller before its upstream is read on.
const EVENTS_AHEAD: usize = 16;

/// How often the pause that is on time may pass before a resumable stream goes elsewhere. Callers
/// give up after eight times the pause.
const PAUSES_MAX: u32 = 4;

/// The shortest silence before a resumable stream goes elsewhere, which reads its prompt again.
const SILENCE_MIN: Duration = Duration::from_millis(1_600);

/// Why no more comes from an upstream.
enum Stopped {
    /// The answer is whole.
    End,
    /// The caller has gone.
    CallerGone,
    /// The upstream broke off.
    Broken,
    /// The upstream is silent, and a retry has been taken.
    Silent,
    /// The request's time has passed.
    Expired,
}

/// Starts to pass a stream on and gives the head of its answer.
pub(crate) fn start<D: Dialect, K: Clock>(
    relay: Relay<D, K>,
    mut trail: Trail<K>,
    answer: Answer,
    ticket: Ticket,
    work: Work,
    sends: Sends,
) -> Response<Body> {
    let (sender, body) = Body::pieces(EVENTS_AHEAD);
    let head = caller_head(&answer.head);
    trail.outcome = Outcome::BrokenOff;
    let pump = Pump { relay, trail, ticket, work, sends, sender, cutter: EventCutter::default() };
    tokio::spawn(pump.run(answer));
    Response::from_parts(head, body)
}

/// The head of the first upstream's answer as the caller gets it.
fn caller_head(head: &response::Parts) -> response::Parts {
    let mut head = head.clone();
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head
}

struct Pump<D, K: Clock> {
    relay: Relay<D, K>,
    trail: Trail<K>,
    ticket: Ticket,
    work: Work,
    sends: Sends,
    sender: BodySender,
    cutter: EventCutter,
}

impl<D: Dialect, K: Clock> Pump<D, K> {
    async fn run(mut self, mut answer: Answer) {
        loop {
            let stopped = self.pass_on(&mut answer).await;
            self.trail.events = self.cutter.count();
            let now = self.relay.0.clock.now();
            match stopped {
                Stopped::End => return self.finish(answer, now).await,
                Stopped::CallerGone => {
                    self.trail.outcome = Outcome::CallerLeft;
                    return;
                }
                Stopped::Expired => {
                    self.trail.cause = "time_passed".to_owned();
                    return;
                }
                Stopped::Broken => {
                    answer.placed.on_end(now, Ended::Failed);
                    self.trail.cause = "upstream_broke_off".to_owned();
                    if !self.ticket.route.repeat.again()
                        || !self.relay.may_repeat(&self.ticket, &self.sends)
                    {
                        return;
                    }
                }
                Stopped::Silent => {
                    answer.placed.on_end(now, Ended::Failed);
                    self.trail.cause = "upstream_silent".to_owned();
                }
            }
            // Closes the connection, which stops the upstream if it still works.
            drop(answer);
            let Some(next) = self.resume().await else { return };
            answer = next;
        }
    }

    /// Passes an upstream's events on until it stops.
    async fn pass_on(&mut self, answer: &mut Answer) -> Stopped {
        let mut heard = self.relay.0.clock.now();
        loop {
            let now = self.relay.0.clock.now();
            if now >= self.ticket.end {
                return Stopped::Expired;
            }
            let silence = self.silence_max();
            let wait = silence.saturating_sub(now.since(heard)).max(Duration::from_millis(1));
            let wait = wait.min(self.ticket.end.since(now));
            let frame = tokio::select! {
                biased;
                frame = tokio::time::timeout(wait, answer.body.frame()) => frame,
                () = self.sender.closed() => return Stopped::CallerGone,
            };
            let now = self.relay.0.clock.now();
            let data = match frame {
                Err(_) if now.since(heard) >= silence => {
                    if self.relay.may_go_elsewhere(&self.ticket, &self.sends) {
                        return Stopped::Silent;
                    }
                    // Nowhere to go: waits on, and asks again after the same time.
                    heard = now;
                    continue;
                }
                Err(_) => continue,
                Ok(None) => return Stopped::End,
                Ok(Some(Err(error))) => {
                    log::debug!("event=stream_broke_off id={} error={error:?}", self.trail.id);
                    return Stopped::Broken;
                }
                Ok(Some(Ok(frame))) => frame.into_data(),
            };
            let Ok(data) = data else { continue };
            self.note_data(heard, now);
            answer.placed.on_first(now);
            heard = now;
            let Ok(events) = self.cutter.push(data) else {
                return Stopped::Broken;
            };
            if !events.is_empty() && self.sender.send(events).await.is_err() {
                return Stopped::CallerGone;
            }
        }
    }

    fn note_data(&mut self, heard: MonotonicInstant, now: MonotonicInstant) {
        if self.cutter.count() > 0 {
            MEASURES.pause.record(now.since(heard).as_secs_f64(), &[]);
        }
        self.relay.on_first(&self.ticket, &mut self.trail);
    }

    fn silence_max(&self) -> Duration {
        let route = &self.ticket.route;
        if !route.repeat.again() {
            return Duration::MAX;
        }
        match route.pause {
            Some(pause) if self.cutter.count() > 0 => (pause * PAUSES_MAX).max(SILENCE_MIN),
            _ => patience(route).max(SILENCE_MIN),
        }
    }

    /// Goes on at another upstream; none if there is none, or it does not go on.
    async fn resume(&mut self) -> Option<Answer> {
        self.cutter.drop_partial();
        let after = self.cutter.last().map(str::to_owned);
        log::info!(
            "event=stream_resumed id={} upstream={} cause={} after={after:?}",
            self.trail.id,
            self.trail.upstream,
            self.trail.cause,
        );
        let (relay, ticket, work) = (self.relay.clone(), self.ticket.clone(), &self.work);
        let sending = relay.send(&ticket, work, &mut self.sends, &mut self.trail, after.as_deref());
        let result = tokio::select! {
            result = sending => result,
            () = self.sender.closed() => {
                self.trail.outcome = Outcome::CallerLeft;
                return None;
            }
        };
        match result {
            Ok(answer) if answer.head.status.is_success() => Some(answer),
            Ok(answer) => {
                self.trail.cause = format!("resume_status_{}", answer.head.status.as_u16());
                answer.placed.on_end(self.relay.0.clock.now(), Ended::Failed);
                None
            }
            Err(refusal) => {
                self.trail.cause = format!("resume_{refusal}");
                None
            }
        }
    }

    async fn finish(mut self, answer: Answer, now: MonotonicInstant) {
        let Answer { ran, leased, placed, .. } = answer;
        placed.on_end(now, Ended::Answered);
        drop(placed);
        if !ran.close {
            leased.keep(now, ran.keep);
        }
        let rest = self.cutter.take_rest();
        if !rest.is_empty() && self.sender.send(rest).await.is_err() {
            self.trail.outcome = Outcome::CallerLeft;
            return;
        }
        self.trail.outcome = Outcome::Answered;
        self.sender.finish().await;
    }
}
