use super::*;
use crate::deployment::Example;
use spindle_standin::EngineModel;
use spindle_types::Span;

fn record(outcome: RequestOutcome, submission: Option<&str>, first_ms: u64) -> RequestRecord {
    RequestRecord {
        arrival: Duration::ZERO,
        team: Team::try_from("casa-limon").unwrap(),
        kind: "enquiry",
        submission: submission.map(str::to_owned),
        outcome,
        detail: String::new(),
        first_token: submission.is_none().then(|| Duration::from_millis(first_ms)),
        intervals: vec![(Duration::from_millis(20), 1); 10],
        last_token: Duration::ZERO,
        total: Duration::from_millis(first_ms + 200),
        tokens: 11,
        recomputed: 0,
        retries: 0,
        pickups: 0,
    }
}

#[test]
fn audit_counts_submissions_with_a_wrong_reported_outcome() {
    let records = vec![
        record(RequestOutcome::Whole, Some("once"), 5),
        record(RequestOutcome::Whole, Some("twice"), 5),
        record(RequestOutcome::NotRun, Some("ran-after-all"), 5),
        record(RequestOutcome::NotRun, Some("not-run"), 5),
        record(RequestOutcome::Whole, Some("missing"), 5),
        record(RequestOutcome::Unknown, Some("unknown"), 5),
    ];
    let run = LoadRun { settings: TrafficSettings::default(), records, max_in_flight: 0 };
    let executed = ["once", "twice", "twice", "ran-after-all", "unknown"].map(str::to_owned);
    let report = LoadReport::new(&run, LatencyTarget::default(), Some(&executed));
    let expected = SubmissionAudit { submissions: 6, duplicates: 1, false_not_run: 1, missing: 1 };
    assert_eq!(report.audit, Some(expected));
}

#[test]
fn only_complete_answers_within_the_target_count_as_goodput() {
    let records = vec![
        record(RequestOutcome::Whole, None, 400),
        record(RequestOutcome::Whole, None, 420),
        record(RequestOutcome::Wrong, None, 10),
    ];
    let run = LoadRun { settings: TrafficSettings::default(), records, max_in_flight: 0 };
    let report = LoadReport::new(&run, LatencyTarget::default(), None);
    assert_eq!(report.in_target, 1);
    assert_eq!(report.outcome_count(RequestOutcome::Wrong), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn deployment_without_faults_answers_every_request() {
    let fast = EngineModel {
        step_base: Duration::from_micros(500),
        step_slope: Duration::ZERO,
        ..EngineModel::default()
    };
    for example in [Example::Vendimia, Example::Kanem] {
        let deployment = Deployment::start(example, 2, fast).await.unwrap();
        let duration = Span::from_secs(2);
        let settings =
            TrafficSettings { example, rate: 10.0, duration, ..TrafficSettings::default() };
        let targets = Targets::daemons(&deployment);
        let configuration = &deployment.configuration;
        let run = run(settings, configuration, targets, Progress::Hidden).await.unwrap();
        let executed = deployment.submissions();
        let report = LoadReport::new(&run, LatencyTarget::default(), Some(&executed));
        assert_eq!(report.outcome_count(RequestOutcome::Whole), report.offered, "{run:?}");
        let audit = report.audit.unwrap();
        assert!(audit.submissions > 0);
        assert_eq!((audit.duplicates, audit.false_not_run, audit.missing), (0, 0, 0));
    }
}
