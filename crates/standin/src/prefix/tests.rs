use super::*;

const DELAY: Duration = Duration::from_millis(200);

fn hashes(numbers: std::ops::Range<u64>) -> Vec<BlockHash> {
    numbers.map(BlockHash).collect()
}

#[tokio::test(start_paused = true)]
async fn the_least_recently_used_blocks_are_evicted() {
    let mut cache = PrefixCache::new(4, EventDelivery { delay: DELAY, loss_period: 0 });
    cache.store(Instant::now(), &hashes(0..4));
    assert_eq!(2, cache.lookup(&hashes(0..2)));
    cache.store(Instant::now(), &hashes(10..12));
    assert_eq!(2, cache.lookup(&hashes(0..4)));
    assert_eq!(2, cache.lookup(&hashes(10..12)));
}

#[tokio::test(start_paused = true)]
async fn events_are_delayed_and_some_are_lost() {
    let mut cache = PrefixCache::new(8, EventDelivery { delay: DELAY, loss_period: 3 });
    cache.store(Instant::now(), &hashes(0..4));
    assert_eq!(CacheEvents { next: 1, events: Vec::new() }, cache.events(Instant::now(), 1));
    tokio::time::advance(DELAY).await;
    let stored = |number: u64| (number, CacheEvent::Stored { hash: number - 1 });
    let expected = CacheEvents { next: 5, events: vec![stored(1), stored(2), stored(4)] };
    assert_eq!(expected, cache.events(Instant::now(), 1));
}
