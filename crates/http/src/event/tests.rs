use super::*;

#[test]
fn only_an_empty_line_ends_an_event() {
    let mut open = OpenEvent::default();
    let actual = [&b"data: abc"[..], b"\ndata: d\r\n", b"\n", b"data: x\r\n\r\n"].map(|data| {
        open.add(data);
        open.length
    });
    assert_eq!([9, 19, 0, 0], actual);
}

#[tokio::test]
async fn event_beyond_the_bound_ends_the_stream() {
    let piece = || Ok::<_, std::io::Error>(Bytes::from(vec![b'x'; EVENT_MAX_BYTES / 2]));
    let data = futures_util::stream::iter([piece(), piece(), piece()]);
    let results: Vec<_> = Bounded { data, open: OpenEvent::default() }.collect().await;
    let actual: Vec<_> = results.iter().map(Result::is_ok).collect();
    assert_eq!(vec![true, true, false], actual);
}
