//! Hourly prices of instances, from the cloud's offers.

use spindle_cloud::wire::Offer;
use spindle_instances::InstanceEntry;
use spindle_types::config::Market;
use spindle_types::{DataCentre, MachineClass};
use std::collections::BTreeMap;

/// Hourly price assumed while no offer is known, in the deployment's currency.
const PRICE_DEFAULT: f64 = 1.0;

/// Hourly prices by data centre, machine class and market.
#[derive(Debug, Default)]
pub(super) struct Prices(BTreeMap<(DataCentre, MachineClass, Market), f64>);

impl Prices {
    /// Records the prices of the offers. The price of an offer that has ended stays known.
    pub(super) fn on_offers(&mut self, offers: Vec<Offer>) {
        for Offer { data_centre, class, market, hourly_price, .. } in offers {
            self.0.insert((data_centre, class, market), hourly_price.units());
        }
    }

    /// The hourly price of an instance; if unknown, the mean of the known prices.
    pub(super) fn of(&self, entry: &InstanceEntry) -> f64 {
        let key = (entry.data_centre.clone(), entry.class.clone(), entry.market);
        self.0.get(&key).copied().unwrap_or_else(|| self.mean())
    }

    fn mean(&self) -> f64 {
        if self.0.is_empty() {
            return PRICE_DEFAULT;
        }
        self.0.values().sum::<f64>() / self.0.len() as f64
    }
}

#[cfg(test)]
mod tests;
