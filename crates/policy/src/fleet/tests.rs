use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn centre(name: &str) -> DataCentre {
    name.try_into().unwrap()
}

fn spec() -> FleetSpec {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
    FleetSpec {
        min: 1,
        max: 6,
        boot: Duration::from_secs(4),
        reclaimable: true,
        prices: prices.into_iter().map(|(name, price)| (centre(name), price)).collect(),
    }
}

fn stock(of: [(u32, u32); 4]) -> BTreeMap<DataCentre, Stock> {
    let names = ["a", "b", "c", "d"].into_iter();
    let one = |(name, (fixed, reclaimable))| (centre(name), Stock { fixed, reclaimable });
    names.zip(of).map(one).collect()
}

fn loaded(requests: f64) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.on_requests(at(0), requests);
    fleet
}

#[test]
fn replacements_come_before_anything_is_given_up() {
    let fleet = loaded(100.0);
    let orders = fleet.orders(at(0), &spec(), &stock([(2, 0), (2, 0), (2, 0), (2, 0)]));
    let sum = |reclaimable| -> u32 {
        orders.iter().filter(|order| order.reclaimable == reclaimable).map(|o| o.count).sum()
    };
    assert_eq!(fleet.need(), 8);
    assert!(sum(true) >= 7, "{orders:?}");
    assert!(orders.iter().all(|order| order.reclaimable), "{orders:?}");
}

#[test]
fn what_is_not_needed_goes_once_the_replacements_are_there() {
    let fleet = loaded(60.0);
    let orders = fleet.orders(at(0), &spec(), &stock([(3, 1), (3, 1), (3, 1), (3, 1)]));
    let fixed: u32 = orders.iter().filter(|order| !order.reclaimable).map(|o| o.count).sum();
    assert_eq!(fixed, 2, "{orders:?}");
    assert!(orders.contains(&Order { data_centre: centre("c"), reclaimable: false, count: 0 }));
}

#[test]
fn refused_reclaimable_instances_are_replaced_by_others_where_they_are_cheapest() {
    let mut fleet = loaded(60.0);
    for name in ["a", "b", "c", "d"] {
        let order = Order { data_centre: centre(name), reclaimable: true, count: 1 };
        fleet.on_refused(at(10), &order);
    }
    let orders = fleet.orders(at(20), &spec(), &stock([(0, 0), (1, 0), (0, 0), (1, 0)]));
    let fixed: u32 = orders.iter().filter(|order| !order.reclaimable).map(|o| o.count).sum();
    assert!(fixed >= 4, "{orders:?}");
    assert!(orders.iter().all(|order| !order.reclaimable), "{orders:?}");
}

#[test]
fn an_order_is_not_repeated_while_instances_start() {
    let mut fleet = loaded(60.0);
    let none = stock([(1, 0), (1, 0), (1, 0), (1, 0)]);
    for order in fleet.orders(at(0), &spec(), &none) {
        fleet.on_ordered(at(0), &order);
    }
    assert_eq!(fleet.orders(at(3_000), &spec(), &none), []);
    assert_ne!(fleet.orders(at(7_500), &spec(), &none), []);
}

#[test]
fn the_envelope_holds_whatever_the_load() {
    bolero::check!().with_type::<(u16, [(u8, u8); 4])>().for_each(|(requests, found)| {
        let fleet = loaded(f64::from(*requests));
        let present = found.map(|(fixed, reclaimable)| {
            let fixed = u32::from(fixed % 7);
            (fixed, u32::from(reclaimable) % (7 - fixed))
        });
        let wanted = fleet.wanted(at(0), &spec(), &stock(present));
        for stock in wanted.values() {
            assert!(stock.total() >= 1 && stock.total() <= 6, "{wanted:?}");
        }
    });
}

#[test]
fn a_peak_counts_for_a_while() {
    let mut fleet = Fleet::default();
    fleet.on_requests(at(0), 100.0);
    fleet.on_requests(at(5_000), 10.0);
    assert_eq!(fleet.need(), 8);
    fleet.on_requests(at(13_000), 10.0);
    assert_eq!(fleet.need(), 1);
}
