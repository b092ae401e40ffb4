use super::*;

fn version(text: &str) -> Option<SoftwareVersion> {
    text.try_into().ok()
}

#[test]
fn an_unstated_version_permits_none_and_is_permitted_only_for_new_streams() {
    let cases = [
        (PermittedVersions::Any, [true, true, true]),
        (PermittedVersions::Only(version("v1")), [true, false, false]),
        (PermittedVersions::Only(None), [false, false, false]),
    ];
    for (permitted, expected) in cases {
        let versions = [version("v1"), version("v2"), None];
        let actual = versions.map(|version| permitted.permits(version.as_ref()));
        assert_eq!(actual, expected, "{permitted:?}");
    }
}
