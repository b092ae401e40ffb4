use super::*;

/// Guards against bodies that wait for slow callers and don't count: they could use all memory.
#[test]
fn a_body_counts_against_the_memory_until_it_has_been_sent() {
    let memory = BodyMemory::default();
    let used = || memory.0.load(Ordering::Relaxed);
    let mut partial = PartialBody::new(&memory);
    partial.add(&[7; 1_000_000]).unwrap();
    partial.add(&[7; 1_000_000]).unwrap();
    let whole = partial.finish();
    drop(partial);
    assert_eq!(used(), 2_000_000 - BODY_FREE_BYTES);
    let rest = whole.slice(1_500_000..);
    drop(whole);
    assert_eq!((rest.len(), used()), (500_000, 2_000_000 - BODY_FREE_BYTES));
    drop(rest);
    assert_eq!(used(), 0);
}

#[test]
fn bodies_that_are_being_sent_leave_less_memory_for_others() {
    let memory = BodyMemory::default();
    let read = || {
        let mut partial = PartialBody::new(&memory);
        partial.add(&vec![7; BODY_MAX_BYTES]).map(|()| partial.finish())
    };
    let waiting: Vec<_> = (0..8).map(|_| read().unwrap()).collect();
    assert!(read().is_err());
    drop(waiting);
    assert!(read().is_ok());
}
