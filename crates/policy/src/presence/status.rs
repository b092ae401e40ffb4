//! What a daemon tells the others of itself.

use super::{LEAVING_MAX, LIMITS_MAX, TEAMS_MAX};
use crate::engine_capacity::ResponseCounts;
use crate::rank_admission::RankLoad;
use crate::rollout_status::RolloutStatus;
use crate::service_pace::PaceReport;
use crate::upstream_limit::RequestRate;
use crate::upstream_registry::UpstreamId;
use crate::usage_windows::{RequestCounts, WINDOWS_KEPT};
use crate::versioned_map::VersionedMap;
use serde::{Deserialize, Serialize};
use spindle_types::{DataCentre, Fencing, Incarnation, Instance, Service, Team, UtcInstant};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The stage of a daemon's life cycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It has no configuration yet and accepts no requests.
    Starting,
    /// It accepts requests.
    Ready,
    /// It is shutting down and accepts no new requests.
    Leaving,
}

/// A daemon's instance and addresses, which stay the same for its whole incarnation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonIdentity {
    /// The instance that it runs on.
    pub instance: Instance,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for other daemons.
    pub peer: SocketAddr,
    /// The address for requests that other daemons hand over; none if it accepts none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub handoff: Option<SocketAddr>,
}

/// What a daemon's own responses said last of the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishedLimit {
    /// Requests per second; `None` if the limit was lifted.
    pub rate: Option<RequestRate>,
    /// Milliseconds that the daemon had been running when it was told so.
    pub uptime: u64,
}

/// What a daemon publishes about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon's incarnation.
    pub incarnation: Incarnation,
    /// Instance and addresses; omitted for receivers that already know the daemon.
    #[serde(rename = "place", default, skip_serializing_if = "Option::is_none")]
    pub identity: Option<DaemonIdentity>,
    /// The heartbeat number: the version of this status, raised by the owner with each heartbeat.
    pub beat: u64,
    /// Milliseconds that the daemon had been running at that heartbeat.
    pub uptime: u64,
    /// The wall-clock time by its own clock at that heartbeat.
    pub utc: UtcInstant,
    /// Whether it accepts requests.
    pub phase: Phase,
    /// The version of the configuration in force there; 0 if there is none.
    pub config: u64,
    /// Milliseconds since it last knew the newest configuration; none if it never did.
    pub age: Option<u64>,
    /// The fencing token of its lease, while it holds the lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acting: Option<Fencing>,
    /// Its work in flight at each upstream: the number of requests, and the milliseconds that the
    /// prompts not yet processed are expected to take.
    pub running: BTreeMap<Instance, (u32, u32)>,
    /// Prompt tokens received for each service since its start.
    pub arrived: BTreeMap<Service, u64>,
    /// What it has charged each team against its quota since its start.
    #[serde(default, skip_serializing_if = "VersionedMap::is_empty")]
    pub charged: VersionedMap<Team, f64>,
    /// Started requests by usage window and team.
    #[serde(default, skip_serializing_if = "VersionedMap::is_empty")]
    pub windows: VersionedMap<u64, RequestCounts>,
    /// Upstreams that it knows to be leaving or to have left.
    #[serde(default, skip_serializing_if = "VersionedMap::is_empty")]
    pub leaving: VersionedMap<UpstreamId, ()>,
    /// Limits that upstreams have named to it.
    #[serde(default, skip_serializing_if = "VersionedMap::is_empty")]
    pub limits: VersionedMap<UpstreamId, PublishedLimit>,
    /// Services of which it reaches no upstream.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub lost: BTreeSet<Service>,
    /// What it tells of rollouts.
    #[serde(default, skip_serializing_if = "RolloutStatus::is_empty")]
    pub rollouts: RolloutStatus,
    /// Load by rank of each service that has requests of several.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub ranks: BTreeMap<Service, RankLoad>,
    /// Its responses by service since its start, for services whose instances can be ordered.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub first_bytes: BTreeMap<Service, ResponseCounts>,
    /// The pace of the engines of each service, by its own responses.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub paces: BTreeMap<Service, PaceReport>,
}

impl Status {
    /// The status of a daemon that has just started.
    pub fn new(incarnation: Incarnation, identity: DaemonIdentity, utc: UtcInstant) -> Self {
        Self {
            incarnation,
            identity: Some(identity),
            beat: 0,
            uptime: 0,
            utc,
            phase: Phase::Starting,
            config: 0,
            age: None,
            acting: None,
            running: BTreeMap::new(),
            arrived: BTreeMap::new(),
            charged: VersionedMap::default(),
            windows: VersionedMap::default(),
            leaving: VersionedMap::default(),
            limits: VersionedMap::default(),
            lost: BTreeSet::new(),
            rollouts: RolloutStatus::default(),
            ranks: BTreeMap::new(),
            first_bytes: BTreeMap::new(),
            paces: BTreeMap::new(),
        }
    }

    /// How long the daemon had been running at its newest heartbeat.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.uptime)
    }

    /// The status for a receiver that has it up to heartbeat `beat`, without what has not changed
    /// since.
    pub(super) fn changed_since(&self, beat: u64) -> Self {
        Self {
            charged: self.charged.changed_since(beat),
            windows: self.windows.changed_since(beat),
            leaving: self.leaving.changed_since(beat),
            limits: self.limits.changed_since(beat),
            rollouts: self.rollouts.changed_since(beat),
            running: self.running.clone(),
            arrived: self.arrived.clone(),
            lost: self.lost.clone(),
            ranks: self.ranks.clone(),
            first_bytes: self.first_bytes.clone(),
            paces: self.paces.clone(),
            identity: self.identity.clone().filter(|_| beat == 0),
            ..*self
        }
    }

    /// Replaces this status by a newer one, and keeps the entries that the newer one leaves out.
    pub(super) fn update(&mut self, newer: &Self) {
        self.charged.merge(&newer.charged, TEAMS_MAX);
        self.windows.merge(&newer.windows, WINDOWS_KEPT);
        self.leaving.merge(&newer.leaving, LEAVING_MAX);
        self.limits.merge(&newer.limits, LIMITS_MAX);
        self.rollouts.merge(&newer.rollouts);
        *self = Self {
            identity: self.identity.take(),
            charged: std::mem::take(&mut self.charged),
            windows: std::mem::take(&mut self.windows),
            leaving: std::mem::take(&mut self.leaving),
            limits: std::mem::take(&mut self.limits),
            rollouts: std::mem::take(&mut self.rollouts),
            running: newer.running.clone(),
            arrived: newer.arrived.clone(),
            lost: newer.lost.clone(),
            ranks: newer.ranks.clone(),
            first_bytes: newer.first_bytes.clone(),
            paces: newer.paces.clone(),
            ..*newer
        };
    }
}
