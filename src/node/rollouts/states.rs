//! The states of rollouts, as the holder of the lease writes them for the operators.

use super::{RolloutFleet, RolloutLeader};
use spindle_policy::rollout::RolloutStep;
use spindle_relay::backends::{Store, StoreError};
use spindle_types::{Clock, MonotonicInstant, Service};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::task::JoinHandle;

/// The delay after which the state of a rollout that could not be written is written again.
const STATE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A call that writes the state of a rollout. Returns the era of the store.
type WriteCall = JoinHandle<Result<Option<u64>, StoreError>>;

/// The states that were written for the operators.
#[derive(Debug, Default)]
pub(super) struct WrittenStates {
    pub(super) acknowledged: BTreeMap<Service, RolloutStep>,
    retry_at: MonotonicInstant,
    call: Option<(RolloutStep, WriteCall)>,
}

impl<S: Store, F: RolloutFleet, K: Clock> RolloutLeader<S, F, K> {
    /// Writes for the operators the state of a rollout that has changed, until the store acknowledges
    /// it. Repeats what the newest stored step says.
    pub(super) async fn write_states(&mut self) {
        let now = self.clock.now();
        if let Some((step, call)) = self.written.call.take_if(|(_, call)| call.is_finished()) {
            match call.await {
                Ok(Ok(era)) => {
                    if self.is_current(era) {
                        log::info!(
                            "event=rollout_state_written service={} target={} stage={}",
                            step.order.service,
                            step.order.target,
                            step.stage
                        );
                        self.written.acknowledged.insert(step.order.service.clone(), step);
                    }
                }
                Ok(Err(error)) => {
                    log::warn!(
                        "event=rollout_state_unwritten service={} error={error:?}",
                        step.order.service
                    );
                    self.written.retry_at = now + STATE_RETRY_DELAY;
                }
                // The task panicked, which the runtime logs.
                Err(_) => self.written.retry_at = now + STATE_RETRY_DELAY,
            }
        }
        let Some(term) = &self.term else { return };
        if self.written.call.is_some() || now < self.written.retry_at || !term.stored.is_ready() {
            return;
        }
        let is_written = |step: &RolloutStep| {
            self.written.acknowledged.get(&step.order.service).is_some_and(|written| {
                written.order.target == step.order.target
                    && written.first_sequence == step.first_sequence
                    && (written.stage == step.stage
                        || !written.stage.is_final() && !step.stage.is_final())
            })
        };
        if let Some(step) = term.steps().into_iter().find(|step| !is_written(step)) {
            let (store, written) = (self.store.clone(), step.clone());
            let call = tokio::spawn(async move { store.publish_rollout(&written).await });
            self.written.call = Some((step, call));
        }
    }
}
