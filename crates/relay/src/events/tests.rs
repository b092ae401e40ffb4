use super::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn data_split_into_any_chunks_is_passed_through_unchanged() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|cuts| {
        let mut splitter = EventSplitter::default();
        let (mut passed, mut at) = (Vec::new(), 0);
        for cut in cuts.iter().map(|cut| usize::from(*cut) % 9).chain([STREAM.len()]) {
            let end = (at + cut).min(STREAM.len());
            let complete = splitter.push(Bytes::copy_from_slice(&STREAM[at..end])).unwrap();
            assert!(complete.is_empty() || complete.ends_with(b"\n\n"));
            passed.extend_from_slice(&complete);
            at = end;
        }
        assert_eq!(passed, STREAM);
        assert_eq!(splitter.last_id(), Some("3"));
        assert_eq!(splitter.count(), 3);
    });
}

#[test]
fn incomplete_event_is_held_back_and_can_be_discarded() {
    let mut splitter = EventSplitter::default();
    let complete = splitter.push(Bytes::from_static(b"id: 7\ndata: a\n\nid: 8\nda")).unwrap();
    assert_eq!(complete, "id: 7\ndata: a\n\n");
    assert!(splitter.is_partial());
    assert_eq!(splitter.last_id(), Some("7"));
    splitter.drop_partial();
    assert_eq!(
        splitter.push(Bytes::from_static(b"id: 8\ndata: b\n\n")).unwrap(),
        "id: 8\ndata: b\n\n"
    );
}

#[test]
fn incomplete_event_over_the_size_limit_is_an_error() {
    let mut splitter = EventSplitter::default();
    let chunk = Bytes::from(vec![b'x'; 64 * 1024]);
    let results: Vec<_> = (0..5).map(|_| splitter.push(chunk.clone()).is_ok()).collect();
    assert_eq!(results, [true, true, true, true, false]);
}

/// Streams of two events whose ends are at these positions.
const LINE_ENDS: [(&[u8], [usize; 2]); 5] = [
    (b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", [15, 30]),
    (b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", [18, 36]),
    (b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r", [15, 30]),
    (b"id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\n", [16, 33]),
    (b"id: 1\r\ndata: a\n\n: comment\n\ndata: b\nid: 2\r\n\n", [16, 43]),
];

#[test]
fn stream_is_partial_at_every_byte_that_is_not_the_end_of_an_event() {
    for (stream, ends) in LINE_ENDS {
        assert_eq!(stream.len(), ends[1]);
        for cut in 0..=stream.len() {
            let mut whole = EventSplitter::default();
            let mut events = whole.push(Bytes::copy_from_slice(&stream[..cut])).unwrap().to_vec();
            let mut single = EventSplitter::default();
            let mut passed = Vec::new();
            for byte in &stream[..cut] {
                passed.extend(single.push(Bytes::copy_from_slice(&[*byte])).unwrap());
            }
            assert_eq!(passed, events, "{cut}");
            assert_eq!(whole.is_partial(), single.is_partial(), "{cut}");
            let complete = ends.iter().filter(|end| **end <= cut).count() as u64;
            assert_eq!(whole.count(), complete, "{cut} of {stream:?}");
            events.extend(whole.take_partial());
            assert_eq!(events, &stream[..cut]);
            let comment = stream[..cut].ends_with(b": comment\n")
                || stream[..cut].ends_with(b": comment\n\n");
            let expected = cut != 0 && !ends.contains(&cut) && !comment;
            assert_eq!(single.is_partial(), expected, "{cut} of {stream:?}");
        }
    }
}

#[test]
fn comments_and_empty_events_without_end_are_an_error_and_events_between_them_are_not() {
    let comments = Bytes::from(": comment\n\n\n".repeat(1_000));
    let mut splitter = EventSplitter::default();
    let flooded = (0..30).map(|_| splitter.push(comments.clone())).position(|read| read.is_err());
    assert_eq!(flooded, Some(EVENT_MAX_BYTES / comments.len()));
    let mut splitter = EventSplitter::default();
    for _ in 0..30 {
        splitter.push(comments.clone()).unwrap();
        splitter.push(Bytes::from_static(b"data: a\n\n")).unwrap();
    }
    assert_eq!(splitter.delivered(), 30);
}

/// A stream that a caller takes up began again at its first event.
#[test]
fn a_stream_that_goes_on_after_an_event_returns_none_up_to_it() {
    let event = |id: u64| format!("id: {id}\ndata: x\n\n");
    let stream = Bytes::from([event(3), event(4), event(1), event(5)].concat());
    for length in 1..stream.len() {
        let mut splitter = EventSplitter::after(Some("2"));
        let mut returned = Vec::new();
        for part in stream.chunks(length) {
            if !splitter.is_disordered() {
                returned.extend_from_slice(&splitter.push(Bytes::copy_from_slice(part)).unwrap());
            }
        }
        assert!(splitter.is_disordered(), "{length}");
        assert_eq!(returned, [event(3), event(4)].concat().as_bytes(), "{length}");
        assert_eq!(splitter.last_id(), Some("4"), "{length}");
        splitter.drop_partial();
        let rest = Bytes::from(event(5));
        assert_eq!(splitter.push(rest.clone()).unwrap(), rest, "{length}");
        assert!(!splitter.is_disordered(), "{length}");
    }
    let mut splitter = EventSplitter::after(Some("2"));
    assert!(splitter.push(Bytes::from(event(2))).unwrap().is_empty());
    assert!(splitter.is_disordered());
}
