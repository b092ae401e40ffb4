mod simulation;

use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn service() -> Service {
    "model".try_into().unwrap()
}

fn part(id: u64) -> WorkKey {
    WorkKey::part(&service(), id)
}

fn upstream(number: u64) -> UpstreamId {
    UpstreamId { instance: format!("i-{number}").try_into().unwrap(), started_at_ms: number }
}

const BAD: u64 = 1;
const POPULAR: u64 = 2;

fn refused(ledger: &mut CrashLedger, now: u64, parts: &[u64]) -> bool {
    let keys: Vec<WorkKey> = parts.iter().map(|id| part(*id)).collect();
    ledger.verdict(at(now), &keys, |_| true).is_some()
}

#[test]
fn what_begins_at_three_crashes_in_a_row_is_convicted_and_what_goes_on_between_is_not() {
    let mut ledger = CrashLedger::default();
    for crash in 0..3 {
        assert!(!refused(&mut ledger, 1_000 * crash + 400, &[POPULAR, BAD]));
        ledger.on_crash(at(1_000 * crash + 500), &upstream(crash), &[part(POPULAR), part(BAD)]);
        ledger.on_sound(at(1_000 * crash + 510), &[part(POPULAR)]);
    }
    assert!(refused(&mut ledger, 2_600, &[POPULAR, BAD]));
    assert!(refused(&mut ledger, 2_600, &[BAD]));
    assert!(!refused(&mut ledger, 2_600, &[POPULAR, 3]));
    assert_eq!(ledger.convicted(), 1);
}

#[test]
fn a_part_is_convicted_at_one_service_only() {
    let mut ledger = CrashLedger::default();
    for crash in 0..3 {
        ledger.on_crash(at(1_000 * crash), &upstream(crash), &[part(BAD)]);
    }
    let elsewhere = WorkKey::part(&"other".try_into().unwrap(), BAD);
    assert_eq!(ledger.verdict(at(3_000), &[elsewhere], |_| true), None);
}

#[test]
fn upstreams_that_are_killed_at_the_same_time_convict_nothing() {
    let mut ledger = CrashLedger::default();
    for crash in 0..20 {
        ledger.on_crash(at(1_000 + 5 * crash), &upstream(crash), &[part(POPULAR), part(crash)]);
    }
    assert_eq!(ledger.convicted(), 0);
}

#[test]
fn a_part_that_turns_bad_is_convicted_however_often_it_was_sound_before() {
    let mut ledger = CrashLedger::default();
    ledger.on_crash(at(0), &upstream(0), &[part(BAD)]);
    for sound in 1..100 {
        ledger.on_sound(at(10 * sound), &[part(BAD)]);
    }
    for crash in 1..4 {
        assert!(!refused(&mut ledger, 1_000 * crash, &[BAD]));
        ledger.on_crash(at(1_000 * crash), &upstream(crash), &[part(BAD)]);
    }
    assert!(refused(&mut ledger, 3_500, &[BAD]));
}

#[test]
fn a_crash_with_a_known_cause_blames_nothing_else() {
    let mut ledger = CrashLedger::default();
    for crash in 0..3 {
        ledger.on_crash(at(1_000 * crash), &upstream(crash), &[part(BAD)]);
    }
    for crash in 3..9 {
        ledger.on_crash(at(1_000 * crash), &upstream(crash), &[part(BAD), part(7)]);
    }
    assert!(!refused(&mut ledger, 9_000, &[7]));
}

#[test]
fn two_bad_parts_are_both_convicted() {
    let mut ledger = CrashLedger::default();
    for crash in 0..6 {
        let bad = BAD + 10 * (crash % 2);
        ledger.on_crash(at(1_000 * crash), &upstream(crash), &[part(POPULAR), part(bad)]);
        ledger.on_sound(at(1_000 * crash + 100), &[part(POPULAR)]);
    }
    assert!(refused(&mut ledger, 6_000, &[BAD]) && refused(&mut ledger, 6_000, &[BAD + 10]));
    assert_eq!(ledger.convicted(), 2);
}

/// A rare sound part whose requests are always beginning when upstreams are killed.
#[test]
fn a_rare_sound_part_is_convicted_by_three_kills_in_series_and_released_by_the_first_probe() {
    let mut ledger = CrashLedger::default();
    let mut sent = 0;
    for kill in 0..6 {
        if !refused(&mut ledger, 500 * kill, &[9]) {
            sent += 1;
            ledger.on_crash(at(1_000 * kill + 10), &upstream(kill), &[part(9)]);
        }
    }
    assert_eq!(sent, CONVICTING_CRASHES);
    assert!(refused(&mut ledger, 5_009, &[9]));
    assert!(!refused(&mut ledger, 5_010, &[9]), "the probe is sent");
    assert!(refused(&mut ledger, 5_011, &[9]), "one probe is sent");
    let released = ledger.on_sound(at(5_100), &[part(9)]);
    assert_eq!(released.first().map(|change| change.event), Some(LedgerEvent::Released));
    assert!(!refused(&mut ledger, 5_101, &[9]));
}

#[test]
fn what_is_sound_is_told_apart_soon_after_nothing_could_be_served() {
    let mut ledger = CrashLedger::default();
    for crash in 0..3 {
        ledger.on_crash(at(300 * crash), &upstream(crash), &[part(POPULAR), part(BAD), part(7)]);
    }
    assert!(refused(&mut ledger, 899, &[POPULAR]), "before the first test");
    assert!(refused(&mut ledger, 900, &[POPULAR, BAD, 7]), "it holds all that may be the cause");
    assert!(!refused(&mut ledger, 900, &[POPULAR]), "a test");
    assert!(refused(&mut ledger, 901, &[POPULAR]), "one at a time");
    ledger.on_sound(at(950), &[part(POPULAR)]);
    assert!(!refused(&mut ledger, 951, &[POPULAR]));
    assert!(!refused(&mut ledger, 951, &[POPULAR, BAD]), "a test without the other part");
    ledger.on_crash(at(960), &upstream(3), &[part(POPULAR), part(BAD)]);
    ledger.on_sound(at(970), &[part(POPULAR)]);
    assert!(refused(&mut ledger, 1_900, &[POPULAR, BAD]));
    assert!(!refused(&mut ledger, 1_900, &[POPULAR, 7]), "a test without the bad part");
}

#[test]
fn probes_get_rarer_as_they_crash() {
    let mut ledger = CrashLedger::default();
    let mut crashes = 0;
    for second in 0..1_000 {
        if !refused(&mut ledger, 1_000 * second, &[BAD]) {
            ledger.on_crash(at(1_000 * second + 10), &upstream(crashes), &[part(BAD)]);
            crashes += 1;
        }
    }
    // After 3 and 90 s; the next one would be after 1,200 s.
    assert_eq!(crashes, CONVICTING_CRASHES as u64 + 2);
}

#[test]
fn a_request_is_told_from_others_by_team_host_method_target_prompt_and_body() {
    let (team, other) = ("cava".try_into().unwrap(), "rioja".try_into().unwrap());
    let head = ["h.example", "POST", "/book/x?y"];
    let key = |team: &Team, head, parts: &[u64], body: &str| {
        WorkKey::request(Some(team), head, parts.iter().copied(), body.as_bytes())
    };
    let keys = [
        key(&team, head, &[1, 2], "content"),
        key(&other, head, &[1, 2], "content"),
        WorkKey::request(None, head, [1, 2].into_iter(), b"content"),
        key(&team, ["g.example", "POST", "/book/x?y"], &[1, 2], "content"),
        key(&team, ["h.example", "PUT", "/book/x?y"], &[1, 2], "content"),
        key(&team, ["h.example", "POST", "/book/x"], &[1, 2], "content"),
        key(&team, head, &[1, 3], "content"),
        key(&team, head, &[], "content"),
        key(&team, head, &[1, 2], ""),
    ];
    assert_eq!(key(&team, head, &[1, 2], "content"), keys[0]);
    assert_eq!(BTreeSet::from(keys).len(), keys.len());
}

#[test]
fn a_request_that_crashes_three_upstreams_in_a_row_is_not_sent_to_a_fourth() {
    let mut ledger = CrashLedger::default();
    let request = [WorkKey::Request(BAD)];
    let mut crashes = 0;
    // Two attempts each of repeats 300 ms apart.
    for repeat in 0..5 {
        for attempt in 0..2 {
            let now = at(300 * repeat + 80 * attempt);
            if ledger.verdict(now, &request, |_| true).is_none() {
                ledger.on_crash(now + Duration::from_millis(60), &upstream(crashes), &request);
                crashes += 1;
            }
        }
    }
    assert_eq!(crashes, CONVICTING_CRASHES as u64);
}

#[test]
fn one_daemon_sends_the_probes_of_a_key() {
    let daemons: Vec<Instance> =
        (0..58).map(|number| format!("d-{number}").try_into().unwrap()).collect();
    for id in 0..100 {
        let probers = daemons
            .iter()
            .filter(|own| part(id).probed_by(own, daemons.iter().filter(|other| other != own)));
        assert_eq!(probers.count(), 1);
    }
}

#[test]
fn news_lead_to_the_same_verdicts_in_any_order_and_however_often_they_arrive() {
    let mut first = CrashLedger::default();
    let mut news = Vec::new();
    for crash in 0..3 {
        first.on_crash(at(1_000 * crash), &upstream(crash), &[part(POPULAR), part(BAD)]);
        news.push(first.take_untold(at(4_000)));
        first.on_sound(at(1_000 * crash + 10), &[part(POPULAR)]);
        news.push(first.take_untold(at(4_000)));
    }
    assert_eq!(news.iter().filter(|news| !news.is_empty()).count(), 6);
    bolero::check!().with_type::<Vec<u8>>().for_each(|order| {
        let mut second = CrashLedger::default();
        let drawn = order.iter().map(|draw| usize::from(*draw) % news.len());
        drawn.chain(0..news.len()).for_each(|index| drop(second.on_news(at(4_000), &news[index])));
        assert_eq!(second.digest(), first.digest());
        assert!(refused(&mut second, 4_000, &[BAD]));
        assert!(!refused(&mut second, 4_000, &[POPULAR]));
        assert!(second.take_untold(at(4_000)).is_empty(), "news is not told again");
    });
}

#[test]
fn a_daemon_that_starts_learns_all_from_the_records_of_another() {
    let mut first = CrashLedger::default();
    for crash in 0..3 {
        first.on_crash(at(1_000 * crash), &upstream(crash), &[part(POPULAR), part(BAD)]);
    }
    first.on_sound(at(2_500), &[part(POPULAR)]);
    let mut second = CrashLedger::default();
    assert_ne!(second.digest(), first.digest());
    second.on_news(at(3_000), &first.records(at(3_000)));
    assert_eq!(second.digest(), first.digest());
    assert!(refused(&mut second, 3_000, &[BAD]) && !refused(&mut second, 3_000, &[POPULAR]));
}

#[test]
fn a_stored_conviction_convicts_at_a_daemon_that_knows_nothing_and_not_after_an_acquittal() {
    let mut first = CrashLedger::default();
    for crash in 0..20 {
        first.on_crash(at(1_000 * crash), &upstream(crash), &[part(POPULAR), part(BAD)]);
        first.on_sound(at(1_000 * crash + 1), &[part(POPULAR)]);
    }
    assert_eq!(first.stored_conviction(part(POPULAR)), None);
    let stored = first.stored_conviction(part(BAD)).unwrap();
    let mut second = CrashLedger::default();
    second.on_news(at(60_000), &stored);
    assert!(refused(&mut second, 60_001, &[BAD]) && !refused(&mut second, 60_001, &[POPULAR]));
    first.on_sound(at(30_000), &[part(BAD)]);
    assert_eq!(first.stored_conviction(part(BAD)), None);
    first.on_news(at(60_000), &stored);
    assert!(!refused(&mut first, 60_001, &[BAD]), "it knows when these crashes were");
}

#[test]
fn memory_is_bounded_against_a_million_distinct_parts_and_keeps_convictions() {
    let mut ledger = CrashLedger::default();
    for crash in 0..3 {
        ledger.on_crash(at(1_000 * crash), &upstream(crash), &[part(BAD)]);
    }
    for crash in 0..1_000 {
        let keys: Vec<WorkKey> = (0..1_000).map(|id| part(10 + 1_000 * crash + id)).collect();
        ledger.on_crash(at(4_000 + crash), &upstream(10 + crash), &keys);
    }
    assert!(ledger.len() <= KEYS_MAX);
    assert!(refused(&mut ledger, 4_900, &[BAD]));
    ledger.prune(at(5_000) + RETENTION + Duration::from_secs(1));
    assert_eq!(ledger.len(), 1);
    ledger.prune(at(5_000) + CONVICTION_RETENTION);
    assert!(ledger.is_empty());
}
