//! Stand-in for the instance list and the cloud API, which manage the same instances.

use crate::fault::{Faults, truncated_response};
use crate::server::{StandinServer, query_number};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use spindle_cloud::{
    CloudInstance, Notices, Offer, ReclaimNotice, RunningList, StartReply, StartRequest,
};
use spindle_http::{Body, Handler, json, read_json, text};
use spindle_instances::{InstanceEntry, InstanceListing, State as EntryState};
use spindle_types::{Clock, Instance, SystemClock, UtcInstant};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;

/// The largest request body, in bytes.
const REQUEST_MAX_BYTES: usize = 1024 * 1024;

/// The timeout for reading a request body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A change of the instances that the cloud runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InstanceEvent {
    /// An instance has been started. Whoever runs it adds it to the instance list when it answers.
    Started(CloudInstance),
    /// An instance has stopped.
    Stopped(Instance),
}

#[derive(Debug, Default)]
struct Fleet {
    entries: BTreeMap<Instance, InstanceEntry>,
    running: BTreeMap<Instance, StartRequest>,
    notices: Vec<ReclaimNotice>,
    offers: Vec<Offer>,
    started_count: u64,
}

#[derive(Debug)]
struct State {
    clock: SystemClock,
    fleet: Mutex<Fleet>,
    events: mpsc::UnboundedSender<InstanceEvent>,
    list_faults: Faults,
    cloud_faults: Faults,
}

impl State {
    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stop(&self, instance: &Instance) {
        let mut fleet = self.fleet();
        fleet.entries.remove(instance);
        fleet.running.remove(instance);
        drop(fleet);
        // An error means that nobody receives the events.
        let _ = self.events.send(InstanceEvent::Stopped(instance.clone()));
    }
}

/// An instance list and a cloud API, each with its own server and faults.
#[derive(Clone, Debug)]
pub struct CloudStandin {
    state: Arc<State>,
    list: Arc<StandinServer>,
    cloud: Arc<StandinServer>,
}

impl CloudStandin {
    /// Starts both without any instances. The receiver gets the changes of the instances.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start() -> io::Result<(Self, mpsc::UnboundedReceiver<InstanceEvent>)> {
        let (events, receiver) = mpsc::unbounded_channel();
        let state = Arc::new(State {
            clock: SystemClock::new(),
            fleet: Mutex::default(),
            events,
            list_faults: Faults::default(),
            cloud_faults: Faults::default(),
        });
        let list = Arc::new(StandinServer::start(ListHandler(Arc::clone(&state))).await?);
        let cloud = Arc::new(StandinServer::start(CloudHandler(Arc::clone(&state))).await?);
        Ok((Self { state, list, cloud }, receiver))
    }

    /// The address of the instance list.
    pub fn list_address(&self) -> SocketAddr {
        self.list.address()
    }

    /// The address of the cloud API.
    pub fn cloud_address(&self) -> SocketAddr {
        self.cloud.address()
    }

    /// The faults that the instance list injects.
    pub fn list_faults(&self) -> &Faults {
        &self.state.list_faults
    }

    /// The faults that the cloud API injects.
    pub fn cloud_faults(&self) -> &Faults {
        &self.state.cloud_faults
    }

    /// Adds or replaces an entry of the instance list.
    pub fn put(&self, entry: InstanceEntry) {
        self.state.fleet().entries.insert(entry.instance.clone(), entry);
    }

    /// The entries of the instance list.
    pub fn entries(&self) -> Vec<InstanceEntry> {
        self.state.fleet().entries.values().cloned().collect()
    }

    /// Sets the offers of instances that the cloud API lists.
    pub fn set_offers(&self, offers: Vec<Offer>) {
        self.state.fleet().offers = offers;
    }

    /// The instances that run and are paid for.
    pub fn running(&self) -> Vec<CloudInstance> {
        running_instances(&self.state.fleet())
    }

    /// Announces that an instance is reclaimed, marks it as leaving in the instance list, and stops
    /// it when the notice period ends.
    pub fn reclaim(&self, instance: &Instance, notice: Duration) {
        let stops_at = self.state.clock.utc() + notice;
        let mut fleet = self.state.fleet();
        let number = fleet.notices.len() as u64 + 1;
        let instance = instance.clone();
        fleet.notices.push(ReclaimNotice {
            number,
            instance: instance.clone(),
            stops_at,
            remaining_ms: 0,
        });
        if let Some(entry) = fleet.entries.get_mut(&instance) {
            entry.state = EntryState::Leaving;
        }
        drop(fleet);
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            tokio::time::sleep(notice).await;
            state.stop(&instance);
        });
    }

    /// Stops an instance at once, without a notice.
    pub fn fail(&self, instance: &Instance) {
        self.state.stop(instance);
    }
}

fn running_instances(fleet: &Fleet) -> Vec<CloudInstance> {
    let instances = fleet.running.iter();
    instances
        .map(|(id, start)| CloudInstance { instance: id.clone(), start: start.clone() })
        .collect()
}

#[derive(Clone)]
struct ListHandler(Arc<State>);

impl Handler for ListHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let state = &self.0;
        tokio::time::sleep(state.list_faults.delay()).await;
        if state.list_faults.is_down() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        if *request.method() != Method::PUT {
            let entries = state.fleet().entries.values().cloned().collect();
            return json(StatusCode::OK, &InstanceListing { entries });
        }
        match read_json::<InstanceEntry, _>(request.into_body(), REQUEST_MAX_BYTES, REQUEST_TIMEOUT)
            .await
        {
            Ok(entry) => {
                state.fleet().entries.insert(entry.instance.clone(), entry);
                json(StatusCode::OK, &())
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

#[derive(Clone)]
struct CloudHandler(Arc<State>);

impl Handler for CloudHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let state = &self.0;
        tokio::time::sleep(state.cloud_faults.delay()).await;
        if state.cloud_faults.is_down() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/instances") => self.start(request).await,
            (&Method::GET, "/instances") => {
                json(StatusCode::OK, &RunningList { running: running_instances(&state.fleet()) })
            }
            (&Method::GET, "/offers") => json(StatusCode::OK, &state.fleet().offers),
            (&Method::GET, "/notices") => {
                let from = query_number(request.uri(), "from").unwrap_or(1);
                json(StatusCode::OK, &notices_from(&state.fleet(), from, state.clock.utc()))
            }
            (&Method::DELETE, _) => self.stop(&path),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

fn notices_from(fleet: &Fleet, from: u64, now: UtcInstant) -> Notices {
    let selected = fleet.notices.iter().filter(|notice| notice.number >= from);
    let remaining = |notice: &ReclaimNotice| notice.stops_at.since(now).as_millis();
    let notices = selected
        .map(|notice| ReclaimNotice {
            remaining_ms: u64::try_from(remaining(notice)).unwrap_or(u64::MAX),
            ..notice.clone()
        })
        .collect();
    Notices { notices }
}

impl CloudHandler {
    async fn start(&self, request: Request<Incoming>) -> Response<Body> {
        let state = &self.0;
        let body = request.into_body();
        let start: StartRequest = match read_json(body, REQUEST_MAX_BYTES, REQUEST_TIMEOUT).await {
            Ok(start) => start,
            Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if state.cloud_faults.take_refusal() {
            return text(StatusCode::CONFLICT, "no capacity");
        }
        let Ok(instance) = state.start(start) else {
            return text(StatusCode::INTERNAL_SERVER_ERROR, "invalid instance name");
        };
        if state.cloud_faults.take_lost_answer() {
            return truncated_response();
        }
        json(StatusCode::OK, &StartReply { instance })
    }

    fn stop(&self, path: &str) -> Response<Body> {
        let Some(Ok(instance)) = path.strip_prefix("/instances/").map(Instance::try_from) else {
            return text(StatusCode::NOT_FOUND, "no such instance");
        };
        self.0.stop(&instance);
        json(StatusCode::OK, &())
    }
}

impl State {
    fn start(&self, start: StartRequest) -> Result<Instance, spindle_types::id::IdError> {
        let mut fleet = self.fleet();
        let existing = fleet.running.iter().find(|(_, running)| running.token == start.token);
        if let Some((instance, _)) = existing {
            return Ok(instance.clone());
        }
        fleet.started_count += 1;
        let instance = Instance::try_from(format!("i-{:05}", fleet.started_count))?;
        fleet.running.insert(instance.clone(), start.clone());
        drop(fleet);
        let running = CloudInstance { instance: instance.clone(), start };
        // An error means that nobody receives the events.
        let _ = self.events.send(InstanceEvent::Started(running));
        Ok(instance)
    }
}
