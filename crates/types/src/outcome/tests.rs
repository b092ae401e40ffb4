use super::*;

#[test]
fn refusal_keeps_reason_and_delay() {
    let delay = Some(Duration::from_secs(2));
    let actual = Unsent::new("body").refuse(RefusalReason::QueueFull, delay);
    assert_eq!((RefusalReason::QueueFull, delay), (actual.reason(), actual.retry_after()));
}

#[test]
fn refused_request_becomes_unsent_again() {
    let (request, sent) = Unsent::new("body").send();
    let restored = sent.restore(UpstreamRefusal::stated(), request);
    assert_eq!(&"body", restored.request());
    let actual = restored.refuse(RefusalReason::NoUpstream, None);
    assert_eq!(RefusalReason::NoUpstream, actual.reason());
}
