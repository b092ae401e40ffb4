use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn status(life: u64) -> Status {
    Status {
        incarnation: Incarnation(life),
        instance: format!("d-{life}").as_str().try_into().unwrap(),
        data_centre: "a".try_into().unwrap(),
        caller: SocketAddr::from(([127, 0, 0, 1], 1_000 + life as u16)),
        peer: SocketAddr::from(([127, 0, 0, 1], 2_000 + life as u16)),
        beat: 1,
        phase: Phase::Ready,
        config: 0,
        age: None,
        acting: None,
        running: BTreeMap::new(),
        arrived: BTreeMap::new(),
        charged: BTreeMap::new(),
        windows: Windows::default(),
        leaving: Vec::new(),
    }
}

/// Daemons that exchange in rounds; `reach` says who reaches whom.
struct Deployment {
    daemons: Vec<(Status, Presence)>,
    random: ChaCha8Rng,
}

impl Deployment {
    fn new(count: u64) -> Self {
        let daemons = (0..count).map(|life| (status(life), Presence::default())).collect();
        Self { daemons, random: ChaCha8Rng::seed_from_u64(7) }
    }

    fn round(&mut self, now: MonotonicInstant, reach: impl Fn(usize, usize) -> bool) {
        let seeds = [self.daemons[0].0.peer, self.daemons[1].0.peer];
        for from in 0..self.daemons.len() {
            let (own, presence) = &mut self.daemons[from];
            own.beat += 1;
            let own = own.clone();
            for target in presence.targets(now, own.peer, &seeds, &mut self.random) {
                let to = self.daemons.iter().position(|(status, _)| status.peer == target).unwrap();
                if !reach(from, to) {
                    self.daemons[from].1.on_missed(target);
                    continue;
                }
                let message = self.daemons[from].1.message_to(now, &own, target);
                let (other, presence) = &mut self.daemons[to];
                presence.on_message(now, other.incarnation, &message);
                let reply = presence.message(now, other, &message.known);
                let presence = &mut self.daemons[from].1;
                presence.on_message(now, own.incarnation, &reply);
                presence.on_known(target, reply.known);
            }
        }
    }

    fn rounds(&mut self, from: u64, count: u64, reach: impl Fn(usize, usize) -> bool + Copy) {
        for round in 0..count {
            let now = at(from) + BEAT_INTERVAL * u32::try_from(round).unwrap();
            self.round(now, reach);
        }
    }
}

#[test]
fn all_daemons_hear_of_each_other_from_two_seeds_within_a_second() {
    let mut deployment = Deployment::new(8);
    deployment.rounds(0, 5, |_, _| true);
    for (_, presence) in &deployment.daemons {
        assert_eq!(presence.live(at(1_000)).count(), 7);
    }
}

#[test]
fn a_silent_daemon_is_noticed_and_its_status_stays_known() {
    let mut deployment = Deployment::new(6);
    deployment.rounds(0, 10, |_, _| true);
    deployment.rounds(2_000, 10, |from, to| from != 5 && to != 5);
    let (_, presence) = &deployment.daemons[0];
    assert_eq!(presence.live(at(4_000)).count(), 4);
    assert_eq!(presence.possible(at(4_000)).count(), 5);
    assert_eq!(presence.iter().count(), 5);
}

#[test]
fn sides_of_a_partition_meet_again() {
    let mut deployment = Deployment::new(6);
    deployment.rounds(0, 10, |_, _| true);
    deployment.rounds(2_000, 30, |from, to| (from < 3) == (to < 3));
    assert_eq!(deployment.daemons[0].1.live(at(7_800)).count(), 2);
    deployment.rounds(8_000, 10, |_, _| true);
    for (_, presence) in &deployment.daemons {
        assert_eq!(presence.live(at(9_800)).count(), 5);
    }
}

#[test]
fn an_older_beat_never_replaces_a_newer_one() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|beats| {
        let mut presence = Presence::default();
        let mut newest = 0;
        for beat in beats {
            let mut found = status(1);
            found.beat = u64::from(*beat);
            newest = newest.max(found.beat);
            let message = Message { known: BTreeMap::new(), statuses: vec![(0, found)] };
            presence.on_message(at(0), Incarnation(9), &message);
            assert_eq!(presence.iter().next().unwrap().status.beat, newest);
        }
    });
}

/// Found on a mix of vendimia-clara, seed 586384255042: daemons forgot a dead one at different
/// moments, and the last to know it made it new to the others.
#[test]
fn a_daemon_that_died_is_never_live_again() {
    let mut deployment = Deployment::new(6);
    deployment.rounds(0, 10, |_, _| true);
    for round in 0..200_u64 {
        let now = at(2_000) + BEAT_INTERVAL * u32::try_from(round).unwrap();
        deployment.round(now, |from, to| from != 5 && to != 5);
        for (_, presence) in &mut deployment.daemons[..5] {
            presence.prune(now);
            let dead = |heard: &Heard| heard.status.incarnation == Incarnation(5);
            assert!(round < 9 || !presence.live(now).any(dead), "round {round}");
        }
    }
}

#[test]
fn a_new_daemon_does_not_take_a_dead_one_for_live() {
    let mut old = Presence::default();
    let message = Message { known: BTreeMap::new(), statuses: vec![(0, status(1))] };
    old.on_message(at(0), Incarnation(2), &message);
    let told = old.message(at(10_000), &status(2), &BTreeMap::new());
    let mut new = Presence::default();
    new.on_message(at(50_000), Incarnation(3), &told);
    let live: Vec<_> = new.live(at(50_000)).map(|heard| heard.status.incarnation).collect();
    assert_eq!(live, [Incarnation(2)]);
}
