//! Plans that wait for a confirmation, as the log holds them.

use crate::plan::{Plan, PriceChange};
use serde::{Deserialize, Serialize};
use spindle_types::{Configuration, Offset, Operator, PricedOffer, Revision, UtcInstant};
use std::collections::BTreeMap;
use strum::{Display, IntoStaticStr};
use thiserror::Error;

/// The newest plans that are kept.
const PLANS_MAX: usize = 64;

/// The price changes that a refusal lists.
const PRICE_CHANGES_MAX: usize = 8;

/// Who made a plan, and why.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "author", rename_all = "snake_case")]
pub enum Author {
    /// An operator's intent.
    Operator {
        /// The operator.
        operator: Operator,
    },
    /// The system, because the picture has changed.
    System {
        /// What has changed.
        reason: String,
    },
}

/// A record of the stream of plans.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum PlanRecord {
    /// A plan that may be confirmed.
    Published {
        /// Who made it.
        author: Author,
        /// The plan.
        plan: Box<Plan>,
    },
    /// A plan that may no longer be confirmed.
    Rejected {
        /// The plan's digest.
        digest: String,
        /// Who rejected it.
        operator: Operator,
        /// When.
        at: UtcInstant,
    },
}

/// What has become of a plan.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum PlanState {
    /// It waits for a confirmation.
    Open,
    /// It is in force.
    InForce,
    /// Another plan has been confirmed since it was made.
    Superseded,
    /// An operator rejected it.
    Rejected,
}

/// A plan of the book.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanEntry {
    /// Who made it.
    pub author: Author,
    /// The plan.
    pub plan: Plan,
    rejected: Option<Operator>,
    offset: Offset,
}

impl PlanEntry {
    /// What has become of the plan.
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
    /// Another plan has been confirmed since.
    #[error("another plan won: revision {winner}, plan {digest}, confirmed by {operator}")]
    Superseded {
        /// The newest revision.
        winner: Revision,
        /// The digest of the plan in force.
        digest: String,
        /// Who confirmed it.
        operator: Operator,
    },
    /// It was rejected.
    #[error("rejected by {operator}")]
    Rejected {
        /// Who rejected it.
        operator: Operator,
    },
    /// Prices are no longer those shown.
    #[error("{} prices have changed since the plan was shown; make a new plan", .changes.len())]
    Prices {
        /// The first of the changes.
        changes: Vec<PriceChange>,
    },
}

/// The newest plans by digest.
#[derive(Clone, Debug, Default)]
pub struct PlanIndex {
    plans: BTreeMap<String, PlanEntry>,
    next: Offset,
}

impl PlanIndex {
    /// The offset to read next.
    pub fn next(&self) -> Offset {
        self.next.max(Offset(1))
    }

    /// A plan by its digest, or by a prefix of it that no other plan has.
    pub fn find(&self, prefix: &str) -> Option<(&String, &PlanEntry)> {
        let mut found = self.plans.iter().filter(|(digest, _)| digest.starts_with(prefix));
        let first = found.next();
        first.filter(|_| found.next().is_none())
    }

    /// The plans, the newest last.
    pub fn plans(&self) -> Vec<(&String, &PlanEntry)> {
        let mut plans: Vec<_> = self.plans.iter().collect();
        plans.sort_by_key(|(_, entry)| entry.offset);
        plans
    }

    /// Reads the record at an offset; one that has been read before has no effect.
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
                self.forget_oldest();
            }
            PlanRecord::Rejected { digest, operator, .. } => {
                if let Some(entry) = self.plans.get_mut(&digest) {
                    entry.rejected.get_or_insert(operator);
                }
            }
        }
    }

    /// Passes over a record that can't be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset.next());
    }

    fn forget_oldest(&mut self) {
        if self.plans.len() <= PLANS_MAX {
            return;
        }
        let oldest = self.plans.iter().min_by_key(|(_, entry)| entry.offset);
        if let Some(digest) = oldest.map(|(digest, _)| digest.clone()) {
            self.plans.remove(&digest);
        }
    }
}

/// Whether a plan may still be confirmed: nothing it was shown with has changed.
///
/// # Errors
///
/// What has changed.
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
