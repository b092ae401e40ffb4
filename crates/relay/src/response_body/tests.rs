use super::*;

/// Guards against bodies that wait for slow callers and don't count: they could use all memory.
#[test]
fn a_body_counts_against_the_memory_until_it_has_been_sent() {
    let memory = BodyMemory::default();
    let used = || memory.used.load(Ordering::Relaxed);
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

#[test]
fn request_bodies_that_all_together_are_too_large_are_refused_before_they_are_read() {
    let memory = BodyMemory::new(3_000_000);
    let begin = |length| PartialBody::of_request(&memory, 1_100_000, length);
    let held: Vec<_> = (0..3).map(|_| begin(Some(1_000_000)).unwrap()).collect();
    assert!(matches!(begin(Some(1_000_000)), Err(ReadError::Memory { .. })));
    assert!(matches!(begin(Some(u64::MAX)), Err(ReadError::Size { .. })));
    // A small one is read all the same, and one without a length until it is too large.
    assert!(begin(Some(BODY_FREE_BYTES as u64)).is_ok());
    let mut endless = begin(None).unwrap();
    let read: Result<Vec<()>, _> = (0..20).map(|_| endless.add(&[7; 10_000])).collect();
    assert!(matches!(read, Err(ReadError::Memory { .. })));
    drop((held, endless));
    assert!(begin(Some(1_000_000)).is_ok());
    assert_eq!(memory.used.load(Ordering::Relaxed), 0);
}
