use super::*;

/// While a pause that was named at some moment lasts, no request may be sent, whatever was named
/// before and after, and afterwards it may.
#[test]
fn each_named_pause_is_observed_and_ends() {
    bolero::check!().with_type::<Vec<(u16, u16)>>().for_each(|events| {
        let mut pause = UpstreamPause::default();
        let mut now = MonotonicInstant::from_millis(1_000);
        let mut latest = now;
        for (elapsed, named) in events {
            now = now + Duration::from_millis(u64::from(*elapsed));
            let named = Duration::from_millis(u64::from(*named) * 2);
            pause.on_named(now, named);
            latest = latest.max(now + named.min(PAUSE_MAX));
            assert_eq!(pause.left(now).unwrap_or_default(), latest.since(now));
        }
        assert_eq!(pause.left(latest), None);
    });
}

#[test]
fn a_pause_without_end_is_bounded() {
    let (mut pause, now) = (UpstreamPause::default(), MonotonicInstant::from_millis(5));
    assert_eq!(pause.left(now), None);
    assert_eq!(pause.on_named(now, Duration::MAX), PAUSE_MAX);
    assert_eq!(pause.left(now), Some(PAUSE_MAX));
    assert_eq!(pause.left(now + PAUSE_MAX), None);
}
