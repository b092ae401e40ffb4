use super::*;

const START: UtcInstant = UtcInstant(1_800_000_000_000);

fn record(sequence: u64, at: UtcInstant, good: u64, total: u64) -> ServiceLevelRecord {
    let first_token = Ratio { good, total };
    let counts = Counts { requests: total, first_token, ..Counts::default() };
    let (team, model) = ("a".parse().unwrap(), "m".parse().unwrap());
    let cells = vec![TeamModelCounts { team, model, counts }];
    ServiceLevelRecord { incarnation: Incarnation(1), sequence, at, cells }
}

/// The alert after each hour, given the percentage of events that miss the target in each hour.
fn alerts(missed: &[u64]) -> Vec<Option<AlertSeverity>> {
    let mut budgets = ErrorBudgets::default();
    let mut sequence = 0;
    let mut now = START;
    let hour = |missed: &u64| {
        for _ in 0..12 {
            now = now + SLOT;
            sequence += 1;
            budgets.on_record(now, Offset(sequence), record(sequence, now, 100 - missed, 100));
        }
        let report = budgets.report(now);
        report.rows.iter().find(|row| row.indicator == Indicator::FirstToken).unwrap().alert
    };
    missed.iter().map(hour).collect()
}

#[test]
fn fast_burn_pages_slow_burn_opens_a_ticket_and_recovery_clears_both() {
    use AlertSeverity::{Page, Ticket};
    assert_eq!(vec![None, None, None], alerts(&[0, 2, 4]));
    assert_eq!(vec![Some(Page), Some(Page)], alerts(&[80, 80]));
    // The windows of minutes have recovered, but those of hours have not.
    assert_eq!(Some(&Some(Ticket)), alerts(&[80, 80, 0]).last());
    assert_eq!(Some(&None), alerts(&[80, 0, 0, 0, 0, 0, 0, 0]).last());
    assert_eq!(vec![Some(Ticket); 3], alerts(&[20, 20, 20]));
}

#[test]
fn repeated_append_counts_once_and_expired_slots_are_removed() {
    let mut budgets = ErrorBudgets::default();
    budgets.on_record(START, Offset(1), record(1, START, 5, 10));
    budgets.on_record(START, Offset(2), record(1, START, 5, 10));
    assert_eq!(10, budgets.totals(START, PERIOD)[0].counts.requests);
    let later = START + PERIOD + SLOT * 2;
    budgets.on_record(later, Offset(3), record(2, later, 1, 1));
    assert_eq!(1, budgets.totals(later, PERIOD)[0].counts.requests);
}
