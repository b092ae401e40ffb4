use super::*;

#[test]
fn only_an_empty_line_ends_an_event() {
    let mut partial = PartialEvent::default();
    let actual = [&b"data: abc"[..], b"\ndata: d\r\n", b"\n", b"data: x\r\n\r\n"].map(|data| {
        partial.add(data);
        partial.length
    });
    assert_eq!([9, 19, 0, 0], actual);
}

#[tokio::test]
async fn event_over_the_size_limit_ends_the_stream() {
    let chunk = || Ok::<_, std::io::Error>(Bytes::from(vec![b'x'; EVENT_MAX_BYTES / 2]));
    let data = futures_util::stream::iter([chunk(), chunk(), chunk()]);
    let results: Vec<_> = SizeLimited { data, partial: PartialEvent::default() }.collect().await;
    let actual: Vec<_> = results.iter().map(Result::is_ok).collect();
    assert_eq!(vec![true, true, false], actual);
}
