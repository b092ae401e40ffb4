//! At which version of the upstreams' software a stream may go on.
//!
//! What two versions write in a stream doesn't fit together, so a stream goes on only at the version
//! that began it, and one whose version isn't known goes on nowhere. Each daemon records the streams
//! that it sends. While a service may have had several versions, it tells some other daemons of
//! them, so that the record outlives it.

use serde::{Deserialize, Serialize};
use spindle_types::{DataCentre, Instance, MonotonicInstant, Service, SoftwareVersion, Team};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;
use strum::{Display, IntoStaticStr};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Longest time from the moment at which a stream is sent until a caller takes it up for the last
/// time. Twice the time that the users' callers wait for a stream.
pub const STREAM_LIFETIME_MAX: Duration = Duration::from_secs(30);

/// Longest time for which a daemon may have missed registrations and still know that a service has
/// one version. Longer than the longest time between two reads of the store while it answers.
const SOLE_AGE_MAX: Duration = Duration::from_secs(6);

/// Maximum number of streams that a daemon records.
const RECORDS_MAX: usize = 65_536;

/// Up to this number of other daemons, all of them keep each other's records.
const ALL_KEEP_MAX: usize = 7;

/// Number of daemons that keep the records of one, if there are more.
const KEEPERS: usize = 3;

/// Identifies a stream by the attempt that brought its first event, and the caller's team.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// The key of the stream that the attempt `id` of a team began.
    pub fn new(team: Option<&Team>, id: &str) -> Self {
        let seed = team.map_or(0, |team| xxh3_64(team.as_str().as_bytes()));
        Self(xxh3_64_with_seed(id.as_bytes(), seed))
    }
}

/// Streams of one service that were sent to one version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamRecords {
    /// The service.
    pub service: Service,
    /// The version that the streams were sent to.
    pub version: SoftwareVersion,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// A daemon's question at which version a stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamQuestion {
    /// The service of the stream.
    pub service: Service,
    /// The stream.
    pub stream: StreamKey,
}

/// What a daemon knows of a stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamAnswer {
    /// The version that the stream was sent to, if the daemon has a record of it.
    pub version: Option<SoftwareVersion>,
    /// The only version that the service has had for longer than a stream lasts, if there is one.
    pub sole: Option<SoftwareVersion>,
}

/// Where the version of a stream is known from. The names are written to logs and metrics.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum VersionSource {
    /// A record of this daemon.
    Own,
    /// A record of another daemon.
    Peer,
    /// The service has had one version for longer than a stream lasts.
    Sole,
    /// Nobody knows, or records differ.
    Unknown,
}

/// Versions of the software that may serve an attempt.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermittedVersions {
    /// Every version: no event has been passed on yet.
    #[default]
    Any,
    /// The version that began the stream; none if its upstream stated no valid one, which permits no
    /// version.
    Only(Option<SoftwareVersion>),
}

impl PermittedVersions {
    /// Whether no version is excluded.
    pub fn is_any(&self) -> bool {
        *self == Self::Any
    }

    /// Whether an upstream of this version may serve the attempt.
    pub fn permits(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(began) => began.is_some() && began.as_ref() == version,
        }
    }
}

/// A stream that was sent.
#[derive(Clone, Debug)]
struct Record {
    version: SoftwareVersion,
    at: MonotonicInstant,
}

/// The versions that streams were sent to, as far as one daemon knows.
#[derive(Debug, Default)]
pub struct StreamVersions {
    records: HashMap<StreamKey, Record>,
    /// All records, oldest first; one that was replaced occurs twice.
    order: VecDeque<(MonotonicInstant, StreamKey)>,
    /// This daemon's own streams that it has not told others of, oldest first.
    untold: BTreeMap<Service, VecDeque<(MonotonicInstant, StreamKey)>>,
    /// Streams that any daemon has told others of and that are not stored yet.
    unstored: Vec<(MonotonicInstant, StreamRecords)>,
}

impl StreamVersions {
    /// Records that this daemon sends a stream to a version.
    pub fn on_sent(
        &mut self,
        now: MonotonicInstant,
        service: &Service,
        stream: StreamKey,
        version: &SoftwareVersion,
    ) {
        self.insert(now, stream, version);
        self.untold.entry(service.clone()).or_default().push_back((now, stream));
    }

    /// Records what another daemon tells of its streams.
    pub fn on_records(&mut self, now: MonotonicInstant, told: &StreamRecords) {
        self.on_stored(now, told);
        self.unstored.push((now, told.clone()));
    }

    /// Records what was stored before this daemon started.
    pub fn on_stored(&mut self, now: MonotonicInstant, told: &StreamRecords) {
        for stream in &told.streams {
            self.insert(now, *stream, &told.version);
        }
    }

    /// Takes the streams that are to be stored.
    pub fn take_unstored(&mut self, now: MonotonicInstant) -> Vec<StreamRecords> {
        let unstored = std::mem::take(&mut self.unstored).into_iter();
        let recent = unstored.filter(|(at, _)| now.since(*at) < STREAM_LIFETIME_MAX);
        recent.map(|(_, records)| records).collect()
    }

    /// Forgets the streams that another daemon stores, but for those told in the time `kept`, which
    /// it may not have stored yet when it dies.
    pub fn drop_unstored(&mut self, now: MonotonicInstant, kept: Duration) {
        self.unstored.retain(|(at, _)| now.since(*at) < kept);
    }

    /// The version that a stream was sent to.
    pub fn version(&self, now: MonotonicInstant, stream: StreamKey) -> Option<&SoftwareVersion> {
        let record = self.records.get(&stream)?;
        (now.since(record.at) < STREAM_LIFETIME_MAX).then_some(&record.version)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes the streams that other daemons are to be told of: those of services that are not known
    /// to have had only one version.
    pub fn take_untold(
        &mut self,
        now: MonotonicInstant,
        has_one_version: impl Fn(&Service) -> bool,
    ) -> Vec<StreamRecords> {
        let mut told: BTreeMap<(Service, SoftwareVersion), BTreeSet<StreamKey>> = BTreeMap::new();
        for (service, streams) in &mut self.untold {
            while streams.front().is_some_and(|(at, _)| now.since(*at) >= STREAM_LIFETIME_MAX) {
                streams.pop_front();
            }
            if streams.is_empty() || has_one_version(service) {
                continue;
            }
            for (_, stream) in streams.drain(..) {
                // A record is missing only if there were too many.
                let Some(record) = self.records.get(&stream) else { continue };
                let version = record.version.clone();
                told.entry((service.clone(), version)).or_default().insert(stream);
            }
        }
        self.untold.retain(|_, streams| !streams.is_empty());
        let records = told.into_iter().map(|((service, version), streams)| StreamRecords {
            service,
            version,
            streams: streams.into_iter().collect(),
        });
        let records: Vec<StreamRecords> = records.collect();
        self.unstored.extend(records.iter().map(|told| (now, told.clone())));
        records
    }

    fn insert(&mut self, now: MonotonicInstant, stream: StreamKey, version: &SoftwareVersion) {
        self.records.insert(stream, Record { version: version.clone(), at: now });
        self.order.push_back((now, stream));
        while let Some((at, oldest)) = self.order.front().copied() {
            let expired = now.since(at) >= STREAM_LIFETIME_MAX;
            if !expired && self.order.len() <= RECORDS_MAX {
                break;
            }
            self.order.pop_front();
            if self.records.get(&oldest).is_some_and(|record| record.at == at) {
                self.records.remove(&oldest);
            }
        }
    }
}

/// What this daemon knows of the versions of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KnownVersions {
    /// The only version that the service has had for longer than a stream lasts.
    pub sole: Option<SoftwareVersion>,
    /// Versions of the upstreams that this daemon knows, those that left lately included.
    pub seen: BTreeSet<Option<SoftwareVersion>>,
}

/// What a daemon knows of the versions of all services, for one that started lately.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionHistory {
    /// For how long the daemon has known all registrations, in milliseconds, at most
    /// [`STREAM_LIFETIME_MAX`].
    pub complete_ms: u64,
    /// Time since its last read of the store, in milliseconds.
    pub age_ms: u64,
    /// Versions of the upstreams of that time.
    pub seen: Vec<(Service, Option<SoftwareVersion>)>,
}

impl KnownVersions {
    /// What remains known if the daemon may have missed registrations for the time `age`; none if it
    /// has never read them.
    pub fn at_age(self, age: Option<Duration>) -> Self {
        let is_recent = age.is_some_and(|age| age <= SOLE_AGE_MAX);
        Self { sole: self.sole.filter(|_| is_recent), ..self }
    }
}

/// Decides at which version a stream began that this daemon has no record of, from what it and the
/// other daemons know. `is_confirmed` tells whether the known versions include all that any daemon may
/// have sent the stream to: each of them has answered, or this daemon has read the store since.
pub fn decide(
    known: &KnownVersions,
    answers: &[StreamAnswer],
    is_confirmed: bool,
) -> (Option<SoftwareVersion>, VersionSource) {
    let recorded: BTreeSet<&SoftwareVersion> =
        answers.iter().filter_map(|answer| answer.version.as_ref()).collect();
    if let Some(version) = recorded.first() {
        return match recorded.len() {
            1 => (Some((*version).clone()), VersionSource::Peer),
            _ => (None, VersionSource::Unknown),
        };
    }
    let sole: BTreeSet<&SoftwareVersion> =
        answers.iter().filter_map(|answer| answer.sole.as_ref()).chain(&known.sole).collect();
    match sole.first() {
        Some(version)
            if is_confirmed
                && sole.len() == 1
                && known.seen.iter().all(|seen| seen.as_ref() == Some(*version)) =>
        {
            (Some((*version).clone()), VersionSource::Sole)
        }
        _ => (None, VersionSource::Unknown),
    }
}

/// Whether `own` is the daemon that stores the records of all for the case that all are killed, out of
/// those that it hears. Daemons that hear different others may choose several, which store the same.
pub fn stores_records<'a>(own: &Instance, others: impl Iterator<Item = &'a Instance>) -> bool {
    let rank = |instance: &Instance| (xxh3_64(instance.as_str().as_bytes()), instance.clone());
    let own_rank = rank(own);
    others.map(rank).all(|other| other <= own_rank)
}

/// Chooses the daemons that keep the records of `own`: all, or a few that prefer other data centres.
pub fn keepers<'a>(
    own: (&Instance, &DataCentre),
    others: impl Iterator<Item = (&'a Instance, &'a DataCentre)>,
) -> Vec<&'a Instance> {
    let seed = xxh3_64(own.0.as_str().as_bytes());
    let mut others: Vec<_> = others.filter(|(instance, _)| *instance != own.0).collect();
    if others.len() > ALL_KEEP_MAX {
        others.sort_by_key(|(instance, data_centre)| {
            let hash = xxh3_64_with_seed(instance.as_str().as_bytes(), seed);
            (*data_centre == own.1, Reverse(hash))
        });
        others.truncate(KEEPERS);
    }
    others.into_iter().map(|(instance, _)| instance).collect()
}

#[cfg(test)]
mod tests;
