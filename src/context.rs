//! The interface through which a daemon uses the platform's services, the clock and random numbers,
//! so that tests can replace them.

use crate::settings::PlatformSettings;
use rand::RngExt;
use spindle_cloud::{Cloud, HttpCloud};
use spindle_engine::{Engine, HttpEngine};
use spindle_instances::{HttpInstances, Instances};
use spindle_log::{HttpLog, Log};
use spindle_service::{HttpService, Service};
use spindle_types::{Clock, SystemClock};
use spindle_weights::{HttpWeightStore, WeightStore};

/// Access of a daemon to the platform's services, the clock and random numbers.
pub trait Context: Clone + Send + Sync + 'static {
    /// The type of the clock.
    type Clock: Clock;
    /// The type of the client of the log service.
    type Log: Log;
    /// The type of the client of the instance list.
    type Instances: Instances;
    /// The type of the client of the cloud API.
    type Cloud: Cloud;
    /// The type of the client of the weight store.
    type Weights: WeightStore;
    /// The type of the client of model engines.
    type Engine: Engine;
    /// The type of the client of plain services.
    type Service: Service;

    /// The clock: monotonic and UTC time.
    fn clock(&self) -> &Self::Clock;
    /// The client of the log service.
    fn log(&self) -> &Self::Log;
    /// The client of the instance list.
    fn instances(&self) -> &Self::Instances;
    /// The client of the cloud API.
    fn cloud(&self) -> &Self::Cloud;
    /// The client of the weight store.
    fn weights(&self) -> &Self::Weights;
    /// The client of model engines, which serve generations.
    fn engine(&self) -> &Self::Engine;
    /// The client of plain services, which serve calls rather than generations.
    fn service(&self) -> &Self::Service;
    /// A random number that can't be predicted.
    fn random(&self) -> u128;
}

/// The context of a real deployment: the system's clock and HTTP clients.
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
    /// Creates clients for the addresses of the platform's services in the settings.
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
