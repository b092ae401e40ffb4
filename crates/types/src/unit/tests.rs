use super::*;

#[test]
fn quantities_round_trip_through_text() {
    let spans: Vec<_> = ["250ms", "1m 30s"].map(|t| t.parse::<Span>().unwrap().to_string()).into();
    assert_eq!(vec!["250ms", "1m 30s"], spans);
    let sizes: Vec<_> =
        ["64MiB", "512KiB", "7B"].map(|t| t.parse::<Size>().unwrap().to_string()).into();
    assert_eq!(vec!["64MiB", "512KiB", "7B"], sizes);
    let money: Vec<_> = ["12.50", "-0.000001", "3"].map(|t| t.parse::<Money>().unwrap()).into();
    assert_eq!(vec![Money(12_500_000), Money(-1), Money(3_000_000)], money);
}

#[test]
fn money_text_is_exact() {
    bolero::check!().with_type::<i64>().for_each(|micros| {
        let expected = Money(*micros / 2);
        assert_eq!(Ok(expected), expected.to_string().parse());
    });
}

#[test]
fn bare_numbers_are_refused() {
    assert!("250".parse::<Span>().is_err());
    assert!("64".parse::<Size>().is_err());
    assert!("1.".parse::<Money>().is_err());
    assert!(Share::try_from(1.5).is_err());
}
