use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn registration(instance: &str, born: u64, leaving: bool) -> Registration {
    Registration {
        life: Life { instance: instance.try_into().unwrap(), born },
        service: "desk".try_into().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "a".try_into().unwrap(),
        slots: 4,
        leaving,
        reclaimable: false,
    }
}

fn usable(listing: &Listing, now: MonotonicInstant) -> Vec<(String, u64)> {
    let mut lives: Vec<_> = listing
        .iter()
        .filter(|(_, listed)| listed.usable(now))
        .map(|(_, listed)| &listed.registration.life)
        .map(|life| (life.instance.to_string(), life.born))
        .collect();
    lives.sort();
    lives
}

#[test]
fn leaving_is_never_taken_back() {
    let mut listing = Listing::default();
    listing.on_registration(at(0), registration("i-1", 1, false));
    let change = listing.on_registration(at(1), registration("i-1", 1, true));
    assert!(matches!(change, Change::Left(_)));
    listing.on_registration(at(2), registration("i-1", 1, false));
    assert!(usable(&listing, at(3)).is_empty());
}

#[test]
fn a_restarted_instance_is_another_upstream() {
    let mut listing = Listing::default();
    listing.on_registration(at(0), registration("i-1", 1, true));
    listing.on_registration(at(1), registration("i-1", 2, false));
    assert_eq!(usable(&listing, at(2)), [("i-1".to_owned(), 2)]);
    listing.on_registration(at(3), registration("i-1", 1, false));
    assert_eq!(usable(&listing, at(4)), [("i-1".to_owned(), 2)]);
}

#[test]
fn news_of_leaving_that_come_before_the_registration_hold() {
    let mut listing = Listing::default();
    listing.on_leaving(at(0), &registration("i-1", 1, false).life);
    listing.on_registration(at(1), registration("i-1", 1, false));
    assert!(usable(&listing, at(2)).is_empty());
}

#[test]
fn news_of_leaving_are_told_for_a_while_and_not_for_ever() {
    let mut listing = Listing::default();
    let life = registration("i-1", 1, false).life;
    for step in 0..20 {
        listing.on_leaving(at(step * 1_000), &life);
    }
    assert_eq!(listing.leaving(at(5_000)).count(), 1);
    assert_eq!(listing.leaving(at(7_000)).count(), 0);
}

#[test]
fn a_removal_counts_at_once_without_an_outage() {
    let mut listing = Listing::default();
    listing.on_registration(at(0), registration("i-1", 1, false));
    listing.on_removal(at(10), &"i-1".try_into().unwrap());
    assert!(usable(&listing, at(11)).is_empty());
}

#[test]
fn a_lapse_around_an_outage_counts_after_the_grace() {
    let mut listing = Listing::default();
    listing.on_registration(at(0), registration("i-1", 1, false));
    listing.on_registration(at(0), registration("i-2", 1, false));
    listing.on_outage(at(10_000));
    listing.on_removal(at(10_100), &"i-1".try_into().unwrap());
    listing.on_removal(at(10_100), &"i-2".try_into().unwrap());
    listing.on_registration(at(11_000), registration("i-2", 1, false));
    assert_eq!(usable(&listing, at(11_900)).len(), 2);
    assert_eq!(usable(&listing, at(12_001)), [("i-2".to_owned(), 1)]);
}

/// Whatever the order of news, a life that was ever said to leave is not used.
#[test]
fn no_order_of_news_brings_a_leaving_life_back() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|news| {
        let mut listing = Listing::default();
        let mut left = Vec::new();
        for (step, (kind, instance, born)) in news.iter().enumerate() {
            let now = at(step as u64 * 100);
            let found = registration(&format!("i-{}", instance % 3), u64::from(born % 3), false);
            match kind % 5 {
                0 | 1 => {
                    listing.on_registration(now, found);
                }
                2 => {
                    left.push(found.life.clone());
                    listing.on_leaving(now, &found.life);
                }
                3 => {
                    listing.on_removal(now, &found.life.instance);
                }
                _ => listing.on_outage(now),
            }
            for (_, listed) in listing.iter().filter(|(_, listed)| listed.usable(now)) {
                assert!(!left.contains(&listed.registration.life));
            }
        }
    });
}
