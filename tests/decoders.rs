//! Fuzzes the decoders of wire and settings documents with mutated documents from fixed seeds. A
//! decoder must not panic, and a value that it accepts must survive an encoding round trip.

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use bronzespindle::settings::{ExperimentSettings, Settings, TrafficSettings, check_document};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use spindle_caller::{ChatRequest, Completion, CompletionRequest};
use spindle_types::{ConfigRecord, Configuration};

/// The number of mutated documents per decoder.
const CASES: u64 = 2_000;

/// The number of mutated settings documents. It is lower than [`CASES`] because each one is checked
/// against a schema.
const DOCUMENT_CASES: u64 = 40;

/// A mutation of a document. The `u16` is a byte position, modulo the length of the document.
#[derive(Clone, Debug, TypeGenerator)]
enum Mutation {
    Replace(u16, u8),
    Remove(u16),
    Insert(u16, u8),
    Truncate(u16),
    Repeat(u16, u8),
}

impl Mutation {
    fn apply(&self, text: &mut Vec<u8>) {
        if text.is_empty() {
            return;
        }
        let length = text.len();
        let index = |at: u16| usize::from(at) % length;
        match *self {
            Self::Replace(at, byte) => text[index(at)] = byte,
            Self::Remove(at) => {
                text.remove(index(at));
            }
            Self::Insert(at, byte) => text.insert(index(at), byte),
            Self::Truncate(at) => text.truncate(index(at)),
            Self::Repeat(at, count) => {
                let at = index(at);
                let part = text[at..(at + usize::from(count)).min(length)].to_vec();
                text.splice(at..at, part);
            }
        }
    }
}

fn mutate(sample: &str, seed: u64) -> Vec<u8> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let bytes: Vec<u8> = (0..64).map(|_| random.random()).collect();
    let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
    let mut text = sample.as_bytes().to_vec();
    for _ in 0..random.random_range(1..4) {
        if let Some(mutation) = Mutation::generate(&mut driver) {
            mutation.apply(&mut text);
        }
    }
    text
}

/// Checks that a decoder doesn't panic and that accepted values survive a round trip.
fn check<T: DeserializeOwned + Serialize>(name: &str, sample: &str) {
    let unmodified: T = serde_json::from_str(sample).unwrap_or_else(|e| panic!("{name}: {e}"));
    drop(unmodified);
    let mut accepted = 0;
    for seed in 0..CASES {
        let Ok(value) = serde_json::from_slice::<T>(&mutate(sample, seed)) else {
            continue;
        };
        accepted += 1;
        let first = serde_json::to_string(&value).unwrap();
        let again: T = serde_json::from_str(&first)
            .unwrap_or_else(|e| panic!("{name}, seed {seed}: {e}: {first}"));
        assert_eq!(first, serde_json::to_string(&again).unwrap(), "{name}, seed {seed}");
    }
    assert!(accepted > 0, "{name}: no mutated document was accepted");
}

const CHUNK: &str = r#"{"request":"000000000000000000000000000000ff","attempt":2,"offset":7,
    "tokens":[" a"," b"],"finish":"stop","prefilled":12}"#;

const CHANGE: &str = r#"{"record":"change","base":3,"operator":"ana","at":17,"nonce":9,
    "change":{"kind":"put_team","team":"casa-limon","spec":{"keys":[],"weight":2}}}"#;

#[test]
fn engine_messages() {
    use spindle_engine::wire::{CacheEvents, Chunk, GenerateRequest, Load, Order, OrderReply};
    check::<Chunk>("chunk", CHUNK);
    check::<GenerateRequest>(
        "generate",
        r#"{"request":"000000000000000000000000000000ff","attempt":1,"model":"m","prompt":"a b",
            "produced":[" c"],"max_tokens":9,"priority":"batch"}"#,
    );
    check::<Load>(
        "load",
        r#"{"age_ms":5,"running":1,"waiting":2,"queued_tokens":3,"model":"m","version":"v1","adapters":["a"],"role":"decode"}"#,
    );
    check::<CacheEvents>(
        "cache events",
        r#"{"next":3,"events":[[1,{"kind":"stored","hash":7}],[2,{"kind":"evicted","hash":7}]]}"#,
    );
    check::<Order>(
        "order",
        r#"{"fencing":4,"revision":5,"model":"m","version":"v1","adapters":[],"role":"mixed"}"#,
    );
    check::<OrderReply>("order reply", r#""fenced""#);
}

#[test]
fn platform_messages() {
    use spindle_cloud::wire::{Notices, Offer, RunningList, StartRequest};
    use spindle_log::wire::{AppendReply, AppendRequest, Batch};
    let start = r#"{"token":"t-1","data_centre":"a","class":"c","market":"on_demand","pool":"p"}"#;
    check::<StartRequest>("start", start);
    check::<RunningList>(
        "running",
        &format!(r#"{{"running":[{{"instance":"i-1","start":{start}}}]}}"#),
    );
    check::<Vec<Offer>>(
        "offers",
        r#"[{"data_centre":"a","class":"c","market":"reclaimable","hourly_price":"1.50","available":3}]"#,
    );
    check::<Notices>(
        "notices",
        r#"{"notices":[{"number":1,"instance":"i-1","stops_at":99,"remaining_ms":5}]}"#,
    );
    check::<spindle_instances::InstanceListing>(
        "listing",
        r#"{"entries":[{"instance":"i-1","data_centre":"a","class":"c","market":"on_demand",
            "address":"127.0.0.1:80","kind":{"kind":"upstream","pool":"p"},"state":"live"}]}"#,
    );
    check::<AppendRequest>("append", r#"{"records":[{"a":1}]}"#);
    check::<AppendReply>("append reply", r#"{"first":3}"#);
    check::<Batch>(
        "batch",
        r#"{"oldest":1,"end":3,"records":[{"offset":1,"at":7,"body":{"a":1}}]}"#,
    );
    check::<spindle_weights::ReadReply>("read reply", &weights_reply());
}

#[test]
fn daemon_messages() {
    use spindle_policy::config_update::ConfigUpdate;
    use spindle_policy::lease::LeaseRecord;
    use spindle_policy::membership::Heartbeat;
    check::<Heartbeat>(
        "heartbeat",
        r#"{"from":"00000000000000ff","data_centre":"a","revision":3,"age":12,"packet":{"delta":{
            "root":7,"upto":5,"seen":4,"items":[{"record":["00000000000000ff","i-1","a",
            "10.0.0.1:80","10.0.0.1:81",1,"live",false]},{"pulse":["00000000000000ff",2,3,4]},
            {"mark":{"instance":"i-2","at":9}}]}}}"#,
    );
    check::<ConfigUpdate>(
        "update",
        r#"{"update":"changes","covers":9,"changes":[{"base":3,"revision":8,
            "change":{"kind":"remove_team","team":"casa-limon"}}]}"#,
    );
    check::<LeaseRecord>(
        "lease",
        r#"{"holder":"00000000000000ff","after":4,"term":"10s",
            "action":{"renew":{"fencing":2}},"nonce":11}"#,
    );
}

fn weights_reply() -> String {
    serde_json::to_string(&spindle_weights::ReadReply::Wait { after_ms: 5 }).unwrap()
}

#[test]
fn configuration_records() {
    check::<ConfigRecord>("change", CHANGE);
    check::<Configuration>(
        "configuration",
        r#"{"revision":4,"teams":{"a":{"keys":[],"weight":1}},"pools":{"p":{"model":"m"}},
            "services":{"s":{"pool":"p","routes":[{"method":"GET","path":"/","repeat":"never"}]}},
            "plan":null}"#,
    );
}

#[test]
fn caller_requests() {
    let chat = r#"{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":5,
        "stream":true,"priority":"batch"}"#;
    let text = r#"{"model":"m","prompt":"a","max_tokens":5,"stream":true}"#;
    let mut accepted = 0;
    for seed in 0..CASES {
        if let Ok(raw) = serde_json::from_slice::<ChatRequest>(&mutate(chat, seed)) {
            accepted += usize::from(Completion::try_from(raw).is_ok());
        }
        if let Ok(raw) = serde_json::from_slice::<CompletionRequest>(&mutate(text, seed)) {
            accepted += usize::from(Completion::try_from(raw).is_ok());
        }
    }
    assert!(accepted > 0);
}

#[test]
fn settings_documents() {
    let settings = include_str!("../examples/vendimia/settings.yaml");
    let experiment = include_str!("../experiments/reclaim.yaml");
    let configuration = include_str!("../examples/kanem/configuration.yaml");
    for seed in 0..DOCUMENT_CASES {
        let text = |sample| String::from_utf8_lossy(&mutate(sample, seed)).into_owned();
        for problems in [
            check_document::<Settings>(&text(settings)).err(),
            check_document::<ExperimentSettings>(&text(experiment)).err(),
            check_document::<TrafficSettings>(&text("seed: 3\nrate: 5.0\n")).err(),
            check_document::<Configuration>(&text(configuration)).err(),
        ]
        .into_iter()
        .flatten()
        {
            assert!(!problems.is_empty(), "seed {seed}");
        }
    }
}
