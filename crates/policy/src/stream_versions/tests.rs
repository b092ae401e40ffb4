use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn version(text: &str) -> Option<SoftwareVersion> {
    text.try_into().ok()
}

#[test]
fn an_unstated_version_permits_none_and_is_permitted_only_for_new_streams() {
    let cases = [
        (PermittedVersions::Any, [true, true, true]),
        (PermittedVersions::Only(version("v1")), [true, false, false]),
        (PermittedVersions::Only(None), [false, false, false]),
    ];
    for (permitted, expected) in cases {
        let versions = [version("v1"), version("v2"), None];
        let actual = versions.map(|version| permitted.permits(version.as_ref()));
        assert_eq!(actual, expected, "{permitted:?}");
    }
}

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::default() + Duration::from_millis(millis)
}

fn service() -> Service {
    "model".try_into().unwrap()
}

fn key(number: u64) -> StreamKey {
    StreamKey::new(None, &number.to_string())
}

#[test]
fn streams_are_told_once_and_only_while_the_service_may_have_several_versions() {
    let (v1, v2) = (version("v1").unwrap(), version("v2").unwrap());
    let mut versions = StreamVersions::default();
    versions.on_sent(at(0), &service(), key(1), &v1);
    versions.on_sent(at(20_000), &service(), key(2), &v1);
    assert_eq!(versions.take_untold(at(20_000), |_| true), []);
    versions.on_sent(at(31_000), &service(), key(3), &v2);
    let told = versions.take_untold(at(31_000), |_| false);
    let expected = [(v1, key(2)), (v2.clone(), key(3))].map(|(version, stream)| StreamRecords {
        service: service(),
        version,
        streams: vec![stream],
    });
    assert_eq!(told, expected);
    assert_eq!(versions.take_untold(at(31_000), |_| false), []);
    assert_eq!(versions.version(at(31_000), key(1)), None);
    assert_eq!(versions.version(at(31_000), key(3)), Some(&v2));
}

#[test]
fn a_stream_sent_to_another_version_later_is_known_at_that_one() {
    let (v1, v2) = (version("v1").unwrap(), version("v2").unwrap());
    let mut versions = StreamVersions::default();
    versions.on_sent(at(0), &service(), key(1), &v1);
    versions.on_sent(at(10), &service(), key(1), &v2);
    let told = versions.take_untold(at(20), |_| false);
    let mut keeper = StreamVersions::default();
    told.iter().for_each(|told| keeper.on_records(at(30), told));
    assert_eq!(keeper.version(at(30), key(1)), Some(&v2));
    assert_eq!(told.len(), 1);
}

#[test]
fn records_are_bounded_in_number_and_time() {
    let v1 = version("v1").unwrap();
    let mut versions = StreamVersions::default();
    for stream in 0..2 * RECORDS_MAX as u64 {
        versions.on_sent(at(stream / 100), &service(), key(stream), &v1);
    }
    assert_eq!(versions.len(), RECORDS_MAX);
    assert_eq!(versions.version(at(1_400), key(0)), None);
    versions.on_sent(at(60_000), &service(), key(1), &v1);
    assert_eq!(versions.len(), 1);
}

#[test]
fn a_version_is_never_guessed() {
    type Version = Option<u8>;
    type Input = ((Version, Vec<Version>, bool), Vec<(Version, Version)>);
    let named = |number: Version| version(&format!("v{}", number? % 3));
    bolero::check!().with_type::<Input>().for_each(|((sole, seen, is_confirmed), answers)| {
        let known = KnownVersions {
            sole: named(*sole),
            seen: seen.iter().map(|number| named(*number)).collect(),
        };
        let answers: Vec<_> = answers
            .iter()
            .map(|(version, sole)| StreamAnswer { version: named(*version), sole: named(*sole) })
            .collect();
        let (decided, source) = decide(&known, &answers, *is_confirmed);
        assert_eq!(decided.is_none(), source == VersionSource::Unknown);
        let Some(decided) = decided else { return };
        let mut records = answers.iter().filter_map(|answer| answer.version.as_ref());
        if source == VersionSource::Peer {
            assert!(records.all(|version| *version == decided));
            return;
        }
        assert_eq!(records.next(), None);
        assert!(is_confirmed);
        assert!(known.seen.iter().all(|version| version.as_ref() == Some(&decided)));
        let soles = answers.iter().filter_map(|answer| answer.sole.as_ref()).chain(&known.sole);
        assert!(soles.count() > 0);
        let mut soles = answers.iter().filter_map(|answer| answer.sole.as_ref());
        assert!(soles.all(|version| *version == decided));
    });
}

/// Lets `count` daemons in four data centres record a stream each, kills one in eight, and returns
/// the share of the dead daemons' streams that a survivor has on record.
fn known_share_after_deaths(count: usize, seed: u64) -> f64 {
    let daemons: Vec<(Instance, DataCentre)> = (0..count)
        .map(|daemon| {
            let data_centre = format!("dc-{}", daemon % 4);
            let instance = format!("d-{seed}-{daemon}");
            (instance.as_str().try_into().unwrap(), data_centre.as_str().try_into().unwrap())
        })
        .collect();
    let is_dead =
        |daemon: &Instance| xxh3_64_with_seed(daemon.as_str().as_bytes(), seed).is_multiple_of(8);
    let all = || daemons.iter().map(|(instance, data_centre)| (instance, data_centre));
    let (mut streams, mut known) = (0, 0);
    for (own, data_centre) in daemons.iter().filter(|(instance, _)| is_dead(instance)) {
        streams += 1;
        known +=
            usize::from(keepers((own, data_centre), all()).iter().any(|keeper| !is_dead(keeper)));
    }
    if streams == 0 { 1.0 } else { f64::from(known as u32) / f64::from(streams) }
}

#[test]
fn nearly_all_streams_of_killed_daemons_stay_known_at_every_number_of_daemons() {
    for count in [6, 8, 9, 58, 400] {
        let shares: Vec<f64> = (0..20).map(|seed| known_share_after_deaths(count, seed)).collect();
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        assert!(mean >= 0.95, "{count} daemons: {mean}");
    }
}

#[test]
fn few_daemons_keep_the_records_of_one_and_prefer_other_data_centres() {
    let (own, near, far): (Instance, DataCentre, DataCentre) =
        ("d-0".try_into().unwrap(), "dc-0".try_into().unwrap(), "dc-1".try_into().unwrap());
    let others: Vec<Instance> =
        (1..=57).map(|daemon| format!("d-{daemon}").as_str().try_into().unwrap()).collect();
    let located = |index: usize| if index.is_multiple_of(2) { &near } else { &far };
    let with_places = || others.iter().enumerate().map(|(index, other)| (other, located(index)));
    let chosen = keepers((&own, &near), with_places());
    assert_eq!(chosen.len(), KEEPERS);
    assert!(chosen.iter().all(|keeper| with_places().any(|found| found == (keeper, &far))));
    assert_eq!(keepers((&own, &near), with_places().take(ALL_KEEP_MAX)).len(), ALL_KEEP_MAX);
}

#[test]
fn attempts_of_two_teams_with_the_same_id_are_two_streams() {
    let team = |name: &str| Team::try_from(name).unwrap();
    let keys = BTreeSet::from([
        StreamKey::new(None, "a"),
        StreamKey::new(Some(&team("cava")), "a"),
        StreamKey::new(Some(&team("tinto")), "a"),
        StreamKey::new(Some(&team("cava")), "b"),
    ]);
    assert_eq!(keys.len(), 4);
}

/// Bytes a second that a daemon may send and receive for control, by the design target.
const CONTROL_BYTES_MAX: f64 = 4_000.0;

#[test]
fn what_a_daemon_tells_of_its_streams_stays_small_at_the_target_size() {
    // 1,700 requests a second at 370 daemons, all of them streams, while two versions serve.
    let (daemons, streams_per_second, ticks_per_second, seconds) = (370.0, 1_700.0, 20, 60);
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut versions = StreamVersions::default();
    let (mut bytes, mut messages, mut stream) = (0, 0, 0);
    for tick in 0..seconds * ticks_per_second {
        let now = at(tick * 1_000 / ticks_per_second);
        let mean: f64 = streams_per_second / daemons / ticks_per_second as f64;
        // At most four streams begin in a tick, with this mean number.
        for _ in 0..4 {
            if random.random::<f64>() < mean / 4.0 {
                stream += 1;
                let name = if stream % 2 == 0 { "v1.1" } else { "v1.2" };
                versions.on_sent(now, &service(), key(stream), &version(name).unwrap());
            }
        }
        let told = versions.take_untold(now, |_| false);
        if !told.is_empty() {
            messages += KEEPERS;
            bytes += KEEPERS * serde_json::to_vec(&told).unwrap().len();
        }
    }
    let per_second = |total: usize| total as f64 / seconds as f64;
    assert!(per_second(messages) < 20.0, "{messages}");
    assert!(per_second(bytes) < CONTROL_BYTES_MAX, "{bytes}");
}

#[test]
fn a_daemon_that_may_have_missed_registrations_does_not_know_of_one_version() {
    let known = KnownVersions { sole: version("v1"), seen: BTreeSet::from([version("v1")]) };
    let sole = |age| known.clone().at_age(age).sole;
    assert_eq!(sole(Some(SOLE_AGE_MAX)), version("v1"));
    assert_eq!(sole(Some(SOLE_AGE_MAX + Duration::from_millis(1))), None);
    assert_eq!(sole(None), None);
    let outdated = known.clone().at_age(None);
    assert_eq!(decide(&outdated, &[], true), (None, VersionSource::Unknown));
    let recent = StreamAnswer { version: None, sole: version("v1") };
    assert_eq!(decide(&outdated, &[recent], true), (version("v1"), VersionSource::Sole));
}

#[test]
fn a_daemon_that_is_cut_off_does_not_go_on_with_a_stream_at_the_only_version_that_it_knows() {
    let known = KnownVersions { sole: version("v1"), seen: BTreeSet::from([version("v1")]) };
    assert_eq!(decide(&known, &[], false), (None, VersionSource::Unknown));
    let record = StreamAnswer { version: version("v2"), sole: None };
    assert_eq!(decide(&known, &[record], false), (version("v2"), VersionSource::Peer));
}

#[test]
fn one_daemon_stores_for_all_at_every_size() {
    for count in [1, 2, 8, 58, 195, 400] {
        let all: Vec<Instance> =
            (0..count).map(|index| format!("d-{index}").as_str().try_into().unwrap()).collect();
        let storing =
            all.iter().filter(|own| stores_records(own, all.iter().filter(|other| other != own)));
        assert_eq!(storing.count(), 1, "{count} daemons");
    }
}

#[test]
fn streams_that_were_told_are_stored_once_and_kept_until_another_daemon_has_taken_over() {
    let mut versions = StreamVersions::default();
    let told = StreamRecords {
        service: service(),
        version: version("v1").unwrap(),
        streams: vec![key(1)],
    };
    versions.on_records(at(0), &told);
    versions.on_sent(at(10), &service(), key(2), &told.version);
    assert_eq!(versions.take_untold(at(20), |_| false).len(), 1);
    versions.drop_unstored(at(1_000), Duration::from_secs(3));
    assert_eq!(versions.take_unstored(at(1_000)).len(), 2);
    assert!(versions.take_unstored(at(1_000)).is_empty());
    versions.on_records(at(2_000), &told);
    versions.drop_unstored(at(5_000), Duration::from_secs(3));
    assert!(versions.take_unstored(at(5_000)).is_empty());
    // What was read from the store isn't stored again.
    versions.on_stored(at(6_000), &told);
    assert!(versions.take_unstored(at(6_000)).is_empty());
    assert_eq!(versions.version(at(6_000), key(1)), Some(&told.version));
}
