//! Measures how the cost of a routing decision grows with the number of upstreams, and how steering
//! balances and moves prefix families as the number of daemons grows.
//!
//! `cargo run --release --example scale`

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};
use spindle_policy::membership::{Member, MemberStatus};
use spindle_policy::routing::{AttemptEnd, Demand, Router, RouterParams, UpstreamInfo};
use spindle_policy::steering::{PrefixFamily, preferred_daemons};
use spindle_types::{BlockHash, DataCentre, Instance, MonotonicInstant, Pool, Revision};
use std::collections::VecDeque;
use std::time::Instant;
use tabled::{Table, Tabled};

/// The random seed of the load.
const SEED: u64 = 1;

/// The number of routing decisions that are timed.
const DECISIONS: u64 = 20_000;

/// The number of attempts in flight at the daemon during the decisions.
const IN_FLIGHT: usize = 49;

/// The maximum number of requests of the steering load.
const REQUESTS_MAX: usize = 200_000;

/// The number of requests in flight per daemon during the steering load.
const IN_FLIGHT_PER_DAEMON: usize = 49;

#[derive(Tabled)]
struct Decision {
    upstreams: usize,
    #[tabled(rename = "us per decision")]
    micros: String,
    #[tabled(rename = "% of a core at 4.6 requests/s")]
    core: String,
}

#[derive(Tabled)]
struct Steering {
    daemons: usize,
    families: usize,
    #[tabled(rename = "mean / largest load, no bound")]
    unbounded: String,
    #[tabled(rename = "mean / largest load, bound")]
    bounded: String,
    #[tabled(rename = "requests at their first daemon (%)")]
    first: String,
    #[tabled(rename = "families moved by one leaving (%)")]
    moved: String,
    #[tabled(rename = "by a modulo hash (%)")]
    modulo: String,
}

fn main() {
    let decisions = [8, 34, 127, 400].map(decision);
    println!("{}", Table::new(decisions));
    let steering = [8, 34, 370].map(steering);
    println!("{}", Table::new(steering));
}

fn centre() -> DataCentre {
    DataCentre::try_from("centre").expect("the name is valid")
}

fn decision(upstreams: usize) -> Decision {
    let pool = Pool::try_from("engines").expect("the name is valid");
    let mut router = Router::new(RouterParams::new(centre()));
    let listing = (0..upstreams).map(|index| UpstreamInfo {
        instance: Instance::try_from(format!("engine-{index}")).expect("the name is valid"),
        pool: pool.clone(),
        data_centre: centre(),
        address: ([127, 0, 0, 1], 1).into(),
        leaving: false,
        price: 1.0,
    });
    router.on_listing(MonotonicInstant::default(), listing.collect());
    let mut generator = ChaCha8Rng::seed_from_u64(SEED);
    let mut running = VecDeque::new();
    let start = Instant::now();
    for number in 0..DECISIONS {
        let now = MonotonicInstant::from_millis(number * 10);
        let family = (number % 40) << 32;
        let demand = Demand {
            pools: vec![pool.clone()],
            prefill_tokens: 1_024,
            answer_tokens: 412,
            blocks: (0..64).map(|index| BlockHash(family | index)).collect(),
            ..Demand::default()
        };
        running.extend(router.choose(now, &demand, &[], &mut generator));
        if running.len() > IN_FLIGHT
            && let Some(route) = running.pop_front()
        {
            router.on_end(now, route.key, AttemptEnd::Completed);
        }
    }
    let micros = start.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
    let core = micros * 4.6 / 1e6 * 100.0;
    Decision { upstreams, micros: format!("{micros:.1}"), core: format!("{core:.4}") }
}

fn members(daemons: usize) -> Vec<Member> {
    let member = |index| Member {
        instance: Instance::try_from(format!("entry-{index}")).expect("the name is valid"),
        data_centre: centre(),
        caller: ([127, 0, 0, 1], 1).into(),
        peer: ([127, 0, 0, 1], 2).into(),
        incarnation: None,
        revision: Revision(0),
        load: 0,
        status: MemberStatus::Live,
    };
    (0..daemons).map(member).collect()
}

fn steering(daemons: usize) -> Steering {
    let families = daemons * 40;
    let (unbounded, _) = simulate_load(daemons, families, false);
    let (bounded, first) = simulate_load(daemons, families, true);
    let mut members = members(daemons);
    let owner = |members: &[Member], family| {
        preferred_daemons(PrefixFamily::of("m", &format!("f{family}")), &centre(), members)[0]
            .instance
            .clone()
    };
    let sample = families.min(2_000);
    let before: Vec<_> = (0..sample).map(|family| owner(&members, family)).collect();
    members[daemons / 2].status = MemberStatus::Leaving;
    let after = (0..sample).map(|family| owner(&members, family));
    let moved = before.iter().zip(after).filter(|(old, new)| *old != new).count();
    let hash = |family: usize| PrefixFamily::of("m", &format!("f{family}")).0 as usize;
    let modulo = |family: &usize| hash(*family) % daemons != hash(*family) % (daemons - 1);
    let modulo = (0..sample).filter(modulo).count();
    let percent = |count: usize| format!("{:.1}", 100.0 * count as f64 / sample as f64);
    Steering {
        daemons,
        families,
        unbounded,
        bounded,
        first: format!("{:.1}", 100.0 * first),
        moved: percent(moved),
        modulo: percent(modulo),
    }
}

/// Simulates the steering load. Returns the mean and largest load of the daemons, and the fraction of
/// requests at the daemon that is preferred without a load bound. Daemons learn loads without delay.
fn simulate_load(daemons: usize, families: usize, bounded: bool) -> (String, f64) {
    let mut members = members(daemons);
    let idle_members = members.clone();
    let popular = Zipf::new(families as f64, 0.9).expect("there are families");
    let mut generator = ChaCha8Rng::seed_from_u64(SEED);
    let mut running = VecDeque::new();
    let (mut largest, mut first) = (0, 0);
    let requests = REQUESTS_MAX.min(daemons * 2_000);
    for _ in 0..requests {
        let family = PrefixFamily::of("m", &format!("f{}", popular.sample(&mut generator)));
        let owner = preferred_daemons(family, &centre(), &idle_members)[0].instance.clone();
        let visible_members = if bounded { &members } else { &idle_members };
        let chosen = preferred_daemons(family, &centre(), visible_members)[0].instance.clone();
        first += usize::from(chosen == owner);
        let index = members.iter().position(|member| member.instance == chosen).unwrap_or(0);
        members[index].load += 1;
        largest = largest.max(members[index].load);
        running.push_back(index);
        if running.len() > daemons * IN_FLIGHT_PER_DAEMON
            && let Some(ended) = running.pop_front()
        {
            members[ended].load -= 1;
        }
    }
    (format!("{IN_FLIGHT_PER_DAEMON} / {largest}"), first as f64 / requests as f64)
}
