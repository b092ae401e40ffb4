use super::*;

fn claim(incarnation: u64) -> Claim {
    Claim {
        team: Team::try_from("clara").unwrap(),
        key: IdempotencyKey::try_from("k1").unwrap(),
        incarnation: Incarnation(incarnation),
        nonce: incarnation,
    }
}

#[test]
fn lowest_offset_wins_for_every_reader() {
    let mut table = ClaimTable::new();
    table.on_claim(Offset(4), claim(1));
    let actual = table.on_claim(Offset(9), claim(2));
    let expected = Winner { offset: Offset(4), incarnation: Incarnation(1), nonce: 1 };
    assert_eq!(expected, actual);
    assert_eq!(Offset(10), table.next());
}
