use super::*;
use spindle_instances::{State, Workload};
use spindle_types::{Instance, Money, Pool};

fn offer(centre: &str, price: f64) -> Offer {
    Offer {
        data_centre: DataCentre::try_from(centre).unwrap(),
        class: MachineClass::try_from("gpu").unwrap(),
        market: Market::Reclaimable,
        hourly_price: Money::from_units(price),
        available: None,
    }
}

fn entry(centre: &str) -> InstanceEntry {
    InstanceEntry {
        instance: Instance::try_from("i").unwrap(),
        data_centre: DataCentre::try_from(centre).unwrap(),
        class: MachineClass::try_from("gpu").unwrap(),
        market: Market::Reclaimable,
        address: ([127, 0, 0, 1], 1).into(),
        kind: Workload::Upstream { pool: Pool::try_from("p").unwrap() },
        state: State::Live,
    }
}

#[test]
fn unknown_price_is_the_mean_of_those_known() {
    let mut prices = Prices::default();
    assert_eq!(PRICE_DEFAULT, prices.of(&entry("kano-a")));
    prices.on_offers(vec![offer("kano-a", 2.0), offer("kano-b", 4.0)]);
    prices.on_offers(vec![offer("kano-b", 5.0)]);
    let actual = ["kano-a", "kano-b", "abuja-a"].map(|centre| prices.of(&entry(centre)));
    assert_eq!([2.0, 5.0, 3.5], actual);
}
