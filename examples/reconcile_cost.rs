//! Measures the duration of reconciler ticks at target size.
//!
//! Usage: `cargo run --release --example reconcile_cost`

use spindle_policy::reconcile::{
    Action, EngineState, InstanceKind, Reconciler, RunningInstance, StartOutcome,
};
use spindle_types::config::{ConfirmedPlan, Envelope, Market, Placement};
use spindle_types::intent::{EngineProfile, ModelDemand, ModelIntent};
use spindle_types::{
    Change, Configuration, Intent, Money, MonotonicInstant, PoolSpec, PricedOffer, Revision, Share,
    Span,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The numbers of data centres, machine classes and pools at target size.
const SIZES: (usize, usize, usize) = (11, 8, 4);

/// The number of instances of each kind: 11 x 8 x 4 x 2 markets x 2 are 1,408.
const PER_KIND: u32 = 2;

/// The number of ticks that are timed.
const TICKS: u32 = 20;

fn main() {
    let offers = offers();
    let mut config = Configuration::default();
    config.apply(Revision(1), Change::ConfirmPlan { plan: plan(&offers) });
    let mut now = MonotonicInstant::default();
    let mut running = Vec::new();
    let mut reconciler = Reconciler::default();
    start_all_instances(&mut reconciler, &mut now, &mut running, &config, &offers);
    println!("instances: {}", running.len());
    time_ticks("steady tick", &mut reconciler, &mut now, &running, &config, &offers);
    running.retain(|r| r.kind.data_centre.as_str() != "dc-3");
    println!("instances left without a data centre: {}", running.len());
    time_ticks("tick with refused starts", &mut reconciler, &mut now, &running, &config, &offers);
}

fn start_all_instances(
    reconciler: &mut Reconciler,
    now: &mut MonotonicInstant,
    running: &mut Vec<RunningInstance>,
    config: &Configuration,
    offers: &[PricedOffer],
) {
    loop {
        let before = running.len();
        for action in reconciler.on_tick(*now, running, config, offers) {
            if let Action::Start { token, kind } = action {
                reconciler.on_start(*now, &token, StartOutcome::Started);
                let spec = config.pools.get(&kind.pool).expect("the pool is configured");
                running.push(RunningInstance {
                    instance: format!("i-{}", running.len()).parse().expect("the name is valid"),
                    token,
                    kind,
                    leaving: false,
                    busy: Some(13),
                    engine: Some(EngineState { model: spec.model.clone(), ..Default::default() }),
                });
            }
        }
        *now = *now + Duration::from_secs(10);
        if running.len() == before {
            return;
        }
    }
}

fn time_ticks(
    name: &str,
    reconciler: &mut Reconciler,
    now: &mut MonotonicInstant,
    running: &[RunningInstance],
    config: &Configuration,
    offers: &[PricedOffer],
) {
    let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..TICKS {
        let started = Instant::now();
        let actions = reconciler.on_tick(*now, running, config, offers);
        let took = started.elapsed();
        (total, longest) = (total + took, longest.max(took));
        for action in actions {
            if let Action::Start { token, .. } = action {
                reconciler.on_start(*now, &token, StartOutcome::Refused);
            }
        }
        *now = *now + Duration::from_secs(10);
    }
    println!("{name}: mean {:.2?}, longest {longest:.2?}", total / TICKS);
}

fn offers() -> Vec<PricedOffer> {
    let mut offers = Vec::new();
    for data_centre in 0..SIZES.0 {
        for class in 0..SIZES.1 {
            for (market, price) in [(Market::Reclaimable, 0.4), (Market::OnDemand, 1.0)] {
                offers.push(PricedOffer {
                    data_centre: format!("dc-{data_centre}").parse().expect("the name is valid"),
                    class: format!("class-{class}").parse().expect("the name is valid"),
                    market,
                    hourly_price: Money::from_units(price),
                    available: None,
                });
            }
        }
    }
    offers
}

fn plan(offers: &[PricedOffer]) -> ConfirmedPlan {
    let profile = EngineProfile {
        prefill_rate: 20_000.0,
        step_base: Span::from_millis(8),
        step_slope: Span::from_millis(0),
        slots: 32,
    };
    let engines: BTreeMap<_, _> = offers.iter().map(|o| (o.class.clone(), profile)).collect();
    let pools = (0..SIZES.2).map(|pool| {
        let spec = PoolSpec { model: format!("m-{pool}").parse().ok(), ..PoolSpec::default() };
        let demand = ModelDemand { requests: 100.0, prompt_tokens: 500, answer_tokens: 412 };
        let pool = format!("pool-{pool}").parse().expect("the name is valid");
        (pool, ModelIntent { spec, demand, engines: engines.clone() })
    });
    let intent = Intent {
        data_centres: offers.iter().map(|offer| offer.data_centre.clone()).collect(),
        hourly_budget: Money::from_units(10_000.0),
        reclaimable_max: Share::from_percent(50),
        models: pools.collect(),
        services: BTreeMap::new(),
    };
    let kinds = intent.models.keys().flat_map(|pool| {
        offers.iter().map(|offer| InstanceKind::of(pool, offer)).collect::<Vec<_>>()
    });
    let placements = kinds.map(|InstanceKind { pool, data_centre, class, market }| Placement {
        pool,
        data_centre,
        class,
        market,
        count: PER_KIND,
    });
    ConfirmedPlan {
        digest: "0123456789abcdef".to_owned(),
        operator: "ana".parse().expect("the name is valid"),
        placements: placements.collect(),
        envelope: Envelope {
            hourly_spend: Money::from_units(10_000.0),
            data_centres: intent.data_centres.clone(),
            classes: intent.classes(),
            on_demand: true,
        },
        hourly_cost: Money::from_units(985.6),
        intent: Some(intent),
    }
}
