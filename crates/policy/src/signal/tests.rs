use super::*;
use spindle_types::config::{Envelope, Placement};
use spindle_types::{ClientToken, Money};

fn kind(data_centre: &str) -> InstanceKind {
    InstanceKind {
        pool: "p".parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        class: "c".parse().unwrap(),
        market: Market::Reclaimable,
    }
}

fn running(count: usize) -> Vec<RunningInstance> {
    let instance = |index: usize| RunningInstance {
        instance: format!("i-{index}").parse().unwrap(),
        token: ClientToken::try_from(format!("t-{index}")).unwrap(),
        kind: kind("dc"),
        leaving: false,
        busy: None,
        engine: None,
    };
    (0..count).map(instance).collect()
}

fn plan(count: u32) -> ConfirmedPlan {
    let InstanceKind { pool, data_centre, class, market } = kind("dc");
    ConfirmedPlan {
        digest: "d".to_owned(),
        operator: "ana".parse().unwrap(),
        placements: vec![Placement { pool, data_centre, class, market, count }],
        envelope: Envelope {
            hourly_spend: Money::from_units(100.0),
            data_centres: BTreeSet::new(),
            classes: BTreeSet::new(),
            on_demand: true,
        },
        hourly_cost: Money::from_units(f64::from(count)),
        intent: None,
    }
}

fn offers(price: f64) -> Vec<PricedOffer> {
    let InstanceKind { data_centre, class, market, .. } = kind("dc");
    let hourly_price = Money::from_units(price);
    vec![PricedOffer { data_centre, class, market, hourly_price, available: None }]
}

/// The seconds at which signals are raised if prices are observed every 10 seconds.
fn raised_at(price: impl Fn(u64) -> f64) -> Vec<u64> {
    let (plan, short_pools, running) = (plan(10), BTreeSet::new(), running(10));
    let mut detector = SignalDetector::default();
    let seconds = (0..1_000).step_by(10).filter(|second| {
        let offers = offers(price(*second));
        let observation = Observation {
            plan: &plan,
            running: &running,
            offers: &offers,
            short_pools: &short_pools,
            cells: &[],
        };
        !detector
            .on_observation(MonotonicInstant::from_millis(second * 1_000), &observation)
            .is_empty()
    });
    seconds.collect()
}

#[test]
fn lasting_price_change_is_raised_once_and_noise_is_not() {
    assert_eq!(vec![160], raised_at(|second| if second < 100 { 1.0 } else { 2.0 }));
    let noise = |second: u64| if second.is_multiple_of(20) { 1.3 } else { 1.0 };
    assert_eq!(Vec::<u64>::new(), raised_at(noise));
    let around_threshold =
        |second: u64| if second < 300 { 1.11 } else { 1.08 + 0.04 * (second % 20) as f64 / 10.0 };
    assert_eq!(vec![60], raised_at(around_threshold));
}

#[test]
fn reclaim_wave_is_raised_once_and_single_reclaims_are_not() {
    let (plan, short_pools, offers) = (plan(10), BTreeSet::new(), offers(1.0));
    for (lost, expected) in [(1, 0), (2, 0), (5, 1)] {
        let mut detector = SignalDetector::default();
        let mut raised = 0;
        for second in 0..60 {
            let running = running(if second < 10 { 10 } else { 10 - lost });
            let observation = Observation {
                plan: &plan,
                running: &running,
                offers: &offers,
                short_pools: &short_pools,
                cells: &[],
            };
            raised += detector
                .on_observation(MonotonicInstant::from_millis(second * 1_000), &observation)
                .len();
        }
        assert_eq!(expected, raised, "{lost} reclaims");
    }
}

#[test]
fn lasting_shortfall_of_attainment_is_raised_and_raises_the_demand() {
    use crate::burn::Ratio;
    let intent: Intent =
        serde_norway::from_str(include_str!("../../../../examples/kanem/intent.yaml")).unwrap();
    let plan = ConfirmedPlan { intent: Some(intent.clone()), ..plan(10) };
    let (short_pools, running, offers) = (BTreeSet::new(), running(10), offers(1.0));
    for (good, expected) in [(99, 0), (90, 1)] {
        let ratio = Ratio { good: good * 10, total: 1_000 };
        let counts = Counts { first_token: ratio, token_interval: ratio, ..Counts::default() };
        let (team, model) = ("t".parse().unwrap(), "census-llm".parse().unwrap());
        let cells = [TeamModelCounts { team, model, counts }];
        let observation = Observation {
            plan: &plan,
            running: &running,
            offers: &offers,
            short_pools: &short_pools,
            cells: &cells,
        };
        let mut detector = SignalDetector::default();
        let mut raised = 0;
        for second in 0..200 {
            raised += detector
                .on_observation(MonotonicInstant::from_millis(second * 1_000), &observation)
                .len();
        }
        assert_eq!(expected, raised, "{good} of 100");
        let grown = grown_intent(&observation).unwrap();
        assert_eq!(expected == 1, grown != intent);
    }
}
