use super::*;

#[test]
fn committed_reference_is_current() {
    let committed = include_str!("../../docs/settings.md");
    let hint = "run: cargo run -- reference > docs/settings.md";
    assert!(committed == settings_reference(), "docs/settings.md is not current; {hint}");
}
