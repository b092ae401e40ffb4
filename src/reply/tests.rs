use super::*;

#[tokio::test]
async fn answer_whose_task_ended_early_is_of_unknown_outcome() {
    let model = Model::try_from("census-llm").unwrap();
    let head = ReplyHead { id: RequestId(1), model, form: Form::Chat };
    let (sender, rest) = mpsc::channel(1);
    drop(sender);
    let first = AnswerEvent::Text { offset: 0, text: " part".to_owned() };
    let actual = complete_response(head, first, rest).await;
    assert!(matches!(actual, Err(Refusal::Unknown(_))), "{actual:?}");
}
