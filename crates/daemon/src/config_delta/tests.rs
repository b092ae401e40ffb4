use super::*;

/// A document as operators write it, with `routes` routes.
fn document(version: u64, routes: usize) -> Vec<u8> {
    let route = |index: usize| {
        let (name, service) = (digest(&index.to_le_bytes()), index % 7);
        format!(
            "{{\"name\":\"r-{name:x}\",\"host\":\"wuny96.example\",\"path-prefix\":\"/p{name:x}/\",\
             \"service\":\"s{service}\",\"kind\":\"safe\",\"timeout-ms\":3000,\"max-attempts\":2}}"
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!("{{\"version\":{version},\"routes\":[{}]}}", routes.join(",")).into_bytes()
}

#[test]
fn a_document_is_restored_from_any_base() {
    for (old, new) in [(0, 1), (1, 0), (49, 1_449), (1_449, 1_450), (7_000, 7_000)] {
        let (base, next) = (document(3, old), document(4, new));
        for base in [&[][..], &base] {
            let content = encode(base, &next).unwrap();
            assert_eq!(decode(base, &content).unwrap(), next);
        }
    }
}

#[test]
fn a_change_of_a_large_document_is_small() {
    let (base, next) = (document(3, 1_400), document(4, 1_401));
    let (whole, change) = (encode(&[], &next).unwrap(), encode(&base, &next).unwrap());
    println!("{} bytes, whole {}, change {}", next.len(), whole.len(), change.len());
    assert!(whole.len() * 4 < next.len());
    assert!(change.len() < 1_000);
}

#[test]
fn content_for_another_base_or_damaged_content_is_no_document() {
    let (base, next) = (document(3, 300), document(4, 301));
    let content = encode(&base, &next).unwrap();
    let restored =
        |base: &[u8], content: &[u8]| decode(base, content).is_ok_and(|found| found == next);
    let other: Vec<u8> = base.iter().rev().copied().collect();
    assert!(!restored(&other, &content));
    assert!(!restored(&[], &content));
    assert!(!restored(&base, &content[..content.len() - 1]));
}

#[test]
fn decoding_never_panics() {
    bolero::check!().with_type::<(Vec<u8>, Vec<u8>)>().for_each(|(base, content)| {
        let _ = decode(base, content);
    });
}

#[test]
fn a_document_that_expands_without_end_is_refused() {
    let content = encode(&[], &vec![b' '; DOCUMENT_MAX_BYTES + 1]).unwrap();
    assert!(decode(&[], &content).is_err());
}
