use super::*;
use crate::cases::check;

fn program(prices: &[(u8, u8)], need: u8, reclaimable_max: f64) -> PlacementProgram {
    let pool = Pool::try_from("p").unwrap();
    let options = prices.iter().enumerate().map(|(index, (price, limit))| PurchaseOption {
        pool: pool.clone(),
        data_centre: DataCentre::try_from(format!("dc-{}", index % 3)).unwrap(),
        class: MachineClass::try_from(format!("c-{}", index / 6)).unwrap(),
        market: if index % 2 == 0 { Market::OnDemand } else { Market::Reclaimable },
        price: Money::from_units(f64::from(*price % 50 + 1)),
        limit: Some(u32::from(*limit % 8)),
        rate: 1.0 + (index / 6) as f64,
    });
    PlacementProgram {
        needs: BTreeMap::from([(pool.clone(), f64::from(need % 12) + 1.0)]),
        options: options.collect(),
        budget: None,
        reclaimable_max,
    }
}

#[test]
fn solution_meets_every_constraint_and_no_baseline_is_cheaper() {
    check(200, |(prices, need, share): &(Vec<(u8, u8)>, u8, u8)| {
        let prices = &prices[..prices.len().min(12)];
        let program = program(prices, *need, f64::from(share % 5) / 4.0);
        let Ok(counts) = program.cheapest() else {
            assert_eq!(None, program.greedy());
            return;
        };
        assert_eq!(Vec::<(Pool, Option<DataCentre>, f64)>::new(), program.deficits(&counts));
        for (option, count) in program.options.iter().zip(&counts) {
            assert!(option.limit.is_none_or(|limit| *count <= limit));
        }
        let bound = program.spend(&counts).units() * (1.0 - f64::from(MIP_GAP_MAX)) - 1e-6;
        for baseline in [program.greedy(), program.cheapest_on_demand().ok()].into_iter().flatten()
        {
            assert!(program.spend(&baseline).units() >= bound);
        }
    });
}
