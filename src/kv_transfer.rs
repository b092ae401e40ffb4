//! Transfers the KV cache of a running generation to another engine, while the generation goes on.

use crate::context::Context;
use crate::daemon::Shared;
use crate::upstreams::Upstreams;
use spindle_engine::{Engine, KvExportRequest, KvHandle, KvImportRequest};
use spindle_policy::routing::{AttemptEnd, AttemptKey, Demand, Route};
use spindle_types::{Attempt, Instance, RequestId};
use std::net::SocketAddr;
use std::sync::Arc;

/// An upstream that has been chosen and is not used yet; dropping it tells the router.
#[derive(Debug)]
pub struct Reservation {
    route: Option<Route>,
    key: AttemptKey,
    upstreams: Upstreams,
}

impl Reservation {
    /// Uses the upstream; from now on its attempt's end has to be told.
    pub fn take(mut self) -> Option<Route> {
        self.route.take()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.route.take().is_some() {
            let (upstreams, key) = (self.upstreams.clone(), self.key);
            tokio::spawn(async move { upstreams.end(key, AttemptEnd::Cancelled).await });
        }
    }
}

/// A KV cache that waits for its generation at another engine.
#[derive(Debug)]
pub struct TransferredCache {
    /// The engine.
    pub reservation: Reservation,
    /// The cache there.
    pub handle: KvHandle,
}

/// What to transfer.
#[derive(Clone, Debug)]
pub struct TransferSource {
    /// The engine that runs the generation.
    pub engine: SocketAddr,
    /// Its instance.
    pub instance: Instance,
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
}

/// Transfers a cache; none if either engine could not do its part.
pub async fn transfer<C: Context>(
    shared: Arc<Shared<C>>,
    source: TransferSource,
    demand: Demand,
    mut excluded: Vec<Instance>,
) -> Option<TransferredCache> {
    excluded.push(source.instance.clone());
    let route = shared.upstreams.choose(&demand, &excluded).await?;
    let (key, target) = (route.key, route.address);
    let upstreams = shared.upstreams.clone();
    let reservation = Reservation { route: Some(route), key, upstreams };
    let engine = shared.context.engine();
    let export = KvExportRequest { request: source.request, attempt: source.attempt };
    let export = engine.export_kv(source.engine, &export).await;
    let export = export.inspect_err(|error| log_failure(&source, error)).ok()?;
    let import = KvImportRequest { source: source.engine, handle: export.handle };
    let import = engine.import_kv(target, &import).await;
    let import = import.inspect_err(|error| log_failure(&source, error)).ok()?;
    Some(TransferredCache { reservation, handle: import.handle })
}

fn log_failure(source: &TransferSource, error: &impl std::fmt::Debug) {
    let TransferSource { request, instance, .. } = source;
    log::info!("event=transfer_failed request={request} instance={instance} error={error:?}");
}
