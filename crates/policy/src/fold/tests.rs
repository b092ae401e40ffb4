use super::*;
use crate::cases::check;
use bolero::TypeGenerator;
use spindle_types::config::TeamSpec;
use spindle_types::{Operator, PoolSpec, Team, UtcInstant};

fn record(base: u64, change: Change) -> ConfigRecord {
    ConfigRecord::Change {
        base: Revision(base),
        operator: Operator::try_from("ana").unwrap(),
        at: UtcInstant(0),
        nonce: 0,
        change: Box::new(change),
    }
}

fn change(base: u64, team: &str) -> ConfigRecord {
    let team = Team::try_from(team).unwrap();
    record(base, Change::PutTeam { team, spec: TeamSpec::default() })
}

fn checkpoint(fold: &Fold) -> ConfigRecord {
    let state = Box::new(Configuration::clone(fold.state()));
    ConfigRecord::Checkpoint { covers: fold.covers(), state }
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

#[test]
fn record_appended_twice_has_one_effect() {
    let mut fold = Fold::new();
    fold.on_record(Offset(1), change(0, "a"));
    let actual = fold.on_record(Offset(2), change(0, "a"));
    assert_eq!(Folded::Conflict { winner: Revision(1) }, actual);
    assert_eq!(Revision(1), fold.state().revision);
}

#[test]
fn invalid_change_is_rejected_with_its_reason() {
    let mut fold = Fold::new();
    let team = Team::try_from("nobody").unwrap();
    let Folded::Rejected { problems } =
        fold.on_record(Offset(1), record(0, Change::RemoveTeam { team }))
    else {
        panic!("accepted a change that is not valid");
    };
    let expected = "team: unknown nobody; allowed: none is configured";
    assert_eq!(expected, problems.to_string());
    assert_eq!(Revision(0), fold.state().revision);
}

#[test]
fn reader_beyond_a_gap_waits_for_a_covering_checkpoint() {
    let mut reference = Fold::new();
    reference.on_record(Offset(1), change(0, "a"));
    reference.on_record(Offset(2), change(1, "b"));
    let covering = checkpoint(&reference);
    let mut fold = Fold::new();
    fold.on_record(Offset(1), change(0, "a"));
    fold.on_oldest(Offset(3));
    assert_eq!(Folded::Collected, fold.on_record(Offset(3), change(2, "c")));
    assert_eq!((Standing::Behind, Revision(1)), (fold.standing(), fold.state().revision));
    let actual = fold.on_record(Offset(4), covering);
    assert_eq!(Folded::Restored { revision: Revision(3) }, actual);
    assert_eq!((Standing::Current, Offset(4)), (fold.standing(), fold.covers()));
}

#[test]
fn checkpoint_that_leaves_a_gap_is_ignored() {
    let mut reference = Fold::new();
    reference.on_record(Offset(1), change(0, "a"));
    let old = checkpoint(&reference);
    let mut fold = Fold::new();
    fold.on_oldest(Offset(5));
    assert_eq!(Folded::Ignored, fold.on_record(Offset(5), old));
    assert_eq!(Standing::Behind, fold.standing());
}

#[test]
fn state_of_a_peer_never_lowers_the_revision() {
    let mut fold = Fold::new();
    fold.on_record(Offset(1), change(0, "a"));
    let older = Arc::new(Configuration::default());
    assert_eq!(Folded::Ignored, fold.on_state(Offset(9), older));
    assert_eq!(Revision(1), fold.state().revision);
}

/// A record of the generated stream.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Append {
    Team { lag: u8, name: u8 },
    RemoveTeam { lag: u8, name: u8 },
    Pool { lag: u8, name: u8 },
    RemovePool { lag: u8, name: u8 },
    Checkpoint { lag: u8 },
    Undecodable,
}

/// What a reader is fed.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Feed {
    Read { count: u8 },
    Reread { back: u8 },
    Expire { count: u8 },
    Peer { at: u8 },
}

/// A stream with the state of a reader that misses nothing after each record.
struct Stream {
    records: Vec<Option<ConfigRecord>>,
    states: Vec<Fold>,
}

fn stream(appends: &[Append]) -> Stream {
    let mut stream = Stream { records: Vec::new(), states: vec![Fold::new()] };
    for append in appends {
        let record = append_record(*append, &stream.states);
        let mut fold = stream.states.last().unwrap().clone();
        let offset = fold.next();
        match record.clone() {
            Some(record) => drop(fold.on_record(offset, record)),
            None => fold.skip(offset),
        }
        stream.records.push(record);
        stream.states.push(fold);
    }
    stream
}

/// The record, based on a revision `lag` records old; mostly the newest one.
fn append_record(append: Append, states: &[Fold]) -> Option<ConfigRecord> {
    let at = |lag: u8| &states[states.len() - 1 - usize::from(lag / 64).min(states.len() - 1)];
    let base = |lag: u8| at(lag).state().revision.0;
    let team = |name: u8| Team::try_from(format!("t{}", name % 4)).unwrap();
    let pool = |name: u8| format!("p{}", name % 4).parse().unwrap();
    let spec = PoolSpec::default();
    Some(match append {
        Append::Team { lag, name } => change(base(lag), team(name).as_str()),
        Append::RemoveTeam { lag, name } => {
            record(base(lag), Change::RemoveTeam { team: team(name) })
        }
        Append::Pool { lag, name } => record(base(lag), Change::PutPool { pool: pool(name), spec }),
        Append::RemovePool { lag, name } => {
            record(base(lag), Change::RemovePool { pool: pool(name) })
        }
        Append::Checkpoint { lag } => checkpoint(at(lag)),
        Append::Undecodable => return None,
    })
}

struct Reader<'a> {
    stream: &'a Stream,
    fold: Fold,
    oldest: usize,
}

impl Reader<'_> {
    fn feed(&mut self, feed: Feed) {
        let end = self.stream.records.len() + 1;
        match feed {
            Feed::Read { count } => self.read(usize::from(count % 8)),
            Feed::Reread { back } => {
                let from = (self.fold.next().0 as usize).saturating_sub(usize::from(back % 8));
                self.take(from.max(self.oldest).max(1));
            }
            Feed::Expire { count } => {
                self.oldest = (self.oldest + usize::from(count % 8)).min(end);
            }
            Feed::Peer { at } => {
                let peer = &self.stream.states[usize::from(at) % self.stream.states.len()];
                self.fold.on_state(peer.covers(), Arc::clone(peer.state()));
            }
        }
    }

    fn read(&mut self, count: usize) {
        self.fold.on_oldest(Offset(self.oldest as u64));
        for _ in 0..count {
            self.take(self.fold.next().0 as usize);
        }
    }

    fn take(&mut self, offset: usize) {
        match self.stream.records.get(offset - 1) {
            None => {}
            Some(None) => self.fold.skip(Offset(offset as u64)),
            Some(Some(record)) => {
                self.fold.on_record(Offset(offset as u64), record.clone());
            }
        }
    }
}

#[test]
fn every_reader_has_the_state_of_the_records_it_covers() {
    check::<(Vec<Append>, Vec<Feed>)>(2_000, |(appends, feeds)| {
        let stream = stream(appends);
        let mut reader = Reader { stream: &stream, fold: Fold::new(), oldest: 1 };
        for feed in feeds {
            let before = reader.fold.state().revision;
            reader.feed(*feed);
            assert!(reader.fold.state().revision >= before);
            let expected = &stream.states[reader.fold.covers().0 as usize];
            assert_eq!(expected.state(), reader.fold.state());
        }
        reader.read(stream.records.len() + 1);
        if reader.fold.standing() == Standing::Current {
            assert_eq!(stream.states.last().unwrap().state(), reader.fold.state());
        }
    });
}

#[test]
fn update_brings_any_older_reader_to_the_same_state() {
    check::<(Vec<Append>, u8, u8)>(1_000, |(appends, from, to)| {
        let stream = stream(appends);
        let at = |index: u8| &stream.states[usize::from(index) % stream.states.len()];
        let (mut reader, sender) = (at(*from).clone(), at(*to));
        let before = reader.clone();
        reader.on_update(sender.update_since(reader.state().revision));
        let expected = if sender.covers() > before.covers() { sender } else { &before };
        assert_eq!(expected.state(), reader.state());
    });
}

#[test]
fn reader_that_is_a_little_behind_gets_changes_alone() {
    let mut sender = Fold::new();
    sender.on_record(Offset(1), change(0, "a"));
    sender.on_record(Offset(2), change(1, "b"));
    let Update::Changes { changes, .. } = sender.update_since(Revision(1)) else {
        panic!("the whole state was sent");
    };
    assert_eq!(vec![Revision(2)], changes.iter().map(|c| c.revision).collect::<Vec<_>>());
}

#[test]
fn largest_offset_stops_no_reader() {
    let mut fold = Fold::new();
    let last = Offset(u64::MAX);
    fold.on_update(Update::State { covers: last, state: Arc::default() });
    fold.on_record(last, change(0, "a"));
    fold.skip(last);
    fold.on_oldest(last);
    assert!(fold.next() <= last);
}
