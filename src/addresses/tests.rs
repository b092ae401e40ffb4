use super::*;

#[test]
fn query_is_checked_and_every_mistake_reported() {
    let actual = AddressQuery::try_from("model=census-llm&prefix=lga%2Fkano&data_centre=kano-a");
    let expected = AddressQuery {
        target: "census-llm".to_owned(),
        prefix: Some("lga/kano".to_owned()),
        data_centre: DataCentre::try_from("kano-a").ok(),
    };
    assert_eq!(Ok(expected), actual);
    assert_eq!(Ok(AddressQuery::default()), AddressQuery::try_from(""));
    let long = "x".repeat(LABEL_MAX_BYTES + 1);
    let query = format!("model=A&service=b&service=c&colour=red&prefix={long}");
    insta::assert_snapshot!(AddressQuery::try_from(query.as_str()).unwrap_err());
}
