use super::*;

const WINDOW: Duration = Duration::from_secs(100);

fn call(key: &str) -> CallKey {
    CallKey { team: Team::try_from("clara").unwrap(), key: IdempotencyKey::try_from(key).unwrap() }
}

fn claimant(number: u64) -> Claimant {
    Claimant { incarnation: Incarnation(number), nonce: number }
}

fn claim(number: u64) -> ClaimRecord {
    ClaimRecord::Claim { call: call("k1"), claimant: claimant(number), digest: 7 }
}

fn page(oldest: u64, records: Vec<(u64, u64, ClaimRecord)>) -> Page {
    let end = records.last().map_or(oldest, |(offset, ..)| offset + 1);
    let records = records
        .into_iter()
        .map(|(offset, at, record)| (Offset(offset), UtcInstant(at * 1_000), Some(record)))
        .collect();
    Page { oldest: Offset(oldest), end: Offset(end), records }
}

fn winner(table: &ClaimTable) -> Option<Claimant> {
    table.get(&call("k1")).map(|claimed| claimed.claimant)
}

#[test]
fn lowest_offset_wins_for_every_reader() {
    let mut table = ClaimTable::new(WINDOW);
    table.on_page(page(1, vec![(1, 1, claim(1)), (2, 2, claim(2))]));
    assert_eq!(Some(claimant(1)), winner(&table));
    assert_eq!(Offset(3), table.next());
}

#[test]
fn released_claim_frees_the_key_and_never_wins_later() {
    let release = ClaimRecord::Release { call: call("k1"), claimant: claimant(1) };
    let mut table = ClaimTable::new(WINDOW);
    table.on_page(page(1, vec![(1, 1, claim(1)), (2, 2, release), (3, 3, claim(1))]));
    assert_eq!(None, winner(&table));
    table.on_page(page(1, vec![(4, 4, claim(2))]));
    assert_eq!(Some(claimant(2)), winner(&table));
}

#[test]
fn rewritten_claim_outlives_the_original_records() {
    let mut first = ClaimTable::new(WINDOW);
    first.on_page(page(1, vec![(1, 1, claim(1)), (2, 50, claim(2))]));
    let rewrites = first.due_rewrites(UtcInstant::default(), Duration::from_secs(40), 10);
    assert_eq!(1, rewrites.len());
    let mut late = ClaimTable::new(WINDOW);
    late.on_page(page(3, vec![(3, 51, rewrites[0].clone())]));
    assert_eq!(first.get(&call("k1")), late.get(&call("k1")));
}

#[test]
fn claim_in_a_stream_without_new_records_is_rewritten() {
    let mut table = ClaimTable::new(WINDOW);
    table.on_page(page(1, vec![(1, 1, claim(1))]));
    let age = Duration::from_secs(40);
    assert!(table.due_rewrites(UtcInstant(40_000), age, 10).is_empty());
    assert_eq!(1, table.due_rewrites(UtcInstant(41_000), age, 10).len());
}

#[test]
fn gap_is_reported_and_the_table_starts_again() {
    let mut table = ClaimTable::new(WINDOW);
    table.on_page(page(1, vec![(1, 1, claim(1))]));
    let actual = table.on_page(Page { oldest: Offset(5), end: Offset(9), records: Vec::new() });
    assert_eq!(Continuity::Gap, actual);
    assert!(!table.is_current());
    assert_eq!((Offset(5), None), (table.next(), winner(&table)));
}

#[test]
fn claim_is_forgotten_after_the_window() {
    let mut table = ClaimTable::new(WINDOW);
    table.on_page(page(1, vec![(1, 1, claim(1)), (2, 102, claim(2))]));
    assert_eq!(Some(claimant(2)), winner(&table));
}

#[test]
fn only_keys_that_contain_a_time_tell_their_age() {
    let time = |key: &str| key_time(&IdempotencyKey::try_from(key).unwrap());
    let expected = Some(UtcInstant(0x0190_0000_0001));
    assert_eq!(expected, time("01900000-0001-7abc-8def-0123456789ab"));
    assert_eq!(None, time("01900000-0001-4abc-8def-0123456789ab"));
    assert_eq!(None, time("booking-7"));
}
