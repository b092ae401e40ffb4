//! What a request asks of an upstream.

use spindle_types::config::{LatencyTarget, Role};
use spindle_types::{Adapter, BlockHash, Model, Pool, Version};

/// What a request asks of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// The pools that can serve it.
    pub pools: Vec<Pool>,
    /// The model; none for a plain service.
    pub model: Option<Model>,
    /// The version to which an answer that has begun is bound.
    pub version: Option<Version>,
    /// The adapter to apply.
    pub adapter: Option<Adapter>,
    /// The tokens to prefill: the prompt and what earlier attempts produced.
    pub prefill_tokens: u32,
    /// The tokens expected to be generated.
    pub answer_tokens: u32,
    /// The prompt's blocks.
    pub blocks: Vec<BlockHash>,
    /// The latency promised.
    pub latency_target: LatencyTarget,
}

impl Demand {
    /// A call to a plain service.
    pub fn call(pool: Pool) -> Self {
        Self { pools: vec![pool], ..Self::default() }
    }

    /// Whether an engine with this model, version, adapters and role can serve it.
    pub fn is_met(&self, loaded: &LoadedModel) -> bool {
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

/// What an engine has loaded, as it reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadedModel {
    /// The model.
    pub model: Option<Model>,
    /// The version of its weights.
    pub version: Option<Version>,
    /// The adapters beside it.
    pub adapters: Vec<Adapter>,
    /// What the engine does.
    pub role: Role,
}
