use super::*;
use crate::cases::check;
use crate::plan::{PlanInput, ReclaimRates, cheapest_plan};
use spindle_types::{Intent, Operator, Revision, UtcInstant};

const STEP: Duration = Duration::from_secs(15);
const FAULTLESS_TICKS: u32 = 120;

/// A cloud that starts one instance per client token, with engines that execute every order.
#[derive(Default)]
struct Cloud {
    running: Vec<RunningInstance>,
    started: u32,
    highest_spend: Money,
    /// The data centre in which starts are refused.
    down: Option<spindle_types::DataCentre>,
}

impl Cloud {
    fn start(&mut self, token: &ClientToken, kind: &InstanceKind) {
        if let Some(known) = self.running.iter().find(|instance| instance.token == *token) {
            assert_eq!(*kind, known.kind, "one token names two kinds");
            return;
        }
        self.started += 1;
        self.running.push(RunningInstance {
            instance: Instance::try_from(format!("i-{}", self.started)).unwrap(),
            token: token.clone(),
            kind: kind.clone(),
            leaving: false,
            busy: Some(0),
            engine: Some(EngineState::default()),
        });
    }

    fn counts(&self) -> BTreeMap<InstanceKind, u32> {
        let mut counts = BTreeMap::new();
        self.running.iter().for_each(|r| *counts.entry(r.kind.clone()).or_default() += 1);
        counts
    }
}

fn example() -> (Configuration, Vec<PricedOffer>) {
    let intent: Intent =
        serde_norway::from_str(include_str!("../../../../examples/vendimia/intent.yaml")).unwrap();
    let offers: Vec<PricedOffer> =
        serde_norway::from_str(include_str!("../../../../examples/vendimia/offers.yaml")).unwrap();
    let mut config = Configuration::default();
    confirm(&mut config, &intent, &offers);
    (config, offers)
}

fn confirm(config: &mut Configuration, intent: &Intent, offers: &[PricedOffer]) {
    let reclaims = ReclaimRates::default();
    let base = config.revision;
    let in_force = config.plan.as_ref();
    let input = PlanInput { intent, offers, reclaims: &reclaims, base, in_force };
    let made = cheapest_plan(UtcInstant(base.0), &input).unwrap();
    let plan = made.confirmed_by(Operator::try_from("ana").unwrap());
    config.apply(Revision(base.0 + 1), spindle_types::Change::ConfirmPlan { plan });
}

fn wanted(config: &Configuration) -> BTreeMap<InstanceKind, u32> {
    let placements = &config.plan.as_ref().unwrap().placements;
    placements.iter().map(|placement| (InstanceKind::from(placement), placement.count)).collect()
}

/// One tick of a lease holder; `fault` determines the outcome of each start.
fn tick(
    holder: &mut Reconciler,
    cloud: &mut Cloud,
    now: MonotonicInstant,
    (config, offers): (&Configuration, &[PricedOffer]),
    mut fault: impl FnMut() -> u8,
) {
    for action in holder.on_tick(now, &cloud.running, config, offers) {
        match action {
            Action::Start { token, kind } => {
                let outcome = match fault() % 5 {
                    _ if cloud.down.as_ref() == Some(&kind.data_centre) => StartOutcome::Refused,
                    0 => StartOutcome::Refused,
                    1 => StartOutcome::Unknown,
                    2 => {
                        cloud.start(&token, &kind);
                        StartOutcome::Unknown
                    }
                    _ => {
                        cloud.start(&token, &kind);
                        StartOutcome::Started
                    }
                };
                holder.on_start(now, &token, outcome);
            }
            Action::Drain { .. } => {}
            Action::Stop { instance } => cloud.running.retain(|r| r.instance != instance),
            Action::Order(order) => {
                let spec = &config.pools[&order.pool];
                let engine = cloud.running.iter_mut().find(|r| r.instance == order.instance);
                engine.unwrap().engine = Some(EngineState {
                    model: spec.model.clone(),
                    version: spec.version.clone(),
                    adapters: spec.adapters.clone(),
                    role: spec.role,
                });
            }
        }
        let spend = hourly_spend(cloud.running.iter().map(|r| &r.kind), offers).unwrap();
        cloud.highest_spend = cloud.highest_spend.max(spend);
    }
}

/// Runs ticks with faults and then without, and checks that the spend stays within the envelope and
/// the plan is reached.
fn run_with_faults(faults: &[u8], (config, offers): (&Configuration, &[PricedOffer])) {
    let limit = config.plan.as_ref().unwrap().envelope.hourly_spend;
    let (mut cloud, mut holder) = (Cloud::default(), Reconciler::default());
    let mut now = MonotonicInstant::default();
    let mut draws = faults.iter().copied();
    for _ in 0..20 {
        tick(&mut holder, &mut cloud, now, (config, offers), || draws.next().unwrap_or(3));
        if let Some(victim) = draws.next().filter(|draw| draw % 3 == 0) {
            let count = cloud.running.len().max(1);
            cloud.running.drain(..usize::from(victim) % count);
        }
        now = now + STEP;
    }
    for _ in 0..FAULTLESS_TICKS {
        tick(&mut holder, &mut cloud, now, (config, offers), || 3);
        now = now + STEP;
    }
    assert!(cloud.highest_spend <= limit, "{} of {limit}", cloud.highest_spend);
    assert_eq!(wanted(config), cloud.counts());
}

#[test]
fn spend_stays_within_the_envelope_and_the_plan_is_reached_after_faults() {
    let (config, offers) = example();
    let mut tight = config.clone();
    let plan = tight.plan.as_mut().unwrap();
    let kinds = wanted(&config).into_iter().flat_map(|(kind, count)| vec![kind; count as usize]);
    plan.envelope.hourly_spend = hourly_spend(&kinds.collect::<Vec<_>>(), &offers).unwrap();
    check(150, |faults: &Vec<u8>| {
        run_with_faults(faults, (&config, &offers));
        run_with_faults(faults, (&tight, &offers));
    });
}

#[test]
fn two_lease_holders_start_no_instance_twice() {
    let (config, offers) = example();
    check(150, |faults: &Vec<u8>| {
        let mut cloud = Cloud::default();
        let mut holders = [Reconciler::default(), Reconciler::default()];
        let mut now = MonotonicInstant::default();
        // Values 1 to 4 of the five outcomes: answers are lost, but no start is refused.
        let mut draws = faults.iter().map(|draw| 1 + draw % 4);
        for turn in 0..20 {
            let holder = &mut holders[turn % 2];
            tick(holder, &mut cloud, now, (&config, &offers), || draws.next().unwrap_or(3));
            now = now + STEP;
            let wanted = wanted(&config);
            for (kind, count) in cloud.counts() {
                assert!(count <= wanted.get(&kind).copied().unwrap_or(0), "{count} of {kind:?}");
            }
        }
        assert_eq!(wanted(&config), cloud.counts());
    });
}

#[test]
fn new_lease_holder_with_a_newer_plan_reverts_the_actions_of_the_old_one() {
    let (mut config, offers) = example();
    let (mut cloud, mut old) = (Cloud::default(), Reconciler::default());
    let mut now = MonotonicInstant::default();
    tick(&mut old, &mut cloud, now, (&config, &offers), || 3);
    let stale = config.clone();
    let mut intent = config.plan.clone().unwrap().intent.unwrap();
    intent.data_centres.retain(|data_centre| data_centre.as_str() != "heredia-b");
    for model in intent.models.values_mut() {
        model.spec.version = Some("v2".parse().unwrap());
    }
    confirm(&mut config, &intent, &offers);
    let mut new = Reconciler::default();
    for round in 0..FAULTLESS_TICKS {
        // The old holder was paused and acts once more, by the outdated plan.
        if round == 3 {
            tick(&mut old, &mut cloud, now, (&stale, &offers), || 3);
        }
        tick(&mut new, &mut cloud, now, (&config, &offers), || 3);
        now = now + STEP;
    }
    assert_eq!(wanted(&config), cloud.counts());
}

#[test]
fn late_order_at_an_engine_that_ignores_fencing_tokens_is_reverted() {
    let (config, offers) = example();
    let (mut cloud, mut holder) = (Cloud::default(), Reconciler::default());
    let now = MonotonicInstant::default();
    for _ in 0..2 {
        tick(&mut holder, &mut cloud, now, (&config, &offers), || 3);
    }
    let engine = cloud.running.iter_mut().find(|r| r.kind.pool.as_str() == "sommelier-llm");
    let engine = engine.unwrap();
    let late =
        EngineState { version: Some("v0".parse().unwrap()), ..engine.engine.clone().unwrap() };
    engine.engine = Some(late);
    let instance = engine.instance.clone();
    let actual = holder.on_tick(now + STEP, &cloud.running, &config, &offers);
    let ordered: Vec<_> = actual
        .iter()
        .filter_map(|action| match action {
            Action::Order(order) => Some(&order.instance),
            _ => None,
        })
        .collect();
    assert_eq!(vec![&instance], ordered);
}

#[test]
fn new_version_is_rolled_out_within_the_need_of_the_pool() {
    let (mut config, offers) = example();
    let (mut cloud, mut holder) = (Cloud::default(), Reconciler::default());
    let now = MonotonicInstant::default();
    for _ in 0..2 {
        tick(&mut holder, &mut cloud, now, (&config, &offers), || 3);
    }
    let (pool, spec) = config.pools.iter_mut().find(|(_, spec)| spec.model.is_some()).unwrap();
    spec.version = Some("v2".parse().unwrap());
    let pool = pool.clone();
    let actions = holder.on_tick(now + STEP, &cloud.running, &config, &offers);
    let ordered: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Order(order) => Some(order.instance.clone()),
            _ => None,
        })
        .collect();
    let plan = config.plan.as_ref().unwrap();
    let tick = Tick::new(now, plan, &config, &offers);
    let kept = cloud.running.iter().filter(|r| r.kind.pool == pool);
    let kept = kept.filter(|r| !ordered.contains(&r.instance));
    let rate: f64 = kept.map(|r| tick.rate(&r.kind)).sum();
    assert!(!ordered.is_empty() && rate >= tick.needs[&pool], "{ordered:?} leave {rate}");
}

#[test]
fn need_is_covered_without_a_lost_data_centre_which_is_replaced_within_the_envelope() {
    let (config, offers) = example();
    let plan = config.plan.as_ref().unwrap();
    let needs = Tick::new(MonotonicInstant::default(), plan, &config, &offers);
    for data_centre in plan.envelope.data_centres.clone() {
        let (mut cloud, mut holder) = (Cloud::default(), Reconciler::default());
        let mut now = MonotonicInstant::default();
        tick(&mut holder, &mut cloud, now, (&config, &offers), || 3);
        cloud.running.retain(|r| r.kind.data_centre != data_centre);
        let left = cloud.running.len();
        cloud.down = Some(data_centre.clone());
        for _ in 0..20 {
            now = now + STEP;
            tick(&mut holder, &mut cloud, now, (&config, &offers), || 3);
            for (pool, need) in &needs.needs {
                let running = cloud.running.iter().filter(|r| r.kind.pool == *pool);
                let rate: f64 = running.map(|r| needs.rate(&r.kind)).sum();
                assert!(rate >= *need, "{pool} carries {rate} of {need} without {data_centre}");
            }
        }
        assert!(cloud.running.len() > left, "nothing replaces {data_centre}");
        cloud.down = None;
        for _ in 0..FAULTLESS_TICKS {
            now = now + STEP;
            tick(&mut holder, &mut cloud, now, (&config, &offers), || 3);
        }
        assert!(cloud.highest_spend <= plan.envelope.hourly_spend);
        assert_eq!(wanted(&config), cloud.counts());
    }
}
