use super::*;
use spindle_daemon::config_delta::decode;

fn document(version: u64, size: usize) -> Document {
    let mut state = version;
    let noise = (0..size).map(|_| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (state >> 33) as u8
    });
    let content: Vec<u8> = noise.collect();
    let mark = Some(FeedMark { era: Some(2), next: version + 1 });
    Document { version, content: content.into(), mark }
}

fn question(own: u64) -> ConfigQuestion {
    ConfigQuestion { own, version: None, offset: 0 }
}

#[test]
fn a_document_in_pieces_is_whole_even_if_a_newer_one_arrives_meanwhile() {
    let archive = ConfigArchive::default();
    assert_eq!(archive.piece(question(0)), None);
    let expected = document(3, 3 * PIECE_MAX_BYTES + 7);
    archive.add(expected.clone());
    let first = archive.piece(question(0)).unwrap();
    archive.add(document(4, 10));
    let mut content = first.content.clone();
    while (content.len() as u64) < first.size {
        let offset = content.len() as u64;
        let next = ConfigQuestion { own: 0, version: Some(3), offset };
        let piece = archive.piece(next).unwrap();
        assert!(piece.follows(&first, offset));
        content.extend_from_slice(&piece.content);
    }
    let decoded = decode(&[], &content).unwrap();
    assert_eq!((digest(&decoded), first.mark), (first.digest, expected.mark));
    assert_eq!(decoded, expected.content);
}

#[test]
fn only_newer_versions_are_served_against_a_base_that_is_kept() {
    let archive = ConfigArchive::default();
    archive.add(document(3, 100));
    archive.add(document(5, 100));
    let base = |own| archive.piece(question(own)).map(|piece| piece.base);
    assert_eq!(
        [base(0), base(3), base(4), base(5), base(9)],
        [Some(0), Some(3), Some(0), None, None]
    );
    let beyond = ConfigQuestion { own: 3, version: Some(5), offset: 1 << 40 };
    let unknown = ConfigQuestion { own: 3, version: Some(4), offset: 0 };
    assert_eq!((archive.piece(beyond), archive.piece(unknown)), (None, None));
}

#[test]
fn the_documents_stay_within_their_memory() {
    let archive = ConfigArchive::default();
    for version in 1..100 {
        archive.add(document(version, 1_000_000));
    }
    assert_eq!(archive.newest().unwrap().version, 99);
    assert_eq!(archive.state().documents.len(), DOCUMENTS_MAX_BYTES / 1_000_000);
    archive.add(document(100, 2 * DOCUMENTS_MAX_BYTES));
    assert_eq!(archive.state().documents.len(), 1);
    for version in 101..200 {
        archive.add(document(version, 10));
        archive.piece(question(version - 1)).unwrap();
    }
    let state = archive.state();
    assert_eq!((state.documents.len(), state.encodings.len()), (DOCUMENTS_MAX, ENCODINGS_MAX));
}
