use super::*;

#[test]
fn fit_returns_the_line_and_its_standard_error() {
    let line = Line::fit(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]).unwrap();
    let expected = Line { intercept: 1.0, slope: 2.0, slope_error: 0.0, determination: 1.0 };
    assert_eq!(expected, line);
    let noisy = Line::fit(&[(0.0, 1.0), (1.0, 4.0), (2.0, 4.0)]).unwrap();
    insta::assert_debug_snapshot!(noisy);
    assert!(Line::fit(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]).is_err());
}

#[test]
fn points_are_read_from_lines_of_json() {
    let lines = "{\"a\":1,\"b\":[2]}\n\n{\"a\":3,\"b\":[4]}\n";
    assert_eq!(vec![(1.0, 2.0), (3.0, 4.0)], points(lines, "/a", "/b/0").unwrap());
    assert!(points(lines, "/c", "/a").is_err());
}
