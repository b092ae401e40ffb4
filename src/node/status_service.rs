//! Serves the calls of other daemons.

use super::boot_clock::BootClock;
use super::status_exchange::{Follower, PeerStatuses};
use jsonrpsee::core::{RpcResult, async_trait};
use spindle_daemon::{
    ConfigDocument, ConfigNotice, ConfigPiece, ConfigQuestion, StatusExchangeServer,
};
use spindle_policy::crash_ledger::CrashNews;
use spindle_policy::presence::Message;
use spindle_policy::rollout_status::StepNotice;
use spindle_policy::shared_limits::{QuotaGrant, QuotaQuestion};
use spindle_policy::stream_versions::{
    StreamAnswer, StreamQuestion, StreamRecords, VersionHistory,
};
use spindle_policy::upstream_registry::Registration;
use spindle_relay::Balancer;
use spindle_relay::crash_keeper::CrashKeeper;
use spindle_relay::stream_keeper::StreamKeeper;
use spindle_types::{Clock, Team};

/// Answers the calls of other daemons.
#[derive(Debug)]
pub struct StatusService {
    statuses: PeerStatuses,
    follower: Follower,
    balancer: Balancer,
    keeper: StreamKeeper,
    crashes: CrashKeeper,
}

impl StatusService {
    /// Creates a service that answers from the statuses, configuration, upstreams, streams and crashes
    /// of this daemon.
    pub const fn new(
        statuses: PeerStatuses,
        follower: Follower,
        balancer: Balancer,
        keeper: StreamKeeper,
        crashes: CrashKeeper,
    ) -> Self {
        Self { statuses, follower, balancer, keeper, crashes }
    }
}

#[async_trait]
impl StatusExchangeServer for StatusService {
    async fn exchange(&self, message: Message) -> RpcResult<Message> {
        Ok(self.statuses.on_message(&message))
    }

    async fn document(&self) -> RpcResult<Option<ConfigDocument>> {
        let newest = self.follower.archive().newest();
        Ok(newest.map(|newest| ConfigDocument::new(newest.version, &newest.content)))
    }

    async fn config_piece(&self, question: ConfigQuestion) -> RpcResult<Option<ConfigPiece>> {
        Ok(self.follower.archive().piece(question))
    }

    async fn config_notice(&self, notice: ConfigNotice) -> RpcResult<()> {
        self.statuses.on_config_notice(notice);
        Ok(())
    }

    async fn quota_grant(
        &self,
        team: Team,
        question: QuotaQuestion,
    ) -> RpcResult<Option<QuotaGrant>> {
        Ok(self.statuses.grant_quota(BootClock.now(), &team, question))
    }

    async fn registrations(&self) -> RpcResult<Vec<Registration>> {
        Ok(self.balancer.usable_registrations(BootClock.now()))
    }

    async fn version_history(&self) -> RpcResult<Option<VersionHistory>> {
        let now = BootClock.now();
        let age = self.statuses.read_age(now);
        Ok(age.map(|age| self.balancer.version_history(now, age)))
    }

    async fn keep_streams(&self, records: Vec<StreamRecords>) -> RpcResult<()> {
        let now = BootClock.now();
        records.iter().for_each(|told| self.keeper.on_records(now, told));
        Ok(())
    }

    async fn crash_news(&self, news: CrashNews) -> RpcResult<()> {
        self.crashes.on_news(BootClock.now(), &news);
        Ok(())
    }

    async fn crash_records(&self, digest: u64) -> RpcResult<Option<CrashNews>> {
        Ok(self.crashes.records(BootClock.now(), digest))
    }

    async fn step_notice(&self, notice: StepNotice) -> RpcResult<bool> {
        Ok(self.statuses.on_step_notice(&notice))
    }

    async fn stream_version(&self, question: StreamQuestion) -> RpcResult<StreamAnswer> {
        let now = BootClock.now();
        let version = self.keeper.version(now, question.stream);
        Ok(StreamAnswer { version, sole: self.statuses.versions(now, &question.service).sole })
    }
}
