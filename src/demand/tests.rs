use super::*;
use crate::deployment::Example;
use spindle_caller::wire::CompletionRequest;
use spindle_types::{Adapter, Model};

fn completion(adapter: Option<&str>) -> Completion {
    let raw = serde_json::json!({
        "model": "census-llm", "prompt": "count the pupils", "max_tokens": 9, "adapter": adapter,
    });
    Completion::try_from(serde_json::from_value::<CompletionRequest>(raw).unwrap()).unwrap()
}

#[test]
fn pools_are_those_with_model_adapter_and_role() {
    let mut config = Example::Kanem.configuration().unwrap();
    let model = Model::try_from("census-llm").unwrap();
    let (pool, spec) =
        config.pools_serving(&model).next().map(|(p, s)| (p.clone(), s.clone())).unwrap();
    let adapters = [Adapter::try_from("kano").unwrap()].into();
    let other = Pool::try_from("adapted").unwrap();
    config.pools.insert(other.clone(), PoolSpec { adapters, ..spec.clone() });
    let decode = Pool::try_from("decode").unwrap();
    config.pools.insert(decode, PoolSpec { role: Role::Decode, ..spec });
    let plain = for_generation(&config, &completion(None), &pool);
    let adapted = for_generation(&config, &completion(Some("kano")), &pool);
    assert_eq!(vec![other.clone(), pool.clone()], plain.pools);
    assert_eq!(vec![other], adapted.pools);
    assert_eq!((3, 9), (plain.prefill_tokens, plain.answer_tokens));
}
