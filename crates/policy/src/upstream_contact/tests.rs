use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn keys(count: usize) -> Vec<UpstreamKey> {
    let mut keys = SlotMap::with_key();
    (0..count).map(|_| keys.insert(())).collect()
}

fn service(name: &str) -> Service {
    Service::try_from(name).unwrap()
}

#[test]
fn failures_at_two_upstreams_lose_contact_and_a_sample_regains_it() {
    let keys = keys(3);
    let mut contact = ServiceContact::default();
    contact.on_heard(at(0));
    assert_eq!(contact.on_failed(at(300), at(50), keys[0], (1, 3)), ContactChange::Unchanged);
    assert_eq!(contact.on_failed(at(310), at(60), keys[0], (1, 3)), ContactChange::Unchanged);
    assert!(!contact.is_lost());
    assert_eq!(contact.on_failed(at(400), at(150), keys[1], (1, 3)), ContactChange::Lost);
    assert!(contact.is_lost() && !contact.is_confirmed(at(700)) && contact.is_confirmed(at(800)));
    // A few upstreams that are reached are no contact with the service.
    contact.on_heard(at(810));
    assert_eq!(contact.on_sample(at(850), 1, 3), ContactChange::Unchanged);
    assert!(contact.is_lost());
    assert_eq!(contact.on_sample(at(900), 2, 3), ContactChange::Regained);
    assert!(!contact.is_lost());
    // Begun before the contact.
    assert_eq!(contact.on_failed(at(950), at(700), keys[0], (1, 3)), ContactChange::Unchanged);
    assert_eq!(contact.on_failed(at(960), at(710), keys[1], (1, 3)), ContactChange::Unchanged);
    assert!(!contact.is_lost());
}

#[test]
fn failures_at_more_than_half_of_the_upstreams_lose_contact_though_others_are_heard() {
    let keys = keys(4);
    let mut contact = ServiceContact::default();
    for (unreached, lost) in [(1, false), (2, false), (3, true)] {
        contact.on_heard(at(unreached as u64 * 100));
        let change = contact.on_failed(at(500), at(10), keys[unreached], (unreached, 4));
        assert_eq!(change == ContactChange::Lost, lost, "{unreached} of 4");
    }
}

#[test]
fn the_only_upstream_of_a_service_is_enough_to_lose_contact() {
    let mut contact = ServiceContact::default();
    assert_eq!(contact.on_failed(at(300), at(50), keys(1)[0], (1, 1)), ContactChange::Lost);
}

#[test]
fn one_upstream_that_is_down_never_loses_contact() {
    let keys = keys(4);
    let mut contact = ServiceContact::default();
    for step in 0..1_000 {
        contact.on_failed(at(step * 10 + 5), at(step * 10), keys[0], (1, 4));
        assert!(!contact.is_lost());
    }
}

#[test]
fn a_second_upstream_is_tested_soon_after_a_first_failure() {
    let keys = keys(4);
    let mut contact = ServiceContact::default();
    contact.on_heard(at(0));
    assert_eq!(contact.take_test(at(10), false, false, 0.5), None);
    contact.on_failed(at(600), at(350), keys[0], (1, 4));
    assert_eq!(contact.take_test(at(610), false, true, 0.5), Some(ContactTest::Others(FEW)));
    assert_eq!(contact.take_test(at(620), false, true, 0.5), None);
    assert_eq!(contact.on_failed(at(860), at(610), keys[1], (1, 4)), ContactChange::Lost);
}

#[test]
fn a_quiet_service_is_tested_when_another_one_has_lost_contact() {
    let mut contact = ServiceContact::default();
    contact.on_heard(at(0));
    assert_eq!(contact.take_test(at(400), true, false, 0.5), None);
    assert_eq!(contact.take_test(at(600), true, false, 0.5), Some(ContactTest::Others(FEW)));
    assert_eq!(contact.take_test(at(700), true, false, 0.5), None);
}

#[test]
fn an_upstream_that_is_not_reached_is_tested_again_and_again() {
    let mut contact = ServiceContact::default();
    contact.on_failed(at(300), at(50), keys(1)[0], (1, 3));
    contact.on_heard(at(310));
    assert_eq!(contact.take_test(at(320), false, true, 0.5), Some(ContactTest::Failed(FEW)));
    assert_eq!(contact.take_test(at(700), false, true, 0.5), None);
    assert_eq!(contact.take_test(at(820), false, true, 0.5), Some(ContactTest::Failed(FEW)));
}

#[test]
fn a_daemon_that_reaches_one_in_five_upstreams_rarely_regains_contact() {
    let mut random = ChaCha8Rng::seed_from_u64(9);
    let keys = keys(2);
    let mut regained = 0;
    for _ in 0..1_000 {
        let mut contact = ServiceContact::default();
        for key in &keys {
            contact.on_failed(at(300), at(50), *key, (1, 20));
        }
        let reached = (0..SAMPLE_SIZE).filter(|_| random.random_ratio(1, 5)).count();
        let change = contact.on_sample(at(400), reached, SAMPLE_SIZE);
        regained += usize::from(change == ContactChange::Regained);
    }
    assert!(regained <= 250, "{regained} of 1000 samples");
}

#[test]
fn daemons_that_were_cut_off_together_return_one_after_the_other_within_a_second() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    for count in [1, 2, 8, 58, 195, 400] {
        let keys = keys(2);
        let mut contacts: Vec<ServiceContact> = (0..count)
            .map(|_| {
                let mut contact = ServiceContact::default();
                for key in &keys {
                    contact.on_failed(at(300), at(50), *key, (1, 2));
                }
                contact
            })
            .collect();
        let mut tests = 0;
        for step in 0..120 {
            for contact in &mut contacts {
                let test = contact.take_test(at(step * 100), false, true, random.random());
                tests += usize::from(test.is_some());
            }
        }
        assert!(tests <= 40 * count, "{count} daemons: {tests} tests in 12 s");
        let mut returned = vec![0; 10];
        for (step, returned) in returned.iter_mut().enumerate() {
            let now = at(12_000 + step as u64 * 100);
            for contact in contacts.iter_mut().filter(|contact| contact.is_lost()) {
                if contact.take_test(now, false, true, random.random()).is_some() {
                    contact.on_sample(now, 4, 4);
                    *returned += 1;
                }
            }
        }
        assert_eq!(returned.iter().sum::<usize>(), count, "{returned:?}");
        let most = returned.into_iter().max().unwrap();
        assert!(most <= 1 + count / 2, "{count} daemons: {most} in 100 ms");
    }
}

#[test]
fn callers_are_sent_to_daemons_in_contact_if_there_are_any_at_every_size() {
    let (model, desk) = (service("model"), service("desk"));
    for count in [1, 2, 6, 8, 58, 195, 400] {
        for cut in [0, 1, count / 2, count - 1, count] {
            for down in [false, true] {
                let lost: Vec<BTreeSet<Service>> = (0..count)
                    .map(|index| {
                        let model = (index < cut).then(|| model.clone());
                        model.into_iter().chain(down.then(|| desk.clone())).collect()
                    })
                    .collect();
                let actual = in_contact(&lost);
                let expected: Vec<bool> =
                    (0..count).map(|index| cut == count || index >= cut).collect();
                assert_eq!(expected, actual, "{cut} of {count}, down: {down}");
            }
        }
    }
    assert!(in_contact(&[]).is_empty());
    // Each lacks another service.
    let apart = [BTreeSet::from([model]), BTreeSet::from([desk])];
    assert_eq!(vec![true, true], in_contact(&apart));
}
