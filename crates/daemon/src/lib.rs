//! Peer package for other daemons.

pub mod rpc;

pub use rpc::{Greeting, PeerClient, PeerServer, connect, start_server};
