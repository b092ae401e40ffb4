//! Compares the cost of plans with that of baselines, and measures the solve time at target size.
//!
//! Usage: `cargo run --release --example plan_cost [SEED]`

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spindle_policy::plan::placement_program;
use spindle_policy::solve::{PlacementProgram, PurchaseOption};
use spindle_types::config::Market;
use spindle_types::{DataCentre, Intent, MachineClass, Money, Pool, PricedOffer};
use std::time::Instant;

/// The seed if no argument is given.
const DEFAULT_SEED: u64 = 7;

/// The number of data centres at target size.
const DATA_CENTRES: usize = 11;

/// The number of machine classes at target size.
const CLASSES: usize = 8;

/// The number of model pools at target size.
const POOLS: usize = 6;

/// The approximate number of instances that the demand at target size needs.
const INSTANCES: f64 = 1_400.0;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED);
    let vendimia = (include_str!("vendimia/intent.yaml"), include_str!("vendimia/offers.yaml"));
    let kanem = (include_str!("kanem/intent.yaml"), include_str!("kanem/offers.yaml"));
    for (name, (intent, offers)) in [("vendimia", vendimia), ("kanem", kanem)] {
        let intent: Intent = serde_norway::from_str(intent).expect("the example is valid");
        let offers: Vec<PricedOffer> =
            serde_norway::from_str(offers).expect("the example is valid");
        compare(name, &placement_program(&intent, &offers).expect("the example can be met"));
    }
    for draw in 0..3 {
        compare(&format!("target, seed {}", seed + draw), &target_size_program(seed + draw));
    }
}

fn compare(name: &str, program: &PlacementProgram) {
    let started = Instant::now();
    let cheapest = program.cheapest();
    let plan_time = started.elapsed();
    let started = Instant::now();
    let greedy = program.greedy();
    let greedy_time = started.elapsed();
    let Ok(cheapest) = cheapest else {
        println!("{name}: {cheapest:?} after {plan_time:.2?}");
        return;
    };
    let cost = |counts: &[u32]| program.spend(counts).units();
    let unlimited = PlacementProgram { budget: None, ..program.clone() };
    let on_demand = unlimited.cheapest_on_demand().map(|counts| cost(&counts));
    println!(
        "{name}: {} instances, bound {:.2?}, plan {:.2} in {plan_time:.2?}, greedy {:?} in {greedy_time:.2?}, \
         on demand {on_demand:.2?}",
        cheapest.iter().sum::<u32>(),
        program.lower_bound().map(Money::units),
        cost(&cheapest),
        greedy.map(|counts| (cost(&counts) * 100.0).round() / 100.0),
    );
}

/// Builds a placement program of target size, with random prices from a seed.
fn target_size_program(seed: u64) -> PlacementProgram {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let name = |kind: &str, index: usize| format!("{kind}-{index}");
    let mut program = PlacementProgram { reclaimable_max: 0.44, ..PlacementProgram::default() };
    let rates: Vec<f64> = (0..CLASSES).map(|_| rng.random_range(0.6..2.4)).collect();
    for pool in 0..POOLS {
        let pool = Pool::try_from(name("pool", pool)).expect("the name is valid");
        program.needs.insert(pool, INSTANCES / POOLS as f64 * 1.2);
    }
    for data_centre in 0..DATA_CENTRES {
        let factor = rng.random_range(0.85..1.2);
        for (class, rate) in rates.iter().enumerate() {
            for market in [Market::Reclaimable, Market::OnDemand] {
                let discount =
                    if market == Market::Reclaimable { rng.random_range(0.3..0.5) } else { 1.0 };
                let price = rate * factor * discount * rng.random_range(0.9..1.1);
                let limit = Some(rng.random_range(10..60));
                for pool in program.needs.keys() {
                    program.options.push(PurchaseOption {
                        pool: pool.clone(),
                        data_centre: DataCentre::try_from(name("dc", data_centre))
                            .expect("the name is valid"),
                        class: MachineClass::try_from(name("class", class))
                            .expect("the name is valid"),
                        market,
                        price: Money::from_units((price * 100.0).round() / 100.0),
                        limit,
                        rate: *rate,
                    });
                }
            }
        }
    }
    program
}
