//! Requirements of a request on an upstream.

use spindle_types::config::{LatencyTarget, Role};
use spindle_types::{Adapter, BlockHash, Model, Pool, Version};

/// Requirements of a request on the upstream that serves it.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Pools that can serve the request.
    pub pools: Vec<Pool>,
    /// The requested model; `None` for a plain service.
    pub model: Option<Model>,
    /// The model version that produced the answer so far; a resumed answer has to continue with it.
    pub version: Option<Version>,
    /// The adapter to apply to the model.
    pub adapter: Option<Adapter>,
    /// Tokens to prefill: the prompt and the tokens produced by earlier attempts.
    pub prefill_tokens: u32,
    /// The expected length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Block hashes of the prompt, for the lookup in prefix caches.
    pub blocks: Vec<BlockHash>,
    /// The latency target of the request.
    pub latency_target: LatencyTarget,
}

impl Demand {
    /// Requirements of a call to a plain service.
    pub fn call(pool: Pool) -> Self {
        Self { pools: vec![pool], ..Self::default() }
    }

    /// Whether an engine with this model, version, adapters and role can serve the request.
    pub fn is_met_by(&self, loaded: &LoadedModel) -> bool {
        let Some(model) = &self.model else {
            return true;
        };
        let version = self
            .version
            .as_ref()
            .is_none_or(|asked| loaded.version.as_ref().is_none_or(|version| version == asked));
        let adapter = self.adapter.as_ref().is_none_or(|adapter| loaded.adapters.contains(adapter));
        loaded.model.as_ref() == Some(model) && version && adapter && loaded.role != Role::Decode
    }
}

/// Model, adapters and role that an engine reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadedModel {
    /// The loaded model.
    pub model: Option<Model>,
    /// The version of the model weights.
    pub version: Option<Version>,
    /// Adapters loaded in addition to the model.
    pub adapters: Vec<Adapter>,
    /// Whether the engine prefills, decodes, or does both.
    pub role: Role,
}
