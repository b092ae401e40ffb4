//! Settings of the selection of upstreams.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_policy::routing::{EngineSpeed, Headroom, RouterParams, Strategy};
use spindle_types::{DataCentre, Problems, Share, Span};

/// Selection of upstreams.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// The strategy that selects one of the upstreams that can take a request.
    pub strategy: Strategy,
    /// Ramp-up time during which the limit on attempts at a new or recovered upstream rises.
    pub slow_start: Span,
    /// Time between two polls of an upstream's load.
    pub load_interval: Span,
    /// Number of upstreams whose load and cache events are polled: those that this daemon uses most.
    pub watched: u32,
    /// Fraction of the target time to the first token that an estimate may use.
    pub first_share: Share,
    /// Fraction of the target time between two tokens that an estimate may use.
    pub interval_share: Share,
    /// Prompt tokens that an engine prefills per second, assumed until its speed has been observed.
    pub prefill_rate: u32,
    /// Duration of a decoding step with an empty batch, assumed until it has been observed.
    pub step_base: Span,
    /// Time that each generation in the batch adds to a decoding step.
    pub step_slope: Span,
    /// Maximum number of generations that an engine runs concurrently.
    pub slots: u32,
    /// Network delay added to the expected time to the first token at an upstream in another data
    /// centre.
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
    /// The router's parameters for a daemon in the data centre `home`.
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

    /// The engine speed assumed until attempts have been observed.
    pub fn initial_engine_speed(&self) -> EngineSpeed {
        EngineSpeed {
            prefill_rate: f64::from(self.prefill_rate),
            step_base: self.step_base.get(),
            step_slope: self.step_slope.get(),
            slots: self.slots,
        }
    }

    pub(super) fn check(&self, problems: &mut Problems) {
        for (name, value) in [("prefill_rate", self.prefill_rate), ("slots", self.slots)] {
            if value == 0 {
                problems.add(format!("routing.{name}"), value, "1 or more");
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
