use super::*;
use spindle_types::Span;
use std::collections::BTreeMap;

fn generated(settings: &TrafficSettings) -> Vec<Arrival> {
    arrivals(settings, &settings.example.configuration().unwrap())
}

fn count_by(arrivals: &[Arrival], name: impl Fn(&Arrival) -> String) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for arrival in arrivals {
        *counts.entry(name(arrival)).or_default() += 1;
    }
    counts
}

#[test]
fn the_seed_determines_the_arrivals() {
    let settings = TrafficSettings::default();
    assert_eq!(generated(&settings), generated(&settings));
    let other = TrafficSettings { seed: 2, ..settings.clone() };
    assert_ne!(generated(&settings), generated(&other));
}

#[test]
fn arrivals_are_split_by_team_and_kind_weights() {
    for example in [Example::Vendimia, Example::Kanem] {
        let duration = Span::from_secs(100);
        let settings = TrafficSettings { example, duration, ..TrafficSettings::default() };
        let actual = generated(&settings);
        let teams = count_by(&actual, |arrival| arrival.team.to_string());
        let kinds = count_by(&actual, |arrival| arrival.kind.to_owned());
        insta::assert_debug_snapshot!(format!("parts_{example}"), (teams, kinds));
    }
}

#[test]
fn a_flood_does_not_change_the_arrivals_of_other_teams() {
    let baseline = TrafficSettings::default();
    let team = Team::try_from("casa-limon").unwrap();
    let floods = BTreeMap::from([(team.clone(), 8.0)]);
    let flooded = TrafficSettings { floods, ..baseline.clone() };
    let others = |settings| -> Vec<Arrival> {
        generated(settings).into_iter().filter(|arrival| arrival.team != team).collect()
    };
    assert_eq!(others(&baseline), others(&flooded));
    assert!(generated(&flooded).len() > generated(&baseline).len());
}
