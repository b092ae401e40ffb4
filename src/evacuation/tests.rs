use super::*;
use crate::context::LiveContext;
use crate::settings::PlatformSettings;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::sync::watch;

type Stops = HashMap<Instance, MonotonicInstant>;

/// An evacuation task with the default settings, which transfer the KV cache of 16 tokens a
/// millisecond. The platform's addresses are never called.
fn evacuation() -> (Evacuation, watch::Sender<Arc<Stops>>, LiveContext) {
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let platform =
        PlatformSettings { log: nowhere, instances: nowhere, cloud: nowhere, weights: nowhere };
    let context = LiveContext::new(&platform);
    let (sender, stops) = watch::channel(Arc::default());
    (start(context.clone(), &SurvivalSettings::default(), stops), sender, context)
}

fn instance(name: &str) -> Instance {
    Instance::try_from(name).unwrap()
}

/// A stream that has produced 11 tokens, one every 10 ms.
fn stream(now: MonotonicInstant, prompt_tokens: u32, max_tokens: u32) -> StreamInfo {
    let progress = Arc::new(StreamProgress::default());
    progress.record_length(now - Duration::from_millis(100), 1);
    progress.record_length(now, 11);
    let instance = instance("runner-1");
    StreamInfo { instance, deadline: now, prompt_tokens, start_tokens: 0, max_tokens, progress }
}

fn announce(stops: &watch::Sender<Arc<Stops>>, name: &str, stop: MonotonicInstant) {
    stops.send_modify(|stops| {
        Arc::make_mut(stops).insert(instance(name), stop);
    });
}

async fn timed(
    registration: &mut StreamRegistration,
    context: &LiveContext,
) -> (StreamAction, Duration) {
    let action = registration.next_action().await;
    (action, context.clock().now().since(MonotonicInstant::default()))
}

#[tokio::test(start_paused = true)]
async fn streams_move_by_plan_and_nothing_is_left_when_the_notice_ends() {
    tokio::time::advance(Duration::from_secs(1)).await;
    let (evacuation, stops, context) = evacuation();
    tokio::time::advance(Duration::from_secs(1)).await;
    let now = context.clock().now();
    let mut short = evacuation.register(stream(now, 500, 100)).await;
    let mut long = evacuation.register(stream(now, 500, 4_000)).await;
    let mut huge = evacuation.register(stream(now, 100_000, 4_000)).await;
    announce(&stops, "runner-2", now + Duration::from_millis(10));
    announce(&stops, "runner-1", now + Duration::from_secs(2));
    let first = [
        timed(&mut short, &context).await,
        timed(&mut long, &context).await,
        timed(&mut huge, &context).await,
    ];
    let last = [timed(&mut short, &context).await, timed(&mut long, &context).await];
    let at = |ms: u64| Duration::from_millis(1_000 + ms);
    let expected = [StreamAction::Stay, StreamAction::Transfer, StreamAction::Resume]
        .map(|action| (action, at(0)));
    assert_eq!(expected, first);
    for (action, time) in last {
        assert_eq!(StreamAction::Resume, action);
        assert!((at(1_850)..at(2_000)).contains(&time), "{time:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn stream_that_starts_after_the_notice_is_told_to_move_at_once() {
    let (evacuation, stops, context) = evacuation();
    tokio::time::advance(Duration::from_secs(1)).await;
    let now = context.clock().now();
    announce(&stops, "runner-1", now + Duration::from_secs(1));
    tokio::time::sleep(Duration::from_millis(1)).await;
    let mut registration = evacuation.register(stream(now, 100_000, 4_000)).await;
    assert_eq!(StreamAction::Resume, registration.next_action().await);
}
