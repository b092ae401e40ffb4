use super::*;
use crate::settings::Fault;
use spindle_types::Span;

#[test]
fn every_experiment_file_is_valid() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let files = std::fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().path());
    let yaml: Vec<_> =
        files.filter(|path| path.extension().is_some_and(|kind| kind == "yaml")).collect();
    assert!(!yaml.is_empty());
    for path in yaml {
        if let Err(error) = load_file(&path) {
            panic!("{}: {error}", path.display());
        }
    }
}

#[test]
fn mistakes_are_reported_with_their_paths() {
    let text = "
title: x
rates: {}
daemons: 0
prices: ['1.0']
traffic: { rate: 0, kind: no-such-kind }
faults:
  - { at: 1s, fault: { kind: loss, data_centre: 4 } }
";
    let LoadError::Problems(problems) = parse(text).unwrap_err() else {
        panic!("the document was read");
    };
    insta::assert_snapshot!(problems);
}

#[tokio::test(flavor = "multi_thread")]
async fn losing_a_data_centre_without_notice_breaks_no_guarantee() {
    let at = Span::from_millis(500);
    let mut settings = parse("{ title: loss, rates: { vendimia: 10 }, daemons: 2 }").unwrap();
    settings.traffic.duration = Span::from_secs(2);
    settings.engine.step_base = Span::from_millis(1);
    settings.engine.step_slope = Span::default();
    settings.faults = vec![
        crate::settings::FaultSettings { at, fault: Fault::Loss { data_centre: 0 } },
        crate::settings::FaultSettings { at, fault: Fault::Changes { count: 2, every: at } },
    ];
    let reports = run(&settings, Progress::Hidden).await.unwrap();
    let [report] = &reports[..] else {
        panic!("{reports:?}");
    };
    assert_eq!((4, 2), (report.caused.losses, report.caused.changes));
    assert_eq!(0, report.configuration.reverts);
    insta::assert_snapshot!(violations(report));
}

/// Formats the counts of violations, without the numbers of checks, which depend on timing.
fn violations(report: &StrategyReport) -> String {
    let audit = report.load.audit.unwrap();
    let lost = report.load.outcome_count(crate::load::RequestOutcome::Lost);
    let wrong = report.load.outcome_count(crate::load::RequestOutcome::Wrong);
    format!(
        "lost {lost} wrong {wrong} duplicates {} false_not_run {} missing {} late changes {}",
        audit.duplicates, audit.false_not_run, audit.missing, report.caused.late_changes
    )
}
