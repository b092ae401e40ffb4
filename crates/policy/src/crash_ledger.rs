//! Which parts of prompts, and which requests, crash the upstreams that process them.
//!
//! A crash blames the requests whose responses were just beginning at the upstream, as far as any
//! daemon knows. What crashes *each* upstream never gets further, so one response that goes on
//! acquits all that its request holds. What has been blamed for several crashes in a row without an
//! acquittal is convicted: requests that hold it are refused, but for a rare probe. All daemons tell
//! each other of crashes and acquittals, and each decides by itself.
//!
//! The load to handle is a request of this kind at any daemon every few hundred milliseconds, among
//! sound ones that share all parts but one.

use crate::upstream_registry::UpstreamId;
use serde::{Deserialize, Serialize};
use spindle_types::{Instance, MonotonicInstant, Service, Team};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;
use strum::IntoStaticStr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of crashes in a row for which something is blamed before it is convicted.
pub const CONVICTING_CRASHES: usize = 3;

/// Crashes that are closer together than this count once against a part: many upstreams may be
/// killed at the same time for another reason, and acquittals take some time to arrive.
const PART_BLAME_INTERVAL: Duration = Duration::from_millis(200);

/// The same for a request, which is sent again only after the crash before.
const REQUEST_BLAME_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the latest blame until the first probe.
const FIRST_PROBE_AFTER: Duration = Duration::from_secs(3);

/// The same if the crashes may have another cause, which the request doesn't hold.
const FIRST_TEST_AFTER: Duration = Duration::from_millis(300);

/// Factor by which the time until the next probe grows with each one.
const PROBE_BACKOFF: u32 = 30;

/// Longest time until the next probe.
const PROBE_AFTER_MAX: Duration = Duration::from_secs(1_200);

/// How long a blame or an acquittal is remembered.
const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of crashes that are stored as the evidence of a conviction.
const STORED_CRASHES_MAX: usize = 8;

/// Time between two crashes of a stored conviction, in milliseconds. When they happened is not stored, as the clocks
/// of daemons have different origins.
const STORED_INTERVAL_MS: u64 = 1_000;

/// How long a conviction is remembered after the latest blame. Longer than two probes.
const CONVICTION_RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum number of keys that are remembered, and that one crash may blame.
const KEYS_MAX: usize = 8_192;

/// Maximum number of crashes that are remembered for each key.
const BLAMES_MAX: usize = 64;

/// Something that a request holds and that may crash upstreams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum WorkKey {
    /// A part of a prompt, at one service.
    #[serde(rename = "p")]
    Part {
        /// Hash of the service's name.
        #[serde(rename = "s")]
        service: u32,
        /// Id of the part.
        id: u64,
    },
    /// A request of a team: hash of its host, method, target, prompt parts and body.
    #[serde(rename = "r")]
    Request(u64),
}

impl WorkKey {
    /// The key of a part of a prompt that is sent to a service.
    pub fn part(service: &Service, id: u64) -> Self {
        let service = xxh3_64(service.as_str().as_bytes()) as u32;
        Self::Part { service, id }
    }

    /// The key of a request of a team, from its host, method and target, its prompt parts and its
    /// body. Repeats of it have the same key.
    pub fn request(
        team: Option<&Team>,
        head: [&str; 3],
        parts: impl Iterator<Item = u64>,
        body: &[u8],
    ) -> Self {
        let team = team.map_or(0, |team| xxh3_64(team.as_str().as_bytes()));
        let head = head.iter().fold(team, |seed, text| xxh3_64_with_seed(text.as_bytes(), seed));
        let prompt = parts.fold(head, |seed, id| xxh3_64_with_seed(&id.to_le_bytes(), seed));
        Self::Request(xxh3_64_with_seed(body, prompt))
    }

    /// Minimum time between two crashes that both count against the key.
    const fn blame_interval(self) -> Duration {
        match self {
            Self::Part { .. } => PART_BLAME_INTERVAL,
            Self::Request(_) => REQUEST_BLAME_INTERVAL,
        }
    }

    /// Whether this daemon sends the probes of the key, out of those that may be running.
    pub fn probed_by<'a>(
        self,
        own: &'a Instance,
        others: impl Iterator<Item = &'a Instance>,
    ) -> bool {
        let seed = match self {
            Self::Part { service, id } => id ^ (u64::from(service) << 32),
            Self::Request(hash) => hash,
        };
        let rank = |instance: &'a Instance| {
            (xxh3_64_with_seed(instance.as_str().as_bytes(), seed), instance)
        };
        others.map(rank).all(|other| other >= rank(own))
    }
}

impl fmt::Display for WorkKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part { service, id } => write!(f, "part:{id:x}@{service:x}"),
            Self::Request(hash) => write!(f, "request:{hash:x}"),
        }
    }
}

/// A crash of an upstream, and what the requests held whose responses were beginning there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The start of the instance that crashed.
    pub upstream: UpstreamId,
    /// Milliseconds since the crash.
    pub age_ms: u64,
    /// What may have caused it.
    pub keys: Vec<WorkKey>,
}

/// A response that went on, which shows that what its request held is sound.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Acquittal {
    /// What is sound.
    pub key: WorkKey,
    /// Milliseconds since it was seen.
    pub age_ms: u64,
}

/// What daemons tell each other of crashes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNews {
    /// Crashes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
    /// Acquittals of what was blamed for crashes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub acquittals: Vec<Acquittal>,
}

impl CrashNews {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.acquittals.is_empty()
    }
}

/// What has changed in the ledger, for the log and the metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerChange {
    /// What is concerned.
    pub key: WorkKey,
    /// What happened.
    pub event: LedgerEvent,
    /// Number of crashes since the latest acquittal that count against the key.
    pub blames: usize,
    /// The upstream that crashed; none for an acquittal.
    pub upstream: Option<Instance>,
}

/// A change of what is known of one key. The names are written to logs and metrics.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum LedgerEvent {
    /// It is blamed for a crash.
    Blamed,
    /// It is convicted from now on.
    Convicted,
    /// It is acquitted of all crashes so far.
    Acquitted,
    /// It was convicted and is acquitted now.
    Released,
}

impl LedgerEvent {
    /// Whether requests are refused from now on that were not, or the reverse.
    pub const fn is_verdict(self) -> bool {
        matches!(self, Self::Convicted | Self::Released)
    }
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// What crashes upstreams.
    pub key: WorkKey,
    /// Number of crashes that count against it.
    pub blames: usize,
    /// Time until a request may show that it no longer does.
    pub probe_in: Duration,
}

/// What is known of one key.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes since the latest acquittal, by upstream.
    blames: BTreeMap<UpstreamId, MonotonicInstant>,
    acquitted_at: Option<MonotonicInstant>,
    /// When this daemon last sent a probe, and how many.
    probed_at: MonotonicInstant,
    probes: u32,
    convicted: bool,
    /// When it was last blamed or acquitted.
    touched_at: MonotonicInstant,
}

impl Suspect {
    /// Number of crashes that count: those at least `interval` after the one before.
    fn count(&self, interval: Duration) -> usize {
        let mut times: Vec<MonotonicInstant> = self.blames.values().copied().collect();
        times.sort();
        let mut counted: Option<MonotonicInstant> = None;
        let mut count = 0;
        for at in times {
            if counted.is_none_or(|last| at.since(last) >= interval) {
                counted = Some(at);
                count += 1;
            }
        }
        count
    }

    /// When a request may be sent as a probe, if the first one may be sent `first` after the latest
    /// blame.
    fn probe_at(&self, first: Duration) -> MonotonicInstant {
        let latest = self.blames.values().max().copied().unwrap_or_default();
        let factor = PROBE_BACKOFF.saturating_pow(self.probes);
        latest.max(self.probed_at) + first.saturating_mul(factor).min(PROBE_AFTER_MAX)
    }

    /// Whether this is blamed for all crashes that `other` is blamed for.
    fn explains(&self, other: &Self) -> bool {
        other.blames.keys().all(|upstream| self.blames.contains_key(upstream))
    }

    fn retention(&self) -> Duration {
        if self.convicted { CONVICTION_RETENTION } else { RETENTION }
    }
}

/// What one daemon knows of crashes and their causes.
#[derive(Debug, Default)]
pub struct CrashLedger {
    suspects: HashMap<WorkKey, Suspect>,
    /// Crashes that are known, and when they happened.
    crashes: BTreeMap<UpstreamId, MonotonicInstant>,
    /// What this daemon has seen itself and not told the others yet.
    untold_crashes: Vec<(UpstreamId, MonotonicInstant, Vec<WorkKey>)>,
    untold_acquittals: BTreeMap<WorkKey, MonotonicInstant>,
}

impl CrashLedger {
    /// Whether an upstream is known to have crashed.
    pub fn has_crashed(&self, upstream: &UpstreamId) -> bool {
        self.crashes.contains_key(upstream)
    }

    /// Records a crash that this daemon has seen, and what may have caused it.
    pub fn on_crash(
        &mut self,
        now: MonotonicInstant,
        upstream: &UpstreamId,
        keys: &[WorkKey],
    ) -> Vec<LedgerChange> {
        let keys = &keys[..keys.len().min(KEYS_MAX)];
        self.untold_crashes.push((upstream.clone(), now, keys.to_vec()));
        self.blame(now, (upstream, now), keys)
    }

    /// Records a response that went on: what its request held is sound.
    pub fn on_sound(&mut self, now: MonotonicInstant, keys: &[WorkKey]) -> Vec<LedgerChange> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for key in keys {
            if let Some(change) = self.acquit(now, *key) {
                self.untold_acquittals.insert(*key, now);
                changes.push(change);
            }
        }
        changes
    }

    /// Records what another daemon tells.
    pub fn on_news(&mut self, now: MonotonicInstant, news: &CrashNews) -> Vec<LedgerChange> {
        let at = |age_ms: u64| now - Duration::from_millis(age_ms);
        let mut changes = Vec::new();
        for CrashReport { upstream, age_ms, keys } in &news.crashes {
            let keys = &keys[..keys.len().min(KEYS_MAX)];
            changes.extend(self.blame(now, (upstream, at(*age_ms)), keys));
        }
        for Acquittal { key, age_ms } in news.acquittals.iter().take(KEYS_MAX) {
            // Kept if the key is unknown, as the crash may be told later.
            self.suspects.entry(*key).or_default();
            changes.extend(self.acquit(at(*age_ms), *key));
        }
        self.evict();
        changes
    }

    /// Whether a request may not be sent, because of something that it holds. A request that is
    /// due as a probe may be sent if `is_prober` says so of the key; it counts as sent then.
    ///
    /// While nothing has been sound for a while, all that the requests had in common is convicted.
    /// What is sound of it is found out soon: a request that lacks something which explains the same
    /// crashes tells these apart, whether it crashes an upstream or not.
    pub fn verdict(
        &mut self,
        now: MonotonicInstant,
        keys: &[WorkKey],
        is_prober: impl Fn(WorkKey) -> bool,
    ) -> Option<Verdict> {
        if self.suspects.is_empty() {
            return None;
        }
        let convicted = |key: &WorkKey| {
            self.suspects.get(key).filter(|suspect| suspect.convicted).map(|found| (*key, found))
        };
        let (key, suspect) = keys
            .iter()
            .filter_map(convicted)
            .max_by_key(|(key, found)| (found.count(key.blame_interval()), *key))?;
        let has_other_cause = self.suspects.iter().any(|(other, found)| {
            found.convicted && !keys.contains(other) && found.explains(suspect)
        });
        let first = if has_other_cause { FIRST_TEST_AFTER } else { FIRST_PROBE_AFTER };
        let probe_at = suspect.probe_at(first);
        if now < probe_at || !is_prober(key) {
            let probe_in = probe_at.since(now).max(first);
            let blames = suspect.count(key.blame_interval());
            return Some(Verdict { key, blames, probe_in });
        }
        if let Some(suspect) = self.suspects.get_mut(&key) {
            suspect.probed_at = now;
            suspect.probes = suspect.probes.saturating_add(1);
        }
        None
    }

    /// Takes what the other daemons are to be told of.
    pub fn take_untold(&mut self, now: MonotonicInstant) -> CrashNews {
        let crashes = std::mem::take(&mut self.untold_crashes).into_iter();
        let acquittals = std::mem::take(&mut self.untold_acquittals).into_iter();
        CrashNews {
            crashes: crashes
                .map(|(upstream, at, keys)| CrashReport { upstream, age_ms: age(now, at), keys })
                .collect(),
            acquittals: acquittals
                .map(|(key, at)| Acquittal { key, age_ms: age(now, at) })
                .collect(),
        }
    }

    /// All that is known, for a daemon that may have missed some of it.
    pub fn records(&self, now: MonotonicInstant) -> CrashNews {
        let mut crashes: BTreeMap<&UpstreamId, (MonotonicInstant, Vec<WorkKey>)> = BTreeMap::new();
        let mut acquittals = Vec::new();
        for (key, suspect) in &self.suspects {
            for (upstream, at) in &suspect.blames {
                crashes.entry(upstream).or_insert((*at, Vec::new())).1.push(*key);
            }
            if let Some(at) = suspect.acquitted_at {
                acquittals.push(Acquittal { key: *key, age_ms: age(now, at) });
            }
        }
        let crashes = crashes.into_iter().map(|(upstream, (at, keys))| CrashReport {
            upstream: upstream.clone(),
            age_ms: age(now, at),
            keys,
        });
        CrashNews { crashes: crashes.collect(), acquittals }
    }

    /// The evidence against a key in the form in which it is stored, for daemons that start after
    /// all have died; none if it is not convicted.
    pub fn stored_conviction(&self, key: WorkKey) -> Option<CrashNews> {
        let suspect = self.suspects.get(&key).filter(|suspect| suspect.convicted)?;
        let upstreams = suspect.blames.keys().take(STORED_CRASHES_MAX);
        let crashes = (0..).zip(upstreams).map(|(place, upstream)| CrashReport {
            upstream: upstream.clone(),
            age_ms: place * STORED_INTERVAL_MS,
            keys: vec![key],
        });
        Some(CrashNews { crashes: crashes.collect(), acquittals: Vec::new() })
    }

    /// Equal for two daemons that blame the same keys for the same crashes.
    pub fn digest(&self) -> u64 {
        let blames = self.suspects.iter().flat_map(|(key, suspect)| {
            suspect.blames.keys().map(move |upstream| {
                let name = format!("{key} {} {}", upstream.instance, upstream.started_at_ms);
                xxh3_64(name.as_bytes())
            })
        });
        blames.fold(0, |digest, blame| digest ^ blame)
    }

    /// The upstreams for whose crashes a key is blamed, separated by commas, for the log.
    pub fn evidence(&self, key: WorkKey) -> String {
        let Some(suspect) = self.suspects.get(&key) else { return String::new() };
        let names: Vec<&str> =
            suspect.blames.keys().map(|upstream| upstream.instance.as_str()).collect();
        names.join(",")
    }

    /// Number of keys that are convicted.
    pub fn convicted(&self) -> usize {
        self.suspects.values().filter(|suspect| suspect.convicted).count()
    }

    /// Number of keys that are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Forgets what is old.
    pub fn prune(&mut self, now: MonotonicInstant) {
        self.crashes.retain(|_, at| now.since(*at) < RETENTION);
        self.suspects.retain(|_, suspect| now.since(suspect.touched_at) < suspect.retention());
    }

    fn blame(
        &mut self,
        now: MonotonicInstant,
        (upstream, at): (&UpstreamId, MonotonicInstant),
        keys: &[WorkKey],
    ) -> Vec<LedgerChange> {
        // All daemons that report a crash mean the same one.
        let at = *self.crashes.entry(upstream.clone()).or_insert(at);
        let convicted: BTreeSet<WorkKey> =
            keys.iter().copied().filter(|key| self.is_convicted_at(*key, upstream)).collect();
        let mut changes = Vec::new();
        for key in keys {
            // A crash that has a known cause blames nothing else.
            if !convicted.is_empty() && !convicted.contains(key) {
                continue;
            }
            let suspect = self.suspects.entry(*key).or_default();
            let is_acquitted = suspect.acquitted_at.is_some_and(|acquitted| acquitted >= at);
            if is_acquitted || suspect.blames.contains_key(upstream) {
                continue;
            }
            if suspect.blames.len() >= BLAMES_MAX {
                suspect.blames.pop_first();
            }
            suspect.blames.insert(upstream.clone(), at);
            suspect.touched_at = now;
            let blames = suspect.count(key.blame_interval());
            let event = if !suspect.convicted && blames >= CONVICTING_CRASHES {
                suspect.convicted = true;
                LedgerEvent::Convicted
            } else {
                LedgerEvent::Blamed
            };
            let upstream = Some(upstream.instance.clone());
            changes.push(LedgerChange { key: *key, event, blames, upstream });
        }
        self.evict();
        changes
    }

    /// Whether a key was convicted before the crash of an upstream.
    fn is_convicted_at(&self, key: WorkKey, upstream: &UpstreamId) -> bool {
        let suspect = self.suspects.get(&key);
        suspect.is_some_and(|suspect| suspect.convicted && !suspect.blames.contains_key(upstream))
    }

    fn acquit(&mut self, at: MonotonicInstant, key: WorkKey) -> Option<LedgerChange> {
        let suspect = self.suspects.get_mut(&key)?;
        if suspect.acquitted_at.is_some_and(|acquitted| acquitted >= at) {
            return None;
        }
        suspect.acquitted_at = Some(at);
        suspect.touched_at = suspect.touched_at.max(at);
        let before = suspect.blames.len();
        suspect.blames.retain(|_, crashed| *crashed > at);
        if suspect.blames.len() == before {
            return None;
        }
        let blames = suspect.count(key.blame_interval());
        let released = suspect.convicted && blames < CONVICTING_CRASHES;
        if released {
            suspect.convicted = false;
            suspect.probes = 0;
        }
        let event = if released { LedgerEvent::Released } else { LedgerEvent::Acquitted };
        Some(LedgerChange { key, event, blames, upstream: None })
    }

    /// Keeps the number of keys within its limit: those that have not been convicted and were
    /// touched longest ago go first.
    fn evict(&mut self) {
        if self.suspects.len() <= KEYS_MAX {
            return;
        }
        let mut ranked: Vec<(bool, usize, MonotonicInstant, WorkKey)> = self
            .suspects
            .iter()
            .map(|(key, found)| (found.convicted, found.blames.len(), found.touched_at, *key))
            .collect();
        ranked.sort();
        // Frees some space at once, so that this is rare.
        for (.., key) in ranked.iter().take(self.suspects.len() - KEYS_MAX + KEYS_MAX / 8) {
            self.suspects.remove(key);
        }
    }
}

fn age(now: MonotonicInstant, at: MonotonicInstant) -> u64 {
    u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
