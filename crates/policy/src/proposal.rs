//! Proposed plans and their confirmation, derived from the log stream of plans.

use crate::plan::{Plan, PriceChange};
use serde::{Deserialize, Serialize};
use spindle_types::{Configuration, Offset, Operator, PricedOffer, Revision, UtcInstant};
use std::collections::BTreeMap;
use strum::{Display, IntoStaticStr};
use thiserror::Error;

/// The largest number of plans that are kept. Older ones are removed.
const PLANS_MAX: usize = 64;

/// The largest number of price changes listed in an error.
const PRICE_CHANGES_MAX: usize = 8;

/// Who proposed a plan.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "author", rename_all = "snake_case")]
pub enum Author {
    /// An operator, by submitting an intent.
    Operator {
        /// The name of the operator.
        operator: Operator,
    },
    /// The system, as the plan in force no longer fits.
    System {
        /// The signals that caused the proposal.
        reason: String,
    },
}

/// A record of the log stream of plans.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum PlanRecord {
    /// A plan that may be confirmed.
    Published {
        /// Who proposed the plan.
        author: Author,
        /// The proposed plan.
        plan: Box<Plan>,
    },
    /// A plan that may no longer be confirmed.
    Rejected {
        /// The digest of the plan.
        digest: String,
        /// Who rejected the plan.
        operator: Operator,
        /// When the plan was rejected.
        at: UtcInstant,
    },
}

/// The state of a plan.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum PlanState {
    /// The plan waits for confirmation.
    Open,
    /// The plan is in force.
    InForce,
    /// Another plan has been confirmed since this plan was made.
    Superseded,
    /// An operator has rejected the plan.
    Rejected,
}

/// A plan in the [`PlanIndex`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlanEntry {
    /// Who proposed the plan.
    pub author: Author,
    /// The proposed plan.
    pub plan: Plan,
    rejected: Option<Operator>,
    offset: Offset,
}

impl PlanEntry {
    /// The state of the plan with a digest under a configuration.
    pub fn state(&self, digest: &str, config: &Configuration) -> PlanState {
        let in_force = config.plan.as_ref().map(|plan| plan.digest.as_str());
        if in_force == Some(digest) {
            PlanState::InForce
        } else if self.rejected.is_some() {
            PlanState::Rejected
        } else if in_force != self.plan.replaces.as_deref() {
            PlanState::Superseded
        } else {
            PlanState::Open
        }
    }
}

/// Why a plan can't be confirmed.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize, Deserialize)]
#[serde(tag = "stale", rename_all = "snake_case")]
pub enum ConfirmationError {
    /// Another plan has been confirmed since this plan was made.
    #[error("another plan won: revision {winner}, plan {digest}, confirmed by {operator}")]
    Superseded {
        /// The revision of the configuration in force.
        winner: Revision,
        /// The digest of the plan in force.
        digest: String,
        /// Who confirmed the plan in force.
        operator: Operator,
    },
    /// The plan was rejected.
    #[error("rejected by {operator}")]
    Rejected {
        /// Who rejected the plan.
        operator: Operator,
    },
    /// Prices have changed since the plan was shown.
    #[error("{} prices have changed since the plan was shown; make a new plan", .changes.len())]
    Prices {
        /// The first price changes, up to a limit.
        changes: Vec<PriceChange>,
    },
}

/// An index of the newest plans by digest.
#[derive(Clone, Debug, Default)]
pub struct PlanIndex {
    plans: BTreeMap<String, PlanEntry>,
    next: Offset,
}

impl PlanIndex {
    /// The offset of the next record to read.
    pub fn next(&self) -> Offset {
        self.next.max(Offset(1))
    }

    /// Finds a plan by its digest or by an unambiguous prefix of the digest.
    pub fn find(&self, prefix: &str) -> Option<(&String, &PlanEntry)> {
        let mut found = self.plans.iter().filter(|(digest, _)| digest.starts_with(prefix));
        let first = found.next();
        first.filter(|_| found.next().is_none())
    }

    /// All plans, the newest last.
    pub fn plans(&self) -> Vec<(&String, &PlanEntry)> {
        let mut plans: Vec<_> = self.plans.iter().collect();
        plans.sort_by_key(|(_, entry)| entry.offset);
        plans
    }

    /// Applies the record at an offset. A record that was applied before has no effect.
    pub fn on_record(&mut self, offset: Offset, record: PlanRecord) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        match record {
            PlanRecord::Published { author, plan } => {
                let entry = PlanEntry { author, plan: *plan, rejected: None, offset };
                // A repeated append of the same plan changes nothing.
                self.plans.entry(entry.plan.digest()).or_insert(entry);
                self.remove_oldest();
            }
            PlanRecord::Rejected { digest, operator, .. } => {
                if let Some(entry) = self.plans.get_mut(&digest) {
                    entry.rejected.get_or_insert(operator);
                }
            }
        }
    }

    /// Skips a record that can't be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset.next());
    }

    fn remove_oldest(&mut self) {
        if self.plans.len() <= PLANS_MAX {
            return;
        }
        let oldest = self.plans.iter().min_by_key(|(_, entry)| entry.offset);
        if let Some(digest) = oldest.map(|(digest, _)| digest.clone()) {
            self.plans.remove(&digest);
        }
    }
}

/// Checks that a plan may be confirmed: it was not rejected, and neither the plan in force nor
/// prices have changed since it was shown.
///
/// # Errors
///
/// The plan was rejected or superseded, or prices have changed.
pub fn check_confirmation(
    entry: &PlanEntry,
    config: &Configuration,
    offers: &[PricedOffer],
) -> Result<(), ConfirmationError> {
    if let Some(operator) = &entry.rejected {
        return Err(ConfirmationError::Rejected { operator: operator.clone() });
    }
    let in_force = config.plan.as_ref();
    if in_force.map(|plan| &plan.digest) != entry.plan.replaces.as_ref()
        && let Some(plan) = in_force
    {
        return Err(ConfirmationError::Superseded {
            winner: config.revision,
            digest: plan.digest.clone(),
            operator: plan.operator.clone(),
        });
    }
    let mut changes = entry.plan.price_changes(offers);
    changes.truncate(PRICE_CHANGES_MAX);
    if changes.is_empty() { Ok(()) } else { Err(ConfirmationError::Prices { changes }) }
}
