use super::*;
use crate::cases::check;
use bolero::TypeGenerator;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::iter;

const TERM: Duration = Duration::from_secs(10);
const SPREAD: Duration = Duration::from_millis(100);

/// The maximum length of one generated case, in ticks of a tenth of a second.
const TICKS_MAX: usize = 4_000;

fn at(secs: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(secs * 1_000)
}

fn record(holder: u64, after: u64, action: LeaseAction) -> LeaseRecord {
    let (holder, term) = (Incarnation(holder), Span::from_secs(10));
    LeaseRecord { holder, after: Offset(after), term, action, nonce: holder.0, era: 0 }
}

#[test]
fn first_of_two_candidates_wins() {
    let mut lease = LeaseState::new(at(0));
    let grant = Grant { holder: Incarnation(1), fencing: Fencing(1), nonce: 1 };
    let first = lease.on_record(at(0), Offset(1), record(1, 0, LeaseAction::Take));
    let second = lease.on_record(at(0), Offset(2), record(2, 0, LeaseAction::Take));
    assert_eq!((LeaseChange::Taken(grant), LeaseChange::Ignored), (first, second));
}

#[test]
fn renewal_appended_twice_counts_once_and_keeps_the_token() {
    let mut lease = LeaseState::new(at(0));
    lease.on_record(at(0), Offset(1), record(1, 0, LeaseAction::Take));
    let renew = record(1, 1, LeaseAction::Renew { fencing: Fencing(1) });
    let grant = Grant { holder: Incarnation(1), fencing: Fencing(1), nonce: 1 };
    assert_eq!(LeaseChange::Renewed(grant), lease.on_record(at(3), Offset(2), renew));
    assert_eq!(LeaseChange::Ignored, lease.on_record(at(3), Offset(3), renew));
}

#[test]
fn released_lease_is_free_at_once() {
    let mut lease = LeaseState::new(at(0));
    lease.on_record(at(0), Offset(1), record(1, 0, LeaseAction::Take));
    lease.on_record(at(1), Offset(2), record(1, 1, LeaseAction::Release));
    let expected = LeaseStep::Append { after: Offset(2), action: LeaseAction::Take };
    assert_eq!(expected, lease.next_step(at(1), Incarnation(2), TERM, at(0), Duration::ZERO));
}

#[test]
fn reader_beyond_expired_records_waits_the_longest_term() {
    let mut lease = LeaseState::new(at(0));
    lease.on_bounds(at(5), Offset(9), Offset(9));
    assert_eq!(
        LeaseStep::Wait(after_elapsed(at(5), TERM_MAX)),
        lease.next_step(at(6), Incarnation(2), TERM, at(0), Duration::ZERO)
    );
    let expected = LeaseStep::Append { after: Offset(8), action: LeaseAction::Take };
    assert_eq!(expected, lease.next_step(at(66), Incarnation(2), TERM, at(0), Duration::ZERO));
}

#[test]
fn paused_holder_finds_its_permission_expired() {
    let permission = Permission::new(Fencing(1), at(0), TERM, at(0));
    let longest = Duration::from_secs(3);
    let check = |secs, fencing_check| permission.check(at(secs), fencing_check, longest);
    assert_eq!(PermissionCheck::Granted(Fencing(1)), check(9, FencingCheck::Checked));
    assert_eq!(PermissionCheck::Expired, check(10, FencingCheck::Checked));
    assert_eq!(PermissionCheck::Expired, check(7, FencingCheck::Ignored));
}

#[test]
fn new_holder_waits_for_the_orders_of_the_former_one() {
    let permission = Permission::new(Fencing(2), at(0), TERM, at(4));
    let check =
        |secs, fencing_check| permission.check(at(secs), fencing_check, Duration::from_secs(3));
    assert_eq!(PermissionCheck::NotBefore(at(4)), check(2, FencingCheck::Ignored));
    assert_eq!(PermissionCheck::Granted(Fencing(2)), check(2, FencingCheck::Checked));
    assert_eq!(PermissionCheck::Granted(Fencing(2)), check(4, FencingCheck::Ignored));
}

/// What happens to a daemon in one tick of a tenth of a second.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    Runs,
    ReadsPart,
    AppendsLate,
    AppendsTwice,
    IsPaused,
    ForgetsAll,
    LogExpires,
    LogIsRestored,
}

/// A daemon with its own clock: `rate` is in milliseconds per tick.
struct Daemon {
    own: Incarnation,
    origin: u64,
    rate: u64,
    lease: LeaseState,
    renewed: MonotonicInstant,
    sent: Vec<(u64, MonotonicInstant)>,
    late: Vec<LeaseRecord>,
    permission: Option<Permission>,
}

struct World {
    records: Vec<LeaseRecord>,
    oldest: usize,
    nonce: u64,
    era: u64,
}

impl World {
    const fn new() -> Self {
        Self { records: Vec::new(), oldest: 0, nonce: 0, era: 0 }
    }

    /// Restores a copy that lacks the newest records.
    fn restore(&mut self) {
        let lost = self.records.len() % 6;
        self.records.truncate(self.records.len() - lost);
        self.oldest = self.oldest.min(self.records.len());
        self.era += 1;
    }
}

impl Daemon {
    fn new(index: u64) -> Self {
        let (origin, rate) = (index * 977, [99, 100, 101][index as usize % 3]);
        let now = MonotonicInstant::from_millis(origin);
        Self {
            own: Incarnation(index),
            origin,
            rate,
            lease: LeaseState::new(now),
            renewed: now,
            sent: Vec::new(),
            late: Vec::new(),
            permission: None,
        }
    }

    fn local(&self, tick: u64) -> MonotonicInstant {
        MonotonicInstant::from_millis(self.origin + tick * self.rate)
    }

    fn permitted(&self, tick: u64) -> bool {
        let check = |permission: Permission| {
            permission.check(self.local(tick), FencingCheck::Checked, Duration::ZERO)
        };
        matches!(self.permission.map(check), Some(PermissionCheck::Granted(_)))
    }

    fn read(&mut self, now: MonotonicInstant, world: &World, count: usize) {
        if self.lease.on_answer(now, Some(world.era)) != EraChange::Unchanged {
            self.permission = None;
        }
        let end = Offset(world.records.len() as u64 + 1);
        self.lease.on_bounds(now, Offset(world.oldest as u64 + 1), end);
        let from = self.lease.next().0 as usize - 1;
        for (index, record) in world.records.iter().enumerate().skip(from).take(count) {
            match self.lease.on_record(now, Offset(index as u64 + 1), *record) {
                LeaseChange::Taken(grant) | LeaseChange::Renewed(grant)
                    if grant.holder == self.own =>
                {
                    let sent = self.sent.iter().find(|(nonce, _)| *nonce == grant.nonce);
                    self.permission =
                        sent.map(|(_, sent)| Permission::new(grant.fencing, *sent, TERM, now));
                }
                LeaseChange::Taken(_) | LeaseChange::Renewed(_) | LeaseChange::Released => {
                    self.permission = None;
                }
                LeaseChange::Ignored => {}
            }
        }
    }

    fn run(&mut self, event: Event, tick: u64, world: &mut World) {
        let now = self.local(tick);
        world.records.append(&mut self.late);
        self.read(now, world, if matches!(event, Event::ReadsPart) { 1 } else { usize::MAX });
        let LeaseStep::Append { after, action } =
            self.lease.next_step(now, self.own, TERM, self.renewed, SPREAD)
        else {
            return;
        };
        world.nonce += 1;
        let (holder, nonce) = (self.own, world.nonce);
        let era = self.lease.era();
        let record = LeaseRecord { holder, after, term: Span(TERM), action, nonce, era };
        self.sent.push((nonce, now));
        self.renewed = now;
        match event {
            Event::AppendsLate => self.late.push(record),
            Event::AppendsTwice => world.records.extend([record, record]),
            _ => world.records.push(record),
        }
    }
}

#[test]
fn no_two_daemons_are_permitted_at_once() {
    let holders = Cell::new([0; 3]);
    check::<Vec<([Event; 3], u8)>>(300, |phases| {
        let mut world = World::new();
        let mut daemons = [0, 1, 2].map(Daemon::new);
        let mut tokens: BTreeMap<Fencing, Incarnation> = BTreeMap::new();
        let ticks =
            phases.iter().flat_map(|(events, length)| iter::repeat_n(events, (*length).into()));
        for (tick, events) in (0..).zip(ticks.take(TICKS_MAX)) {
            for (daemon, event) in daemons.iter_mut().zip(events) {
                match event {
                    Event::IsPaused => {}
                    Event::ForgetsAll if tick % 500 == 0 => *daemon = Daemon::new(daemon.own.0),
                    Event::LogExpires => world.oldest = world.records.len(),
                    Event::LogIsRestored if tick % 50 == 0 => world.restore(),
                    event => daemon.run(*event, tick, &mut world),
                }
            }
            let permitted: Vec<_> =
                daemons.iter().filter(|daemon| daemon.permitted(tick)).collect();
            assert!(permitted.len() <= 1, "tick {tick}");
            for daemon in &permitted {
                let token = daemon.permission.unwrap().fencing;
                let is_newest = tokens.keys().all(|other| *other <= token);
                let holder = *tokens.entry(token).or_insert(daemon.own);
                assert!(is_newest && holder == daemon.own, "tick {tick}, token {token}");
            }
            let mut counts = holders.get();
            permitted.iter().for_each(|daemon| counts[daemon.own.0 as usize] += 1);
            holders.set(counts);
        }
    });
    let held = holders.get();
    assert!(
        held.iter().all(|ticks| *ticks > 1_000),
        "too few ticks with a holder, by daemon: {held:?}"
    );
}

#[test]
fn lease_passes_to_a_running_daemon() {
    let mut world = World::new();
    let mut daemons = [0, 1, 2].map(Daemon::new);
    for tick in 0..1_800 {
        let paused = tick / 600;
        for daemon in daemons.iter_mut().filter(|daemon| daemon.own.0 != paused) {
            daemon.run(Event::Runs, tick, &mut world);
        }
        if tick % 600 == 599 {
            let permitted = daemons.iter().filter(|daemon| daemon.permitted(tick));
            let holders: Vec<_> = permitted.map(|daemon| daemon.own.0).collect();
            assert_eq!(1, holders.len());
            assert_ne!(vec![paused], holders);
        }
    }
}

/// After a restore somebody acts again within the longest term, the candidates' delay and a round.
#[test]
fn lease_is_taken_again_after_a_restore() {
    let ticks = u64::try_from((TERM_MAX * 103 / 100 + SPREAD).as_millis()).unwrap() / 99;
    for restored in [601, 650, 700, 733, 790] {
        let mut world = World::new();
        let mut daemons = [0, 1, 2].map(Daemon::new);
        for tick in 0..restored + ticks {
            if tick == restored {
                world.restore();
            }
            for daemon in &mut daemons {
                daemon.run(Event::Runs, tick, &mut world);
            }
            if tick == restored {
                assert!(!daemons.iter().any(|daemon| daemon.permitted(tick)));
            }
        }
        let permitted = daemons.iter().filter(|daemon| daemon.permitted(restored + ticks - 1));
        assert_eq!(1, permitted.count(), "restored at {restored}");
    }
}

#[test]
fn token_of_a_later_era_is_higher_at_a_lower_offset() {
    let mut lease = LeaseState::new(at(0));
    lease.on_answer(at(0), Some(1));
    let take = LeaseRecord { era: 1, ..record(1, 8, LeaseAction::Take) };
    let LeaseChange::Taken(before) = lease.on_record(at(0), Offset(9), take) else { panic!() };
    assert_eq!(EraChange::Restored { was: 1 }, lease.on_answer(at(1), Some(2)));
    assert_eq!(None, lease.grant());
    assert_eq!(LeaseChange::Ignored, lease.on_record(at(1), Offset(3), record(1, 2, take.action)));
    let take = LeaseRecord { era: 2, ..record(2, 3, LeaseAction::Take) };
    let LeaseChange::Taken(after) = lease.on_record(at(1), Offset(4), take) else { panic!() };
    assert!(after.fencing > before.fencing);
}

#[test]
fn record_after_the_largest_offset_is_not_valid() {
    let mut lease = LeaseState::new(at(0));
    let invalid = record(1, u64::MAX, LeaseAction::Take);
    assert_eq!(LeaseChange::Ignored, lease.on_record(at(0), Offset(1), invalid));
}
