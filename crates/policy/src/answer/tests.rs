use super::*;

fn part(attempt: u64, offset: u32, tokens: &[&str], last: bool) -> Part {
    let tokens = tokens.iter().map(ToString::to_string).collect();
    Part { request: RequestId(1), attempt: Attempt(attempt), offset, tokens, last }
}

#[test]
fn repeated_and_late_chunks_are_dropped() {
    let mut answer = Answer::new(RequestId(1));
    answer.start_attempt();
    let first = answer.on_part(part(1, 0, &["a", "b"], false));
    let repeated = answer.on_part(part(1, 1, &["b", "c"], false));
    answer.start_attempt();
    let late = answer.on_part(part(1, 3, &["x"], false));
    let gap = answer.on_part(part(2, 4, &["x"], false));
    let end = answer.on_part(part(2, 3, &[], true));
    let after = answer.on_part(part(2, 3, &["x"], false));
    let expected = [
        Received::Tokens { offset: 0, count: 2 },
        Received::Tokens { offset: 2, count: 1 },
        Received::Foreign,
        Received::Gap,
        Received::Finished,
        Received::AfterEnd,
    ];
    assert_eq!(expected, [first, repeated, late, gap, end, after]);
    assert_eq!(["a", "b", "c"], answer.tokens());
}

#[test]
fn any_order_yields_a_prefix_of_the_answer() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|chunks| {
        let mut answer = Answer::new(RequestId(1));
        answer.start_attempt();
        for (offset, count) in chunks {
            let tokens = (0..u32::from(*count)).map(|i| (u32::from(*offset) + i).to_string());
            let tokens = tokens.collect();
            let request = RequestId(1);
            let offset = u32::from(*offset);
            answer.on_part(Part { request, attempt: Attempt(1), offset, tokens, last: false });
        }
        let expected: Vec<_> = (0..answer.length()).map(|i| i.to_string()).collect();
        assert_eq!(expected, answer.tokens());
    });
}
