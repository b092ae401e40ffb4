use super::*;
use crate::exchange::DeltaPush;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::Ipv4Addr;

const INTERVAL: Duration = Duration::from_secs(1);

/// Daemons whose heartbeats are delivered at once unless `blocked` drops them.
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

fn node(index: usize, incarnation: u64, count: usize) -> Membership<DeltaPush> {
    let own = DaemonRecord {
        incarnation: Incarnation(incarnation * 1_000 + index as u64),
        instance: instance(index),
        data_centre: format!("centre-{}", index % 4).parse().unwrap(),
        caller: address(index),
        peer: address(index),
        version: 1,
        health: Health::Live,
        leaving: false,
    };
    let mut node = Membership::new(own, INTERVAL, DynamicStateScope::Everywhere);
    let others = (0..count).filter(|other| *other != index);
    node.set_seeds(others.map(|i| Seed { instance: instance(i), peer: address(i) }).collect());
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
            while let Some(heartbeat) = next.take() {
                let reply = self.deliver(index, target, heartbeat);
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

    fn deliver(&mut self, from: usize, target: Target, heartbeat: Heartbeat) -> Option<Heartbeat> {
        let to = (0..self.nodes.len()).find(|index| address(*index) == target.peer)?;
        if (self.blocked)(from, to) {
            return None;
        }
        let now = self.now();
        let node = self.nodes[to].as_mut()?;
        if self.repeat {
            node.on_request(now, None, heartbeat.clone());
        }
        let reply = node.on_request(now, None, heartbeat);
        (!(self.blocked)(to, from)).then_some(reply)
    }

    /// The status of one daemon as seen by every other running daemon.
    fn views_of(&self, index: usize) -> Vec<MemberStatus> {
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
            assert_eq!(expected, self.views_of(index), "views of daemon {index}");
        }
    }
}

#[test]
fn instance_list_seeds_the_view() {
    let mut net = Net::new(8);
    net.run(5);
    net.assert_all_live();
}

#[test]
fn killed_daemon_is_not_live_after_five_heartbeats() {
    for victim in 0..8 {
        let mut net = Net::new(8);
        net.run(5);
        net.nodes[victim] = None;
        net.run(5);
        assert!(!net.views_of(victim).contains(&MemberStatus::Live), "daemon {victim}");
        net.run(6);
        assert_eq!(vec![MemberStatus::Dead; 7], net.views_of(victim));
    }
}

#[test]
fn restarted_daemon_replaces_its_former_incarnation() {
    let mut net = Net::new(8);
    net.run(5);
    net.nodes[3] = Some(node(3, 2, 8));
    net.run(5);
    net.assert_all_live();
    let members = net.nodes[0].as_ref().unwrap().members();
    let incarnations: Vec<_> = members.iter().map(|member| member.incarnation.unwrap().0).collect();
    assert_eq!(8, incarnations.len());
    assert!(incarnations.contains(&2_003) && !incarnations.contains(&1_003));
}

#[test]
fn sides_of_a_region_partition_meet_again_after_an_hour() {
    let mut net = Net::new(8);
    net.run(5);
    net.blocked = |a, b| (a % 4 < 2) != (b % 4 < 2);
    net.run(3_600);
    let views = net.views_of(0);
    assert_eq!(4, views.iter().filter(|status| **status == MemberStatus::Dead).count());
    net.blocked = |_, _| false;
    net.run(10);
    net.assert_all_live();
}

#[test]
fn link_blocked_in_one_direction_does_not_put_a_daemon_out_of_use() {
    let mut net = Net::new(8);
    net.run(5);
    net.blocked = |a, b| a == 0 && b == 4;
    let mut not_live = 0;
    for _ in 0..120 {
        net.run(1);
        let views = [net.views_of(0), net.views_of(4)].concat();
        not_live += views.iter().filter(|status| **status != MemberStatus::Live).count();
    }
    assert!(not_live <= 14 * 12, "not live in {not_live} of {} views", 14 * 120);
}

#[test]
fn repeated_messages_change_nothing() {
    let mut net = Net::new(8);
    net.repeat = true;
    net.run(10);
    net.assert_all_live();
}

#[test]
fn leaving_marks_reach_every_daemon() {
    let mut net = Net::new(8);
    net.run(5);
    let runner = Instance::try_from("runner-1").unwrap();
    net.nodes[2].as_mut().unwrap().mark_leaving(UtcInstant(5_000), &runner);
    net.nodes[5].as_mut().unwrap().leave();
    net.run(4);
    assert_eq!(vec![MemberStatus::Leaving; 7], net.views_of(5));
    let marked = net.nodes.iter().flatten().filter(|node| node.roster().marks().count() == 1);
    assert_eq!(8, marked.count());
}

#[test]
fn lowest_revision_is_known_everywhere() {
    let mut net = Net::new(8);
    net.run(5);
    for (index, node) in net.nodes.iter_mut().flatten().enumerate() {
        node.set_local_state(Revision(if index == 6 { 8 } else { 9 }), 0);
    }
    net.run(6);
    let in_force = |net: &Net| -> BTreeSet<u64> {
        net.nodes.iter().flatten().map(|node| node.in_force().0).collect()
    };
    assert_eq!(BTreeSet::from([8]), in_force(&net));
    net.nodes[6].as_mut().unwrap().set_local_state(Revision(9), 0);
    net.run(6);
    assert_eq!(BTreeSet::from([9]), in_force(&net));
}

#[test]
fn few_daemons_of_a_large_deployment_read_the_log() {
    let mut net = Net::new(48);
    net.run(6);
    let readers = |net: &Net| {
        let nodes = net.nodes.iter().flatten();
        nodes
            .filter(|node| node.log_access() == LogAccess::Direct)
            .map(|node| node.own.0)
            .collect::<Vec<_>>()
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
fn suspicion_with_the_largest_version_does_not_overflow() {
    let mut net = Net::new(2);
    net.run(3);
    let node = net.nodes[0].as_mut().unwrap();
    let own = node.own_record().clone();
    let suspicion = DaemonRecord { version: u32::MAX, health: Health::Suspect, ..own };
    node.roster.merge(&Item::Record(suspicion), Some(Incarnation(9)));
    net.run(3);
    assert!(net.nodes[0].is_some());
}
