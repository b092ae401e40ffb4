//! Wire types of the cloud API.

use serde::{Deserialize, Serialize};
use spindle_types::config::Market;
use spindle_types::{ClientToken, DataCentre, Instance, MachineClass, Pool, UtcInstant};

/// `POST /instances`: starts an instance. Has no further effect when repeated with the same client
/// token.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Identifies this start across retries.
    pub token: ClientToken,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentre,
    /// Machine class of the instance.
    pub class: MachineClass,
    /// Whether it is reclaimable or on demand.
    pub market: Market,
    /// Pool that the instance joins.
    pub pool: Pool,
}

/// The answer to a start.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StartReply {
    /// Id of the started instance.
    pub instance: Instance,
}

/// A running instance, as listed by the cloud.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CloudInstance {
    /// Id of the instance.
    pub instance: Instance,
    /// Request that started it.
    pub start: StartRequest,
}

/// `GET /instances`: the instances that run and are billed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunningList {
    /// The instances, each with the request that started it.
    pub running: Vec<CloudInstance>,
}

/// `GET /offers`: a kind of instance that can be bought, with its price.
pub type Offer = spindle_types::PricedOffer;

/// An announcement that the cloud will reclaim an instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Sequence number of the notice, from 1.
    pub number: u64,
    /// Instance that will be reclaimed.
    pub instance: Instance,
    /// Time at which it stops, by the cloud's clock.
    pub stops_at: UtcInstant,
    /// Time between this answer and the stop, in milliseconds.
    pub remaining_ms: u64,
}

/// `GET /notices?from=N`: reclaim notices from a sequence number on.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Notices {
    /// Notices, ordered by number.
    pub notices: Vec<ReclaimNotice>,
}
