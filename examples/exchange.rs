//! Compares the state exchange strategies of daemons on one seeded workload in virtual time:
//! `cargo run --release --example exchange -- [SEED] [INTERVAL_MS] [MEMBERS]`.
//!
//! The workload consists of a configuration change every 11.5 s that every daemon acknowledges, a
//! load whose order of magnitude changes every 10 s, the failure of a daemon, a leaving mark, and the
//! partition of a region. Links lose messages where the table says so. Byte counts include the JSON
//! bodies and the envelopes.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spindle_policy::exchange::{DeltaPush, DigestSync, Exchange, FullPush};
use spindle_policy::membership::{DynamicStateScope, Heartbeat, Membership, Seed, Target, Urgency};
use spindle_policy::roster::{DaemonRecord, Health, Key};
use spindle_types::{DataCentre, Incarnation, Instance, MonotonicInstant, Revision, UtcInstant};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// The size of the JSON-RPC envelope, WebSocket and TLS framing of one message, in bytes.
const ENVELOPE_BYTES: u64 = 110;

/// The number of bytes with which a daemon fetches one configuration change.
const CHANGE_BYTES: u64 = 700;

const CHANGE_INTERVAL_MS: u64 = 11_500;
const LOAD_INTERVAL_MS: u64 = 10_000;
const MEASURE_MS: u64 = 60_000;
const PARTITION_MS: u64 = 300_000;
const CALL_TIMEOUT_MS: u64 = 1_000;

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Load(usize),
    Change,
    Request { from: usize, to: usize, target: Target, heartbeat: Box<Heartbeat> },
    Reply { to: usize, target: Target, heartbeat: Box<Heartbeat> },
    Missed { at: usize, target: Target },
}

struct Node<X> {
    membership: Membership<X>,
    revision: u64,
    alive: bool,
    region: usize,
    data_centre: usize,
    last_urgent_send: u64,
}

struct Simulation<X> {
    nodes: Vec<Node<X>>,
    by_address: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    now: u64,
    sequence: u64,
    random: ChaCha8Rng,
    loss: f64,
    partitioned: bool,
    revision: u64,
    interval: u64,
    messages: u64,
    bytes: u64,
}

#[derive(Clone, Copy)]
struct SimulationParams {
    members: usize,
    seed: u64,
    interval: u64,
    scope: DynamicStateScope,
}

fn data_centre_count(members: usize) -> usize {
    if members < 40 { 4 } else { 11 }
}

fn record(index: usize, data_centre: usize) -> DaemonRecord {
    let address = |port| {
        SocketAddr::from((Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250) as u8), port))
    };
    DaemonRecord {
        incarnation: Incarnation((index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        instance: Instance::try_from(format!("i-{index:05}")).expect("valid"),
        data_centre: DataCentre::try_from(format!("centre-{data_centre:02}")).expect("valid"),
        caller: address(8080),
        peer: address(8081),
        version: 1,
        health: Health::Live,
        leaving: false,
    }
}

impl<X: Exchange> Simulation<X> {
    fn new(params: SimulationParams) -> Self {
        let SimulationParams { members, seed, interval, scope } = params;
        let count = data_centre_count(members);
        let records: Vec<_> = (0..members).map(|index| record(index, index % count)).collect();
        let seeds: Vec<_> = records
            .iter()
            .map(|record| Seed { instance: record.instance.clone(), peer: record.peer })
            .collect();
        let by_address = records.iter().enumerate().map(|(i, r)| (r.peer, i)).collect();
        let nodes = records.into_iter().enumerate().map(|(index, record)| {
            let mut membership = Membership::new(record, Duration::from_millis(interval), scope);
            membership.set_seeds(seeds.clone());
            let data_centre = index % count;
            Node {
                membership,
                revision: 0,
                alive: true,
                region: data_centre % 3,
                data_centre,
                last_urgent_send: 0,
            }
        });
        let mut simulation = Self {
            nodes: nodes.collect(),
            by_address,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            now: 0,
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            partitioned: false,
            revision: 0,
            interval,
            messages: 0,
            bytes: 0,
        };
        for index in 0..members {
            let phase = simulation.random.random_range(0..interval);
            simulation.push(phase, Event::Tick(index));
            let phase = simulation.random.random_range(0..LOAD_INTERVAL_MS);
            simulation.push(phase, Event::Load(index));
        }
        simulation.push(CHANGE_INTERVAL_MS, Event::Change);
        simulation
    }

    fn push(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + after, self.sequence, self.events.len() - 1)));
    }

    fn run_until(&mut self, until: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        let mut checked = self.now;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, index))) = self.queue.pop() else { break };
            self.now = at;
            if let Some(event) = self.events[index].take() {
                self.on_event(event);
            }
            if at >= checked + 20 {
                checked = at;
                if done(self) {
                    return Some(self.now - start);
                }
            }
        }
        self.now = until;
        None
    }

    fn time(&self) -> (MonotonicInstant, UtcInstant) {
        (MonotonicInstant::from_millis(self.now + 1_000_000), UtcInstant(self.now + 1_000_000))
    }

    fn on_event(&mut self, event: Event) {
        let (now, utc) = self.time();
        match event {
            Event::Tick(index) => {
                if self.nodes[index].alive {
                    self.nodes[index].membership.on_tick(now, utc);
                    self.send_all(index);
                }
                self.push(self.interval, Event::Tick(index));
            }
            Event::Load(index) => {
                let load = 1 << self.random.random_range(2..7);
                let node = &mut self.nodes[index];
                node.membership.set_local_state(Revision(node.revision), load);
                self.push(LOAD_INTERVAL_MS, Event::Load(index));
            }
            Event::Change => {
                self.revision += 1;
                self.adopt(0, self.revision);
                self.push(CHANGE_INTERVAL_MS, Event::Change);
            }
            Event::Request { from, to, target, heartbeat } => {
                self.on_request(from, to, target, *heartbeat);
            }
            Event::Reply { to, target, heartbeat } => {
                let revision = heartbeat.revision.0;
                let node = &mut self.nodes[to];
                let next = node.membership.on_reply(now, Some(Duration::ZERO), target, *heartbeat);
                self.adopt(to, revision);
                if let Some(next) = next {
                    self.send(to, target, next);
                }
                self.send_if_urgent(to);
            }
            Event::Missed { at, target } => self.nodes[at].membership.on_missed(target),
        }
    }

    fn on_request(&mut self, from: usize, to: usize, target: Target, heartbeat: Heartbeat) {
        let (now, _) = self.time();
        if !self.nodes[to].alive {
            return self.push(CALL_TIMEOUT_MS, Event::Missed { at: from, target });
        }
        let revision = heartbeat.revision.0;
        let reply = self.nodes[to].membership.on_request(now, Some(Duration::ZERO), heartbeat);
        self.adopt(to, revision);
        self.send_if_urgent(to);
        let Some(latency) = self.transmit(to, from, &reply) else {
            return self.push(CALL_TIMEOUT_MS, Event::Missed { at: from, target });
        };
        self.push(latency, Event::Reply { to: from, target, heartbeat: Box::new(reply) });
    }

    /// Adopts a newer revision and sends it to the exchange targets immediately.
    fn adopt(&mut self, index: usize, revision: u64) {
        let node = &mut self.nodes[index];
        if revision <= node.revision {
            return;
        }
        node.revision = revision;
        node.membership.set_local_state(Revision(revision), 8);
        self.bytes += CHANGE_BYTES;
        self.messages += 2;
        self.send_all(index);
    }

    fn send_if_urgent(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.membership.take_urgency() == Urgency::Now && node.last_urgent_send + 50 <= self.now
        {
            node.last_urgent_send = self.now;
            self.send_all(index);
        }
    }

    fn send_all(&mut self, index: usize) {
        let targets = self.nodes[index].membership.targets(&mut self.random);
        for target in targets {
            let heartbeat = self.nodes[index].membership.request(Some(Duration::ZERO), target);
            self.send(index, target, heartbeat);
        }
    }

    fn send(&mut self, from: usize, target: Target, heartbeat: Heartbeat) {
        let Some(to) = self.by_address.get(&target.peer).copied() else { return };
        match self.transmit(from, to, &heartbeat) {
            Some(latency) => {
                self.push(
                    latency,
                    Event::Request { from, to, target, heartbeat: Box::new(heartbeat) },
                );
            }
            None => self.push(CALL_TIMEOUT_MS, Event::Missed { at: from, target }),
        }
    }

    /// Counts a message and returns its latency in milliseconds, or `None` if it is lost.
    fn transmit(&mut self, from: usize, to: usize, heartbeat: &Heartbeat) -> Option<u64> {
        self.messages += 1;
        self.bytes +=
            ENVELOPE_BYTES + serde_json::to_vec(heartbeat).map_or(0, |body| body.len() as u64);
        let (a, b) = (&self.nodes[from], &self.nodes[to]);
        let blocked = self.partitioned && (a.region == 0) != (b.region == 0);
        if blocked || self.random.random_bool(self.loss) {
            return None;
        }
        Some(if a.data_centre == b.data_centre {
            1
        } else if a.region == b.region {
            2
        } else {
            40
        })
    }

    fn all_know_members(&self, count: usize) -> bool {
        let live = self.nodes.iter().filter(|node| node.alive);
        live.into_iter().all(|node| {
            let records = node.membership.roster().records();
            records.filter(|record| record.health == Health::Live).count() == count
        })
    }
}

#[derive(Default)]
struct Row {
    joined: Option<u64>,
    bytes: u64,
    messages: f64,
    cpu: f64,
    /// Without message loss, and with a loss of 5%.
    mark: [Option<u64>; 2],
    dead: Option<u64>,
    force: Option<u64>,
    healed: Option<u64>,
}

fn time_mark_propagation<X: Exchange>(simulation: &mut Simulation<X>, name: &str) -> Option<u64> {
    let instance = Instance::try_from(name).expect("valid");
    let (_, utc) = simulation.time();
    simulation.nodes[1].membership.mark_leaving(utc, &instance);
    simulation.send_if_urgent(1);
    let key = Key::Mark(instance);
    simulation.run_until(simulation.now + 60_000, |simulation| {
        let live = simulation.nodes.iter().filter(|node| node.alive);
        live.into_iter().all(|node| node.membership.roster().get(&key).is_some())
    })
}

fn measure<X: Exchange>(params: SimulationParams) -> Row {
    let mut simulation: Simulation<X> = Simulation::new(params);
    let members = params.members;
    let joined = simulation.run_until(120_000, |simulation| simulation.all_know_members(members));
    let mut row = Row { joined, ..Row::default() };
    simulation.run_until(simulation.now + 20_000, |_| false);
    (simulation.bytes, simulation.messages) = (0, 0);
    let cpu = Instant::now();
    simulation.run_until(simulation.now + MEASURE_MS, |_| false);
    row.cpu = cpu.elapsed().as_secs_f64() / members as f64 / (MEASURE_MS as f64 / 1e3) * 100.0;
    row.bytes = simulation.bytes * 1_000 / MEASURE_MS / members as u64;
    row.messages = simulation.messages as f64 * 1e3 / MEASURE_MS as f64 / members as f64;
    let next = simulation.revision + 1;
    simulation.run_until(simulation.now + 2 * CHANGE_INTERVAL_MS, |simulation| {
        simulation.revision == next
    });
    row.force = simulation.run_until(simulation.now + 60_000, |simulation| {
        simulation.nodes[0].membership.in_force() >= Revision(next)
    });
    row.mark[0] = time_mark_propagation(&mut simulation, "r-1");
    simulation.loss = 0.05;
    row.mark[1] = time_mark_propagation(&mut simulation, "r-2");
    simulation.loss = 0.0;
    simulation
        .run_until(simulation.now + 30_000, |simulation| simulation.all_know_members(members));
    simulation.nodes[2].alive = false;
    let victim = record(2, 2 % data_centre_count(members));
    row.dead = simulation.run_until(simulation.now + 60_000, |simulation| {
        let live = simulation.nodes.iter().filter(|node| node.alive);
        live.into_iter().all(|node| {
            let record = node.membership.roster().record(victim.incarnation);
            record.is_none_or(|record| record.health != Health::Live)
        })
    });
    simulation.nodes[2].alive = true;
    simulation
        .run_until(simulation.now + 120_000, |simulation| simulation.all_know_members(members));
    simulation.partitioned = true;
    simulation.run_until(simulation.now + PARTITION_MS, |_| false);
    simulation.partitioned = false;
    row.healed = simulation
        .run_until(simulation.now + 120_000, |simulation| simulation.all_know_members(members));
    row
}

fn print(name: &str, params: SimulationParams, row: &Row) {
    let secs =
        |time: Option<u64>| time.map_or("never".to_owned(), |ms| format!("{:.2}", ms as f64 / 1e3));
    println!(
        "| {name} | {} | {} | {} | {:.1} | {:.3} | {} | {} | {} | {} | {} | {} |",
        params.scope,
        params.members,
        row.bytes,
        row.messages,
        row.cpu,
        secs(row.joined),
        secs(row.mark[0]),
        secs(row.mark[1]),
        secs(row.dead),
        secs(row.force),
        secs(row.healed),
    );
}

fn main() {
    let mut arguments = std::env::args().skip(1).filter_map(|text| text.parse::<u64>().ok());
    let seed = arguments.next().unwrap_or(1);
    let interval = arguments.next().unwrap_or(1_000);
    let only = arguments.next().map(|members| members as usize);
    println!("seed {seed}, heartbeat interval {interval} ms");
    println!(
        "| exchange | pulses | members | B/s sent per member | messages/s | CPU % of a core | \
         joined s | mark s | mark, 5% loss s | death s | in force s | healed s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for scope in [DynamicStateScope::DataCentre, DynamicStateScope::Everywhere] {
        for members in [8, 34, 100, 370] {
            if only.is_some_and(|only| only != members) {
                continue;
            }
            let params = SimulationParams { members, seed, interval, scope };
            print("delta", params, &measure::<DeltaPush>(params));
            print("digest", params, &measure::<DigestSync>(params));
            print("full", params, &measure::<FullPush>(params));
        }
    }
}
