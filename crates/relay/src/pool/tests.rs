use super::*;
use tokio::net::TcpListener;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

/// Connections that are in use were all kept, whatever the newest version allowed.
#[tokio::test]
async fn connections_beyond_a_lowered_limit_are_not_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = Endpoint::Daemon(address);
    let pool = ConnectionPool::default();
    let lease = |max: u32| pool.lease(at(0), endpoint, address, max);
    let mut leased = Vec::new();
    for _ in 0..6 {
        leased.push(lease(6).await.unwrap());
    }
    leased.drain(..3).for_each(|pooled| pooled.release(at(0), None));
    assert_eq!(pool.open(), 6);
    // Three are in use and three are idle.
    assert!(lease(2).await.is_err());
    assert_eq!(pool.open(), 3);
    leased.into_iter().for_each(|pooled| pooled.release(at(0), None));
    assert_eq!(pool.open(), 2);
    assert!(lease(2).await.unwrap().is_kept());
}
