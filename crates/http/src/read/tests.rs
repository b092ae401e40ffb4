use super::*;
use crate::body::Body;

const PATIENCE: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(1);
const MAX: usize = 64;

/// Reads a body whose parts arrive at an interval; without `ends` it stays open.
async fn read_parts(parts: usize, interval: Duration, ends: bool) -> Result<Bytes, ReadError> {
    let (sender, body) = Body::channel(1);
    tokio::spawn(async move {
        for _ in 0..parts {
            tokio::time::sleep(interval).await;
            if sender.send(Bytes::from_static(b"part")).await.is_err() {
                return;
            }
        }
        match ends {
            true => sender.finish().await,
            false => tokio::time::sleep(TIMEOUT * 2).await,
        }
    });
    read_long_body(body, MAX, PATIENCE, TIMEOUT).await
}

#[tokio::test(start_paused = true)]
async fn a_long_body_is_read_while_it_makes_progress() {
    let read = read_parts(8, PATIENCE * 9 / 10, true).await;
    assert_eq!(read.unwrap().len(), 32);
}

#[tokio::test(start_paused = true)]
async fn a_long_body_that_stops_trickles_or_is_too_large_is_given_up() {
    let stopped = read_parts(3, PATIENCE / 2, false).await;
    assert!(matches!(stopped, Err(ReadError::Timeout(PATIENCE))), "{stopped:?}");
    let trickling = read_parts(16, PATIENCE * 9 / 10, true).await;
    assert!(matches!(trickling, Err(ReadError::Timeout(TIMEOUT))), "{trickling:?}");
    let large = read_parts(17, Duration::from_millis(1), true).await;
    assert!(matches!(large, Err(ReadError::Size { max: MAX })), "{large:?}");
}

#[tokio::test]
async fn a_long_body_that_breaks_off_is_an_error() {
    let (sender, body) = Body::channel(1);
    sender.send(Bytes::from_static(b"part")).await.unwrap();
    drop(sender);
    let read = read_long_body(body, MAX, PATIENCE, TIMEOUT).await;
    assert!(matches!(read, Err(ReadError::Broken(_))), "{read:?}");
}
