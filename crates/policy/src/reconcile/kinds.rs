//! Kinds of instances, their client tokens, their prices and the resulting hourly spend.

use spindle_types::config::{Market, Placement};
use spindle_types::{ClientToken, DataCentre, MachineClass, Money, Pool, PricedOffer};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The number of digits of the plan digest in a client token.
const TOKEN_DIGEST_DIGITS: usize = 16;

/// The kind of an instance: everything that a plan specifies about it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct InstanceKind {
    /// The pool that the instance joins.
    pub pool: Pool,
    /// The data centre that the instance runs in.
    pub data_centre: DataCentre,
    /// The machine class of the instance.
    pub class: MachineClass,
    /// The market that the instance is bought in.
    pub market: Market,
}

impl InstanceKind {
    /// The kind of the instances that an offer provides for a pool.
    pub fn of(pool: &Pool, offer: &PricedOffer) -> Self {
        Self {
            pool: pool.clone(),
            data_centre: offer.data_centre.clone(),
            class: offer.class.clone(),
            market: offer.market,
        }
    }
}

impl From<&Placement> for InstanceKind {
    fn from(placement: &Placement) -> Self {
        Self {
            pool: placement.pool.clone(),
            data_centre: placement.data_centre.clone(),
            class: placement.class.clone(),
            market: placement.market,
        }
    }
}

/// The number of used-up client tokens for each slot, a slot being one planned instance. The cloud
/// remembers the token of an instance that is gone, so its replacement needs a new token.
#[derive(Clone, Debug, Default)]
pub struct TokenGenerations(BTreeMap<String, u32>);

impl TokenGenerations {
    /// The first unused token for a kind of instance under the plan with the given digest.
    pub(super) fn free_token(
        &self,
        digest: &str,
        kind: &InstanceKind,
        used: impl Fn(&ClientToken) -> bool,
    ) -> ClientToken {
        let InstanceKind { pool, data_centre, class, market } = kind;
        let name = format!("{pool} {data_centre} {class} {market}");
        let digest = digest.get(..TOKEN_DIGEST_DIGITS).unwrap_or(digest);
        let tokens = (0_u32..).map(|ordinal| {
            let slot = format!("{digest}.{:016x}.{ordinal}", xxh3_64(name.as_bytes()));
            let generation = self.0.get(&slot).copied().unwrap_or(0);
            ClientToken::try_from(format!("{slot}.{generation}"))
        });
        let mut free = tokens.flatten().filter(|token| !used(token));
        free.next().expect("the number of slots is unlimited")
    }

    /// Marks a token as used up, so that its slot gets the next generation.
    pub(super) fn advance(&mut self, token: &ClientToken) {
        if let Some((slot, generation)) = token.as_str().rsplit_once('.') {
            let next = generation.parse().map_or(0, |number: u32| number + 1);
            self.0.insert(slot.to_owned(), next);
        }
    }
}

/// The hourly prices of the offers.
#[derive(Clone, Debug)]
pub(super) struct Prices(BTreeMap<(DataCentre, MachineClass, Market), Money>);

impl Prices {
    pub(super) fn new(offers: &[PricedOffer]) -> Self {
        let key =
            |offer: &PricedOffer| (offer.data_centre.clone(), offer.class.clone(), offer.market);
        Self(offers.iter().map(|offer| (key(offer), offer.hourly_price)).collect())
    }

    /// The hourly price of a kind. A kind that is no longer offered is assumed to cost as much as
    /// the most expensive offer of its class.
    pub(super) fn price(&self, kind: &InstanceKind) -> Option<Money> {
        let key = (kind.data_centre.clone(), kind.class.clone(), kind.market);
        let class = || self.0.iter().filter(|((_, class, _), _)| *class == kind.class);
        self.0.get(&key).copied().or_else(|| class().map(|(_, price)| *price).max())
    }
}

/// The hourly spend of running and pending instances, and its limit.
#[derive(Debug)]
pub(super) struct SpendTracker<'a> {
    prices: &'a Prices,
    limit: Money,
    /// `None` once an instance without a known price was added.
    spend: Option<Money>,
}

impl<'a> SpendTracker<'a> {
    pub(super) const fn new(prices: &'a Prices, limit: Money) -> Self {
        Self { prices, limit, spend: Some(Money(0)) }
    }

    /// Adds a running or pending instance. If its price is unknown, no further start is allowed.
    pub(super) fn add(&mut self, kind: &InstanceKind) {
        let price = self.prices.price(kind);
        self.spend = self.spend.zip(price).map(|(spend, price)| spend + price);
    }

    /// Whether one more instance of the kind keeps the spend within the limit.
    pub(super) fn allows(&self, kind: &InstanceKind) -> bool {
        let after = self.spend.zip(self.prices.price(kind));
        after.is_some_and(|(spend, price)| spend + price <= self.limit)
    }
}
