use super::*;
use bytes::Bytes;
use http::{HeaderMap, Method};
use spindle_caller::Completion;
use spindle_caller::wire::CompletionRequest;

fn generation(team: &str, prompt: &str) -> Work {
    let raw = serde_json::json!({ "model": "sommelier-llm", "prompt": prompt });
    let raw: CompletionRequest = serde_json::from_value(raw).unwrap();
    let completion = Completion::try_from(raw).unwrap();
    let blocks = spindle_types::PromptBlocks::of(&completion.model, None, &completion.prompt);
    let demand = Demand { blocks: blocks.hashes, ..Demand::default() };
    let pool = Pool::try_from("cellar").unwrap();
    let accepted = AcceptedRequest { team: Team::try_from(team).unwrap(), pool, completion };
    Work::generation(RequestId(1), &accepted, &demand)
}

/// Guards against a shared start of prompts that isn't blamed, or an own end that is blamed as if
/// others shared it.
#[test]
fn generations_share_the_keys_of_the_start_of_their_prompts_only() {
    let start = "vin ".repeat(40);
    let first = generation("cava", &format!("{start} {}", "rouge ".repeat(40)));
    let second = generation("cava", &format!("{start} {}", "blanc ".repeat(40)));
    let shared = first.keys.iter().filter(|key| second.keys.contains(key)).count();
    // Of 80 tokens, the blocks of 16 that end after 16 and 32 are shared; the fifth isn't blamed.
    assert_eq!((2, 5), (shared, first.keys.len()));
}

/// Guards against a request that escapes its verdict when it is repeated, and against one team's
/// verdict on its request taking effect on another team's.
#[test]
fn a_repeated_request_of_a_team_has_the_same_key() {
    let key = |team: &str| *generation(team, "vin rouge").keys.last().unwrap();
    assert_eq!(key("cava"), key("cava"));
    assert_ne!(key("cava"), key("prosecco"));
}

/// Guards against one long prompt displacing what else is remembered.
#[test]
fn a_long_prompt_has_a_bounded_number_of_keys() {
    let work = generation("cava", &"vin ".repeat(16 * 2 * BLOCKS_MAX));
    assert_eq!(BLOCKS_MAX + 1, work.keys.len());
}

#[test]
fn calls_differ_by_method_path_and_body() {
    let key = |method: Method, path: &str, body: &'static str| {
        let body = Bytes::from_static(body.as_bytes());
        let call = Call { method, path: path.to_owned(), headers: HeaderMap::new(), body };
        let team = Team::try_from("cava").unwrap();
        Work::call(&team, &Pool::try_from("cellar").unwrap(), &call).keys
    };
    let first = key(Method::POST, "/a", "x");
    assert_eq!(first, key(Method::POST, "/a", "x"));
    for other in
        [key(Method::PUT, "/a", "x"), key(Method::POST, "/b", "x"), key(Method::POST, "/a", "y")]
    {
        assert_ne!(first, other);
    }
}
