//! The one context through which every outside effect passes, so that tests can replace it.

use crate::settings::PlatformSettings;
use rand::RngExt;
use spindle_cloud::{Cloud, HttpCloud};
use spindle_engine::{Engine, HttpEngine};
use spindle_instances::{HttpInstances, Instances};
use spindle_log::{HttpLog, Log};
use spindle_service::{HttpService, Service};
use spindle_types::{Clock, SystemClock};
use spindle_weights::{HttpWeightStore, WeightStore};

/// The outside world of a daemon.
pub trait Context: Clone + Send + Sync + 'static {
    /// The source of the present time.
    type Clock: Clock;
    /// The log service.
    type Log: Log;
    /// The instance list.
    type Instances: Instances;
    /// The cloud API.
    type Cloud: Cloud;
    /// The weight store.
    type Weights: WeightStore;
    /// Model engines.
    type Engine: Engine;
    /// Plain services.
    type Service: Service;

    /// The source of the present time.
    fn clock(&self) -> &Self::Clock;
    /// The log service.
    fn log(&self) -> &Self::Log;
    /// The instance list.
    fn instances(&self) -> &Self::Instances;
    /// The cloud API.
    fn cloud(&self) -> &Self::Cloud;
    /// The weight store.
    fn weights(&self) -> &Self::Weights;
    /// Model engines.
    fn engine(&self) -> &Self::Engine;
    /// Plain services.
    fn service(&self) -> &Self::Service;
    /// A number that nobody can guess.
    fn random(&self) -> u128;
}

/// The real outside world.
#[derive(Clone, Debug)]
pub struct LiveContext {
    clock: SystemClock,
    log: HttpLog,
    instances: HttpInstances,
    cloud: HttpCloud,
    weights: HttpWeightStore,
    engine: HttpEngine,
    service: HttpService,
}

impl LiveContext {
    /// The platform's services as the settings name them.
    pub fn new(platform: &PlatformSettings) -> Self {
        Self {
            clock: SystemClock::new(),
            log: HttpLog::new(platform.log),
            instances: HttpInstances::new(platform.instances),
            cloud: HttpCloud::new(platform.cloud),
            weights: HttpWeightStore::new(platform.weights),
            engine: HttpEngine::new(),
            service: HttpService::new(),
        }
    }
}

impl Context for LiveContext {
    type Clock = SystemClock;
    type Log = HttpLog;
    type Instances = HttpInstances;
    type Cloud = HttpCloud;
    type Weights = HttpWeightStore;
    type Engine = HttpEngine;
    type Service = HttpService;

    fn clock(&self) -> &SystemClock {
        &self.clock
    }

    fn log(&self) -> &HttpLog {
        &self.log
    }

    fn instances(&self) -> &HttpInstances {
        &self.instances
    }

    fn cloud(&self) -> &HttpCloud {
        &self.cloud
    }

    fn weights(&self) -> &HttpWeightStore {
        &self.weights
    }

    fn engine(&self) -> &HttpEngine {
        &self.engine
    }

    fn service(&self) -> &HttpService {
        &self.service
    }

    fn random(&self) -> u128 {
        rand::rng().random()
    }
}
