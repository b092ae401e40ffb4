//! HTTP plumbing shared by the peers: bounded bodies, a draining server, a JSON client.

pub mod body;
pub mod client;
pub mod event;
pub mod read;
pub mod reply;
pub mod server;

pub use body::{Body, BodySender};
pub use client::{CallError, Client};
pub use event::{Event, encode_event, events};
pub use read::{ReadError, read_body, read_json};
pub use reply::{json, text};
pub use server::{Drain, DrainTrigger, Handler, ServerLimits, bind, serve};
