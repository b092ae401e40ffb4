//! The request path: from a checked request to a whole answer of one upstream.
//!
//! A request's task owns its sockets. What it needs from the outside comes by small traits: the
//! dialect of an upstream ([`Dialect`]) and the present time ([`spindle_types::Clock`]). What it
//! decides is decided in `spindle-policy`.

pub mod accounts;
pub mod board;
pub mod connection;
pub mod dialect;
pub mod door;
pub mod events;
pub mod inbound;
pub mod measures;
pub mod outside;
mod paced;
pub mod pool;
pub mod relay;
mod send;
pub mod serving;
mod stream;
mod trail;

pub use accounts::Accounts;
pub use board::Board;
pub use dialect::{Dialect, Heading, Onward, Ran};
pub use inbound::{Inbound, PromptPart, Refusal};
pub use relay::{Relay, RelayParts};
pub use serving::{Key, Limits, Repeat, Route, ServiceSpec, Serving, TeamSpec};
