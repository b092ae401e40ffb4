//! Which daemons keep the quotas of the teams, and the calls to them.

use super::PeerStatuses;
use spindle_daemon::StatusExchangeClient;
use spindle_policy::presence::{KnownDaemon, Phase};
use spindle_policy::shared_limits::{
    DaemonCounts, QuotaFleet, QuotaGrant, QuotaQuestion, SeedCounts, may_keep_quotas,
};
use spindle_relay::usage::QuotaCall;
use spindle_types::{MonotonicInstant, Team};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// How long a daemon is awaited that keeps a quota. Several round trips between data centres.
const GRANT_TIMEOUT: Duration = Duration::from_millis(150);

impl PeerStatuses {
    /// Answers another daemon that asks for units of a quota.
    pub(in crate::node) fn grant_quota(
        &self,
        now: MonotonicInstant,
        team: &Team,
        question: QuotaQuestion,
    ) -> Option<QuotaGrant> {
        self.parts.usage.grant(now, team, question)
    }

    /// Makes the calls of the relay to the daemons that keep quotas, until the process exits.
    pub async fn call_quota_keepers(self, mut calls: mpsc::Receiver<QuotaCall>) {
        while let Some(call) = calls.recv().await {
            tokio::spawn(self.clone().call_quota_keeper(call));
        }
    }

    async fn call_quota_keeper(self, call: QuotaCall) {
        let QuotaCall { keeper, team, question, answer } = call;
        let granted = async { self.connection(keeper)?.quota_grant(team, question).await };
        match tokio::time::timeout(GRANT_TIMEOUT, granted).await {
            // The request may have ended meanwhile.
            Ok(Ok(Some(grant))) => drop(answer.send(grant)),
            Ok(Ok(None)) => log::debug!("event=quota_call_failed keeper={keeper} cause=no_quota"),
            Ok(Err(error)) => {
                log::debug!("event=quota_call_failed keeper={keeper} error={error:?}");
            }
            Err(_) => log::debug!("event=quota_call_failed keeper={keeper} cause=timeout"),
        }
    }

    /// Selects the daemons that keep each quota, among those that all others know. Returns what this
    /// daemon knows of their number.
    pub(super) fn update_quota_keepers(
        &self,
        now: MonotonicInstant,
        state: &super::State,
    ) -> DaemonCounts {
        let uptime = |daemon: &KnownDaemon| {
            Duration::from_millis(daemon.status.uptime) + now.since(daemon.at)
        };
        let own = &self.parts.settings.instance;
        let own_uptime = now.since(state.started_at);
        let live: Vec<(&KnownDaemon, Duration)> = state
            .presence
            .live(now)
            .filter(|daemon| {
                daemon.status.phase != Phase::Leaving && daemon.identity.instance != *own
            })
            .map(|daemon| (daemon, uptime(daemon)))
            .collect();
        let oldest = live.iter().map(|(_, uptime)| *uptime).max().unwrap_or_default();
        let oldest = oldest.max(own_uptime);
        let is_known = |uptime: Duration| may_keep_quotas(uptime, oldest);
        let keeps = is_known(own_uptime) && !self.parts.draining.started();
        let mut known: BTreeSet<SocketAddr> = state
            .presence
            .not_forgotten(now)
            .filter(|daemon| daemon.identity.instance != *own)
            .map(|daemon| daemon.identity.peer)
            .collect();
        let remembered = 1 + super::count(known.iter());
        let listed = state.stored_peers.as_ref().map(|stored| {
            known.extend(stored);
            known.remove(&self.parts.settings.peer_address);
            1 + super::count(known.iter())
        });
        let heard = 1 + super::count(live.iter());
        let own_address = self.parts.settings.peer_address;
        let seeds: BTreeSet<SocketAddr> = self.parts.settings.seeds.iter().copied().collect();
        let is_heard = |seed: &&SocketAddr| {
            **seed == own_address || live.iter().any(|(daemon, _)| daemon.identity.peer == **seed)
        };
        let seeds = SeedCounts {
            listed: super::count(seeds.iter()),
            heard: super::count(seeds.iter().filter(is_heard)),
        };
        let counts = DaemonCounts { uptime: own_uptime, oldest, heard, remembered, listed, seeds };
        let visibility = counts.quota_visibility();
        let others = live.iter().filter(|(_, uptime)| is_known(*uptime));
        let others =
            others.map(|(daemon, _)| (daemon.identity.instance.clone(), daemon.identity.peer));
        let own = keeps.then(|| own.clone());
        let fleet = QuotaFleet { own, others: others.collect(), visibility };
        self.parts.usage.on_fleet(now, fleet);
        counts
    }
}
