//! Transfers the KV cache of a running generation to another engine while the generation continues.

use crate::context::Context;
use crate::daemon::Shared;
use crate::upstreams::Upstreams;
use spindle_engine::{Engine, KvExportRequest, KvHandle, KvImportRequest};
use spindle_policy::routing::{AttemptEnd, AttemptKey, Demand, Route};
use spindle_types::{Attempt, Instance, RequestId};
use std::net::SocketAddr;
use std::sync::Arc;

/// An upstream that the router has chosen and that is not used yet. Dropping the reservation
/// cancels the attempt at the router.
#[derive(Debug)]
pub struct Reservation {
    route: Option<Route>,
    key: AttemptKey,
    upstreams: Upstreams,
}

impl Reservation {
    /// Uses the upstream; from now on the caller must report the end of the attempt to the router.
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

/// A KV cache that has been transferred to another engine and waits for its generation.
#[derive(Debug)]
pub struct TransferredCache {
    /// The reserved upstream whose engine holds the cache.
    pub reservation: Reservation,
    /// Handle of the cache at that engine.
    pub handle: KvHandle,
}

/// The generation whose KV cache is to be transferred.
#[derive(Clone, Debug)]
pub struct TransferSource {
    /// Address of the engine that runs the generation.
    pub engine: SocketAddr,
    /// Instance of that engine.
    pub instance: Instance,
    /// Id of the generation's request.
    pub request: RequestId,
    /// Number of the running attempt.
    pub attempt: Attempt,
}

/// Transfers a KV cache to an upstream that suits `demand` and is not excluded. `None` if there is
/// no such upstream or an engine can't export or import the cache.
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
