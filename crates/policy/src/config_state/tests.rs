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

fn checkpoint(config: &ConfigState) -> ConfigRecord {
    let state = Box::new(Configuration::clone(config.configuration()));
    ConfigRecord::Checkpoint { covers: config.covers(), state }
}

#[test]
fn concurrent_change_conflicts_with_the_first() {
    let mut config = ConfigState::new();
    let records = [change(0, "a"), change(0, "b"), change(1, "c")];
    let actual: Vec<_> = records
        .into_iter()
        .zip(1..)
        .map(|(record, offset)| config.on_record(Offset(offset), record))
        .collect();
    let expected = vec![
        ApplyOutcome::Applied { revision: Revision(1) },
        ApplyOutcome::Conflict { winner: Revision(1) },
        ApplyOutcome::Applied { revision: Revision(3) },
    ];
    assert_eq!(expected, actual);
}

#[test]
fn record_read_twice_has_one_effect() {
    let mut config = ConfigState::new();
    config.on_record(Offset(1), change(0, "a"));
    assert_eq!(ApplyOutcome::Ignored, config.on_record(Offset(1), change(1, "b")));
    assert_eq!(1, config.configuration().teams.len());
}

#[test]
fn record_appended_twice_has_one_effect() {
    let mut config = ConfigState::new();
    config.on_record(Offset(1), change(0, "a"));
    let actual = config.on_record(Offset(2), change(0, "a"));
    assert_eq!(ApplyOutcome::Conflict { winner: Revision(1) }, actual);
    assert_eq!(Revision(1), config.configuration().revision);
}

#[test]
fn invalid_change_is_rejected_with_its_reason() {
    let mut config = ConfigState::new();
    let team = Team::try_from("nobody").unwrap();
    let ApplyOutcome::Rejected { problems } =
        config.on_record(Offset(1), record(0, Change::RemoveTeam { team }))
    else {
        panic!("an invalid change was accepted");
    };
    let expected = "team: unknown nobody; allowed: none is configured";
    assert_eq!(expected, problems.to_string());
    assert_eq!(Revision(0), config.configuration().revision);
}

#[test]
fn reader_beyond_a_gap_waits_for_a_covering_checkpoint() {
    let mut reference = ConfigState::new();
    reference.on_record(Offset(1), change(0, "a"));
    reference.on_record(Offset(2), change(1, "b"));
    let covering = checkpoint(&reference);
    let mut config = ConfigState::new();
    config.on_record(Offset(1), change(0, "a"));
    config.on_oldest(Offset(3));
    assert_eq!(ApplyOutcome::Deferred, config.on_record(Offset(3), change(2, "c")));
    assert_eq!(
        (SyncStatus::Behind, Revision(1)),
        (config.sync_status(), config.configuration().revision)
    );
    let actual = config.on_record(Offset(4), covering);
    assert_eq!(ApplyOutcome::Restored { revision: Revision(3) }, actual);
    assert_eq!((SyncStatus::Current, Offset(4)), (config.sync_status(), config.covers()));
}

#[test]
fn checkpoint_that_leaves_a_gap_is_ignored() {
    let mut reference = ConfigState::new();
    reference.on_record(Offset(1), change(0, "a"));
    let old = checkpoint(&reference);
    let mut config = ConfigState::new();
    config.on_oldest(Offset(5));
    assert_eq!(ApplyOutcome::Ignored, config.on_record(Offset(5), old));
    assert_eq!(SyncStatus::Behind, config.sync_status());
}

#[test]
fn state_of_a_peer_never_lowers_the_revision() {
    let mut config = ConfigState::new();
    config.on_record(Offset(1), change(0, "a"));
    let older = Arc::new(Configuration::default());
    assert_eq!(ApplyOutcome::Ignored, config.on_state(Offset(9), older));
    assert_eq!(Revision(1), config.configuration().revision);
}

/// One record of a generated stream.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Append {
    Team { lag: u8, name: u8 },
    RemoveTeam { lag: u8, name: u8 },
    Pool { lag: u8, name: u8 },
    RemovePool { lag: u8, name: u8 },
    Checkpoint { lag: u8 },
    Undecodable,
}

/// One input of a generated reader.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Input {
    Read { count: u8 },
    Reread { back: u8 },
    Expire { count: u8 },
    Peer { at: u8 },
}

/// A stream, with the state of a reader that misses nothing: before the first record and after
/// each.
struct Stream {
    records: Vec<Option<ConfigRecord>>,
    states: Vec<ConfigState>,
}

fn stream(appends: &[Append]) -> Stream {
    let mut stream = Stream { records: Vec::new(), states: vec![ConfigState::new()] };
    for append in appends {
        let record = append_record(*append, &stream.states);
        let mut config = stream.states.last().unwrap().clone();
        let offset = config.next();
        match record.clone() {
            Some(record) => drop(config.on_record(offset, record)),
            None => config.skip(offset),
        }
        stream.records.push(record);
        stream.states.push(config);
    }
    stream
}

/// The record for `append`, based on the revision that was in force `lag / 64` records ago.
fn append_record(append: Append, states: &[ConfigState]) -> Option<ConfigRecord> {
    let at = |lag: u8| &states[states.len() - 1 - usize::from(lag / 64).min(states.len() - 1)];
    let base = |lag: u8| at(lag).configuration().revision.0;
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
    config: ConfigState,
    oldest: usize,
}

impl Reader<'_> {
    fn on_input(&mut self, input: Input) {
        let end = self.stream.records.len() + 1;
        match input {
            Input::Read { count } => self.read(usize::from(count % 8)),
            Input::Reread { back } => {
                let from = (self.config.next().0 as usize).saturating_sub(usize::from(back % 8));
                self.take(from.max(self.oldest).max(1));
            }
            Input::Expire { count } => {
                self.oldest = (self.oldest + usize::from(count % 8)).min(end);
            }
            Input::Peer { at } => {
                let peer = &self.stream.states[usize::from(at) % self.stream.states.len()];
                self.config.on_state(peer.covers(), Arc::clone(peer.configuration()));
            }
        }
    }

    fn read(&mut self, count: usize) {
        self.config.on_oldest(Offset(self.oldest as u64));
        for _ in 0..count {
            self.take(self.config.next().0 as usize);
        }
    }

    fn take(&mut self, offset: usize) {
        match self.stream.records.get(offset - 1) {
            None => {}
            Some(None) => self.config.skip(Offset(offset as u64)),
            Some(Some(record)) => {
                self.config.on_record(Offset(offset as u64), record.clone());
            }
        }
    }
}

#[test]
fn every_reader_has_the_state_of_the_records_it_covers() {
    check::<(Vec<Append>, Vec<Input>)>(2_000, |(appends, inputs)| {
        let stream = stream(appends);
        let mut reader = Reader { stream: &stream, config: ConfigState::new(), oldest: 1 };
        for input in inputs {
            let before = reader.config.configuration().revision;
            reader.on_input(*input);
            assert!(reader.config.configuration().revision >= before);
            let expected = &stream.states[reader.config.covers().0 as usize];
            assert_eq!(expected.configuration(), reader.config.configuration());
        }
        reader.read(stream.records.len() + 1);
        if reader.config.sync_status() == SyncStatus::Current {
            assert_eq!(
                stream.states.last().unwrap().configuration(),
                reader.config.configuration()
            );
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
        reader.on_update(sender.update_since(reader.configuration().revision));
        let expected = if sender.covers() > before.covers() { sender } else { &before };
        assert_eq!(expected.configuration(), reader.configuration());
    });
}

#[test]
fn reader_slightly_behind_gets_only_the_missing_changes() {
    let mut sender = ConfigState::new();
    sender.on_record(Offset(1), change(0, "a"));
    sender.on_record(Offset(2), change(1, "b"));
    let ConfigUpdate::Changes { changes, .. } = sender.update_since(Revision(1)) else {
        panic!("the whole state was sent");
    };
    assert_eq!(vec![Revision(2)], changes.iter().map(|c| c.revision).collect::<Vec<_>>());
}

#[test]
fn largest_offset_does_not_overflow() {
    let mut config = ConfigState::new();
    let last = Offset(u64::MAX);
    config.on_update(ConfigUpdate::State { covers: last, state: Arc::default() });
    config.on_record(last, change(0, "a"));
    config.skip(last);
    config.on_oldest(last);
    assert!(config.next() <= last);
}
