use super::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn content_that_comes_in_any_pieces_is_passed_on_unchanged() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|cuts| {
        let mut cutter = EventCutter::default();
        let (mut passed, mut at) = (Vec::new(), 0);
        for cut in cuts.iter().map(|cut| usize::from(*cut) % 9).chain([STREAM.len()]) {
            let end = (at + cut).min(STREAM.len());
            let whole = cutter.push(Bytes::copy_from_slice(&STREAM[at..end])).unwrap();
            assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            passed.extend_from_slice(&whole);
            at = end;
        }
        assert_eq!(passed, STREAM);
        assert_eq!(cutter.last(), Some("3"));
        assert_eq!(cutter.count(), 3);
    });
}

#[test]
fn a_partial_event_is_held_back_and_can_be_dropped() {
    let mut cutter = EventCutter::default();
    let whole = cutter.push(Bytes::from_static(b"id: 7\ndata: a\n\nid: 8\nda")).unwrap();
    assert_eq!(whole, "id: 7\ndata: a\n\n");
    assert!(cutter.is_partial());
    assert_eq!(cutter.last(), Some("7"));
    cutter.drop_partial();
    assert_eq!(
        cutter.push(Bytes::from_static(b"id: 8\ndata: b\n\n")).unwrap(),
        "id: 8\ndata: b\n\n"
    );
}

#[test]
fn an_event_without_an_end_is_bounded() {
    let mut cutter = EventCutter::default();
    let piece = Bytes::from(vec![b'x'; 64 * 1024]);
    let results: Vec<_> = (0..5).map(|_| cutter.push(piece.clone()).is_ok()).collect();
    assert_eq!(results, [true, true, true, true, false]);
}
