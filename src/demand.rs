//! Derives the routing demand of a generation from its request and the configuration.

use spindle_caller::Completion;
use spindle_policy::routing::Demand;
use spindle_types::config::Role;
use spindle_types::{Configuration, Pool, PoolSpec, PromptBlocks};

/// The demand of a generation; `pool` is used if no pool suits its model, adapter and role.
pub(crate) fn for_generation(
    config: &Configuration,
    completion: &Completion,
    pool: &Pool,
) -> Demand {
    let Completion { model, adapter, prompt, max_tokens, .. } = completion;
    let suits = |spec: &PoolSpec| {
        spec.role != Role::Decode
            && adapter.as_ref().is_none_or(|adapter| spec.adapters.contains(adapter))
    };
    let suited = config.pools_serving(model).filter(|(_, spec)| suits(spec));
    let mut pools: Vec<_> = suited.map(|(pool, _)| pool.clone()).collect();
    if pools.is_empty() {
        pools.push(pool.clone());
    }
    let target = config.pools.get(&pools[0]).map(|spec| spec.target).unwrap_or_default();
    let blocks = PromptBlocks::of(model, adapter.as_ref(), prompt);
    Demand {
        pools,
        model: Some(model.clone()),
        version: None,
        adapter: adapter.clone(),
        prefill_tokens: blocks.tokens,
        answer_tokens: *max_tokens,
        blocks: blocks.hashes,
        latency_target: target,
    }
}

#[cfg(test)]
mod tests;
