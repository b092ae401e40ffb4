use super::*;

fn blocks(from: u64, to: u64) -> Vec<BlockHash> {
    (from..to).map(BlockHash).collect()
}

#[test]
fn cached_tokens_end_at_the_first_missing_block() {
    let mut cache = EstimatedCache::default();
    cache.on_prompt(&blocks(0, 8));
    cache.on_events(1, &[(0, CacheChange::Evicted(BlockHash(3)))]);
    assert_eq!(3 * 16, cache.cached_tokens(&blocks(0, 8)));
}

#[test]
fn gap_in_the_events_drops_the_least_recently_used_half() {
    let mut cache = EstimatedCache::default();
    let stored = |number: u64| (number, CacheChange::Stored(BlockHash(number)));
    cache.on_events(4, &[stored(0), stored(1), stored(2), stored(3)]);
    cache.on_events(10, &[stored(9)]);
    let actual: Vec<_> = (0..10).filter(|i| cache.cached_tokens(&[BlockHash(*i)]) > 0).collect();
    assert_eq!(vec![2, 3, 9], actual);
    assert_eq!(10, cache.next());
}

#[test]
fn restart_of_the_upstream_empties_the_cache() {
    let mut cache = EstimatedCache::default();
    cache.on_events(50, &[(49, CacheChange::Stored(BlockHash(1)))]);
    cache.on_events(1, &[(0, CacheChange::Stored(BlockHash(2)))]);
    assert_eq!(1, cache.len());
    assert_eq!(1, cache.next());
}

#[test]
fn number_of_blocks_is_bounded() {
    let mut cache = EstimatedCache::default();
    for start in 0..40 {
        cache.on_prompt(&blocks(start * 1_000, (start + 1) * 1_000));
    }
    assert_eq!(BLOCKS_MAX, cache.len());
    assert!(cache.uses.len() <= 4 * BLOCKS_MAX);
}
