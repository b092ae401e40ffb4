use super::*;

fn hashes(model: &str, prompt: &str) -> Vec<BlockHash> {
    PromptBlocks::of(&Model::try_from(model).unwrap(), None, prompt).hashes
}

#[test]
fn hash_covers_the_block_and_all_before_it() {
    let words: Vec<String> = (0..40).map(|i| format!("w{i}")).collect();
    let whole = hashes("m", &words.join(" "));
    let prefix = hashes("m", &words[..35].join("\n"));
    assert_eq!(2, whole.len());
    assert_eq!(whole, prefix);
    let mut changed = words.clone();
    changed[0] = "other".to_owned();
    let changed = hashes("m", &changed.join(" "));
    assert!(changed.iter().zip(&whole).all(|(a, b)| a != b));
    assert_ne!(whole, hashes("n", &words.join(" ")));
}

#[test]
fn hashes_stay_the_same_across_releases() {
    let words = vec!["word"; 32].join(" ");
    let actual = hashes("census-llm", &words);
    insta::assert_debug_snapshot!(actual);
}
