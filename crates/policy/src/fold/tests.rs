use super::*;
use spindle_types::config::TeamSpec;
use spindle_types::{Change, Operator, Team, UtcInstant};

fn change(base: u64, team: &str) -> ConfigRecord {
    ConfigRecord::Change {
        base: Revision(base),
        operator: Operator::try_from("ana").unwrap(),
        at: UtcInstant(0),
        nonce: 0,
        change: Box::new(Change::PutTeam {
            team: Team::try_from(team).unwrap(),
            spec: TeamSpec::default(),
        }),
    }
}

#[test]
fn racing_change_loses_to_the_first() {
    let mut fold = Fold::new();
    let records = [change(0, "a"), change(0, "b"), change(1, "c")];
    let actual: Vec<_> = records
        .into_iter()
        .zip(1..)
        .map(|(record, offset)| fold.on_record(Offset(offset), record))
        .collect();
    let expected = vec![
        Folded::Applied { revision: Revision(1) },
        Folded::Conflict { winner: Revision(1) },
        Folded::Applied { revision: Revision(3) },
    ];
    assert_eq!(expected, actual);
}

#[test]
fn record_read_twice_has_one_effect() {
    let mut fold = Fold::new();
    fold.on_record(Offset(1), change(0, "a"));
    assert_eq!(Folded::Ignored, fold.on_record(Offset(1), change(1, "b")));
    assert_eq!(1, fold.state().teams.len());
}
