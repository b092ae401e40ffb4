use super::*;

#[test]
fn program_name_with_spaces_does_not_shift_the_fields() {
    let stat = "7 (a b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 1 0";
    assert_eq!(Some(2.0), cpu_seconds(stat));
    assert_eq!(None, cpu_seconds("7 (a"));
}

#[test]
fn resident_memory_is_read_in_kib() {
    assert_eq!(Some(1_234), resident_kib("Name:\ta\nVmRSS:\t    1234 kB\n"));
}
