//! Daemons' routers before engines, in virtual time.

use crate::engine::{Engine, Job, Stepped};
use crate::load::{Asked, Deployment};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spindle_policy::membership::{Member, MemberStatus};
use spindle_policy::routing::{
    AttemptEnd, AttemptKey, Demand, EngineSpeed, Router, RouterParams, Strategy, UpstreamInfo,
};
use spindle_policy::steering::{PrefixFamily, preferred_daemons};
use spindle_types::{DataCentre, Instance, Model, MonotonicInstant, Pool, Revision};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Blocks that an engine's cache holds.
const CACHE_BLOCKS: usize = 3_000;

/// The share of cache events that are lost.
const EVENTS_LOST: f64 = 0.1;

/// Polls of an engine's load for each read of its cache events.
const POLLS_PER_EVENTS: u64 = 4;

/// The time from a notice until the daemons know it.
const NOTICE_DELAY: Duration = Duration::from_millis(250);

/// Tokens between two reports of progress to the router.
const PROGRESS_TOKENS: u32 = 32;

/// How a run goes.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    /// How upstreams are chosen.
    pub(crate) strategy: Strategy,
    /// Changes the routers' parameters.
    pub(crate) params: fn(RouterParams) -> RouterParams,
    /// Whether callers follow the address answers; otherwise any daemon is used.
    pub(crate) steered: bool,
    /// Engines that a daemon watches, and how often.
    pub(crate) watched: usize,
    /// The time between two reads of an engine's load.
    pub(crate) poll: Duration,
    /// When a data centre is reclaimed, if one is.
    pub(crate) wave: Option<Wave>,
}

/// The reclaim of a data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wave {
    /// When it is announced.
    pub(crate) at: Duration,
    /// How long the engines go on.
    pub(crate) notice: Duration,
    /// How long after their end others take their place.
    pub(crate) replaced: Duration,
}

/// What became of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Seconds from acceptance to the first token.
    pub(crate) first: Option<f64>,
    /// When the first token came.
    first_at: MonotonicInstant,
    /// Seconds between tokens, on average.
    pub(crate) interval: Option<f64>,
    /// Tokens brought.
    pub(crate) produced: u32,
    /// Tokens computed again by attempts after the first.
    pub(crate) recomputed: u32,
    /// Tokens computed before the first token of the first attempt.
    pub(crate) prefilled: u32,
    attempts: u32,
    place: Option<(usize, usize, AttemptKey)>,
    reported: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Stepped(usize),
    Arrive(usize),
    Poll(usize),
    Noticed,
    Dead,
    Replaced,
}

/// A run under way.
pub(crate) struct Fleet<'a> {
    deployment: &'a Deployment,
    setup: &'a Setup,
    asked: &'a [Asked],
    /// What became of each request.
    pub(crate) outcomes: Vec<Outcome>,
    /// The engines, those taken back included.
    pub(crate) engines: Vec<Engine>,
    routers: Vec<Router>,
    members: Vec<Member>,
    steps: BTreeMap<usize, Stepped>,
    events: BinaryHeap<Reverse<(MonotonicInstant, Event)>>,
    generator: ChaCha8Rng,
    polls: u64,
}

fn centre(index: usize) -> DataCentre {
    DataCentre::try_from(format!("centre-{index}")).expect("the name is valid")
}

fn instance(index: usize) -> Instance {
    Instance::try_from(format!("engine-{index:04}")).expect("the name is valid")
}

fn pool() -> Pool {
    Pool::try_from("engines").expect("the name is valid")
}

/// Prices differ by data centre; every fourth engine is bought on demand.
fn price(index: usize, centres: usize) -> f64 {
    let base = 1.0 + 0.1 * (index % centres) as f64;
    if (index / centres) % 4 == 3 { 2.5 * base } else { base }
}

impl<'a> Fleet<'a> {
    /// A fleet before its first request.
    pub(crate) fn new(
        deployment: &'a Deployment,
        setup: &'a Setup,
        asked: &'a [Asked],
        seed: u64,
    ) -> Self {
        let start = MonotonicInstant::default();
        let routers = (0..deployment.daemons).map(|daemon| {
            let params = RouterParams::new(centre(daemon % deployment.centres));
            Router::new((setup.params)(RouterParams { strategy: setup.strategy, ..params }))
        });
        let mut fleet = Self {
            deployment,
            setup,
            asked,
            outcomes: vec![Outcome::default(); asked.len()],
            engines: Vec::new(),
            routers: routers.collect(),
            members: (0..deployment.daemons).map(|i| member(i, deployment)).collect(),
            steps: BTreeMap::new(),
            events: BinaryHeap::new(),
            generator: ChaCha8Rng::seed_from_u64(seed),
            polls: 0,
        };
        for index in 0..deployment.engines {
            fleet.add_engine(start, price(index, deployment.centres));
        }
        fleet.list(start);
        fleet
    }

    fn add_engine(&mut self, now: MonotonicInstant, price: f64) {
        self.engines.push(Engine::new(now, EngineSpeed::default(), price, CACHE_BLOCKS));
    }

    fn list(&mut self, now: MonotonicInstant) {
        let alive = self.engines.iter().enumerate().filter(|(_, engine)| !engine.dead);
        let listing: Vec<_> = alive
            .map(|(index, engine)| UpstreamInfo {
                instance: instance(index),
                pool: pool(),
                data_centre: centre(index % self.deployment.centres),
                address: ([127, 0, 0, 1], 1).into(),
                leaving: false,
                price: engine.price,
            })
            .collect();
        for router in &mut self.routers {
            router.on_listing(now, listing.clone());
        }
    }

    fn schedule(&mut self, at: MonotonicInstant, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    /// Runs until every request has been answered.
    pub(crate) fn run(&mut self) {
        for (index, asked) in self.asked.iter().enumerate() {
            self.schedule(asked.at, Event::Arrive(index));
        }
        for daemon in 0..self.routers.len() {
            let phase = self.setup.poll.mul_f64(daemon as f64 / self.routers.len() as f64);
            self.schedule(MonotonicInstant::default() + phase, Event::Poll(daemon));
        }
        if let Some(wave) = self.setup.wave {
            let at = MonotonicInstant::default() + wave.at;
            self.schedule(at + NOTICE_DELAY, Event::Noticed);
            self.schedule(at + wave.notice, Event::Dead);
            self.schedule(at + wave.notice + wave.replaced, Event::Replaced);
        }
        let mut left = self.asked.len();
        while left > 0
            && let Some(Reverse((now, event))) = self.events.pop()
        {
            left -= self.on_event(now, event);
        }
    }

    fn on_event(&mut self, now: MonotonicInstant, event: Event) -> usize {
        match event {
            Event::Arrive(request) => self.arrive(now, request),
            Event::Stepped(engine) => return self.stepped(now, engine),
            Event::Poll(daemon) => self.poll(now, daemon),
            Event::Noticed => {
                for index in self.doomed() {
                    self.routers.iter_mut().for_each(|router| router.on_leaving(&instance(index)));
                }
            }
            Event::Dead => {
                for index in self.doomed() {
                    self.kill(now, index);
                }
                self.list(now);
            }
            Event::Replaced => {
                for index in 0..self.deployment.engines / self.deployment.centres {
                    let index = index * self.deployment.centres;
                    self.add_engine(now, price(index, self.deployment.centres));
                }
                self.list(now);
            }
        }
        0
    }

    /// The engines of the first data centre that the fleet started with.
    fn doomed(&self) -> Vec<usize> {
        (0..self.deployment.engines).step_by(self.deployment.centres).collect()
    }

    fn kill(&mut self, now: MonotonicInstant, index: usize) {
        // Requests that would have ended with the step under way are cut off with the others.
        let ending = self.steps.remove(&index).map(|stepped| stepped.ended);
        let cut_off = self.engines[index].kill();
        for request in cut_off.into_iter().chain(ending.unwrap_or_default()) {
            if let Some((daemon, _, key)) = self.outcomes[request].place.take() {
                self.routers[daemon].on_end(now, key, AttemptEnd::Failed);
                self.members[daemon].load -= 1;
                self.dispatch(now, request, daemon);
            }
        }
    }

    fn arrive(&mut self, now: MonotonicInstant, request: usize) {
        let daemon = if self.setup.steered {
            let family = PrefixFamily(self.asked[request].family);
            let home = centre((self.asked[request].family as usize) % self.deployment.centres);
            let first = preferred_daemons(family, &home, &self.members)[0];
            self.members.iter().position(|member| member.instance == first.instance)
        } else {
            Some(self.generator.random_range(0..self.routers.len()))
        };
        self.dispatch(now, request, daemon.unwrap_or(0));
    }

    fn dispatch(&mut self, now: MonotonicInstant, request: usize, daemon: usize) {
        let asked = &self.asked[request];
        let produced = self.outcomes[request].produced;
        let demand = Demand {
            pools: vec![pool()],
            model: Model::try_from("m").ok(),
            prefill_tokens: asked.tokens + produced,
            answer_tokens: 412,
            blocks: asked.blocks.to_vec(),
            latency_target: self.deployment.target,
            ..Demand::default()
        };
        let route = self.routers[daemon].choose(now, &demand, &[], &mut self.generator);
        let route = route.expect("an engine is left");
        let index = route.instance.as_str().trim_start_matches("engine-").parse();
        let index: usize = index.expect("instances are numbered");
        let outcome = &mut self.outcomes[request];
        outcome.place = Some((daemon, index, route.key));
        outcome.attempts += 1;
        outcome.reported = produced;
        self.members[daemon].load += 1;
        self.engines[index].push(Job {
            request,
            blocks: asked.blocks.clone(),
            prefill: demand.prefill_tokens,
            answer: asked.answer - produced,
        });
        if !self.engines[index].stepping {
            self.step(now, index);
        }
    }

    fn step(&mut self, now: MonotonicInstant, index: usize) {
        let engine = &mut self.engines[index];
        let Some((time, stepped)) = engine.start_step() else {
            engine.stepping = false;
            return;
        };
        engine.stepping = true;
        self.steps.insert(index, stepped);
        self.schedule(now + time, Event::Stepped(index));
    }

    fn stepped(&mut self, now: MonotonicInstant, index: usize) -> usize {
        let Some(stepped) = self.steps.remove(&index) else {
            return 0;
        };
        for (request, prefilled) in stepped.admitted {
            let outcome = &mut self.outcomes[request];
            let counted = match outcome.attempts {
                1 => &mut outcome.prefilled,
                _ => &mut outcome.recomputed,
            };
            *counted += prefilled;
        }
        for request in stepped.tokens {
            self.on_token(now, request);
        }
        for request in &stepped.ended {
            let outcome = &mut self.outcomes[*request];
            let span = now.since(outcome.first_at).as_secs_f64();
            let gaps = outcome.produced - 1;
            outcome.interval = (gaps > 0).then(|| span / f64::from(gaps));
            if let Some((daemon, _, key)) = outcome.place.take() {
                self.routers[daemon].on_end(now, key, AttemptEnd::Completed);
                self.members[daemon].load -= 1;
            }
        }
        self.engines[index].publish(now);
        self.step(now, index);
        stepped.ended.len()
    }

    fn on_token(&mut self, now: MonotonicInstant, request: usize) {
        let outcome = &mut self.outcomes[request];
        outcome.produced += 1;
        if outcome.first.is_none() {
            outcome.first = Some(now.since(self.asked[request].at).as_secs_f64());
            outcome.first_at = now;
        }
        let new = outcome.produced - outcome.reported;
        if let Some((daemon, _, key)) = outcome.place
            && (new == 1 || new.is_multiple_of(PROGRESS_TOKENS))
        {
            self.routers[daemon].on_progress(now, key, new);
        }
    }

    fn poll(&mut self, now: MonotonicInstant, daemon: usize) {
        self.polls += 1;
        let router = &mut self.routers[daemon];
        let round = self.polls / self.deployment.daemons as u64;
        for (instance, _) in router.busiest(self.setup.watched) {
            let index: usize = instance.as_str().trim_start_matches("engine-").parse().unwrap_or(0);
            let engine = &self.engines[index];
            router.on_report(&instance, engine.report());
            if !round.is_multiple_of(POLLS_PER_EVENTS) {
                continue;
            }
            let (next, events) = engine.events(router.next_cache_event(&instance));
            let kept = events.iter().filter(|_| self.generator.random::<f64>() >= EVENTS_LOST);
            let kept: Vec<_> = kept.copied().collect();
            router.on_cache_events(&instance, next, &kept);
        }
        self.schedule(now + self.setup.poll, Event::Poll(daemon));
    }
}

fn member(index: usize, deployment: &Deployment) -> Member {
    Member {
        instance: Instance::try_from(format!("entry-{index}")).expect("the name is valid"),
        data_centre: centre(index % deployment.centres),
        caller: ([127, 0, 0, 1], 1).into(),
        peer: ([127, 0, 0, 1], 2).into(),
        incarnation: None,
        revision: Revision(0),
        load: 0,
        status: MemberStatus::Live,
    }
}
