use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn spec(requests: Option<u32>, tokens: Option<u32>, streams: Option<u32>) -> TeamSpec {
    TeamSpec {
        request_quota: requests,
        token_quota: tokens,
        stream_quota: streams,
        ..TeamSpec::default()
    }
}

fn admits(quota: &mut TeamQuota, now: u64) -> bool {
    quota.on_request(at(now)) == TeamQuotaDecision::Admitted
}

#[test]
fn requests_of_all_daemons_stay_within_the_quota() {
    for daemons in [1, 8, 34, 370] {
        let spec = spec(Some(740), None, None);
        let mut quotas: Vec<_> =
            (0..daemons).map(|_| TeamQuota::new(at(0), &spec, daemons)).collect();
        let mut granted = 0;
        for now in (0..10_000).step_by(20) {
            for quota in &mut quotas {
                granted += u32::from(admits(quota, now));
                quota.on_end();
            }
        }
        let (rate, burst) = (740 * 10, 740 * 2);
        assert!(granted <= rate + burst, "{granted} at {daemons}");
        assert!(granted >= rate.min(daemons * 500) * 9 / 10, "{granted} at {daemons}");
    }
}

#[test]
fn rejection_states_when_the_next_request_fits() {
    let mut quota = TeamQuota::new(at(0), &spec(Some(1), None, None), 1);
    let actual: Vec<_> = (0..3).map(|_| quota.on_request(at(0))).collect();
    let expected = vec![
        TeamQuotaDecision::Admitted,
        TeamQuotaDecision::Admitted,
        TeamQuotaDecision::RetryAfter(Some(Duration::from_secs(1))),
    ];
    assert_eq!(expected, actual);
    assert!(admits(&mut quota, 1_000));
}

#[test]
fn token_debt_is_paid_off_before_the_next_request() {
    let mut quota = TeamQuota::new(at(0), &spec(None, Some(100), None), 1);
    assert!(admits(&mut quota, 0));
    quota.on_tokens(at(0), 400);
    assert_eq!(
        TeamQuotaDecision::RetryAfter(Some(Duration::from_millis(2_010))),
        quota.on_request(at(0))
    );
    assert!(admits(&mut quota, 2_010));
}

#[test]
fn streams_are_counted_until_they_end() {
    let mut quota = TeamQuota::new(at(0), &spec(None, None, Some(10)), 4);
    let granted = (0..5).filter(|_| admits(&mut quota, 0)).count();
    assert_eq!(3, granted, "a quarter of ten, rounded up");
    quota.on_end();
    assert!(admits(&mut quota, 0));
    quota.set_spec(at(0), &spec(None, None, Some(4)), 4);
    quota.on_end();
    assert!(!admits(&mut quota, 0), "two are still running");
}
