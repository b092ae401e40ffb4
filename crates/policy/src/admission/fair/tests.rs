use super::*;

fn team(name: &str) -> Team {
    Team::try_from(name).unwrap()
}

fn popped(queue: &mut FairQueue<&'static str>, count: usize) -> HashMap<&'static str, usize> {
    let mut counts = HashMap::new();
    for _ in 0..count {
        *counts.entry(queue.pop(|_| true).unwrap()).or_default() += 1;
    }
    counts
}

#[test]
fn teams_are_served_by_weight_and_cost() {
    let mut queue = FairQueue::default();
    for _ in 0..100 {
        queue.push(&team("a"), 4.0, 1.0, "a");
        queue.push(&team("b"), 1.0, 1.0, "b");
        queue.push(&team("c"), 4.0, 4.0, "c");
    }
    let actual = popped(&mut queue, 60);
    assert_eq!(HashMap::from([("a", 40), ("b", 10), ("c", 10)]), actual);
}

#[test]
fn idle_team_gains_no_credit_but_goes_ahead_of_a_backlog() {
    let mut queue = FairQueue::default();
    for _ in 0..1_000 {
        queue.push(&team("flood"), 1.0, 1.0, "flood");
    }
    popped(&mut queue, 500);
    for _ in 0..10 {
        queue.push(&team("quiet"), 1.0, 1.0, "quiet");
    }
    let actual = popped(&mut queue, 21);
    assert!((10..=11).contains(&actual["quiet"]), "{actual:?}");
}

#[test]
fn team_that_may_not_run_is_skipped() {
    let mut queue = FairQueue::default();
    queue.push(&team("a"), 1.0, 1.0, "a");
    queue.push(&team("b"), 1.0, 1.0, "b");
    assert_eq!(Some("b"), queue.pop(|name| name.as_str() != "a"));
    assert_eq!(None, queue.pop(|name| name.as_str() != "a"));
    assert_eq!(1, queue.len());
}

#[test]
fn state_of_teams_without_items_is_freed() {
    let mut queue = FairQueue::default();
    for index in 0..1_000 {
        queue.push(&team(&format!("t{index}")), 1.0, 1.0, "x");
        queue.pop(|_| true);
    }
    assert!(queue.team_queues.len() <= 2, "{}", queue.team_queues.len());
    assert!(queue.is_empty());
}
