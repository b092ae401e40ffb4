use super::*;

const VENDIMIA: (&str, &str) = (
    include_str!("../../../../examples/vendimia/intent.yaml"),
    include_str!("../../../../examples/vendimia/offers.yaml"),
);

const KANEM: (&str, &str) = (
    include_str!("../../../../examples/kanem/intent.yaml"),
    include_str!("../../../../examples/kanem/offers.yaml"),
);

fn load((intent, offers): (&str, &str)) -> (Intent, Vec<PricedOffer>) {
    (serde_norway::from_str(intent).unwrap(), serde_norway::from_str(offers).unwrap())
}

fn make_plan(intent: &Intent, offers: &[PricedOffer]) -> Result<Plan, PlanError> {
    let reclaims = &ReclaimRates::default();
    let input = PlanInput { intent, offers, reclaims, base: Revision(7), in_force: None };
    cheapest_plan(UtcInstant(1_000), &input)
}

fn binding(intent: &Intent, offers: &[PricedOffer]) -> String {
    make_plan(intent, offers).unwrap_err().to_string()
}

#[test]
fn plans_of_the_examples() {
    for (name, files) in [("vendimia", VENDIMIA), ("kanem", KANEM)] {
        let (intent, offers) = load(files);
        let Plan { placements, cost, pools, envelope, .. } = make_plan(&intent, &offers).unwrap();
        insta::assert_yaml_snapshot!(name, (placements, cost, pools, envelope));
    }
}

#[test]
fn binding_constraints_are_named_with_the_nearest_that_can_be_met() {
    let (intent, offers) = load(VENDIMIA);
    let poor = Intent { hourly_budget: Money::from_units(4.0), ..intent.clone() };
    let mut fast = intent.clone();
    let mut large = intent.clone();
    for model in fast.models.values_mut() {
        model.spec.target.token_interval = spindle_types::Span::from_millis(5);
    }
    for model in large.models.values_mut() {
        model.demand.requests = 5_000.0;
    }
    let one: Vec<_> =
        offers.iter().filter(|o| o.data_centre.as_str() == "cartago-a").cloned().collect();
    let steady = Intent { reclaimable_max: Share::from_percent(0), ..intent.clone() };
    let reclaimable: Vec<_> =
        offers.iter().filter(|o| o.market == Market::Reclaimable).cloned().collect();
    insta::assert_yaml_snapshot!([
        binding(&poor, &offers),
        binding(&fast, &offers),
        binding(&large, &offers),
        binding(&intent, &one),
        binding(&steady, &reclaimable),
    ]);
}

#[test]
fn smallest_sufficient_budget_is_feasible() {
    let (intent, offers) = load(KANEM);
    let poor = Intent { hourly_budget: Money::from_units(4.0), ..intent.clone() };
    let Err(PlanError::Infeasible(BindingConstraint::Budget { least, .. })) =
        make_plan(&poor, &offers)
    else {
        panic!("the budget is not the binding constraint");
    };
    assert!(make_plan(&Intent { hourly_budget: least, ..intent }, &offers).is_ok());
}

#[test]
fn digest_covers_prices_and_differences_refer_to_the_plan_in_force() {
    let (intent, mut offers) = load(VENDIMIA);
    let first = make_plan(&intent, &offers).unwrap();
    let confirmed = first.confirmed_by(Operator::try_from("ana").unwrap());
    for offer in &mut offers {
        offer.hourly_price = offer.hourly_price.times(2);
    }
    assert_eq!(first.placements.len(), first.price_changes(&offers).len());
    let rich = Intent { hourly_budget: intent.hourly_budget.times(2), ..intent };
    let reclaims = ReclaimRates::default();
    let input = PlanInput {
        intent: &rich,
        offers: &offers,
        reclaims: &reclaims,
        base: Revision(8),
        in_force: Some(&confirmed),
    };
    let second = cheapest_plan(UtcInstant(1_000), &input).unwrap();
    assert_ne!(first.digest(), second.digest());
    assert_eq!(Vec::<PlacementChange>::new(), second.differences);
}
