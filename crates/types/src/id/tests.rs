use super::*;

#[test]
fn names_are_checked() {
    let actual: Vec<_> =
        ["kano-a", "", "Kano", "kano a"].into_iter().map(DataCentre::try_from).collect();
    let expected = vec![
        Ok(DataCentre("kano-a".into())),
        Err(IdError::Length { found: 0, max: NAME_MAX_BYTES }),
        Err(IdError::Character { found: 'K', allowed: "a-z, 0-9, '-', '_' and '.'" }),
        Err(IdError::Character { found: ' ', allowed: "a-z, 0-9, '-', '_' and '.'" }),
    ];
    assert_eq!(expected, actual);
}

#[test]
fn hexadecimal_ids_round_trip() {
    bolero::check!().with_type::<u128>().for_each(|number| {
        let expected = RequestId(*number);
        let actual = expected.to_string().parse();
        assert_eq!(Ok(expected), actual);
    });
}

#[test]
fn hexadecimal_ids_have_one_spelling() {
    for text in ["", "0", "+000000000000001", "000000000000000A", "00000000000000011"] {
        assert!(text.parse::<Incarnation>().is_err(), "{text}");
    }
}
