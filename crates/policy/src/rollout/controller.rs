//! The lease holder's decisions on one rollout.

use super::{FleetView, RolloutBounds, RolloutOrder, RolloutStep};
use spindle_types::{MonotonicInstant, Service, UtcInstant};

/// Runs at the lease holder: one for each service with an order or a stored step.
///
/// A step that [`Self::next_step`] proposes is in force only once [`Self::on_stored`] has been
/// called with it, after the store acknowledged it. Until then, each call proposes anew.
#[derive(Debug)]
pub struct RolloutController {
    service: Service,
    bounds: RolloutBounds,
    /// When the orders were last listed.
    listed_at: Option<MonotonicInstant>,
    current: Option<RolloutStep>,
}

impl RolloutController {
    /// Creates the controller of a service. `listed_at` is when this holder last listed the orders
    /// without one for this service; none if this is its first listing. The order is assumed to be
    /// as old as that allows.
    pub fn new(
        service: Service,
        bounds: RolloutBounds,
        listed_at: Option<MonotonicInstant>,
    ) -> Self {
        Self { service, bounds, listed_at, current: None }
    }

    /// The step in force.
    pub fn current(&self) -> Option<&RolloutStep> {
        self.current.as_ref()
    }

    /// The newest order in a listing that was read in the store's era `era`; none if the key is gone
    /// or has no value, which withdraws the order. To be called for each listing that succeeded.
    pub fn on_order(
        &mut self,
        now: MonotonicInstant,
        utc: UtcInstant,
        era: u64,
        order: Option<RolloutOrder>,
    ) {
        let _ = (utc, era, order, &self.service, &self.bounds);
        self.listed_at = Some(now);
    }

    /// A step that was acknowledged by the store, read at take-over, or received from a peer: the
    /// most advanced step wins.
    pub fn on_stored(&mut self, now: MonotonicInstant, step: RolloutStep) {
        let _ = now;
        self.current = Some(step);
    }

    /// The next step, to be stored and then sent; none if the step in force remains.
    pub fn next_step(
        &mut self,
        now: MonotonicInstant,
        utc: UtcInstant,
        view: &FleetView,
    ) -> Option<RolloutStep> {
        let _ = (now, utc, view);
        None
    }
}
