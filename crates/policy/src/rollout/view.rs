//! Which versions of a service may get new work, at every daemon.

use super::{
    EvidenceHistory, EvidenceMap, RolloutStep, STEP_VALIDITY, Stage, VERSION_HOLD, Verdict,
    VersionSeen, VersionsSeen,
};
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

/// The newest step of a service, as one daemon knows it.
#[derive(Debug)]
struct ServiceView {
    step: RolloutStep,
    confirmed_at: MonotonicInstant,
    history: EvidenceHistory,
    /// Whether this daemon has found the target bad.
    is_convicted: bool,
}

impl ServiceView {
    fn permits(
        &self,
        now: MonotonicInstant,
        route: &str,
        draw: f64,
        versions: &VersionsSeen,
    ) -> NewWork {
        let target = &self.step.order.target;
        let has_target = versions.upstreams(target) > 0;
        match self.step.stage {
            Stage::RolledBack => return self.avoid(versions),
            Stage::Completed if has_target => return NewWork::Only(target.clone()),
            Stage::Completed => return NewWork::Any,
            Stage::Trial | Stage::Switch => {}
        }
        if has_target && versions.others(target) == 0 {
            return NewWork::Any;
        }
        let is_valid = now.since(self.confirmed_at) <= STEP_VALIDITY && !self.is_convicted;
        if is_valid && has_target && draw < self.step.share(route) {
            NewWork::Only(target.clone())
        } else {
            self.avoid(versions)
        }
    }

    /// Work that doesn't go to the target. A third version, of an earlier rollout that was rolled
    /// back, gets none of it while the version that serves is known and registered.
    fn avoid(&self, versions: &VersionsSeen) -> NewWork {
        match &self.step.base {
            Some(base) if versions.upstreams(base) > 0 => NewWork::Only(base.clone()),
            _ => NewWork::Except(self.step.order.target.clone()),
        }
    }
}

/// Runs at every daemon: the versions of each service that may get new work.
#[derive(Debug, Default)]
pub struct RolloutView {
    services: HashMap<Service, ServiceView>,
    /// When a holder last listed the orders, as far as this daemon has heard.
    orders_at: Option<MonotonicInstant>,
}

impl RolloutView {
    /// Records a status of a holder that last listed the orders at `listed_at`, by this daemon's
    /// clock, and has stored the steps that follow from them. To be called after `on_step` for each
    /// step in the status.
    pub fn on_holder(&mut self, listed_at: MonotonicInstant) {
        self.orders_at = self.orders_at.max(Some(listed_at));
    }

    /// Records a step. `confirmed_at` is when the holder last sent it, by this daemon's clock.
    /// Returns whether it is news.
    pub fn on_step(
        &mut self,
        now: MonotonicInstant,
        step: RolloutStep,
        confirmed_at: MonotonicInstant,
    ) -> bool {
        let confirmed_at = confirmed_at.min(now);
        let Some(known) = self.services.get_mut(&step.order.service) else {
            let (history, service) = (EvidenceHistory::default(), step.order.service.clone());
            let view = ServiceView { step, confirmed_at, history, is_convicted: false };
            self.services.insert(service, view);
            return true;
        };
        if known.step == step {
            known.confirmed_at = known.confirmed_at.max(confirmed_at);
            return false;
        }
        if !step.supersedes(&known.step) {
            return false;
        }
        if step.first_sequence != known.step.first_sequence {
            known.history = EvidenceHistory::default();
            known.is_convicted = false;
        }
        known.step = step;
        known.confirmed_at = confirmed_at;
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
        let Some(known) = self.services.get_mut(service) else { return Verdict::Undecided };
        if known.step.stage.is_final() {
            return Verdict::Undecided;
        }
        let verdict = known.history.judge(now, evidence);
        known.is_convicted |= matches!(verdict, Verdict::Bad { .. });
        verdict
    }

    /// Records that the holder stopped the order of first sequence `order`: its target gets no more
    /// new work from this daemon, whether or not the holder could store that. Returns whether that is
    /// news.
    pub fn on_stop(&mut self, service: &Service, order: u64) -> bool {
        let Some(known) = self.services.get_mut(service) else { return false };
        let is_news = known.step.first_sequence == order
            && !known.step.stage.is_final()
            && !known.is_convicted;
        known.is_convicted |= is_news;
        is_news
    }

    /// The newest step of a service.
    pub fn step(&self, service: &Service) -> Option<&RolloutStep> {
        self.services.get(service).map(|known| &known.step)
    }

    /// Whether this daemon has found the target of the newest step bad.
    pub fn is_convicted(&self, service: &Service) -> bool {
        self.services.get(service).is_some_and(|known| known.is_convicted)
    }

    /// The versions that may get a request. `draw` is in 0..1, from the request id. Allocates
    /// nothing.
    pub fn permits(
        &self,
        now: MonotonicInstant,
        service: &Service,
        route: &str,
        draw: f64,
        versions: &VersionsSeen,
    ) -> NewWork {
        if versions.0.is_empty() {
            return NewWork::Any;
        }
        let known = self.services.get(service);
        match known {
            Some(known) if self.governs(known, versions) => {
                known.permits(now, route, draw, versions)
            }
            _ if versions.0.len() == 1 => NewWork::Any,
            _ => self.without_step(known, versions),
        }
    }

    /// Whether a step covers the registered versions: a later order's target can be registered
    /// before its first step arrives.
    fn governs(&self, known: &ServiceView, versions: &VersionsSeen) -> bool {
        known.step.stage != Stage::Completed
            || versions.upstreams(&known.step.order.target) > 0
            || versions.0.len() == 1
    }

    /// Without a step, a version that a daemon hasn't known for long gets no work: the order for it
    /// may be on its way. Nor does one about which no holder has been heard since.
    fn without_step(&self, known: Option<&ServiceView>, versions: &VersionsSeen) -> NewWork {
        let is_released = |seen: &VersionSeen| {
            self.orders_at.is_some_and(|at| at >= seen.first_seen + VERSION_HOLD)
        };
        let Some(held) = versions.0.iter().find(|seen| !is_released(seen)) else {
            return NewWork::Any;
        };
        let rejected = known.filter(|known| known.step.stage == Stage::RolledBack);
        let rejected = rejected.map(|known| &known.step.order.target);
        let base = versions.oldest(|seen| rejected.is_none() || seen.version.as_ref() != rejected);
        match (base, &held.version) {
            (Some(VersionSeen { version: Some(base), .. }), _) => NewWork::Only(base.clone()),
            (Some(_), Some(held)) => NewWork::Except(held.clone()),
            _ => NewWork::Any,
        }
    }
}
