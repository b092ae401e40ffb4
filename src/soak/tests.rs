use super::*;

#[test]
fn the_seed_determines_the_faults_of_a_round() {
    let soak = Soak { example: Example::Kanem, seed: 5, rounds: 1, rate: 10.0 };
    let faults = |round| soak.round_settings(round).unwrap().faults;
    assert_eq!(faults(0), faults(0));
    assert_ne!(faults(0), faults(1));
    insta::assert_debug_snapshot!(faults(0));
}
