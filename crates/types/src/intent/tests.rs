use super::*;

#[test]
fn mistakes_beyond_the_schema_are_listed_by_path() {
    let intent: Intent = serde_norway::from_str(
        r#"
        data_centres: [kano-a]
        hourly_budget: "0"
        models:
          a:
            spec: {}
            demand: { requests: 0, prompt_tokens: 1, answer_tokens: 0 }
            engines:
              gpu: { prefill_rate: -1, step_base: 0s, step_slope: 1ms, slots: 0 }
        services:
          a: { calls: 3, machines: {} }
        "#,
    )
    .unwrap();
    insta::assert_snapshot!(intent.check());
}
