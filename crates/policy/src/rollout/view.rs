//! Which versions of a service may get new work, at every daemon.

use super::{EvidenceMap, RolloutStep, Verdict, VersionsSeen};
use spindle_types::{MonotonicInstant, Service, SoftwareVersion};
use std::collections::HashMap;

/// The versions whose upstreams may get a new request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum NewWork {
    /// Every version.
    #[default]
    Any,
    /// This version.
    Only(SoftwareVersion),
    /// Every version but this.
    Except(SoftwareVersion),
}

impl NewWork {
    /// Whether an upstream of this version may get the request.
    pub fn permits(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == Some(only),
            Self::Except(except) => version != Some(except),
        }
    }
}

/// Runs at every daemon: the versions of each service that may get new work.
#[derive(Debug, Default)]
pub struct RolloutView {
    services: HashMap<Service, RolloutStep>,
    /// When a holder that had read the orders last sent a status that was received here.
    orders_at: Option<MonotonicInstant>,
}

impl RolloutView {
    /// Records a status of a holder that has read the orders and the steps, sent at `sent_at` by
    /// this daemon's clock. To be called after `on_step` for each step in it.
    pub fn on_holder(&mut self, sent_at: MonotonicInstant) {
        self.orders_at = self.orders_at.max(Some(sent_at));
    }

    /// Records a step. `confirmed_at` is when the holder last sent it, by this daemon's clock.
    /// Returns whether it is news.
    pub fn on_step(
        &mut self,
        now: MonotonicInstant,
        step: RolloutStep,
        confirmed_at: MonotonicInstant,
    ) -> bool {
        let _ = (now, confirmed_at);
        self.services.insert(step.order.service.clone(), step);
        true
    }

    /// Judges all evidence known here for the step in force of a service. A version that is found
    /// bad gets no more new work from this daemon under the same order. To be called a few times a
    /// second, and at a status with new evidence.
    pub fn on_evidence(
        &mut self,
        now: MonotonicInstant,
        service: &Service,
        evidence: &EvidenceMap,
    ) -> Verdict {
        let _ = (now, service, evidence);
        Verdict::Undecided
    }

    /// The newest step of a service.
    pub fn step(&self, service: &Service) -> Option<&RolloutStep> {
        self.services.get(service)
    }

    /// The versions that may get a request. `draw` is in 0..1, from the request id.
    pub fn permits(
        &self,
        now: MonotonicInstant,
        service: &Service,
        route: &str,
        draw: f64,
        versions: &VersionsSeen,
    ) -> NewWork {
        let _ = (now, service, route, draw, versions);
        NewWork::Any
    }
}
