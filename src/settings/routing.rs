//! Settings of the choice of upstreams.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_policy::routing::{EngineSpeed, Headroom, RouterParams, Strategy};
use spindle_types::{DataCentre, Problems, Share, Span};

/// How upstreams are chosen.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// How one is chosen among those that can take a request.
    pub strategy: Strategy,
    /// The time over which a new or returning upstream is given more and more.
    pub slow_start: Span,
    /// The time between two reads of an upstream's load.
    pub load_interval: Span,
    /// The upstreams whose load and cache events are read: those that this daemon uses most.
    pub watched: u32,
    /// The share of the target to the first token that an estimate may use.
    pub first_share: Share,
    /// The share of the target between tokens that an estimate may use.
    pub interval_share: Share,
    /// Prompt tokens that an engine computes a second, until its speed is observed.
    pub prefill_rate: u32,
    /// The time of an engine's step with an empty batch.
    pub step_base: Span,
    /// The time that each generation adds to an engine's step.
    pub step_slope: Span,
    /// Generations that an engine runs at once.
    pub slots: u32,
    /// What the way to another data centre adds.
    pub remote_delay: Span,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        let EngineSpeed { prefill_rate, step_base, step_slope, slots } = EngineSpeed::default();
        let headroom = Headroom::default();
        Self {
            strategy: Strategy::default(),
            slow_start: Span::from_secs(10),
            load_interval: Span::from_secs(1),
            watched: 4,
            first_share: Share::try_from(headroom.first_token).unwrap_or_default(),
            interval_share: Share::try_from(headroom.token_interval).unwrap_or_default(),
            prefill_rate: prefill_rate as u32,
            step_base: Span(step_base),
            step_slope: Span(step_slope),
            slots,
            remote_delay: Span::from_millis(2),
        }
    }
}

impl RoutingSettings {
    /// The router's parameters for a daemon of a data centre.
    pub fn router_params(&self, home: DataCentre) -> RouterParams {
        RouterParams {
            home,
            strategy: self.strategy,
            speed: self.initial_engine_speed(),
            headroom: Headroom {
                first_token: self.first_share.get(),
                token_interval: self.interval_share.get(),
            },
            slow_start: self.slow_start.get(),
            remote_delay: self.remote_delay.get(),
        }
    }

    /// The speed of engines before any is observed.
    pub fn initial_engine_speed(&self) -> EngineSpeed {
        EngineSpeed {
            prefill_rate: f64::from(self.prefill_rate),
            step_base: self.step_base.get(),
            step_slope: self.step_slope.get(),
            slots: self.slots,
        }
    }

    pub(super) fn check(&self, problems: &mut Problems) {
        for (name, number) in [("prefill_rate", self.prefill_rate), ("slots", self.slots)] {
            if number == 0 {
                problems.add(format!("routing.{name}"), number, "1 or more");
            }
        }
        for (name, share) in
            [("first_share", self.first_share), ("interval_share", self.interval_share)]
        {
            if share.get() <= 0.0 {
                problems.add(format!("routing.{name}"), share.get(), "more than 0");
            }
        }
        if self.load_interval < Span::from_millis(50) {
            problems.add("routing.load_interval", self.load_interval, "50ms or more");
        }
    }
}
