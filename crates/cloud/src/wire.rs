//! Wire types of the cloud API.

use serde::{Deserialize, Serialize};
use spindle_types::config::Market;
use spindle_types::{ClientToken, DataCentre, Instance, MachineClass, Pool, UtcInstant};

/// `POST /instances`: a start that the same client token repeats without effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Names this start across retries.
    pub token: ClientToken,
    /// Where.
    pub data_centre: DataCentre,
    /// The machine class.
    pub class: MachineClass,
    /// How it is bought.
    pub market: Market,
    /// The pool that the instance joins.
    pub pool: Pool,
}

/// The answer to a start.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StartReply {
    /// The instance that was started.
    pub instance: Instance,
}

/// One running instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CloudInstance {
    /// The instance.
    pub instance: Instance,
    /// The start that made it.
    pub start: StartRequest,
}

/// `GET /instances`: what runs and is paid for.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunningList {
    /// The running instances.
    pub running: Vec<CloudInstance>,
}

/// `GET /offers`: what can be bought at what price.
pub type Offer = spindle_types::PricedOffer;

/// An announcement that an instance will be taken back.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// The notice's number, from 1.
    pub number: u64,
    /// The instance.
    pub instance: Instance,
    /// When it stops, by the cloud's clock.
    pub stops_at: UtcInstant,
    /// How long after the answer it stops, in milliseconds.
    pub remaining_ms: u64,
}

/// `GET /notices?from=N`: notices from a number on.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Notices {
    /// The notices, in order.
    pub notices: Vec<ReclaimNotice>,
}
