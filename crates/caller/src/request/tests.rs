use super::*;

fn chat(json: &str) -> Result<Completion, Problems> {
    Completion::try_from(serde_json::from_str::<ChatRequest>(json).unwrap())
}

#[test]
fn chat_messages_become_a_prompt() {
    let actual = chat(
        r#"{"model":"sommelier-llm","messages":[{"role":"user","content":"Hi"}],"stream":true}"#,
    );
    let expected = Completion {
        form: Form::Chat,
        model: Model::try_from("sommelier-llm").unwrap(),
        prompt: "user: Hi\n".into(),
        max_tokens: MAX_TOKENS_DEFAULT,
        stream: true,
        adapter: None,
        priority: Priority::Interactive,
    };
    assert_eq!(Ok(expected), actual);
}

#[test]
fn all_errors_are_reported_at_once() {
    let problems = chat(r#"{"model":"","messages":[],"max_tokens":0}"#).unwrap_err();
    let actual: Vec<_> = problems.as_slice().iter().map(|p| p.path.as_str()).collect();
    assert_eq!(vec!["model", "max_tokens", "messages"], actual);
}
