use super::*;

/// Transfers one token per millisecond.
const MODEL: TransferModel =
    TransferModel { token_bytes: 100_000, rate: 100_000_000, margin: Duration::from_millis(200) };

fn stream(
    key: u32,
    deadline_ms: u64,
    prompt_tokens: u32,
    produced_tokens: u32,
    max_remaining_tokens: u32,
) -> LeavingStream<u32> {
    LeavingStream {
        key,
        deadline: MonotonicInstant::from_millis(deadline_ms),
        prompt_tokens,
        produced_tokens,
        max_remaining_tokens,
        token_interval: (produced_tokens > 1).then_some(Duration::from_millis(10)),
    }
}

fn moves(notice_ms: u64, leaving: Vec<LeavingStream<u32>>) -> Vec<(u32, StreamAction)> {
    let now = MonotonicInstant::from_millis(1_000);
    plan_moves(now, now + Duration::from_millis(notice_ms), &MODEL, leaving)
}

#[test]
fn actions_depend_on_the_length_of_the_notice() {
    let leaving = || {
        vec![
            stream(1, 30, 500, 100, 400),
            stream(2, 20, 2_000, 50, 400),
            stream(3, 10, 300, 20, 60),
            stream(4, 40, 300, 0, 100),
        ]
    };
    let actual =
        [0, 1_000, 5_000, 30_000].map(|notice_ms| (notice_ms, moves(notice_ms, leaving())));
    insta::assert_debug_snapshot!(actual);
}

#[test]
fn streams_resume_if_the_transfer_rate_is_zero() {
    let model = TransferModel { rate: 0, ..MODEL };
    let now = MonotonicInstant::from_millis(1_000);
    let actual =
        plan_moves(now, now + Duration::from_secs(5), &model, vec![stream(1, 0, 10, 10, 9_000)]);
    assert_eq!(vec![(1, StreamAction::Resume)], actual);
}

#[test]
fn all_transfers_together_fit_into_the_notice() {
    let check = bolero::check!().with_iterations(1_000);
    check.with_type::<(u16, Vec<(u8, u16, u8, u8)>)>().for_each(|(notice_ms, streams)| {
        let leaving: Vec<_> = (0..)
            .zip(streams)
            .map(|(key, (deadline, prompt_tokens, produced_tokens, max_remaining_tokens))| {
                stream(
                    key,
                    (*deadline).into(),
                    (*prompt_tokens).into(),
                    (*produced_tokens).into(),
                    (*max_remaining_tokens).into(),
                )
            })
            .collect();
        let by_key = leaving.clone();
        let moves = moves((*notice_ms).into(), leaving);
        assert_eq!(by_key.len(), moves.len());
        let usable = Duration::from_millis((*notice_ms).into()).saturating_sub(MODEL.margin);
        let duration = |(key, _): &(u32, StreamAction)| {
            let stream = by_key[*key as usize];
            MODEL
                .duration(u64::from(stream.prompt_tokens) + u64::from(stream.produced_tokens))
                .unwrap()
        };
        let moved = moves.iter().filter(|(_, kind)| *kind == StreamAction::Transfer);
        assert!(moved.map(duration).sum::<Duration>() <= usable);
        let deadlines = moves.iter().map(|(key, _)| by_key[*key as usize].deadline);
        assert!(deadlines.is_sorted());
    });
}
