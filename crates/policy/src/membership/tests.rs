use super::*;
use crate::exchange::DeltaPush;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::Ipv4Addr;

const INTERVAL: Duration = Duration::from_secs(1);

/// Daemons whose heartbeats are delivered at once, as far as `link` lets them pass.
struct Net {
    nodes: Vec<Option<Membership<DeltaPush>>>,
    secs: u64,
    random: ChaCha8Rng,
    blocked: fn(usize, usize) -> bool,
    repeat: bool,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, index as u8), 8081))
}

fn instance(index: usize) -> Instance {
    format!("entry-{index}").parse().unwrap()
}

fn node(index: usize, life: u64, count: usize) -> Membership<DeltaPush> {
    let own = Record {
        incarnation: Incarnation(life * 1_000 + index as u64),
        instance: instance(index),
        data_centre: format!("centre-{}", index % 4).parse().unwrap(),
        caller: address(index),
        peer: address(index),
        version: 1,
        health: Health::Live,
        leaving: false,
    };
    let mut node = Membership::new(own, INTERVAL, PulseReach::Everywhere);
    let others = (0..count).filter(|other| *other != index);
    node.on_listing(others.map(|i| Seed { instance: instance(i), peer: address(i) }).collect());
    node
}

impl Net {
    fn new(count: usize) -> Self {
        let nodes = (0..count).map(|index| Some(node(index, 1, count))).collect();
        let random = ChaCha8Rng::seed_from_u64(7);
        Self { nodes, secs: 0, random, blocked: |_, _| false, repeat: false }
    }

    fn now(&self) -> MonotonicInstant {
        MonotonicInstant::from_millis(self.secs * 1_000)
    }

    fn run(&mut self, secs: u64) {
        for _ in 0..secs {
            self.secs += 1;
            for index in 0..self.nodes.len() {
                self.tick(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now();
        let Some(node) = &mut self.nodes[index] else { return };
        node.on_tick(now, UtcInstant(self.secs * 1_000));
        for target in node.targets(&mut self.random) {
            let node = self.nodes[index].as_mut().unwrap();
            let mut next = Some(node.request(None, target));
            while let Some(beat) = next.take() {
                let reply = self.deliver(index, target, beat);
                let node = self.nodes[index].as_mut().unwrap();
                match reply {
                    Some(reply) => {
                        if self.repeat {
                            node.on_reply(now, None, target, reply.clone());
                        }
                        next = node.on_reply(now, None, target, reply);
                    }
                    None => node.on_missed(target),
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, target: Target, beat: Beat) -> Option<Beat> {
        let to = (0..self.nodes.len()).find(|index| address(*index) == target.peer)?;
        if (self.blocked)(from, to) {
            return None;
        }
        let now = self.now();
        let node = self.nodes[to].as_mut()?;
        if self.repeat {
            node.on_request(now, None, beat.clone());
        }
        let reply = node.on_request(now, None, beat);
        (!(self.blocked)(to, from)).then_some(reply)
    }

    /// What each running daemon believes of one instance.
    fn beliefs(&self, index: usize) -> Vec<MemberStatus> {
        let nodes = self.nodes.iter().enumerate().filter(|(other, _)| *other != index);
        let nodes = nodes.filter_map(|(_, node)| node.as_ref());
        let status = |node: &Membership<DeltaPush>| {
            let members = node.members();
            let member = members.into_iter().find(|member| member.instance == instance(index));
            member.map(|member| member.status)
        };
        nodes.filter_map(status).collect()
    }

    fn assert_all_live(&self) {
        for index in 0..self.nodes.len() {
            let expected = vec![MemberStatus::Live; self.nodes.len() - 1];
            assert_eq!(expected, self.beliefs(index), "of daemon {index}");
        }
    }
}

#[test]
fn list_seeds_the_view() {
    let mut net = Net::new(8);
    net.run(5);
    net.assert_all_live();
}

#[test]
fn killed_daemon_is_out_of_use_within_five_heartbeats() {
    for victim in 0..8 {
        let mut net = Net::new(8);
        net.run(5);
        net.nodes[victim] = None;
        net.run(5);
        assert!(!net.beliefs(victim).contains(&MemberStatus::Live), "daemon {victim}");
        net.run(6);
        assert_eq!(vec![MemberStatus::Dead; 7], net.beliefs(victim));
    }
}

#[test]
fn restarted_daemon_at_the_same_address_replaces_its_former_life() {
    let mut net = Net::new(8);
    net.run(5);
    net.nodes[3] = Some(node(3, 2, 8));
    net.run(5);
    net.assert_all_live();
    let members = net.nodes[0].as_ref().unwrap().members();
    let lives: Vec<_> = members.iter().map(|member| member.incarnation.unwrap().0).collect();
    assert_eq!(8, lives.len());
    assert!(lives.contains(&2_003) && !lives.contains(&1_003));
}

#[test]
fn sides_of_a_region_partition_meet_again_after_an_hour() {
    let mut net = Net::new(8);
    net.run(5);
    net.blocked = |a, b| (a % 4 < 2) != (b % 4 < 2);
    net.run(3_600);
    let beliefs = net.beliefs(0);
    assert_eq!(4, beliefs.iter().filter(|status| **status == MemberStatus::Dead).count());
    net.blocked = |_, _| false;
    net.run(10);
    net.assert_all_live();
}

#[test]
fn daemon_reached_in_one_direction_alone_stays_in_use() {
    let mut net = Net::new(8);
    net.run(5);
    net.blocked = |a, b| a == 0 && b == 4;
    let mut doubted = 0;
    for _ in 0..120 {
        net.run(1);
        let others = [net.beliefs(0), net.beliefs(4)].concat();
        doubted += others.iter().filter(|status| **status != MemberStatus::Live).count();
    }
    assert!(doubted <= 14 * 12, "in doubt for {doubted} of {} looks", 14 * 120);
}

#[test]
fn repeated_messages_change_nothing() {
    let mut net = Net::new(8);
    net.repeat = true;
    net.run(10);
    net.assert_all_live();
}

#[test]
fn leaving_marks_reach_every_daemon_and_stay() {
    let mut net = Net::new(8);
    net.run(5);
    let runner = Instance::try_from("runner-1").unwrap();
    net.nodes[2].as_mut().unwrap().mark_leaving(UtcInstant(5_000), &runner);
    net.nodes[5].as_mut().unwrap().leave();
    net.run(4);
    assert_eq!(vec![MemberStatus::Leaving; 7], net.beliefs(5));
    let marked = net.nodes.iter().flatten().filter(|node| node.roster().marks().count() == 1);
    assert_eq!(8, marked.count());
}

#[test]
fn least_revision_is_known_everywhere() {
    let mut net = Net::new(8);
    net.run(5);
    for (index, node) in net.nodes.iter_mut().flatten().enumerate() {
        node.on_pulse(Revision(if index == 6 { 8 } else { 9 }), 0);
    }
    net.run(6);
    let in_force = |net: &Net| -> BTreeSet<u64> {
        net.nodes.iter().flatten().map(|node| node.in_force().0).collect()
    };
    assert_eq!(BTreeSet::from([8]), in_force(&net));
    net.nodes[6].as_mut().unwrap().on_pulse(Revision(9), 0);
    net.run(6);
    assert_eq!(BTreeSet::from([9]), in_force(&net));
}

#[test]
fn few_read_the_log_of_a_large_deployment() {
    let mut net = Net::new(48);
    net.run(6);
    let readers = |net: &Net| {
        let nodes = net.nodes.iter().flatten();
        nodes.filter(|node| node.duty() == Duty::Reads).map(|node| node.own.0).collect::<Vec<_>>()
    };
    let first = readers(&net);
    assert_eq!(8, first.len());
    net.nodes[first[0] as usize - 1_000] = None;
    net.run(12);
    let second = readers(&net);
    assert_eq!(8, second.len());
    assert!(!second.contains(&first[0]));
}

#[test]
fn suspicion_of_the_largest_version_stops_no_daemon() {
    let mut net = Net::new(2);
    net.run(3);
    let node = net.nodes[0].as_mut().unwrap();
    let own = node.own_record().clone();
    let wild = Record { version: u32::MAX, health: Health::Suspect, ..own };
    node.roster.merge(&Item::Record(wild), Some(Incarnation(9)));
    net.run(3);
    assert!(net.nodes[0].is_some());
}
