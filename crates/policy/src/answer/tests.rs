use super::*;

fn make_chunk(attempt: u64, offset: u32, tokens: &[&str], last: bool) -> AnswerChunk {
    let tokens = tokens.iter().map(ToString::to_string).collect();
    AnswerChunk { request: RequestId(1), attempt: Attempt(attempt), offset, tokens, last }
}

#[test]
fn repeated_and_late_chunks_are_dropped() {
    let mut answer = Answer::new(RequestId(1), 100_000);
    answer.start_attempt();
    let first = answer.receive(make_chunk(1, 0, &["a", "b"], false));
    let repeated = answer.receive(make_chunk(1, 1, &["b", "c"], false));
    answer.start_attempt();
    let late = answer.receive(make_chunk(1, 3, &["x"], false));
    let gap = answer.receive(make_chunk(2, 4, &["x"], false));
    let end = answer.receive(make_chunk(2, 3, &[], true));
    let after = answer.receive(make_chunk(2, 3, &["x"], false));
    let expected = [
        ChunkOutcome::Tokens { offset: 0, count: 2 },
        ChunkOutcome::Tokens { offset: 2, count: 1 },
        ChunkOutcome::Foreign,
        ChunkOutcome::Gap,
        ChunkOutcome::Finished,
        ChunkOutcome::AfterEnd,
    ];
    assert_eq!(expected, [first, repeated, late, gap, end, after]);
    assert_eq!(["a", "b", "c"], answer.tokens());
}

#[test]
fn chunks_in_any_order_yield_a_prefix_of_the_answer() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|chunks| {
        let mut answer = Answer::new(RequestId(1), 100_000);
        answer.start_attempt();
        for (offset, count) in chunks {
            let tokens = (0..u32::from(*count)).map(|i| (u32::from(*offset) + i).to_string());
            let tokens = tokens.collect();
            let request = RequestId(1);
            let offset = u32::from(*offset);
            answer.receive(AnswerChunk {
                request,
                attempt: Attempt(1),
                offset,
                tokens,
                last: false,
            });
        }
        let expected: Vec<_> = (0..answer.length()).map(|i| i.to_string()).collect();
        assert_eq!(expected, answer.tokens());
    });
}

#[test]
fn contradictions_are_reported_and_leave_the_answer_unchanged() {
    let mut answer = Answer::new(RequestId(1), 4);
    answer.start_attempt();
    answer.receive(make_chunk(1, 0, &["a", "b", "c"], false));
    let other_token = answer.receive(make_chunk(1, 1, &["x", "c"], false));
    let early_end = answer.receive(make_chunk(1, 1, &["b"], true));
    let too_long = answer.receive(make_chunk(1, 3, &["d", "e"], false));
    let expected = vec![ChunkOutcome::Contradiction; 3];
    assert_eq!(expected, [other_token, early_end, too_long]);
    assert_eq!(["a", "b", "c"], answer.tokens());
    assert_eq!(ChunkOutcome::Finished, answer.receive(make_chunk(1, 3, &["d"], true)));
}

/// The correct token at an offset of the answer to a request.
fn correct_token(request: u128, offset: u32) -> String {
    format!("{request}:{offset}")
}

/// A chunk as an engine may deliver it: at any offset, of any attempt and of any request, possibly
/// repeated. The tokens are correct for the request.
fn chunk(request: u128, attempt: u8, offset: u8, count: u8, length: u32) -> AnswerChunk {
    let offset = u32::from(offset);
    let end = (offset + u32::from(count)).min(length);
    let tokens = (offset..end).map(|offset| correct_token(request, offset)).collect();
    let last = offset <= length && end == length;
    AnswerChunk {
        request: RequestId(request),
        attempt: Attempt(attempt.into()),
        offset,
        tokens,
        last,
    }
}

#[test]
fn answer_is_exactly_one_complete_answer_of_its_own_request() {
    let steps = bolero::check!().with_iterations(2_000).with_type::<(u8, Vec<(u8, u8, u8, u8)>)>();
    steps.for_each(|(length, steps)| {
        let length = u32::from(*length);
        let mut answer = Answer::new(RequestId(1), length);
        let mut attempt = answer.start_attempt();
        let mut finished = 0;
        for (kind, of, offset, count) in steps {
            let received = match kind % 8 {
                0 => {
                    attempt = answer.start_attempt();
                    continue;
                }
                1 => answer.receive(chunk(2, attempt.0 as u8, *offset, *count, length)),
                2 => answer.receive(chunk(1, *of, *offset, *count, length)),
                _ => {
                    let next = answer.length().saturating_sub(u32::from(of % 4)) as u8;
                    answer.receive(chunk(1, attempt.0 as u8, next, count % 16, length))
                }
            };
            finished += u32::from(received == ChunkOutcome::Finished);
            let expected: Vec<_> =
                (0..answer.length()).map(|offset| correct_token(1, offset)).collect();
            assert_eq!(expected, answer.tokens());
            assert!(finished == 0 || answer.length() == length, "finished before the end");
        }
        assert!(finished <= 1);
    });
}
