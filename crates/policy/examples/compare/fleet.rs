//! Simulates the routers of daemons and the engines behind them in virtual time.

use crate::engine::{Engine, Job, StepResult};
use crate::load::{Deployment, RequestSpec};
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

/// The number of blocks that the cache of an engine holds.
const CACHE_BLOCKS: usize = 3_000;

/// The fraction of cache events that are lost.
const EVENTS_LOST: f64 = 0.1;

/// The number of load polls for each read of the cache events.
const POLLS_PER_EVENTS: u64 = 4;

/// The time from a reclaim notice until the daemons know it.
const NOTICE_DELAY: Duration = Duration::from_millis(250);

/// The number of tokens between two progress updates to the router.
const PROGRESS_TOKENS: u32 = 32;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    /// The strategy that chooses upstreams.
    pub(crate) strategy: Strategy,
    /// Adjusts the parameters of the routers.
    pub(crate) params: fn(RouterParams) -> RouterParams,
    /// Whether callers use the daemon that the address answer prefers, or a random one.
    pub(crate) steered: bool,
    /// The number of engines whose load a daemon polls.
    pub(crate) watched: usize,
    /// The interval between two load polls of an engine.
    pub(crate) poll: Duration,
    /// The reclaim of a data centre during the run, if any.
    pub(crate) wave: Option<Wave>,
}

/// Reclaim of all engines of a data centre.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wave {
    /// When the reclaim is announced.
    pub(crate) at: Duration,
    /// How long the engines continue to run after the notice.
    pub(crate) notice: Duration,
    /// The time from the end of the engines until replacements start.
    pub(crate) replaced: Duration,
}

/// The outcome of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// The time from acceptance to the first token, in seconds.
    pub(crate) first: Option<f64>,
    /// When the first token was produced.
    first_at: MonotonicInstant,
    /// The mean time between tokens, in seconds.
    pub(crate) interval: Option<f64>,
    /// The number of tokens produced.
    pub(crate) produced: u32,
    /// Tokens prefilled by attempts after the first.
    pub(crate) recomputed: u32,
    /// Tokens prefilled by the first attempt.
    pub(crate) prefilled: u32,
    attempts: u32,
    /// The daemon, engine and key of the attempt in flight.
    attempt: Option<(usize, usize, AttemptKey)>,
    /// Tokens that had been produced when the attempt started.
    produced_before: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    StepDone(usize),
    Arrive(usize),
    Poll(usize),
    NoticeReceived,
    Reclaimed,
    Replaced,
}

/// State of a run.
pub(crate) struct Fleet<'a> {
    deployment: &'a Deployment,
    setup: &'a Setup,
    requests: &'a [RequestSpec],
    /// Outcome of each request.
    pub(crate) outcomes: Vec<Outcome>,
    /// All engines, including reclaimed ones.
    pub(crate) engines: Vec<Engine>,
    routers: Vec<Router>,
    members: Vec<Member>,
    steps: BTreeMap<usize, StepResult>,
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
    /// Creates a fleet before its first request.
    pub(crate) fn new(
        deployment: &'a Deployment,
        setup: &'a Setup,
        requests: &'a [RequestSpec],
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
            requests,
            outcomes: vec![Outcome::default(); requests.len()],
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
        for (index, request) in self.requests.iter().enumerate() {
            self.schedule(request.at, Event::Arrive(index));
        }
        for daemon in 0..self.routers.len() {
            let phase = self.setup.poll.mul_f64(daemon as f64 / self.routers.len() as f64);
            self.schedule(MonotonicInstant::default() + phase, Event::Poll(daemon));
        }
        if let Some(wave) = self.setup.wave {
            let at = MonotonicInstant::default() + wave.at;
            self.schedule(at + NOTICE_DELAY, Event::NoticeReceived);
            self.schedule(at + wave.notice, Event::Reclaimed);
            self.schedule(at + wave.notice + wave.replaced, Event::Replaced);
        }
        let mut left = self.requests.len();
        while left > 0
            && let Some(Reverse((now, event))) = self.events.pop()
        {
            left -= self.on_event(now, event);
        }
    }

    fn on_event(&mut self, now: MonotonicInstant, event: Event) -> usize {
        match event {
            Event::Arrive(request) => self.arrive(now, request),
            Event::StepDone(engine) => return self.stepped(now, engine),
            Event::Poll(daemon) => self.poll(now, daemon),
            Event::NoticeReceived => {
                for index in self.reclaimed_engines() {
                    self.routers.iter_mut().for_each(|router| router.on_leaving(&instance(index)));
                }
            }
            Event::Reclaimed => {
                for index in self.reclaimed_engines() {
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

    /// Indices of the initial engines of the first data centre, which the reclaim affects.
    fn reclaimed_engines(&self) -> Vec<usize> {
        (0..self.deployment.engines).step_by(self.deployment.centres).collect()
    }

    fn kill(&mut self, now: MonotonicInstant, index: usize) {
        // Requests that would have ended with the step in progress are aborted too.
        let ending = self.steps.remove(&index).map(|stepped| stepped.ended);
        let cut_off = self.engines[index].kill();
        for request in cut_off.into_iter().chain(ending.unwrap_or_default()) {
            if let Some((daemon, _, key)) = self.outcomes[request].attempt.take() {
                self.routers[daemon].on_end(now, key, AttemptEnd::Failed);
                self.members[daemon].load -= 1;
                self.dispatch(now, request, daemon);
            }
        }
    }

    fn arrive(&mut self, now: MonotonicInstant, request: usize) {
        let daemon = if self.setup.steered {
            let family = PrefixFamily(self.requests[request].family);
            let home = centre((self.requests[request].family as usize) % self.deployment.centres);
            let first = preferred_daemons(family, &home, &self.members)[0];
            self.members.iter().position(|member| member.instance == first.instance)
        } else {
            Some(self.generator.random_range(0..self.routers.len()))
        };
        self.dispatch(now, request, daemon.unwrap_or(0));
    }

    fn dispatch(&mut self, now: MonotonicInstant, request: usize, daemon: usize) {
        let spec = &self.requests[request];
        let produced = self.outcomes[request].produced;
        let demand = Demand {
            pools: vec![pool()],
            model: Model::try_from("m").ok(),
            prefill_tokens: spec.tokens + produced,
            answer_tokens: 412,
            blocks: spec.blocks.to_vec(),
            latency_target: self.deployment.target,
            ..Demand::default()
        };
        let route = self.routers[daemon].choose(now, &demand, &[], &mut self.generator);
        let route = route.expect("an engine is left");
        let index = route.instance.as_str().trim_start_matches("engine-").parse();
        let index: usize = index.expect("instances are numbered");
        let outcome = &mut self.outcomes[request];
        outcome.attempt = Some((daemon, index, route.key));
        outcome.attempts += 1;
        outcome.produced_before = produced;
        self.members[daemon].load += 1;
        self.engines[index].push(Job {
            request,
            blocks: spec.blocks.clone(),
            prefill: demand.prefill_tokens,
            answer: spec.answer - produced,
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
        self.schedule(now + time, Event::StepDone(index));
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
            if let Some((daemon, _, key)) = outcome.attempt.take() {
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
            outcome.first = Some(now.since(self.requests[request].at).as_secs_f64());
            outcome.first_at = now;
        }
        let new = outcome.produced - outcome.produced_before;
        if let Some((daemon, _, key)) = outcome.attempt
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
