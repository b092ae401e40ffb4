//! HTTP building blocks for clients and servers: size-limited bodies, a server that drains on
//! shutdown, a JSON client and server-sent events.

pub mod body;
pub mod client;
pub mod event;
pub mod read;
pub mod reply;
pub mod resettable;
pub mod server;

pub use body::{Body, BodySender, ReceiverGone};
pub use client::{CallError, Client};
pub use event::{Event, decode_events, encode_event};
pub use read::{ReadError, read_body, read_json, read_long_body};
pub use reply::{json, text};
pub use resettable::{ResetOnFailure, ResettableStream};
pub use server::{Drain, DrainTrigger, Handler, ServerLimits, bind, serve};
