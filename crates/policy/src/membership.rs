//! What a daemon believes of the other daemons.

use serde::{Deserialize, Serialize};
use spindle_types::{DataCentre, Incarnation, Instance, Revision};
use std::net::SocketAddr;
use strum::{Display, IntoStaticStr};

/// Whether a daemon can be used.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// It answers.
    Live,
    /// It has not answered for a while, and may be dead.
    Suspect,
    /// It takes no new work.
    Leaving,
    /// It is gone.
    Dead,
}

/// One daemon as another one sees it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its instance.
    pub instance: Instance,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it serves callers.
    pub caller: SocketAddr,
    /// Where it answers other daemons.
    pub peer: SocketAddr,
    /// Its life, once it has been heard of.
    pub incarnation: Option<Incarnation>,
    /// The configuration revision in force there, as last heard.
    pub revision: Revision,
    /// Requests in flight there, as last heard.
    pub load: u32,
    /// Whether it can be used.
    pub status: MemberStatus,
}
