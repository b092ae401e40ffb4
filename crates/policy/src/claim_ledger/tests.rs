use super::*;
use crate::claim::RecordedAnswer;
use spindle_types::{IdempotencyKey, Incarnation, Team};
use std::collections::HashMap;

const LIMITS: ClaimLimits = ClaimLimits {
    claim_lifetime: Duration::from_secs(1_000_000),
    rewrite_age: Duration::from_secs(10),
    settle_timeout: Duration::from_secs(20),
};

/// How long the log retains records, in seconds.
const RETENTION_S: u64 = 30;

const KEYS: usize = 2;

fn call(key: usize) -> CallKey {
    CallKey {
        team: Team::try_from("clara").unwrap(),
        key: IdempotencyKey::try_from(format!("k{key}")).unwrap(),
    }
}

#[derive(Default)]
struct Log {
    dropped: u64,
    records: Vec<(UtcInstant, ClaimRecord)>,
    delayed: Vec<Vec<ClaimRecord>>,
}

impl Log {
    fn append(&mut self, at: u64, group: Vec<ClaimRecord>) {
        self.records.extend(group.into_iter().map(|record| (UtcInstant(at * 1_000), record)));
    }

    fn page(&self, from: Offset, limit: usize) -> Page {
        let oldest = Offset(self.dropped + 1);
        let end = Offset(self.dropped + 1 + self.records.len() as u64);
        let skipped = usize::try_from(from.0.saturating_sub(oldest.0)).unwrap();
        let records = self.records.iter().enumerate().skip(skipped).take(limit);
        let records = records
            .map(|(i, (at, record))| (Offset(oldest.0 + i as u64), *at, Some(record.clone())))
            .collect();
        Page { oldest, end, records }
    }

    fn expire(&mut self, now: u64) {
        let kept = UtcInstant(now.saturating_sub(RETENTION_S) * 1_000);
        let count = self.records.iter().take_while(|(at, _)| *at < kept).count();
        self.records.drain(..count);
        self.dropped += count as u64;
    }
}

struct Daemon {
    incarnation: u64,
    nonce: u64,
    ledger: ClaimLedger,
    won: Vec<(Claimant, CallKey)>,
    ran: Vec<(Claimant, CallKey)>,
    asked: HashMap<Claimant, CallKey>,
}

impl Daemon {
    fn new(incarnation: u64) -> Self {
        let ledger = ClaimLedger::new(LIMITS);
        let (won, ran, asked) = (Vec::new(), Vec::new(), HashMap::new());
        Self { incarnation, nonce: 0, ledger, won, ran, asked }
    }
}

/// Two daemons on one log, driven by arbitrary bytes; each step checks the invariants.
struct Simulation {
    now: u64,
    log: Log,
    daemons: [Daemon; 2],
    next_incarnation: u64,
    runs: HashMap<CallKey, Vec<Claimant>>,
    not_run: Vec<Claimant>,
}

impl Simulation {
    fn new() -> Self {
        let daemons = [Daemon::new(1), Daemon::new(2)];
        let (runs, not_run) = (HashMap::new(), Vec::new());
        Self { now: 1, log: Log::default(), daemons, next_incarnation: 3, runs, not_run }
    }

    fn step(&mut self, op: u8, arg: u8) {
        self.now += 1;
        let index = usize::from(arg & 1);
        let key = usize::from(arg >> 1) % KEYS;
        match op % 12 {
            0 | 1 => self.ask(index, key),
            2 | 3 => self.read(index, usize::from(arg >> 1) % 4 + 1),
            4 | 5 => self.append(index, arg >> 1),
            6 => self.dispatch(index),
            7 => self.answer(index),
            8 => self.not_run(index),
            9 => self.restart(index),
            10 => self.deliver(),
            _ => self.expire(),
        }
    }

    fn ask(&mut self, index: usize, key: usize) {
        let daemon = &mut self.daemons[index];
        daemon.nonce += 1;
        let incarnation = Incarnation(daemon.incarnation);
        let claimant = Claimant { incarnation, nonce: daemon.nonce };
        daemon.asked.insert(claimant, call(key));
        let now = MonotonicInstant::from_millis(self.now * 1_000);
        daemon.ledger.on_call(now, UtcInstant(self.now * 1_000), claimant, call(key), 0);
        self.verdicts(index);
    }

    fn read(&mut self, index: usize, limit: usize) {
        let page = self.log.page(self.daemons[index].ledger.next(), limit);
        self.daemons[index].ledger.on_page(page);
        self.daemons[index].ledger.on_time(MonotonicInstant::from_millis(self.now * 1_000));
        self.verdicts(index);
    }

    fn append(&mut self, index: usize, fault: u8) {
        let group = self.daemons[index].ledger.next_append(UtcInstant(self.now * 1_000));
        if group.is_empty() {
            return;
        }
        let end = match fault % 6 {
            0 => AppendOutcome::NotAppended,
            1 => {
                self.log.append(self.now, group);
                AppendOutcome::Unknown
            }
            2 => {
                self.log.delayed.push(group);
                AppendOutcome::Unknown
            }
            3 => {
                self.log.append(self.now, group.clone());
                self.log.delayed.push(group);
                AppendOutcome::Appended
            }
            _ => {
                self.log.append(self.now, group);
                AppendOutcome::Appended
            }
        };
        self.daemons[index].ledger.on_append(end);
        self.verdicts(index);
    }

    fn verdicts(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        for (claimant, verdict) in daemon.ledger.take_verdicts() {
            let call = daemon.asked.remove(&claimant).expect("a request gets one verdict");
            match verdict {
                Verdict::Won => daemon.won.push((claimant, call)),
                Verdict::Answered(offset) => {
                    let page = self.log.page(offset, 1);
                    if let Some((_, _, Some(ClaimRecord::Answer { claimant, .. }))) =
                        page.records.first().filter(|(found, ..)| *found == offset)
                    {
                        assert_eq!(Some(&vec![*claimant]), self.runs.get(&call));
                    }
                }
                Verdict::Lost | Verdict::Unsettled | Verdict::Expired | Verdict::Mismatch => {}
            }
        }
    }

    fn dispatch(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let Some((claimant, call)) = daemon.won.pop() else {
            return;
        };
        let runs = self.runs.entry(call.clone()).or_default();
        runs.push(claimant);
        assert_eq!(1, runs.len(), "{call:?} ran by {runs:?}");
        daemon.ran.push((claimant, call));
    }

    fn answer(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if let Some((claimant, call)) = daemon.ran.pop() {
            let answer = RecordedAnswer::default();
            daemon.ledger.write(ClaimRecord::Answer { call, claimant, answer });
        }
    }

    fn not_run(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if let Some((claimant, call)) = daemon.won.pop() {
            assert_eq!(None, self.runs.get(&call), "not run, but it ran");
            self.not_run.push(claimant);
            daemon.ledger.on_release(claimant, call);
        }
    }

    fn restart(&mut self, index: usize) {
        self.daemons[index] = Daemon::new(self.next_incarnation);
        self.next_incarnation += 1;
    }

    fn deliver(&mut self) {
        if let Some(group) = self.log.delayed.pop() {
            self.log.append(self.now, group);
        }
    }

    /// Lets a daemon rewrite the due claims, then drops the records older than the retention time.
    fn expire(&mut self) {
        let rewriter = &mut Daemon::new(0).ledger;
        rewriter.on_page(self.log.page(Offset(1), usize::MAX));
        self.log.append(self.now, rewriter.next_append(UtcInstant(self.now * 1_000)));
        self.log.expire(self.now);
    }
}

#[test]
fn call_runs_at_most_once_under_arbitrary_faults() {
    bolero::check!().with_iterations(1_000).with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut simulation = Simulation::new();
        for (op, arg) in steps {
            simulation.step(*op, *arg);
        }
        let ran: Vec<_> = simulation.runs.values().flatten().collect();
        assert!(simulation.not_run.iter().all(|claimant| !ran.contains(&claimant)));
    });
}

fn settled(ledger: &mut ClaimLedger, log: &mut Log) -> Vec<Verdict> {
    let group = ledger.next_append(UtcInstant::default());
    log.append(1, group);
    ledger.on_append(AppendOutcome::Appended);
    ledger.on_page(log.page(ledger.next(), usize::MAX));
    ledger.take_verdicts().into_iter().map(|(_, verdict)| verdict).collect()
}

fn claimant(nonce: u64) -> Claimant {
    Claimant { incarnation: Incarnation(1), nonce }
}

fn ask(ledger: &mut ClaimLedger, nonce: u64, digest: u64) {
    ledger.on_call(
        MonotonicInstant::default(),
        UtcInstant::default(),
        claimant(nonce),
        call(0),
        digest,
    );
}

#[test]
fn repeated_request_gets_the_recorded_answer_and_a_different_one_a_mismatch() {
    let (mut ledger, mut log) = (ClaimLedger::new(LIMITS), Log::default());
    ledger.on_page(log.page(Offset(1), 1));
    ask(&mut ledger, 1, 5);
    assert_eq!(vec![Verdict::Won], settled(&mut ledger, &mut log));
    let answer = RecordedAnswer::default();
    ledger.write(ClaimRecord::Answer { call: call(0), claimant: claimant(1), answer });
    settled(&mut ledger, &mut log);
    ask(&mut ledger, 2, 5);
    ask(&mut ledger, 3, 6);
    let actual = ledger.take_verdicts();
    let expected =
        vec![(claimant(2), Verdict::Answered(Offset(2))), (claimant(3), Verdict::Mismatch)];
    assert_eq!(expected, actual);
    assert!(ledger.next_append(UtcInstant::default()).is_empty());
}

#[test]
fn claim_that_is_appended_after_the_request_timed_out_never_wins() {
    let (mut ledger, mut log) = (ClaimLedger::new(LIMITS), Log::default());
    ledger.on_page(log.page(Offset(1), 1));
    ask(&mut ledger, 1, 5);
    let late = ledger.next_append(UtcInstant::default());
    ledger.on_append(AppendOutcome::Unknown);
    ledger.on_time(MonotonicInstant::default() + LIMITS.settle_timeout);
    assert_eq!(vec![(claimant(1), Verdict::Unsettled)], ledger.take_verdicts());
    log.append(1, late);
    assert!(settled(&mut ledger, &mut log).is_empty());
    ask(&mut ledger, 2, 5);
    assert_eq!(vec![Verdict::Won], settled(&mut ledger, &mut log));
}

#[test]
fn one_append_contains_as_many_waiting_claims_as_fit() {
    let (mut ledger, log) = (ClaimLedger::new(LIMITS), Log::default());
    ledger.on_page(log.page(Offset(1), 1));
    (0..300).for_each(|nonce| ask(&mut ledger, nonce, 5));
    assert_eq!(APPEND_RECORDS_MAX, ledger.next_append(UtcInstant::default()).len());
    assert!(ledger.next_append(UtcInstant::default()).is_empty(), "one append at a time");
}

#[test]
fn claim_is_repeated_after_the_claim_that_it_lost_to_was_released() {
    let (mut ledger, mut log) = (ClaimLedger::new(LIMITS), Log::default());
    ledger.on_page(log.page(Offset(1), 1));
    let other = Claimant { incarnation: Incarnation(2), nonce: 9 };
    log.append(1, vec![ClaimRecord::Claim { call: call(0), claimant: other, digest: 5 }]);
    ask(&mut ledger, 1, 5);
    assert!(settled(&mut ledger, &mut log).is_empty());
    log.append(1, vec![ClaimRecord::Release { call: call(0), claimant: other }]);
    ledger.on_page(log.page(ledger.next(), usize::MAX));
    assert_eq!(vec![Verdict::Won], settled(&mut ledger, &mut log));
}
